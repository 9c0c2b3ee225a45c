"""Callers that read large answers slowly, after a pause, or not at all."""

import socket
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol

from pomeloglade_platform_standin.backend import LARGE_TARGET
from pomeloglade_platform_standin.caller import SERVER_SEAL, request_headers

from .callers import Callers, SentRequest
from .fleet import Fleet, InstanceProcess

RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1460
"""With the segments of the loopback, the kernel would take whole answers unread."""

START_INTERVAL_SECONDS = 0.025
TIMEOUT_SECONDS = 3.5
"""Time after which such a caller leaves."""

PACES = ((2.5, 0.0), (0.0, 0.03), (None, 0.0))
"""The pauses in seconds after an answer's first part and after each later one. The last
caller reads nothing after the first part."""


class SlowReaders:
    """Sends requests from slow callers to one instance, past the soak's proxies.

    A caller that reads on must get the whole answer, unless its instance was disturbed
    meanwhile.
    """

    def __init__(
        self, fleet: Fleet, callers: Callers, instance: InstanceProcess
    ) -> None:
        self._fleet = fleet
        self._callers = callers
        self._instance = instance

    def start(self, seconds: float) -> None:
        """Start callers for a time."""
        for number in range(round(seconds / START_INTERVAL_SECONDS)):
            pauses = PACES[number % len(PACES)]
            self._fleet.reactor.callLater(
                number * START_INTERVAL_SECONDS, self._send, *pauses
            )

    def _send(self, first_pause: float | None, pause: float) -> None:
        fleet, sent = self._fleet, self._callers.sent
        attempt = f"{len(sent):016x}"
        request = SentRequest(
            attempt=attempt,
            route="lookups",
            account="club",
            key=fleet.keys_by_account["club"],
            instance=self._instance,
            sent_at=fleet.reactor.seconds(),
            timeout=TIMEOUT_SECONDS,
            target=f"{LARGE_TARGET}?of={attempt}",
            tokens=0,
        )
        sent.append(request)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        with client:
            try:
                client.connect(self._instance.front_proxy.target)
            except OSError:
                request.ended_at = fleet.reactor.seconds()
                return
            client.setblocking(False)
            factory = Factory.forProtocol(
                lambda: _Reader(fleet, request, first_pause, pause)
            )
            fleet.reactor.adoptStreamConnection(
                client.fileno(), socket.AF_INET, factory
            )


class _Reader(Protocol):
    """Sends one request, and reads its answer in parts."""

    def __init__(
        self,
        fleet: Fleet,
        request: SentRequest,
        first_pause: float | None,
        pause: float,
    ) -> None:
        self._fleet = fleet
        self._request = request
        self._first_pause = first_pause
        self._pause = pause
        self._h11 = h11.Connection(h11.CLIENT)

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        headers = request_headers(
            key=self._request.key,
            attempt=self._request.attempt,
            timeout_ms=round(self._request.timeout * 1000),
            tokens=None,
        )
        head = h11.Request(
            method="GET",
            target=self._request.target,
            headers=[("Host", "api.example"), *headers.items()],
        )
        self.transport.write(self._h11.send(head) + self._h11.send(h11.EndOfMessage()))
        self._fleet.reactor.callLater(self._request.timeout - 0.1, self._leave)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of the answer, and pause."""
        request = self._request
        pause = self._first_pause if request.status is None else self._pause
        self._h11.receive_data(data)
        while (event := self._h11.next_event()) is not h11.NEED_DATA:
            self._receive(event)
            if request.complete:
                self.transport.loseConnection()
                return
        self.transport.pauseProducing()
        if pause is not None:
            self._fleet.reactor.callLater(pause, self._resume)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Check that the answer came whole."""
        request, fleet = self._request, self._fleet
        now = request.ended_at = fleet.reactor.seconds()
        disturbed = any(
            request.sent_at - 1.0 < at < now for at in request.instance.disturbed_at
        )
        if request.status == 200 and not (
            request.complete or request.disconnected or disturbed
        ):
            fleet.violations.append(f"{request.attempt} was broken off while read")

    def _receive(self, event: Any) -> None:
        request = self._request
        if isinstance(event, h11.Response):
            request.status = event.status_code
            names = {name.lower() for name, _ in event.headers}
            request.sealed = SERVER_SEAL.lower().encode() in names
        elif isinstance(event, h11.Data):
            request.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            request.complete = True

    def _resume(self) -> None:
        if self._request.ended_at is None:
            self.transport.resumeProducing()

    def _leave(self) -> None:
        if self._request.ended_at is None:
            self._request.disconnected = True
            self.transport.abortConnection()
