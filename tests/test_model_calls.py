"""Streams of model engines under rejections, crashes and full pools."""

import pytest
from tests.forwarding_fakes import World, server


@pytest.fixture
def prefill():
    return server("pre", "llm", "prefill")


@pytest.fixture
def decodes():
    return server("dec-a", "llm", "decode"), server("dec-bb", "llm", "decode")


@pytest.fixture
def world(prefill, decodes):
    return World(prefill, *decodes)


def test_prompt_is_read_apart_and_its_cache_taken_by_the_decode_engine(
    world, prefill, decodes
):
    responder, _ = world.model_call()
    (read,) = world.network.sendings
    assert read.address == prefill.address
    assert read.prefill
    read.answer_prefill("h7")
    run = world.network.sendings[-1]
    source = f"{prefill.address}/h7".encode()
    assert run.header("X-Pomeloglade-Kv-Source") == source
    assert not run.prefill
    run.head_of_answer()
    run.event(1)
    assert responder.body == b"id: 1\ndata: x\n\n"
    run.end()
    assert responder.done
    assert not responder.was_cut


def test_rejecting_engine_leaves_the_cache_to_the_next_one(world, prefill):
    world.model_call()
    world.network.sendings[0].answer_prefill("h7")
    first = world.network.sendings[1]
    first.reject()
    again = world.network.sendings[2]
    assert again.address != first.address
    assert again.header("X-Pomeloglade-Kv-Source").endswith(b"/h7")
    assert len(world.network.to(prefill.address)) == 1


def test_lapsed_cache_is_not_offered_again(world, prefill):
    world.model_call()
    world.network.sendings[0].answer_prefill("h7")
    world.advance(0.45)
    world.network.sendings[1].reject()
    assert [s.prefill for s in world.network.to(prefill.address)] == [True, True]


def test_untaken_cache_of_a_caller_that_left_is_freed(world, prefill):
    _, task = world.model_call()
    world.network.sendings[0].answer_prefill("h7")
    task.cancel()
    assert world.network.sendings[1].aborted
    freed = world.network.sendings[2]
    assert freed.head.method == b"DELETE"
    assert freed.head.target == b"/v1/kv-handle/h7"


def test_engine_that_rejected_gets_no_further_calls_for_a_while(world, decodes):
    world.model_call()
    world.network.sendings[0].answer_prefill()
    rejecting = world.network.sendings[1].address
    world.network.sendings[1].reject()
    for _ in range(2):
        world.model_call()
        world.network.sendings[-1].answer_prefill()
        assert world.network.sendings[-1].address != rejecting


def test_one_call_never_holds_more_slots_than_one(world, decodes):
    _, task = world.model_call()
    world.network.sendings[0].answer_prefill()
    assert sum(world.loads.work(d.id).calls for d in decodes) == 1
    task.cancel()
    assert sum(world.loads.work(d.id).calls for d in decodes) == 0


def test_stream_that_cannot_be_resumed_is_cut_not_repeated(world):
    responder, _ = world.model_call("/digests/1")
    world.network.sendings[0].answer_prefill()
    run = world.network.sendings[1]
    run.head_of_answer()
    run.event(1)
    run.reset()
    assert responder.was_cut
    assert len(world.network.sendings) == 2


def test_lost_before_its_head_a_stream_that_cannot_be_resumed_ends_unknown(world):
    responder, _ = world.model_call("/digests/1")
    world.network.sendings[0].answer_prefill()
    world.network.sendings[1].reset()
    assert responder.status == 502
    # The cache may be left at the prefill engine, so it is freed.
    freed = world.network.sendings[2]
    assert freed.head.method == b"DELETE"
    assert len(world.network.sendings) == 3


def test_resumable_stream_goes_on_after_its_last_whole_event(world):
    responder, _ = world.model_call("/reports/1")
    world.network.sendings[0].answer_prefill()
    run = world.network.sendings[1]
    run.head_of_answer()
    run.event(1)
    run.exchange.received(b"id: 2\nda")
    run.reset()
    read_again = world.network.sendings[-1]
    assert read_again.prefill
    read_again.answer_prefill("h2")
    again = world.network.sendings[-1]
    assert again.header("X-Pomeloglade-Kv-Source").endswith(b"/h2")
    assert again.address != run.address
    assert again.header("Last-Event-Id") == b"1"
    again.head_of_answer()
    again.event(2)
    again.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert responder.done
    assert not responder.was_cut


def test_burst_on_a_full_pool_waits_and_the_hopeless_are_refused_at_once(world):
    world.queue.pool = type(world.queue.pool)(1, 1_000_000, 0.5)
    for _ in range(50):
        world.queue.finished(0.5)
    for _ in range(2):
        world.model_call()
    waiting, _ = world.model_call()
    assert not waiting.begun
    refused = [world.model_call()[0] for _ in range(8)][-1]
    assert refused.status == 503
    assert float(refused.headers[b"retry-after"]) > 0.5


def test_caller_that_comes_again_goes_behind_those_that_can_be_on_time(world):
    world.queue.pool = type(world.queue.pool)(1, 1_000_000, 0.5)
    for _ in range(50):
        world.queue.finished(0.2)
    first = [world.model_call()[1] for _ in range(2)]
    again, _ = world.model_call(limit_ms=11_000)
    fresh, _ = world.model_call(limit_ms=14_000)
    waiting = len(world.network.sendings)
    first[0].cancel()
    assert len(world.network.sendings) == waiting + 1
    newest = world.network.sendings[-1]
    assert newest.header("X-Pomeloglade-Deadline-Ms") > b"13000"
    assert not again.done


def test_without_any_engine_the_call_is_refused_at_once(prefill):
    world = World(prefill)
    responder, _ = world.model_call()
    assert responder.status == 503
    assert responder.reason == "no_engine"


def test_crashed_prefill_engine_leaves_the_prompt_to_the_decode_engine(world, prefill):
    world.network.down.add(prefill.address)
    world.model_call()
    (run,) = world.network.sendings
    assert run.address != prefill.address
    assert run.header("X-Pomeloglade-Kv-Source") is None


def test_no_prompt_is_read_for_an_engine_that_cannot_be_reached(world, decodes):
    for decode in decodes:
        world.network.down.add(decode.address)
    world.model_call()
    assert world.network.sendings == []


def test_connection_that_closes_while_the_prompt_is_read_is_not_used(world, decodes):
    world.model_call()
    opened = world.network.opened[0]
    opened.closed = True
    world.network.sendings[0].answer_prefill("h7")
    run = world.network.sendings[1]
    assert run.connection is not opened
    assert run.address != opened.address
    assert run.header("X-Pomeloglade-Kv-Source").endswith(b"/h7")


def test_dark_engine_of_a_resumable_stream_is_given_up_before_the_caller_leaves(world):
    world.model_call("/reports/1")
    world.network.sendings[0].answer_prefill()
    run = world.network.sendings[1]
    run.head_of_answer()
    run.event(1)
    world.advance(1.9)
    assert not run.aborted
    world.advance(0.2)
    assert run.aborted
    assert world.network.sendings[-1].prefill


def test_dark_engine_of_another_stream_is_waited_for(world):
    world.model_call("/digests/1")
    world.network.sendings[0].answer_prefill()
    world.network.sendings[1].head_of_answer()
    world.advance(3.0)
    assert not world.network.sendings[1].aborted
    assert len(world.network.sendings) == 2


def test_failed_prefill_is_not_made_good_by_an_engine_that_already_reads(
    world, prefill, decodes
):
    for decode in decodes:
        world.loads.begin_reading(decode.id, 5000)
    for _ in range(50):
        world.queue.finished(0.2)
    for _ in range(4):
        world.model_call()
    before = len(world.network.sendings)
    world.network.sendings[-1].reset()
    assert len(world.network.sendings) == before
    for decode in decodes:
        world.loads.end_reading(decode.id, 5000)
    world.advance(0.1)
    addresses = [decode.address for decode in decodes]
    assert world.network.sendings[-1].address in addresses


def test_second_prefill_of_a_call_draws_on_the_budget(world, prefill):
    left = world.budget.left("llm")
    world.model_call()
    world.network.sendings[0].answer_prefill()
    world.advance(0.45)
    world.network.sendings[1].reject()
    assert world.network.sendings[2].prefill
    assert world.budget.left("llm") == left - 1


def test_call_that_was_accepted_goes_on_when_the_belief_grows_old(world):
    responder, _ = world.model_call("/reports/1")
    world.network.sendings[0].answer_prefill()
    world.age = 6.0
    run = world.network.sendings[1]
    run.head_of_answer()
    run.event(1)
    run.reset()
    assert world.network.sendings[-1].prefill
    assert not responder.done
