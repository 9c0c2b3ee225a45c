"""Times at which refused callers come back: spread, shared, and bounded."""

from collections import Counter
from random import Random

from twisted.internet.task import Clock

from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.return_times import (
    INTERVAL_SECONDS,
    MAX_INTERVALS,
    TOPIC,
    ReturnTimes,
)
from pomeloglade.forwarding.time_limits import TimeLimits


def make_returns(clock, name="entry-0"):
    news = FleetNews(clock)
    return ReturnTimes(clock, Random(1), news, name), news


def intervals_of(clock, seconds):
    return Counter(int((clock.seconds() + each) / INTERVAL_SECONDS) for each in seconds)


# Guards against all callers that a burst refused coming back in one moment.
def test_callers_are_told_to_come_back_no_faster_than_the_service_finishes():
    clock = Clock()
    clock.advance(100.0)
    returns, _ = make_returns(clock)
    seconds = [returns.promise("api", 0.2, 100.0) for _ in range(40)]
    assert min(seconds) >= 0.2
    assert max(intervals_of(clock, seconds).values()) == 5
    assert returns.count() == 40
    assert returns.longest("api") == max(seconds)
    clock.advance(20.0)
    assert (returns.count(), returns.longest("api")) == (0, 0.0)


# Guards against instances that each send their callers into the same interval.
def test_callers_of_other_instances_take_room_as_far_as_they_are_known():
    clock = Clock()
    clock.advance(100.0)
    other, news = make_returns(clock, "entry-1")
    other.promise("api", 0.2, 100.0)
    returns, own_news = make_returns(clock)
    own_news.apply(news.take_due(ReportScope.FLEET), ReportScope.FLEET)
    assert returns.longest("api") > 0
    seconds = [returns.promise("api", 0.0, 100.0) for _ in range(20)]
    counts = intervals_of(clock, seconds)
    assert (counts[1001], counts[1002], counts[1003]) == (5, 4, 5)


# Guards against failing on rows of another shape, and against unlimited delays.
def test_rows_of_another_shape_and_full_intervals_do_no_harm():
    clock = Clock()
    returns, news = make_returns(clock)
    rows = [
        ("a", 7, 0.0),
        ("b", ["api", 0, [-1]], 0.0),
        ("c", ["api", -9, [9]], 0.0),
        ("d", ["api", 3, [9] * 999], 0.0),
    ]
    news.apply({TOPIC.name: rows}, ReportScope.FLEET)
    seconds = [returns.promise("api", 9.0, 1.0) for _ in range(100)]
    assert max(seconds) < max(9.1, (MAX_INTERVALS + 1) * INTERVAL_SECONDS)


# Guards against taking callers with a longer time limit for the only first attempts.
def test_routes_whose_time_limits_differ_show_no_returning_callers():
    limits = TimeLimits()
    random = Random(1)
    waited = [limits.waited("api", random.uniform(3.5, 4.1)) for _ in range(200)]
    assert sum(each > 0 for each in waited[20:]) < 40
    same = TimeLimits()
    assert all(same.waited("api", 4.1) == 0 for _ in range(50))
    assert same.waited("api", 4.05) > 0
