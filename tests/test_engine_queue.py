"""The engine queue: placement, order of waiting calls, and refusals."""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import engine_queue, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.calls import Refused
from pomeloglade.forwarding.deployment import EnginePool
from pomeloglade.forwarding.engine_waiters import EngineRequirements
from pomeloglade.forwarding.loads import Loads, ServerCalls
from pomeloglade.forwarding.remote_queues import (
    QueueRank,
    QueueSummary,
    RemoteQueues,
)
from pomeloglade.forwarding.server_health import ServerHealth

OBJECTIVE = 0.9


class Pool:
    """A queue with two engines of two slots each."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(50.0)
        self.loads = Loads(self.clock)
        self.health = ServerHealth(self.clock)
        self.remote_queues = RemoteQueues(self.clock)
        self.backends = Backends(self.clock, lambda _: None)
        self.engines = [
            server(name, "llm", "decode", zone=zone, slots=8)
            for name, zone in (("a", "zone-a"), ("bb", "zone-b"))
        ]
        self.backends.replace_all(self.engines, lenient=False)
        self.queue = engine_queue(
            self.clock, self.backends, self.loads, self.health, self.remote_queues
        )
        self.queue.pool = EnginePool(2, 25_000)
        for _ in range(50):
            self.queue.record_duration(0.4)

    def place(
        self, tokens=5000, priority=1, age=0.0, account_usage=0.0, **requirements
    ):
        outcome = []
        placed = self.queue.place(
            requirements=EngineRequirements(tokens, **requirements),
            priority=priority,
            arrived=self.clock.seconds() - age,
            objective=OBJECTIVE,
            account_usage=account_usage,
        )
        placed.addCallbacks(
            lambda chosen: outcome.append(chosen.id),
            lambda failure: outcome.append(failure.value),
        )
        return outcome, placed

    def end(self, name, tokens=5000):
        self.loads.end(name, tokens)
        self.queue.place_waiting()


@pytest.fixture
def pool():
    return Pool()


def fill(pool):
    return [pool.place()[0][0] for _ in range(4)]


def test_calls_are_spread_and_an_engine_in_the_same_zone_is_preferred(pool):
    assert fill(pool) == ["a", "bb", "a", "bb"]


def test_engines_without_free_memory_get_no_calls(pool):
    assert pool.place(tokens=19_000)[0] == ["a"]
    assert [pool.place(tokens=8_000)[0] for _ in range(2)] == [["bb"], ["bb"]]
    assert pool.place(tokens=8_000)[0] == []


def test_calls_of_other_instances_occupy_slots(pool):
    pool.loads.apply_report(
        "other", {"a": ServerCalls(2, 100), "bb": ServerCalls(1, 100)}
    )
    assert pool.place()[0] == ["bb"]
    assert pool.place()[0] == []


def test_calls_wait_for_a_full_pool_in_order_of_priority(pool):
    fill(pool)
    usual, _ = pool.place(priority=1)
    urgent, _ = pool.place(priority=0)
    assert usual == urgent == []
    pool.end("a")
    assert (usual, urgent) == ([], ["a"])
    pool.end("bb")
    assert usual == ["bb"]


def test_calls_that_can_still_be_on_time_go_before_late_ones(pool):
    fill(pool)
    late, _ = pool.place(age=1.5)
    fresh, _ = pool.place()
    pool.end("a")
    assert (late, fresh) == ([], ["a"])


def test_call_with_a_long_expected_wait_is_refused_with_a_retry_delay(pool):
    fill(pool)
    waiting = [pool.place()[0] for _ in range(12)]
    refused = [each[0] for each in waiting if each]
    assert refused
    assert all(isinstance(each, Refused) for each in refused)
    assert all(each.status == 503 and each.retry_after > 0 for each in refused)
    assert len(refused) < len(waiting)


def test_calls_waiting_at_other_instances_count_in_the_expected_wait(pool):
    fill(pool)
    first = QueueRank(False, 1, 0, pool.clock.seconds())
    pool.remote_queues.apply_report("other", {"llm": QueueSummary(20, first)})
    assert isinstance(pool.place()[0][0], Refused)


def test_call_that_waits_too_long_is_refused(pool):
    fill(pool)
    waiting, _ = pool.place()
    pool.clock.pump([0.1] * 8)
    assert isinstance(waiting[0], Refused)


def test_cancelled_call_leaves_the_queue(pool):
    fill(pool)
    _, placed = pool.place()
    behind, _ = pool.place()
    placed.cancel()
    pool.end("a")
    assert behind == ["a"]


def test_engine_is_used_once_it_is_no_longer_avoided(pool):
    for engine in pool.engines:
        pool.health.avoid(engine.id, 0.4)
    waiting, _ = pool.place()
    assert waiting == []
    pool.clock.pump([0.05] * 12)
    assert waiting == ["a"]


def test_call_is_refused_at_once_if_all_engines_are_avoided_for_long(pool):
    for engine in pool.engines:
        pool.health.avoid(engine.id, 4.0)
    (refused,) = pool.place()[0]
    assert refused.status == 503
    assert refused.retry_after >= 4.0


def test_large_call_is_placed_when_memory_is_freed(pool):
    pool.place(tokens=15_000)
    pool.place(tokens=15_000)
    large, _ = pool.place(tokens=15_000)
    assert large == []
    pool.end("a", 15_000)
    assert large == ["a"]


def test_without_prefill_engines_each_engine_prefills_one_prompt_at_a_time(pool):
    pool.queue.prefill_available = lambda: False
    pool.queue.local_prefill_rate = lambda: 25_000.0
    pool.queue.pool = EnginePool(8, 100_000)
    requirements = {"prompt_tokens": 5000, "longest_pause": 0.3}
    first = [pool.place(**requirements)[0] for _ in range(2)]
    for (name,) in first:
        pool.loads.begin_local_prefill(name, 5000)
    waiting, _ = pool.place(**requirements)
    assert waiting == []
    pool.loads.end_local_prefill("bb", 5000)
    pool.queue.place_waiting()
    assert waiting == ["bb"]


def test_prompt_that_pauses_streams_too_long_is_not_prefilled_beside_many(pool):
    pool.queue.pool = EnginePool(8, 100_000)
    for _ in range(8):
        pool.place(tokens=1000)
    pool.queue.prefill_available = lambda: False
    pool.queue.local_prefill_rate = lambda: 25_000.0
    pool.queue.prefill_too_long = lambda tokens: tokens >= 4000
    short, _ = pool.place(tokens=1000, prompt_tokens=5000, longest_pause=0.3)
    long, _ = pool.place(tokens=1000, prompt_tokens=9000, longest_pause=0.3)
    assert short
    assert long == []


# Guards against refusing the longest prompts while no prefill engine is left.
def test_long_prompt_that_does_not_pause_streams_is_prefilled_beside_them(pool):
    pool.queue.pool = EnginePool(8, 100_000)
    for _ in range(8):
        pool.place(tokens=1000)
    pool.queue.prefill_available = lambda: False
    pool.queue.local_prefill_rate = lambda: 25_000.0
    long, _ = pool.place(tokens=1000, prompt_tokens=9000, longest_pause=0.3)
    assert long


def test_calls_of_an_account_near_its_limit_go_after_those_of_others(pool):
    fill(pool)
    hot = [pool.place(account_usage=0.9)[0] for _ in range(12)]
    assert any(each and isinstance(each[0], Refused) for each in hot)
    usual, _ = pool.place(account_usage=0.3)
    assert usual == []
    pool.end("a")
    assert usual == ["a"]
    assert not any(each == ["a"] for each in hot)


def test_two_instances_do_not_allocate_the_same_free_slot(pool):
    fill(pool)
    waiting, _ = pool.place(age=0.1)
    earlier = QueueRank(False, 1, 0, pool.clock.seconds() - 0.2)
    pool.remote_queues.apply_report("other", {"llm": QueueSummary(1, earlier)})
    pool.end("a")
    assert waiting == []
    # The other instance takes the slot and reports it before this one's turn.
    pool.loads.apply_report("other", {"a": ServerCalls(1, 5000)})
    pool.remote_queues.apply_report("other", {})
    pool.clock.advance(0.02)
    assert waiting == []
    pool.end("bb")
    assert waiting == ["bb"]


def test_new_call_does_not_overtake_an_older_one_of_another_instance(pool):
    earlier = QueueRank(False, 1, 0, pool.clock.seconds() - 0.2)
    pool.remote_queues.apply_report("other", {"llm": QueueSummary(1, earlier)})
    new, _ = pool.place()
    assert new == []
    pool.clock.advance(0.02)
    assert new == ["a"]


def test_instance_that_leaves_free_slots_unused_delays_others_only_briefly(pool):
    earlier = QueueRank(False, 1, 0, pool.clock.seconds() - 0.2)
    pool.remote_queues.apply_report("silent", {"llm": QueueSummary(3, earlier)})
    calls = [pool.place()[0] for _ in range(3)]
    for _ in range(6):
        pool.clock.advance(0.01)
    assert all(calls)


def register_versions(pool):
    """Give the engines ``a`` and ``bb`` the software versions v1 and v2."""
    pool.backends.replace_all(
        [
            replace(engine, software_version=version)
            for engine, version in zip(pool.engines, ("v1", "v2"), strict=True)
        ],
        lenient=False,
    )


def test_call_that_needs_a_software_version_waits_for_its_engines_only(pool):
    register_versions(pool)
    assert pool.place(software_version="v2")[0] == ["bb"]
    assert pool.place(software_version="v2")[0] == ["bb"]
    waiting, _ = pool.place(software_version="v2")
    assert waiting == []
    pool.end("bb")
    assert waiting == ["bb"]


def test_call_that_waits_for_a_software_version_does_not_hold_up_the_others(pool):
    register_versions(pool)
    fill(pool)
    bound, _ = pool.place(software_version="v2")
    other, _ = pool.place()
    pool.end("a")
    assert (bound, other) == ([], ["a"])


def test_call_whose_software_version_has_no_engine_left_is_refused_at_once(pool):
    register_versions(pool)
    (refused,), _ = pool.place(software_version="v3")
    assert (refused.status, refused.reason) == (503, "no_engine_of_version")
    assert refused.retry_after
    (refused,), _ = pool.place(software_version="v2", excluded=frozenset({"bb"}))
    assert refused.reason == "no_engine_of_version"
    fill(pool)
    waiting, _ = pool.place(software_version="v2")
    pool.backends.remove("bb", lenient=False)
    pool.queue.place_waiting()
    assert waiting[0].reason == "no_engine_of_version"
