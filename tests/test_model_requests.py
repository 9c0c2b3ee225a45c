"""Tests of model calls from admission to the answer, with fake engines."""

from datetime import timedelta

import pytest
from tests.fakes import (
    KEY,
    FakeEngines,
    Sink,
    deployment,
    publish,
    start_instance,
    usage,
    with_leaving_servers,
)
from twisted.internet.defer import Deferred

from pomeloglade.errors import (
    BackendLostError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from pomeloglade.state.call import ModelCall, Usage
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.refusals import Reason, Step


@pytest.fixture
def engines():
    return FakeEngines()


@pytest.fixture
def store(clock):
    store = MemoryKeyValueStore(clock)
    publish(store, deployment())
    return store


@pytest.fixture
def instance(clock, store, engines):
    instance = start_instance(clock, store, engines)
    clock.pump([0.5] * 40)
    return instance


def start_call(instance, prompt="a short prompt", **changes):
    route = instance.in_force.deployment.routes_by_name["models"]
    caller = instance.in_force.keys.authenticate(route, KEY)
    call = ModelCall(caller, route, "m", prompt, changes.get("output_tokens", 8))
    request = instance.tasks.open(caller)
    sink = Sink()
    done = Deferred.fromCoroutine(instance.tasks.answer_model(request, call, sink))
    done.addErrback(sink.endings.append)
    return request, sink


def steps(engines, request):
    return [step for step, _, name in engines.calls if name == request.request_id]


def test_memory_is_reserved_before_the_prefill_and_the_answer_is_complete(
    instance, engines, clock
):
    request, sink = start_call(instance)
    clock.pump([0.01] * 5)
    assert steps(engines, request) == ["reserve", "prefill", "transfer", "decode"]
    engines.send_tokens(request.request_id, 2)
    engines.finish(request.request_id, usage())
    assert sink.texts == ["t0 ", "t1 "]
    assert sink.endings == [Usage(5, 2)]
    assert engines.held_request_ids == set()
    assert len(instance.open_requests) == 0


def test_no_prefill_is_sent_when_every_decode_engine_is_full(instance, engines, clock):
    engines.full_servers = {"d1", "d2"}
    request, sink = start_call(instance)
    clock.pump([0.01] * 300)
    assert "prefill" not in steps(engines, request)
    assert sink.endings[0].not_run
    assert sink.endings[0].retry_after is not None


def test_cancelled_call_frees_engine_memory_and_is_refused_once(
    instance, engines, clock
):
    request, sink = start_call(instance)
    clock.pump([0.01] * 5)
    engines.send_tokens(request.request_id, 1)
    request.stop(Reason.CANCELLED, Step.RECEIVE)
    assert engines.held_request_ids == set()
    engines.streams.clear()
    assert [ending.reason for ending in sink.endings] == [Reason.CANCELLED]
    assert not sink.endings[0].not_run
    assert len(instance.open_requests) == 0


def test_call_cancelled_while_queued_occupies_no_slot(clock):
    store = MemoryKeyValueStore(clock)
    publish(store, deployment(slots=1))
    engines = FakeEngines()
    instance = start_instance(clock, store, engines)
    clock.pump([0.5] * 40)
    first, second, queued = (start_call(instance, f"prompt {n}")[0] for n in range(3))
    clock.pump([0.01] * 20)
    queued.stop(Reason.CANCELLED, Step.RECEIVE)
    for request in (first, second):
        engines.finish(request.request_id, usage())
    clock.pump([0.01] * 20)
    in_flight = [
        instance.components.placement.in_flight(name) for name in ("p1", "d1", "d2")
    ]
    assert in_flight == [0, 0, 0]


def test_grant_that_arrives_after_a_cancel_is_refunded_in_full(instance, clock):
    shares = instance.components.shares
    late, refunds = Deferred(), []
    grant = []
    shares.acquire("club", 50, timedelta(seconds=1)).addCallback(grant.append)
    shares.acquire = lambda account, tokens, timeout: late
    shares.refund = lambda grant, unused: refunds.append(unused)
    request, sink = start_call(instance, output_tokens=46)
    request.stop(Reason.CANCELLED, Step.RECEIVE)
    late.callback(grant[0])
    assert refunds == [50]
    assert sink.endings[0].not_run


def test_withdrawn_key_ends_its_open_stream(instance, engines, store, clock):
    request, sink = start_call(instance)
    clock.pump([0.01] * 5)
    engines.send_tokens(request.request_id, 1)
    without_key = deployment()
    without_key.accounts_by_name["club"].key_digests.clear()
    publish(store, without_key, "q")
    clock.pump([0.1] * 30)
    assert [ending.reason for ending in sink.endings] == [Reason.KEY_WITHDRAWN]
    assert engines.held_request_ids == set()


def test_prefill_that_never_answers_ends_at_the_timeout(instance, engines, clock):
    engines.hold_prefill = True
    _, sink = start_call(instance)
    clock.pump([1.0] * 70)
    assert [ending.reason for ending in sink.endings] == [Reason.DEADLINE]
    assert not sink.endings[0].not_run
    assert engines.held_request_ids == set()


def test_refusal_after_a_prefill_never_says_not_run(instance, engines, clock):
    lost = BackendLostError("lost", step="transfer", peer="d1")
    engines.errors_by_step = {("transfer", "d1"): lost, ("transfer", "d2"): lost}
    instance.components.retries.try_withdraw = lambda: False
    _, sink = start_call(instance)
    clock.pump([0.01] * 5)
    assert [ending.reason for ending in sink.endings] == [Reason.BACKEND_FAILED]
    assert not sink.endings[0].not_run
    assert engines.held_request_ids == set()


def test_unreachable_engine_is_replaced_by_another(instance, engines, clock):
    for name in ("d1", "d2"):
        engines.errors_by_step[("reserve", name)] = BackendUnreachableError(
            "down", step="reserve", peer=name
        )
    del engines.errors_by_step[("reserve", "d2")]
    instance.components.retries.try_withdraw = lambda: True
    request, _ = start_call(instance)
    clock.pump([0.01] * 20)
    assert request.attempt_id in engines.streams


def test_late_cancel_of_one_attempt_never_ends_the_next(instance, engines, clock):
    instance.components.retries.try_withdraw = lambda: True
    lost = BackendLostError("lost", step="transfer", peer="d1")
    engines.errors_by_step = {("transfer", "d1"): lost, ("transfer", "d2"): lost}
    request, sink = start_call(instance)
    clock.pump([0.01] * 20)
    cancelled = {name for step, _, name in engines.calls if step == "cancel"}
    assert cancelled
    assert request.attempt_id in engines.streams
    assert request.attempt_id not in cancelled
    assert request.attempt_id in instance.open_requests
    engines.finish(request.attempt_id, usage())
    assert sink.endings == [Usage(5, 2)]
    assert request.attempt_id not in instance.open_requests


def test_invalid_response_is_reported_and_not_retried(instance, engines, clock):
    invalid = InvalidBackendResponseError("not a response", step="prefill", peer="p1")
    engines.errors_by_step[("prefill", "p1")] = invalid
    request, sink = start_call(instance)
    clock.pump([0.01] * 5)
    assert [ending.reason for ending in sink.endings] == [
        Reason.INVALID_BACKEND_RESPONSE
    ]
    assert sink.endings[0].peer == "p1"
    assert steps(engines, request).count("prefill") == 1


def test_request_that_crashes_engines_reaches_at_most_two(instance, engines, clock):
    instance.components.retries.try_withdraw = lambda: True
    crashed = set()

    def crash(server, request_id, call):
        crashed.add(server.name)
        engines.errors_by_step[("load", server.name)] = BackendUnreachableError(
            "gone", step="load", peer=server.name
        )
        return original(server, request_id, call)

    original = engines.prefill
    engines.errors_by_step[("prefill", "p1")] = BackendLostError(
        "lost", step="prefill", peer="p1"
    )
    engines.prefill = crash
    for _ in range(4):
        start_call(instance, "the same crashing prompt")
        clock.pump([0.05] * 40)
    assert crashed == {"p1"}


def test_over_burst_is_refused_at_once_and_over_rate_with_retry_after(
    instance, engines, clock
):
    _, sink = start_call(instance, output_tokens=20_000)
    clock.advance(0)
    assert [ending.reason for ending in sink.endings] == [Reason.OVER_BURST]
    sinks = [start_call(instance, output_tokens=4000)[1] for _ in range(4)]
    clock.pump([0.1] * 20)
    refused = [sink.endings[0] for sink in sinks if sink.endings]
    assert refused
    assert {each.reason for each in refused} == {Reason.OVER_RATE}
    assert all(each.not_run for each in refused)
    assert all(each.retry_after > timedelta(0) for each in refused)


def test_leaving_engines_get_no_requests_three_seconds_later(
    instance, engines, store, clock
):
    old, _ = start_call(instance)
    clock.pump([0.01] * 5)
    publish(store, with_leaving_servers(deployment(), "d1"), "q")
    clock.pump([0.1] * 30)
    engines.calls.clear()
    requests = [start_call(instance, f"prompt {n}")[0] for n in range(3)]
    clock.pump([0.01] * 20)
    used = {name for step, name, _ in engines.calls if step == "reserve"}
    assert used == {"d2"}
    assert {r.attempt_id for r in (old, *requests)} <= engines.streams.keys()
    publish(store, with_leaving_servers(deployment(), "d1", "p1"), "r")
    clock.pump([0.1] * 30)
    refused, sink = start_call(instance)
    clock.pump([0.1] * 20)
    assert refused.attempt_id not in engines.streams
    assert sink.endings[0].reason is Reason.NO_BACKEND_SERVER
    assert sink.endings[0].not_run
