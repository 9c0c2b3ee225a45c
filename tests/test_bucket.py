"""Tests of the token buckets."""

from pomeloglade_coordination.bucket import Bucket, Limit


def test_parts_sum_exactly_to_the_whole():
    whole = Limit(1001, 50_003)
    parts = [whole.part(index, 7) for index in range(7)]
    assert sum(part.rate for part in parts) == 1001
    assert sum(part.burst for part in parts) == 50_003


def test_new_bucket_is_empty_and_refills_within_the_clock_margin():
    bucket = Bucket(Limit(101, 1000), start=10.0)
    assert bucket.available(10.0) == 0
    assert bucket.available(11.0) == 100
    assert bucket.available(1000.0) == 1000


def test_reserved_tokens_count_against_the_burst():
    bucket = Bucket(Limit(101, 100), start=0.0)
    bucket.reserve(bucket.available(10.0))
    assert bucket.available(20.0) == 0
    bucket.release(20.0, spent=60, unspent=40)
    assert bucket.available(20.0) == 40
    assert bucket.available(30.0) == 100


def test_lower_burst_drops_tokens_at_once():
    bucket = Bucket(Limit(101, 100), start=0.0)
    bucket.refill(10.0)
    bucket.set_limit(Limit(10, 30), 10.0)
    assert bucket.available(10.0) == 30
