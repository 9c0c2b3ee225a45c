"""The response to one request of a caller."""

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from .http_exchange import Headers

if TYPE_CHECKING:
    from .http_site import CallerConnection


class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    repeatable : bool
        Whether the caller may repeat the request if the response is broken off.
    """

    def __init__(self, connection: "CallerConnection", started: float) -> None:
        self._connection = connection
        self.started = started
        self.head_sent = False
        self.done = False
        self.status = 0
        self.repeatable = True

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        length = ((b"Content-Length", b"%d" % len(body)),)
        self.write_head(status, headers + length)
        if body:
            self.write(body)
            self._connection.hold_unread(repeatable=self.repeatable)
        self.end()

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head; the body is chunked if there is no ``Content-Length``."""
        self.head_sent = True
        self.status = status
        self._connection.write_head(status, headers)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self._connection.write(data)

    def end(self) -> None:
        """Complete the body."""
        self.done = True
        self._connection.end()

    def abort_response(self) -> None:
        """Close the connection without completing the response."""
        self.done = True
        self._connection.abort_response()

    def wait_writable(self) -> "Deferred[None]":
        """Wait until the write buffer has room again."""
        return self._connection.wait_writable()
