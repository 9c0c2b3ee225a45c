"""A small HTTP server for readiness and metrics."""

from collections.abc import Callable

import h11
from twisted.internet.protocol import Factory, Protocol

METRICS_PATH = b"/metrics"


class _PageConnection(Protocol):
    """Serves the requests of one connection."""

    def __init__(self, pages: "TextPages") -> None:
        self._pages = pages
        self._h11 = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests and respond to each when it is complete."""
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Request):
                    self._target = bytes(event.target).partition(b"?")[0]
                elif isinstance(event, h11.EndOfMessage):
                    self._respond()
                elif not isinstance(event, h11.Data):
                    return
        except h11.RemoteProtocolError:
            # Not HTTP: close without a response.
            self.transport.loseConnection()

    def _respond(self) -> None:
        status, body = self._pages.page(self._target)
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        response = h11.Response(status_code=status, headers=headers)
        data = self._h11.send(response) + self._h11.send(h11.Data(data=body))
        self.transport.write(data + self._h11.send(h11.EndOfMessage()))
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        else:
            self.transport.loseConnection()


class TextPages(Factory):
    """Serves the readiness page with status 200 or 503, and the metrics.

    Parameters
    ----------
    ready_path : bytes
        Path of the readiness page.
    ready : callable
        Returns whether the instance accepts new connections.
    metrics : callable
        Returns the metrics as text.
    """

    noisy = False

    def __init__(
        self,
        ready_path: bytes,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        self._ready_path = ready_path
        self._ready = ready
        self._metrics = metrics

    def buildProtocol(self, addr: object) -> _PageConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return _PageConnection(self)

    def page(self, path: bytes) -> tuple[int, bytes]:
        """Return the status code and body of the page at ``path``."""
        if path == self._ready_path:
            return (200, b"ready\n") if self._ready() else (503, b"not ready\n")
        if path == METRICS_PATH:
            return 200, self._metrics()
        return 404, b""
