"""Which requests end servers, as instances of small and large fleets find out."""

import pytest
from tests.forwarding_fakes import ListLog
from tests.report_fleet import (
    KNOWN_WITHIN_SECONDS,
    SETTLED_SECONDS,
    SIZES,
    ZONES,
    Fleet,
)
from twisted.internet.task import Clock

from pomeloglade.forwarding.crash_quarantine import (
    CRASHES_TO_QUARANTINE,
    MAX_RECORDS,
    MAX_REPORTED_KEYS,
    MAX_TIED_CRASHES,
    MEMORY_SECONDS,
    QUARANTINE_SECONDS,
    REPORTED_SECONDS,
    SOUND_SECONDS,
    CrashQuarantine,
)
from pomeloglade.forwarding.report_scope import ReportScope

CULPRIT, SOUND, OTHER = 7, 8, 9

BUSY_BYTES_PER_SECOND = 8_000
"""Twice what an idle instance may send."""


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(1000.0)
    return clock


@pytest.fixture
def log():
    return ListLog()


@pytest.fixture
def quarantine(clock, log):
    return CrashQuarantine(clock, log)


def end_servers(quarantine, keys, count=CRASHES_TO_QUARANTINE, name="server"):
    for number in range(count):
        quarantine.record_crash(keys, (f"{name}-{number}", 0))


def test_ends_of_one_server_count_once(quarantine, clock):
    for _ in range(5):
        quarantine.record_crash([CULPRIT], ("a", 1))
        quarantine.apply_reported([("a", 1, [CULPRIT])], [], ReportScope.FLEET)
    assert quarantine.seconds_left([CULPRIT]) == 0
    quarantine.record_crash([CULPRIT], ("a", 2))
    quarantine.record_crash([CULPRIT], ("a", 3))
    assert quarantine.seconds_left([CULPRIT]) == QUARANTINE_SECONDS
    assert quarantine.seconds_left([SOUND]) == 0


def test_quarantine_ends_with_its_time_and_is_renewed_by_one_crash(quarantine, clock):
    end_servers(quarantine, [CULPRIT])
    clock.advance(QUARANTINE_SECONDS - 1.0)
    assert quarantine.seconds_left([CULPRIT]) == pytest.approx(1.0)
    clock.advance(2.0)
    assert quarantine.seconds_left([CULPRIT]) == 0
    quarantine.record_crash([CULPRIT], ("again", 0))
    assert quarantine.seconds_left([CULPRIT]) == QUARANTINE_SECONDS
    clock.advance(MEMORY_SECONDS + 1.0)
    quarantine.record_crash([CULPRIT], ("later", 0))
    assert quarantine.seconds_left([CULPRIT]) == 0


def test_answered_request_is_sound_whatever_ended_beside_it(quarantine, clock, log):
    end_servers(quarantine, [SOUND])
    assert quarantine.record_answer([SOUND])
    assert quarantine.seconds_left([SOUND]) == 0
    assert "crashes_disproved" in log.names()
    end_servers(quarantine, [SOUND], name="later")
    assert quarantine.seconds_left([SOUND]) == 0
    clock.advance(SOUND_SECONDS + 1.0)
    end_servers(quarantine, [SOUND], name="much-later")
    assert quarantine.seconds_left([SOUND]) > 0


def test_server_that_goes_on_answering_has_not_ended(quarantine, clock):
    """Only its connections were lost, as by a reset of an instance's link."""
    end_servers(quarantine, [SOUND])
    sent_before = clock.seconds()
    clock.advance(0.01)
    quarantine.record_alive(("server-0", 0), sent_before)
    assert quarantine.seconds_left([SOUND]) > 0
    quarantine.record_alive(("server-0", 0), clock.seconds())
    assert quarantine.seconds_left([SOUND]) == 0
    # Other instances repeat what they learned before.
    quarantine.apply_reported([("server-0", 0, [SOUND])], [], ReportScope.FLEET)
    assert quarantine.seconds_left([SOUND]) == 0


def test_ends_are_blamed_on_the_request_with_the_most(quarantine):
    """A sound request that is retried was lost each time beside the culprit."""
    end_servers(quarantine, [SOUND, CULPRIT])
    quarantine.record_crash([CULPRIT], ("one-more", 0))
    assert quarantine.seconds_left([SOUND]) == 0
    assert quarantine.seconds_left([CULPRIT]) > 0


def test_two_requests_with_equal_ends_are_told_apart(quarantine):
    end_servers(quarantine, [SOUND, CULPRIT], MAX_TIED_CRASHES - 1)
    assert quarantine.seconds_left([SOUND]) == quarantine.seconds_left([CULPRIT]) == 0
    quarantine.record_crash([SOUND, CULPRIT], ("one-more", 0))
    refused = [each for each in (SOUND, CULPRIT) if quarantine.seconds_left([each])]
    assert len(refused) == 1
    if refused == [SOUND]:
        quarantine.record_crash([CULPRIT], ("culprit-alone", 0))
    assert quarantine.seconds_left([SOUND]) == 0
    assert quarantine.seconds_left([CULPRIT]) > 0


def test_call_with_both_of_two_keys_with_equal_ends_is_refused(quarantine):
    end_servers(quarantine, [SOUND, CULPRIT])
    assert quarantine.seconds_left([SOUND, CULPRIT]) > 0
    assert quarantine.seconds_left([SOUND]) == 0


def test_memory_of_crashes_is_bounded_and_keeps_the_quarantined(quarantine):
    end_servers(quarantine, [CULPRIT])
    for number in range(MAX_RECORDS + 100):
        quarantine.record_crash([1000 + number], ("big", number // 50))
        quarantine.record_answer([100_000 + number])
    assert quarantine.seconds_left([CULPRIT]) > 0
    assert len(quarantine._records_by_key) == MAX_RECORDS
    assert len(quarantine._answered_at_by_key) == MAX_RECORDS
    assert set(quarantine._keys_by_run) == set(quarantine._ended_at_by_run)


def test_reports_are_bounded_and_repeat_a_crash_for_a_while(quarantine, clock):
    quarantine.record_crash(range(2 * MAX_REPORTED_KEYS), ("a", 0))
    crashes, _ = quarantine.take_due(ReportScope.OWN)
    assert sum(len(keys) for _, _, keys in crashes) == MAX_REPORTED_KEYS
    assert quarantine.take_due(ReportScope.OWN) == ([], [])
    repeats = 0
    for _ in range(100):
        clock.advance(0.05)
        repeats += bool(quarantine.take_due(ReportScope.OWN)[0])
    assert 3 <= repeats <= 4
    assert clock.seconds() > 1000.0 + REPORTED_SECONDS
    everything = quarantine.everything()
    assert sum(len(keys) for _, _, keys in everything) == MAX_REPORTED_KEYS


# Guards against last parts that nothing shares displacing parts that calls share.
def test_last_parts_are_reported_after_other_keys_and_dropped_first(quarantine, clock):
    for number in range(MAX_REPORTED_KEYS):
        quarantine.record_crash([OTHER, 1000 + number], ("a", 0), 1000 + number)
    quarantine.record_crash([CULPRIT], ("a", 0))
    for number in range(MAX_REPORTED_KEYS):
        quarantine.record_crash([2000 + number], ("a", 0), 2000 + number)
    ((_, _, keys),), _ = quarantine.take_due(ReportScope.OWN)
    assert {CULPRIT, OTHER} <= set(keys)
    assert len(keys) == MAX_REPORTED_KEYS
    quarantine.record_crash([CULPRIT], ("b", 0))
    for number in range(2 * MAX_RECORDS):
        quarantine.record_crash([10_000 + number], ("c", number), 10_000 + number)
    assert quarantine.count_ends(CULPRIT) == 2
    assert len(quarantine._records_by_key) == MAX_RECORDS


# Guards against bytes for last parts that nothing shares while no server ends.
@pytest.mark.parametrize("size", [6, 195])
def test_answered_last_parts_cost_no_bytes(size):
    bytes_by_parts = []
    for parts in (0, 1):
        fleet = Fleet(size)
        before = sum(each.bytes for each in fleet.instances)
        for step in range(10):
            for number, each in enumerate(fleet.instances):
                key = step * 1000 + number * 2
                each.answer([key, *range(key + 1, key + 1 + parts)])
            fleet.run(0.1)
        bytes_by_parts.append(sum(each.bytes for each in fleet.instances) - before)
    assert bytes_by_parts[0] == bytes_by_parts[1]


# Guards against repeats of a request at other instances: BUDGET (inc1, issue 25).
@pytest.mark.parametrize("size", SIZES)
def test_every_instance_refuses_what_ended_servers_elsewhere(size):
    fleet = Fleet(size)
    for number in range(CRASHES_TO_QUARANTINE):
        instance = fleet.instances[(number * 5 + 1) % size]
        instance.lose([CULPRIT, 100 + number], f"server-{number}")
    fleet.run(KNOWN_WITHIN_SECONDS)
    for each in fleet.instances:
        assert each.quarantine.seconds_left([CULPRIT, OTHER]) > 0
        assert each.quarantine.seconds_left([100, OTHER]) == 0


def test_culprit_is_reported_before_the_calls_beside_it(quarantine, clock):
    quarantine.record_crash([CULPRIT], ("a", 0))
    clock.advance(REPORTED_SECONDS + 1.0)
    quarantine.record_crash([CULPRIT, *range(100, 2000)], ("b", 0))
    crashes, _ = quarantine.take_due(ReportScope.OWN)
    (keys,) = (keys for server, _, keys in crashes if server == "b")
    assert CULPRIT in keys


@pytest.mark.parametrize("size", [6, 40])
def test_restarted_instance_learns_what_is_refused(size):
    fleet = Fleet(size)
    for number in range(CRASHES_TO_QUARANTINE):
        fleet.instances[number].lose([CULPRIT], f"server-{number}")
    fleet.run(SETTLED_SECONDS + REPORTED_SECONDS)
    victim = fleet.instances[1]
    fleet.kill(victim)
    fleet.run(SETTLED_SECONDS)
    again = fleet.restart(victim)
    fleet.run(SETTLED_SECONDS)
    assert again.quarantine.seconds_left([CULPRIT]) > 0


@pytest.mark.parametrize("size", [6, 40])
def test_crashes_seen_in_a_cut_zone_are_known_after_it(size):
    fleet = Fleet(size)
    fleet.cut_zone = ZONES[1]
    fleet.run(SETTLED_SECONDS)
    for number in range(CRASHES_TO_QUARANTINE):
        fleet.instances[1 + 3 * (number % 2)].lose([CULPRIT], f"server-{number}")
    fleet.run(SETTLED_SECONDS + REPORTED_SECONDS)
    assert fleet.instances[0].quarantine.seconds_left([CULPRIT]) == 0
    fleet.cut_zone = None
    fleet.run(SETTLED_SECONDS)
    for each in fleet.instances:
        assert each.quarantine.seconds_left([CULPRIT]) > 0


@pytest.mark.parametrize("size", [6, 40])
def test_answer_at_one_instance_ends_the_quarantine_at_all(size):
    fleet = Fleet(size)
    for number in range(CRASHES_TO_QUARANTINE):
        fleet.instances[number].lose([SOUND], f"server-{number}")
    fleet.run(KNOWN_WITHIN_SECONDS)
    fleet.instances[-1].answer([SOUND])
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert {e.quarantine.seconds_left([SOUND]) for e in fleet.instances} == {0.0}
    # Also one that came before the crashes, at an instance that has seen none of them.
    fleet.instances[-1].answer([OTHER])
    for number in range(CRASHES_TO_QUARANTINE):
        fleet.instances[number].lose([OTHER], f"other-{number}")
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert {e.quarantine.seconds_left([OTHER]) for e in fleet.instances} == {0.0}


@pytest.mark.parametrize("size", [6, 195])
def test_bytes_are_bounded_while_many_servers_end(size):
    """Each instance loses 40 calls, as 20 servers end within two seconds."""
    fleet = Fleet(size)
    before = sum(each.bytes for each in fleet.instances)
    for step in range(20):
        for number, each in enumerate(fleet.instances):
            keys = [step * 1000 + number * 2 + k for k in range(2)]
            each.lose(keys, f"server-{step}")
        fleet.run(0.1)
    sent = sum(each.bytes for each in fleet.instances) - before
    assert sent / size / 2.0 < BUSY_BYTES_PER_SECOND
    assert not any("report_too_large" in each.log.names() for each in fleet.instances)
