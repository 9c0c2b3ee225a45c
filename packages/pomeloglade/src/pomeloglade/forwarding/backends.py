"""The registered backend servers, and which of them may receive calls."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IReactorTime

from ..errors import BackendNotServingError
from .allowed_regions import NO_SERVER_IN_REGION
from .zone_evacuations import ZoneChange, ZoneEvacuations


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One run of a backend server, as it registered itself in the store.

    ``stage`` is ``"prefill"`` or ``"decode"`` for engines and empty otherwise.
    ``cold_seconds`` is how long it stayed cold when it registered.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool = False
    stage: str = ""
    started_ms: int = 0
    software_version: str = ""
    cold_seconds: float = 0.0

    @property
    def run(self) -> tuple[str, int]:
        """The id of the server with the start of its run, in Unix milliseconds."""
        return self.id, self.started_ms


OnRegistered = Callable[..., None]
"""Called with servers as they were read from the store, after they were put, and with
``at_start`` for those of the first read and ``restored`` for those of an older copy."""

MAX_COPY_AGE_SECONDS = 30.0
"""Age that a copy has at most from which the store returns after an outage."""

ZONE_OUT_OF_USE = "zone_out_of_use"
"""Reason of a refusal if all servers of a service are in zones out of use."""

ZONE_RETRY_SECONDS = 1.0
"""Retry delay with this reason. The end of an evacuation is not known; callers wait up
to a third of their time limit, and sooner retries would mostly be refused again."""

MAX_VERSIONS_SEEN = 1_000
"""Limit on the remembered software versions whose servers were removed."""

MAX_LEAVING_SERVERS = 1_000
"""Limit on the remembered runs of servers that announced their leaving."""


class Backends:
    """Index of the backend servers by id and by service.

    What a server said in its answers goes before its registration, which may be older:
    a run that announced its leaving gets no more calls, and one that asked for a pause
    gets none until the pause has ended.

    Parameters
    ----------
    clock : IReactorTime
        Times the grace period of servers whose entries lapsed.
    on_unusable : callable
        Called with each server that must not receive calls any more.
    grace : float
        Seconds for which a server whose entry lapsed during a store outage is kept
        as a last resort. Live servers register again soon after the outage.

    Attributes
    ----------
    evacuations : ZoneEvacuations
        The zones whose servers are out of use, whatever the servers say themselves.
    """

    def __init__(
        self,
        clock: IReactorTime,
        on_unusable: Callable[[BackendServer], None],
        *,
        grace: float = 1.5,
    ) -> None:
        self._clock = clock
        self._grace = grace
        self._on_unusable = on_unusable
        self._servers_by_id: dict[str, BackendServer] = {}
        self._lapsed_by_id: dict[str, tuple[BackendServer, float]] = {}
        self._leaving_runs: dict[tuple[str, int], None] = {}
        self._removed_at_by_run: dict[tuple[str, int], float] = {}
        self._paused_until_by_run: dict[tuple[str, int], float] = {}
        self._count_by_version: Counter[tuple[str, str]] = Counter()
        self._last_seen_by_version: dict[tuple[str, str], float] = {}
        self.evacuations = ZoneEvacuations(clock, kept_seconds=MAX_COPY_AGE_SECONDS)
        self.evacuations.subscribe(self._zone_changed)
        self._was_read = False
        self.on_registered: OnRegistered = lambda servers, **how: None

    def replace_all(
        self,
        servers: Iterable[BackendServer],
        *,
        lenient: bool,
        restored: bool = False,
    ) -> None:
        """Replace all servers; with ``lenient``, missing ones get a grace period.

        Of ``restored`` servers, which may be of an older copy, those are ignored that
        were removed a short time ago. A live one is put by its next change.
        """
        listed = {
            each.id: each
            for each in servers
            if not (restored and self.removed_recently(each))
        }
        for each in list(self._servers_by_id.values()):
            if each.id not in listed:
                self.remove(each.id, lenient=lenient)
        for each in listed.values():
            self._put(each)
        self.on_registered(
            listed.values(), at_start=not self._was_read, restored=restored
        )
        self._was_read = True

    def put(self, server: BackendServer) -> None:
        """Add a server or update its entry."""
        self._put(server)
        self.on_registered([server], at_start=False, restored=False)

    def _put(self, server: BackendServer) -> None:
        known = self._servers_by_id.get(server.id)
        if known == server:
            return
        self._removed_at_by_run.pop(server.run, None)
        if server.draining:
            # An older copy of the store may list this run as serving again.
            self._remember_leaving(server.run)
        self._lapsed_by_id.pop(server.id, None)
        self._servers_by_id[server.id] = server
        self._count_by_version[_version(server)] += 1
        if known is not None:
            self._uncount_version(known)
        if known is not None and (
            server.draining
            or replace(known, stage=server.stage, cold_seconds=server.cold_seconds)
            != server
        ):
            self._on_unusable(known)

    def remove(self, server_id: str, *, lenient: bool) -> None:
        """Remove a server; with ``lenient``, keep it for the grace period."""
        server = self._servers_by_id.pop(server_id, None)
        if server is None:
            return
        self._uncount_version(server)
        if lenient and not server.draining:
            until = self._clock.seconds() + self._grace
            self._lapsed_by_id[server_id] = (server, until)
        else:
            now = self._clock.seconds()
            for run, removed_at in list(self._removed_at_by_run.items()):
                if now - removed_at > MAX_COPY_AGE_SECONDS:
                    del self._removed_at_by_run[run]
            self._removed_at_by_run[server.run] = now
            self._on_unusable(server)

    def removed_recently(self, server: BackendServer) -> bool:
        """Return whether a run was removed a short time ago, not in a store outage."""
        removed_at = self._removed_at_by_run.get(server.run, float("-inf"))
        return self._clock.seconds() - removed_at <= MAX_COPY_AGE_SECONDS

    def get(self, server_id: str) -> BackendServer | None:
        """Return the newest entry of a server, or ``None``."""
        return self._servers_by_id.get(server_id)

    def mark_leaving(self, server_id: str, started_ms: int) -> bool:
        """Record that a run of a server leaves; return ``False`` if that was known."""
        run = (server_id, started_ms)
        if run in self._leaving_runs:
            return False
        self._remember_leaving(run)
        known = self._servers_by_id.get(server_id)
        if known is not None and known.run == run:
            self._on_unusable(known)
        return True

    def _remember_leaving(self, run: tuple[str, int]) -> None:
        if len(self._leaving_runs) >= MAX_LEAVING_SERVERS:
            del self._leaving_runs[next(iter(self._leaving_runs))]
        self._leaving_runs[run] = None

    def leaving(self) -> list[tuple[str, int]]:
        """Return the registered servers whose runs announced their leaving.

        Each is given by its id and the start of its run.
        """
        return [
            each.run
            for each in self._servers_by_id.values()
            if each.run in self._leaving_runs
        ]

    def pause(self, server: BackendServer, seconds: float) -> None:
        """Send no calls to a run of a server for ``seconds``, as it asked."""
        now = self._clock.seconds()
        for run, until in list(self._paused_until_by_run.items()):
            if until <= now:
                del self._paused_until_by_run[run]
        until = max(self._paused_until_by_run.get(server.run, now), now + seconds)
        self._paused_until_by_run[server.run] = until

    def paused_for(self, server: BackendServer) -> float:
        """Return the seconds for which a server still wants no calls."""
        until = self._paused_until_by_run.get(server.run, 0.0)
        return max(0.0, until - self._clock.seconds())

    def soonest_resumption(
        self, service: str, zones: frozenset[str] | None = None
    ) -> float | None:
        """Return the seconds until a paused server of a service wants calls again.

        Returns ``None`` if the service has no paused servers.
        """
        servers = self.registered(service, zones=zones)
        pauses = [self.paused_for(each) for each in servers]
        return min((pause for pause in pauses if pause > 0), default=None)

    def usable(self, server: BackendServer) -> bool:
        """Return whether a call may still be sent to ``server``, an entry read earlier.

        It may not once the server drains or has left, asked for a pause, is in a zone
        out of use, or has registered with another address, service, stage or software
        version.
        """
        if server.run in self._leaving_runs or self.paused_for(server) > 0:
            return False
        if not self.in_use(server):
            return False
        known = self._servers_by_id.get(server.id)
        if known is not None:
            return (
                not known.draining
                and known.run == server.run
                and known.address == server.address
                and known.service == server.service
                and known.stage == server.stage
                and known.software_version == server.software_version
            )
        lapsed = self._lapsed_by_id.get(server.id)
        return lapsed is not None and self._clock.seconds() < lapsed[1]

    def in_use(self, server: BackendServer) -> bool:
        """Return whether the zone of a server, an entry read earlier, is in use.

        A KV cache of a server whose zone is not must not be fetched either.
        """
        if not len(self.evacuations):
            return True
        known = self._servers_by_id.get(server.id, server)
        return not (
            self.evacuations.out_of_use(server.availability_zone)
            or self.evacuations.out_of_use(known.availability_zone)
        )

    def return_cost(self, server: BackendServer) -> float:
        """Return the cost of a server's zone, which is above 1 after its return."""
        return self.evacuations.return_cost(server.availability_zone)

    def unavailable_reason(
        self,
        service: str,
        stage: str | None = None,
        zones: frozenset[str] | None = None,
    ) -> str | None:
        """Return why none of a service's servers may be used, or ``None``.

        ``None`` means that some in ``zones`` may, or that the service has none at all.
        """
        if self.registered(service, stage, zones):
            return None
        if self._listed(service, stage, zones):
            return ZONE_OUT_OF_USE
        if zones is not None and self._listed(service, stage, None):
            return NO_SERVER_IN_REGION
        return None

    def _zone_changed(self, change: ZoneChange) -> None:
        if not change.out_of_use:
            return
        for server in list(self._servers_by_id.values()):
            if server.availability_zone == change.zone:
                self._on_unusable(server)

    def ensure_serves(
        self,
        server: BackendServer,
        service: str,
        zones: frozenset[str] | None = None,
    ) -> None:
        """Raise ``BackendNotServingError`` unless a server still serves ``service``.

        So does a server that is not in ``zones``, unless these are ``None``.
        """
        if not self.is_in(server, zones):
            text = f"backend server {server.id!r} is in no allowed region"
            raise BackendNotServingError(text, step="connect", peer=server.id)
        if server.service != service or not self.usable(server):
            text = f"backend server {server.id!r} no longer serves {service!r}"
            raise BackendNotServingError(text, step="connect", peer=server.id)

    def is_in(self, server: BackendServer, zones: frozenset[str] | None) -> bool:
        """Return whether a server, an entry read earlier, is in one of ``zones``."""
        if zones is None:
            return True
        known = self._servers_by_id.get(server.id, server)
        return server.availability_zone in zones and known.availability_zone in zones

    def serving(
        self,
        service: str,
        stage: str | None = None,
        zones: frozenset[str] | None = None,
    ) -> list[BackendServer]:
        """Return the servers of a service that may receive calls now.

        With ``zones``, only those in these zones are returned.
        """
        servers = self.registered(service, stage, zones)
        if self._paused_until_by_run:
            servers = [each for each in servers if not self.paused_for(each)]
        return servers

    def registered(
        self,
        service: str,
        stage: str | None = None,
        zones: frozenset[str] | None = None,
    ) -> list[BackendServer]:
        """Return the servers of a service that don't leave, also the paused ones.

        Those in zones out of use are left out. Servers in their grace period are
        returned only if there are no others.
        """
        return self._listed(service, stage, zones, in_use=True)

    def _listed(
        self,
        service: str,
        stage: str | None,
        zones: frozenset[str] | None,
        *,
        in_use: bool = False,
    ) -> list[BackendServer]:
        now = self._clock.seconds()
        in_use = in_use and len(self.evacuations) > 0
        lapsed = (each for each, until in self._lapsed_by_id.values() if now < until)
        for servers in (self._servers_by_id.values(), lapsed):
            found = [
                each
                for each in servers
                if each.service == service
                and not each.draining
                and (stage is None or each.stage == stage)
                and each.run not in self._leaving_runs
                and (zones is None or each.availability_zone in zones)
                and (not in_use or self.in_use(each))
            ]
            if found:
                return found
        return []

    def software_versions(self, service: str, within: float) -> set[str]:
        """Return the software versions of a service in the last ``within`` seconds.

        Those of servers that drain or pause are among them.
        """
        oldest = self._clock.seconds() - within
        seen = (
            key
            for key, seen_at in self._last_seen_by_version.items()
            if seen_at >= oldest
        )
        return {
            version
            for name, version in (*self._count_by_version, *seen)
            if name == service
        }

    def version_seen_at(self, service: str, version: str) -> float:
        """Return when the last server of a software version left, as far as is known.

        Without such a server, and while there is one, this is minus infinity.
        """
        return self._last_seen_by_version.get((service, version), float("-inf"))

    def _uncount_version(self, server: BackendServer) -> None:
        """Record that a server of its version was registered until now."""
        key = _version(server)
        self._count_by_version[key] -= 1
        if not self._count_by_version[key]:
            del self._count_by_version[key]
        self._last_seen_by_version.pop(key, None)
        if len(self._last_seen_by_version) >= MAX_VERSIONS_SEEN:
            del self._last_seen_by_version[next(iter(self._last_seen_by_version))]
        self._last_seen_by_version[key] = self._clock.seconds()

    def __len__(self) -> int:
        return len(self._servers_by_id)


def _version(server: BackendServer) -> tuple[str, str]:
    return server.service, server.software_version
