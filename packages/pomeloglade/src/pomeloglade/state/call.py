"""Data classes for the calls of callers and for their results."""

from dataclasses import dataclass

from .deployment import ClientAccount, Route

BYTES_PER_TOKEN = 4
"""Bytes of UTF-8 text that are counted as one token of rates and bursts."""


def count_tokens(text: str) -> int:
    """Return how many tokens ``text`` counts as, at least one.

    >>> count_tokens("five words of plain text")
    6
    """
    return max(1, -(-len(text.encode()) // BYTES_PER_TOKEN))


@dataclass(frozen=True, slots=True)
class Caller:
    """The client account and the key digest of a request.

    Both fields are empty on open routes, which need no key.
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

    ``output_tokens`` is the maximum number of tokens to generate.
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
        """Tokens of the prompt, as counted against the account's rate."""
        return count_tokens(self.prompt)

    @property
    def cost(self) -> int:
        """Maximum number of tokens that the call may use."""
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
    """A plain service's complete response; ``replayed`` marks a recorded one."""

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
    """A finished prefill, whose KV cache the engine keeps under ``handle``."""

    handle: str
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A backend server's load report, which may be out of date when it arrives."""

    held: int
    waiting: int
    slots: int
