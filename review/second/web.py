"""A small HTTP/1.1 server and client on asyncio, with the standard library only."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

MAX_LINE_BYTES = 1024 * 1024


@dataclass
class Request:
    """A request that was received completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: "Connection"

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The last value of each parameter of the query."""
        pairs = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in pairs.items()}


@dataclass
class Response:
    """A response; its length is added when it is sent."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Return headers by their names in lower case."""
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await read_headers(reader)
    return b"".join(parts)


class Connection:
    """A connection that a server has accepted."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def reset(self) -> None:
        """Break the connection off."""
        self.writer.transport.abort()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()


class Server:
    """Serves ``handle(request)``, which returns a response, or ``None`` for none."""

    def __init__(self, handle) -> None:
        self._handle = handle
        self._listener = None
        self.connections: set[Connection] = set()
        self.host, self.port = "", 0

    @property
    def address(self) -> str:
        """The address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    async def listen(self, host: str, port: int = 0) -> None:
        """Accept connections."""
        self._listener = await asyncio.start_server(
            self._serve, host, port, limit=MAX_LINE_BYTES
        )
        self.host = host
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse and reset all connections, as if the process had ended."""
        self._listener.close()
        for each in list(self.connections):
            each.reset()

    async def _serve(self, reader, writer) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while line := await reader.readline():
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = await read_headers(reader)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, connection)
                watch = asyncio.ensure_future(self._handle(request))
                response = await watch
                if response is None:
                    return
                await connection.send(encode(response))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            with contextlib.suppress(Exception):
                writer.close()


def encode(response: Response) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {response.status} X"]
    headers = {**response.headers, "Content-Length": str(len(response.body))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    seconds: float,
) -> Response | None:
    """Return the answer to a request on a new connection, ``None`` if there is none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            if body or method == "POST":
                headers = {**headers, "Content-Length": str(len(body))}
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            status = int((await reader.readline()).split()[1])
            received = await read_headers(reader)
            return Response(status, received, await read_body(reader, received))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()
