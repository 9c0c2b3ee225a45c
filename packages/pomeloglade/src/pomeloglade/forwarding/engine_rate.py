"""How many calls a second engines begin, measured from what calls hold there."""

INITIAL_DECODE_SECONDS = 3.0
"""Initial value of the average duration of calls."""

WEIGHT = 0.1
"""Weight of the newest call in the averages."""


class EngineRate:
    """Averages how long calls of a service hold an engine, and how much of its memory.

    An engine that is full begins a call when one ends. How many it has at a time
    follows from its slots, or from its KV memory if that is full before.

    Attributes
    ----------
    duration : float
        The average duration of calls, in seconds.

    Examples
    --------
    >>> rate = EngineRate()
    >>> rate.record_call(5_000)
    >>> rate.calls_a_second(slots=64, memory=30_000)
    2.0
    >>> rate.calls_a_second(slots=3, memory=30_000)
    1.0
    >>> rate.size(10_000)
    2.0
    """

    def __init__(self) -> None:
        self.duration = INITIAL_DECODE_SECONDS
        self._mean_tokens = 0.0

    def record_duration(self, seconds: float) -> None:
        """Record the time for which a call held its slot."""
        self.duration += WEIGHT * (seconds - self.duration)

    def record_call(self, tokens: int) -> None:
        """Record the KV memory of a call that has arrived, in tokens, if it has any."""
        if not tokens:
            return
        if not self._mean_tokens:
            self._mean_tokens = tokens
        self._mean_tokens += WEIGHT * (tokens - self._mean_tokens)

    def size(self, tokens: int) -> float:
        """Return the KV memory of a call, relative to that of the average call."""
        return tokens / self._mean_tokens if tokens and self._mean_tokens else 1.0

    def calls_a_second(self, slots: int, memory: float) -> float:
        """Return how many average calls an engine begins a second while it is full.

        ``memory`` is its KV memory for calls, in tokens.
        """
        calls = float(slots)
        if self._mean_tokens:
            calls = min(calls, max(1.0, memory / self._mean_tokens))
        return calls / self.duration
