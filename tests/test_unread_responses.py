"""The bound on complete responses that callers have not read."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.forwarding_fakes import Harness, server
from tests.test_http_site import Handler, get
from tests.test_slow_readers import SlowTransport
from twisted.internet.task import Clock

from pomeloglade.transport.http_site import MAX_STALL_SECONDS, HttpSite
from pomeloglade.transport.unread_responses import (
    MAX_RETRY_SECONDS,
    UnreadResponses,
    max_unread_bytes,
)

MEGABYTE = 1024 * 1024
BOUND = 16 * MEGABYTE


class Connection:
    broken_off = False

    def break_off(self):
        self.broken_off = True


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def broken_off():
    return []


@pytest.fixture
def responses(clock, broken_off):
    return UnreadResponses(BOUND, clock, broken_off.append)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def ask(clock, handler, responses):
    def owner_of(head):
        return next((v.decode() for k, v in head.headers if k == b"Account"), "")

    site = HttpSite(handler, clock, lambda *_: None, None, owner_of, responses)

    def send(size, account="club", *, repeatable=True):
        """Answer a new caller with so many bytes."""
        connection = site.buildProtocol(None)
        transport = SlowTransport()
        connection.makeConnection(transport)
        connection.dataReceived(get(extra=f"Account: {account}\r\n"))
        responder = handler.requests[-1][2]
        responder.repeatable = repeatable
        responder.answer(200, (), b"x" * size)
        return connection, transport

    return send


@pytest.mark.parametrize(("megabytes", "bound"), [(16, 16), (128, 32), (1024, 128)])
def test_bound_follows_the_machines_memory(megabytes, bound):
    assert max_unread_bytes(megabytes * MEGABYTE) == bound * MEGABYTE


# Plain answers that callers read slowly ended the process for want of memory.
def test_unread_answers_take_bounded_memory(ask, responses, broken_off):
    transports = [ask(MEGABYTE)[1] for _ in range(40)]
    kept = sum(len(each.unread) for each in transports if not each.aborted)
    assert kept <= responses.total <= BOUND
    aborted = [each.aborted for each in transports]
    assert aborted == sorted(aborted, reverse=True)
    assert len(broken_off) == responses.broken_off == sum(aborted)


# Without a refusal in time, the answers of others had to be broken off.
def test_account_without_room_is_told_before_its_calls_are_sent(ask, responses):
    assert responses.has_room("club")
    while responses.has_room("club"):
        ask(MEGABYTE)
    assert responses.total <= BOUND / 2 + MEGABYTE
    assert responses.has_room("league")
    assert not responses.has_room("club")
    assert responses.refused == 2


def test_call_without_room_is_not_sent_and_a_stream_is(responses):
    harness = Harness(server("a"), server("d1", "llm", "decode"))
    harness.forwarder.unread_responses = responses
    responses.hold(Connection(), "club", BOUND, repeatable=True)
    responder, _ = harness.call("/bookings/1")
    assert harness.network.requests == []
    assert (responder.status, responder.reason) == (503, "memory")
    assert json.loads(responder.body)["not_run"]
    assert responder.headers[b"retry-after"] == b"5.000"
    harness.model_call()
    assert len(harness.network.requests) == 1


def test_bookings_are_marked_as_not_to_be_repeated():
    harness = Harness(server("a"))
    booking, _ = harness.call("/bookings/1")
    lookup, _ = harness.call("/lookups/1", method=b"GET")
    assert (booking.repeatable, lookup.repeatable) == (False, True)


def test_answer_that_may_not_be_repeated_is_broken_off_last(ask, clock):
    booking = ask(MEGABYTE, repeatable=False)[1]
    clock.advance(5.0)
    others = [ask(MEGABYTE)[1] for _ in range(40)]
    assert not booking.aborted
    assert others[0].aborted


def test_account_that_holds_most_gives_way_first(ask):
    small = ask(MEGABYTE, "league")[1]
    large = [ask(MEGABYTE, "club")[1] for _ in range(40)]
    assert not small.aborted
    assert any(each.aborted for each in large)


def test_caller_that_was_not_read_for_longest_gives_way_first(ask, clock):
    first, second, *_ = [ask(MEGABYTE)[1] for _ in range(15)]
    clock.advance(1.0)
    first.read()
    ask(MEGABYTE)
    ask(MEGABYTE)
    assert second.aborted
    assert not first.aborted


def test_memory_is_released_as_callers_read_or_leave(ask, responses):
    connection, transport = ask(MEGABYTE)
    held = responses.total
    assert held == MEGABYTE
    while transport.unread:
        transport.read()
        assert responses.total <= held
        held = responses.total
    assert responses.total == 0
    assert transport.received.count(b"x") == MEGABYTE
    connection, transport = ask(MEGABYTE)
    connection.connectionLost(None)
    assert responses.total == responses.largest_account_bytes == 0


def test_small_answers_are_not_counted(ask, responses):
    ask(10_000)
    assert responses.total == 0


def test_caller_that_never_reads_holds_memory_for_a_bounded_time(ask, clock):
    _, transport = ask(MEGABYTE)
    clock.advance(MAX_STALL_SECONDS + 1)
    assert transport.aborted


def test_retry_delay_follows_from_how_fast_callers_read(responses, clock):
    slow = Connection()
    responses.hold(slow, "club", 8 * MEGABYTE, repeatable=True)
    clock.advance(2.0)
    assert responses.retry_seconds("club") == 5.0
    responses.record_read(slow, 4 * MEGABYTE)
    clock.advance(2.0)
    assert responses.retry_seconds("club") == 1.0
    responses.record_read(slow, 2 * MEGABYTE)
    clock.advance(4.0)
    assert responses.retry_seconds("club") == 2.0


# Guards against a Retry-After that is not true where callers read nothing.
def test_retry_delay_follows_from_how_fast_the_accounts_own_callers_read(
    responses, clock
):
    responses.hold(Connection(), "stuck", 8 * MEGABYTE, repeatable=True)
    fast = Connection()
    for _ in range(3):
        responses.hold(fast, "fast", MEGABYTE, repeatable=True)
        responses.record_read(fast, 0)
        clock.advance(1.0)
    assert responses.retry_seconds("stuck") == MAX_RETRY_SECONDS
    assert responses.retry_seconds("new") < MAX_RETRY_SECONDS


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.sampled_from("ab"), st.integers(0, 90), st.booleans()
        )
    )
)
def test_counts_stay_exact_and_within_the_bound(steps):
    responses = UnreadResponses(100, Clock())
    connections = [Connection() for _ in range(6)]
    sizes = {}
    for number, owner, size, repeatable in steps:
        holder = connections[number]
        if number in sizes and size < sizes[number]:
            responses.record_read(holder, size)
        else:
            responses.hold(holder, owner, size, repeatable=repeatable)
        sizes[number] = size
        for index, each in enumerate(connections):
            if each.broken_off:
                each.broken_off = False
                sizes.pop(index, None)
        assert responses.total == sum(sizes.values()) <= 100
        assert responses.held_for("a") + responses.held_for("b") == responses.total
