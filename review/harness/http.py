"""A small HTTP/1.1 server for the stand-ins, one coroutine a request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote


@dataclass
class Request:
    """A request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        return unquote(self.target.partition("?")[0])

    @property
    def query(self) -> dict[str, str]:
        return dict(parse_qsl(self.target.partition("?")[2]))


@dataclass
class Answer:
    """An answer with a length; ``None`` in its place drops the connection."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Answer | None]]

SEND_PART = 65_536


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    """Read one request; the router always sends bodies with a length."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body, writer)


async def serve(
    host: str,
    handler: Handler,
    connections: set[asyncio.StreamWriter] | None = None,
) -> tuple[asyncio.Server, int]:
    """Listen on a free port, answer requests with ``handler``, and return the port.

    A handler whose connection is closed meanwhile is cancelled. ``connections`` is
    kept up to date with the open ones.
    """
    known = set() if connections is None else connections

    async def connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        known.add(writer)
        try:
            while True:
                request = await read_request(reader, writer)
                answer = await _until_closed(handler(request), reader)
                if answer is None:
                    writer.transport.abort()
                    return
                head = f"HTTP/1.1 {answer.status} -\r\n"
                for name, value in answer.headers.items():
                    head += f"{name}: {value}\r\n"
                head += f"Content-Length: {len(answer.body)}\r\n\r\n"
                writer.write(head.encode("latin-1") + answer.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, _ClosedError):
            pass
        finally:
            known.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, host, 0, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class _ClosedError(Exception):
    """The peer has closed the connection before the answer."""


async def _until_closed(
    handling: Awaitable[Answer | None], reader: asyncio.StreamReader
) -> Answer | None:
    task = asyncio.ensure_future(handling)
    while not task.done():
        await asyncio.wait([task], timeout=0.02)
        if reader.at_eof() or reader.exception() is not None:
            task.cancel()
            raise _ClosedError
    return task.result()
