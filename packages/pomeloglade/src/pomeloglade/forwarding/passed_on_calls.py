"""Handles the calls that other instances pass on to this one."""

from twisted.internet.defer import Deferred

from ..state.connection_limits import ConnectionLimits
from ..transport.http_exchange import RequestHead
from ..transport.responder import Responder
from .forwarder import Forwarder


class PassedOnCalls:
    """Request handler of the site that other instances connect to."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    def limits(self) -> ConnectionLimits:
        """Return the connection limits in force."""
        return self._forwarder.limits()

    def is_draining(self) -> bool:
        """Return whether answers ask to close the connection."""
        return self._forwarder.is_draining()

    def handle(
        self, head: RequestHead, body: bytes, responder: Responder
    ) -> "Deferred[None]":
        """Handle a request; cancel the returned deferred if its sender disconnects."""
        return self._forwarder.handle(head, body, responder, passed_on=True)
