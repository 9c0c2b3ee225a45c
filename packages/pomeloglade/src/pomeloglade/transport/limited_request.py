"""HTTP requests with a limit on the size of their body."""

from collections.abc import Callable

from twisted.web.resource import IResource
from twisted.web.server import Request, Site

TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n"
    b"Connection: close\r\n\r\n%s"
)


class LimitedRequest(Request):
    """Refuses a request as soon as its body is known to be too large.

    ``site.max_body_bytes`` is the limit and ``site.refuse_body()`` returns the
    JSON of the refusal.
    """

    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the declared length of the body."""
        if length is not None and length > self.channel.site.max_body_bytes:
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Check the size received so far and store a part of the body."""
        self._received_bytes += len(data)
        if self._received_bytes > self.channel.site.max_body_bytes:
            self._refuse()
            return
        super().handleContentChunk(data)

    def _refuse(self) -> None:
        body = self.channel.site.refuse_body()
        self.channel.transport.write(TOO_LARGE_RESPONSE % (len(body), body))
        self.channel.loseConnection()


class LimitedSite(Site):
    """A site with a limit on the size of request bodies.

    Parameters
    ----------
    resource : IResource
        The root resource.
    max_body_bytes : int
        Largest body accepted.
    refuse_body : callable
        Counts the refusal and returns its JSON body.
    """

    def __init__(
        self,
        resource: IResource,
        max_body_bytes: int,
        refuse_body: Callable[[], bytes],
    ) -> None:
        super().__init__(resource, requestFactory=LimitedRequest)
        self.max_body_bytes = max_body_bytes
        self.refuse_body = refuse_body
        self.displayTracebacks = False
