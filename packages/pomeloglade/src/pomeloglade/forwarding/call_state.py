"""The state of one forwarded call: its resolution, sends and log steps."""

from collections.abc import Callable
from dataclasses import dataclass

from .calls import ForwardedCall, Refused
from .crash_quarantine import ServerRun
from .deployment import Account, Route
from .event_stream import EventStream
from .request_keys import part_keys, request_key

GIVE_UP_RETRY_AFTER_SECONDS = 0.1
"""Retry delay given with a refusal: by then another instance may have a free server
or retries left in its budget."""

STOPPING_RETRY_AFTER_SECONDS = 0.05
"""Retry delay given by an instance that stops: the retry reaches another instance."""

TIME_LIMIT_SPREAD = 0.16
"""Relative spread of the time limits of callers' first attempts on one route."""


@dataclass(frozen=True, slots=True)
class Resolution:
    """A call's route and account in one version of the configuration.

    The call may be sent to servers in ``zones`` only, or anywhere if that is ``None``.
    """

    version: int
    route: Route
    account: Account | None
    zones: frozenset[str] | None = None


class CallState:
    """A call with its current resolution and the requests sent for it.

    Parameters
    ----------
    resolve : callable
        Resolves the call against the current configuration, or raises ``Refused``;
        its second argument says whether the call was accepted before.
    choose_service : callable
        Picks one of a route's services at random, according to their weights.
    now : callable
        Returns the current time.
    passed_on : bool
        Whether another instance has passed the call on to this one.

    Attributes
    ----------
    stream : EventStream or None
        What the caller has received of a model call's stream.
    trial : ServerRun or None
        The run of the server that a quarantined call was sent to as a trial.
    """

    def __init__(
        self,
        call: ForwardedCall,
        resolve: Callable[[ForwardedCall, bool], Resolution],
        choose_service: Callable[[Route], str],
        now: Callable[[], float],
        *,
        passed_on: bool = False,
    ) -> None:
        self.call = call
        self.passed_on = passed_on
        self.servers_tried = call.servers_tried if passed_on else 0
        self.stream: EventStream | None = None
        self._resolve = resolve
        self._choose_service = choose_service
        self._now = now
        self._unresolved_sends_by_server: dict[str, int] = {}
        self._service: str | None = None
        self._request_key: int | None = None
        self._crash_keys: tuple[int, ...] | None = None
        self.resolved = resolve(call, False)
        self.longest_time_limit = 0.0
        self.account_usage = 0.0
        self.send_count = 0
        self.prefill_count = 0
        self.longest_pause = 0.0
        self.expired = False
        self.stopped = False
        self.trial: ServerRun | None = None
        self.steps: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have run the call."""
        return bool(self._unresolved_sends_by_server)

    @property
    def run_count(self) -> int:
        """The number of backend servers that may have run the call.

        Those at the instance that passed it on count too.
        """
        return self.servers_tried + len(self._unresolved_sends_by_server)

    @property
    def account_name(self) -> str | None:
        """The name of the caller's account, if it has one."""
        account = self.resolved.account
        return account.name if account is not None else None

    @property
    def request_key(self) -> int:
        """The key by which the call's request is recognized when it is sent again."""
        if self._request_key is None:
            self._request_key = request_key(self.call, self.account_name)
        return self._request_key

    @property
    def crash_keys(self) -> tuple[int, ...]:
        """The keys under which the ends of the servers that run the call count."""
        if self._crash_keys is None:
            prompt = self.call.prompt
            parts = part_keys(prompt) if prompt is not None else ()
            self._crash_keys = (self.request_key, *parts)
        return self._crash_keys

    @property
    def last_part_key(self) -> int | None:
        """The crash key of the prompt's last part, which few requests share."""
        return self.crash_keys[-1] if len(self.crash_keys) > 1 else None

    def resolve(self) -> Resolution:
        """Resolve the call against the current configuration, before each send."""
        version = self.resolved.version
        self.resolved = self._resolve(self.call, True)
        if self.resolved.version != version:
            names = {each.service for each in self.resolved.route.services}
            if self._service not in names:
                self._service = None
        return self.resolved

    def service(self) -> str:
        """Return the service chosen for this call, choosing it on first use."""
        if self._service is None:
            self._service = self._choose_service(self.resolved.route)
        return self._service

    def pin_service(self, service: str) -> bool:
        """Use a service that was chosen before; return whether the route has it."""
        if all(service != each.service for each in self.resolved.route.services):
            return False
        self._service = service
        return True

    def deadline(self) -> float:
        """Return the time by which the call must have its final answer."""
        limit = self.resolved.route.timeout.total_seconds()
        if self.call.time_limit is not None:
            limit = min(limit, self.call.time_limit)
        return self.call.arrived + limit

    def seconds_left(self) -> float | None:
        """Return the seconds left until the deadline, at least 1 ms."""
        return max(0.001, self.deadline() - self._now())

    def waiting_since(self) -> float:
        """Return the time at which the caller began to wait.

        A caller that retries after a refusal sends only the rest of its time limit.
        A limit far below the longest one seen on the route therefore shows how long
        the caller has waited already.
        """
        if self.call.time_limit is None:
            return self.call.arrived
        missing = self.longest_time_limit - self.call.time_limit
        if missing < TIME_LIMIT_SPREAD * self.longest_time_limit:
            return self.call.arrived
        return self.call.arrived - missing

    def record_send(self, server: str, detail: str = "") -> None:
        """Record that the call is about to be sent to ``server``."""
        self.send_count += 1
        self._unresolved_sends_by_server[server] = (
            self._unresolved_sends_by_server.get(server, 0) + 1
        )
        self.record_step(server, "sent", detail)

    def record_not_run(self, server: str) -> None:
        """Record that ``server`` promised not to have run the call."""
        self._unresolved_sends_by_server[server] -= 1
        if not self._unresolved_sends_by_server[server]:
            del self._unresolved_sends_by_server[server]

    def record_step(self, server: str, outcome: str, detail: str = "") -> None:
        """Add a step to the call's log line."""
        milliseconds = round((self._now() - self.call.arrived) * 1000)
        self.steps.append(f"{milliseconds} {outcome} {server} {detail}".rstrip())

    def stop_refusal(self) -> Refused:
        """Return the refusal of a call at an instance that stops."""
        return Refused(503, "stopping", retry_after=STOPPING_RETRY_AFTER_SECONDS)

    def give_up_refusal(self, reason: str) -> Refused:
        """Return the refusal of a call that will not be sent again.

        ``Forwarder`` replaces its status if a backend server may have run the call.
        """
        return Refused(503, reason, retry_after=GIVE_UP_RETRY_AFTER_SECONDS)
