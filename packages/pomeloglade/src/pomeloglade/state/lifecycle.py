"""State machine of one request: exactly one final answer, cleaned up once."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class LifecycleCore:
    """Holds what must be undone when the request ends."""

    def __init__(self) -> None:
        self.cleanups: list[Callable[[], None]] = []


class Lifecycle(Protocol):
    """Inputs of a request's life; each returns whether it took effect."""

    def stream(self) -> bool:
        """Note that a first part of the answer goes to the caller."""

    def finish(self) -> bool:
        """End with the whole answer sent."""

    def refuse(self) -> bool:
        """End with a refusal, the answer's or the stream's last part."""

    def abort(self) -> bool:
        """End because the caller has gone."""

    def undo(self, cleanup: Callable[[], None]) -> bool:
        """Run ``cleanup`` when the request ends; at once if it has ended."""


def _build() -> Callable[[LifecycleCore], Lifecycle]:
    builder = TypeMachineBuilder(Lifecycle, LifecycleCore)
    opened = builder.state("opened")
    streaming = builder.state("streaming")
    ended = builder.state("ended")

    def end(lifecycle: Lifecycle, core: LifecycleCore) -> bool:
        cleanups, core.cleanups = core.cleanups, []
        for cleanup in reversed(cleanups):
            cleanup()
        return True

    def ignore(lifecycle: Lifecycle, core: LifecycleCore) -> bool:
        return False

    def remember(
        lifecycle: Lifecycle, core: LifecycleCore, cleanup: Callable[[], None]
    ) -> bool:
        core.cleanups.append(cleanup)
        return True

    def undo_at_once(
        lifecycle: Lifecycle, core: LifecycleCore, cleanup: Callable[[], None]
    ) -> bool:
        cleanup()
        return False

    opened.upon(Lifecycle.stream).to(streaming).returns(True)
    streaming.upon(Lifecycle.stream).loop().returns(True)
    ended.upon(Lifecycle.stream).loop().returns(False)
    for ending in (Lifecycle.finish, Lifecycle.refuse, Lifecycle.abort):
        opened.upon(ending).to(ended)(end)
        streaming.upon(ending).to(ended)(end)
        ended.upon(ending).loop()(ignore)
    opened.upon(Lifecycle.undo).loop()(remember)
    streaming.upon(Lifecycle.undo).loop()(remember)
    ended.upon(Lifecycle.undo).loop()(undo_at_once)
    return builder.build()


_machine = _build()


def new_lifecycle() -> Lifecycle:
    """Return the lifecycle of a request that has just been received."""
    return _machine(LifecycleCore())
