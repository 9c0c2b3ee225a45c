"""The planned stop of an instance: every call that was read is answered."""

from datetime import timedelta

import pytest
from tests.forwarding_fakes import KEY, Harness, deployment, route, server
from tests.test_http_site import Transport
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from pomeloglade.forwarding.deployment import CallKind
from pomeloglade.forwarding.planned_stop import EXIT_MARGIN_SECONDS, PlannedStop
from pomeloglade.transport.http_site import HttpSite

GRACE_SECONDS = 8.0


class Listeners:
    closed = False

    def close(self):
        self.closed = True
        return succeed(None)


class ClosingTransport(Transport):
    """Reports the end of a connection as a socket does."""

    connection = None

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        self.connection.connectionLost(Failure(ConnectionDone()))

    def abortConnection(self):  # noqa: N802
        super().abortConnection()
        self.connection.connectionLost(Failure(ConnectionDone()))


class StoppingInstance:
    """An instance with the site of its callers, and its planned stop."""

    def __init__(self, grace=GRACE_SECONDS):
        seconds = {"timeout": timedelta(seconds=14), "max_servers": 2}
        bookings = route("bookings", "/bookings/", CallKind.UNSAFE, "api", **seconds)
        self.harness = Harness(
            server("a"),
            server("dec", "llm", "decode"),
            configuration=deployment(slots=1, bookings=bookings),
        )
        clock = self.harness.clock
        self.site = HttpSite(self.harness.forwarder, clock, lambda *_: None)
        self.listeners = Listeners()
        self.stop = PlannedStop(
            clock,
            forwarder=self.harness.forwarder,
            listeners=self.listeners,
            sites=(self.site,),
            grace=grace,
        )
        self.stopped_at = None

    def begin(self):
        started = self.harness.clock.seconds()

        def stopped(_):
            self.stopped_at = self.harness.clock.seconds() - started

        Deferred.fromCoroutine(self.stop.run()).addCallback(stopped)

    def connect(self):
        connection = self.site.buildProtocol(None)
        transport = ClosingTransport()
        transport.connection = connection
        connection.makeConnection(transport)
        return transport

    def send(self, transport, target, *, limit_ms=14_000, version="1.1"):
        """Send a request; those of streams are of one size."""
        head = f"POST {target} HTTP/{version}\r\nHost: api.example\r\n"
        head += "X-Pomeloglade-Attempt-Id: 0000000000000001\r\n"
        head += f"X-Pomeloglade-Deadline-Ms: {limit_ms}\r\n"
        head += "X-Pomeloglade-Model: m\r\n"
        head += "X-Pomeloglade-Token-Counts: 5000,5000\r\n"
        head += "X-Pomeloglade-Prompt-Prefix: aa:200,bb:4800\r\n"
        head += f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        transport.connection.dataReceived(head.encode())

    def call(self, target, **options):
        transport = self.connect()
        self.send(transport, target, **options)
        return transport

    @property
    def requests(self):
        return self.harness.network.requests


@pytest.fixture
def instance():
    return StoppingInstance()


def statuses(transport):
    lines = transport.value().split(b"\r\n")
    return [int(each.split()[1]) for each in lines if each.startswith(b"HTTP/1.1 ")]


# Guards against calls that a planned stop cuts without an answer: LOST.
def test_call_that_still_runs_when_the_grace_ends_is_answered_with_502(instance):
    instance.begin()
    instance.harness.advance(2.4)
    caller = instance.call("/bookings/1")
    assert len(instance.requests) == 1
    instance.harness.advance(GRACE_SECONDS - 2.4)
    assert statuses(caller) == [502]
    assert caller.disconnecting
    assert instance.requests[0].aborted
    assert instance.stopped_at < GRACE_SECONDS


# Guards against calls that were not sent and are cut without an answer: LOST.
def test_call_that_was_not_sent_when_the_grace_ends_is_answered_with_503(instance):
    instance.harness.network.slow[server("a").address] = None
    instance.begin()
    instance.harness.advance(2.4)
    caller = instance.call("/bookings/1")
    instance.harness.advance(GRACE_SECONDS - 2.4)
    assert statuses(caller) == [503]
    assert b"Retry-After: 0.050" in caller.value()
    assert instance.requests == []


# Guards against a call that is sent only as the calls before it are ended: REFUSED.
def test_call_that_waits_in_a_queue_is_not_sent_when_the_grace_ends(instance):
    instance.call("/bookings/1")
    instance.harness.advance(0.1)
    instance.requests[0].answer(x_pomeloglade_server_load=b"0,0,2,100")
    instance.begin()
    instance.harness.advance(2.4)
    callers = [instance.call("/bookings/1") for _ in range(12)]
    sent = len(instance.requests) - 1
    assert 0 < sent < len(callers)
    instance.harness.advance(GRACE_SECONDS - 2.4)
    assert len(instance.requests) == sent + 1
    waiting = [[503]] * (len(callers) - sent)
    assert [statuses(each) for each in callers] == [[502]] * sent + waiting


def test_calls_are_answered_as_usual_until_the_grace_ends(instance):
    instance.begin()
    caller = instance.call("/bookings/1")
    instance.harness.advance(GRACE_SECONDS - EXIT_MARGIN_SECONDS - 0.1)
    assert instance.listeners.closed
    instance.requests[0].answer(200)
    assert statuses(caller) == [200]
    instance.harness.advance(0.1)
    assert instance.stopped_at is not None


# Guards against a call whose time limit ends with the grace, and is then cut: LOST.
def test_call_whose_time_limit_ends_with_the_grace_is_answered(instance):
    instance.begin()
    instance.harness.advance(2.6)
    late = [instance.call("/bookings/1", limit_ms=ms) for ms in (4_600, 4_700, 4_701)]
    instance.harness.advance(GRACE_SECONDS - 2.6)
    assert [statuses(each) for each in late] == [[504], [504], [503]]
    assert len(instance.requests) == 2


# Guards against a stream that looks complete to a caller of HTTP/1.0: MIXED.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_stream_that_still_runs_when_the_grace_ends_looks_incomplete(instance, version):
    instance.begin()
    caller = instance.call("/digests/1", version=version)
    (run,) = instance.requests
    run.begin_answer()
    run.event(1)
    instance.harness.advance(GRACE_SECONDS)
    assert statuses(caller) == [200]
    assert b"id: 1" in caller.value()
    assert not caller.value().endswith(b"0\r\n\r\n")
    assert caller.aborted == (version == "1.0")
    assert instance.stopped_at < GRACE_SECONDS


def test_request_that_arrives_as_the_last_calls_are_answered_is_refused(instance):
    instance.begin()
    caller = instance.connect()
    caller.connection.dataReceived(b"POST /bookings/1 HTTP/1.1\r\n")
    instance.harness.advance(GRACE_SECONDS - EXIT_MARGIN_SECONDS + 0.01)
    assert instance.stopped_at is None
    rest = b"Host: api.example\r\nX-Pomeloglade-Attempt-Id: 0000000000000001\r\n"
    rest += b"X-Pomeloglade-Deadline-Ms: 100\r\nContent-Length: 0\r\n"
    rest += b"Authorization: Bearer %s\r\n\r\n" % KEY.encode()
    caller.connection.dataReceived(rest)
    assert statuses(caller) == [503]
    assert instance.requests == []


# Guards against answers that are not sent as the grace is short: LOST.
def test_connections_have_time_for_the_last_answers_also_if_the_grace_is_short():
    instance = StoppingInstance(grace=3.0)
    instance.begin()
    caller = instance.call("/bookings/1")
    caller.loseConnection = lambda: None
    instance.harness.advance(2.65)
    assert statuses(caller) == [502]
    assert instance.stopped_at is None
    caller.connection.connectionLost(Failure(ConnectionDone()))
    instance.harness.advance(0.1)
    assert instance.stopped_at < 3.0


# Guards against a call that is sent as a call that connects gives it its place: LOST.
def test_waiting_call_is_not_sent_as_a_call_that_connects_is_ended(instance):
    harness = instance.harness
    instance.call("/bookings/1")
    harness.advance(0.1)
    instance.requests[0].answer(x_pomeloglade_server_load=b"0,0,1,100")
    instance.begin()
    harness.advance(2.3)
    harness.network.slow[server("a").address] = None
    for _ in range(6):
        instance.call("/bookings/1")
    harness.network.slow.clear()
    waiting = [instance.call("/lookups/1") for _ in range(12)]
    sent = len(instance.requests)
    harness.advance(GRACE_SECONDS - 2.3)
    assert len(instance.requests) == sent
    assert [statuses(each) for each in waiting] == 12 * [[503]]
