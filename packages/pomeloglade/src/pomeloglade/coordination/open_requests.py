"""The requests that this instance is answering."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from twisted.internet.defer import CancelledError, Deferred, succeed

from pomeloglade_coordination.members import MembershipView
from pomeloglade_coordination.refusals import Reason, Refusal, Step
from pomeloglade_coordination.request_ids import RequestId

from ..state.call import Caller
from ..state.lifecycle import Lifecycle, new_lifecycle
from .in_force import InForce


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request being answered.

    ``dispatched`` is set just before the first call that makes a backend server
    work for the request; from then on no refusal may say "not run". ``ending``
    is the refusal that an outside event, such as a withdrawn key, asks for;
    once it is set, no step may start. ``issue_id`` returns ids for attempts after
    the first.
    """

    request_id: str
    caller: Caller
    arrived: float
    issue_id: Callable[[], str]
    attempt_id: str = ""
    lifecycle: Lifecycle = field(default_factory=new_lifecycle)
    dispatched: bool = False
    ending: Refusal | None = None
    work: "Deferred[None] | None" = None

    def begin_attempt(self) -> str:
        """Return the id by which owners and engines know the next attempt.

        Each attempt has its own, so that a late cancel of one can't end another.
        The first has the request's.
        """
        self.attempt_id = self.issue_id() if self.attempt_id else self.request_id
        return self.attempt_id

    def stop(self, reason: Reason, step: Step) -> None:
        """Stop the work; its task then answers with this refusal."""
        if self.ending is not None:
            return
        self.ending = Refusal(reason, step, not_run=not self.dispatched)
        if self.work is not None:
            self.work.cancel()

    def truly(self, refusal: Refusal) -> Refusal:
        """Return a refusal that says "not run" only if nothing was dispatched."""
        return replace(refusal, not_run=False) if self.dispatched else refusal

    def check_running(self) -> None:
        """Raise ``CancelledError`` if the work has been stopped."""
        if self.ending is not None:
            raise CancelledError


class OpenRequests:
    """Registry of open requests by id.

    Parameters
    ----------
    members : MembershipView
        Names the own incarnation, which is part of every id.
    in_force : InForce
        Requests whose key it no longer knows are ended.
    changed : callable
        Called with +1 or -1 as requests open and close.
    """

    def __init__(
        self,
        members: MembershipView,
        in_force: InForce,
        changed: Callable[[int], None],
    ) -> None:
        self._members = members
        self._in_force = in_force
        self._changed = changed
        self._by_id: dict[str, OpenRequest] = {}
        self._attempts: set[str] = set()
        self._sequence = itertools.count(1)
        self._idle_waiters: list[Deferred[None]] = []
        in_force.subscribe(self._end_withdrawn)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id or request_id in self._attempts

    def open(self, caller: Caller, now: float) -> OpenRequest:
        """Register a request under an id of its own until its lifecycle ends."""
        request_id = self._new_id()
        request = OpenRequest(request_id, caller, now, lambda: self._attempt(request))
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

    def _new_id(self) -> str:
        own = self._members.own
        sequence = next(self._sequence)
        return str(RequestId(own.instance, own.incarnation, sequence))

    def _attempt(self, request: OpenRequest) -> str:
        attempt = self._new_id()
        self._attempts.add(attempt)
        request.lifecycle.undo(lambda: self._attempts.discard(attempt))
        return attempt

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
