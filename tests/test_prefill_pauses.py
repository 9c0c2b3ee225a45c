"""Long prompts in a burst without prefill engines, and the other streams' pauses."""

from dataclasses import replace
from datetime import timedelta

import pytest
from tests.forwarding_fakes import Harness, deployment, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.loads import Loads
from pomeloglade.forwarding.prefill_pauses import KEPT_SECONDS, PrefillPauses
from pomeloglade.forwarding.report_scope import ReportScope

STREAMS = 4
LONG = b"9000,200"
SHORT = b"4000,200"


@pytest.fixture
def burst():
    """Return a harness with one decode engine that has several streams."""
    digests = replace(
        deployment().route("api.example", "/digests/1"),
        longest_pause=timedelta(seconds=0.3),
    )
    harness = Harness(
        server("dec-a", "llm", "decode", 16),
        configuration=deployment(slots=16, digests=digests),
    )
    for number in range(1, STREAMS + 1):
        call(harness, SHORT)
        harness.network.requests[-1].begin_answer()
        send_events(harness, number)
        harness.advance(0.1)
    return harness


def call(harness, counts):
    """Start a call whose prompt and output have so many tokens."""
    headers = [
        (b"X-Pomeloglade-Model", b"m"),
        (b"X-Pomeloglade-Token-Counts", counts),
    ]
    return harness.call("/digests/1", headers=headers)[0]


def send_events(harness, number):
    """Send the next event of each stream that runs."""
    for run in harness.network.requests[:STREAMS]:
        run.event(number)


def send_long_prompt(harness):
    """Send a long prompt and return whether an engine got it."""
    sent = len(harness.network.requests)
    call(harness, LONG)
    return len(harness.network.requests) > sent


# Guards against refusing the longest prompts while no prefill engine is left.
def test_long_prompts_are_served_in_a_burst_without_prefill_engines(burst):
    assert send_long_prompt(burst)
    burst.advance(0.15)
    send_events(burst, STREAMS + 1)
    burst.network.requests[-1].begin_answer()
    burst.network.requests[-1].event(1)
    burst.advance(0.2)
    assert send_long_prompt(burst)


# Guards against making the streams of an engine late for one long prompt after another.
def test_long_prompt_that_paused_streams_too_long_is_the_last_one(burst):
    assert send_long_prompt(burst)
    burst.advance(0.4)
    send_events(burst, STREAMS + 1)
    burst.network.requests[-1].begin_answer()
    burst.network.requests[-1].event(1)
    burst.advance(0.2)
    assert not send_long_prompt(burst)


def test_pause_at_one_instance_holds_at_the_others_for_a_while():
    clock = Clock()
    loads, news, other_news = Loads(clock), FleetNews(clock), FleetNews(clock)
    pauses = PrefillPauses(clock, loads, news)
    others = PrefillPauses(clock, Loads(clock), other_news)
    engine = server("dec-a", "llm", "decode")
    loads.begin_local_prefill(engine.id, 9_000)
    pauses.record(engine, pause=0.4, allowed=0.3)
    other_news.apply(news.take_due(ReportScope.OWN), ReportScope.FLEET)
    assert others.too_long("llm", 9_000)
    assert not others.too_long("llm", 8_999)
    assert not others.too_long("other", 9_000)
    clock.advance(KEPT_SECONDS + 1.0)
    assert not pauses.too_long("llm", 9_000)
    assert not others.too_long("llm", 9_000)


def test_pause_during_two_prefills_or_none_tells_nothing():
    clock = Clock()
    loads = Loads(clock)
    pauses = PrefillPauses(clock, loads, FleetNews(clock))
    engine = server("dec-a", "llm", "decode")
    pauses.record(engine, pause=0.4, allowed=0.3)
    loads.begin_local_prefill(engine.id, 9_000)
    loads.begin_local_prefill(engine.id, 9_000)
    pauses.record(engine, pause=0.4, allowed=0.3)
    assert not pauses.too_long("llm", 9_000)
