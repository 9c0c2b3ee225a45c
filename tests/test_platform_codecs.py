"""Tests of the platform's formats, with valid and malformed input."""

import base64
import json
import tomllib
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from pomeloglade.errors import (
    BadConfigurationError,
    BadRegistrationError,
    BadRequestError,
    InvalidBackendResponseError,
    SettingsError,
)
from pomeloglade.forwarding.backends import BackendServer
from pomeloglade.forwarding.calls import SendParameters, ServerLoad, StageOrder
from pomeloglade.forwarding.deployment import CallKind
from pomeloglade.transport.http_exchange import RequestHead, ResponseHead
from pomeloglade_coordination.errors import (
    HistoryCompactedError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import Entry
from pomeloglade_coordination.store_era import position
from pomeloglade_platform import configuration, servers
from pomeloglade_platform import settings as platform_settings
from pomeloglade_platform.calls import PlatformCallCodec
from pomeloglade_platform.store import PlatformStore

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "A.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 14000,
            "targetLatencyMs": 900,
            "priority": 1,
            "split": [
                {"service": "s-1", "weight": 90},
                {"service": "s-2", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 300,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "prefix": "/b/",
            "kind": "unsafe",
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "service": "s-2",
        },
    ],
    "services": [
        {
            "name": "s-1",
            "healthPath": "/health",
            "maxConns": 150,
            "engine": {"slots": 12, "kvCapacityTokens": 80233, "handleTtlS": 0.5},
        },
        {"name": "s-2", "healthPath": "/health", "maxConns": 96},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "club",
            "apiKeys": ["key-1"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 44323,
            "burst": 44323,
        }
    ],
}

SERVER = {
    "service": "s-1",
    "address": "10.1.0.9:8080",
    "zone": "nordvik-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldRemainingMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1783311283363,
}

SETTINGS = """
nodeName = "front-a-1"
role = "entry"
ip = "10.1.0.3"
zone = "nordvik-a"
internalPorts = [7500, 7515]
bootstrap = true
somethingNew = 1
[listen]
front = "10.1.0.3:8360"
ready = "10.1.0.3:8365"
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
revokeMs = 5000
strictRevoke = true
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
quotaWindowS = 8
quotaOverrun = 0.1
quotaSlack = 120000
transitMs = 120
leaseMs = 3000
[platform]
address = "10.200.1.7:8361"
"""

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@pytest.fixture
def codec():
    return PlatformCallCodec()


def parse_call(codec, *headers, target=b"/a/1?x=2"):
    head = RequestHead(b"POST", target, ((b"Host", b"A.example:80"), *headers))
    return codec.parse_call(head, b"body", 1.0)


def test_configuration_is_decoded(snapshot):
    deployment = configuration.decode(json.dumps(CONFIGURATION).encode())
    route = deployment.route("a.example", "/a/1")
    assert route.kind is CallKind.STREAMING
    assert route.objective == timedelta(seconds=0.9)
    assert deployment.route("a.example", "/c/") is None
    assert deployment.account("key-1").cost(None) == 200
    assert deployment.account("key-2") is None
    assert snapshot == (route, deployment.services_by_name, deployment.limits)


# Guards against cold servers that are taken for warm ones.
def test_cold_servers_are_decoded(codec):
    service = CONFIGURATION["services"][0] | {"coldStartS": 4, "coldPerS": 39.5}
    changed = CONFIGURATION | {"services": [service]}
    decoded = configuration.decode(json.dumps(changed).encode())
    decoded = decoded.services_by_name[service["name"]]
    assert (decoded.cold_start_seconds, decoded.cold_per_second) == (4.0, 39.5)
    entry = SERVER | {"coldRemainingMs": 2_500}
    assert servers.decode("servers/x", json.dumps(entry).encode()).cold_seconds == 2.5
    for value, seconds in ((b"1500", 1.5), (b"0", 0.0), (b"soon", None)):
        headers = ((b"x-pomeloglade-cold-ms", value),)
        notice = codec.parse_notice(ResponseHead(200, headers, dict(headers)))
        assert notice.cold == seconds
    bounds = "coldOverrun = 1.2\ncoldSlack = 3\n[platform]"
    table = tomllib.loads(SETTINGS.replace("[platform]", bounds))
    read = platform_settings.read(table).bounds
    assert (read.cold_overrun, read.cold_slack) == (1.2, 3.0)


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"routes": [{"name": "r"}]},
        {"routes": [CONFIGURATION["routes"][0] | {"kind": "odd"}]},
        {"services": None},
        {"routes": [CONFIGURATION["routes"][0] | {"timeoutMs": 1e300}]},
        {"limits": []},
    ],
)
def test_malformed_configuration_raises_a_typed_error(change):
    with pytest.raises(BadConfigurationError):
        configuration.decode(json.dumps(CONFIGURATION | change).encode())


def test_configuration_with_deep_nesting_raises_a_typed_error():
    nested = b'{"later": ' + b"[" * 2_000 + b"]" * 2_000 + b","
    with pytest.raises(BadConfigurationError):
        configuration.decode(nested + json.dumps(CONFIGURATION).encode()[1:])


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | json_values.map(lambda v: json.dumps(v).encode()))
def test_arbitrary_bytes_raise_the_decoders_typed_errors(value):
    with pytest.raises(BadConfigurationError):
        configuration.decode(value)
    with pytest.raises(BadRegistrationError):
        servers.decode("servers/x", value)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(SERVER)), json_values)
def test_registration_with_a_changed_field_is_valid_or_rejected(field, value):
    entry = SERVER | {field: value}
    try:
        server = servers.decode("servers/x", json.dumps(entry).encode())
    except BadRegistrationError:
        return
    assert server.id == "x"
    assert server.address.rpartition(":")[2].isdigit()
    assert server.slots >= 1


def test_registration_is_decoded():
    server = servers.decode("servers/i-1", json.dumps(SERVER).encode())
    assert server == BackendServer(
        id="i-1",
        service="s-1",
        address="10.1.0.9:8080",
        availability_zone="nordvik-a",
        slots=12,
        draining=False,
        stage="decode",
        started_ms=1783311283363,
        software_version="v1",
    )


def test_registration_of_a_draining_server_says_so():
    entry = json.dumps(SERVER | {"state": "draining"}).encode()
    assert servers.decode("servers/i-1", entry).draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "10.1.0.9"},
        {"address": 5},
        {"zone": None},
        {"stage": "other"},
        {"slots": "many"},
        {"version": 2},
    ],
)
def test_malformed_registration_raises_a_typed_error(change):
    with pytest.raises(BadRegistrationError):
        servers.decode("servers/x", json.dumps(SERVER | change).encode())


def test_settings_are_read_and_unknown_fields_ignored(snapshot, tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv("POMELOGLADE_BOOT", str(path))
    assert platform_settings.load() == snapshot


def test_settings_error_names_the_bad_field_or_missing_file(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace("graceS = 8", 'graceS = "long"'))
    monkeypatch.setenv("POMELOGLADE_BOOT", str(path))
    with pytest.raises(SettingsError, match="graceS"):
        platform_settings.load()
    monkeypatch.setenv("POMELOGLADE_BOOT", str(tmp_path / "missing"))
    with pytest.raises(SettingsError, match="missing"):
        platform_settings.load()


def test_call_is_parsed_from_its_headers(codec):
    call = parse_call(
        codec,
        (b"x-pomeloglade-attempt-id", b"77"),
        (b"X-Pomeloglade-Deadline-Ms", b"1500"),
        (b"Authorization", b"bearer  key-1"),
        (b"X-Pomeloglade-Model", b"m"),
        (b"X-Pomeloglade-Token-Counts", b"1460,80"),
        (b"X-Pomeloglade-Length-Hint", b"60"),
        (b"X-Pomeloglade-Prompt-Prefix", b"5c:800,91:660"),
        (b"Last-Event-Id", b"12"),
        (b"Resumes", b"00c0ffee"),
    )
    assert (call.id, call.host, call.path) == ("77", "a.example", "/a/1")
    assert (call.time_limit, call.api_key) == (1.5, "key-1")
    assert call.prompt.tokens == 1540
    assert call.prompt.mean_kv_tokens == 1490
    assert call.prompt.parts == (("5c", 800), ("91", 660))
    assert call.last_event_id == b"12"
    assert call.first_call_id == "00c0ffee"
    names = [name.lower() for name, _ in call.headers]
    assert b"x-pomeloglade-token-counts" in names
    assert b"authorization" not in names


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Pomeloglade-Deadline-Ms", b"soon"),
        (b"X-Pomeloglade-Token-Counts", b"1"),
        (b"X-Pomeloglade-Token-Counts", b"1,x"),
        (b"X-Pomeloglade-Deadline-Ms", b"nan"),
        (b"X-Pomeloglade-Deadline-Ms", b"1e300"),
        (b"X-Pomeloglade-Token-Counts", b"-1000000,5"),
        (b"X-Pomeloglade-Token-Counts", b"1," + b"9" * 5_000),
        (b"X-Pomeloglade-Token-Counts", b"1" * 400 + b",1"),
    ],
)
def test_call_with_malformed_headers_is_a_bad_request(codec, header):
    with pytest.raises(BadRequestError):
        parse_call(codec, header)


def test_call_with_a_huge_part_of_a_prompt_is_a_bad_request(codec):
    counts = (b"X-Pomeloglade-Token-Counts", b"1460,80")
    with pytest.raises(BadRequestError):
        parse_call(codec, counts, (b"X-Pomeloglade-Prompt-Prefix", b"5c:" + b"9" * 400))


def test_length_hint_that_no_answer_can_have_is_ignored(codec):
    # A number of over 4,300 digits raises in int().
    call = parse_call(
        codec,
        (b"X-Pomeloglade-Token-Counts", b"1460,80"),
        (b"X-Pomeloglade-Length-Hint", b"9" * 5_000),
    )
    assert call.prompt.expected_output_tokens is None


def test_forwarded_request_has_the_routers_headers(codec, snapshot):
    call = parse_call(codec, (b"X-Own", b"1"), (b"Authorization", b"Bearer key-1"))
    parameters = SendParameters(
        server="i-1",
        account="club",
        seconds_left=1.2345,
        kv_source=("10.1.0.9:8080", "h"),
        last_event_id=b"3",
    )
    assert codec.forward_request(call, parameters) == snapshot


def test_answer_metadata_is_parsed_from_status_and_headers(codec):
    call = parse_call(codec, (b"X-Pomeloglade-Attempt-Id", b"77"))

    def metadata(status, **headers):
        by_name = {
            name.replace("_", "-").encode(): value for name, value in headers.items()
        }
        head = ResponseHead(status, (), by_name)
        return codec.parse_answer(call, head, on_kept_connection=False)

    complete = metadata(
        200,
        x_pomeloglade_attempt_id=b"77",
        x_pomeloglade_server_seal=b"s",
        x_pomeloglade_server_load=b"3,0,8",
    )
    assert complete.echoes_call_id
    assert complete.has_seal
    assert not complete.not_run
    assert complete.load == ServerLoad(3, 0, 8)
    assert metadata(503, x_pomeloglade_not_executed=b"1").not_run
    assert metadata(421).not_run
    assert not metadata(503).not_run
    of_other_call = metadata(
        503, x_pomeloglade_not_executed=b"1", x_pomeloglade_attempt_id=b"other"
    )
    assert not of_other_call.not_run
    assert metadata(200, x_pomeloglade_server_load=b"lots").load is None


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", ServerLoad(3, 0, 8)),
        (b"3,0,8,250", ServerLoad(3, 0, 8, 250.0)),
        (b"3, 0, 8, 97.5", ServerLoad(3, 0, 8, 97.5)),
        (b"3,0,8,", ServerLoad(3, 0, 8)),
        (b"3,0,8,-1", ServerLoad(3, 0, 8)),
        (b"3,0,8,nan", ServerLoad(3, 0, 8)),
        (b"3,0,8,0", ServerLoad(3, 0, 8)),
        (b"3,0,8,100,7", ServerLoad(3, 0, 8, 100.0)),
        (b"3,0", None),
        (b"3,x,8,100", None),
        (b"3,0," + b"9" * 5_000, None),
        (b"3,0," + b"9" * 400, None),
        (b"3,0,8,1e300", ServerLoad(3, 0, 8)),
    ],
)
def test_a_load_of_three_or_four_figures_is_read_from_any_answer(codec, value, load):
    # A header of four figures used to be dropped whole.
    by_name = {b"x-pomeloglade-server-load": value}
    assert codec.parse_notice(ResponseHead(200, (), by_name)).load == load
    assert codec.parse_notice(ResponseHead(421, (), by_name)).load is None


def test_engine_bodies_are_decoded_or_raise_a_typed_error(codec):
    assert codec.parse_prefill_result(b'{"kvHandle":"h","tokens":3}').handle == "h"
    assert codec.parse_engine_report(b'{"stage":"decode","seq":2}').accepted_orders == 2
    with pytest.raises(InvalidBackendResponseError):
        codec.parse_prefill_result(b"{}")
    with pytest.raises(InvalidBackendResponseError):
        codec.parse_engine_report(b"\xff")


@pytest.mark.parametrize(
    "body",
    [
        b'{"kvHandle":"h","stage":"decode","later":'
        + b"[" * 2_000
        + b"]" * 2_000
        + b"}",
        b'{"kvHandle":"h","tokens":%d,"stage":"decode","seq":%d}' % (10**400, 10**400),
        b'{"kvHandle":"h\\r\\nX-Other: 1","stage":5}',
        b'{"kvHandle":"","stage":""' + b"{",
    ],
    ids=["nested lists", "huge numbers", "line feed", "not closed"],
)
def test_engine_bodies_of_a_faulty_engine_raise_a_typed_error(codec, body):
    with pytest.raises(InvalidBackendResponseError):
        codec.parse_prefill_result(body)
    with pytest.raises(InvalidBackendResponseError):
        codec.parse_engine_report(body)


def test_stage_order_contains_its_fencing_token(codec):
    target = BackendServer("i-1", "s", "10.1.0.9:80", "z", 1)
    head, body = codec.stage_order_request(
        target, StageOrder("prefill", "front-1", 41, 2)
    )
    assert head.target == b"/v1/order"
    assert json.loads(body) == {
        "op": "stage",
        "stage": "prefill",
        "holder": "front-1",
        "fence": 41,
        "expected": 2,
    }


class StoreOnFakeConnection:
    """A ``PlatformStore`` whose answers the test writes to a fake connection."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.store = PlatformStore(self.reactor, "10.0.0.1:80")
        self.transport = None

    def start_call(self, call):
        results = []
        call.addBoth(results.append)
        if self.transport is not None:
            # The call was sent on the connection that an earlier one left idle.
            return results
        self.connection = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda enabled: None
        transport.abortConnection = lambda: None
        self.connection.makeConnection(transport)
        self.transport = transport
        return results

    def answer(self, status, message, era=None):
        body = json.dumps(message).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        if era is not None:
            head += f"Store-Era: {era}\r\n"
        head += "\r\n"
        self.connection.dataReceived(head.encode() + body)


@pytest.fixture
def store():
    return StoreOnFakeConnection()


def item(key, value, revision):
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision, "createRev": 1}


def test_snapshot_of_several_pages_has_the_revision_of_the_first(store):
    results = store.start_call(store.store.snapshot("servers/"))
    assert b"/v1/kv-range?prefix=servers%2F" in store.transport.value()
    page = {"items": [item("servers/a", b"1", 5)], "truncated": True}
    store.answer(200, page | {"storeRevision": 9})
    assert b"after=servers%2Fa" in store.transport.value()
    page = {"items": [item("servers/b", b"2", 11)], "truncated": False}
    store.answer(200, page | {"storeRevision": 12})
    (snapshot,) = results
    assert snapshot.revision == 9
    assert [each.key for each in snapshot.entries] == ["servers/a", "servers/b"]


def test_changes_distinguish_writes_from_deletions(store):
    results = store.start_call(store.store.changes("", 4, timedelta(seconds=2)))
    assert b"after=4&waitMs=2000" in store.transport.value()
    events = [
        item("a", b"1", 5),
        {"key": "b", "revision": 6, "removed": True},
    ]
    store.answer(200, {"events": events, "storeRevision": 6})
    assert results[0].entries == (Entry("a", b"1", 5), Entry("b", b"", 6))


@pytest.mark.parametrize(
    ("status", "message", "error"),
    [
        (410, {}, HistoryCompactedError),
        (503, {}, KeyValueUnavailableError),
        (429, {}, KeyValueUnavailableError),
        (200, {"events": 5}, KeyValueUnavailableError),
    ],
)
def test_failed_watch_raises_a_typed_error(store, status, message, error):
    results = store.start_call(store.store.changes("", 4, timedelta(seconds=2)))
    store.answer(status, message)
    assert isinstance(results[0].value, error)


def test_watch_times_out_one_second_after_its_wait(store):
    results = store.start_call(store.store.changes("", 4, timedelta(seconds=2)))
    store.reactor.advance(2.9)
    assert results == []
    store.reactor.advance(0.2)
    assert isinstance(results[0].value, KeyValueUnavailableError)


def test_write_without_an_answer_has_an_unknown_outcome(store):
    results = store.start_call(store.store.put("a", b"1"))
    store.reactor.advance(1.1)
    assert isinstance(results[0].value, KeyValueOutcomeUnknownError)


@pytest.mark.parametrize(
    ("status", "message", "error"),
    [
        (412, {"items": [item("a", b"x", 8)]}, RevisionConflictError),
        (404, {}, LeaseNotFoundError),
    ],
)
def test_rejected_write_raises_a_typed_error(store, status, message, error):
    results = store.start_call(store.store.put("a", b"1", expected=3, lease="0.5"))
    store.answer(status, message)
    assert isinstance(results[0].value, error)


def test_lease_is_granted_and_renewal_of_an_expired_one_fails(store):
    results = store.start_call(store.store.grant_lease(timedelta(seconds=3)))
    assert store.transport.value().endswith(b'{"ttlMs":3000}')
    store.answer(200, {"lease": 77120, "ttlMs": 3000})
    assert results == ["0.77120"]
    renewed = []
    store.store.renew_lease("0.77120").addBoth(renewed.append)
    assert b"POST /v1/kv-keep/77120" in store.transport.value()
    store.answer(404, {})
    assert isinstance(renewed[0].value, LeaseNotFoundError)


def read_in_era(store, era, revision=9):
    """Read one entry from the store of an era and return its position."""
    results = store.start_call(store.store.get("a"))
    store.answer(200, item("a", b"1", revision), era)
    return results[0].revision


def test_positions_of_a_later_era_are_higher_and_never_equal(store):
    assert read_in_era(store, 3, revision=9) < read_in_era(store, 4, revision=5)
    assert read_in_era(store, 4, revision=9) == position(4, 9)


def test_watch_from_a_position_of_an_earlier_era_needs_a_new_read(store):
    after = read_in_era(store, 3)
    results = []
    store.store.changes("", after, timedelta(seconds=2)).addBoth(results.append)
    assert b"after=9&" in store.transport.value()
    # The history has grown past the revision again, so there is no 410.
    store.answer(200, {"events": [], "storeRevision": 12}, era=4)
    assert isinstance(results[0].value, HistoryCompactedError)


def test_lease_of_an_earlier_era_is_neither_renewed_nor_written_under(store):
    results = store.start_call(store.store.grant_lease(timedelta(seconds=3)))
    store.answer(200, {"lease": 5, "ttlMs": 3000}, era=3)
    read_in_era(store, 4)
    sent = len(store.transport.value())
    for call in (
        store.store.renew_lease(results[0]),
        store.store.put("a", b"1", lease=results[0]),
    ):
        failures = []
        call.addErrback(failures.append)
        assert isinstance(failures[0].value, LeaseNotFoundError)
    assert len(store.transport.value()) == sent


def test_renewal_that_is_answered_in_another_era_has_not_renewed_the_lease(store):
    """Another instance may have been granted a lease with the same number."""
    results = store.start_call(store.store.grant_lease(timedelta(seconds=3)))
    store.answer(200, {"lease": 5, "ttlMs": 3000}, era=3)
    renewed = []
    store.store.renew_lease(results[0]).addBoth(renewed.append)
    store.answer(200, {}, era=4)
    assert isinstance(renewed[0].value, LeaseNotFoundError)


def test_write_that_expects_a_position_of_an_earlier_era_is_not_sent(store):
    before = read_in_era(store, 3)
    read_in_era(store, 4)
    sent = len(store.transport.value())
    failures = []
    store.store.put("a", b"2", expected=before).addErrback(failures.append)
    assert isinstance(failures[0].value, RevisionConflictError)
    assert len(store.transport.value()) == sent


def test_compared_write_that_is_answered_in_another_era_has_an_unknown_outcome(store):
    before = read_in_era(store, 3)
    results = []
    store.store.put("a", b"2", expected=before).addBoth(results.append)
    store.answer(200, {"revision": 10}, era=4)
    assert isinstance(results[0].value, KeyValueOutcomeUnknownError)


def test_answer_of_an_earlier_era_than_one_seen_before_is_dropped(store):
    read_in_era(store, 4)
    results = []
    store.store.get("a").addBoth(results.append)
    store.answer(200, item("a", b"old", 8), era=3)
    assert isinstance(results[0].value, KeyValueUnavailableError)


@pytest.mark.parametrize(
    "figure", [b"null", b'"many"', b"-1", b"true", b"{}", b"9" * 400]
)
def test_an_engines_report_is_of_use_without_a_figure_that_cannot_be_read(
    codec, figure
):
    # Stage orders need the rest of the report.
    body = b'{"stage":"decode","seq":2,"running":%s,"waiting":1,"kvUsed":61000.0'
    body += b',"kvTotal":72605,"kvHandles":["h1","h2"],"later":1}'
    report = codec.parse_engine_report(body % figure)
    assert (report.accepted_orders, report.running, report.waiting) == (2, None, 1)
    assert (report.kv_used, report.kv_total, report.kv_handles) == (61_000, 72_605, 2)
