"""Streams that are resumed or taken up among engines of several software versions."""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, deployment, server

from pomeloglade.forwarding.deployment import Service, ServiceWeight
from pomeloglade.forwarding.stream_origins import ORIGIN_SECONDS, StreamOrigin


@pytest.fixture
def versions():
    """Return a harness whose decode engines are of two software versions."""
    engines = [
        replace(server(name, "llm", "decode", 8), software_version=version)
        for name, version in (("dec-a", "v1"), ("dec-bb", "v2"), ("dec-ccc", "v1"))
    ]
    prefill = replace(server("pre", "llm", "prefill"), software_version="v1")
    harness = Harness(prefill, *engines)
    # The engines of v1 have more calls than that of v2, and dec-ccc the most.
    harness.loads.begin("dec-a", 0)
    for _ in range(2):
        harness.loads.begin("dec-ccc", 0)
    return harness


def engine_of(harness, request):
    """Return the id of the engine that a request was sent to."""
    return request.header("X-Pomeloglade-Expect-Instance").decode()


def begin_stream_at(harness, engine):
    """Start a resumable call, let ``engine`` send its first event, and return both."""
    for other in {"dec-a", "dec-bb", "dec-ccc"} - {engine}:
        harness.health.avoid(other, 0.1)
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[-1].answer_prefill()
    run = harness.network.requests[-1]
    assert engine_of(harness, run) == engine
    run.begin_answer()
    run.event(1)
    harness.advance(0.2)
    return responder, run


def take_up(harness, first_call_id, last_event_id=b"1"):
    """Take a stream up with a new call, as its caller does after a break."""
    headers = [
        (b"X-Pomeloglade-Model", b"m"),
        (b"X-Pomeloglade-Token-Counts", b"5000,5000"),
        (b"Last-Event-Id", last_event_id),
    ]
    if first_call_id is not None:
        headers.append((b"Resumes", first_call_id))
    return harness.call("/reports/1", headers=headers)[0]


# Guards against joining events of two software versions: ORDER (second1).
def test_stream_is_resumed_only_at_the_software_version_that_began_it(versions):
    responder, run = begin_stream_at(versions, "dec-a")
    run.reset()
    versions.network.requests[-1].answer_prefill("h2")
    again = versions.network.requests[-1]
    assert engine_of(versions, again) == "dec-ccc"
    assert again.header("Last-Event-Id") == b"1"
    assert not responder.done


# Guards against joining events of two software versions: ORDER (second1).
def test_stream_is_broken_off_without_another_engine_of_its_software_version(versions):
    responder, run = begin_stream_at(versions, "dec-bb")
    sent = len(versions.network.requests)
    run.reset()
    assert responder.was_aborted
    assert len(versions.network.requests) == sent


# Guards against joining two software versions over a caller's tries: ORDER (second1).
def test_stream_is_taken_up_only_at_the_software_version_that_began_it(versions):
    _, run = begin_stream_at(versions, "dec-a")
    take_up(versions, run.header("X-Pomeloglade-Attempt-Id"))
    versions.network.requests[-1].answer_prefill("h2")
    again = versions.network.requests[-1]
    assert again is not run
    assert engine_of(versions, again) in ("dec-a", "dec-ccc")


# Guards against joining two software versions over a caller's tries: ORDER (second1).
@pytest.mark.parametrize("first_call_id", [None, b"unknown"])
def test_stream_of_unknown_origin_is_not_taken_up_among_two_versions(
    versions, first_call_id
):
    responder = take_up(versions, first_call_id)
    assert responder.status == 503
    assert responder.headers[b"retry-after"]
    assert versions.network.requests == []


def test_stream_of_unknown_origin_is_taken_up_if_all_engines_are_of_one_version():
    decodes = [server(name, "llm", "decode") for name in ("dec-a", "dec-bb")]
    harness = Harness(server("pre", "llm", "prefill"), *decodes)
    take_up(harness, b"unknown")
    harness.network.requests[-1].answer_prefill()
    assert harness.network.requests[-1].header("Last-Event-Id") == b"1"


def test_stream_of_unknown_origin_is_not_taken_up_soon_after_a_release(versions):
    versions.backends.remove("dec-bb", lenient=False)
    versions.advance(ORIGIN_SECONDS - 1.0)
    assert take_up(versions, b"unknown").reason == "stream_origin_unknown"
    versions.advance(2.0)
    assert not take_up(versions, b"unknown").done


def test_stream_is_taken_up_at_the_service_that_began_it():
    split = replace(
        deployment().route("api.example", "/reports/1"),
        services=(ServiceWeight("other", 1), ServiceWeight("llm", 0)),
    )
    configuration = deployment(reports=split)
    engines = configuration.services_by_name["llm"].engines
    configuration.services_by_name["other"] = Service("other", 150, engines)
    harness = Harness(server("dec-a", "llm", "decode"), configuration=configuration)
    harness.origins.record("0c", StreamOrigin("llm", ""))
    take_up(harness, b"0c")
    assert engine_of(harness, harness.network.requests[-1]) == "dec-a"
    harness.origins.record("0d", StreamOrigin("removed", ""))
    refused = take_up(harness, b"0d")
    assert (refused.status, refused.reason) == (503, "stream_origin_gone")


def test_engine_that_rejected_a_bound_stream_is_asked_again(versions):
    _, run = begin_stream_at(versions, "dec-bb")
    run.end()
    take_up(versions, run.header("X-Pomeloglade-Attempt-Id"))
    versions.network.requests[-1].answer_prefill("h2")
    versions.network.requests[-1].reject()
    sent = len(versions.network.requests)
    versions.advance(0.4)
    again = versions.network.requests[-1]
    assert len(versions.network.requests) > sent
    assert engine_of(versions, again) == "dec-bb"
