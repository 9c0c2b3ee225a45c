"""How long work takes at each server: reported, estimated, and told by others."""

from random import Random

import pytest
from tests.forwarding_fakes import Harness, server
from tests.report_fleet import KNOWN_WITHIN_SECONDS, SIZES, Fleet

from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.server_pace import (
    DIFFERENCE_SECONDS,
    ESTIMATE_MAX_AGE_SECONDS,
    MAX_RATIO,
    REPORTED_MAX_AGE_SECONDS,
    REPORTING_SECONDS,
    ServerPace,
)

REPEAT_AFTER_CUT_SECONDS = 1.0
"""Time after a cut within which each instance has heard its contact again."""

A, B, C = (server(name, slots=6) for name in ("a", "b", "c"))
BY_ID = {each.id: each for each in (A, B, C)}


@pytest.fixture
def pace(clock):
    return ServerPace(clock, FleetNews(clock), server_by_id=BY_ID.get)


def told(clock):
    """Return an instance's pace and its news."""
    news = FleetNews(clock)
    return ServerPace(clock, news, server_by_id=BY_ID.get), news


def work(pace, clock, seconds_by_server, responses=100):
    """Record responses of each server, 20 ms apart."""
    for _ in range(responses):
        for each, seconds in seconds_by_server.items():
            pace.record_work(each, "lookups", seconds)
        clock.advance(0.02)


def test_a_service_without_any_figure_has_the_normal_pace(pace):
    assert pace.ratio(A.run) == 1.0
    assert not pace.affects("api")
    assert pace.slowest() == 1.0


def test_a_reported_figure_counts_fully_at_first_and_less_as_it_ages(pace, clock):
    pace.record_reported(A, 250)
    ratios = []
    for _ in range(6):
        ratios.append(round(pace.ratio(A.run), 2))
        clock.advance(0.3)
    assert ratios == [2.5, 2.5, 1.75, 1.38, 1.19, 1.09]
    clock.advance(REPORTED_MAX_AGE_SECONDS)
    assert pace.ratio(A.run) == 1.0
    assert pace.affects("api")
    clock.advance(REPORTING_SECONDS)
    assert not pace.affects("api")


def test_a_wrong_figure_is_bounded_and_concerns_one_run_only(pace):
    pace.record_reported(A, 1_000_000)
    assert pace.ratio(A.run) == MAX_RATIO
    restarted = server("a", slots=6, started_ms=7)
    assert pace.ratio(restarted.run) == 1.0
    pace.record_reported(A, 1)
    assert pace.ratio(A.run) == 0.25


def test_lasting_slow_and_fast_servers_are_found_without_a_reported_figure(pace, clock):
    work(pace, clock, {A: 0.03, B: 0.06, C: 0.09})
    assert not pace.affects("api")
    clock.advance(DIFFERENCE_SECONDS)
    assert pace.affects("api")
    assert pace.ratio(A.run) == pytest.approx(0.5, abs=0.1)
    assert pace.ratio(C.run) == pytest.approx(1.5, abs=0.1)
    # It is tried again, as it may get no calls while it is the slowest.
    clock.advance(ESTIMATE_MAX_AGE_SECONDS)
    assert pace.ratio(C.run) == 1.0


def test_equal_servers_with_varying_response_times_keep_the_normal_pace(pace, clock):
    for number in range(1_000):
        for offset, each in enumerate((A, B, C)):
            seconds = 0.02 + 0.01 * ((number * 7 + offset * 3) % 10)
            pace.record_work(each, "lookups", seconds)
        clock.advance(0.02)
        assert not pace.affects("api")


def test_a_difference_that_does_not_last_has_no_effect(pace, clock):
    work(pace, clock, {A: 0.06, B: 0.06}, responses=200)
    work(pace, clock, {A: 0.06, B: 0.15}, responses=30)
    work(pace, clock, {A: 0.06, B: 0.06}, responses=200)
    assert not pace.affects("api")


def test_another_instances_figure_counts_unless_a_newer_one_is_known(clock):
    clock.advance(100.0)
    one, one_news = told(clock)
    two, two_news = told(clock)
    one.record_reported(A, 250)
    rows = one_news.take_due(ReportScope.OWN)
    clock.advance(0.1)
    two_news.apply({"pace": [("a/0", 250, 0.1), ("b/0", 90, 0.1)]}, ReportScope.FLEET)
    assert rows == {"pace": [("a/0", 250, 0.0)]}
    assert two.ratio(A.run) == 2.5
    two.record_reported(A, 110)
    two_news.apply({"pace": [("a/0", 300, 0.05)]}, ReportScope.FLEET)
    assert two.ratio(A.run) == 1.1
    two_news.apply({"pace": [("b/0", 300, 5.0)]}, ReportScope.FLEET)
    assert two.ratio(B.run) == 0.9


@pytest.mark.parametrize(
    "row",
    [
        ("a/0", "fast", 0.0),
        ("a/0", None, 0.0),
        ("a/0", -5, 0.0),
        ("a/0", [200, "many"], 0.0),
        ("a/0", [200], 0.0),
        ("a", 200, 0.0),
        ("a/7", 200, 0.0),
        ("unknown/0", 200, 0.0),
    ],
)
def test_rows_of_other_shapes_or_unknown_runs_are_ignored(clock, row):
    pace, news = told(clock)
    rows = {"pace": [row], "pace_estimate": [row]}
    news.apply(rows, ReportScope.FLEET)
    assert pace.ratio(A.run) == 1.0


def test_a_steady_pace_is_told_again_only_as_it_is_forgotten(clock):
    clock.advance(100.0)
    pace, news = told(clock)
    told_at = []
    for _ in range(200):
        pace.record_reported(A, 250)
        pace.record_reported(B, 105)
        for key, _, age in news.take_due(ReportScope.OWN).get("pace", ()):
            assert key == "a/0"
            if age == 0:
                told_at.append(clock.seconds())
        clock.advance(0.01)
    assert 1 < len(told_at) <= 6


@pytest.mark.parametrize("header", [b"5,3,6", b"5,3,6,250"])
def test_an_answers_load_counts_though_it_has_a_fourth_figure(header):
    harness = Harness(A)
    harness.call("/lookups/1")
    harness.network.requests[0].answer(x_pomeloglade_server_load=header)
    assert harness.loads.calls(A.id, 0.2) == 8
    assert harness.pace.ratio(A.run) == (2.5 if b"250" in header else 1.0)


def test_a_health_answers_load_is_recorded_with_its_age():
    # Instances that send a server no calls knew nothing of its load.
    harness = Harness(A)
    harness.probes.probe(A)
    harness.network.requests[0].answer(x_pomeloglade_server_load=b"5,3,6,250")
    assert harness.loads.calls(A.id, 0.2) == 8
    assert harness.pace.ratio(A.run) == 2.5
    harness.advance(0.6)
    assert harness.loads.calls(A.id, 0.2) == 0
    assert harness.pace.ratio(A.run) == pytest.approx(1.75)


def paces_of(fleet):
    return [
        ServerPace(
            fleet.clock,
            each.news,
            server_by_id=BY_ID.get,
            on_news=each.relay.schedule_report,
        )
        for each in fleet.instances
    ]


@pytest.mark.parametrize("size", SIZES)
def test_all_instances_soon_know_a_pace_that_one_has_seen(size):
    fleet = Fleet(size)
    paces = paces_of(fleet)
    paces[-1].record_reported(A, 250)
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert all(each.ratio(A.run) > 2.0 for each in paces)
    assert all(each.affects("api") for each in paces)
    # Its end is known as soon, though the first figure has not faded.
    paces[0].record_reported(A, 100)
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert all(each.ratio(A.run) < 1.1 for each in paces)


def test_a_cut_zone_places_by_its_own_figures_and_forgets_the_others():
    fleet = Fleet(40)
    paces = paces_of(fleet)
    paces[1].record_reported(A, 250)
    fleet.run(KNOWN_WITHIN_SECONDS)
    inside = [
        pace
        for each, pace in zip(fleet.instances, paces, strict=True)
        if each.zone == "zone-a"
    ]
    fleet.cut_zone = "zone-a"
    for _ in range(5):
        fleet.run(0.4)
        paces[1].record_reported(A, 250)
        inside[0].record_reported(B, 300)
    assert inside[0].ratio(B.run) == 3.0
    assert all(each.ratio(A.run) < 1.1 for each in inside)
    assert paces[1].ratio(B.run) == 1.0
    fleet.cut_zone = None
    fleet.run(REPEAT_AFTER_CUT_SECONDS)
    paces[1].record_reported(A, 250)
    inside[0].record_reported(B, 300)
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert all(each.ratio(A.run) > 2.0 for each in inside)
    assert paces[1].ratio(B.run) > 2.0


def test_control_traffic_has_room_for_paces_that_change_every_100_ms():
    fleet, random = Fleet(40), Random(1)
    paces = paces_of(fleet)
    sent = sum(each.bytes for each in fleet.instances)
    for _ in range(20):
        percent_by_server = {each: random.choice((100, 250)) for each in (A, B, C)}
        for _ in range(10):
            pace, each = random.choice(paces), random.choice((A, B, C))
            pace.record_reported(each, percent_by_server[each])
            fleet.run(0.01)
    sent = sum(each.bytes for each in fleet.instances) - sent
    # All control traffic of an instance may take 4 KB a second.
    assert sent / 40 / 2.0 < 2_000


def test_many_instances_find_a_slow_server_though_each_sends_few_calls():
    # Each alone would need a minute for enough responses.
    fleet, random = Fleet(40), Random(1)
    paces = paces_of(fleet)
    for _ in range(2_000):
        each = random.choice((A, B, C))
        seconds = random.uniform(0.02, 0.1) * (2.0 if each is A else 1.0)
        random.choice(paces).record_work(each, "lookups", seconds)
        fleet.run(0.01)
    assert all(pace.affects("api") for pace in paces)
    assert all(pace.ratio(A.run) > 1.5 * pace.ratio(B.run) for pace in paces)
