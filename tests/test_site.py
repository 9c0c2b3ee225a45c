"""Tests of the callers' HTTP site over an in-memory transport."""

import json

import pytest
from tests.fakes import KEY, FakeEngines, deployment, publish, start_instance, usage
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pomeloglade.coordination.entry_instance import EntryInstance
from pomeloglade.state.deployment import Deployment
from pomeloglade.transport.site import RouterSite
from pomeloglade.transport.status_page import StatusPage
from pomeloglade_coordination.key_value import MemoryKeyValueStore

MAX_BODY_BYTES = 2000
PROMPT = b'{"model": "m", "prompt": "hello", "max_tokens": 4, "stream": true}'


class Caller:
    """One connection of a caller."""

    def __init__(self, factory):
        address = IPv4Address("TCP", "127.0.0.1", 1)
        self.protocol = factory.buildProtocol(address)
        self.transport = StringTransport(peerAddress=address)
        self.protocol.makeConnection(self.transport)

    def send(self, method, path, body=b"", key=KEY, headers=()):
        lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if not any(line.lower().startswith("transfer") for line in lines):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.protocol.dataReceived(head + body)
        return self

    @property
    def answer(self):
        return self.transport.value()

    @property
    def status(self):
        return int(self.answer.split()[1])

    @property
    def error(self):
        body = self.answer[self.answer.index(b'{"error"') :].decode()
        return json.JSONDecoder().raw_decode(body)[0]["error"]

    def disconnect(self):
        self.protocol.connectionLost(Failure(ConnectionLost()))


@pytest.fixture
def engines():
    return FakeEngines()


@pytest.fixture
def instance(clock, engines):
    store = MemoryKeyValueStore(clock)
    publish(store, deployment())
    instance = start_instance(clock, store, engines)
    clock.pump([0.5] * 40)
    return instance


def factory_of(instance: EntryInstance):
    status = StatusPage(
        instance.members,
        instance.in_force,
        instance.configuration_spread,
        instance.open_requests,
        instance.counters,
    )
    site = RouterSite(instance.in_force, instance.tasks, instance.metrics, status)
    return site.build_factory(MAX_BODY_BYTES)


@pytest.fixture
def factory(instance):
    return factory_of(instance)


@pytest.mark.parametrize(
    ("request_parts", "status", "reason"),
    [
        (("POST", "/nowhere", b""), 404, "unknown_route"),
        (("POST", "/v1/completions", b"{"), 400, "bad_request"),
        (("GET", "/v1/completions", b""), 400, "bad_request"),
        (
            ("POST", "/v1/completions", b'{"model": "x", "prompt": "p"}'),
            404,
            "unknown_model",
        ),
        (("POST", "/bookings/a", b"x"), 400, "idempotency_key_missing"),
        (("POST", "/v1/completions", b"x" * 2001), 413, "body_too_large"),
    ],
)
def test_bad_request_gets_an_error_with_a_reason(
    factory, request_parts, status, reason
):
    caller = Caller(factory).send(*request_parts)
    assert (caller.status, caller.error["reason"]) == (status, reason)
    assert caller.error["not_run"]


@pytest.mark.parametrize(
    ("key", "reason"), [("", "key_missing"), ("wrong", "key_unknown")]
)
def test_call_without_a_known_key_is_refused(factory, key, reason):
    caller = Caller(factory).send("POST", "/v1/completions", PROMPT, key)
    assert (caller.status, caller.error["reason"]) == (401, reason)


def test_chunked_body_over_the_limit_is_refused(factory, instance):
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    headers = ("Transfer-Encoding: chunked",)
    caller = Caller(factory).send("POST", "/roster/x", chunk * 2, headers=headers)
    assert caller.status == 413
    assert caller.transport.disconnecting
    assert len(instance.open_requests) == 0


def test_instance_without_a_configuration_is_not_ready(clock):
    instance = start_instance(clock, MemoryKeyValueStore(clock))
    caller = Caller(factory_of(instance)).send("GET", "/ready", key="")
    assert caller.status == 503
    refused = Caller(factory_of(instance)).send("GET", "/roster/x")
    assert refused.error["reason"] == "not_ready"
    assert instance.in_force.deployment == Deployment()


def test_stream_ends_with_done_only_when_it_is_complete(factory, engines, clock):
    caller = Caller(factory).send("POST", "/v1/completions", PROMPT)
    clock.pump([0.01] * 5)
    (request_id,) = engines.streams
    engines.send_tokens(request_id, 2)
    assert b"t1" in caller.answer
    assert b"[DONE]" not in caller.answer
    engines.finish(request_id, usage())
    assert caller.answer.count(b"[DONE]") == 1
    assert request_id.encode() in caller.answer


def test_disconnect_of_the_caller_frees_engine_memory(
    factory, engines, clock, instance
):
    caller = Caller(factory).send("POST", "/v1/completions", PROMPT)
    clock.pump([0.01] * 5)
    assert engines.held_request_ids
    caller.disconnect()
    clock.pump([0.01] * 5)
    assert engines.held_request_ids == set()
    assert len(instance.open_requests) == 0


def test_two_streams_never_get_each_others_tokens(factory, engines, clock):
    callers = [
        Caller(factory).send("POST", "/v1/completions", PROMPT) for _ in range(2)
    ]
    clock.pump([0.01] * 5)
    for request_id in list(engines.streams):
        _, on_token, _ = engines.streams[request_id]
        on_token(type("T", (), {"index": 0, "text": f"for {request_id}"})())
    for caller in callers:
        own = caller.answer.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
        texts = [part.split(b'"')[0] for part in caller.answer.split(b"for ")[1:]]
        assert set(texts) == {own}


def test_metrics_page_has_the_counters_of_refusals(factory):
    Caller(factory).send("POST", "/nowhere")
    page = Caller(factory).send("GET", "/metrics", key="").answer.decode()
    line = 'pomeloglade_refusals_total{reason="unknown_route",step="receive"} 1.0'
    assert line in page
