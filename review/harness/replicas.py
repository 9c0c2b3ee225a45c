"""Stand-ins of replicas: plain services, and engines that read and generate."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from .http import Answer, Request, serve
from .store import Store

HEARTBEAT_SECONDS = 1.2
QUEUE = 24


@dataclass(frozen=True)
class Run:
    """A request that a replica began to work on."""

    at: float
    attempt: str
    tenant: str
    tokens: int


class Replica:
    """A replica that answers each request after ``work_seconds`` with ``body``.

    One with a ``stage`` is an engine: its answer is a stream of one event.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        store: Store,
        record: Callable[[str], None],
        *,
        service: str,
        zone: str,
        slots: int,
        work_seconds: float,
        body: bytes = b"ok",
        stage: str = "",
        version: str = "v1",
    ) -> None:
        self.id = f"i-{next(self.numbers):08x}"
        self.runs: list[Run] = []
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._slots = slots
        self._work_seconds = work_seconds
        self._body = body
        self._stage = stage
        self.version = version
        self.zone = zone
        self.deadly = ""
        self.on_crash: Callable[["Replica"], None] = lambda replica: None
        self._connections: set[asyncio.StreamWriter] = set()
        self._state = "ready"
        self._crashed = False
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._started_ms = round(time.time() * 1000)

    async def start(self, host: str) -> None:
        """Listen and register."""
        self._server, port = await serve(
            host, self._answer, self._connections
        )
        self._address = f"{host}:{port}"
        self._task = asyncio.ensure_future(self._beat())

    async def drain(self, seconds: float) -> None:
        """Report that it leaves, serve on for a time, and leave."""
        self._state = "draining"
        await self._store.put(f"servers/{self.id}", self._entry(0))
        await asyncio.sleep(seconds)
        if not self._crashed:
            self._end()
            await self._store.delete(f"servers/{self.id}")

    def crash(self) -> None:
        """End without a word: all connections are reset."""
        if self._crashed:
            return
        self._crashed = True
        self._end()
        self.on_crash(self)

    def _end(self) -> None:
        self._task.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _beat(self) -> None:
        for sequence in itertools.count(1):
            await self._store.put(f"servers/{self.id}", self._entry(sequence))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _entry(self, sequence: int) -> bytes:
        entry = {
            "service": self._service,
            "address": self._address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self._state,
            "coldRemainingMs": 0,
            "born": self._started_ms,
            "seq": sequence,
        }
        if self._stage:
            entry["stage"] = self._stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps(entry).encode()

    async def _answer(self, request: Request) -> Answer | None:
        attempt = request.headers.get("x-pomeloglade-attempt-id", "")
        headers = {"X-Pomeloglade-Server-Load": self._load()}
        if attempt:
            headers["X-Pomeloglade-Attempt-Id"] = attempt
        if request.headers.get("x-pomeloglade-expect-instance", self.id) != self.id:
            not_run = {"X-Pomeloglade-Instance-Id": self.id}
            return Answer(421, headers | not_run)
        if request.path == "/health":
            return Answer(200, headers | {"X-Pomeloglade-Instance-Id": self.id})
        if request.path == "/v1/report":
            return Answer(200, headers, self._report())
        if self._waiting >= QUEUE:
            return Answer(503, headers | {"X-Pomeloglade-Not-Executed": "1"})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            counts = request.headers.get("x-pomeloglade-token-counts", "")
            tokens = sum(int(each) for each in counts.split(",")) if counts else 0
            tenant = request.headers.get("x-pomeloglade-tenant", "")
            self.runs.append(Run(time.monotonic(), attempt, tenant, tokens))
            self._record(f"replica {self.id}: runs {attempt} of {tenant} ({tokens})")
            await asyncio.sleep(self._work_seconds)
            if self.deadly and request.path == self.deadly:
                self.crash()
                return None
        finally:
            self._running -= 1
            self._free.release()
        headers["X-Pomeloglade-Server-Seal"] = f"{self.id}.{attempt}"
        if self._stage:
            headers["Content-Type"] = "text/event-stream"
            headers["X-Pomeloglade-Weight-Versions"] = "1"
            return Answer(200, headers, b"id: 1\ndata: " + self._body + b"\n\n")
        return Answer(200, headers, self._body)

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._slots}"

    def _report(self) -> bytes:
        report = {
            "stage": self._stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": self._waiting,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "kvHandles": 0,
        }
        return json.dumps(report).encode()
