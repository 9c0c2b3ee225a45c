"""Answers that end inside their head, or just behind it, at every byte."""

from functools import partial

import pytest
from tests.forwarding_fakes import Harness, server
from tests.test_http_exchange import (  # noqa: F401
    pool,
    reactor,
    run,
    start_exchange,
    status_and_body,
)
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pomeloglade.errors import BackendLostError
from pomeloglade.forwarding.instance_groups import Peer
from pomeloglade.transport.http_exchange import ServerConnection

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Pomeloglade-Attempt-Id: 1\r\n"
    b"X-Pomeloglade-Server-Seal: a.1\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 100\r\n\r\n" + 100 * b"x"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
CLOSE = HEAD + b"\r\nabc"

ANSWERS = {
    "length": LENGTH,
    "length_first": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + 100 * b"x",
    "chunked": CHUNKED,
    "until_close": CLOSE,
    "lf": LENGTH.replace(b"\r\n", b"\n"),
    "lf_until_close": CLOSE.replace(b"\r\n", b"\n"),
    "after_continue": CONTINUE + LENGTH,
    "after_hints": INTERIM + CLOSE,
    "http_1_0": CLOSE.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "no_content": HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
    "own_status": HEAD.replace(b"200 OK", b"2000") + b"\r\n",
}


def end_of_last_head(answer):
    """Return where the body begins: behind the last empty line that ends a head."""
    final = answer.rfind(b"HTTP/1.")
    empty = b"\r\n\r\n" if b"\r\n" in answer else b"\n\n"
    return answer.index(empty, final) + len(empty)


@pytest.mark.parametrize("reason", [ConnectionDone(), ConnectionLost()])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=list(ANSWERS))
def test_answer_that_ends_inside_its_head_is_lost(pool, reactor, answer, reason):  # noqa: F811
    for cut in range(1, end_of_last_head(answer)):
        connection, exchange = start_exchange(pool, reactor)
        connection.dataReceived(answer[:cut])
        connection.connectionLost(Failure(reason))
        (failure,) = run(status_and_body(exchange))
        assert isinstance(failure, Failure), (answer[:cut], failure)
        assert failure.check(BackendLostError), (answer[:cut], failure)


@pytest.mark.parametrize("reason", [ConnectionDone(), ConnectionLost()])
@pytest.mark.parametrize("name", ["length", "chunked", "lf", "after_continue"])
def test_answer_that_ends_behind_its_head_is_lost(pool, reactor, name, reason):  # noqa: F811
    answer = ANSWERS[name]
    for cut in range(end_of_last_head(answer), len(answer)):
        connection, exchange = start_exchange(pool, reactor)
        connection.dataReceived(answer[:cut])
        connection.connectionLost(Failure(reason))
        (failure,) = run(status_and_body(exchange))
        assert isinstance(failure, Failure), (answer[:cut], failure)
        assert failure.check(BackendLostError), (answer[:cut], failure)


CALL_ID = b"%016x" % 1
CALL_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Pomeloglade-Attempt-Id: " + CALL_ID + b"\r\n"
    b"X-Pomeloglade-Server-Seal: seal\r\n"
)
STREAM_HEAD = CALL_HEAD + b"Content-Type: text/event-stream\r\n"
FRAMINGS = (
    b"Content-Length: 20\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"\r\n",
)


def cuts(head):
    """Return every part of a head and of its framing that is not the whole head."""
    return [
        whole[:cut]
        for whole in (head + each for each in FRAMINGS)
        for cut in range(1, len(whole))
    ]


def break_off(request, data, reason):
    """Answer a request with ``data`` and the connection's end."""
    connection = ServerConnection(request.address, lambda _: None)
    connection.makeConnection(StringTransport())
    connection.send_exchange(request.exchange)
    connection.dataReceived(data)
    connection.connectionLost(Failure(reason))


@pytest.fixture(params=[ConnectionDone(), ConnectionLost()], ids=["closed", "reset"])
def reason(request):
    return request.param


# Guards against the success of a server that broke off inside its head: MIXED.
@pytest.mark.parametrize(("target", "sends"), [("/bookings/1", 1), ("/lookups/1", 2)])
def test_call_whose_answer_ends_inside_its_head_fails(reason, target, sends):
    for data in cuts(CALL_HEAD):
        harness = Harness(server("a"), server("bb"))
        harness.network.on_request = partial(break_off, data=data, reason=reason)
        responder, _ = harness.call(target)
        assert (responder.status, len(harness.network.requests)) == (502, sends), data


# Guards against a stream that ends inside its head and looks complete: ORDER.
def test_stream_whose_answer_ends_inside_its_head_fails(reason):
    for data in cuts(STREAM_HEAD):
        harness = Harness(server("pre", "llm", "prefill"), server("d", "llm", "decode"))
        responder, _ = harness.model_call("/digests/1")
        harness.network.requests[0].answer_prefill()
        break_off(harness.network.requests[1], data, reason)
        harness.advance(15.0)
        assert responder.status in (502, 504), data


# Guards against a stream whose next run ends inside its head, joined to it: ORDER.
def test_stream_whose_next_run_ends_inside_its_head_is_broken_off(reason):
    for data in cuts(STREAM_HEAD):
        harness = Harness(server("d-a", "llm"), server("d-bb", "llm"))
        responder, _ = harness.model_call("/reports/1")
        run = harness.network.requests[0]
        run.begin_answer()
        run.event(1)
        harness.network.on_request = partial(break_off, data=data, reason=reason)
        run.reset()
        harness.advance(15.0)
        assert len(harness.network.requests) > 1
        assert responder.body == b"id: 1\ndata: x\n\n", data
        assert responder.was_aborted, data


# Guards against the success of an instance that ended inside its head: MIXED.
@pytest.mark.parametrize("target", ["/bookings/1", "/lookups/1"])
def test_call_passed_on_to_an_instance_that_ends_inside_its_head_fails(reason, target):
    for data in cuts(CALL_HEAD):
        harness = Harness(server("a"))
        harness.reach.probe = harness.probes.probe
        harness.network.down = {server("a").address}
        harness.peer_calls.set_peers({"entry-1": Peer("zone-a", ("10.9.0.1", 7500))})
        harness.network.on_request = partial(break_off, data=data, reason=reason)
        responder, _ = harness.call(target)
        harness.advance(3.0)
        assert harness.network.requests
        assert responder.status in (502, 504), data
