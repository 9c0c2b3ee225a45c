"""Websocket connections between instances."""

import enum
import random as random_module
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.python.failure import Failure

from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.peer import PeerMessage

from ..protocol.peer_codec import DecodeError
from .peer_session import OwnAddressError, PeerSession, SessionSettings

CHECK_INTERVAL_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 3.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60.0
"""Time without messages after which an on-demand connection is closed."""


class LinkEvent(enum.Enum):
    """Connection events, each with a counter of its own."""

    CONNECTED = "connected"
    CONNECT_FAILED = "connect_failed"
    SILENT = "silent"
    DUPLICATE = "duplicate"
    REPLACED = "replaced"
    OLD_INCARNATION = "old_incarnation"
    NOT_CONNECTED = "not_connected"
    BATCH_DROPPED = "batch_dropped"
    NOT_DECODED = "not_decoded"
    REFUSED = "refused"
    HANDLER_FAILED = "handler_failed"


@dataclass(slots=True)
class _Dial:
    """An address to connect to, with its current session and retry state."""

    address: str
    persistent: bool = True
    instance: str = ""
    session: PeerSession | None = None
    connector: Any = None
    retry_timer: Any = None
    backoff: float = FIRST_BACKOFF_SECONDS
    replaces: bool = False
    last_used: float = 0.0


class PeerLinks:
    """Connections to the other instances; implements ``PeerSender``.

    There is one connection for each pair of instances. If both open one, the one
    opened by the instance with the smaller name is kept. A connection on which
    nothing was received for ``SILENCE_TIMEOUT_SECONDS`` is closed and reopened, even
    if its socket still appears to be open.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens sockets and schedules retries.
    own : Member or callable
        This instance as a member, or a callable that returns its current record.
    listen_host, listen_port : str, int
        Address to accept connections on; port 0 selects any free port.
    on_message : callable
        Called with the name of the peer's instance and each message.
    secret : str
        Secret shared by all instances; each side proves that it knows it, and it is
        never sent.
    on_connected : callable, optional
        Called with the member at the other end of each new connection.
    random : random.Random
        Source of the jitter of retries.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        own: Member | Callable[[], Member],
        listen_host: str,
        listen_port: int,
        on_message: Callable[[str, PeerMessage], None],
        secret: str = "",
        on_connected: Callable[[Member], None] | None = None,
        random: random_module.Random | None = None,
    ) -> None:
        self.counters: Counter[LinkEvent] = Counter()
        self.last_error: CoordinationError | None = None
        self._reactor = reactor
        self._own = own if callable(own) else lambda: own
        self._on_message = on_message
        self._on_connected = on_connected
        self._random = random or random_module.Random()
        self._settings = SessionSettings(self._own, secret, reactor)
        self._dials_by_address: dict[str, _Dial] = {}
        self._address_by_instance: dict[str, str] = {}
        self._sessions_by_instance: dict[str, PeerSession] = {}
        self._sessions: set[PeerSession] = set()
        self._own_addresses: set[str] = set()
        self._closed = False
        factory = _AcceptFactory(self)
        self._port = reactor.listenTCP(listen_port, factory, interface=listen_host)
        self._check_timer = reactor.callLater(
            CHECK_INTERVAL_SECONDS, self._check_connections
        )

    @property
    def listening_port(self) -> int:
        """The port on which connections are accepted."""
        return self._port.getHost().port

    def connected(self) -> tuple[Member, ...]:
        """Return the members with an open, authenticated connection."""
        sessions = self._sessions_by_instance.items()
        return tuple(session.member for _, session in sorted(sessions))

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queue ``message`` for ``instance``; it is dropped if there is no connection.

        If the address of the instance is known, a connection for later messages is
        opened.
        """
        session = self._sessions_by_instance.get(instance)
        if session is not None:
            self._mark_used(session.address)
            session.send(message)
            return
        self.counters[LinkEvent.NOT_CONNECTED] += 1
        address = self._address_by_instance.get(instance)
        if address and address not in self._dials_by_address:
            self._dial(address, persistent=False)

    def connect(self, address: str) -> None:
        """Maintain a connection to ``address``, given as ``host:port``."""
        own = {"", self._own().address} | self._own_addresses
        if address in own or self._closed:
            return
        dial = self._dials_by_address.get(address)
        if dial is None:
            self._dial(address, persistent=True)
        else:
            dial.persistent = True

    def set_peers(
        self,
        addresses: Iterable[str],
        address_by_instance: Mapping[str, str] | None = None,
    ) -> None:
        """Maintain connections to these addresses; others are closed when idle.

        ``address_by_instance`` has the addresses of other instances, to which a
        connection is opened only when there is a message for them.
        """
        wanted = set(addresses)
        if address_by_instance is not None:
            self._address_by_instance = dict(address_by_instance)
        for address in sorted(wanted):
            self.connect(address)
        for dial in self._dials_by_address.values():
            if dial.address not in wanted:
                dial.persistent = False

    def close(self) -> Any:
        """Stop listening and close every connection; returns a Deferred."""
        self._closed = True
        if self._check_timer.active():
            self._check_timer.cancel()
        for dial in list(self._dials_by_address.values()):
            self._remove_dial(dial)
        for session in list(self._sessions):
            session.abort()
        return self._port.stopListening()

    # Dialling

    def _dial(self, address: str, *, persistent: bool) -> None:
        dial = _Dial(address, persistent, last_used=self._reactor.seconds())
        self._dials_by_address[address] = dial
        self._open_connection(dial)

    def _open_connection(self, dial: _Dial) -> None:
        dial.retry_timer = None
        if self._closed or dial.instance in self._sessions_by_instance:
            return
        host, _, port = dial.address.rpartition(":")
        factory = _DialFactory(self, dial)
        if not port.isdigit():
            self.counters[LinkEvent.CONNECT_FAILED] += 1
            return
        dial.connector = self._reactor.connectTCP(
            host, int(port), factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def _schedule_retry(self, dial: _Dial) -> None:
        is_current = self._dials_by_address.get(dial.address) is dial
        if self._closed or not is_current or dial.retry_timer is not None:
            return
        if not dial.persistent:
            self._remove_dial(dial)
            return
        delay = dial.backoff * self._random.uniform(0.5, 1.0)
        dial.backoff = min(2 * dial.backoff, MAX_BACKOFF_SECONDS)
        dial.retry_timer = self._reactor.callLater(delay, self._open_connection, dial)

    def _remove_dial(self, dial: _Dial) -> None:
        self._dials_by_address.pop(dial.address, None)
        if dial.retry_timer is not None and dial.retry_timer.active():
            dial.retry_timer.cancel()
        if dial.session is not None:
            dial.session.abort()
        elif dial.connector is not None:
            dial.connector.stopConnecting()

    def _mark_used(self, address: str) -> None:
        dial = self._dials_by_address.get(address)
        if dial is not None:
            dial.last_used = self._reactor.seconds()

    def _build_session(self, dial: _Dial | None) -> PeerSession:
        if dial is None:
            session = PeerSession(self._settings, self)
        else:
            session = PeerSession(
                self._settings, self, dial.address, replaces=dial.replaces
            )
            dial.session = session
        self._sessions.add(session)
        return session

    def _on_connect_failed(self, dial: _Dial) -> None:
        dial.connector = None
        self.counters[LinkEvent.CONNECT_FAILED] += 1
        self._schedule_retry(dial)

    # Periodic checks

    def _check_connections(self) -> None:
        """Send keep-alive messages, and close timed-out and idle connections."""
        self._check_timer = self._reactor.callLater(
            CHECK_INTERVAL_SECONDS, self._check_connections
        )
        for session in list(self._sessions):
            session.keep_alive()
            if session.has_timed_out():
                self._close_timed_out(session)
        now = self._reactor.seconds()
        for dial in list(self._dials_by_address.values()):
            if not dial.persistent and now - dial.last_used >= IDLE_TIMEOUT_SECONDS:
                self._remove_dial(dial)
            elif dial.persistent and self._is_unconnected(dial):
                self._schedule_retry(dial)

    def _is_unconnected(self, dial: _Dial) -> bool:
        unconnected = dial.session is None and dial.connector is None
        return unconnected and dial.instance not in self._sessions_by_instance

    def _close_timed_out(self, session: PeerSession) -> None:
        self.counters[LinkEvent.SILENT] += 1
        dial = self._dials_by_address.get(session.address)
        if dial is not None:
            dial.replaces = session.ready
        self._remove_session(session)
        session.abort()

    def _remove_session(self, session: PeerSession) -> None:
        self._sessions.discard(session)
        instance = session.instance
        if self._sessions_by_instance.get(instance) is session:
            del self._sessions_by_instance[instance]

    # Events of the sessions

    def session_ready(self, session: PeerSession) -> None:
        """Register an authenticated session, or close it if another one is kept."""
        member = session.member
        dial = self._dials_by_address.get(session.address)
        if dial is not None:
            dial.instance = member.instance
            dial.backoff = FIRST_BACKOFF_SECONDS
            dial.replaces = False
        earlier = self._sessions_by_instance.get(member.instance)
        if earlier is not None:
            if not self._supersedes(session, earlier):
                self._remove_session(session)
                session.abort()
                return
            self._remove_session(earlier)
            earlier.abort()
        self._sessions_by_instance[member.instance] = session
        self.counters[LinkEvent.CONNECTED] += 1
        if self._on_connected is not None:
            self._call_handler("connected", self._on_connected, member)

    def _supersedes(self, session: PeerSession, earlier: PeerSession) -> bool:
        new, old = session.member.incarnation, earlier.member.incarnation
        if new != old:
            event = LinkEvent.REPLACED if new > old else LinkEvent.OLD_INCARNATION
            self.counters[event] += 1
            return new > old
        if session.replaces:
            self.counters[LinkEvent.REPLACED] += 1
            return True
        self.counters[LinkEvent.DUPLICATE] += 1
        own_is_smaller = self._own().instance < session.member.instance
        return bool(session.address) == own_is_smaller

    def session_received(self, session: PeerSession, message: PeerMessage) -> None:
        """Pass a message to the handler."""
        step = f"handling of {type(message).__name__}"
        self._call_handler(step, self._on_message, session.instance, message)

    def _call_handler(
        self, step: str, handler: Callable[..., None], *args: Any
    ) -> None:
        """Call a handler; its exceptions must not close the connection."""
        try:
            handler(*args)
        except Exception as exception:  # counted, and kept as the last error
            self.counters[LinkEvent.HANDLER_FAILED] += 1
            self.last_error = CoordinationError(
                f"{type(exception).__name__}: {exception}", step=step, peer=str(args[0])
            )

    def session_error(
        self, session: PeerSession, peer_error: CoordinationError
    ) -> None:
        """Count an error in what the peer sent and keep it as the last error."""
        decoded = isinstance(peer_error, DecodeError)
        self.counters[LinkEvent.NOT_DECODED if decoded else LinkEvent.REFUSED] += 1
        self.last_error = peer_error
        dial = self._dials_by_address.get(session.address)
        if isinstance(peer_error, OwnAddressError) and dial is not None:
            self._own_addresses.add(session.address)
            del self._dials_by_address[session.address]

    def session_dropped_batch(self, session: PeerSession) -> None:
        """Count a batch dropped because the send buffer was full."""
        self.counters[LinkEvent.BATCH_DROPPED] += 1

    def session_closed(self, session: PeerSession) -> None:
        """Remove the session, and schedule a new connection to a persistent address."""
        self._remove_session(session)
        dial = self._dials_by_address.get(session.address)
        if dial is not None and dial.session is session:
            dial.session = None
            dial.connector = None
            self._schedule_retry(dial)


class _AcceptFactory(ServerFactory):
    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def buildProtocol(self, addr: object) -> PeerSession:  # noqa: N802
        return self._links._build_session(None)


class _DialFactory(ClientFactory):
    noisy = False

    def __init__(self, links: PeerLinks, dial: _Dial) -> None:
        self._links = links
        self._dial = dial

    def buildProtocol(self, addr: object) -> PeerSession:  # noqa: N802
        return self._links._build_session(self._dial)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not reason.check(error.UserError):
            self._links._on_connect_failed(self._dial)
