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
from .current_configuration import CurrentConfiguration


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request being answered.

    ``dispatched`` is set just before the first call that makes a backend server
    work for the request; from then on no refusal may say "not run".
    ``stop_refusal`` is set when the request is stopped from outside, for example
    because its key was withdrawn; from then on no step may start.
    ``new_attempt_id`` returns ids for the attempts after the first.
    """

    request_id: str
    caller: Caller
    arrived_at: float
    new_attempt_id: Callable[[], str]
    attempt_id: str = ""
    lifecycle: Lifecycle = field(default_factory=new_lifecycle)
    dispatched: bool = False
    stop_refusal: Refusal | None = None
    task: "Deferred[None] | None" = None

    def begin_attempt(self) -> str:
        """Start the next attempt; return its id, as used by owners and engines.

        Each attempt has an id of its own, so that a late cancel of one can't end
        another. The first attempt has the id of the request.
        """
        self.attempt_id = self.new_attempt_id() if self.attempt_id else self.request_id
        return self.attempt_id

    def stop(self, reason: Reason, step: Step) -> None:
        """Cancel the task, which then answers with this refusal."""
        if self.stop_refusal is not None:
            return
        self.stop_refusal = Refusal(reason, step, not_run=not self.dispatched)
        if self.task is not None:
            self.task.cancel()

    def correct_not_run(self, refusal: Refusal) -> Refusal:
        """Clear ``not_run`` of a refusal if the request was dispatched."""
        return replace(refusal, not_run=False) if self.dispatched else refusal

    def check_running(self) -> None:
        """Raise ``CancelledError`` if the request has been stopped."""
        if self.stop_refusal is not None:
            raise CancelledError


class OpenRequests:
    """Registry of the open requests by id.

    Parameters
    ----------
    members : MembershipView
        Gives the own incarnation, which is part of every id.
    in_force : CurrentConfiguration
        Requests whose key is no longer valid in it are stopped.
    count_changed : callable
        Called with +1 or -1 as requests open and close.
    """

    def __init__(
        self,
        members: MembershipView,
        in_force: CurrentConfiguration,
        count_changed: Callable[[int], None],
    ) -> None:
        self._members = members
        self._in_force = in_force
        self._count_changed = count_changed
        self._by_id: dict[str, OpenRequest] = {}
        self._attempt_ids: set[str] = set()
        self._sequence = itertools.count(1)
        self._idle_waiters: list[Deferred[None]] = []
        in_force.subscribe(self._stop_withdrawn)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id or request_id in self._attempt_ids

    def open(self, caller: Caller, now: float) -> OpenRequest:
        """Register a request under an id of its own until its lifecycle ends."""
        request_id = self._new_id()
        request = OpenRequest(
            request_id, caller, now, lambda: self._new_attempt_id(request)
        )
        self._by_id[request_id] = request
        self._count_changed(1)
        request.lifecycle.add_cleanup(lambda: self._close(request_id))
        return request

    def when_idle(self) -> "Deferred[None]":
        """Return a Deferred that fires once no request is open."""
        if not self._by_id:
            return succeed(None)
        waiter: Deferred[None] = Deferred()
        self._idle_waiters.append(waiter)
        return waiter

    def _new_id(self) -> str:
        own = self._members.own
        sequence = next(self._sequence)
        return str(RequestId(own.instance, own.incarnation, sequence))

    def _new_attempt_id(self, request: OpenRequest) -> str:
        attempt = self._new_id()
        self._attempt_ids.add(attempt)
        request.lifecycle.add_cleanup(lambda: self._attempt_ids.discard(attempt))
        return attempt

    def _close(self, request_id: str) -> None:
        del self._by_id[request_id]
        self._count_changed(-1)
        if self._by_id:
            return
        waiters, self._idle_waiters = self._idle_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def _stop_withdrawn(self) -> None:
        for request in list(self._by_id.values()):
            digest = request.caller.key_digest
            if digest and not self._in_force.keys.is_valid(digest):
                request.stop(Reason.KEY_WITHDRAWN, Step.AUTHENTICATE)
