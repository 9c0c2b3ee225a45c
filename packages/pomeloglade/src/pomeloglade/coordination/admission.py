"""Admits requests within their account's share, and gives back what is unused."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.shares import Grant

from ..state.deployment import Route
from .open_requests import OpenRequest
from .parts import Parts


def admit(
    parts: Parts,
    request: OpenRequest,
    route: Route,
    cost: int,
    used: Callable[[], int],
) -> "Deferred[Grant | Refusal | None]":
    """Acquire ``cost`` tokens of the caller's account; ``None`` on open routes.

    When the request ends, what it has not ``used`` is refunded. A grant that
    comes after the request was stopped is refunded whole.
    """
    account = request.caller.account
    if account is None:
        return succeed(None)
    admitted: Deferred[Grant | Refusal | None] = Deferred()

    def settle(result: Grant | Refusal) -> None:
        if isinstance(result, Grant):
            request.lifecycle.undo(
                lambda: parts.shares.refund(result, max(0, cost - used()))
            )
        if request.ending is None:
            admitted.callback(result)

    acquired = parts.shares.acquire(account.name, cost, route.first_token)
    acquired.addCallback(settle)
    return admitted
