"""A forwarded call, the answers to it, and the codec of a platform's headers."""

import abc
from dataclasses import dataclass

from ..transport.http_exchange import AnswerHead, Headers, RequestHead
from .backends import BackendServer

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that a proxy passes on.

    >>> end_to_end(((b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")))
    ((b'X-B', b'2'),)
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(each for each in headers if each[0].lower() not in dropped)


def answer_headers(head: AnswerHead) -> Headers:
    """Return the headers of a backend server's answer that a caller gets.

    The answer is framed anew, so its length is left out.
    """
    return tuple(
        each for each in end_to_end(head.headers) if each[0] != b"content-length"
    )


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model call tells of its size; counts are in tokens.

    ``expected_output_tokens`` is the caller's guess, often far off, but right in
    the median. ``parts`` are the ids of the prompt's parts in order, with their
    tokens.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def tokens(self) -> int:
        """Tokens in and out together, at most."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def held_tokens(self) -> int:
        """Tokens held in KV memory on average over the call's time at an engine.

        The prompt is there from the beginning, the output grows.
        """
        output = self.max_output_tokens
        if self.expected_output_tokens is not None:
            output = min(output, self.expected_output_tokens)
        return self.prompt_tokens + output // 2


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A caller's request with what its headers say.

    ``time_limit`` is how many seconds the caller waits from ``arrived`` on.
    ``headers`` are those to be passed on as they came.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    arrived: float
    time_limit: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What is set for one sending of a call to one backend server.

    ``kv_source`` names the KV cache that the backend server takes over, as
    ``(address, handle)``. ``prefill_only`` asks for a handle instead of a run.
    """

    server: str
    account: str | None
    seconds_left: float | None
    prefill_only: bool = False
    kv_source: tuple[str, str] | None = None
    last_event_id: bytes | None = None
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests that a backend server runs and lets wait, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of a backend server's answer say.

    ``not_run`` is a promise that the call has not run there. ``sealed`` tells
    that the answer bears the backend server's seal, and ``own`` that it belongs
    to the call that was sent.
    """

    status: int
    not_run: bool
    sealed: bool
    own: bool
    encoded: bool
    load: ServerLoad | None = None

    @property
    def success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """A prompt's KV cache kept at a prefill server until it is taken."""

    handle: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    ``busy`` tells that an order is in progress, and ``orders`` how many it has
    accepted since its start.
    """

    stage: str
    busy: bool
    orders: int


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to an engine to change its stage.

    ``fence`` grows with each holder of the right to give orders. The engine
    refuses the order unless it has accepted ``orders`` orders so far.
    """

    stage: str
    holder: str
    fence: int
    orders: int


class CallCodec(abc.ABC):
    """Translates between a platform's headers and the types of this module."""

    @abc.abstractmethod
    def read_call(
        self, head: RequestHead, body: bytes, arrived: float
    ) -> ForwardedCall:
        """Return the call in a request; ``BadRequestError`` if it makes no sense."""

    @abc.abstractmethod
    def request(self, call: ForwardedCall, dispatch: Dispatch) -> RequestHead:
        """Return the head that a backend server receives."""

    @abc.abstractmethod
    def answer_facts(self, call: ForwardedCall, head: AnswerHead) -> AnswerFacts:
        """Return what the head of an answer says."""

    @abc.abstractmethod
    def prefill_result(self, body: bytes) -> PrefillResult:
        """Return the handle in a prefill's answer; ``BackendNonsenseError`` if none."""

    @abc.abstractmethod
    def free_handle(self, handle: str, server_address: str) -> RequestHead:
        """Return the request that frees a KV cache which nobody will take."""

    @abc.abstractmethod
    def report_request(self, server: BackendServer) -> RequestHead:
        """Return the request for an engine's report of itself."""

    @abc.abstractmethod
    def engine_report(self, body: bytes) -> EngineReport:
        """Return an engine's report; ``BackendNonsenseError`` if it is none."""

    @abc.abstractmethod
    def stage_order(
        self, server: BackendServer, order: StageOrder
    ) -> tuple[RequestHead, bytes]:
        """Return the request, head and body, that changes an engine's stage."""

    @abc.abstractmethod
    def retry_after(self, seconds: float) -> Headers:
        """Return the headers that tell a caller when to come back."""


class Refused(Exception):  # noqa: N818
    """An own answer instead of a backend server's.

    Parameters
    ----------
    status : int
        408, 421, 429 and 503 promise that the call has not run and never will.
    reason : str
        A word for logs, counters and the body of the answer.
    retry_after : float or None
        Seconds after which coming back helps.
    inputs : dict
        What decided it, for the log.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        super().__init__(f"{status} {reason}")
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.inputs = inputs or {}
