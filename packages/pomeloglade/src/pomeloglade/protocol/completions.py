"""Bodies of model requests and responses in the format of the OpenAI API."""

from dataclasses import dataclass
from typing import Any

import msgspec

from pomeloglade_coordination.json_decoding import decode_json
from pomeloglade_coordination.refusals import Reason, Refusal

from ..errors import BadRequestError
from ..state.call import Token, Usage

DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """Body of ``POST …/completions`` and ``POST …/chat/completions``.

    Other fields are ignored, as client libraries send many that the router does
    not use.
    """

    model: str
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int = DEFAULT_OUTPUT_TOKENS
    stream: bool = False

    @property
    def text(self) -> str:
        """The prompt, or the chat messages joined, each with its role."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{each.role}: {each.content}" for each in self.messages)


@dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Details of a refusal for the caller."""

    reason: str
    step: str
    peer: str
    not_run: bool
    request_id: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of every refusal."""

    error: ErrorDetail


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.OVER_RATE: 429,
    Reason.OVER_BURST: 413,
    Reason.QUEUE_FULL: 503,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.BACKEND_FAILED: 502,
    Reason.INVALID_BACKEND_RESPONSE: 502,
    Reason.DEADLINE: 504,
    Reason.OUTCOME_UNKNOWN: 504,
    Reason.CANCELLED: 499,
}
DEFAULT_REFUSAL_STATUS = 503


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUS_BY_REASON.get(refusal.reason, DEFAULT_REFUSAL_STATUS)


def retry_after_seconds(refusal: Refusal) -> int | None:
    """Return the seconds for ``Retry-After``, rounded up, or ``None``."""
    if refusal.retry_after is None:
        return None
    return max(1, -int(-refusal.retry_after.total_seconds() // 1))


def decode_body(body: bytes) -> CompletionBody:
    """Return the decoded body, or raise ``BadRequestError`` naming the field."""
    try:
        completion = decode_json(body, CompletionBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise BadRequestError(f"body: {error}", step="receive") from error
    if not completion.text:
        raise BadRequestError("body: prompt or messages missing", step="receive")
    if not 1 <= completion.max_tokens <= MAX_OUTPUT_TOKENS:
        raise BadRequestError(
            f"body: max_tokens is {completion.max_tokens}, allowed are 1 to "
            f"{MAX_OUTPUT_TOKENS}",
            step="receive",
        )
    return completion


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    detail = ErrorDetail(
        refusal.reason.value,
        refusal.step.value,
        refusal.peer,
        refusal.not_run,
        request_id,
        refusal.detail,
    )
    return msgspec.json.encode(ErrorBody(detail))


def encode_event(body: bytes) -> bytes:
    """Return ``body`` as one server-sent event."""
    return b"data: " + body + b"\n\n"


def encode_token(token: Token, request_id: str, model: str, *, chat: bool) -> bytes:
    """Return one token as a server-sent event."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"content": token.text}
    else:
        choice["text"] = token.text
    return encode_event(_encode_body(request_id, model, choice, chat=chat, chunk=True))


def encode_end(usage: Usage, request_id: str, model: str, *, chat: bool) -> bytes:
    """Return the last events of a complete streamed response."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": usage.finish_reason}
    choice |= {"delta": {}} if chat else {"text": ""}
    body = _encode_body(request_id, model, choice, chat=chat, chunk=True, usage=usage)
    return encode_event(body) + DONE_EVENT


def encode_answer(
    text: str, usage: Usage, request_id: str, model: str, *, chat: bool
) -> bytes:
    """Return a complete response as one JSON body."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": usage.finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode_body(request_id, model, choice, chat=chat, chunk=False, usage=usage)


def _encode_body(
    request_id: str,
    model: str,
    choice: dict[str, Any],
    *,
    chat: bool,
    chunk: bool,
    usage: Usage | None = None,
) -> bytes:
    kind = "chat.completion" if chat else "text_completion"
    body: dict[str, Any] = {
        "id": request_id,
        "object": f"{kind}.chunk" if chat and chunk else kind,
        "model": model,
        "choices": [choice],
    }
    if usage is not None:
        body["usage"] = {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.output_tokens,
            "total_tokens": usage.prompt_tokens + usage.output_tokens,
        }
    return msgspec.json.encode(body)
