"""Tests of streams that go on at another engine after a part was sent."""

import pytest
from tests.forwarding_fakes import Harness, server

TARGET = "/reports/1"


@pytest.fixture
def harness():
    engines = [server(name, service="llm", stage="decode") for name in ("d", "dd")]
    return Harness(server("p", service="llm", stage="prefill"), *engines)


def begin_stream(harness, *ids):
    """Start a call whose first engine sends these events; return its responder."""
    responder, _ = harness.model_call(TARGET)
    harness.network.requests[0].answer_prefill()
    engine = harness.network.requests[-1]
    engine.begin_answer(transfer_encoding=b"chunked")
    for each in ids:
        engine.event(each)
    return responder


def lose_engine(harness):
    """Reset the engine's connection and return the request of the run that goes on."""
    requests = harness.network.requests
    requests[-1].reset()
    requests[-1].answer_prefill("h2")
    return requests[-1]


def steps(harness):
    (fields,) = [each for name, each in harness.log.events if name == "call"]
    return fields["steps"]


# Guards against a stream out of order whose log does not tell which engine sent what.
def test_log_of_a_call_tells_the_ids_that_each_engine_sent(harness):
    responder = begin_stream(harness, 1, 2)
    again = lose_engine(harness)
    again.begin_answer(transfer_encoding=b"chunked")
    again.event(3)
    again.event(4)
    again.end()
    assert responder.done
    assert any("lost" in each and "ids 1 to 2" in each for each in steps(harness))
    assert any("end" in each and "ids 3 to 4" in each for each in steps(harness))


def test_log_of_a_call_has_only_the_begin_of_a_long_id(harness):
    begin_stream(harness, 5000 * "7")
    harness.network.requests[-1].end()
    (step,) = [each for each in steps(harness) if " end " in each]
    assert f"ids {20 * '7'}... to {20 * '7'}..." in step
