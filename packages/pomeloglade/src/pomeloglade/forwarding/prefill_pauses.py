"""How long prompts that decode engines prefill themselves pause their streams."""

from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .backends import BackendServer
from .fleet_news import FleetNews, NewsTopic
from .loads import Loads

KEPT_SECONDS = 60.0
"""Time for which a pause that was too long counts. After it, one long prompt is tried
again, as engines may have been replaced by others."""

TOPIC = NewsTopic("prefill_pauses", max_age=KEPT_SECONDS)


@dataclass(frozen=True, slots=True)
class _LongPause:
    """The shortest prompt that paused a stream for too long, and when it last did."""

    tokens: int
    observed_at: float


class PrefillPauses:
    """Learns which prompts pause the other streams of a decode engine for too long.

    Engines prefill in chunks between the tokens of their streams, so the pause grows
    with the prompt only up to that of the chunks between two events. How long that is
    depends on the engine and the model. Until a stream was paused for longer than its
    route allows, no prompt counts as too long; then those that are at least as long as
    the one that paused it do, at all instances.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> loads = Loads(clock)
    >>> pauses = PrefillPauses(clock, loads, FleetNews(clock))
    >>> engine = BackendServer("engine-1", "llm", "10.0.0.1:80", "zone-a", 8)
    >>> loads.begin_local_prefill("engine-1", 9_000)
    >>> pauses.record(engine, pause=0.25, allowed=0.3)
    >>> pauses.too_long("llm", 9_000)
    False
    >>> pauses.record(engine, pause=0.4, allowed=0.3)
    >>> pauses.too_long("llm", 8_000), pauses.too_long("llm", 10_000)
    (False, True)
    """

    def __init__(self, clock: IReactorTime, loads: Loads, news: FleetNews) -> None:
        self._clock = clock
        self._loads = loads
        self._news = news
        self._long_by_service: dict[str, _LongPause] = {}
        news.add_topic(TOPIC, self._apply)

    def record(self, server: BackendServer, pause: float, allowed: float) -> None:
        """Record a pause between two events of a stream from an engine, in seconds.

        ``allowed`` is the longest pause of the stream's route. A pause during several
        local prefills tells nothing about one of them.
        """
        if pause <= allowed:
            return
        prefills = self._loads.local_prefills(server.id)
        if prefills.calls != 1:
            return
        self._learn(server.service, prefills.tokens, 0.0)
        shortest = self._long_by_service[server.service].tokens
        self._news.put(TOPIC.name, server.service, shortest)

    def too_long(self, service: str, tokens: int) -> bool:
        """Return whether a prompt of so many tokens pauses streams for too long."""
        known = self._long_by_service.get(service)
        if known is None:
            return False
        if self._clock.seconds() - known.observed_at > KEPT_SECONDS:
            del self._long_by_service[service]
            return False
        return tokens >= known.tokens

    def _apply(self, service: str, value: object, age: float) -> None:
        if isinstance(value, int):
            self._learn(service, value, age)

    def _learn(self, service: str, tokens: int, age: float) -> None:
        observed_at = self._clock.seconds() - age
        known = self._long_by_service.get(service)
        if known is not None and observed_at - known.observed_at <= KEPT_SECONDS:
            tokens = min(tokens, known.tokens)
        self._long_by_service[service] = _LongPause(tokens, observed_at)
