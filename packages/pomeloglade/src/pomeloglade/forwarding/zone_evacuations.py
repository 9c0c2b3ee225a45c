"""The availability zones whose backend servers the operator has taken out of use."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime

RETURN_SECONDS = 2.0
"""Time in which the share of a zone that is in use again rises to the usual one. All
instances see its servers empty at once and would send them every call of a burst."""

RETURN_COST = 4.0
"""Placement cost of a server at the start of that time, relative to the usual one. It
then gets calls only where the others have about four times as many."""


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """A zone that was taken out of use or is in use again.

    ``revision`` is that of the change in the store, or that of the zone's last known
    entry if a full read or the end of a time was the reason. ``seconds`` is the time
    for which the zone was out of use, and 0 for one that was just taken out.
    """

    zone: str
    out_of_use: bool
    revision: int
    seconds: float = 0.0


@dataclass(slots=True)
class _Evacuation:
    revision: int
    since: float
    end: IDelayedCall | None = None


class ZoneEvacuations:
    """Follows which zones are out of use, and for how long others are returning.

    The state lives in the store alone: one entry for each zone that is out of use. A
    store that has returned from an older copy may lack entries, which the operator
    then writes again. Until then, a zone that was known to be out of use stays so for
    ``kept_seconds``, unless the removal of its entry is seen.

    Parameters
    ----------
    kept_seconds : float
        Age that a copy has at most from which the store returns.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> evacuations = ZoneEvacuations(clock, kept_seconds=30.0)
    >>> evacuations.put("zone-a", revision=7)
    >>> evacuations.out_of_use("zone-a"), evacuations.out_of_use("zone-b")
    (True, False)
    >>> evacuations.remove("zone-a", revision=8)
    >>> evacuations.return_cost("zone-a")
    4.0
    >>> clock.advance(2.0)
    >>> evacuations.return_cost("zone-a")
    1.0
    """

    def __init__(self, clock: IReactorTime, *, kept_seconds: float) -> None:
        self._clock = clock
        self._kept_seconds = kept_seconds
        self._evacuations_by_zone: dict[str, _Evacuation] = {}
        self._returned_at_by_zone: dict[str, float] = {}
        self._listeners: list[Callable[[ZoneChange], None]] = []

    def __len__(self) -> int:
        return len(self._evacuations_by_zone)

    def subscribe(self, listener: Callable[[ZoneChange], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def out_of_use(self, zone: str) -> bool:
        """Return whether the servers of a zone must get no requests."""
        return zone in self._evacuations_by_zone

    def return_cost(self, zone: str) -> float:
        """Return the placement cost of a zone's servers relative to the usual one.

        It falls evenly from ``RETURN_COST`` to 1 within ``RETURN_SECONDS`` after the
        return of the zone.
        """
        if not self._returned_at_by_zone:
            return 1.0
        returned_at = self._returned_at_by_zone.get(zone)
        if returned_at is None:
            return 1.0
        left = 1.0 - (self._clock.seconds() - returned_at) / RETURN_SECONDS
        if left <= 0:
            del self._returned_at_by_zone[zone]
            return 1.0
        return 1.0 + (RETURN_COST - 1.0) * left

    def replace_all(
        self, revision_by_zone: Mapping[str, int], *, restored: bool
    ) -> None:
        """Replace the state by that of a full read of the store.

        Zones missing in a ``restored`` store, which may be older than what is known,
        stay out of use for a while, also if the store is then read again.
        """
        for zone, revision in revision_by_zone.items():
            self.put(zone, revision)
        for zone, evacuation in list(self._evacuations_by_zone.items()):
            if zone in revision_by_zone:
                continue
            if restored:
                self._cancel_end(evacuation)
                evacuation.end = self._clock.callLater(
                    self._kept_seconds, self.remove, zone, evacuation.revision
                )
            elif evacuation.end is None:
                self.remove(zone, evacuation.revision)

    def put(self, zone: str, revision: int) -> None:
        """Take a zone out of use, or confirm that it is."""
        known = self._evacuations_by_zone.get(zone)
        if known is not None:
            known.revision = revision
            self._cancel_end(known)
            return
        self._returned_at_by_zone.pop(zone, None)
        now = self._clock.seconds()
        self._evacuations_by_zone[zone] = _Evacuation(revision, now)
        self._notify(ZoneChange(zone, True, revision))

    def remove(self, zone: str, revision: int) -> None:
        """Return a zone to use, if it is out of use."""
        known = self._evacuations_by_zone.pop(zone, None)
        if known is None:
            return
        self._cancel_end(known)
        now = self._clock.seconds()
        self._returned_at_by_zone[zone] = now
        self._notify(ZoneChange(zone, False, revision, now - known.since))

    def _cancel_end(self, evacuation: _Evacuation) -> None:
        end, evacuation.end = evacuation.end, None
        if end is not None and end.active():
            end.cancel()

    def _notify(self, change: ZoneChange) -> None:
        for listener in self._listeners:
            listener(change)
