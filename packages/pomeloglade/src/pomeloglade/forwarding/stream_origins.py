"""The software versions that began resumable streams, shared by all instances."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .report_scope import ReportScope

ORIGIN_SECONDS = 60.0
"""Time for which an origin is kept. It is longer than callers wait for a stream, with
all of their attempts."""

CATCH_UP_SECONDS = 0.75
"""Time for which all origins of a service are reported, once it has a second software
version. Before, there is nothing to tell apart."""

MAX_ORIGINS = 20_000
MAX_REPORTED_ORIGINS = 1_000
"""Most origins in one report, some 20 KB of it."""

ReportedOrigins = dict[str, dict[str, list[str]]]
"""Ids of calls by service and by software version."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version of the engine that began a stream."""

    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class _Known:
    origin: StreamOrigin
    scope: ReportScope
    learned_at: float


class StreamOrigins:
    """Origins of streams by the call that brought their first event.

    What engines of two software versions write does not fit together, so a stream goes
    on only at the version that began it, also when its caller takes it up at another
    instance. Origins are reported for services of several versions only.

    Parameters
    ----------
    versions_of : callable
        Returns the software versions that a service had in the last
        ``ORIGIN_SECONDS``.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> origins = StreamOrigins(Clock(), lambda service: {"v1", "v2"})
    >>> origins.record("call-1", StreamOrigin("llm", "v2"))
    >>> origins.recent(1.0, ReportScope.OWN)
    {'llm': {'v2': ['call-1']}}
    >>> other = StreamOrigins(Clock(), lambda service: {"v1", "v2"})
    >>> other.apply_reported(origins.everything(), ReportScope.GROUP)
    >>> other.find("call-1")
    StreamOrigin(service='llm', software_version='v2')
    """

    def __init__(
        self, clock: IReactorTime, versions_of: Callable[[str], set[str]]
    ) -> None:
        self._clock = clock
        self._versions_of = versions_of
        self._services: set[str] = set()
        self._mixed_since: dict[str, float] = {}
        self._known_by_call_id: dict[str, _Known] = {}
        self._learned_at_by_origin: dict[StreamOrigin, float] = {}

    def record(self, call_id: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream that a call of this instance began."""
        self._learn(call_id, origin, ReportScope.OWN)

    def apply_reported(self, reported: ReportedOrigins, scope: ReportScope) -> None:
        """Learn origins that another instance reported."""
        for service, ids_by_version in reported.items():
            for version, call_ids in ids_by_version.items():
                origin = StreamOrigin(service, version)
                for call_id in call_ids:
                    self._learn(call_id, origin, scope)

    def find(self, call_id: str) -> StreamOrigin | None:
        """Return the origin of the stream that a call began, if it is known."""
        self._drop_old()
        known = self._known_by_call_id.get(call_id)
        return known.origin if known is not None else None

    def versions(self, service: str) -> set[str]:
        """Return the software versions that began a service's known streams.

        Another instance may have reported one that is not read from the store yet.
        """
        oldest = self._clock.seconds() - ORIGIN_SECONDS
        return {
            origin.software_version
            for origin, learned_at in self._learned_at_by_origin.items()
            if origin.service == service and learned_at >= oldest
        }

    def recent(self, seconds: float, widest: ReportScope) -> ReportedOrigins:
        """Return the origins of a scope that were learned in the last ``seconds``.

        Of services that have just got a second software version, all are returned.
        """
        self._update_mixed()
        oldest_mix = self._clock.seconds() - CATCH_UP_SECONDS
        if any(since >= oldest_mix for since in self._mixed_since.values()):
            seconds = ORIGIN_SECONDS
        return self._reported(seconds, widest)

    def everything(self) -> ReportedOrigins:
        """Return all origins, for an instance that may have missed some."""
        self._update_mixed()
        return self._reported(ORIGIN_SECONDS, ReportScope.FLEET)

    def _learn(self, call_id: str, origin: StreamOrigin, scope: ReportScope) -> None:
        if call_id in self._known_by_call_id:
            return
        self._drop_old()
        if len(self._known_by_call_id) >= MAX_ORIGINS:
            del self._known_by_call_id[next(iter(self._known_by_call_id))]
        self._services.add(origin.service)
        now = self._clock.seconds()
        self._known_by_call_id[call_id] = _Known(origin, scope, now)
        self._learned_at_by_origin[origin] = now

    def _drop_old(self) -> None:
        oldest = self._clock.seconds() - ORIGIN_SECONDS
        while self._known_by_call_id:
            call_id, known = next(iter(self._known_by_call_id.items()))
            if known.learned_at >= oldest:
                return
            del self._known_by_call_id[call_id]
        self._services.clear()
        self._learned_at_by_origin.clear()

    def _update_mixed(self) -> None:
        """Note since when each service has several software versions."""
        mixed = [each for each in self._services if len(self._versions_of(each)) > 1]
        now = self._clock.seconds()
        self._mixed_since = {
            service: self._mixed_since.get(service, now) for service in mixed
        }

    def _newest(self, seconds: float) -> Iterator[tuple[str, _Known]]:
        oldest = self._clock.seconds() - seconds
        for call_id, known in reversed(self._known_by_call_id.items()):
            if known.learned_at < oldest:
                return
            yield call_id, known

    def _reported(self, seconds: float, widest: ReportScope) -> ReportedOrigins:
        reported: ReportedOrigins = {}
        count = 0
        for call_id, known in self._newest(seconds):
            if known.scope > widest or known.origin.service not in self._mixed_since:
                continue
            origin = known.origin
            ids_by_version = reported.setdefault(origin.service, {})
            ids_by_version.setdefault(origin.software_version, []).append(call_id)
            count += 1
            if count == MAX_REPORTED_ORIGINS:
                break
        return reported
