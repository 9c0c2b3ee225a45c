"""What has become of one forwarded call so far."""

from collections.abc import Callable
from dataclasses import dataclass

from .calls import ForwardedCall, Refused
from .deployment import Account, Route

GIVEN_UP_SECONDS = 0.1
"""Time after which another instance may have a server or a resend left."""

USUAL_SPREAD = 0.16
"""Part by which the time limits of callers' first calls differ on one route."""


@dataclass(frozen=True, slots=True)
class Resolution:
    """A call's route and account by one version of the configuration."""

    version: int
    route: Route
    account: Account | None


class CallState:
    """A call with its present resolution and the sendings made for it.

    Parameters
    ----------
    resolve : callable
        Returns the call's resolution by what is known now, or raises ``Refused``;
        its second argument tells whether the call was accepted before.
    choose_service : callable
        Returns one of a route's services by their weights.
    now : callable
        Returns the present instant.
    """

    def __init__(
        self,
        call: ForwardedCall,
        resolve: Callable[[ForwardedCall, bool], Resolution],
        choose_service: Callable[[Route], str],
        now: Callable[[], float],
    ) -> None:
        self.call = call
        self._resolve = resolve
        self._choose_service = choose_service
        self._now = now
        self._unresolved: dict[str, int] = {}
        self._service: str | None = None
        self.resolved = resolve(call, False)
        self.longest_limit = 0.0
        self.account_part = 0.0
        self.sendings = 0
        self.prefills = 0
        self.longest_pause = 0.0
        self.expired = False
        self.notes: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the call."""
        return bool(self._unresolved)

    @property
    def account_name(self) -> str | None:
        """The name of the caller's account, if it has one."""
        account = self.resolved.account
        return account.name if account is not None else None

    def resolve(self) -> Resolution:
        """Resolve the call again, as every sending must by the newest belief."""
        version = self.resolved.version
        self.resolved = self._resolve(self.call, True)
        if self.resolved.version != version:
            names = {each.service for each in self.resolved.route.services}
            if self._service not in names:
                self._service = None
        return self.resolved

    def service(self) -> str:
        """Return the service chosen for this call."""
        if self._service is None:
            self._service = self._choose_service(self.resolved.route)
        return self._service

    def limit(self) -> float:
        """Return the instant at which the call must have its final answer."""
        limit = self.resolved.route.timeout.total_seconds()
        if self.call.time_limit is not None:
            limit = min(limit, self.call.time_limit)
        return self.call.arrived + limit

    def seconds_left(self) -> float | None:
        """Return how long a backend server may still work on the call."""
        return max(0.001, self.limit() - self._now())

    def waiting_since(self) -> float:
        """Return the instant at which the caller began to wait.

        A caller that comes again after a refusal gives the rest of its time, so
        a time far below the longest that is given on the route tells how long it
        has waited before.
        """
        if self.call.time_limit is None:
            return self.call.arrived
        missing = self.longest_limit - self.call.time_limit
        if missing < USUAL_SPREAD * self.longest_limit:
            return self.call.arrived
        return self.call.arrived - missing

    def sent(self, server: str) -> None:
        """Note that the call's first byte is about to leave."""
        self.sendings += 1
        self._unresolved[server] = self._unresolved.get(server, 0) + 1
        self.note(server, "sent")

    def rejected(self, server: str) -> None:
        """Note the promise that a sending has not run."""
        self._unresolved[server] -= 1
        if not self._unresolved[server]:
            del self._unresolved[server]

    def note(self, server: str, outcome: str, detail: str = "") -> None:
        """Remember how a sending ended, for the log."""
        milliseconds = round((self._now() - self.call.arrived) * 1000)
        self.notes.append(f"{milliseconds} {outcome} {server} {detail}".rstrip())

    def given_up(self, reason: str) -> Refused:
        """Return the own answer of a call that nothing more is tried for.

        ``Forwarder`` answers otherwise if a backend server may have run the call.
        """
        return Refused(503, reason, retry_after=GIVEN_UP_SECONDS)
