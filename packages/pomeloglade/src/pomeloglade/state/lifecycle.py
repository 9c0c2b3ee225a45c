"""State machine of one request: one final answer, and one run of its cleanups."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class LifecycleCore:
    """Holds the cleanups to run when the request ends."""

    def __init__(self) -> None:
        self.cleanups: list[Callable[[], None]] = []


class Lifecycle(Protocol):
    """Inputs of the state machine; each returns whether it took effect."""

    def stream(self) -> bool:
        """Record that part of the answer is being sent to the caller."""

    def finish(self) -> bool:
        """End with a complete answer."""

    def refuse(self) -> bool:
        """End with a refusal, either as the answer or at the end of a stream."""

    def abort(self) -> bool:
        """End because the caller has disconnected."""

    def add_cleanup(self, cleanup: Callable[[], None]) -> bool:
        """Run ``cleanup`` when the request ends, or at once if it has ended.

        Cleanups run in the reverse order of their addition.
        """


def _build() -> Callable[[LifecycleCore], Lifecycle]:
    builder = TypeMachineBuilder(Lifecycle, LifecycleCore)
    opened = builder.state("opened")
    streaming = builder.state("streaming")
    ended = builder.state("ended")

    def run_cleanups(lifecycle: Lifecycle, core: LifecycleCore) -> bool:
        cleanups, core.cleanups = core.cleanups, []
        for cleanup in reversed(cleanups):
            cleanup()
        return True

    def ignore(lifecycle: Lifecycle, core: LifecycleCore) -> bool:
        return False

    def append_cleanup(
        lifecycle: Lifecycle, core: LifecycleCore, cleanup: Callable[[], None]
    ) -> bool:
        core.cleanups.append(cleanup)
        return True

    def run_at_once(
        lifecycle: Lifecycle, core: LifecycleCore, cleanup: Callable[[], None]
    ) -> bool:
        cleanup()
        return False

    opened.upon(Lifecycle.stream).to(streaming).returns(True)
    streaming.upon(Lifecycle.stream).loop().returns(True)
    ended.upon(Lifecycle.stream).loop().returns(False)
    for ending in (Lifecycle.finish, Lifecycle.refuse, Lifecycle.abort):
        opened.upon(ending).to(ended)(run_cleanups)
        streaming.upon(ending).to(ended)(run_cleanups)
        ended.upon(ending).loop()(ignore)
    opened.upon(Lifecycle.add_cleanup).loop()(append_cleanup)
    streaming.upon(Lifecycle.add_cleanup).loop()(append_cleanup)
    ended.upon(Lifecycle.add_cleanup).loop()(run_at_once)
    return builder.build()


_machine = _build()


def new_lifecycle() -> Lifecycle:
    """Return the lifecycle of a new request."""
    return _machine(LifecycleCore())
