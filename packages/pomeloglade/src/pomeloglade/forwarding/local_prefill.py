"""A prompt that a decode engine prefills itself, as the instances count it."""

from twisted.internet.interfaces import IReactorTime

from .loads import Loads

LOCAL_PREFILL_SPACING_SECONDS = 0.08
"""Pause between two local prefills at a decode engine, in which its streams produce an
event. Without it, the pauses of successive prefills would add up."""


class LocalPrefill:
    """Counts a local prefill until ``LOCAL_PREFILL_SPACING_SECONDS`` after its end."""

    def __init__(self, clock: IReactorTime, loads: Loads, server: str) -> None:
        self._clock = clock
        self._loads = loads
        self._server = server
        self._tokens: int | None = None

    def begin(self, tokens: int) -> None:
        """Count a prompt of so many tokens, unless it is counted already."""
        if self._tokens is None:
            self._tokens = tokens
            self._loads.begin_local_prefill(self._server, tokens)

    def end(self) -> None:
        """Count the prompt no more after a while."""
        tokens, self._tokens = self._tokens, None
        if tokens is not None:
            self._clock.callLater(
                LOCAL_PREFILL_SPACING_SECONDS,
                self._loads.end_local_prefill,
                self._server,
                tokens,
            )
