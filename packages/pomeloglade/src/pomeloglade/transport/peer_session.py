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

from ..protocol.peer_codec import decode_batch, encode, join_encoded
from ..protocol.peer_hello import (
    NONCE_BYTES,
    Hello,
    KeepAlive,
    Proof,
    compute_proof,
    verify_proof,
)

MAX_FRAME_BYTES = 1_048_576
MAX_BATCH_BYTES = 262_144
"""Size at which the messages of one reactor iteration are split into frames."""

MAX_SEND_BUFFER_BYTES = 1_048_576
"""Size of the batches buffered for a slow peer, above which the oldest are dropped."""

KEEP_ALIVE_INTERVAL_SECONDS = 1.0
SILENCE_TIMEOUT_SECONDS = 3.0
HANDSHAKE_TIMEOUT_SECONDS = 5.0


class PeerProtocolError(CoordinationError):
    """A peer violated the protocol; its connection is closed."""


class OwnAddressError(PeerProtocolError):
    """The dialled address belongs to this instance itself."""


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Settings that all sessions of this instance share.

    ``own`` is a callable because the incarnation can change while connections are
    open. ``secret`` is shared by all instances and never sent.
    """

    own: Callable[[], Member]
    secret: str
    clock: Clock


class SessionOwner(typing.Protocol):
    """Receives the events of its sessions."""

    def session_ready(self, session: "PeerSession") -> None:
        """Register a session whose peer has proved that it knows the secret."""

    def session_received(self, session: "PeerSession", message: PeerMessage) -> None:
        """Handle a message of the peer."""

    def session_error(self, session: "PeerSession", error: CoordinationError) -> None:
        """Count an error in what the peer sent."""

    def session_dropped_batch(self, session: "PeerSession") -> None:
        """Count a batch dropped because the send buffer was full."""

    def session_closed(self, session: "PeerSession") -> None:
        """Remove the session after its connection was lost."""


class _Inputs(typing.Protocol):
    def opened(self) -> None:
        """Handle the completed websocket handshake."""

    def hello(self, message: Hello) -> None:
        """Handle the hello of the peer."""

    def proof(self, message: Proof) -> None:
        """Handle the proof of the peer."""

    def other(self, message: PeerMessage) -> None:
        """Handle any other message."""


@implementer(interfaces.IPushProducer)
class PeerSession(Protocol):
    """Connection to one peer: websocket handshake, authentication, then messages.

    Parameters
    ----------
    settings : SessionSettings
        Identity and clock of this instance.
    owner : SessionOwner
        Receives the messages and errors.
    address : str
        The dialled address; empty for an accepted connection.
    replaces : bool
        Whether an earlier connection to this address timed out.
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
        self._send_buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._machine = _machine(self)

    @property
    def instance(self) -> str:
        """The name of the peer, or its address until the name is known."""
        return self.member.instance if self.member else self.address

    # Twisted's callbacks

    def connectionMade(self) -> None:  # noqa: N802
        """Start the websocket handshake on a dialled connection."""
        self.transport.registerProducer(self, True)
        if isinstance(self._websocket, ClientProtocol):
            self._websocket.send_request(self._websocket.connect())
            self._write()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes from the peer and handle the resulting frames."""
        if self.closed:
            return
        try:
            self._websocket.receive_data(data)
            for event in self._websocket.events_received():
                self._handle_event(event)
        except (CoordinationError, ProtocolError, EOFError) as error:
            self._fail(error)
        if not self.closed:
            self._write()
            self._check_handshake()

    def connectionLost(self, reason: Failure = None) -> None:  # noqa: N802
        """Report the lost connection to the owner."""
        self.closed = True
        self.ready = False
        self._owner.session_closed(self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffer batches while the transport is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the buffered batches."""
        self._paused = False
        while self._send_buffer and not self._paused:
            batch = self._send_buffer.popleft()
            self._buffered_bytes -= len(batch)
            self._send_frame(batch)

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the buffered batches."""
        self._send_buffer.clear()

    # Sending

    def send(self, message: PeerMessage) -> None:
        """Queue a message; those of one reactor iteration are sent as a batch."""
        self._pending.append(encode(message))
        if not self._flushing:
            self._flushing = True
            self._settings.clock.callLater(0, self._flush)

    def keep_alive(self) -> None:
        """Send a keep-alive message if nothing was sent for the interval."""
        silent = self._settings.clock.seconds() - self.last_sent
        if self.ready and silent >= KEEP_ALIVE_INTERVAL_SECONDS:
            self.send(KeepAlive())

    def has_timed_out(self) -> bool:
        """Return whether the peer or the handshake has timed out."""
        now = self._settings.clock.seconds()
        if not self.ready:
            return now - self.created >= HANDSHAKE_TIMEOUT_SECONDS
        return now - self.last_received >= SILENCE_TIMEOUT_SECONDS

    def abort(self) -> None:
        """Reset the connection; queued messages are lost."""
        self.closed = True
        self.ready = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _flush(self) -> None:
        self._flushing = False
        batch: list[bytes] = []
        size = 0
        for encoded in self._pending:
            if batch and size + len(encoded) > MAX_BATCH_BYTES:
                self._send_batch(join_encoded(batch))
                batch, size = [], 0
            batch.append(encoded)
            size += len(encoded)
        self._pending = []
        if batch:
            self._send_batch(join_encoded(batch))

    def _send_batch(self, batch: bytes) -> None:
        if self.closed:
            return
        if not self._paused:
            self._send_frame(batch)
            return
        self._send_buffer.append(batch)
        self._buffered_bytes += len(batch)
        while self._buffered_bytes > MAX_SEND_BUFFER_BYTES:
            self._buffered_bytes -= len(self._send_buffer.popleft())
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

    def _handle_event(self, event: object) -> None:
        if isinstance(event, Request):
            self._websocket.send_response(self._websocket.accept(event))
            if self._websocket.handshake_exc is None:
                self._machine.opened()
        elif isinstance(event, Response):
            self._machine.opened()
        elif isinstance(event, Frame):
            self._handle_frame(event)

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode in (Opcode.PING, Opcode.PONG, Opcode.CLOSE):
            return
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            raise self._protocol_error("frame is fragmented or not binary")
        self.last_received = self._settings.clock.seconds()
        batch = decode_batch(bytes(frame.data))
        for error in batch.errors:
            self._owner.session_error(self, error)
        for message in batch.messages:
            if not self.closed:
                self._handle_message(message)

    def _handle_message(self, message: PeerMessage) -> None:
        if isinstance(message, Hello):
            self._machine.hello(message)
        elif isinstance(message, Proof):
            self._machine.proof(message)
        else:
            self._machine.other(message)

    def _check_handshake(self) -> None:
        if self._websocket.handshake_exc is not None:
            self._fail(self._websocket.handshake_exc)
        elif self._websocket.parser_exc is not None:
            self._fail(self._websocket.parser_exc)

    def _fail(self, error: Exception) -> None:
        if not isinstance(error, CoordinationError):
            error = self._protocol_error(f"websocket protocol error: {error}")
        self._owner.session_error(self, error)
        self.abort()

    def _protocol_error(self, message: str) -> PeerProtocolError:
        return PeerProtocolError(message, step="peer link", peer=self.instance)

    # Actions of the state machine

    def _send_hello(self) -> None:
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

    def _send_proof(self, hello: Hello) -> None:
        if len(hello.nonce) != NONCE_BYTES:
            raise self._protocol_error(
                f"nonce has {len(hello.nonce)} bytes, expected {NONCE_BYTES}"
            )
        if hello.instance == self._own_hello.instance:
            if not self.address:
                return  # the dialling end closes, as only it knows the address
            raise OwnAddressError(
                f"{hello.instance} is connected to itself",
                step="peer link",
                peer=self.instance,
            )
        self._peer_hello = hello
        self.send(compute_proof(self._settings.secret, self._own_hello, hello))

    def _verify_proof(self, message: Proof) -> None:
        hello = self._peer_hello
        if not verify_proof(message, self._settings.secret, hello, self._own_hello):
            raise self._protocol_error(
                f"{hello.instance} does not know the shared secret"
            )
        self.member = hello.member
        self.replaces = self.replaces or hello.replaces
        self.ready = True
        self._owner.session_ready(self)

    def _deliver(self, message: PeerMessage) -> None:
        if not isinstance(message, KeepAlive):
            self._owner.session_received(self, message)

    def _reject_unexpected(self, message: PeerMessage) -> None:
        raise self._protocol_error(f"unexpected {type(message).__name__} in this state")


def _websocket(address: str) -> ClientProtocol | ServerProtocol:
    if address:
        return ClientProtocol(parse_uri(f"ws://{address}/"), max_size=MAX_FRAME_BYTES)
    return ServerProtocol(max_size=MAX_FRAME_BYTES)


def _build_machine() -> Callable[[PeerSession], _Inputs]:
    """Build the state machine: websocket open, hellos, proofs, then messages."""
    builder = TypeMachineBuilder(_Inputs, PeerSession)
    opening = builder.state("opening")
    greeting = builder.state("greeting")
    proving = builder.state("proving")
    ready = builder.state("ready")

    @opening.upon(_Inputs.opened).to(greeting)
    def greet(inputs: _Inputs, session: PeerSession) -> None:
        session._send_hello()

    @greeting.upon(_Inputs.hello).to(proving)
    def prove(inputs: _Inputs, session: PeerSession, message: Hello) -> None:
        session._send_proof(message)

    @proving.upon(_Inputs.proof).to(ready)
    def verify(inputs: _Inputs, session: PeerSession, message: Proof) -> None:
        session._verify_proof(message)

    @ready.upon(_Inputs.other).loop()
    def deliver(inputs: _Inputs, session: PeerSession, message: PeerMessage) -> None:
        session._deliver(message)

    def reject(inputs: _Inputs, session: PeerSession, message: PeerMessage) -> None:
        session._reject_unexpected(message)

    hello, proof, other = _Inputs.hello, _Inputs.proof, _Inputs.other
    unexpected: Sequence[tuple[typing.Any, tuple[typing.Any, ...]]] = (
        (greeting, (proof, other)),
        (proving, (hello, other)),
        (ready, (hello, proof)),
    )
    for state, inputs in unexpected:
        for each in inputs:
            state.upon(each).loop()(reject)
    return builder.build()


_machine = _build_machine()
