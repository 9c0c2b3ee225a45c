"""What callers ask for and what they get, as frozen data classes."""

from dataclasses import dataclass

from .deployment import ClientAccount, Route

BYTES_PER_TOKEN = 4
"""Bytes of UTF-8 text that count as one token in rates and bursts."""


def count_tokens(text: str) -> int:
    """Return how many tokens ``text`` counts as, at least one.

    >>> count_tokens("five words of plain text")
    6
    """
    return max(1, -(-len(text.encode()) // BYTES_PER_TOKEN))


@dataclass(frozen=True, slots=True)
class Caller:
    """The client account and key that a request came with.

    Both fields are empty on routes open to all.
    """

    account: ClientAccount | None = None
    key_digest: str = ""

    @property
    def name(self) -> str:
        """The account's name, or ``""`` on an open route."""
        return self.account.name if self.account else ""

    @property
    def weight(self) -> int:
        """The account's weight in fair queueing."""
        return self.account.weight if self.account else 1


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A request to a model.

    ``output_tokens`` is the most that the caller wants generated.
    """

    caller: Caller
    route: Route
    model: str
    prompt: str
    output_tokens: int
    stream: bool = False
    chat: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt, as counted for the budget."""
        return count_tokens(self.prompt)

    @property
    def cost(self) -> int:
        """Tokens that the call may use at most."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A request to a plain service; ``path`` includes the query."""

    caller: Caller
    route: Route
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A plain service's whole answer; ``replayed`` marks a recorded one."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token; ``index`` counts from 0 without gaps."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that a finished model call used."""

    prompt_tokens: int
    output_tokens: int
    finish_reason: str = "stop"


@dataclass(frozen=True, slots=True)
class Prefilled:
    """A finished prefill, whose KV cache waits under ``handle``."""

    handle: str
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report of a backend server, some time old when it arrives."""

    held: int
    waiting: int
    slots: int
