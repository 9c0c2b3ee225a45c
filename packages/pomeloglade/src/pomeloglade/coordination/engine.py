"""Interfaces to backend servers, implemented once for each engine protocol."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pomeloglade_coordination.orders import Order, OrderKind
from pomeloglade_coordination.recovery import HeldRequest

from ..state.call import (
    EngineLoad,
    ModelCall,
    PlainAnswer,
    PlainCall,
    Prefilled,
    Token,
    Usage,
)
from ..state.deployment import BackendServer


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's current value for one kind of order, and the one it is loading.

    ``loading`` is empty when no load is in progress.
    """

    value: str
    loading: str = ""


class Engines(abc.ABC):
    """Calls to model engines; every method takes the server to call.

    Deferreds fail with a subclass of ``BackendError``. Cancelling a Deferred
    closes the call's connection, but the engine keeps the memory that it holds
    for the request until ``cancel`` is called.
    """

    @abc.abstractmethod
    def reserve(
        self, server: BackendServer, request_id: str, tokens: int
    ) -> "Deferred[None]":
        """Reserve memory for ``tokens`` on a decode engine."""

    @abc.abstractmethod
    def prefill(
        self, server: BackendServer, request_id: str, call: ModelCall
    ) -> "Deferred[Prefilled]":
        """Compute the prompt's KV cache on a prefill engine."""

    @abc.abstractmethod
    def transfer(
        self,
        source: BackendServer,
        target: BackendServer,
        request_id: str,
        prefilled: Prefilled,
    ) -> "Deferred[None]":
        """Have ``target`` import the KV cache that ``source`` exports."""

    @abc.abstractmethod
    def decode(
        self,
        server: BackendServer,
        request_id: str,
        call: ModelCall,
        on_token: Callable[[Token], None],
    ) -> "Deferred[Usage]":
        """Generate tokens and pass each to ``on_token``, in order."""

    @abc.abstractmethod
    def cancel(self, server: BackendServer, request_id: str) -> "Deferred[None]":
        """Release all memory held for a request; an unknown id is not an error."""

    @abc.abstractmethod
    def list_held(self, server: BackendServer) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests that the engine holds memory for."""

    @abc.abstractmethod
    def read_load(self, server: BackendServer) -> "Deferred[EngineLoad]":
        """Return the engine's load report."""

    @abc.abstractmethod
    def send_order(self, server: BackendServer, order: Order) -> "Deferred[None]":
        """Send an order; the Deferred fires when the engine has accepted it.

        Fails with ``OrderRefusedError`` when the engine has seen a higher
        fencing token.
        """

    @abc.abstractmethod
    def read_state(
        self, server: BackendServer, kind: OrderKind
    ) -> "Deferred[EngineState]":
        """Return the engine's state for orders of ``kind``."""


class Services(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    def call(
        self, server: BackendServer, call: PlainCall, *, new_connection: bool
    ) -> "Deferred[PlainAnswer]":
        """Forward ``call``, over a new connection if ``new_connection``.

        A call that must not be retried gets a new connection, because a pooled
        one may already be dead. Fails with ``BackendUnreachableError`` only when
        no byte of the call can have been sent.
        """
