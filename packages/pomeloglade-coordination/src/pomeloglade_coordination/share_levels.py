"""Estimates of the tokens in the buckets of other owners."""

from collections import defaultdict
from dataclasses import dataclass

from .bucket import Limit
from .members import MembershipView
from .share_owners import OwnedPart, Owners

LEVEL_TTL_SECONDS = 1.0
"""How long an owner's last answer is used for estimates."""

UNRESPONSIVE_SECONDS = 1.0
"""How long an owner is not asked again after it did not answer."""


@dataclass(slots=True)
class _Level:
    available: int
    reserved: int
    recorded_at: float


class OwnerLevels:
    """Estimates the tokens in other owners' buckets from their last answers.

    An owner whose last answer is older than ``LEVEL_TTL_SECONDS`` is assumed to
    have its full burst, so that it is asked. Estimates only decide which owners
    are asked and how soon requests are refused; limits hold without them.
    """

    def __init__(self, owners: Owners, members: MembershipView) -> None:
        self._owners = owners
        self._members = members
        self._own = members.own.instance
        self._levels_by_account: dict[str, dict[str, _Level]] = defaultdict(dict)
        self._unresponsive_until_by_owner: dict[str, float] = {}

    def record_level(
        self, account: str, owner: str, available: int, reserved: int, now: float
    ) -> None:
        """Record the available and the reserved tokens of an owner's part."""
        level = _Level(available, reserved, now)
        self._levels_by_account[account][owner] = level

    def record_returned(self, account: str, owner: str, tokens: int) -> None:
        """Add tokens that were returned to an owner to its last answer."""
        level = self._levels_by_account[account].get(owner)
        if level is not None:
            level.available += tokens

    def discard(self, account: str) -> None:
        """Discard all answers about an account."""
        self._levels_by_account.pop(account, None)

    def mark_unresponsive(self, owner: str, now: float) -> None:
        """Stop asking an owner for ``UNRESPONSIVE_SECONDS``, as it did not answer."""
        self._unresponsive_until_by_owner[owner] = now + UNRESPONSIVE_SECONDS

    def mark_responsive(self, owner: str) -> None:
        """Resume asking an owner, as it has sent a message."""
        self._unresponsive_until_by_owner.pop(owner, None)

    def responsive_parts(self, account: str, now: float) -> list[OwnedPart]:
        """Return the parts of the other owners that are live and responsive."""
        return [
            part
            for part in self._owners.parts(account)
            if part.instance != self._own
            and self._members.member(part.instance) is not None
            and self._unresponsive_until_by_owner.get(part.instance, 0.0) <= now
        ]

    def estimate(
        self, account: str, account_limit: Limit, part: OwnedPart, now: float
    ) -> int:
        """Return how many tokens an owner is estimated to have."""
        limit = part.limit(account_limit)
        level = self._unexpired(account, part, now)
        if level is None:
            return limit.burst
        earned = int(limit.rate * (now - level.recorded_at))
        return min(limit.burst, level.available + earned)

    def total_estimate(self, account: str, account_limit: Limit, now: float) -> int:
        """Return how many tokens all responsive owners are estimated to have."""
        return sum(
            self.estimate(account, account_limit, part, now)
            for part in self.responsive_parts(account, now)
        )

    def total_reserved(self, account: str, now: float) -> int:
        """Return how many tokens are reserved, by the unexpired answers of owners."""
        levels = [
            self._unexpired(account, part, now)
            for part in self.responsive_parts(account, now)
        ]
        return sum(level.reserved for level in levels if level is not None)

    def _unexpired(self, account: str, part: OwnedPart, now: float) -> _Level | None:
        level = self._levels_by_account[account].get(part.instance)
        if level is None or now - level.recorded_at > LEVEL_TTL_SECONDS:
            return None
        return level
