"""The requests that this instance is answering."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import CancelledError, Deferred, succeed

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..state.call import Caller
from ..state.lifecycle import Lifecycle, new_lifecycle
from .in_force import InForce


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request being answered.

    ``dispatched`` is set just before the first call that makes a backend server
    work for the request; from then on no refusal may say "not run". ``ending``
    is the refusal that an outside event, such as a withdrawn key, asks for;
    once it is set, no step may start.
    """

    request_id: str
    caller: Caller
    arrived: float
    lifecycle: Lifecycle = field(default_factory=new_lifecycle)
    dispatched: bool = False
    ending: Refusal | None = None
    work: "Deferred[None] | None" = None

    def stop(self, reason: Reason, step: Step) -> None:
        """Stop the work; its task then answers with this refusal."""
        if self.ending is not None:
            return
        self.ending = Refusal(reason, step, not_run=not self.dispatched)
        if self.work is not None:
            self.work.cancel()

    def check_running(self) -> None:
        """Raise ``CancelledError`` if the work has been stopped."""
        if self.ending is not None:
            raise CancelledError


class OpenRequests:
    """Registry of open requests by id.

    Parameters
    ----------
    in_force : InForce
        Requests whose key it no longer knows are ended.
    changed : callable
        Called with +1 or -1 as requests open and close.
    """

    def __init__(self, in_force: InForce, changed: Callable[[int], None]) -> None:
        self._in_force = in_force
        self._changed = changed
        self._by_id: dict[str, OpenRequest] = {}
        self._idle_waiters: list[Deferred[None]] = []
        in_force.subscribe(self._end_withdrawn)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def open(self, request_id: str, caller: Caller, now: float) -> OpenRequest:
        """Register a request until its lifecycle ends."""
        request = OpenRequest(request_id, caller, now)
        self._by_id[request_id] = request
        self._changed(1)
        request.lifecycle.undo(lambda: self._close(request_id))
        return request

    def when_idle(self) -> "Deferred[None]":
        """Return a Deferred that fires once no request is open."""
        if not self._by_id:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self._idle_waiters.append(waiting)
        return waiting

    def _close(self, request_id: str) -> None:
        del self._by_id[request_id]
        self._changed(-1)
        if self._by_id:
            return
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiting in waiters:
            waiting.callback(None)

    def _end_withdrawn(self) -> None:
        for request in list(self._by_id.values()):
            digest = request.caller.key_digest
            if digest and not self._in_force.keys.knows(digest):
                request.stop(Reason.KEY_WITHDRAWN, Step.AUTHENTICATE)
