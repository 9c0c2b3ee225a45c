"""Types of forwarded calls and answers, and the interface of a platform's codec."""

import abc
from dataclasses import dataclass

from ..transport.http_exchange import Headers, RequestHead, ResponseHead
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
"""Hop-by-hop headers, which apply to a single connection (RFC 9110, 7.6.1)."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return ``headers`` without the hop-by-hop ones.

    Headers that a ``Connection`` header names are hop-by-hop too.

    >>> end_to_end_headers(((b"Connection", b"x-a"), (b"X-A", b"1"), (b"X-B", b"2")))
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


def answer_headers(head: ResponseHead) -> Headers:
    """Return the headers of a backend server's answer that are sent to the caller.

    ``Content-Length`` is left out because the answer is framed again.
    """
    return tuple(
        each
        for each in end_to_end_headers(head.headers)
        if each[0] != b"content-length"
    )


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a model call, as given in its headers; counts are in tokens.

    ``expected_output_tokens`` is the caller's estimate: single values are often far
    off, but the median is right. ``parts`` lists the segments of the prompt in
    order as pairs of id and token count.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def tokens(self) -> int:
        """The largest possible sum of prompt and output tokens."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def mean_kv_tokens(self) -> int:
        """KV memory that the call holds, in tokens, averaged over its run time.

        The prompt is held from the start, while the output grows linearly, so half
        of it counts.
        """
        output = self.max_output_tokens
        if self.expected_output_tokens is not None:
            output = min(output, self.expected_output_tokens)
        return self.prompt_tokens + output // 2


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A caller's request with the parsed values of its headers.

    The caller waits for ``time_limit`` seconds from ``arrived`` on. ``headers`` are
    the ones that are forwarded unchanged. A call that takes a stream up after
    ``last_event_id`` names in ``first_call_id`` the one that brought its first event.
    ``servers_tried`` counts the servers that may have run a call which another instance
    passes on.
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
    api_key: str | None = None
    prompt: Prompt | None = None
    last_event_id: bytes | None = None
    first_call_id: str | None = None
    servers_tried: int = 0


@dataclass(frozen=True, slots=True)
class SendParameters:
    """Parameters of one request that forwards a call to a backend server.

    ``kv_source`` is the ``(address, handle)`` of a prefilled KV cache that the
    backend server fetches. With ``prefill_only`` the backend server prefills the
    prompt and answers with the handle of the KV cache.
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
    """Running and waiting requests at a backend server, and its number of slots.

    ``pace`` is how long work currently takes there in percent of normal, or ``None``
    if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """The parsed headers of a backend server's answer.

    ``not_run`` is the backend server's promise that it has not run the call. A promise
    is made to one call, so one on a connection that was used before must name its id.
    ``has_seal`` says whether the answer carries the backend server's seal,
    ``echoes_call_id`` whether it echoes the id of the call that was sent, and
    ``echoes_other_id`` whether it echoes that of another one.
    """

    status: int
    not_run: bool
    has_seal: bool
    echoes_call_id: bool
    has_content_encoding: bool
    load: ServerLoad | None = None
    echoes_other_id: bool = False

    @property
    def success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What the headers of any answer say about the backend server itself.

    ``leaving`` is set by a server that is about to leave. ``pause`` is the time in
    seconds for which a server that turned a request away wants no more from this
    instance, or 0. ``limit`` is the number of requests a second that a server in need
    takes from all instances together, or ``None``. ``load`` is what the server has to
    do at the time of the answer, or ``None``. ``cold`` is the time in seconds for
    which the server stays cold, maybe 0, or ``None`` if it says nothing about that.
    """

    leaving: bool = False
    pause: float = 0.0
    limit: float | None = None
    load: ServerLoad | None = None
    cold: float | None = None


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """A KV cache that a prefill server holds until a decode server fetches it."""

    handle: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports.

    ``busy`` is set while the engine carries out an order; ``accepted_orders`` counts
    the orders that it has accepted since its start. ``waiting`` and ``running`` count
    its requests, ``kv_used`` and ``kv_total`` the tokens that its KV memory cannot
    evict and can hold, and ``kv_handles`` the KV caches that it holds for others;
    each is ``None`` if the engine does not report it.
    """

    stage: str
    busy: bool
    accepted_orders: int
    waiting: int | None = None
    running: int | None = None
    kv_used: int | None = None
    kv_total: int | None = None
    kv_handles: int | None = None


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to an engine to change its stage.

    ``fencing_token`` is that of the holder's lease. The engine refuses the order
    unless ``expected_orders`` is the number of orders that it has accepted so far.
    """

    stage: str
    holder: str
    fencing_token: int
    expected_orders: int


class CallCodec(abc.ABC):
    """Translates between a platform's headers and the types of this module."""

    @abc.abstractmethod
    def parse_call(
        self, head: RequestHead, body: bytes, arrived: float
    ) -> ForwardedCall:
        """Parse a caller's request; raise ``BadRequestError`` if it is malformed."""

    @abc.abstractmethod
    def parse_api_key(self, head: RequestHead) -> str | None:
        """Return the API key of a caller's request, if it has one."""

    @abc.abstractmethod
    def forward_request(
        self, call: ForwardedCall, parameters: SendParameters
    ) -> RequestHead:
        """Return the request head that forwards ``call`` to a backend server."""

    @abc.abstractmethod
    def pass_on_request(
        self,
        call: ForwardedCall,
        *,
        seconds_left: float,
        servers_tried: int,
        last_event_id: bytes | None,
        first_call_id: str | None,
    ) -> RequestHead:
        """Return the request head that passes ``call`` on to another instance.

        It is like the caller's, with the time left and the number of servers that may
        have run it; a stream that has begun is taken
        up after ``last_event_id`` of the call ``first_call_id``.
        """

    @abc.abstractmethod
    def parse_answer(
        self, call: ForwardedCall, head: ResponseHead, *, on_kept_connection: bool
    ) -> AnswerMetadata:
        """Parse the headers of a backend server's answer to ``call``.

        An answer ``on_kept_connection`` may be a second copy of an earlier one: without
        the id of the call it promises nothing.
        """

    @abc.abstractmethod
    def parse_notice(self, head: ResponseHead) -> ServerNotice:
        """Parse what an answer's headers say about the server that sent it."""

    @abc.abstractmethod
    def parse_prefill_result(self, body: bytes) -> PrefillResult:
        """Parse a prefill answer's body, or raise ``InvalidBackendResponseError``."""

    @abc.abstractmethod
    def free_kv_cache_request(self, handle: str, server_address: str) -> RequestHead:
        """Return the request that releases a KV cache which will not be fetched."""

    @abc.abstractmethod
    def engine_report_request(self, server: BackendServer) -> RequestHead:
        """Return the request for an engine's report."""

    @abc.abstractmethod
    def parse_engine_report(self, body: bytes) -> EngineReport:
        """Parse an engine's report, or raise ``InvalidBackendResponseError``."""

    @abc.abstractmethod
    def stage_order_request(
        self, server: BackendServer, order: StageOrder
    ) -> tuple[RequestHead, bytes]:
        """Return the head and body of the request that changes an engine's stage."""

    @abc.abstractmethod
    def health_request(self, server: BackendServer, path: str) -> RequestHead:
        """Return the request for a server's health."""

    @abc.abstractmethod
    def parse_retry_after(self, head: ResponseHead) -> float | None:
        """Return the seconds after which an answer asks to retry, if any."""

    @abc.abstractmethod
    def retry_after(self, seconds: float) -> Headers:
        """Return the headers that tell a caller when to retry."""


class Refused(Exception):  # noqa: N818
    """The router answers a call itself instead of returning a backend's answer.

    Parameters
    ----------
    status : int
        408, 421, 429 and 503 promise that the call has not run and never will.
    reason : str
        Machine-readable reason for logs, counters and the body of the answer.
    retry_after : float or None
        Seconds after which a retry may succeed.
    inputs : dict
        Values that led to the refusal, for the log.
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
