"""What instances know of each other, in fleets of 6 to 195, with faults."""

import pytest
from tests.faulty_fleet import StoreFault
from tests.report_fleet import (
    KNOWN_WITHIN_SECONDS,
    LIMIT,
    SETTLED_SECONDS,
    SIZES,
    ZONES,
    Fleet,
)

from pomeloglade.forwarding.deployment import Account
from pomeloglade.forwarding.instance_groups import (
    MAX_GROUP_SIZE,
    InstanceGroups,
)
from pomeloglade.forwarding.instance_reports import (
    Report,
    encode,
)
from pomeloglade.forwarding.remote_queues import QueueRank, QueueSummary
from pomeloglade.forwarding.store_follower import (
    CONTACT_WATCH_SECONDS,
    MAX_LAG_SECONDS,
    MAX_RELAYED_AGE_SECONDS,
    MAX_WATCH_SECONDS,
)
from pomeloglade.forwarding.tally import Tally


@pytest.fixture(scope="module")
def account():
    return Account("club", frozenset(), rate=10_000.0, burst=40_000.0)


@pytest.mark.parametrize("size", SIZES)
def test_every_instance_knows_the_sum_of_all_loads(size):
    fleet = Fleet(size)
    for number, each in enumerate(fleet.instances):
        each.begin("engine-1", 100 + number)
    fleet.run(KNOWN_WITHIN_SECONDS)
    tokens = sum(100 + number for number in range(size))
    for each in fleet.instances:
        total = each.loads.total("engine-1")
        assert (total.calls, total.tokens) == (size, tokens)
    for number, each in enumerate(fleet.instances):
        each.end("engine-1", 100 + number)
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert {e.loads.total("engine-1").calls for e in fleet.instances} == {0}


@pytest.mark.parametrize("size", SIZES)
def test_fleet_keeps_the_limit_of_an_account_together(size, account):
    fleet = Fleet(size)
    admitted = 0
    for step in range(800):
        instance = fleet.instances[step * 7 % size]
        admitted += 1000 * instance.admit(account, 1000)
        fleet.run(0.01)
    limit = account.rate * 8.0 + account.burst
    # One call per 10 ms: what was admitted within the delay of the reports may exceed
    # the limit.
    assert 0.9 * limit <= admitted <= limit + 1000 * KNOWN_WITHIN_SECONDS / 0.01


@pytest.mark.parametrize("size", [40, 130])
def test_messages_per_instance_hardly_grow_with_the_fleet(size):
    fleet = Fleet(size)
    fleet.datagrams = 0
    before = [each.bytes for each in fleet.instances]
    for step in range(100):
        instance = fleet.instances[step * 7 % size]
        instance.begin("engine-1", 100)
        fleet.run(0.02)
        instance.end("engine-1", 100)
    # Reporting to all would be over 49 x size per second: each call changes twice.
    assert fleet.datagrams / 2.0 / size < 40
    sent = [e.bytes - b for e, b in zip(fleet.instances, before, strict=True)]
    assert sum(sent) / size / 2.0 < 8_000


def test_idle_fleet_of_195_sends_few_bytes():
    fleet = Fleet(195)
    for each in fleet.instances:
        each.bytes = 0
    fleet.run(2.0)
    mean = sum(each.bytes for each in fleet.instances) / 195 / 2.0
    assert mean < 4_000


def test_killed_contact_is_replaced_and_its_load_is_forgotten(account):
    fleet = Fleet(40)
    contact = next(each for each in fleet.instances if each.relay.contact == each.name)
    for each in fleet.instances:
        each.begin("engine-1", 100)
    fleet.run(KNOWN_WITHIN_SECONDS)
    fleet.kill(contact)
    fleet.run(SETTLED_SECONDS)
    assert contact.name not in fleet.contacts()
    for each in fleet.live():
        assert each.loads.total("engine-1").calls == 39
    again = fleet.restart(contact)
    fleet.run(SETTLED_SECONDS)
    assert again.name in fleet.contacts()
    for each in fleet.live():
        assert each.loads.total("engine-1").calls == 39


@pytest.mark.parametrize(("size", "least"), [(6, 6), (40, 39)])
def test_calls_of_a_silent_contacts_group_count_until_another_reports_them(size, least):
    """A frozen instance's calls still hold their slots."""
    fleet = Fleet(size)
    contact = next(e for e in fleet.instances if e.relay.contact == e.name)
    watcher = next(
        each
        for each in fleet.instances
        if each.relay.contact == each.name and each is not contact
    )
    for each in fleet.instances:
        each.begin("engine-1", 100)
    fleet.run(KNOWN_WITHIN_SECONDS)
    fleet.kill(contact)
    for _ in range(20):
        fleet.run(0.1)
        assert least <= watcher.loads.total("engine-1").calls <= size


def test_limit_is_kept_while_contacts_are_killed_and_come_back(account):
    fleet = Fleet(40)
    limit = account.rate * 8.0 + account.burst
    admitted = []
    for step in range(1600):
        live = fleet.live()
        instance = live[step * 7 % len(live)]
        if instance.admit(account, 1000):
            admitted.append(fleet.clock.seconds())
        if step % 400 == 200:
            contact = fleet.by_address[
                next(e.address for e in live if e.relay.contact == e.name)
            ]
            fleet.kill(contact)
        if step % 400 == 300:
            for each in fleet.instances:
                if not each.alive:
                    fleet.restart(each)
        fleet.run(0.01)
    newest = max(admitted)
    in_window = 1000 * sum(each > newest - 8.0 for each in admitted)
    # A tenth is tolerated; the restarted instances and the new contact's members don't
    # know the use of the last moments.
    assert in_window <= 1.1 * limit + 30_000


def test_cut_zone_keeps_its_share_and_the_others_theirs(account):
    fleet = Fleet(42)
    fleet.cut_zone = "zone-a"
    fleet.run(SETTLED_SECONDS)
    admitted = {True: 0, False: 0}
    for step in range(800):
        instance = fleet.instances[step * 5 % 42]
        inside = instance.zone == fleet.cut_zone
        admitted[inside] += 1000 * instance.admit(account, 1000)
        fleet.run(0.01)
    limit = account.rate * 8.0 + account.burst
    delayed = 1000 * KNOWN_WITHIN_SECONDS / 0.01
    assert admitted[True] <= limit / 3 + delayed
    assert admitted[False] <= limit * 2 / 3 + delayed
    assert sum(admitted.values()) >= 0.7 * limit


def test_use_is_not_charged_again_after_the_registrations_lapsed(account):
    fleet = Fleet(40)
    for each in fleet.instances:
        assert each.admit(account, 2000)
    fleet.run(8.5)
    for each in fleet.instances:
        each.relay.set_peers({})
    fleet.run(0.5)
    fleet.register()
    fleet.run(SETTLED_SECONDS)
    assert all(e.usage.used_fraction(account) < 0.1 for e in fleet.instances)


def test_queues_are_merged_with_the_first_rank_and_the_number_of_instances():
    fleet = Fleet(40)
    now = fleet.clock.seconds()
    for number, each in enumerate(fleet.instances[:5]):
        rank = QueueRank(False, 1, 0, now - number)
        each.waiting = {"llm": QueueSummary(2, rank)}
        each.relay.schedule_report()
    fleet.run(KNOWN_WITHIN_SECONDS)
    last = fleet.instances[-1].queues
    assert last.count("llm") == 10
    assert last.instances_ahead("llm", QueueRank(False, 1, 0, now + 9)) == 5


def store_calls(fleet):
    return sum(each.follower.calls for each in fleet.instances)


def test_members_call_the_store_only_for_changes(account):
    fleet = Fleet(130)
    fleet.run(2 * MAX_WATCH_SECONDS)
    before = store_calls(fleet)
    fleet.run(8.0)
    contacts = len(fleet.contacts())
    assert store_calls(fleet) - before <= contacts * (8.0 / CONTACT_WATCH_SECONDS + 1)
    assert max(e.follower.age() for e in fleet.instances) < MAX_RELAYED_AGE_SECONDS
    before = store_calls(fleet)
    fleet.store.put("op/config", b"1")
    fleet.run(0.5)
    assert {e.view.entries.get("op/config") for e in fleet.instances} == {b"1"}
    assert store_calls(fleet) - before <= 130 + 2 * contacts


def test_changes_that_are_not_urgent_are_fetched_together():
    fleet = Fleet(40)
    fleet.run(2 * MAX_WATCH_SECONDS)
    before = store_calls(fleet)
    for number in range(5):
        fleet.store.put(f"instances/{number}", b"1")
        fleet.run(0.5)
    fleet.run(MAX_LAG_SECONDS + 0.5)
    assert all("instances/4" in each.view.entries for each in fleet.instances)
    assert store_calls(fleet) - before <= 40 * 2 + 10 * len(fleet.contacts())


def test_members_watch_the_store_themselves_if_their_contact_is_cut_off_from_it():
    fleet = Fleet(40)
    fleet.run(2 * MAX_WATCH_SECONDS)
    for each in fleet.instances:
        if each.relay.contact == each.name:
            each.store.fault = StoreFault.DOWN
    ages = []
    for _ in range(60):
        fleet.run(0.1)
        ages += [
            each.follower.age()
            for each in fleet.instances
            if each.store.fault is StoreFault.NONE
        ]
    # The limit on serving withdrawn keys allows 3.7 s.
    assert max(ages) < 3.3
    fleet.store.put("op/config", b"2")
    fleet.run(MAX_WATCH_SECONDS)
    for each in fleet.instances:
        if each.store.fault is StoreFault.NONE:
            assert each.view.entries["op/config"] == b"2"


def test_proof_counts_from_the_report_that_it_echoes():
    """A digest that was held up must not make an old copy look current."""
    fleet = Fleet(40)
    fleet.run(2 * MAX_WATCH_SECONDS)
    member = next(e for e in fleet.instances if e.relay.contact != e.name)
    held = []
    deliver, fleet.deliver = fleet.deliver, lambda *each: held.append(each)
    fleet.run(0.6)
    fleet.deliver = deliver
    for each in fleet.instances:
        each.store.fault = StoreFault.DOWN
        fleet.kill(each)
    member.alive = True
    fleet.run(4.0)
    late = [each for each in held if each[2] is member]
    assert late
    for each in late:
        deliver(*each)
    assert member.follower.age() >= 4.0


def test_instances_learn_of_a_failing_server_from_the_others_calls():
    fleet = Fleet(130)
    for each in fleet.instances[:10]:
        each.health.record_failure("engine-1")
        each.health.record_success("engine-2")
        each.relay.schedule_report()
    fleet.run(KNOWN_WITHIN_SECONDS)
    for each in fleet.instances:
        assert each.health.failure_rate("engine-1") > 0.6
        assert each.health.failure_rate("engine-2") == 0.0
    assert not fleet.instances[-1].health.avoided("engine-1")


def test_failures_without_calls_are_ignored():
    fleet = Fleet(6)
    sender, receiver = fleet.instances[:2]
    report = Report(
        sender.name, 1, 9_999, failures={"a": Tally(1, 0), "b": Tally(2, 2)}
    )
    receiver.exchange.datagramReceived(encode(report), sender.address)
    assert receiver.health.failure_rate("a") == 0.0
    assert receiver.health.failure_rate("b") > 0.3


def spend(fleet, instances, attempts, seconds):
    """Let some instances try to retry evenly, and return how often they could."""
    spent = 0
    for number in range(attempts):
        instance = instances[number % len(instances)]
        if instance.budget.try_spend("app"):
            spent += 1
            instance.relay.schedule_report()
        fleet.run(seconds / attempts)
    return spent


@pytest.mark.parametrize("size", [6, 130])
def test_instances_that_need_retries_use_what_the_others_leave(size):
    """An even share of 430 retries is 2 of 130 instances, and one failing server's
    callers come to few of them."""
    fleet = Fleet(size)
    spent = spend(fleet, fleet.instances[:3], 200, 4.0)
    assert spent >= 0.25 * LIMIT.slack
    assert spent <= 0.8 * LIMIT.slack


def test_retries_of_slow_calls_keep_to_the_even_share():
    """In overload, calls time out at every instance at once."""
    fleet = Fleet(40)
    share = int(0.8 * LIMIT.slack / 40)
    instance = fleet.instances[0]
    assert instance.budget.remaining_share("app") == share
    assert instance.budget.remaining("app") > 5 * share
    spend(fleet, [instance], share, 0.5)
    assert instance.budget.remaining_share("app") == 0
    assert instance.budget.remaining("app") > 0


@pytest.mark.parametrize("size", [6, 40, 130])
def test_fleet_keeps_the_retry_budget_if_all_need_retries(size):
    fleet = Fleet(size)
    assert spend(fleet, fleet.instances, 2_000, 6.0) <= LIMIT.slack


def test_fleet_keeps_the_retry_budget_if_a_zone_is_cut_off_in_the_midst():
    fleet = Fleet(42)
    spent = spend(fleet, fleet.instances[:6], 400, 3.0)
    fleet.cut_zone = "zone-a"
    spent += spend(fleet, fleet.instances, 1_000, 4.0)
    assert spent <= LIMIT.slack


def test_calls_and_retries_are_counted_once_by_every_instance():
    fleet = Fleet(40)
    for each in fleet.instances:
        each.budget.record_call("app")
        assert each.budget.try_spend("app")
        each.relay.schedule_report()
    fleet.run(1.0)
    for each in fleet.instances:
        others = each.budget._others_by_service["app"].sum
        assert (others.events, others.calls) == (39, 39)


def test_reports_of_unregistered_instances_and_other_addresses_are_dropped():
    fleet = Fleet(6)
    receiver = fleet.instances[0]
    for name, address in (("stranger", ("10.9.9.9", 1)), ("entry-1", ("10.9.9.9", 1))):
        forged = Report(name, 9, 9_999, work={"engine-1": (7, 7)})
        receiver.exchange.datagramReceived(encode(forged), address)
    assert receiver.loads.total("engine-1").calls == 0
    assert receiver.log.names().count("report_of_unknown") == 2


def test_groups_are_small_and_equal_for_all_and_hardly_move():
    zones = {f"entry-{n}": ZONES[n % 3] for n in range(195)}
    groups = InstanceGroups(zones)
    # Hashing spreads the 65 instances of a zone unevenly over its four groups.
    assert max(len(groups.ranking(g)) for g in groups.names()) <= 1.5 * MAX_GROUP_SIZE
    assert len(groups.names()) <= 12
    left = dict(zones)
    del left["entry-7"]
    moved = [n for n in left if InstanceGroups(left).group_of(n) != groups.group_of(n)]
    assert moved == []
