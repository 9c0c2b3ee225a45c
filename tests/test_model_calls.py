"""Model calls under rejections, crashes and full engine pools."""

import pytest
from tests.forwarding_fakes import Harness, deployment, server
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pomeloglade.forwarding.prefills import MAX_IDLE_SECONDS
from pomeloglade.transport.http_exchange import ServerConnection


@pytest.fixture
def prefill():
    return server("pre", "llm", "prefill")


@pytest.fixture
def decodes():
    return server("dec-a", "llm", "decode"), server("dec-bb", "llm", "decode")


@pytest.fixture
def harness(prefill, decodes):
    return Harness(prefill, *decodes)


def test_decode_engine_fetches_the_kv_cache_from_a_prefill_engine(
    harness, prefill, decodes
):
    responder, _ = harness.model_call()
    (prefill_request,) = harness.network.requests
    assert prefill_request.address == prefill.address
    assert prefill_request.prefill
    prefill_request.answer_prefill("h7")
    run = harness.network.requests[-1]
    source = f"{prefill.address}/h7".encode()
    assert run.header("X-Pomeloglade-Kv-Source") == source
    assert not run.prefill
    run.begin_answer()
    run.event(1)
    assert responder.body == b"id: 1\ndata: x\n\n"
    run.end()
    assert responder.done
    assert not responder.was_aborted


def test_kv_cache_is_offered_to_the_next_engine_after_a_rejection(harness, prefill):
    harness.model_call()
    harness.network.requests[0].answer_prefill("h7")
    first = harness.network.requests[1]
    first.reject()
    again = harness.network.requests[2]
    assert again.address != first.address
    assert again.header("X-Pomeloglade-Kv-Source").endswith(b"/h7")
    assert len(harness.network.requests_to(prefill.address)) == 1


def test_kv_cache_is_not_offered_again_after_an_engine_may_have_fetched_it(
    harness, prefill
):
    harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill("h7")
    harness.network.requests[1].reset()
    freed, second_prefill = harness.network.requests[2:]
    assert freed.head.target == b"/v1/kv-handle/h7"
    assert second_prefill.prefill
    second_prefill.answer_prefill("h8")
    again = harness.network.requests[-1]
    assert again.header("X-Pomeloglade-Kv-Source").endswith(b"/h8")


def test_prefill_may_use_an_idle_connection_and_its_loss_is_not_the_engines_fault(
    harness, prefill
):
    harness.model_call()
    assert harness.network.idle_bounds[-1] == MAX_IDLE_SECONDS
    harness.network.requests[0].connection.reused = True
    harness.network.requests[0].reset()
    assert not harness.health.avoided(prefill.id)
    second = harness.network.requests[1]
    assert second.prefill
    second.reset()
    assert harness.health.avoided(prefill.id)


def test_prompt_is_not_prefilled_again_if_the_retry_budget_is_exhausted(
    prefill, decodes
):
    """A prefill was spent on calls that could not be sent again."""
    harness = Harness(prefill, *decodes, slack=1.0)
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    harness.network.requests[1].reset()
    assert responder.status == 502
    assert len(harness.network.requests_to(prefill.address)) == 1 + len(
        [r for r in harness.network.requests if r.head.method == b"DELETE"]
    )


def fail_streams(harness, engine, count):
    """Let an engine answer calls by errors, and return the responders."""
    responders = []
    for _ in range(count):
        responder, _ = harness.model_call("/reports/1")
        harness.network.requests[-1].answer_prefill()
        run = harness.network.requests[-1]
        assert run.address == engine.address
        run.answer(500, b"error")
        responders.append(responder)
    return responders


def test_engine_that_answers_errors_is_penalized_and_its_calls_are_retried(prefill):
    """An engine that failed all calls was the least loaded, and got most of them."""
    decodes = [server(name, "llm", "decode", 8) for name in ("dec-a", "dec-bb")]
    harness = Harness(prefill, *decodes, configuration=deployment(slots=8))
    for _ in range(3):
        harness.loads.begin(decodes[0].id, 0)
    first, second = fail_streams(harness, decodes[1], 2)
    assert (first.status, first.body) == (500, b"error")
    assert not second.done
    harness.network.requests[-1].answer_prefill()
    again = harness.network.requests[-1]
    assert again.address == decodes[0].address
    again.begin_answer()
    again.event(1)
    again.end()
    assert second.status == 200
    harness.loads.end(decodes[0].id, 0)
    harness.model_call()
    harness.network.requests[-1].answer_prefill()
    assert harness.network.requests[-1].address == decodes[0].address


def test_expired_kv_cache_is_not_offered_again(harness, prefill):
    harness.model_call()
    harness.network.requests[0].answer_prefill("h7")
    harness.advance(0.45)
    harness.network.requests[1].reject()
    assert [s.prefill for s in harness.network.requests_to(prefill.address)] == [
        True,
        True,
    ]


def test_unused_kv_cache_is_freed_when_the_caller_disconnects(harness, prefill):
    _, task = harness.model_call()
    harness.network.requests[0].answer_prefill("h7")
    task.cancel()
    assert harness.network.requests[1].aborted
    freed = harness.network.requests[2]
    assert freed.head.method == b"DELETE"
    assert freed.head.target == b"/v1/kv-handle/h7"


def test_engine_that_rejected_gets_no_further_calls_for_a_while(harness, decodes):
    harness.model_call()
    harness.network.requests[0].answer_prefill()
    rejecting = harness.network.requests[1].address
    harness.network.requests[1].reject()
    for _ in range(2):
        harness.model_call()
        harness.network.requests[-1].answer_prefill()
        assert harness.network.requests[-1].address != rejecting


def test_call_holds_one_slot_until_it_is_cancelled(harness, decodes):
    _, task = harness.model_call()
    harness.network.requests[0].answer_prefill()
    assert sum(harness.loads.total(d.id).calls for d in decodes) == 1
    task.cancel()
    assert sum(harness.loads.total(d.id).calls for d in decodes) == 0


def test_stream_that_is_not_resumable_is_aborted_when_its_engine_fails(harness):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    run.reset()
    assert responder.was_aborted
    assert len(harness.network.requests) == 2


def test_stream_that_is_not_resumable_is_answered_502_if_lost_before_its_head(harness):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    harness.network.requests[1].reset()
    assert responder.status == 502
    # The decode engine may not have fetched the KV cache, so it is freed.
    freed = harness.network.requests[2]
    assert freed.head.method == b"DELETE"
    assert len(harness.network.requests) == 3


def test_resumable_stream_continues_after_its_last_whole_event(harness):
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    run.exchange.receive_body(b"id: 2\nda")
    run.reset()
    second_prefill = harness.network.requests[-1]
    assert second_prefill.prefill
    second_prefill.answer_prefill("h2")
    again = harness.network.requests[-1]
    assert again.header("X-Pomeloglade-Kv-Source").endswith(b"/h2")
    assert again.address != run.address
    assert again.header("Last-Event-Id") == b"1"
    again.begin_answer()
    again.event(2)
    again.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert responder.done
    assert not responder.was_aborted


CONNECTION_END = {}
LAST_CHUNK = {"transfer_encoding": b"chunked"}


# Guards against framing a broken-off stream as complete: ORDER at kowhai-hq (inc1).
@pytest.mark.parametrize("framing", [CONNECTION_END, LAST_CHUNK])
def test_stream_that_ends_inside_an_event_is_not_answered_as_complete(harness, framing):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer(**framing)
    run.event(1)
    run.exchange.receive_body(b"id: 2\nda")
    run.end()
    assert responder.was_aborted
    assert len(harness.network.requests) == 2


# Guards against joining a part of an event and what follows it: ORDER (inc1).
@pytest.mark.parametrize("framing", [CONNECTION_END, LAST_CHUNK])
def test_resumable_stream_that_ends_inside_an_event_is_resumed(harness, framing):
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer(**framing)
    run.event(1)
    run.exchange.receive_body(b"id: 2\nda")
    run.end()
    harness.network.requests[-1].answer_prefill("h2")
    again = harness.network.requests[-1]
    assert again.address != run.address
    assert again.header("Last-Event-Id") == b"1"
    again.begin_answer()
    again.event(2)
    again.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert not responder.was_aborted


# Guards against framing a broken-off stream as complete: ORDER at kowhai-hq (inc1).
def test_connection_that_an_engine_closes_inside_an_event_breaks_its_stream(harness):
    responder, _ = harness.model_call("/digests/1")
    connection = ServerConnection("10.0.0.1:80", lambda _: None)
    connection.makeConnection(StringTransport())
    harness.network.opened[0].send_exchange = connection.send_exchange
    harness.network.requests[0].answer_prefill()
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\n"
        b"X-Pomeloglade-Attempt-Id: 0000000000000001\r\n"
        b"X-Pomeloglade-Server-Seal: seal\r\n\r\n"
        b"id: 1\ndata: x\n\nid: 2\nda"
    )
    connection.connectionLost(Failure(ConnectionDone()))
    assert responder.was_aborted


# Guards against taking a connection's end before the first event for a whole stream.
def test_stream_without_an_event_that_ends_with_its_connection_is_not_complete(harness):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer(**CONNECTION_END)
    run.end()
    assert responder.was_aborted


def test_stream_that_ends_with_its_connection_after_an_event_is_complete(harness):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer(**CONNECTION_END)
    run.event(1)
    run.end()
    assert responder.done
    assert not responder.was_aborted


def test_calls_to_a_full_pool_wait_or_are_refused_with_a_retry_delay(harness):
    harness.queue.pool = type(harness.queue.pool)(1, 1_000_000, 0.5)
    for _ in range(50):
        harness.queue.record_duration(0.5)
    for _ in range(2):
        harness.model_call()
    waiting, _ = harness.model_call()
    assert not waiting.head_sent
    refused = [harness.model_call()[0] for _ in range(8)][-1]
    assert refused.status == 503
    assert float(refused.headers[b"retry-after"]) > 0.5


def test_retry_of_a_late_caller_goes_after_calls_that_can_be_on_time(harness):
    harness.queue.pool = type(harness.queue.pool)(1, 1_000_000, 0.5)
    for _ in range(50):
        harness.queue.record_duration(0.2)
    first = [harness.model_call()[1] for _ in range(2)]
    again, _ = harness.model_call(limit_ms=11_000)
    fresh, _ = harness.model_call(limit_ms=14_000)
    waiting = len(harness.network.requests)
    first[0].cancel()
    assert len(harness.network.requests) == waiting + 1
    newest = harness.network.requests[-1]
    assert newest.header("X-Pomeloglade-Deadline-Ms") > b"13000"
    assert not again.done


def test_without_any_engine_the_call_is_refused_at_once(prefill):
    harness = Harness(prefill)
    responder, _ = harness.model_call()
    assert responder.status == 503
    assert responder.reason == "no_engine"


def test_decode_engine_prefills_if_the_prefill_engine_is_unreachable(harness, prefill):
    harness.network.down.add(prefill.address)
    harness.model_call()
    (run,) = harness.network.requests
    assert run.address != prefill.address
    assert run.header("X-Pomeloglade-Kv-Source") is None


def test_no_prompt_is_prefilled_for_an_unreachable_decode_engine(harness, decodes):
    for decode in decodes:
        harness.network.down.add(decode.address)
    harness.model_call()
    assert harness.network.requests == []


def test_connection_that_closes_during_the_prefill_is_not_used(harness, decodes):
    harness.model_call()
    opened = harness.network.opened[0]
    opened.closed = True
    harness.network.requests[0].answer_prefill("h7")
    run = harness.network.requests[1]
    assert run.connection is not opened
    assert run.address != opened.address
    assert run.header("X-Pomeloglade-Kv-Source").endswith(b"/h7")


def test_resumable_stream_is_resumed_after_two_seconds_of_silence(
    harness,
):
    harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    harness.advance(1.9)
    assert not run.aborted
    harness.advance(0.2)
    assert run.aborted
    assert harness.network.requests[-1].prefill


def test_silent_engine_of_a_stream_that_is_not_resumable_is_waited_for(harness):
    harness.model_call("/digests/1")
    harness.network.requests[0].answer_prefill()
    harness.network.requests[1].begin_answer()
    harness.advance(3.0)
    assert not harness.network.requests[1].aborted
    assert len(harness.network.requests) == 2


def test_failed_prefill_is_not_repeated_at_an_engine_with_a_local_prefill(
    harness, prefill, decodes
):
    for decode in decodes:
        harness.loads.begin_local_prefill(decode.id, 5000)
    for _ in range(50):
        harness.queue.record_duration(0.2)
    for _ in range(4):
        harness.model_call()
    before = len(harness.network.requests)
    harness.network.requests[-1].reset()
    assert len(harness.network.requests) == before
    for decode in decodes:
        harness.loads.end_local_prefill(decode.id, 5000)
    harness.advance(0.1)
    addresses = [decode.address for decode in decodes]
    assert harness.network.requests[-1].address in addresses


def test_second_prefill_of_a_call_counts_against_the_retry_budget(harness, prefill):
    left = harness.budget.remaining("llm")
    harness.model_call()
    harness.network.requests[0].answer_prefill()
    harness.advance(0.45)
    harness.network.requests[1].reject()
    assert harness.network.requests[2].prefill
    # The retry of the call itself is taken first, so that no prefill is wasted.
    assert harness.budget.remaining("llm") == left - 2


def test_accepted_call_is_resumed_although_the_view_is_old(harness):
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    harness.age = 6.0
    run = harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    run.reset()
    assert harness.network.requests[-1].prefill
    assert not responder.done


def test_stopping_instance_takes_only_calls_that_end_before_it_stops(harness):
    """A stream on a connection kept open was cut off 2 s after it had been taken."""
    now = harness.clock.seconds()
    harness.forwarder.begin_drain(last_long_call_at=now + 2.5, stops_at=now + 7.3)
    harness.advance(2.4)
    harness.model_call()
    assert len(harness.network.requests) == 1
    harness.advance(0.2)
    late, _ = harness.model_call()
    assert late.status == 503
    assert late.reason == "stopping"
    assert late.headers[b"retry-after"] == b"0.050"
    short, _ = harness.model_call(limit_ms=4_000)
    assert not short.done
