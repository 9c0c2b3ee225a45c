"""Finds the software version at which a stream that is taken up may go on."""

from .backends import BackendServer
from .call_state import CallState
from .calls import Refused
from .event_stream import EventStream
from .fleet_contact import FleetContact
from .stream_origins import StreamOrigin, StreamOrigins
from .version_history import VersionHistory

UNKNOWN_RETRY_AFTER_SECONDS = 0.3
"""Retry delay given to a caller whose stream's origin is not known here: another
instance may know it, and one that has just started learns it within this time."""


class StreamTakeUp:
    """Knows the origins of resumable streams that callers may take up.

    Parameters
    ----------
    origins : StreamOrigins
        Which service and software version has begun a stream.
    versions : VersionHistory
        The software versions that may have begun a service's streams.
    contact : FleetContact
        Whether this instance hears the others.
    """

    def __init__(
        self, origins: StreamOrigins, versions: VersionHistory, contact: FleetContact
    ) -> None:
        self._origins = origins
        self._versions = versions
        self._contact = contact

    async def find_origin(self, state: CallState) -> StreamOrigin | None:
        """Return the origin of the stream that a call takes up, and use its service.

        An instance that does not hear all others may not know a version that has joined
        meanwhile and begun the stream, so it reads the store. If it can't, it trusts
        what it knows only together with most instances.

        Raises ``Refused`` if the stream may have been begun by another software
        version than an engine that is chosen for it.
        """
        service = state.service()
        missed = False
        if self._known_origin(state) is None and not self._contact.with_all():
            missed = not (
                self._several_versions(service)
                or await self._versions.confirm(service)
                or self._contact.with_most()
            )
        origin = self._known_origin(state)
        if origin is not None:
            if state.pin_service(origin.service):
                return origin
            raise Refused(503, "stream_origin_gone")
        if missed or self._several_versions(service):
            raise Refused(
                503, "stream_origin_unknown", retry_after=UNKNOWN_RETRY_AFTER_SECONDS
            )
        versions = self._versions.recent(service)
        return StreamOrigin(service, versions.pop()) if versions else None

    def _known_origin(self, state: CallState) -> StreamOrigin | None:
        call_id = state.call.first_call_id
        return self._origins.find(call_id) if call_id is not None else None

    def _several_versions(self, service: str) -> bool:
        """Return whether several versions may have begun a service's streams."""
        versions = self._versions.recent(service) | self._origins.versions(service)
        return len(versions) > 1 or not self._versions.complete(service)

    def record_origin(
        self, state: CallState, stream: EventStream, server: BackendServer
    ) -> bool:
        """Record which software version has begun a stream; return whether it is new.

        Streams that can't be resumed have no origin.
        """
        if not stream.resumable or stream.origin is not None:
            return False
        stream.origin = StreamOrigin(server.service, server.software_version)
        self._origins.record(state.call.id, stream.origin)
        return True
