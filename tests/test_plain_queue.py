"""Queues of plain services in a fleet: bursts, shares, returning callers, cut reports.

Three servers have six slots each, at which a call takes 66 ms: 272 calls a second.
"""

import pytest
from tests.forwarding_fakes import Harness, server
from tests.plain_fleet import TIME_LIMIT_SECONDS, PlainFleet

from pomeloglade.forwarding.calls import ServerLoad

BURST_RATE = 600
"""2.2 times what the servers finish."""


def make_burst(**options):
    fleet = PlainFleet(6, **options)
    fleet.burst(100, 1.0)
    fleet.run(1.5)
    fleet.outcomes.clear()
    fleet.burst(BURST_RATE, 4.0)
    fleet.run(4.0)
    during = sum(
        fleet.clock.seconds() - 3.0 <= at < fleet.clock.seconds()
        for each in fleet.servers
        for at in each.finished_at
    )
    fleet.run(5.0)
    return fleet, during


# Guards against servers full of calls that will be late, as with four calls a slot.
def test_more_calls_are_answered_and_on_time_in_a_burst_than_without_the_queue():
    before, _ = make_burst(queued=False)
    after, during = make_burst()
    assert after.counts()["on_time"] > 1.3 * before.counts()["on_time"]
    assert after.counts()["refused"] < 0.5 * before.counts()["refused"]
    # The slots are not left idle while reports travel.
    assert during > 0.93 * 3 * 272
    # Sending a rejected call again uses the retry budget.
    assert sum(each.rejected for each in after.servers) < 0.02 * after.calls
    assert not any(len(each.plain_queues) for each in after.fleet.instances)
    assert after.counts()["expired"] < 0.01 * after.calls


# Guards against refusals or delays of calls while servers are free.
def test_nothing_is_refused_at_the_usual_load():
    fleet = PlainFleet(6)
    fleet.burst(100, 4.0)
    fleet.run(5.0)
    counts = fleet.counts()
    assert counts["on_time"] == sum(counts.values()) > 350


# Guards against one account's burst that takes the capacity of all others.
def test_account_with_six_times_its_usual_is_served_less_often_than_the_others():
    fleet = PlainFleet(6)
    accounts = [f"account-{number}" for number in range(12)] + ["heavy"] * 12

    def make():
        account = fleet.random.choice(accounts)
        fleet.call(account=account, label="heavy" if account == "heavy" else "others")

    fleet.burst(100, 1.0, make)
    fleet.run(1.0)
    fleet.burst(500, 4.0, make)
    fleet.run(9.0)
    on_time = {
        label: fleet.counts(label)["on_time"] / sum(fleet.counts(label).values())
        for label in ("heavy", "others")
    }
    assert on_time["others"] > 1.5 * on_time["heavy"]


# Guards against serving a smaller fraction of the more urgent calls.
def test_more_urgent_calls_are_served_at_least_as_often():
    fleet = PlainFleet(6)

    def make():
        priority = fleet.random.choice((0, 1))
        fleet.call(priority=priority, label=f"priority {priority}")

    fleet.burst(100, 1.0, make)
    fleet.run(1.0)
    fleet.burst(BURST_RATE, 3.0, make)
    fleet.run(8.0)
    urgent, less_urgent = (fleet.counts(f"priority {each}") for each in (0, 1))
    assert urgent["on_time"] > less_urgent["on_time"]
    assert urgent["refused"] + urgent["expired"] <= (
        less_urgent["refused"] + less_urgent["expired"]
    )


# Guards against callers who gain by ignoring when to come back.
def test_callers_who_come_back_at_once_are_not_served_more_often_on_time():
    fleet = PlainFleet(6)

    def make():
        honours = fleet.random.random() < 0.8
        fleet.call(honours=honours, label="honours" if honours else "insists")

    fleet.burst(100, 1.0, make)
    fleet.run(1.0)
    fleet.burst(BURST_RATE, 3.0, make)
    fleet.run(8.0)
    on_time = {
        label: fleet.counts(label)["on_time"] / sum(fleet.counts(label).values())
        for label in ("honours", "insists")
    }
    assert on_time["insists"] < 1.15 * on_time["honours"]
    refused = fleet.counts("honours")["refused"] / sum(fleet.counts("honours").values())
    assert refused < 0.35


# Guards against instances that send or serve nothing while reports are lost.
def test_servers_stay_busy_while_an_availability_zone_hears_no_reports():
    fleet = PlainFleet(6)
    fleet.burst(100, 1.0)
    fleet.run(1.5)
    fleet.fleet.cut_zone = "zone-a"
    fleet.outcomes.clear()
    begin = fleet.clock.seconds()
    fleet.burst(400, 3.0)
    fleet.run(3.0)
    finished = sum(at >= begin for each in fleet.servers for at in each.finished_at)
    fleet.run(5.0)
    assert finished > 0.85 * 3 * 272
    assert not any(len(each.plain_queues) for each in fleet.fleet.instances)


# Guards against others that yield for ever to the queue of an instance that ended.
def test_queue_of_an_instance_that_ended_is_not_counted():
    fleet = PlainFleet(6)
    fleet.burst(100, 1.0)
    fleet.run(1.5)
    fleet.burst(BURST_RATE, 1.5)
    fleet.run(1.5)
    ended = max(fleet.fleet.instances, key=lambda each: len(each.plain_queues))
    assert len(ended.plain_queues)
    fleet.fleet.kill(ended)
    fleet.run(TIME_LIMIT_SECONDS + 3.0)
    fleet.outcomes.clear()
    fleet.burst(100, 1.0)
    fleet.run(2.0)
    counts = fleet.counts()
    assert counts["on_time"] == sum(counts.values()) > 50


@pytest.fixture
def harness():
    return Harness(server("a"), server("bb"))


# Guards against a change for services whose servers do not report their load.
@pytest.mark.parametrize("load", [None, b"0,0,2"])
def test_service_without_a_reported_pace_has_no_queue(harness, load):
    harness.call("/bookings/1")
    harness.advance(0.1)
    harness.network.requests[-1].answer(x_pomeloglade_server_load=load)
    for _ in range(20):
        harness.call("/bookings/1")
    assert len(harness.network.requests) == 1 + 16


# Guards against calls that are held until their time limit has passed.
def test_call_whose_time_limit_can_not_be_met_is_refused_before_it(harness):
    load = {"x_pomeloglade_server_load": b"0,0,2,100"}
    for _ in range(4):
        harness.call("/bookings/1")
        harness.advance(0.1)
        harness.network.requests[-1].answer(**load)
    calls = [harness.call("/bookings/1", limit_ms=1000)[0] for _ in range(20)]
    refused = [each for each in calls if each.done]
    assert refused
    assert all(each.reason == "servers_busy" for each in refused)
    assert all(float(each.headers[b"retry-after"]) >= 0.1 for each in refused)
    sent = len(harness.network.requests) - 4
    harness.advance(0.9)
    assert len([each for each in calls if each.done]) == len(calls) - sent


def fill(harness):
    """Learn the duration of a call, 0.1 s, and let both servers report calls."""
    harness.call("/bookings/1")
    harness.advance(0.1)
    harness.network.requests[-1].answer(x_pomeloglade_server_load=b"0,0,2,100")
    for name in ("a", "bb"):
        harness.loads.record_reported_load(name, ServerLoad(2, 4, 2, 100))
    harness.network.requests.clear()


# Guards against calls that wait for servers which have left.
def test_waiting_call_is_refused_once_no_server_is_left(harness):
    fill(harness)
    responder, _ = harness.call("/bookings/1")
    harness.backends.replace_all([], lenient=False)
    harness.advance(0.05)
    assert (responder.status, responder.reason) == (503, "no_server")
    assert len(harness.plain_queues) == 0


def test_caller_that_leaves_is_removed_from_the_queue(harness):
    fill(harness)
    _, task = harness.call("/bookings/1")
    assert len(harness.plain_queues) == 1
    task.cancel()
    assert len(harness.plain_queues) == 0
    harness.advance(0.5)
    assert harness.network.requests == []


# Guards against a division by the duration of a call that took no time at all.
def test_answers_without_a_measurable_duration_do_no_harm(harness):
    for _ in range(3):
        responder, _ = harness.call("/bookings/1")
        harness.network.requests[-1].answer(x_pomeloglade_server_load=b"0,0,2,100")
        assert responder.status == 200


# Guards against leaving slots idle after a burst, or waiting for a report.
def test_waiting_calls_are_sent_when_a_server_that_was_full_has_room(harness):
    fill(harness)
    responder, _ = harness.call("/bookings/1")
    assert not responder.done
    harness.advance(0.25)
    assert len(harness.network.requests) == 1
