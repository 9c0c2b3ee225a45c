"""Tells instances that have just started what accounts have used before."""

import msgspec

from .event_log import EventLog
from .fleet_news import FleetNews, NewsTopic
from .usage import SharedUsage, UsageHistory

TOPIC = NewsTopic(
    "usage", max_age=1.0, max_rows=1_000, max_reported=0, for_returned=False
)
"""Rows of one account each. They are made for whoever has started, and not passed on:
each instance tells what it knows itself."""


def share_usage_history(usage: SharedUsage, news: FleetNews, log: EventLog) -> None:
    """Exchange the use of accounts in the window when an instance has started.

    Reports have what an instance has admitted since its own start. What instances have
    admitted that ended since then is known to the others alone.
    """

    def apply(name: str, value: object, age: float) -> None:
        try:
            first_hand, history = msgspec.convert(value, tuple[bool, UsageHistory])
        except msgspec.ValidationError as error:
            log.event("bad_usage_history", account=name, reason=str(error))
            return
        aged = [(at + age, units) for at, units in history]
        usage.apply_history(name, aged, first_hand=first_hand)

    def histories() -> dict[str, tuple[bool, UsageHistory]]:
        return {
            name: (usage.knows_window, history)
            for name, history in usage.histories().items()
        }

    usage.awaits_history = True
    news.add_topic(TOPIC, apply)
    news.add_rows_for_started(TOPIC.name, histories)
