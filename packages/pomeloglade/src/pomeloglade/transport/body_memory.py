"""A bound on the memory of the response bodies that are received as a whole."""

from ..errors import InvalidBackendResponseError
from .http_exchange import Exchange

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limit on one body. What is larger should be streamed."""

MAX_TOTAL_BYTES = 16 * 1024 * 1024
"""Limit on all bodies together: an eighth of the memory of the smallest machines."""

MAX_CONTROL_BODY_BYTES = 65_536
"""Limit on the answers to the router's own requests, which have a few hundred bytes."""


class BodyMemory:
    """Counts what is held of unfinished bodies, and cuts off the largest if needed.

    Servers in trouble may send without end. A limit for each body does not bound the
    memory of many at once, and a limit on their number would refuse sound ones.

    Examples
    --------
    >>> from .http_exchange import RequestHead
    >>> memory = BodyMemory(max_total=100)
    >>> large, small = (Exchange(RequestHead(b"GET", b"/", ()), b"") for _ in "ab")
    >>> memory.hold(large, 70)
    >>> memory.hold(small, 40)
    >>> large.failed, small.failed
    (True, False)
    """

    def __init__(self, *, max_total: int = MAX_TOTAL_BYTES) -> None:
        self._max_total = max_total
        self._bytes_by_exchange: dict[Exchange, int] = {}
        self.total = 0

    async def read_body(
        self, exchange: Exchange, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Wait for the whole body of a response.

        Raises ``InvalidBackendResponseError`` if it has more than ``max_bytes``, or if
        it is the largest of the unfinished bodies and these take too much memory.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while part := await exchange.read_chunk():
                size += len(part)
                if size > max_bytes:
                    raise _too_large(f"response body has more than {max_bytes} bytes")
                parts.append(part)
                self.hold(exchange, size)
            return b"".join(parts)
        finally:
            # An error's traceback would keep them until the next garbage collection.
            parts.clear()
            self.release(exchange)

    def hold(self, exchange: Exchange, size: int) -> None:
        """Set how many bytes are held of an exchange's body."""
        self.total += size - self._bytes_by_exchange.get(exchange, 0)
        self._bytes_by_exchange[exchange] = size
        while self.total > self._max_total:
            largest = max(self._bytes_by_exchange, key=self._bytes_by_exchange.get)
            text = f"response bodies take more than {self._max_total} bytes together"
            text += f", this one {self._bytes_by_exchange[largest]}"
            self.release(largest)
            largest.fail(_too_large(text))

    def release(self, exchange: Exchange) -> None:
        """Count nothing for an exchange any more."""
        self.total -= self._bytes_by_exchange.pop(exchange, 0)


def _too_large(text: str) -> InvalidBackendResponseError:
    return InvalidBackendResponseError(text, step="answer")
