"""Changes of the store that reach members through their contact, and lost ones."""

from random import Random

import pytest
from tests.faulty_fleet import StoreFault
from tests.forwarding_fakes import ListLog
from tests.report_fleet import KNOWN_WITHIN_SECONDS, Fleet

from pomeloglade.forwarding.backends import Backends, BackendServer
from pomeloglade.forwarding.deployment import Account
from pomeloglade.forwarding.store_follower import MAX_LAG_SECONDS, MAX_WATCH_SECONDS
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade_coordination.key_value import Entry


@pytest.fixture
def fleet():
    fleet = Fleet(40)
    fleet.run(2 * MAX_WATCH_SECONDS)
    return fleet


def store_calls(fleet):
    return sum(each.follower.calls for each in fleet.instances)


def entries_in_store(fleet):
    return {
        entry.key: entry.value
        for entry in fleet.store.snapshot("").result.entries
        if entry.value
    }


def equal_to_store(fleet):
    expected = entries_in_store(fleet)
    return [each.view.entries == expected for each in fleet.live()]


# Each change cost a call of every instance to the store.
def test_urgent_change_reaches_members_without_calls_of_their_own(fleet):
    before = store_calls(fleet)
    for version in range(5):
        fleet.store.put("op/config", b"%d" % version)
        fleet.run(2 * KNOWN_WITHIN_SECONDS)
        assert {e.view.entries["op/config"] for e in fleet.instances} == {
            b"%d" % version
        }
    watches = 8 * len(fleet.contacts())
    assert store_calls(fleet) - before <= 5 * len(fleet.contacts()) + watches


# Registrations that are written again unchanged made all members read the store.
def test_repeated_registrations_cost_no_calls_of_members(fleet):
    fleet.store.put("servers/a", b"ready")
    fleet.run(MAX_LAG_SECONDS + 1.0)
    before = store_calls(fleet)
    for _ in range(20):
        fleet.store.put("servers/a", b"ready")
        fleet.run(0.5)
    assert store_calls(fleet) - before <= 25 * len(fleet.contacts())


# Datagrams get lost: a member that lacks a change must not rely on a later one.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_members_with_lost_datagrams_have_all_changes_in_the_end(fleet, seed):
    random = Random(seed)
    fleet.loses_datagram = lambda: random.random() < 0.3
    for step in range(40):
        key = f"servers/{random.randrange(6)}"
        if random.random() < 0.3:
            fleet.store.delete(key)
        else:
            fleet.store.put(key, b"%d" % random.randrange(3))
        if random.random() < 0.2:
            fleet.store.put("op/config", b"%d" % step)
        fleet.run(random.choice((0.01, 0.1, 0.4)))
    fleet.run(2 * MAX_LAG_SECONDS)
    assert all(equal_to_store(fleet))


# The next contact has read the store by itself; what it passes on begins elsewhere.
def test_changes_are_complete_after_the_contact_has_ended(fleet):
    for number, name in enumerate(sorted(fleet.contacts())):
        fleet.store.put("servers/a", b"%d" % number)
        fleet.run(0.05)
        fleet.kill(next(each for each in fleet.instances if each.name == name))
        fleet.store.put("op/config", b"%d" % number)
        fleet.run(0.3)
        fleet.store.put("servers/b", b"%d" % number)
    fleet.run(2 * MAX_LAG_SECONDS)
    assert all(equal_to_store(fleet))


def test_member_that_is_cut_off_from_its_contact_reads_the_store(fleet):
    fleet.cut_zone = "zone-a"
    member = next(
        each
        for each in fleet.instances
        if each.zone == "zone-a" and each.relay.contact != each.name
    )
    for each in fleet.instances:
        if each.relay.contact == each.name:
            each.store.fault = StoreFault.DOWN
    fleet.store.put("op/config", b"new")
    fleet.run(MAX_WATCH_SECONDS + 1.0)
    assert member.view.entries["op/config"] == b"new"


def test_changes_follow_a_store_that_returned_from_an_older_copy(fleet):
    copy = fleet.store.copy()
    fleet.store.put("op/config", b"lost")
    fleet.run(1.0)
    fleet.store.restore(copy)
    fleet.run(MAX_WATCH_SECONDS)
    fleet.store.put("servers/a", b"after")
    fleet.run(2 * MAX_LAG_SECONDS)
    assert {e.view.entries.get("servers/a") for e in fleet.instances} == {b"after"}


def test_only_changes_that_make_a_difference_are_relevant(clock):
    backends = Backends(clock, lambda _: None)
    known = BackendServer("a", "api", "10.0.0.1:80", "zone-a", 2)
    backends.put(known)
    view = StoreView(
        layout=StoreLayout(
            "op/config",
            "servers/",
            "instances/",
            "orders",
            None,
            lambda key, value: BackendServer(
                key[8:], value.decode(), "10.0.0.1:80", "zone-a", 2
            ),
        ),
        backends=backends,
        log=ListLog(),
        revoke_seconds=5.0,
        transit_seconds=0.1,
        apply_seconds=2.0,
    )
    view.instances = {"entry-1": b"x"}
    changes = {
        ("servers/a", b"api"): False,
        ("servers/a", b"llm"): True,
        ("servers/a", b""): True,
        ("servers/gone", b""): False,
        ("instances/entry-1", b"x"): False,
        ("instances/entry-1", b"y"): True,
        ("instances/entry-2", b""): False,
        ("orders", b""): False,
        ("orders", b"held"): True,
        ("op/config", b"8"): True,
    }
    for (key, value), relevant in changes.items():
        assert view.relevant(Entry(key, value, 4)) is relevant, key


# All members count as returned when their contact changes. On links of 5 Mbit/s, what
# each was then sent with every report held up the reports for seconds.
def test_change_of_contacts_costs_few_bytes_while_the_store_changes():
    fleet = Fleet(130)
    for each in fleet.instances:
        for account in range(16):
            name = f"account-{account}"
            each.admit(Account(name, frozenset(), rate=1e5, burst=1e5), 200)
    fleet.run(8.0)
    for number in range(20):
        fleet.store.put(f"servers/{number}", b"x" * 500)
        fleet.run(0.05)
    for each in fleet.instances:
        for account in range(16):
            name = f"account-{account}"
            each.admit(Account(name, frozenset(), rate=1e5, burst=1e5), 200)
    before = {each.name: each.bytes for each in fleet.instances}
    for name in sorted(fleet.contacts()):
        fleet.kill(next(each for each in fleet.instances if each.name == name))
    fleet.run(2.0)
    sent = [each.bytes - before[each.name] for each in fleet.live()]
    assert max(sent) < 5_000_000 / 8 * 2.0 / 2
