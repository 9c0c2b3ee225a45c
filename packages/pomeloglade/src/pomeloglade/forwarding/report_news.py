"""What happened since an instance's last report, to be added up by the others."""

from dataclasses import dataclass, field

from .tally import NO_CALLS, Tally, add_tallies


@dataclass(frozen=True, slots=True)
class News:
    """Tallies since the last report.

    ``failures`` and ``sends``, the requests to limited servers, are by server,
    ``resends`` by service.
    """

    failures: dict[str, Tally] = field(default_factory=dict)
    resends: dict[str, Tally] = field(default_factory=dict)
    sends: dict[str, Tally] = field(default_factory=dict)

    def add(self, other: "News") -> None:
        """Add later tallies."""
        add_tallies(self.failures, other.failures)
        add_tallies(self.resends, other.resends)
        add_tallies(self.sends, other.sends)


def without(sums: dict[str, Tally], part: dict[str, Tally]) -> dict[str, Tally]:
    """Return sums less a part of them, without those that are left with no calls."""
    rest = {}
    for key, tally in sums.items():
        events, calls = part.get(key, NO_CALLS)
        left = Tally(tally.events - events, tally.calls - calls)
        if left != NO_CALLS:
            rest[key] = left
    return rest
