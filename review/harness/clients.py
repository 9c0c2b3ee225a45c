"""Stand-in of a client: one request on a new connection."""

import asyncio
import socket
from dataclasses import dataclass

from .http import read_head

INTERNET_SEGMENT_BYTES = 1460
"""Loopback has segments of 64 KB, with which a kernel buffers megabytes unread."""


@dataclass(frozen=True)
class Outcome:
    """What a client saw: the status, and whether the whole body came.

    ``status`` is 0 if the connection ended without an answer.
    """

    status: int
    whole: bool
    body_bytes: int = 0
    detail: str = ""


async def ask(
    address: tuple[str, int],
    *,
    method: str,
    path: str,
    attempt: str,
    key: str = "",
    time_limit: float,
    tokens: tuple[int, int] | None = None,
    bytes_a_second: float | None = None,
    pause: float = 0.0,
    receive_buffer: int = 16_384,
) -> Outcome:
    """Send a request and read its answer.

    It is read at most so fast if a rate is given, and after the head not for ``pause``
    seconds.
    """
    loop = asyncio.get_running_loop()
    raw = socket.socket()
    raw.setblocking(False)
    slow = bytes_a_second is not None or pause > 0
    if slow:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, INTERNET_SEGMENT_BYTES
        )
    status, progress = 0, _Progress()
    limit = receive_buffer if slow else 2**16
    try:
        async with asyncio.timeout(time_limit):
            await loop.sock_connect(raw, address)
            reader, writer = await asyncio.open_connection(sock=raw, limit=limit)
            head = f"{method} {path} HTTP/1.1\r\nHost: api.example\r\n"
            head += f"X-Pomeloglade-Attempt-Id: {attempt}\r\n"
            head += f"X-Pomeloglade-Deadline-Ms: {time_limit * 1000:.0f}\r\n"
            if key:
                head += f"Authorization: Bearer {key}\r\n"
            if tokens is not None:
                head += "X-Pomeloglade-Model: m\r\n"
                head += f"X-Pomeloglade-Token-Counts: {tokens[0]},{tokens[1]}\r\n"
                parts = f"{attempt}:{tokens[0]}"
                head += f"X-Pomeloglade-Prompt-Prefix: {parts}\r\n"
            if method == "POST":
                head += "Content-Length: 0\r\n"
            writer.write(head.encode() + b"\r\n")
            first, headers = await read_head(reader)
            status = int(first.split(" ")[1])
            await asyncio.sleep(pause)
            await _read_body(reader, headers, bytes_a_second, progress)
            return Outcome(status, progress.whole, progress.received)
    except TimeoutError:
        return Outcome(status, False, progress.received, "time limit")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Outcome(0, False, detail=type(error).__name__)
    finally:
        raw.close()


@dataclass
class _Progress:
    """The bytes of the body that came, and whether these were all."""

    received: int = 0
    whole: bool = False


async def _read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    rate: float | None,
    progress: _Progress,
) -> None:
    step = 0.05
    size = 65_536 if rate is None else max(1, int(rate * step))
    chunked = headers.get("transfer-encoding") == "chunked"
    length = int(headers.get("content-length", 0))
    tail = b""
    try:
        while chunked or progress.received < length:
            if rate is not None:
                await asyncio.sleep(step)
            left = size if chunked else min(size, length - progress.received)
            data = await reader.read(left)
            if not data:
                return
            progress.received += len(data)
            tail = (tail + data)[-16:]
            if chunked and tail.endswith(b"0\r\n\r\n"):
                break
        progress.whole = True
    except ConnectionError:
        return
