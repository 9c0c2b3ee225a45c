"""What an instance knows of the owners' buckets."""

from collections import defaultdict
from dataclasses import dataclass

from .bucket import Limit
from .members import MembershipView
from .share_owners import OwnedPart, Owners

FRESH_SECONDS = 1.0
"""How long what an owner said of its bucket is believed."""

SILENCE_SECONDS = 1.0
"""How long an owner that has not answered is not asked again."""


@dataclass(slots=True)
class _Level:
    available: int
    reserved: int
    at: float


class OwnerLevels:
    """Estimates of the other owners' buckets, from their last answers.

    An owner not heard of for ``FRESH_SECONDS`` is taken to have its full burst,
    so that it is asked. Nothing here affects safety, only whom to ask.
    """

    def __init__(self, owners: Owners, members: MembershipView) -> None:
        self._owners = owners
        self._members = members
        self._own = members.own.instance
        self._levels_by_account: dict[str, dict[str, _Level]] = defaultdict(dict)
        self._silent_until_by_owner: dict[str, float] = {}

    def heard(
        self, account: str, owner: str, available: int, reserved: int, now: float
    ) -> None:
        """Note what an owner has left, and what others hold of its part."""
        level = _Level(available, reserved, now)
        self._levels_by_account[account][owner] = level

    def returned(self, account: str, owner: str, tokens: int) -> None:
        """Note tokens that go back to an owner."""
        level = self._levels_by_account[account].get(owner)
        if level is not None:
            level.available += tokens

    def forget(self, account: str) -> None:
        """Forget all answers about an account."""
        self._levels_by_account.pop(account, None)

    def silent(self, owner: str, now: float) -> None:
        """Note that an owner has not answered."""
        self._silent_until_by_owner[owner] = now + SILENCE_SECONDS

    def alive(self, owner: str) -> None:
        """Note that a message of an owner has come."""
        self._silent_until_by_owner.pop(owner, None)

    def askable(self, account: str, now: float) -> list[OwnedPart]:
        """Return the other owners that are live and not silent."""
        return [
            part
            for part in self._owners.parts(account)
            if part.instance != self._own
            and self._members.member(part.instance) is not None
            and self._silent_until_by_owner.get(part.instance, 0.0) <= now
        ]

    def estimate(self, account: str, whole: Limit, part: OwnedPart, now: float) -> int:
        """Return how many tokens an owner should have."""
        limit = part.limit(whole)
        level = self._fresh(account, part, now)
        if level is None:
            return limit.burst
        earned = int(limit.rate * (now - level.at))
        return min(limit.burst, level.available + earned)

    def reachable(self, account: str, whole: Limit, now: float) -> int:
        """Return how many tokens all askable owners should have."""
        return sum(
            self.estimate(account, whole, part, now)
            for part in self.askable(account, now)
        )

    def reserved(self, account: str, now: float) -> int:
        """Return how many tokens others hold, as far as freshly known."""
        levels = [
            self._fresh(account, part, now) for part in self.askable(account, now)
        ]
        return sum(level.reserved for level in levels if level is not None)

    def _fresh(self, account: str, part: OwnedPart, now: float) -> _Level | None:
        level = self._levels_by_account[account].get(part.instance)
        if level is None or now - level.at > FRESH_SECONDS:
            return None
        return level
