"""One websocket connection to another instance."""

import os
import typing
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from automat import TypeMachineBuilder
from twisted.internet import interfaces
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from websockets.client import ClientProtocol
from websockets.exceptions import ProtocolError
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.peer import PeerMessage

from ..protocol.peer_codec import decode_batch, encode, join
from ..protocol.peer_hello import (
    NONCE_BYTES,
    Hello,
    KeepAlive,
    Proof,
    is_proof,
    proof,
)

MAX_FRAME_BYTES = 1_048_576
BATCH_BYTES = 262_144
"""Messages of one turn of the loop go into frames of about this size."""

MAX_BUFFER_BYTES = 1_048_576
"""Batches that wait for a slow connection, before the oldest are dropped."""

KEEP_ALIVE_SECONDS = 1.0
SILENCE_SECONDS = 3.0
HANDSHAKE_SECONDS = 5.0


class PeerProtocolError(CoordinationError):
    """A peer that breaks the protocol; its connection is closed."""


class OwnAddressError(PeerProtocolError):
    """The address dialled is the instance's own."""


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """What a session needs to know of its own instance.

    ``own`` is a callable because the incarnation can change while connections are
    open. ``secret`` is shared by the fleet and never sent.
    """

    own: Callable[[], Member]
    secret: str
    clock: Clock


class SessionOwner(typing.Protocol):
    """What a session reports to."""

    def session_ready(self, session: "PeerSession") -> None:
        """Take a session whose peer is known and proven."""

    def session_received(self, session: "PeerSession", message: PeerMessage) -> None:
        """Take a message."""

    def session_refused(self, session: "PeerSession", error: CoordinationError) -> None:
        """Count an error of the peer."""

    def session_dropped_batch(self, session: "PeerSession") -> None:
        """Count a batch that a slow connection had no room for."""

    def session_closed(self, session: "PeerSession") -> None:
        """Forget the session."""


class _Inputs(typing.Protocol):
    def opened(self) -> None:
        """Take note that the websocket is open."""

    def hello(self, message: Hello) -> None:
        """Take the hello of the peer."""

    def proof(self, message: Proof) -> None:
        """Take the proof of the peer."""

    def other(self, message: PeerMessage) -> None:
        """Take any other message."""


@implementer(interfaces.IPushProducer)
class PeerSession(Protocol):
    """Speaks with one peer: the websocket, the hellos, then batches of messages.

    Parameters
    ----------
    settings : SessionSettings
        The own instance.
    owner : SessionOwner
        Gets the messages.
    address : str
        The address dialled; empty for an accepted connection.
    replaces : bool
        Whether an earlier connection to this address went silent.
    """

    def __init__(
        self,
        settings: SessionSettings,
        owner: SessionOwner,
        address: str = "",
        *,
        replaces: bool = False,
    ) -> None:
        self.address = address
        self.member: Member | None = None
        self.replaces = replaces
        self.ready = False
        self.closed = False
        self.created = settings.clock.seconds()
        self.last_received = self.created
        self.last_sent = self.created
        self._settings = settings
        self._owner = owner
        self._websocket = _websocket(address)
        self._own_hello: Hello | None = None
        self._peer_hello: Hello | None = None
        self._pending: list[bytes] = []
        self._flushing = False
        self._paused = False
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._machine = _machine(self)

    @property
    def instance(self) -> str:
        """The peer's name, or its address while the name is not known."""
        return self.member.instance if self.member else self.address

    # Twisted's callbacks

    def connectionMade(self) -> None:  # noqa: N802
        """Begin the websocket's handshake."""
        self.transport.registerProducer(self, True)
        if isinstance(self._websocket, ClientProtocol):
            self._websocket.send_request(self._websocket.connect())
            self._write()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes of the peer."""
        if self.closed:
            return
        try:
            self._websocket.receive_data(data)
            for event in self._websocket.events_received():
                self._event(event)
        except (CoordinationError, ProtocolError, EOFError) as error:
            self._refuse(error)
        if not self.closed:
            self._write()
            self._check_handshake()

    def connectionLost(self, reason: Failure = None) -> None:  # noqa: N802
        """Tell the owner."""
        self.closed = True
        self.ready = False
        self._owner.session_closed(self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep batches back while the connection is slow."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the batches kept back."""
        self._paused = False
        while self._buffer and not self._paused:
            batch = self._buffer.popleft()
            self._buffered_bytes -= len(batch)
            self._send_frame(batch)

    def stopProducing(self) -> None:  # noqa: N802
        """Drop what is kept back."""
        self._buffer.clear()

    # Sending

    def send(self, message: PeerMessage) -> None:
        """Queue a message for the frame at the end of this turn of the loop."""
        self._pending.append(encode(message))
        if not self._flushing:
            self._flushing = True
            self._settings.clock.callLater(0, self._flush)

    def keep_alive(self) -> None:
        """Show the peer that the connection works, when nothing else did."""
        silent = self._settings.clock.seconds() - self.last_sent
        if self.ready and silent >= KEEP_ALIVE_SECONDS:
            self.send(KeepAlive())

    def is_silent(self) -> bool:
        """Tell whether nothing came for too long, or the hellos are not done."""
        now = self._settings.clock.seconds()
        if not self.ready:
            return now - self.created >= HANDSHAKE_SECONDS
        return now - self.last_received >= SILENCE_SECONDS

    def abort(self) -> None:
        """Close the connection at once; what is queued is lost."""
        self.closed = True
        self.ready = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _flush(self) -> None:
        self._flushing = False
        batch: list[bytes] = []
        size = 0
        for encoded in self._pending:
            if batch and size + len(encoded) > BATCH_BYTES:
                self._send_batch(join(batch))
                batch, size = [], 0
            batch.append(encoded)
            size += len(encoded)
        self._pending = []
        if batch:
            self._send_batch(join(batch))

    def _send_batch(self, batch: bytes) -> None:
        if self.closed:
            return
        if not self._paused:
            self._send_frame(batch)
            return
        self._buffer.append(batch)
        self._buffered_bytes += len(batch)
        while self._buffered_bytes > MAX_BUFFER_BYTES:
            self._buffered_bytes -= len(self._buffer.popleft())
            self._owner.session_dropped_batch(self)

    def _send_frame(self, batch: bytes) -> None:
        if self.closed:
            return
        self.last_sent = self._settings.clock.seconds()
        self._websocket.send_binary(batch)
        self._write()

    def _write(self) -> None:
        for data in self._websocket.data_to_send():
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()

    # Receiving

    def _event(self, event: object) -> None:
        if isinstance(event, Request):
            self._websocket.send_response(self._websocket.accept(event))
            if self._websocket.handshake_exc is None:
                self._machine.opened()
        elif isinstance(event, Response):
            self._machine.opened()
        elif isinstance(event, Frame):
            self._frame(event)

    def _frame(self, frame: Frame) -> None:
        if frame.opcode in (Opcode.PING, Opcode.PONG, Opcode.CLOSE):
            return
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise self._error("a frame is neither whole nor binary")
        self.last_received = self._settings.clock.seconds()
        batch = decode_batch(bytes(frame.data))
        for error in batch.errors:
            self._owner.session_refused(self, error)
        for message in batch.messages:
            if not self.closed:
                self._message(message)

    def _message(self, message: PeerMessage) -> None:
        if isinstance(message, Hello):
            self._machine.hello(message)
        elif isinstance(message, Proof):
            self._machine.proof(message)
        else:
            self._machine.other(message)

    def _check_handshake(self) -> None:
        if self._websocket.handshake_exc is not None:
            self._refuse(self._websocket.handshake_exc)
        elif self._websocket.parser_exc is not None:
            self._refuse(self._websocket.parser_exc)

    def _refuse(self, error: Exception) -> None:
        if not isinstance(error, CoordinationError):
            error = self._error(f"no websocket: {error}")
        self._owner.session_refused(self, error)
        self.abort()

    def _error(self, message: str) -> PeerProtocolError:
        return PeerProtocolError(message, step="peer link", peer=self.instance)

    # Steps of the state machine

    def _greet(self) -> None:
        own = self._settings.own()
        self._own_hello = Hello(
            own.instance,
            own.availability_zone,
            own.incarnation,
            own.address,
            os.urandom(NONCE_BYTES),
            self.replaces,
        )
        self.send(self._own_hello)

    def _prove(self, hello: Hello) -> None:
        if len(hello.nonce) != NONCE_BYTES:
            raise self._error(f"a nonce of {len(hello.nonce)} bytes")
        if hello.instance == self._own_hello.instance:
            if not self.address:
                return  # the dialling end closes, as it knows which address it was
            raise OwnAddressError(
                f"{hello.instance} is connected to itself",
                step="peer link",
                peer=self.instance,
            )
        self._peer_hello = hello
        self.send(proof(self._settings.secret, self._own_hello, hello))

    def _verify(self, message: Proof) -> None:
        hello = self._peer_hello
        if not is_proof(message, self._settings.secret, hello, self._own_hello):
            raise self._error(f"{hello.instance} does not know the shared secret")
        self.member = hello.member
        self.replaces = self.replaces or hello.replaces
        self.ready = True
        self._owner.session_ready(self)

    def _deliver(self, message: PeerMessage) -> None:
        if not isinstance(message, KeepAlive):
            self._owner.session_received(self, message)

    def _out_of_order(self, message: PeerMessage) -> None:
        raise self._error(f"{type(message).__name__} came out of order")


def _websocket(address: str) -> ClientProtocol | ServerProtocol:
    if address:
        return ClientProtocol(parse_uri(f"ws://{address}/"), max_size=MAX_FRAME_BYTES)
    return ServerProtocol(max_size=MAX_FRAME_BYTES)


def _build() -> Callable[[PeerSession], _Inputs]:
    """Build the machine: the websocket opens, hellos, proofs, then messages."""
    builder = TypeMachineBuilder(_Inputs, PeerSession)
    opening = builder.state("opening")
    greeting = builder.state("greeting")
    proving = builder.state("proving")
    ready = builder.state("ready")

    @opening.upon(_Inputs.opened).to(greeting)
    def greet(inputs: _Inputs, session: PeerSession) -> None:
        session._greet()

    @greeting.upon(_Inputs.hello).to(proving)
    def prove(inputs: _Inputs, session: PeerSession, message: Hello) -> None:
        session._prove(message)

    @proving.upon(_Inputs.proof).to(ready)
    def verify(inputs: _Inputs, session: PeerSession, message: Proof) -> None:
        session._verify(message)

    @ready.upon(_Inputs.other).loop()
    def deliver(inputs: _Inputs, session: PeerSession, message: PeerMessage) -> None:
        session._deliver(message)

    def refuse(inputs: _Inputs, session: PeerSession, message: PeerMessage) -> None:
        session._out_of_order(message)

    hello, shown, other = _Inputs.hello, _Inputs.proof, _Inputs.other
    misplaced: Sequence[tuple[typing.Any, tuple[typing.Any, ...]]] = (
        (greeting, (shown, other)),
        (proving, (hello, other)),
        (ready, (hello, shown)),
    )
    for state, kinds in misplaced:
        for kind in kinds:
            state.upon(kind).loop()(refuse)
    return builder.build()


_machine = _build()
