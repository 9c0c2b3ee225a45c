"""Rows that instances tell each other, alone and over fleets of 6 to 130."""

import cbor2
import pytest
from tests.forwarding_fakes import ListLog
from tests.report_fleet import KNOWN_WITHIN_SECONDS, SIZES, Fleet

from pomeloglade.forwarding.fleet_news import (
    FleetNews,
    NewsDatagram,
    NewsTopic,
)
from pomeloglade.forwarding.instance_reports import (
    Report,
    ReportExchange,
    ReportKind,
    decode,
    encode,
)
from pomeloglade.forwarding.report_progress import REPEAT_SECONDS
from pomeloglade.forwarding.report_scope import ReportScope


@pytest.fixture
def topic():
    return NewsTopic("t", max_age=2.0, repeat_for=1.0, max_rows=3, max_reported=2)


@pytest.fixture
def news(clock, topic):
    news = FleetNews(clock)
    news.add_topic(topic)
    return news


def test_newer_observation_replaces_an_older_one_also_if_it_arrives_first(news, clock):
    clock.advance(10.0)
    news.apply({"t": [("a", "new", 0.1)]}, ReportScope.FLEET)
    news.apply({"t": [("a", "old", 0.5)]}, ReportScope.FLEET)
    assert news.rows("t")["a"].value == "new"
    assert news.put("t", "a", "newest")
    assert not news.put("t", "a", "late", age=1.0)
    assert news.rows("t")["a"].value == "newest"


def test_rows_end_at_the_longest_age_and_at_the_limit(news, clock):
    clock.advance(10.0)
    for number in range(5):
        news.put("t", f"key-{number}", number)
    assert list(news.rows("t")) == ["key-2", "key-3", "key-4"]
    clock.advance(2.0)
    assert news.rows("t") == {}
    assert news.take_due(ReportScope.OWN) == {}


def test_rows_are_repeated_within_their_limit_and_not_for_ever(news, clock):
    clock.advance(10.0)
    for key in ("a", "b", "c"):
        news.put("t", key, 1)
    reported = [[key for key, _, _ in news.take_due(ReportScope.OWN).get("t", [])]]
    for _ in range(8):
        clock.advance(REPEAT_SECONDS / 2)
        due = news.take_due(ReportScope.OWN).get("t", [])
        reported.append([key for key, _, _ in due])
    assert reported[0] == ["b", "c"]
    assert reported[1] == []
    assert reported[2] == ["b", "c"]
    assert not any(reported[5:])


def test_news_of_the_fleet_is_not_reported_as_an_instances_own(news):
    news.apply({"t": [("a", 1, 0.0)]}, ReportScope.FLEET)
    assert news.take_due(ReportScope.OWN) == {}
    assert news.take_due(ReportScope.GROUP) == {}
    assert news.take_due(ReportScope.FLEET) == {"t": [("a", 1, 0.0)]}


def test_rows_of_unknown_topics_and_impossible_ages_are_ignored(news):
    news.apply({"other": [("a", 1, 0.0)], "t": [("b", 1, -1.0)]}, ReportScope.FLEET)
    assert news.rows("t") == {}


@pytest.mark.parametrize("size", SIZES)
def test_every_instance_learns_a_row_in_fleets_of_any_size(size):
    fleet = Fleet(size)
    fleet.instances[size // 2].observe("server-1", 130)
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert {each.known_value("server-1") for each in fleet.instances} == {130}


def test_an_instance_that_has_just_started_is_told_what_the_others_know():
    fleet = Fleet(6)
    fleet.instances[0].observe("server-1", 130)
    # No report repeats the row by then, but it still holds.
    fleet.run(3.0)
    started = fleet.restart(fleet.instances[5])
    fleet.run(1.0)
    assert started.known_value("server-1") == 130


def test_datagrams_with_rows_and_reports_are_told_apart():
    datagram = NewsDatagram("entry-1", 7, ReportKind.GROUP, {"t": [("a", [1], 0.5)]})
    assert decode(encode(datagram)) == datagram
    report = Report("entry-1", 7, 1)
    assert decode(encode(report)) == report


# An instance of the former version takes a report with other fields for garbage, so
# what is new must not change the reports beside which it runs in an upgrade.
def test_reports_keep_the_fields_of_the_former_version():
    assert len(cbor2.loads(encode(Report("entry-1", 7, 1)))) == 22


@pytest.mark.parametrize(
    "rows", [{"t": [("a", 1)]}, {"t": [(1, 1, 0.0)]}, ["t"], {"t": [("a", 1, "x")]}]
)
def test_malformed_rows_are_counted_and_dropped(rows):
    received = []
    exchange = ReportExchange(
        lambda *_: None, ListLog(), lambda datagram, _: received.append(datagram)
    )
    exchange.datagramReceived(
        cbor2.dumps(["news", "entry-1", 7, 1, rows]), ("10.0.0.1", 7500)
    )
    assert (exchange.bad_reports, received) == (1, [])
