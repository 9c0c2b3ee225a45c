"""Messages of the engines' HTTP protocol and the decoder of the token stream."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from pomeloglade_coordination.json_decoding import decode_json

from ..errors import InvalidBackendResponseError
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
    """Response to a prefill; the KV cache is kept under ``handle`` for a short time."""

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
    """Body of ``POST /v1/decode``; streams the tokens from ``first_index`` on."""

    request_id: str
    output_tokens: int
    first_index: int = 0


@dataclass(frozen=True, slots=True)
class DecodeLine:
    """One line of the decode stream: a token, or the end with token counts."""

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
    """Response to ``GET /v1/held``: ids of the requests that hold memory."""

    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadAnswer:
    """Response to ``GET /v1/load``."""

    held: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of ``POST /v1/orders``; status 412 if the fencing token is too old."""

    kind: str
    state: str
    fencing: int


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """Response to ``GET /v1/orders/KIND``: states in force and being loaded."""

    state: str
    loading: str = ""


def encode(message: object) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(message)


def decode(body: bytes, expected: type[T], *, step: str, peer: str) -> T:
    """Return the ``expected`` message in ``body``.

    Raises ``InvalidBackendResponseError``.
    """
    try:
        return decode_json(body, expected)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        text = (
            f"backend server {peer!r} sent an invalid response {body[:80]!r}: {error}"
        )
        raise InvalidBackendResponseError(text, step=step, peer=peer) from error


class DecodeStream:
    """Decodes a token stream and checks its request id, token order and end.

    A stream that ends without its ``done`` line is incomplete, even if the
    connection was closed cleanly; ``usage`` is then ``None``. ``next_index`` is the
    index of the token from which an interrupted stream is resumed.

    Parameters
    ----------
    request_id : str
        The request that the stream belongs to.
    peer : str
        Name of the backend server, for errors.
    """

    def __init__(self, request_id: str, peer: str) -> None:
        self._request_id = request_id
        self._peer = peer
        self._buffer = b""
        self.next_index = 0
        self.usage: Usage | None = None

    def discard_partial_line(self) -> None:
        """Discard a line truncated by the end of the previous connection."""
        self._buffer = b""

    def receive(self, data: bytes) -> Iterator[Token]:
        """Yield the tokens in ``data``, or raise ``InvalidBackendResponseError``."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > MAX_LINE_BYTES:
            raise self._protocol_error(f"line of over {MAX_LINE_BYTES} bytes")
        for line in lines:
            token = self._decode_line(line)
            if token is not None:
                yield token

    def _decode_line(self, data: bytes) -> Token | None:
        line = decode(data, DecodeLine, step="decode", peer=self._peer)
        if line.request_id != self._request_id:
            raise self._protocol_error(f"a line of request {line.request_id!r}")
        if self.usage is not None:
            raise self._protocol_error("a line after the end")
        if not line.done:
            return self._next_token(line)
        if line.output_tokens != self.next_index:
            raise self._protocol_error(
                f"an end line with {line.output_tokens} tokens after {self.next_index}"
            )
        self.usage = Usage(line.prompt_tokens, line.output_tokens, line.finish_reason)
        return None

    def _next_token(self, line: DecodeLine) -> Token:
        if line.index != self.next_index:
            raise self._protocol_error(
                f"token {line.index} instead of {self.next_index}"
            )
        self.next_index += 1
        return Token(line.index, line.text)

    def _protocol_error(self, problem: str) -> InvalidBackendResponseError:
        return InvalidBackendResponseError(
            f"backend server {self._peer!r} sent {problem} in the stream of "
            f"request {self._request_id!r}",
            step="decode",
            peer=self._peer,
        )
