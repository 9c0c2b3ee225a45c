"""Failures that operators of similar routers reported, brought about here one by one.

Each test is named for the failure. Others that guard against the same ones are in
``test_http_exchange``, ``test_plain_calls``, ``test_model_calls``, ``test_http_site``.
"""

from datetime import timedelta

import pytest
from tests.forwarding_fakes import Harness, server
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pomeloglade.errors import InvalidBackendResponseError
from pomeloglade.forwarding.event_stream import MAX_EVENT_BYTES
from pomeloglade.forwarding.model_calls import (
    FIRST_EVENT_OBJECTIVES,
    STREAM_SILENCE_SECONDS,
)
from pomeloglade.state.connection_limits import ConnectionLimits
from pomeloglade.transport.http_exchange import ServerConnection
from pomeloglade.transport.http_site import HttpSite

OBJECTIVE_SECONDS = 0.9
"""Objective of the streaming routes."""

ENGINES = (
    server("pre", "llm", "prefill"),
    server("dec-a", "llm", "decode"),
    server("dec-bb", "llm", "decode"),
)


@pytest.fixture
def plain():
    return Harness(server("a"), server("bb"))


@pytest.fixture
def models():
    return Harness(*ENGINES)


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True


def response(call_id, body):
    head = "HTTP/1.1 200 OK\r\nX-Pomeloglade-Server-Seal: s\r\n"
    head += f"X-Pomeloglade-Attempt-Id: {call_id}\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


def begin_stream(harness, target):
    responder, _ = harness.model_call(target)
    harness.network.requests[-1].answer_prefill()
    run = harness.network.requests[-1]
    run.begin_answer()
    return responder, run


# A server sends a second copy of an answer when the connection carries the next call.
def test_late_second_copy_of_an_answer_does_not_reach_the_next_caller(plain):
    connection = ServerConnection("10.0.0.1:80", lambda _: None)
    connection.makeConnection(Transport())
    plain.network.acquire_connection = lambda address, **_: succeed(connection)
    first, _ = plain.call("/lookups/1", method=b"GET")
    connection.dataReceived(response("0000000000000001", "one"))
    second, _ = plain.call("/lookups/2", method=b"GET")
    connection.dataReceived(response("0000000000000001", "one"))
    connection.dataReceived(response("0000000000000002", "two"))
    assert first.body == b"one"
    assert second.body != b"one"
    assert connection.transport.aborted


# The KV cache that a late second copy names has the prompt of another call.
def test_late_second_copy_of_a_prefill_is_not_used_for_the_next_call(models):
    models.model_call("/digests/1")
    prefill = models.network.requests[0]
    prefill.answer_prefill("of-another", x_pomeloglade_attempt_id=b"another")
    assert all(
        not (each.header("X-Pomeloglade-Kv-Source") or b"").endswith(b"of-another")
        for each in models.network.requests
    )
    assert prefill.aborted


# A request is in the connection's buffers, or half received, when the stop begins.
@pytest.mark.parametrize("received", [b"GET /a HT", b"GET /a HTTP/1.1\r\nHost: h\r\n"])
def test_request_that_arrives_while_an_instance_stops_is_answered(received):
    handled = []

    class Handler:
        def limits(self):
            return ConnectionLimits(header_timeout=timedelta(seconds=3))

        def is_draining(self):
            return True

        def handle(self, head, body, responder):
            handled.append(head.target)
            responder.answer(200, (), b"ok")
            return Deferred()

    site = HttpSite(Handler(), Clock(), lambda *_: None)
    connection = site.buildProtocol(None)
    connection.makeConnection(Transport())
    connection.dataReceived(received)
    site.close_idle()
    rest = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n".removeprefix(received)
    connection.dataReceived(rest)
    assert handled == [b"/a"]
    written = connection.transport.value()
    assert written.startswith(b"HTTP/1.1 200")
    assert written.endswith(b"ok")


# Events that are slower than usual, but not stalled, must not end a stream.
@pytest.mark.parametrize("target", ["/digests/1", "/reports/1"])
def test_slow_but_sound_stream_is_not_cut(models, target):
    responder, run = begin_stream(models, target)
    allowed = FIRST_EVENT_OBJECTIVES * OBJECTIVE_SECONDS
    for number in range(7):
        models.advance(0.95 * allowed)
        run.event(number)
        allowed = STREAM_SILENCE_SECONDS
    run.end()
    assert not run.aborted
    assert responder.done
    assert not responder.was_aborted


# Bytes that are no event with data kept a stalled stream alive until its time limit.
@pytest.mark.parametrize("stalled", [b": wait\n\n", b"id: 1\n\n", b"d"])
def test_stalled_stream_that_sends_a_byte_now_and_then_is_resumed(models, stalled):
    _, run = begin_stream(models, "/reports/1")
    run.event(1)
    for _ in range(3):
        models.advance(0.9)
        if not run.aborted:
            run.exchange.receive_body(stalled)
    assert run.aborted
    assert models.network.requests[-1] is not run


# An engine that says nothing before the first event held a stream for its whole limit.
@pytest.mark.parametrize(
    ("target", "resumed"), [("/reports/1", True), ("/digests/1", False)]
)
def test_stream_whose_engine_is_silent_before_the_first_event_is_taken_elsewhere(
    models, target, resumed
):
    _, run = begin_stream(models, target)
    models.advance(FIRST_EVENT_OBJECTIVES * OBJECTIVE_SECONDS - 0.05)
    assert not run.aborted
    models.advance(0.1)
    assert run.aborted is resumed


# A stream of empty events without end lasted to its time limit.
@pytest.mark.parametrize("target", ["/digests/1", "/reports/1"])
def test_stream_of_empty_events_without_end_is_broken_off(models, target):
    _, run = begin_stream(models, target)
    sent = 0
    while not run.aborted and sent <= 2 * MAX_EVENT_BYTES:
        run.exchange.receive_body(b"data:\n\n" * 1_000)
        sent += 7_000
    assert sent <= MAX_EVENT_BYTES + 7_000


# An answer that breaks off halfway must not reach the caller as a whole one.
def test_answer_that_breaks_off_halfway_is_not_passed_on_as_complete(plain, models):
    responder, _ = plain.call("/bookings/1")
    request = plain.network.requests[0]
    request.begin_answer(content_length=b"10")
    request.exchange.receive_body(b"half")
    request.reset()
    assert responder.status == 502
    stream, run = begin_stream(models, "/digests/1")
    run.event(1)
    run.reset()
    assert stream.was_aborted


# After a lost answer the work may have run: it must not be sent again, and the caller
# must not be told that it has not run.
@pytest.mark.parametrize("how", ["reset", "invalid"])
def test_work_whose_answer_is_lost_is_neither_repeated_nor_called_not_run(plain, how):
    responder, _ = plain.call("/bookings/1")
    request = plain.network.requests[0]
    if how == "reset":
        request.reset()
    else:
        request.exchange.receive_error(
            InvalidBackendResponseError("not HTTP", step="answer")
        )
    plain.advance(3.0)
    assert len(plain.network.requests) == 1
    assert responder.status == 502
    assert b'"not_run":false' in responder.body.replace(b" ", b"")


# The registration of a server that is only silent lapses while it works.
@pytest.mark.parametrize("lenient", [False, True])
def test_work_of_a_server_whose_registration_lapses_goes_on(models, lenient):
    responder, run = begin_stream(models, "/reports/1")
    run.event(1)
    name = run.header("X-Pomeloglade-Expect-Instance").decode()
    sent = len(models.network.requests)
    models.backends.remove(name, lenient=lenient)
    models.advance(1.5)
    run.event(2)
    run.end()
    assert len(models.network.requests) == sent
    assert responder.done
    assert not responder.was_aborted
