"""Tests of streams that go on at another engine after a part was sent."""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, deployment, server

from pomeloglade.forwarding.model_calls import STREAM_SILENCE_SECONDS

TARGET = "/reports/1"


@pytest.fixture
def harness():
    engines = [server(name, service="llm", stage="decode") for name in ("d", "dd")]
    return Harness(server("p", service="llm", stage="prefill"), *engines)


def begin_stream(harness, *ids):
    """Start a call whose first engine sends these events; return its responder."""
    responder, _ = harness.model_call(TARGET)
    harness.network.requests[-1].answer_prefill()
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


def feed(*parts, status=200, **headers):
    """Return a function with which an engine answers a run that goes on."""

    def answer(engine):
        engine.begin_answer(status, **{"transfer_encoding": b"chunked", **headers})
        for part in parts:
            engine.exchange.receive_body(part)
        engine.end()

    return answer


EVENT_3 = b"id: 3\ndata: x\n\n"
HEAD = b"HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops"
# Answers after the events 1 and 2, and what of them may be passed on.
WRONG_ANSWERS = {
    "nothing": (feed(), b""),
    "status 204": (feed(status=204), b""),
    "status 206": (feed(EVENT_3, status=206), b""),
    "status 404": (feed(b"gone", status=404), b""),
    "status 500": (feed(b"oops", status=500), b""),
    "comments only": (feed(b": alive\n\n"), b": alive\n\n"),
    "error": (feed(b"event: error\ndata: overloaded\n\n"), b""),
    "error with the next id": (feed(b"id: 3\nevent: error\ndata: a\n\n"), b""),
    "error after an event": (feed(EVENT_3, b"event:error\ndata: a\n\n"), EVENT_3),
    "no id": (feed(b"data: overloaded\n\n"), b""),
    "empty id": (feed(b"id:\ndata: overloaded\n\n"), b""),
    "another head": (feed(HEAD), b""),
    "another head byte by byte": (feed(*(HEAD[n : n + 1] for n in range(70))), b""),
    "another head in lowercase": (feed(b"content-length: 4\r\n\r\noops"), b""),
    "JSON": (feed(b'{"error": "overloaded"}'), b""),
    "JSON line": (feed(b'{"error": "overloaded"}\n\n'), b""),
    "JSON before an event": (feed(b'{"error": "a"}\n' + EVENT_3), b""),
    "JSON after an event": (feed(EVENT_3, b'{"error": "a"}'), EVENT_3),
    "text": (feed(b"overloaded: come back later\n\n"), b""),
    "first event again": (feed(b"id: 1\ndata: x\n\n"), b""),
    "last event again": (feed(b"id: 2\ndata: x\n\n", EVENT_3), b""),
    "gap": (feed(b"id: 4\ndata: x\n\n"), b""),
    "gap later": (feed(EVENT_3, b"id: 5\ndata: x\n\n"), EVENT_3),
    "back later": (feed(EVENT_3, b"id: 2\ndata: x\n\n"), EVENT_3),
    "twice": (feed(EVENT_3, EVENT_3), EVENT_3),
    "twice at once": (feed(EVENT_3 + EVENT_3), b""),
    "other kind of id": (feed(b"id: 3a\ndata: x\n\n"), b""),
    "no data": (feed(b"id: 3\ndata:\n\n"), b"id: 3\ndata:\n\n"),
}


def with_engines(*names, max_servers=3):
    """Return a harness with these engines, whose calls go to ``max_servers``."""
    engines = [server(name, service="llm", stage="decode") for name in names]
    (reports,) = [each for each in deployment().routes if each.name == "reports"]
    reports = replace(reports, max_servers=max_servers)
    return Harness(
        server("p", service="llm", stage="prefill"),
        *engines,
        configuration=deployment(reports=reports),
    )


# Guards against passing on an engine's error, repetition or gap in the middle of a
# stream, or ending the stream as complete after it: ORDER, MIXED (first report of
# issue 46).
@pytest.mark.parametrize("name", WRONG_ANSWERS)
def test_answer_that_does_not_go_on_with_the_stream_is_dropped(name):
    harness = with_engines("d", "dd", "ddd")
    answer, passed_on = WRONG_ANSWERS[name]
    responder = begin_stream(harness, 1, 2)
    begun = responder.body
    answer(lose_engine(harness))
    assert not responder.done
    assert responder.body == begun + passed_on
    last = harness.network.requests[-1]
    if last.prefill:
        last.answer_prefill("h3")
        last = harness.network.requests[-1]
    next_id = 4 if b"id: 3" in passed_on else 3
    assert last.header("Last-Event-Id") == b"%d" % (next_id - 1)
    last.begin_answer(transfer_encoding=b"chunked")
    last.event(next_id)
    last.end()
    assert responder.done
    assert not responder.was_aborted
    assert responder.body == begun + passed_on + b"id: %d\ndata: x\n\n" % next_id


# Guards against ending a stream as complete that no engine went on with: ORDER, MIXED
# (first report of issue 46).
@pytest.mark.parametrize("name", WRONG_ANSWERS)
def test_stream_that_no_engine_goes_on_with_ends_visibly_broken(name):
    harness = with_engines("d", "dd", max_servers=2)
    answer, passed_on = WRONG_ANSWERS[name]
    responder = begin_stream(harness, 1, 2)
    begun = responder.body
    answer(lose_engine(harness))
    assert responder.was_aborted
    assert responder.body == begun + passed_on
    assert any(" wrong " in each for each in steps(harness))


def ends_after_event(sent):
    return sent.endswith((b"\n\n", b"\r\n\r\n"))


@pytest.mark.parametrize("name", [*WRONG_ANSWERS, "whole"])
def test_first_answer_is_passed_on_as_the_engine_sent_it(name):
    harness = with_engines("d", "dd")
    answer, _ = WRONG_ANSWERS.get(name, (feed(b"id: 1\ndata: a\n\n"), b""))
    received = []
    responder, _ = harness.model_call(TARGET)
    harness.network.requests[0].answer_prefill()
    engine = harness.network.requests[-1]
    receive_body = engine.exchange.receive_body
    engine.exchange.receive_body = lambda data: (
        received.append(data),
        receive_body(data),
    )
    answer(engine)
    sent = b"".join(received)
    if responder.status != 200 or not sent or ends_after_event(sent):
        assert responder.done
        assert not responder.was_aborted
        assert responder.body == sent
    else:
        assert responder.was_aborted or not responder.done
        assert sent.startswith(responder.body)


SOUND_STREAMS = {
    "steps of ten": ((10, 20), (30, 40)),
    "begins at zero": ((0, 1), (2, 3)),
    "begins high": ((1000, 1001), (1002, 1003)),
    "steps that differ": ((1, 3, 4), (7, 8)),
    "one event": ((1,), (2, 3)),
    "no whole numbers": (("a-1", "a-2"), ("b-7", "b-8")),
}


@pytest.mark.parametrize("name", SOUND_STREAMS)
def test_sound_stream_goes_on_with_its_own_ids(name):
    harness = with_engines("d", "dd")
    first, rest = SOUND_STREAMS[name]
    responder = begin_stream(harness, *first)
    again = lose_engine(harness)
    again.begin_answer(transfer_encoding=b"chunked")
    again.exchange.receive_body(b": alive\n\nretry: 100\n\n")
    for each in rest:
        again.event(each)
    again.end()
    assert responder.done
    assert not responder.was_aborted
    assert responder.body.count(b"data: x") == len(first) + len(rest)


def test_event_may_have_a_field_that_clients_do_not_know():
    harness = with_engines("d", "dd")
    responder = begin_stream(harness, 1, 2)
    feed(b"x-weights: 7\nid: 3\ndata: x\n\n")(lose_engine(harness))
    assert responder.body.endswith(b"x-weights: 7\nid: 3\ndata: x\n\n")
    assert not responder.was_aborted


@pytest.mark.parametrize(
    "event",
    [
        b"data: no id\n\n",
        b"id: 2\ndata: again\n\n",
        b"id: 1\ndata: back\n\n",
        b"id: 3\nevent: error\ndata: overloaded\n\n",
        b"HTTP/1.1 500 Oops\nContent-Length: 4\n\n",
        b"content-length: 4\n\n",
    ],
)
def test_stream_whose_own_engine_left_its_order_is_not_resumed(event):
    harness = with_engines("d", "dd")
    responder = begin_stream(harness, 1, 2)
    sent = len(harness.network.requests)
    engine = harness.network.requests[-1]
    engine.exchange.receive_body(event)
    engine.reset()
    assert responder.was_aborted
    assert responder.body.endswith(event)
    assert len(harness.network.requests) == sent


def test_stream_of_which_only_the_head_was_sent_begins_with_its_first_event():
    harness = with_engines("d", "dd", "ddd")
    responder = begin_stream(harness)
    feed(EVENT_3)(lose_engine(harness))
    assert not responder.done
    assert responder.body == b""


def test_stream_that_its_caller_takes_up_goes_on_after_the_callers_last_event():
    harness = with_engines("d", "dd")
    responder, _ = harness.call(
        TARGET,
        headers=(
            (b"Last-Event-Id", b"7"),
            (b"X-Pomeloglade-Model", b"m"),
            (b"X-Pomeloglade-Token-Counts", b"100,100"),
        ),
    )
    engine = harness.network.requests[-1]
    if engine.prefill:
        engine.answer_prefill()
        engine = harness.network.requests[-1]
    engine.begin_answer(transfer_encoding=b"chunked")
    engine.event(8)
    feed(b"id: 8\ndata: x\n\n")(lose_engine(harness))
    assert responder.was_aborted
    assert responder.body == b"id: 8\ndata: x\n\n"


def take_up(harness, last_id):
    """Start a call that takes up a stream; return its responder and its engine."""
    responder, _ = harness.call(
        TARGET,
        headers=(
            (b"Last-Event-Id", last_id),
            (b"X-Pomeloglade-Model", b"m"),
            (b"X-Pomeloglade-Token-Counts", b"100,100"),
        ),
    )
    return responder, running_engine(harness)


def running_engine(harness):
    """Return the engine that was asked last, after the prefill before it if any."""
    if harness.network.requests[-1].prefill:
        harness.network.requests[-1].answer_prefill()
    return harness.network.requests[-1]


# Guards against joining an engine's error, repetition or gap to what a caller has that
# takes up its stream: ORDER, MIXED.
@pytest.mark.parametrize(
    "parts",
    [
        (b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n"),
        (b"id: 7\ndata: x\n\n", b"id: 8\ndata: x\n\n"),
        (b"id: 10\ndata: x\n\n",),
        (b"event: error\ndata: overloaded\n\n",),
        (b"data: no id\n\n",),
        (HEAD,),
        (b'{"error": "overloaded"}',),
    ],
)
def test_stream_that_a_caller_takes_up_goes_on_only_with_its_next_events(parts):
    harness = with_engines("d", "dd", "ddd")
    responder, engine = take_up(harness, b"7")
    feed(*parts)(engine)
    assert not responder.done
    assert responder.body == b""
    again = running_engine(harness)
    assert again is not engine
    assert again.header("Last-Event-Id") == b"7"
    feed(b"id: 8\ndata: x\n\n")(again)
    assert responder.done
    assert not responder.was_aborted
    assert responder.body == b"id: 8\ndata: x\n\n"


# Nothing else tells a caller that the stream had ended with the last event it has.
def test_caller_that_takes_up_a_stream_of_which_it_has_all_gets_an_empty_answer():
    responder, engine = take_up(with_engines("d", "dd"), b"7")
    feed()(engine)
    assert responder.done
    assert not responder.was_aborted
    assert (responder.status, responder.body) == (200, b"")


def test_error_status_for_a_caller_that_takes_up_a_stream_is_passed_on():
    responder, engine = take_up(with_engines("d", "dd"), b"7")
    feed(b"gone", status=404)(engine)
    assert (responder.status, responder.body) == (404, b"gone")


# Guards against breaking a sound stream whose engine keeps the connection alive.
@pytest.mark.parametrize(
    "alive", [b"id: 2\n\n", b"id: 2\ndata:\n\n", b"id: 2\nevent: ping\n\n"]
)
def test_event_without_data_may_repeat_the_last_id(harness, alive):
    responder = begin_stream(harness, 1, 2)
    feed(alive, EVENT_3)(lose_engine(harness))
    assert responder.done
    assert not responder.was_aborted
    assert responder.body.endswith(alive + EVENT_3)


# Guards against refusing a request as one that ends servers because sound engines
# answered its stream by errors (issue 46).
@pytest.mark.parametrize("name", ["status 500", "status 404", "nothing", "gap", "JSON"])
def test_engines_that_go_on_wrongly_do_not_count_as_ended(name):
    names = [length * "d" for length in range(1, 7)]
    harness = with_engines(*names, max_servers=2)
    answer, _ = WRONG_ANSWERS[name]
    failing = set()
    for _ in range(3):
        responder = begin_stream(harness, 1, 2)
        # A silent engine does not count as ended either.
        harness.advance(STREAM_SILENCE_SECONDS + 0.01)
        again = harness.network.requests[-1]
        if again.prefill:
            again.answer_prefill("h2")
            again = harness.network.requests[-1]
        failing.add(again.header("X-Pomeloglade-Expect-Instance").decode())
        answer(again)
        assert responder.was_aborted
        harness.advance(1.0)
    assert len(failing) == 3
    assert all(harness.health.failure_rate(each) > 0 for each in failing)
    responder = begin_stream(harness, 1)
    harness.network.requests[-1].end()
    assert responder.done
    assert responder.status == 200
    assert not responder.was_aborted
