"""Admits requests against their account's token rate and refunds unused tokens."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.shares import Grant

from ..state.deployment import Route
from .components import Components
from .open_requests import OpenRequest


def admit(
    components: Components,
    request: OpenRequest,
    route: Route,
    cost: int,
    used: Callable[[], int],
) -> "Deferred[Grant | Refusal | None]":
    """Acquire ``cost`` tokens of the caller's account; ``None`` on open routes.

    When the request ends, ``cost`` less the tokens that ``used`` returns is
    refunded. A grant that arrives after the request was stopped is refunded in
    full.
    """
    account = request.caller.account
    if account is None:
        return succeed(None)
    admitted: Deferred[Grant | Refusal | None] = Deferred()

    def on_acquired(result: Grant | Refusal) -> None:
        if isinstance(result, Grant):
            request.lifecycle.add_cleanup(
                lambda: components.shares.refund(result, max(0, cost - used()))
            )
        if request.stop_refusal is None:
            admitted.callback(result)

    acquired = components.shares.acquire(account.name, cost, route.first_token)
    acquired.addCallback(on_acquired)
    return admitted
