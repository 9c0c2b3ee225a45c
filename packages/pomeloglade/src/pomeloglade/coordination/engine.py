"""Interfaces to backend servers; each engine protocol is one implementation."""

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
    """What an engine has in force of one order kind, and what it is loading.

    ``loading`` is empty when no load is under way.
    """

    value: str
    loading: str = ""


class Engines(abc.ABC):
    """Calls to model engines; every method names the server it goes to.

    Deferreds fail with the subclasses of ``BackendError``. Cancelling one ends
    the call's connection, but the engine keeps what it holds until ``cancel``.
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
        """Generate tokens, each given to ``on_token`` in order."""

    @abc.abstractmethod
    def cancel(self, server: BackendServer, request_id: str) -> "Deferred[None]":
        """Release everything held for a request; unknown ones are no error."""

    @abc.abstractmethod
    def held(self, server: BackendServer) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests that the engine holds memory for."""

    @abc.abstractmethod
    def load(self, server: BackendServer) -> "Deferred[EngineLoad]":
        """Return the engine's load report."""

    @abc.abstractmethod
    def order(self, server: BackendServer, order: Order) -> "Deferred[None]":
        """Give an order; fires when the engine has accepted it.

        Fails with ``OrderRefusedError`` when the engine has seen a higher
        fencing number.
        """

    @abc.abstractmethod
    def read_state(
        self, server: BackendServer, kind: OrderKind
    ) -> "Deferred[EngineState]":
        """Return what the engine has in force of ``kind``."""


class Services(abc.ABC):
    """Calls to plain services."""

    @abc.abstractmethod
    def call(
        self, server: BackendServer, call: PlainCall, *, fresh: bool
    ) -> "Deferred[PlainAnswer]":
        """Forward ``call``; with ``fresh`` on a connection of its own.

        Calls that may not be repeated go over a fresh connection, because a
        pooled one may have gone silent. Fails with ``BackendUnreachableError``
        only when no byte of the call can have been sent.
        """
