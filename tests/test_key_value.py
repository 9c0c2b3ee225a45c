"""Tests of the in-memory key-value store."""

from datetime import timedelta

import pytest

from pomeloglade_coordination.errors import LeaseNotFoundError, RevisionConflictError
from pomeloglade_coordination.key_value import ABSENT, MemoryKeyValueStore


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


def result(deferred):
    seen = []
    deferred.addBoth(seen.append)
    return seen[0] if seen else None


def test_put_refuses_a_stale_revision(store):
    revision = result(store.put("a", b"1", expected=ABSENT))
    result(store.put("a", b"2", expected=revision))
    failure = result(store.put("a", b"3", expected=revision))
    assert failure.check(RevisionConflictError)
    assert result(store.get("a")).value == b"2"


def test_expired_lease_deletes_its_keys_and_notifies_watches(store, clock):
    lease = result(store.grant_lease(timedelta(seconds=5)))
    revision = result(store.put("members/i1", b"x", lease=lease))
    seen = []
    watch = store.watch("members/", revision, timedelta(seconds=60))
    watch.addCallback(seen.extend)
    clock.advance(5)
    assert [(entry.key, entry.value) for entry in seen] == [("members/i1", b"")]
    assert result(store.renew_lease(lease)).check(LeaseNotFoundError)


def test_watch_ends_empty_after_its_timeout(store, clock):
    seen = []
    store.watch("a", 0, timedelta(seconds=1)).addCallback(seen.append)
    clock.advance(1)
    assert seen == [()]
