"""Requests that find out whether a backend server can be reached."""

import contextlib

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from ..errors import (
    BackendError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from ..transport.body_memory import MAX_CONTROL_BODY_BYTES
from ..transport.http_exchange import Exchange
from .backends import BackendServer
from .send_context import CONNECT_TIMEOUT_SECONDS, SendContext, on_silence
from .store_view import StoreView

ANSWER_TIMEOUT_SECONDS = 0.3
"""Time for an answer after the connection. Servers may be busy, but the answer of one
of several is enough."""


class ServerProbes:
    """Asks engines for their report and other servers for their health.

    Servers that are paused or have no room for a further request are not asked.
    """

    def __init__(self, context: SendContext, store_view: StoreView) -> None:
        self._context = context
        self._store_view = store_view

    def probe(self, server: BackendServer) -> None:
        """Ask a server, and record whether it answers."""
        if not self._context.backends.usable(server):
            return
        if not self._context.limits.try_take(server.run):
            return
        done = Deferred.fromCoroutine(self._probe(server))
        done.addErrback(self._record_failure, server)

    async def _probe(self, server: BackendServer) -> None:
        context = self._context
        connection = await context.pool.acquire_connection(
            server.address, max_idle_seconds=0.0, timeout=CONNECT_TIMEOUT_SECONDS
        )
        if not context.backends.in_use(server):
            context.pool.release(connection)
            return
        request = context.codec.engine_report_request(server)
        if not server.stage:
            path = self._health_path(server.service)
            request = context.codec.health_request(server, path)
        exchange = Exchange(request, b"")
        sent_at = context.clock.seconds()
        exchange.start(connection, context.pool.release)
        try:
            answer = Deferred.fromCoroutine(exchange.read_head())
            answer.addTimeout(
                ANSWER_TIMEOUT_SECONDS, context.clock, on_silence(server, "probe")
            )
            head = await answer
            context.record_notice(server, exchange, head, sent_at)
            memory = context.body_memory
            body = await memory.read_body(exchange, MAX_CONTROL_BODY_BYTES)
        finally:
            exchange.cancel()
        if server.stage and 200 <= head.status < 300:
            # An engine whose report can't be read has been reached all the same.
            with contextlib.suppress(InvalidBackendResponseError):
                report = context.codec.parse_engine_report(body)
                context.loads.record_engine_report(server.id, report)

    def _health_path(self, service: str) -> str:
        deployment = self._store_view.deployment
        configured = deployment.services_by_name.get(service) if deployment else None
        return configured.health_path if configured is not None else "/"

    def _record_failure(self, failure: Failure, server: BackendServer) -> None:
        failure.trap(BackendError)
        connected = not failure.check(BackendUnreachableError)
        self._context.reach.record_failure(server, connected=connected)
