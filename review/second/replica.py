"""A stand-in of a plain replica, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from store import Store
from web import Request, Response, Server


@dataclass(frozen=True)
class Run:
    """A request that a replica began to work on."""

    at: float
    service: str
    replica: str
    born: int
    attempt: str
    target: str


class Replica:
    """A plain replica that registers itself in the store.

    Parameters
    ----------
    crashes_on : callable
        Tells whether a request crashes each replica that begins to run it.
    down_seconds : float
        Time from a crash to the next start.
    register_seconds : float
        Time from a start to the first registration.
    """

    def __init__(
        self,
        store: Store,
        runs: list[Run],
        *,
        name: str,
        service: str,
        zone: str,
        host: str,
        slots: int = 6,
        work_seconds: float = 0.03,
        crashes_on: Callable[[Request], bool] = lambda request: False,
        down_seconds: float = 3.0,
        register_seconds: float = 0.0,
    ) -> None:
        self.id, self.service, self.zone = name, service, zone
        self.crashes: list[float] = []
        self.starts: list[float] = []
        self.registrations: list[float] = []
        self._store, self._runs, self._host = store, runs, host
        self._slots, self._work_seconds = slots, work_seconds
        self._crashes_on = crashes_on
        self._down_seconds = down_seconds
        self._register_seconds = register_seconds
        self._server = Server(self._handle)
        self._running = 0
        self._born = 0
        self._up = False

    @property
    def address(self) -> str:
        """The address as ``HOST:PORT``; it stays the same after a crash."""
        return self._server.address

    async def start(self) -> None:
        """Listen, and register."""
        self._running = 0
        await self._server.listen(self._host, self._server.port)
        self._up = True
        self._born = round(time.time() * 1000)
        self.starts.append(time.monotonic())
        await asyncio.sleep(self._register_seconds)
        if self._up:
            self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self._born,
        }
        self.registrations.append(time.monotonic())
        self._store.write(f"servers/{self.id}", json.dumps(entry).encode())

    def crash(self) -> None:
        """End at once, and start again later under the same id."""
        self.crashes.append(time.monotonic())
        self._up = False
        self._server.stop()
        asyncio.ensure_future(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self._down_seconds)
        await self.start()

    async def _handle(self, request: Request) -> Response | None:
        headers = {"Content-Type": "text/plain"}
        expected = request.headers.get("x-pomeloglade-expect-instance", self.id)
        attempt = request.headers.get("x-pomeloglade-attempt-id", "")
        if attempt:
            headers["X-Pomeloglade-Attempt-Id"] = attempt
        if expected != self.id:
            return self._rejected(421, headers)
        if request.path == "/health":
            return Response(200, {"X-Pomeloglade-Instance-Id": self.id})
        if not attempt:
            return self._rejected(400, headers)
        if self._running >= self._slots:
            return self._rejected(503, headers)
        self._runs.append(
            Run(
                time.monotonic(),
                self.service,
                self.id,
                self._born,
                attempt,
                request.target,
            )
        )
        if self._crashes_on(request):
            self.crash()
            return None
        born = self._born
        self._running += 1
        await asyncio.sleep(self._work_seconds)
        if born != self._born or not self._up:
            return None
        self._running -= 1
        headers["X-Pomeloglade-Server-Seal"] = f"{self.id}.{attempt}"
        load = f"{self._running},0,{self._slots}"
        headers["X-Pomeloglade-Server-Load"] = load
        return Response(200, headers, f"{self.service} {attempt}".encode())

    @staticmethod
    def _rejected(status: int, headers: dict[str, str]) -> Response:
        return Response(status, {**headers, "X-Pomeloglade-Not-Executed": "1"})
