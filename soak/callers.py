"""Callers that send requests through the instances and note what they get."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.client import Agent, HTTPConnectionPool

from pomeloglade_platform_standin.caller import SEAL, request_headers

from .fleet import Fleet, InstanceProcess

LIMIT_MS_BY_ROUTE = {
    "lookups": 2000,
    "bookings": 2000,
    "digests": 5000,
    "reports": 5000,
}
LEAVE_PART = 0.03
"""Part of the callers that leave before their answer."""

HOT_PART = 0.4
"""Part of the callers that use the account whose limit is low."""

OLD_KEY_PART = 0.2
"""Part of the callers that use a withdrawn key, once there is one."""


@dataclass(slots=True)
class Sent:
    """One attempt of a caller and its answer; instants are in seconds.

    ``complete`` tells that the body ended as its framing says.
    """

    attempt: str
    route: str
    account: str
    key: str
    instance: InstanceProcess
    at: float
    limit: float
    target: str
    tokens: int
    status: int | None = None
    sealed: bool = False
    body: bytes = b""
    complete: bool = False
    ended_at: float | None = None
    left: bool = False
    parts: list[bytes] = field(default_factory=list)


class Callers:
    """Sends requests of all kinds at a steady rate, on kept connections."""

    def __init__(self, fleet: Fleet, random: Random, *, per_second: float) -> None:
        self._fleet = fleet
        self._random = random
        self._pause = 1.0 / per_second
        self._pool = HTTPConnectionPool(fleet.reactor)
        self._pool.maxPersistentPerHost = 20
        # Repeated sendings would be the library's, not the callers'.
        self._pool.retryAutomatically = False
        self._agent = Agent(fleet.reactor, connectTimeout=1.0, pool=self._pool)
        self._stopped = False
        self.sent: list[Sent] = []

    def start(self) -> None:
        """Send until ``stop``."""
        if self._stopped:
            return
        self._send()
        pause = self._random.uniform(0.5, 1.5) * self._pause
        self._fleet.reactor.callLater(pause, self.start)

    def stop(self) -> "Deferred[None]":
        """Send no more, and close the kept connections."""
        self._stopped = True
        return self._pool.closeCachedConnections()

    def _send(self) -> None:
        random, fleet = self._random, self._fleet
        route = random.choices(sorted(LIMIT_MS_BY_ROUTE), (6, 1, 6, 1))[0]
        hot = random.random() < HOT_PART
        account = "hot" if hot else random.choice(("club", "league"))
        key = fleet.keys_by_account[account]
        old_keys = [old for name, _, old in fleet.revoked if name == account]
        if old_keys and random.random() < OLD_KEY_PART:
            key = random.choice(old_keys)
        attempt = f"{len(self.sent):016x}"
        prompt, output = random.randrange(200, 4000), random.randrange(200, 3000)
        streams = route in ("digests", "reports")
        limit_ms = LIMIT_MS_BY_ROUTE[route]
        sent = Sent(
            attempt=attempt,
            route=route,
            account=account,
            key=key,
            instance=random.choice(fleet.instances),
            at=fleet.reactor.seconds(),
            limit=limit_ms / 1000,
            target=f"/{route}/{random.randrange(1000)}?of={attempt}",
            tokens=prompt + output if streams else 0,
        )
        self.sent.append(sent)
        headers = request_headers(
            key=key,
            attempt=attempt,
            limit_ms=limit_ms,
            tokens=(prompt, output) if streams else None,
        )
        headers["Host"] = "api.example"
        answered = Deferred.fromCoroutine(self._answered(sent, headers))
        if random.random() < LEAVE_PART:
            fleet.reactor.callLater(
                random.uniform(0.01, 0.3), self._leave, sent, answered
            )
        # Twice the limit: a request that is held for so long is a finding.
        answered.addTimeout(2 * sent.limit, fleet.reactor)
        answered.addErrback(self._broke, sent)

    def _leave(self, sent: Sent, answered: Deferred) -> None:
        if sent.ended_at is None:
            sent.left = True
            answered.cancel()

    async def _answered(self, sent: Sent, headers: dict[str, str]) -> None:
        method = "GET" if sent.route == "lookups" else "POST"
        body = None if method == "GET" else sent.attempt.encode()
        url = f"http://{sent.instance.to_front.address}{sent.target}"
        response: Any = await treq.request(
            method, url, headers=headers, data=body, agent=self._agent
        )
        sent.status = response.code
        sent.sealed = response.headers.hasHeader(SEAL)
        await treq.collect(response, sent.parts.append)
        sent.body = b"".join(sent.parts)
        sent.complete = True
        sent.ended_at = self._fleet.reactor.seconds()

    def _broke(self, failure: Any, sent: Sent) -> None:
        sent.body = b"".join(sent.parts)
        if not failure.check(CancelledError) or not sent.left:
            sent.ended_at = self._fleet.reactor.seconds()
