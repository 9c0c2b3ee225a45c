"""Tests of the deadline-aware queue."""

from pomeloglade_coordination.queueing import DeadlineQueue


def _push(queue, request_id, latest_start, **changes):
    return queue.push(request_id, "club", cost=10, latest_start=latest_start, **changes)


def test_requests_expire_once_and_not_after_they_were_served():
    queue = DeadlineQueue()
    for request_id, latest in (("r1", 1.0), ("r2", 2.0), ("r3", 3.0)):
        _push(queue, request_id, latest)
    queue.take("r1")
    assert queue.next_expiry() == 2.0
    assert queue.expire(2.5) == ["r2"]
    assert queue.expire(2.5) == []
    assert list(queue.in_order()) == ["r3"]


def test_request_pushed_again_expires_at_its_new_time():
    queue = DeadlineQueue()
    _push(queue, "r1", 1.0)
    queue.remove("r1")
    _push(queue, "r1", 5.0)
    assert queue.expire(2.0) == []
    assert queue.next_expiry() == 5.0


def test_full_queue_rejects_requests():
    queue = DeadlineQueue(max_queued=1)
    assert _push(queue, "r1", 1.0)
    assert not _push(queue, "r2", 1.0)
    assert len(queue) == 1


def test_most_urgent_request_of_an_account_goes_first():
    queue = DeadlineQueue()
    _push(queue, "later", 5.0)
    _push(queue, "sooner", 2.0)
    assert list(queue.in_order()) == ["sooner", "later"]
