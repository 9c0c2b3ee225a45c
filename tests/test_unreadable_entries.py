"""Entries of the store from another writer: none may hide the others or end a process.

Guards against instances that end together, again after each restart, while one entry
under the servers or under the instances' own keys can't be decoded.
"""

import json
from random import Random

import pytest
from tests.forwarding_fakes import ListLog

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.crash_quarantine import CrashQuarantine
from pomeloglade.forwarding.instance_groups import Peer, decode_peer
from pomeloglade.forwarding.quarantine_store import QuarantineStore
from pomeloglade.forwarding.store_follower import MAX_RETRY_SECONDS, StoreFollower
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade.forwarding.version_history import VersionHistory
from pomeloglade.protocol.quarantine import QUARANTINE_PREFIX, QuarantineEntry, encode
from pomeloglade.protocol.quarantine import store_key as quarantine_key
from pomeloglade.protocol.software_versions import SOFTWARE_VERSIONS_PREFIX
from pomeloglade.protocol.software_versions import store_key as versions_key
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_platform import configuration, servers

SETTLED_SECONDS = 4.0
SERVER = {
    "service": "api",
    "address": "10.1.0.9:8080",
    "zone": "zone-a",
    "state": "ready",
    "slots": 6,
    "born": 1_783_311_283_363,
    "seq": 4,
    "version": "v1",
}
NESTED = b'{"future": ' + b"[" * 2_000 + b"]" * 2_000 + b"}"
HUGE = int("9" * 400)


def entry(**changes):
    return json.dumps(SERVER | changes).encode()


ODD_SERVERS = {
    "nested lists": NESTED,
    "nested lists in a sound entry": entry()[:-1] + b"," + NESTED[1:],
    "nested lists in a field": b'{"service": ' + b"[" * 2_000 + b"]" * 2_000 + b"}",
    "not closed": b'{"service": ' * 2_000,
    "huge slots": entry(slots=HUGE),
    "slots over 64 bits": entry(slots=2**64),
    "more slots than a server can have": entry(slots=10**9),
    "huge start": entry(born=HUGE),
    "negative start": entry(born=-1),
    "huge count": entry(seq=HUGE),
    "cold for ever": entry(coldRemainingMs=1e300),
    "port out of range": entry(address="10.1.0.9:70000"),
    "port 0": entry(address="10.1.0.9:0"),
    "port with a superscript": entry(address="10.1.0.9:8²"),
    "port in other digits": entry(address="10.1.0.9:٨٠"),
    "host name": entry(address="server.example:80"),
    "any address": entry(address="0.0.0.0:80"),
    "line feed in the address": entry(address="10.1.0.9\r\nX: y:80"),
    "long version": entry(version="v" * 100_000),
    "not UTF-8": b'{"service": "\xff"}',
}

odd_servers = pytest.mark.parametrize(
    "value", ODD_SERVERS.values(), ids=ODD_SERVERS.keys()
)


class Instance:
    """The parts of an instance that follow the store, with the platform's decoders."""

    def __init__(self, clock, store, decode_server=servers.decode):
        self.log = ListLog()
        self.backends = Backends(clock, lambda _: None)
        self.quarantine = CrashQuarantine(clock, self.log)
        layout = StoreLayout(
            "op/config",
            "servers/",
            "instances/",
            "orders",
            configuration.decode,
            decode_server,
            quarantine_prefix=QUARANTINE_PREFIX,
            versions_prefix=SOFTWARE_VERSIONS_PREFIX,
        )
        self.view = StoreView(
            layout=layout,
            backends=self.backends,
            log=self.log,
            revoke_seconds=5.0,
            transit_seconds=0.1,
            apply_seconds=2.0,
        )
        self.follower = StoreFollower(clock, store, "", self.view, self.log, Random(1))
        shared = {
            "clock": clock,
            "store": store,
            "instance": "entry-0",
            "backends": self.backends,
            "log": self.log,
            "instances": lambda: ["entry-0"],
            "store_age": self.follower.age,
            "wall_time": clock.seconds,
        }
        self.stored = QuarantineStore(quarantine=self.quarantine, **shared)
        self.view.quarantine = self.stored
        self.versions = VersionHistory(services=lambda: ["api"], **shared)
        self.view.versions = self.versions
        self.ended = []
        self.follower.start().addBoth(self.ended.append)

    def serving(self):
        return [each.id for each in self.backends.serving("api")]


@pytest.fixture
def store(clock):
    clock.advance(1000.0)
    store = MemoryKeyValueStore(clock)
    store.put("servers/first", entry())
    return store


def run(clock, seconds=SETTLED_SECONDS):
    for _ in range(int(seconds / 0.1)):
        clock.advance(0.1)


@odd_servers
def test_servers_entry_that_cannot_be_used_does_not_hide_the_others(
    clock, store, value
):
    instance = Instance(clock, store)
    store.put("servers/odd", value)
    store.put("servers/second", entry())
    run(clock)
    assert instance.ended == []
    assert instance.serving() == ["first", "second"]


@odd_servers
def test_full_read_leaves_out_a_servers_entry_that_cannot_be_used(clock, store, value):
    store.put("servers/odd", value)
    store.put("servers/second", entry())
    instance = Instance(clock, store)
    run(clock)
    assert instance.ended == []
    assert sorted(instance.serving()) == ["first", "second"]


@pytest.mark.parametrize("name", ["a\r\nX-Other: b", "é", " ", ""])
def test_server_whose_id_fits_into_no_header_is_left_out(clock, store, name):
    instance = Instance(clock, store)
    store.put(f"servers/{name}", entry())
    run(clock)
    assert instance.ended == []
    assert instance.serving() == ["first"]


def test_server_whose_entry_was_overwritten_is_used_again_once_it_registers(
    clock, store
):
    instance = Instance(clock, store)
    store.put("servers/second", entry())
    run(clock)
    store.put("servers/second", NESTED)
    run(clock)
    assert instance.serving() == ["first"]
    store.put("servers/second", entry())
    run(clock)
    assert instance.serving() == ["first", "second"]


ODD_QUARANTINES = {
    "nested lists": NESTED,
    "huge start of a run": encode(
        QuarantineEntry("api", (("first", HUGE),), (), 1_300.0)
    ),
    "end in the far future": encode(
        QuarantineEntry("api", tuple((f"s{n}", 1) for n in range(3)), (), 1e15)
    ),
    "more servers than are written": encode(
        QuarantineEntry("api", tuple((f"s{n}", 1) for n in range(5_000)), (), 1_300.0)
    ),
}


@pytest.mark.parametrize("value", ODD_QUARANTINES.values(), ids=ODD_QUARANTINES.keys())
@pytest.mark.parametrize("at_start", [True, False])
def test_quarantine_that_cannot_be_used_is_left_out(clock, store, value, at_start):
    sound = QuarantineEntry("api", tuple((f"s{n}", 1) for n in range(3)), (), 1_300.0)
    if at_start:
        store.put(quarantine_key(17), value)
        store.put(quarantine_key(18), encode(sound))
    instance = Instance(clock, store)
    store.put(quarantine_key(17), value)
    store.put(quarantine_key(18), encode(sound))
    run(clock)
    assert instance.ended == []
    assert set(instance.quarantine.quarantined()) == {18}


@pytest.mark.parametrize(
    "name", ["", "-0000000000000011", "11", "0x00000000000011", "f" * 100]
)
def test_quarantine_under_another_form_of_key_is_left_out(clock, store, name):
    runs = tuple((f"s{n}", 1) for n in range(3))
    value = encode(QuarantineEntry("api", runs, (), 1_300.0))
    store.put(QUARANTINE_PREFIX + name, value)
    instance = Instance(clock, store)
    run(clock)
    assert instance.ended == []
    assert instance.quarantine.quarantined() == {}


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b'{"last_seen_by_version": {"v0": %d}}' % HUGE,
        b'{"last_seen_by_version": {}, "era": %d}' % HUGE,
        b'{"last_seen_by_version": {"v0": 1e300}}',
    ],
    ids=["nested lists", "huge time", "huge era", "far future"],
)
@pytest.mark.parametrize("at_start", [True, False])
def test_version_record_that_cannot_be_used_is_written_again(
    clock, store, value, at_start
):
    if at_start:
        store.put(versions_key("api"), value)
    instance = Instance(clock, store)
    store.put(versions_key("api"), value)
    instance.versions.start()
    run(clock, 20.0)
    assert instance.ended == []
    assert instance.serving() == ["first"]
    assert b'"v1"' in store.get(versions_key("api")).result.value


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b"[]",
        b'{"address": 5, "zone": "zone-a"}',
        b'{"address": "10.0.0.1:80", "zone": ["zone-a"]}',
        b'{"address": "10.0.0.1:70000", "zone": "zone-a"}',
        b'{"address": "10.0.0.1:%s", "zone": "zone-a"}' % (b"9" * 5_000),
        b'{"address": "peer.example:80", "zone": "zone-a"}',
    ],
)
def test_registration_of_an_instance_that_cannot_be_used_raises_a_typed_error(value):
    with pytest.raises(ValueError, match="."):
        decode_peer(value)


def test_registration_of_an_instance_is_decoded():
    value = b'{"address": "10.0.0.1:7500", "zone": "zone-a"}'
    assert decode_peer(value) == Peer("zone-a", ("10.0.0.1", 7500))


@pytest.mark.parametrize("at_start", [True, False])
def test_decoder_that_raises_an_unforeseen_error_hides_only_its_entry(
    clock, store, at_start
):
    def decode(key, value):
        if key == "servers/odd":
            raise ZeroDivisionError
        return servers.decode(key, value)

    if at_start:
        store.put("servers/odd", entry())
        store.put("servers/second", entry())
    instance = Instance(clock, store, decode)
    store.put("servers/odd", entry())
    store.put("servers/second", entry())
    run(clock)
    assert instance.ended == []
    assert "entry_failed" in instance.log.names()
    assert sorted(instance.serving()) == ["first", "second"]


def test_follower_reads_again_after_a_copy_could_not_be_applied(
    clock, store, monkeypatch
):
    with monkeypatch.context() as patch:
        patch.setattr(StoreView, "replace_all", lambda *_, **__: 1 / 0)
        instance = Instance(clock, store)
        run(clock)
        assert instance.serving() == []
        assert "store_not_applied" in instance.log.names()
    run(clock, MAX_RETRY_SECONDS + SETTLED_SECONDS)
    assert instance.ended == []
    assert instance.serving() == ["first"]
