"""The instance's view of the store: configuration, servers, peers, and its age."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from pomeloglade_coordination.key_value import Entry

from ..errors import BadConfigurationError, BadRegistrationError
from .backends import Backends, BackendServer
from .deployment import Deployment
from .entry_isolation import isolated
from .event_log import EventLog
from .quarantine_store import QuarantineStore
from .version_history import VersionHistory
from .zone_evacuations import ZoneChange

WATCH_STALL_SECONDS = 1.0
"""Longest time for which a watch may miss changes before the store closes it."""

CHECK_TO_SEND_SECONDS = 0.1
"""Longest time from the last check of the view to the first byte of a call."""


@dataclass(frozen=True, slots=True)
class StoreLayout:
    """Keys and prefixes of the entries in the store, and decoders of their values.

    An entry under ``evacuations_prefix`` takes the zone that its key names out of use.
    ``None`` stands for a platform without such entries.
    Without ``quarantine_prefix``, quarantined keys are not kept in the store, and
    without ``versions_prefix``, neither are software versions.

    ``decode_deployment`` raises ``BadConfigurationError`` and ``decode_server``
    raises ``BadRegistrationError``.
    """

    configuration_key: str
    servers_prefix: str
    instances_prefix: str
    order_lease_key: str
    decode_deployment: Callable[[bytes], Deployment]
    decode_server: Callable[[str, bytes], BackendServer]
    evacuations_prefix: str | None = None
    quarantine_prefix: str | None = None
    versions_prefix: str | None = None


class StoreView:
    """Decodes what a ``StoreFollower`` reads, and decides whether it is fresh enough.

    Parameters
    ----------
    revoke_seconds : float or None
        Time within which a withdrawn API key must stop being served; ``None`` if
        there is no such guarantee.
    transit_seconds : float
        Longest transit time of a call from this instance to a backend server.
    apply_seconds : float
        Time within which a new configuration must be in force.
    """

    def __init__(
        self,
        *,
        layout: StoreLayout,
        backends: Backends,
        log: EventLog,
        revoke_seconds: float | None,
        transit_seconds: float,
        apply_seconds: float,
    ) -> None:
        self._layout = layout
        self._backends = backends
        self._evacuations = backends.evacuations
        self._evacuations.subscribe(self._zone_changed)
        self._log = log
        self._max_age_for_keys = float("inf")
        if revoke_seconds is not None:
            margin = transit_seconds + WATCH_STALL_SECONDS + CHECK_TO_SEND_SECONDS
            self._max_age_for_keys = revoke_seconds - margin
        self._max_age_for_denials = max(apply_seconds, 2.5)
        self.deployment: Deployment | None = None
        self.instances: dict[str, bytes] = {}
        self.order_lease_held = False
        self.age: Callable[[], float] = lambda: float("inf")
        self.on_instances_changed: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self.quarantine: QuarantineStore | None = None
        self.versions: VersionHistory | None = None
        self.cold: Callable[[tuple[str, int]], bool] = lambda run: False

    def fresh_enough_for_keys(self) -> bool:
        """Return whether a call with a valid API key may be accepted on this view.

        Accepted calls may run to their end, since the revocation guarantee applies
        to the time at which the caller sent the call.
        """
        return self.age() < self._max_age_for_keys

    def fresh_enough_for_denials(self) -> bool:
        """Return whether an unknown route or key may be answered with 404 or 401.

        With an older view, the route or key may be newer than the view.
        """
        return self.age() < self._max_age_for_denials

    def ready(self) -> bool:
        """Return whether the instance can serve calls."""
        return (
            self.deployment is not None
            and len(self._backends) > 0
            and self.fresh_enough_for_keys()
        )

    def engine_services(self) -> list[str]:
        """Return the names of the configured services whose servers are engines."""
        if self.deployment is None:
            return []
        services = self.deployment.services_by_name.values()
        return [each.name for each in services if each.engines is not None]

    def urgent(self, entry: Entry) -> bool:
        """Return whether changes of this entry must be applied without delay.

        A new server and a repeated registration may wait, as nothing is sent wrongly
        meanwhile. Of zones, also a repeated entry is urgent: an instance that started
        after the store had returned from a copy may not know the first one.
        """
        layout = self._layout
        if self._evacuated_zone(entry) is not None:
            return True
        if not entry.key.startswith(layout.servers_prefix):
            return entry.key == layout.configuration_key
        name = entry.key.removeprefix(layout.servers_prefix)
        known = self._backends.get(name)
        if not entry.value:
            return known is not None
        try:
            server = layout.decode_server(entry.key, entry.value)
        except BadRegistrationError:
            # Logged when the entry is applied. A server that it no longer registers may
            # get calls meanwhile.
            return False
        if known is not None and (not server.cold_seconds or self.cold(known.run)):
            # Only a server that becomes cold must not get more calls.
            known = replace(known, cold_seconds=server.cold_seconds)
        return server.draining or (known is not None and known != server)

    def relevant(self, entry: Entry) -> bool:
        """Return whether a change of this entry makes a difference to this view.

        Backend servers write their registrations again and again, mostly unchanged.
        """
        layout = self._layout
        if entry.key.startswith(layout.servers_prefix):
            known = self._backends.get(entry.key.removeprefix(layout.servers_prefix))
            if not entry.value:
                return known is not None
            try:
                return layout.decode_server(entry.key, entry.value) != known
            except BadRegistrationError:
                return known is not None
        if entry.key.startswith(layout.instances_prefix):
            name = entry.key.removeprefix(layout.instances_prefix)
            return self.instances.get(name, b"") != entry.value
        if entry.key == layout.order_lease_key:
            return bool(entry.value) != self.order_lease_held
        return True

    def replace_all(
        self, entries: tuple[Entry, ...], *, lenient: bool, restored: bool = False
    ) -> None:
        """Replace the view by a full read of the store.

        A ``restored`` store may be older than the view: configurations older than the
        one in force are ignored, and so are servers that have left since. Zones that
        were out of use stay so for a while.
        """
        layout = self._layout
        servers = []
        instances = {}
        revision_by_zone = {}
        if self.quarantine is not None:
            stored = [each for each in entries if self._is_quarantine(each)]
            self.quarantine.replace_all(stored, restored=restored)
        for entry in entries:
            if entry.key == layout.configuration_key:
                apply = partial(self._apply_deployment, entry)
                isolated(self._log, entry, apply, None)
            elif entry.key.startswith(layout.servers_prefix):
                decode = partial(self._decode_server, entry)
                server = isolated(self._log, entry, decode, None)
                if server is not None:
                    servers.append(server)
            elif entry.key.startswith(layout.instances_prefix):
                instances[entry.key.removeprefix(layout.instances_prefix)] = entry.value
            elif (zone := self._evacuated_zone(entry)) is not None:
                revision_by_zone[zone] = entry.revision
        self._backends.replace_all(servers, lenient=lenient, restored=restored)
        if self.versions is not None:
            records = [each for each in entries if self._is_version_record(each)]
            self.versions.replace_all(records)
        self._evacuations.replace_all(revision_by_zone, restored=restored)
        self.instances = instances
        self.order_lease_held = any(e.key == layout.order_lease_key for e in entries)
        self.on_instances_changed()
        self.on_change()
        self._log.event("store_read", entries=len(entries), servers=len(servers))

    def apply_change(self, entry: Entry, *, lenient: bool) -> None:
        """Apply the change or deletion of one key."""
        layout = self._layout
        if entry.key == layout.configuration_key:
            self._apply_deployment(entry)
        elif entry.key.startswith(layout.servers_prefix):
            self._apply_server_change(entry, lenient)
        elif entry.key == layout.order_lease_key:
            self.order_lease_held = bool(entry.value)
        elif entry.key.startswith(layout.instances_prefix):
            name = entry.key.removeprefix(layout.instances_prefix)
            if entry.value:
                self.instances[name] = entry.value
            else:
                self.instances.pop(name, None)
            self.on_instances_changed()
        elif (zone := self._evacuated_zone(entry)) is not None:
            if entry.value:
                self._evacuations.put(zone, entry.revision)
            else:
                self._evacuations.remove(zone, entry.revision)
        elif self.quarantine is not None and self._is_quarantine(entry):
            self.quarantine.apply_change(entry)
        elif self.versions is not None and self._is_version_record(entry):
            self.versions.apply_change(entry)
        self.on_change()

    def _evacuated_zone(self, entry: Entry) -> str | None:
        """Return the zone that an entry takes out of use, or ``None``."""
        prefix = self._layout.evacuations_prefix
        if prefix is None or not entry.key.startswith(prefix):
            return None
        return entry.key.removeprefix(prefix) or None

    def _zone_changed(self, change: ZoneChange) -> None:
        if change.out_of_use:
            self._log.event(
                "zone_taken_out",
                zone=change.zone,
                revision=change.revision,
                age=round(self.age(), 3),
            )
        else:
            self._log.event(
                "zone_returned",
                zone=change.zone,
                revision=change.revision,
                age=round(self.age(), 3),
                seconds=round(change.seconds, 3),
            )
        self.on_change()

    def _is_quarantine(self, entry: Entry) -> bool:
        prefix = self._layout.quarantine_prefix
        return prefix is not None and entry.key.startswith(prefix)

    def _is_version_record(self, entry: Entry) -> bool:
        prefix = self._layout.versions_prefix
        return prefix is not None and entry.key.startswith(prefix)

    def _apply_deployment(self, entry: Entry) -> None:
        try:
            deployment = self._layout.decode_deployment(entry.value)
        except BadConfigurationError as error:
            self._log.event(
                "configuration_rejected", revision=entry.revision, reason=str(error)
            )
            return
        if self.deployment and deployment.version < self.deployment.version:
            self._log.event(
                "configuration_older",
                version=deployment.version,
                in_force=self.deployment.version,
            )
            return
        if self.deployment and deployment.version == self.deployment.version:
            return
        self.deployment = deployment
        self._log.event(
            "configuration_in_force",
            version=deployment.version,
            revision=entry.revision,
            accounts={
                name: (account.rate, account.burst, len(account.key_digests))
                for name, account in deployment.accounts_by_name.items()
            },
        )

    def _apply_server_change(self, entry: Entry, lenient: bool) -> None:
        name = entry.key.removeprefix(self._layout.servers_prefix)
        if not entry.value:
            self._log.event("server_removed", server=name, lenient=lenient)
            self._backends.remove(name, lenient=lenient)
            return
        server = self._decode_server(entry)
        if server is None:
            self._backends.remove(name, lenient=lenient)
            return
        self._backends.put(server)
        self._log.event(
            "server_registered",
            server=name,
            service=server.service,
            draining=server.draining,
            stage=server.stage,
            software_version=server.software_version,
        )

    def _decode_server(self, entry: Entry) -> BackendServer | None:
        try:
            return self._layout.decode_server(entry.key, entry.value)
        except BadRegistrationError as error:
            self._log.event(
                "server_rejected", key=entry.key[:80], reason=str(error)[:200]
            )
            return None
