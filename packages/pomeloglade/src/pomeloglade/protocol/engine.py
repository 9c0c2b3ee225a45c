"""Messages of the model engines' HTTP protocol and the decoder of its stream."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from ..errors import BackendNonsenseError
from ..state.call import Token, Usage

T = TypeVar("T")
MAX_LINE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class ReserveBody:
    """Body of ``POST /v1/reserve``; ``tokens`` covers prompt and output."""

    request_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PrefillBody:
    """Body of ``POST /v1/prefill``."""

    request_id: str
    model: str
    prompt: str
    priority: int


@dataclass(frozen=True, slots=True)
class PrefillAnswer:
    """Answer to a prefill; the cache waits under ``handle`` for a short time."""

    request_id: str
    handle: str
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class ImportBody:
    """Body of ``POST /v1/import``: fetch ``handle`` from the engine at ``source``."""

    request_id: str
    source: str
    handle: str


@dataclass(frozen=True, slots=True)
class DecodeBody:
    """Body of ``POST /v1/decode``; tokens from ``first_index`` on are streamed."""

    request_id: str
    output_tokens: int
    first_index: int = 0


@dataclass(frozen=True, slots=True)
class DecodeLine:
    """One line of the decode stream: a token, or the end with its counts."""

    request_id: str
    index: int = -1
    text: str = ""
    done: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = "stop"


@dataclass(frozen=True, slots=True)
class CancelBody:
    """Body of ``POST /v1/cancel``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """Answer of ``GET /v1/held``: ids of the requests that hold memory."""

    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadAnswer:
    """Answer of ``GET /v1/load``."""

    held: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of ``POST /v1/orders``; status 412 when ``fencing`` is too old."""

    kind: str
    state: str
    fencing: int


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """Answer of ``GET /v1/orders/KIND``: the state in force and the one loading."""

    state: str
    loading: str = ""


def encode(message: object) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def decode(body: bytes, kind: type[T], *, step: str, peer: str) -> T:
    """Return ``body`` as a message, or raise ``BackendNonsenseError``."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        text = f"backend server {peer!r} answered {body[:80]!r}: {error}"
        raise BackendNonsenseError(text, step=step, peer=peer) from error


class DecodeStream:
    """Checks a decode stream: the right request, no gap, a true end.

    A stream that ends without its ``done`` line is incomplete, whatever its
    connection says; ``usage`` stays ``None`` then. ``next_index`` is the token
    from which a broken stream is resumed.

    Parameters
    ----------
    request_id : str
        The request whose tokens are expected.
    peer : str
        The backend server, for errors.
    """

    def __init__(self, request_id: str, peer: str) -> None:
        self._request_id = request_id
        self._peer = peer
        self._buffer = b""
        self.next_index = 0
        self.usage: Usage | None = None

    def reconnected(self) -> None:
        """Forget a line cut off by the end of the former connection."""
        self._buffer = b""

    def receive(self, data: bytes) -> Iterator[Token]:
        """Yield the tokens in ``data``; raise ``BackendNonsenseError``."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > MAX_LINE_BYTES:
            raise self._nonsense(f"line of over {MAX_LINE_BYTES} bytes")
        for line in lines:
            token = self._line(line)
            if token is not None:
                yield token

    def _line(self, data: bytes) -> Token | None:
        line = decode(data, DecodeLine, step="decode", peer=self._peer)
        if line.request_id != self._request_id:
            raise self._nonsense(f"a line of request {line.request_id!r}")
        if self.usage is not None:
            raise self._nonsense("a line after the end")
        if not line.done:
            return self._token(line)
        if line.output_tokens != self.next_index:
            raise self._nonsense(
                f"an end after {line.output_tokens} tokens, got {self.next_index}"
            )
        self.usage = Usage(line.prompt_tokens, line.output_tokens, line.finish_reason)
        return None

    def _token(self, line: DecodeLine) -> Token:
        if line.index != self.next_index:
            raise self._nonsense(f"token {line.index}, expected {self.next_index}")
        self.next_index += 1
        return Token(line.index, line.text)

    def _nonsense(self, what: str) -> BackendNonsenseError:
        return BackendNonsenseError(
            f"backend server {self._peer!r} sent {what} in the stream of "
            f"request {self._request_id!r}",
            step="decode",
            peer=self._peer,
        )
