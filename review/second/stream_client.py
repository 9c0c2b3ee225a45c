"""A client that sends streaming requests on a channel that it keeps open."""

import asyncio
import contextlib
import re
import time
from dataclasses import dataclass, field

from fleet import caller_headers
from web import read_headers

TIME_LIMIT_MS = 14_000


@dataclass
class Attempt:
    """What a client has sent and received of one attempt."""

    id: str
    entry: object
    sent: float
    kept: bool
    status: int | None = None
    words: list[str] = field(default_factory=list)
    last_id: int = 0
    end: str = "none"
    ended: float = 0.0
    retry_after: float = 0.1


class StreamClient:
    """Sends one request after the other on a channel, and keeps it while it is open.

    Parameters
    ----------
    patience : float
        Seconds without an event after which the client abandons a stream.
    """

    def __init__(self, entry, *, tokens: tuple[int, int], patience: float) -> None:
        self.entry = entry
        self._tokens = tokens
        self._patience = patience
        self._channel = None

    async def attempt(
        self, attempt_id: str, body: bytes, after: int = 0, *, target: str
    ) -> Attempt:
        """Send a request, which goes on after an event of its stream, if any."""
        kept = self._channel is not None
        attempt = Attempt(attempt_id, self.entry, time.monotonic(), kept, last_id=after)
        try:
            async with asyncio.timeout(TIME_LIMIT_MS / 1000):
                await self._exchange(attempt, body, after, target)
        except TimeoutError:
            attempt.end = "abandoned by the client"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            attempt.end = f"cut ({type(error).__name__})"
        attempt.ended = time.monotonic()
        if not attempt.end.startswith(("complete", "refused")):
            self.close()
        return attempt

    def close(self) -> None:
        """Close the channel."""
        channel, self._channel = self._channel, None
        if channel is not None:
            with contextlib.suppress(Exception):
                channel[1].close()

    async def _exchange(
        self, attempt: Attempt, body: bytes, after: int, target: str
    ) -> None:
        if self._channel is None:
            host, _, port = self.entry.front.rpartition(":")
            self._channel = await asyncio.open_connection(host, int(port))
        reader, writer = self._channel
        prompt, output = self._tokens
        headers = {
            **caller_headers(attempt.id, TIME_LIMIT_MS),
            "X-Pomeloglade-Model": "m",
            "X-Pomeloglade-Token-Counts": f"{prompt},{output}",
            "X-Pomeloglade-Prompt-Prefix": f"5c1e07a2:200,{attempt.id}:{prompt - 200}",
            "Content-Length": str(len(body)),
        }
        if after:
            headers["Last-Event-Id"] = str(after)
        lines = [f"POST {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        status_line = await asyncio.wait_for(reader.readline(), self._patience)
        attempt.status = int(status_line.split()[1]) if status_line else None
        if attempt.status is None:
            raise ConnectionResetError("closed without an answer")
        received = await read_headers(reader)
        close = received.get("connection", "").lower() == "close"
        if received.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(received.get("content-length", "0")))
            attempt.retry_after = float(received.get("retry-after", "0.1"))
            attempt.end = f"refused with {attempt.status}"
        else:
            await self._read_events(attempt, reader)
            attempt.end = "complete"
        if close:
            self.close()

    async def _read_events(self, attempt: Attempt, reader) -> None:
        text = b""
        while True:
            size_line = await asyncio.wait_for(reader.readline(), self._patience)
            size = int(size_line.split(b";")[0] or b"x", 16)
            if not size:
                break
            text += await reader.readexactly(size)
            await reader.readline()
            *events, text = text.split(b"\n\n")
            for event in events:
                match = re.fullmatch(rb"id: (\d+)\ndata: (.*)", event)
                attempt.last_id = int(match[1])
                attempt.words += match[2].decode().split()
        await reader.readline()
