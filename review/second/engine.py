"""A stand-in of a model replica, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass

from store import Store
from web import Request, Response, Server

TOKEN_SECONDS = 0.05
PREFILL_SECONDS = 0.02


@dataclass
class StreamRun:
    """A stream that an engine ran; ``last`` is the id of the last event that it sent."""

    at: float
    replica: str
    attempt: str
    after: int
    last: int
    ended: str = "open"


class Engine:
    """A prefill or decode engine that registers itself in the store.

    Parameters
    ----------
    tokens_per_event : int
        Tokens that one event of a stream contains. The id of an event is the number of
        tokens up to its end.
    total_tokens : int
        Length of each stream.
    """

    def __init__(
        self,
        store: Store,
        runs: list[StreamRun],
        *,
        name: str,
        service: str,
        stage: str,
        zone: str,
        host: str,
        slots: int = 12,
        tokens_per_event: int = 1,
        total_tokens: int = 40,
    ) -> None:
        self.id, self.service, self.stage, self.zone = name, service, stage, zone
        self._store, self._runs, self._host = store, runs, host
        self._slots = slots
        self._tokens_per_event = tokens_per_event
        self._total_tokens = total_tokens
        self._server = Server(self._handle)
        self._running = 0
        self._born = 0
        self._orders = 0
        self._handles = itertools.count(1)

    async def start(self) -> None:
        """Listen, and register."""
        self._running = 0
        await self._server.listen(self._host, self._server.port)
        self._born = round(time.time() * 1000)
        entry = {
            "service": self.service,
            "address": self._server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self._born,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }
        self._store.write(f"servers/{self.id}", json.dumps(entry).encode())

    def crash(self) -> None:
        """End at once, for good; the entry stays until it is removed."""
        self._server.stop()
        self._born = 0

    def unregister(self) -> None:
        """Remove the entry, as the platform does after three missing heartbeats."""
        self._store.remove(f"servers/{self.id}")

    async def _handle(self, request: Request) -> Response | None:
        attempt = request.headers.get("x-pomeloglade-attempt-id", "")
        headers = {"Content-Type": "application/json"}
        if attempt:
            headers["X-Pomeloglade-Attempt-Id"] = attempt
        expected = request.headers.get("x-pomeloglade-expect-instance", self.id)
        if expected != self.id:
            return self._rejected(421, headers)
        if request.path == "/v1/report":
            report = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": self._orders,
                "waiting": 0,
                "running": self._running,
                "kvUsed": 6000 * self._running,
                "kvTotal": 100_000,
                "kvHandles": 0,
                "born": self._born,
            }
            return Response(200, headers, json.dumps(report).encode())
        if request.path == "/v1/order":
            return Response(409, headers, b"{}")
        if request.path.startswith("/v1/kv-handle/"):
            return Response(200, headers, b"{}")
        if not attempt:
            return self._rejected(400, headers)
        if request.headers.get("x-pomeloglade-stage") == "prefill":
            if self.stage != "prefill":
                return self._rejected(421, headers)
            await asyncio.sleep(PREFILL_SECONDS)
            answer = {"kvHandle": f"h{next(self._handles)}", "tokens": 500, "version": 1}
            return Response(200, headers, json.dumps(answer).encode())
        if self.stage != "decode":
            return self._rejected(421, headers)
        if self._running >= self._slots:
            return self._rejected(503, headers)
        await self._stream(request, attempt)
        return None

    async def _stream(self, request: Request, attempt: str) -> None:
        """Send a stream in chunks, from after the event that the request names."""
        connection, born = request.connection, self._born
        after = int(request.headers.get("last-event-id", "0"))
        run = StreamRun(time.monotonic(), self.id, attempt, after, after)
        self._runs.append(run)
        self._running += 1
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Pomeloglade-Attempt-Id: {attempt}",
            f"X-Pomeloglade-Server-Seal: {self.id}.{attempt}",
            "X-Pomeloglade-Weight-Versions: 1",
            "Transfer-Encoding: chunked",
            "Connection: close",
            "",
            "",
        ]
        try:
            await connection.send("\r\n".join(head).encode())
            while run.last < self._total_tokens:
                tokens = min(self._tokens_per_event, self._total_tokens - run.last)
                await asyncio.sleep(TOKEN_SECONDS * tokens)
                if self._born != born:
                    run.ended = "crashed"
                    return
                if connection.reader.at_eof() or connection.writer.is_closing():
                    run.ended = "closed by the router"
                    return
                words = " ".join(
                    f"t{number}"
                    for number in range(run.last + 1, run.last + tokens + 1)
                )
                event = f"id: {run.last + tokens}\ndata: {words}\n\n".encode()
                await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
                run.last += tokens
            await connection.send(b"0\r\n\r\n")
            run.ended = "complete"
        except OSError:
            run.ended = "crashed" if self._born != born else "closed by the router"
        finally:
            if self._born == born:
                self._running -= 1

    @staticmethod
    def _rejected(status: int, headers: dict[str, str]) -> Response:
        return Response(status, {**headers, "X-Pomeloglade-Not-Executed": "1"})
