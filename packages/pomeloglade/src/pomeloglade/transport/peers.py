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

CHECK_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 3.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0
IDLE_SECONDS = 60.0
"""A connection opened for a single message closes after so long without one."""


class LinkEvent(enum.Enum):
    """What the links refused, dropped or repeated; each has its counter."""

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
    """An address that a connection is kept to."""

    address: str
    kept: bool = True
    instance: str = ""
    session: PeerSession | None = None
    connector: Any = None
    retry: Any = None
    backoff: float = FIRST_BACKOFF_SECONDS
    replaces: bool = False
    last_used: float = 0.0


class PeerLinks:
    """Connections to the other instances; a ``PeerSender``.

    There is one connection for each pair of instances. When both open one, the one
    opened by the instance with the smaller name stays. A connection that nothing
    came through for ``SILENCE_SECONDS`` is dropped and opened anew, even though its
    socket still looks open.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens sockets and times retries.
    own : Member or callable
        The own incarnation, or what returns the present one.
    listen_host, listen_port : str, int
        Where to accept connections; port 0 takes any free port.
    on_message : callable
        Takes the peer's instance and each message.
    secret : str
        Proved to each peer and never sent.
    on_connected : callable, optional
        Takes the member at the other end of each new connection.
    random : random.Random
        Spreads the retries.
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
        factory = _Accepting(self)
        self._port = reactor.listenTCP(listen_port, factory, interface=listen_host)
        self._check_call = reactor.callLater(CHECK_SECONDS, self._check)

    @property
    def listening_port(self) -> int:
        """The port that connections are accepted on."""
        return self._port.getHost().port

    def connected(self) -> tuple[Member, ...]:
        """Return the members that a proven connection is open to."""
        sessions = self._sessions_by_instance.items()
        return tuple(session.member for _, session in sorted(sessions))

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queue ``message`` for ``instance``; without a connection it is lost.

        An instance whose address is known is dialled for the next message.
        """
        session = self._sessions_by_instance.get(instance)
        if session is not None:
            self._use(session.address)
            session.send(message)
            return
        self.counters[LinkEvent.NOT_CONNECTED] += 1
        address = self._address_by_instance.get(instance)
        if address and address not in self._dials_by_address:
            self._dial(address, kept=False)

    def connect(self, address: str) -> None:
        """Keep a connection to ``address``, given as ``host:port``."""
        own = {"", self._own().address} | self._own_addresses
        if address in own or self._closed:
            return
        dial = self._dials_by_address.get(address)
        if dial is None:
            self._dial(address, kept=True)
        else:
            dial.kept = True

    def set_peers(
        self,
        addresses: Iterable[str],
        address_by_instance: Mapping[str, str] | None = None,
    ) -> None:
        """Keep connections to exactly these addresses.

        ``address_by_instance`` tells where other instances can be dialled when a
        message for them comes up.
        """
        wanted = set(addresses)
        if address_by_instance is not None:
            self._address_by_instance = dict(address_by_instance)
        for address in sorted(wanted):
            self.connect(address)
        for dial in self._dials_by_address.values():
            if dial.address not in wanted:
                dial.kept = False

    def close(self) -> Any:
        """Stop listening and close every connection; returns a Deferred."""
        self._closed = True
        if self._check_call.active():
            self._check_call.cancel()
        for dial in list(self._dials_by_address.values()):
            self._forget(dial)
        for session in list(self._sessions):
            session.abort()
        return self._port.stopListening()

    # Dialling

    def _dial(self, address: str, *, kept: bool) -> None:
        dial = _Dial(address, kept, last_used=self._reactor.seconds())
        self._dials_by_address[address] = dial
        self._open(dial)

    def _open(self, dial: _Dial) -> None:
        dial.retry = None
        if self._closed or dial.instance in self._sessions_by_instance:
            return
        host, _, port = dial.address.rpartition(":")
        factory = _Dialling(self, dial)
        if not port.isdigit():
            self.counters[LinkEvent.CONNECT_FAILED] += 1
            return
        dial.connector = self._reactor.connectTCP(
            host, int(port), factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def _retry(self, dial: _Dial) -> None:
        known = self._dials_by_address.get(dial.address) is dial
        if self._closed or not known or dial.retry is not None:
            return
        if not dial.kept:
            self._forget(dial)
            return
        pause = dial.backoff * self._random.uniform(0.5, 1.0)
        dial.backoff = min(2 * dial.backoff, MAX_BACKOFF_SECONDS)
        dial.retry = self._reactor.callLater(pause, self._open, dial)

    def _forget(self, dial: _Dial) -> None:
        self._dials_by_address.pop(dial.address, None)
        if dial.retry is not None and dial.retry.active():
            dial.retry.cancel()
        if dial.session is not None:
            dial.session.abort()
        elif dial.connector is not None:
            dial.connector.stopConnecting()

    def _use(self, address: str) -> None:
        dial = self._dials_by_address.get(address)
        if dial is not None:
            dial.last_used = self._reactor.seconds()

    def _build(self, dial: _Dial | None) -> PeerSession:
        if dial is None:
            session = PeerSession(self._settings, self)
        else:
            session = PeerSession(
                self._settings, self, dial.address, replaces=dial.replaces
            )
            dial.session = session
        self._sessions.add(session)
        return session

    def _connect_failed(self, dial: _Dial) -> None:
        dial.connector = None
        self.counters[LinkEvent.CONNECT_FAILED] += 1
        self._retry(dial)

    # Time

    def _check(self) -> None:
        """Keep the connections alive, and drop the silent and the idle ones."""
        self._check_call = self._reactor.callLater(CHECK_SECONDS, self._check)
        for session in list(self._sessions):
            session.keep_alive()
            if session.is_silent():
                self._drop_silent(session)
        now = self._reactor.seconds()
        for dial in list(self._dials_by_address.values()):
            if not dial.kept and now - dial.last_used >= IDLE_SECONDS:
                self._forget(dial)
            elif dial.kept and self._is_unconnected(dial):
                self._retry(dial)

    def _is_unconnected(self, dial: _Dial) -> bool:
        idle = dial.session is None and dial.connector is None
        return idle and dial.instance not in self._sessions_by_instance

    def _drop_silent(self, session: PeerSession) -> None:
        self.counters[LinkEvent.SILENT] += 1
        dial = self._dials_by_address.get(session.address)
        if dial is not None:
            dial.replaces = session.ready
        self._remove(session)
        session.abort()

    def _remove(self, session: PeerSession) -> None:
        self._sessions.discard(session)
        instance = session.instance
        if self._sessions_by_instance.get(instance) is session:
            del self._sessions_by_instance[instance]

    # Reports of the sessions

    def session_ready(self, session: PeerSession) -> None:
        """Take a proven session, or close it when another one is to stay."""
        member = session.member
        dial = self._dials_by_address.get(session.address)
        if dial is not None:
            dial.instance = member.instance
            dial.backoff = FIRST_BACKOFF_SECONDS
            dial.replaces = False
        earlier = self._sessions_by_instance.get(member.instance)
        if earlier is not None:
            if not self._supersedes(session, earlier):
                self._remove(session)
                session.abort()
                return
            self._remove(earlier)
            earlier.abort()
        self._sessions_by_instance[member.instance] = session
        self.counters[LinkEvent.CONNECTED] += 1
        if self._on_connected is not None:
            self._guard("connected", self._on_connected, member)

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
        """Hand a message over."""
        step = f"handling of {type(message).__name__}"
        self._guard(step, self._on_message, session.instance, message)

    def _guard(self, step: str, handler: Callable[..., None], *args: Any) -> None:
        """Call a handler, whose fault must not end the connection."""
        try:
            handler(*args)
        except Exception as failed:  # counted, and shown as the last error
            self.counters[LinkEvent.HANDLER_FAILED] += 1
            self.last_error = CoordinationError(
                f"{type(failed).__name__}: {failed}", step=step, peer=str(args[0])
            )

    def session_refused(self, session: PeerSession, refused: CoordinationError) -> None:
        """Count an error of the peer and keep it to be shown."""
        decoded = isinstance(refused, DecodeError)
        self.counters[LinkEvent.NOT_DECODED if decoded else LinkEvent.REFUSED] += 1
        self.last_error = refused
        dial = self._dials_by_address.get(session.address)
        if isinstance(refused, OwnAddressError) and dial is not None:
            self._own_addresses.add(session.address)
            del self._dials_by_address[session.address]

    def session_dropped_batch(self, session: PeerSession) -> None:
        """Count a batch that a slow connection had no room for."""
        self.counters[LinkEvent.BATCH_DROPPED] += 1

    def session_closed(self, session: PeerSession) -> None:
        """Forget the session, and dial again when its address is to be kept."""
        self._remove(session)
        dial = self._dials_by_address.get(session.address)
        if dial is not None and dial.session is session:
            dial.session = None
            dial.connector = None
            self._retry(dial)


class _Accepting(ServerFactory):
    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def buildProtocol(self, addr: object) -> PeerSession:  # noqa: N802
        return self._links._build(None)


class _Dialling(ClientFactory):
    noisy = False

    def __init__(self, links: PeerLinks, dial: _Dial) -> None:
        self._links = links
        self._dial = dial

    def buildProtocol(self, addr: object) -> PeerSession:  # noqa: N802
        return self._links._build(self._dial)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not reason.check(error.UserError):
            self._links._connect_failed(self._dial)
