"""Tests of what an instance knows of the streams that were begun in the fleet."""

import pytest
from twisted.internet.task import Clock

from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.stream_origins import (
    MAX_ORIGINS,
    MAX_REPORTED_ORIGINS,
    ORIGIN_SECONDS,
    StreamOrigin,
    StreamOrigins,
)

V1 = StreamOrigin("llm", "v1")
V2 = StreamOrigin("llm", "v2")


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def versions():
    return {"v1", "v2"}


@pytest.fixture
def origins(clock, versions):
    return StreamOrigins(clock, lambda service: versions)


def test_origin_that_is_known_is_not_replaced_by_a_report(origins):
    origins.record("a", V1)
    origins.apply_reported({"llm": {"v2": ["a", "b"]}}, ReportScope.GROUP)
    assert (origins.find("a"), origins.find("b")) == (V1, V2)


def test_reports_contain_the_recent_origins_of_their_scope(origins, clock):
    origins.record("old", V1)
    assert origins.recent(1.0, ReportScope.OWN) == {"llm": {"v1": ["old"]}}
    clock.advance(2.0)
    origins.record("own", V1)
    origins.apply_reported({"llm": {"v2": ["group"]}}, ReportScope.GROUP)
    origins.apply_reported({"llm": {"v2": ["fleet"]}}, ReportScope.FLEET)
    assert origins.recent(1.0, ReportScope.OWN) == {"llm": {"v1": ["own"]}}
    assert origins.recent(1.0, ReportScope.GROUP) == {
        "llm": {"v1": ["own"], "v2": ["group"]}
    }
    assert origins.recent(1.0, ReportScope.FLEET) == {
        "llm": {"v1": ["own"], "v2": ["fleet", "group"]}
    }
    assert origins.everything()["llm"]["v1"] == ["own", "old"]


def test_origins_are_dropped_when_they_are_old(origins, clock):
    origins.record("a", V1)
    clock.advance(ORIGIN_SECONDS + 0.1)
    assert origins.find("a") is None
    assert origins.everything() == {}


def test_number_of_kept_and_of_reported_origins_is_bounded(origins):
    for number in range(MAX_ORIGINS + 1):
        origins.record(str(number), V1)
    assert origins.find("0") is None
    assert origins.find("1") == V1
    reported = origins.everything()["llm"]["v1"]
    assert len(reported) == MAX_REPORTED_ORIGINS
    assert reported[0] == str(MAX_ORIGINS)


def test_origins_are_reported_once_their_service_has_several_versions(
    origins, clock, versions
):
    versions.remove("v2")
    origins.record("a", V1)
    clock.advance(5.0)
    assert origins.recent(2.0, ReportScope.OWN) == origins.everything() == {}
    versions.add("v2")
    assert origins.recent(2.0, ReportScope.OWN) == {"llm": {"v1": ["a"]}}
    clock.advance(1.0)
    assert origins.recent(2.0, ReportScope.OWN) == {}
    assert origins.everything() == {"llm": {"v1": ["a"]}}
