"""Maps backend errors to refusals."""

from datetime import timedelta
from functools import singledispatch

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..errors import (
    BackendError,
    BackendOutOfMemoryError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)

RETRY_AFTER = timedelta(seconds=1)


@singledispatch
def refusal_of(error: Exception, dispatched: bool) -> Refusal:
    """Return the refusal to send to the caller for ``error``.

    ``dispatched`` is whether a backend server may have run the request; only if it
    is false is the refusal marked as "not run".
    """
    raise error


@refusal_of.register
def _(error: BackendError, dispatched: bool) -> Refusal:
    return _refusal(Reason.BACKEND_FAILED, error, dispatched)


@refusal_of.register
def _(error: BackendUnreachableError, dispatched: bool) -> Refusal:
    return _refusal(Reason.NO_BACKEND_SERVER, error, dispatched)


@refusal_of.register
def _(error: BackendOutOfMemoryError, dispatched: bool) -> Refusal:
    return _refusal(Reason.NO_ENGINE_MEMORY, error, dispatched)


@refusal_of.register
def _(error: InvalidBackendResponseError, dispatched: bool) -> Refusal:
    return _refusal(Reason.INVALID_BACKEND_RESPONSE, error, dispatched)


def _refusal(reason: Reason, error: BackendError, dispatched: bool) -> Refusal:
    step = Step(error.step)
    return Refusal(reason, step, error.peer, not dispatched, RETRY_AFTER, str(error))
