"""Callers that send requests through the instances and record the responses."""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.client import Agent, HTTPConnectionPool

from pomeloglade_platform_standin.caller import SERVER_SEAL, request_headers

from .fleet import Fleet, InstanceProcess

TIMEOUT_MS_BY_ROUTE = {
    "lookups": 2000,
    "bookings": 2000,
    "digests": 5000,
    "reports": 5000,
}
EVENT_END = b"\n\n"

ROUTE_WEIGHTS = (6, 1, 6, 1)
STREAM_WEIGHTS = (2, 1, 2, 8)
"""Weights of the routes in alphabetical order: usual ones, and many ``reports``."""

DISCONNECT_FRACTION = 0.03
"""Fraction of requests whose caller disconnects before the response is complete."""

HOT_FRACTION = 0.4
"""Fraction of requests from the account with the low rate limit."""

REVOKED_KEY_FRACTION = 0.2
"""Fraction of requests with a revoked API key, once their account has one."""

CRASHING_TARGET = "/lookups/crash"
CRASHING_PART = "c0"
CRASHING_LAST_PART = "c1"
CRASHING_PAUSE_SECONDS = 0.35
SHARED_PART = "aa"
TAKE_UP_PAUSE_SECONDS = 0.3
SESSIONS = 20


@dataclass(slots=True)
class SentRequest:
    """A request that a caller sent, and its response; times are in seconds.

    ``sealed`` is set if the response has a backend server's seal, ``complete`` once
    the body ended as its framing declares. A request that takes a stream up names the
    attempt that brought its first event, and follows the event ``resumed_after``. A
    request that crashes the servers that run it has what does so in ``culprit``.
    """

    attempt: str
    route: str
    account: str
    key: str
    instance: InstanceProcess
    sent_at: float
    timeout: float
    target: str
    tokens: int
    output_tokens: int = 0
    first_attempt: str | None = None
    resumed_after: int = 0
    prompt_parts: str = ""
    culprit: str = ""
    status: int | None = None
    sealed: bool = False
    body: bytes = b""
    complete: bool = False
    ended_at: float | None = None
    disconnected: bool = False
    body_parts: list[bytes] = field(default_factory=list)


class Callers:
    """Sends requests to all routes at a steady rate over persistent connections.

    A caller whose resumable stream is broken off takes it up at another instance.

    Attributes
    ----------
    persistent : bool
        Whether one that reaches no instance then tries again until it does.
    route_weights : tuple of int
        How often each route is called, relative to the others.
    """

    def __init__(self, fleet: Fleet, random: Random, *, per_second: float) -> None:
        self._fleet = fleet
        self._random = random
        self._pause = 1.0 / per_second
        self._pool = HTTPConnectionPool(fleet.reactor)
        self._pool.maxPersistentPerHost = 20
        # Retries by the HTTP library would be counted as retries by the router.
        self._pool.retryAutomatically = False
        self._agent = Agent(fleet.reactor, connectTimeout=1.0, pool=self._pool)
        self._stopped = False
        self.persistent = False
        self.route_weights = ROUTE_WEIGHTS
        self.sent: list[SentRequest] = []

    def start(self) -> None:
        """Send requests until ``stop`` is called."""
        if self._stopped:
            return
        self._send()
        pause = self._random.uniform(0.5, 1.5) * self._pause
        self._fleet.reactor.callLater(pause, self.start)

    def stop(self) -> "Deferred[None]":
        """Stop sending and close the idle persistent connections."""
        self._stopped = True
        return self._pool.closeCachedConnections()

    def _send(self) -> None:
        random, fleet = self._random, self._fleet
        route = random.choices(sorted(TIMEOUT_MS_BY_ROUTE), self.route_weights)[0]
        hot = random.random() < HOT_FRACTION
        account = "hot" if hot else random.choice(("club", "league"))
        key = fleet.keys_by_account[account]
        revoked_keys = [old for name, _, old in fleet.revoked if name == account]
        if revoked_keys and random.random() < REVOKED_KEY_FRACTION:
            key = random.choice(revoked_keys)
        exchange = self._start(self._request(route, account, key))
        if random.random() < DISCONNECT_FRACTION:
            fleet.reactor.callLater(
                random.uniform(0.01, 0.3), self._disconnect, self.sent[-1], exchange
            )

    def _request(
        self, route: str, account: str, key: str, culprit: str = ""
    ) -> SentRequest:
        """Return a new request to a random instance."""
        random, fleet = self._random, self._fleet
        attempt = f"{len(self.sent):016x}"
        prompt, output = random.randrange(200, 4000), random.randrange(200, 3000)
        streams = route in ("digests", "reports")
        target = f"/{route}/{random.randrange(1000)}?of={attempt}"
        parts = [SHARED_PART, f"5e{random.randrange(SESSIONS):02x}", f"f{attempt}"]
        if culprit == CRASHING_PART:
            parts.insert(2, culprit)
        elif culprit == CRASHING_LAST_PART:
            parts[-1] = culprit
        return SentRequest(
            attempt=attempt,
            route=route,
            account=account,
            key=key,
            instance=random.choice(fleet.instances),
            sent_at=fleet.reactor.seconds(),
            timeout=TIMEOUT_MS_BY_ROUTE[route] / 1000,
            target=culprit if culprit == CRASHING_TARGET else target,
            tokens=prompt + output if streams else 0,
            output_tokens=output if streams else 0,
            prompt_parts=",".join(f"{each}:50" for each in parts) if streams else "",
            culprit=culprit,
        )

    def start_crashing(self, culprit: str) -> None:
        """Send requests that crash servers by ``culprit`` until ``stop`` is called."""
        if culprit not in self._fleet.ledger.crashing:
            self._fleet.ledger.crashing.add(culprit)
            self._send_crashing(culprit)

    def _send_crashing(self, culprit: str) -> None:
        if self._stopped:
            return
        route = "lookups"
        if culprit in (CRASHING_PART, CRASHING_LAST_PART):
            route = self._random.choice(("digests", "reports"))
        key = self._fleet.keys_by_account["club"]
        self._start(self._request(route, "club", key, culprit))
        self._fleet.reactor.callLater(
            CRASHING_PAUSE_SECONDS, self._send_crashing, culprit
        )

    def _start(self, sent: SentRequest) -> Deferred:
        """Send a request and record its response."""
        self.sent.append(sent)
        tokens = taken_up = None
        if sent.tokens:
            tokens = sent.tokens - sent.output_tokens, sent.output_tokens
        if sent.first_attempt is not None:
            taken_up = sent.first_attempt, sent.resumed_after
        headers = request_headers(
            key=sent.key,
            attempt=sent.attempt,
            timeout_ms=round(sent.timeout * 1000),
            tokens=tokens,
            taken_up=taken_up,
            prompt_parts=sent.prompt_parts,
        )
        headers["Host"] = "api.example"
        exchange = Deferred.fromCoroutine(self._exchange(sent, headers))
        # Twice the timeout, so that the checks can report a request that exceeds it.
        exchange.addTimeout(2 * sent.timeout, self._fleet.reactor)
        exchange.addErrback(self._fail, sent)
        return exchange

    def _take_up(self, broken: SentRequest) -> None:
        """Go on with a stream that was broken off after an event."""
        received = broken.body.count(EVENT_END)
        self._send_rest(broken, broken.attempt, received)

    def _send_rest(
        self, broken: SentRequest, first_attempt: str, received: int
    ) -> None:
        """Ask another instance for the events of a stream after those received."""
        fleet = self._fleet
        instances = [each for each in fleet.instances if each is not broken.instance]
        self._start(
            replace(
                broken,
                attempt=f"{len(self.sent):016x}",
                first_attempt=first_attempt,
                resumed_after=received,
                instance=self._random.choice(instances),
                sent_at=fleet.reactor.seconds(),
                status=None,
                sealed=False,
                body=b"",
                ended_at=None,
                body_parts=[],
            )
        )

    def _disconnect(self, sent: SentRequest, exchange: Deferred) -> None:
        if sent.ended_at is None:
            sent.disconnected = True
            exchange.cancel()

    async def _exchange(self, sent: SentRequest, headers: dict[str, str]) -> None:
        method = "GET" if sent.route == "lookups" else "POST"
        body = None if method == "GET" else sent.attempt.encode()
        url = f"http://{sent.instance.front_proxy.address}{sent.target}"
        response: Any = await treq.request(
            method, url, headers=headers, data=body, agent=self._agent
        )
        sent.status = response.code
        sent.sealed = response.headers.hasHeader(SERVER_SEAL)
        await treq.collect(response, sent.body_parts.append)
        sent.body = b"".join(sent.body_parts)
        sent.complete = True
        sent.ended_at = self._fleet.reactor.seconds()

    def _fail(self, failure: Any, sent: SentRequest) -> None:
        sent.body = b"".join(sent.body_parts)
        if not failure.check(CancelledError) or not sent.disconnected:
            sent.ended_at = self._fleet.reactor.seconds()
        if (
            sent.route == "reports"
            and sent.first_attempt is None
            and EVENT_END in sent.body
            and not sent.disconnected
            and not self._stopped
        ):
            self._take_up(sent)
        elif (
            self.persistent
            and sent.first_attempt is not None
            and sent.status is None
            and not self._stopped
        ):
            self._fleet.reactor.callLater(
                TAKE_UP_PAUSE_SECONDS,
                self._send_rest,
                sent,
                sent.first_attempt,
                sent.resumed_after,
            )
