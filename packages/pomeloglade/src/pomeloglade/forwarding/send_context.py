"""Shared context for sending calls to backend servers, with the checks before it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from ..errors import (
    BackendError,
    BackendLostError,
    BackendNotServingError,
    BackendSilentError,
    BackendUnreachableError,
)
from ..transport.body_memory import BodyMemory
from ..transport.http_exchange import (
    ConnectionPool,
    Exchange,
    ResponseHead,
    ServerConnection,
)
from .allowed_regions import AllowedRegions
from .backends import Backends, BackendServer
from .call_state import CallState
from .calls import CallCodec, Refused
from .crash_quarantine import CrashQuarantine
from .event_log import EventLog
from .loads import Loads
from .quarantine_trials import QuarantineTrials
from .resend_budget import ResendBudget
from .server_ends import ServerEnds
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .server_pace import ServerPace
from .server_reach import ServerReach

CONNECT_TIMEOUT_SECONDS = 0.25
"""Connecting takes milliseconds; waiting for the retransmission of a lost packet takes
a second, and trying another server is faster."""


OUT_OF_REACH = "servers_out_of_reach"
"""Reason of a refusal by an instance that has no way to a service's servers."""

OUT_OF_REACH_RETRY_SECONDS = 0.5
"""Retry delay while no server can be reached; as often one is probed."""


@dataclass(frozen=True, slots=True)
class SendContext:
    """The components of an instance that are needed to send calls.

    ``on_load_changed`` must be called when this instance's load on a backend server
    has changed, and ``on_cold`` with the seconds for which a server says that it stays
    cold.
    """

    clock: IReactorTime
    codec: CallCodec
    pool: ConnectionPool
    backends: Backends
    loads: Loads
    health: ServerHealth
    budget: ResendBudget
    quarantine: CrashQuarantine
    limits: ServerLimits
    reach: ServerReach
    log: EventLog
    on_load_changed: Callable[[], None]
    body_memory: BodyMemory = field(default_factory=BodyMemory)
    pace: ServerPace | None = None
    trials: QuarantineTrials | None = None
    regions: AllowedRegions = field(default_factory=AllowedRegions)
    on_cold: Callable[[BackendServer, float], None] = lambda server, seconds: None
    ends: ServerEnds = field(init=False)

    def __post_init__(self) -> None:
        """Combine the components that tell which servers have ended."""
        ends = ServerEnds(
            self.clock, self.quarantine, self.reach, self.log, self.backends
        )
        object.__setattr__(self, "ends", ends)

    async def connect(
        self, state: CallState, server: BackendServer, *, max_idle_seconds: float = 0.0
    ) -> ServerConnection:
        """Connect to ``server`` and check that the call may still be sent to it.

        Raises ``BackendUnreachableError`` if the connection fails, and the errors of
        ``revalidate``.
        """
        try:
            connection = await self.pool.acquire_connection(
                server.address,
                max_idle_seconds=max_idle_seconds,
                timeout=CONNECT_TIMEOUT_SECONDS,
            )
        except BackendUnreachableError:
            self.reach.record_failure(server, connected=False, look=True)
            raise
        try:
            self.revalidate(state, server)
        except (Refused, BackendNotServingError):
            self.pool.release(connection)
            raise
        return connection

    def revalidate(self, state: CallState, server: BackendServer) -> None:
        """Check call and server again immediately before the call is sent.

        Raises ``Refused`` or ``BackendNotServingError`` if the call may not be sent
        any more.
        """
        if state.stopped:
            raise state.stop_refusal()
        state.resolve()
        self.ensure_not_quarantined(state)
        self.backends.ensure_serves(server, state.service(), state.resolved.zones)
        if self.quarantined_for(state) > 0:
            self._begin_trial(state, server)

    def describe_pace(self, server: BackendServer) -> str:
        """Return a server's pace for the log line of a call, or an empty text."""
        return self.pace.describe(server) if self.pace is not None else ""

    def ensure_in_reach(self, service: str) -> None:
        """Raise ``Refused`` if this instance has no way to a service's servers."""
        if self.reach.out_of_reach(service):
            raise Refused(503, OUT_OF_REACH, retry_after=OUT_OF_REACH_RETRY_SECONDS)

    def quarantined_for(self, state: CallState) -> float:
        """Return the seconds for which the call must not be sent to a server."""
        return self.quarantine.seconds_left(state.crash_keys)

    def ensure_not_quarantined(self, state: CallState) -> None:
        """Raise ``Refused`` if servers ended under requests like this call's.

        It is not raised for a call that may be the trial of a new software version.
        """
        seconds = self.quarantined_for(state)
        if seconds <= 0:
            return
        if self.trials is not None and state.trial is None:
            keys, service = state.crash_keys, state.service()
            if self.trials.version(keys, service) is not None:
                return
            self.trials.claim(keys, service)
        raise Refused(503, "ends_servers", retry_after=seconds)

    def _begin_trial(self, state: CallState, server: BackendServer) -> None:
        """Use up the trial for which a call was not refused, at this server only."""
        if not self.trials.begin(state.crash_keys, server):
            text = f"backend server {server.id!r} has no software version to try"
            raise BackendNotServingError(text, step="connect", peer=server.id)
        state.trial = server.run
        self.log.event(
            "quarantine_trial",
            call=state.call.id,
            server=server.id,
            software_version=server.software_version,
        )

    def record_loss(
        self, state: CallState, server: BackendServer, error: BackendError
    ) -> None:
        """Record which requests a server ran when its connection ended.

        A server that is silent, or whose answer can't be read, goes on. Either may be
        out of reach.
        """
        lost = isinstance(error, BackendLostError)
        if lost:
            self.reach.record_failure(server, connected=True, look=True)
        if lost and not isinstance(error, BackendSilentError):
            self.ends.record_loss(state.crash_keys, server, state.last_part_key)
            self.on_load_changed()

    def record_answer(self, state: CallState, status: int) -> None:
        """Record that a server has answered the call, not by an error of its own.

        An answer other than a success does not show that the prompt was used.
        """
        success = 200 <= status < 300
        keys = state.crash_keys if success else (state.request_key,)
        if self.quarantine.record_answer(keys):
            self.on_load_changed()

    def record_notice(
        self,
        server: BackendServer,
        exchange: Exchange,
        head: ResponseHead,
        sent_at: float,
    ) -> None:
        """Record what the head of an answer says about its server.

        This must be called with the head of every answer of a backend server, and the
        time at which the request was sent.
        """
        on_new_connection = not exchange.connection.reused
        self.reach.record_contact(server, on_new_connection=on_new_connection)
        notice = self.codec.parse_notice(head)
        if notice.leaving and self.backends.mark_leaving(server.id, server.started_ms):
            self.log.event("server_leaving", server=server.id, source="answer")
            self.on_load_changed()
        if notice.pause > 0:
            self.backends.pause(server, notice.pause)
            self.log.event("server_paused", server=server.id, seconds=notice.pause)
        if self.limits.record_answer(server.run, notice.limit, sent_at):
            self.on_load_changed()
        if notice.load is not None:
            self.loads.record_reported_load(server.id, notice.load)
            if notice.load.pace is not None and self.pace is not None:
                self.pace.record_reported(server, notice.load.pace)
        if notice.cold is not None:
            self.on_cold(server, notice.cold)


def on_silence(server: BackendServer, step: str) -> Callable[[object, float], None]:
    """Return an ``addTimeout`` callback that raises ``BackendSilentError``."""

    def raise_lost(_: object, seconds: float) -> None:
        text = f"backend server {server.id!r} was silent for {seconds:g} s"
        raise BackendSilentError(text, step=step, peer=server.id)

    return raise_lost
