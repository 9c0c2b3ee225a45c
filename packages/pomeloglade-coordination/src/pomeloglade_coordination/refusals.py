"""Refusals of requests, returned as values instead of raised."""

import enum
from dataclasses import dataclass
from datetime import timedelta


class Reason(enum.Enum):
    """Reason why a request was refused; each member has its own counter."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    CUT_OFF = "cut_off"
    NOT_READY = "not_ready"
    OVER_RATE = "over_rate"
    OVER_BURST = "over_burst"
    QUEUE_FULL = "queue_full"
    FIRST_TOKEN_TARGET_MISSED = "target_missed"
    NO_BACKEND_SERVER = "no_backend_server"
    NO_ENGINE_MEMORY = "no_engine_memory"
    SUSPECT = "suspect"
    BACKEND_FAILED = "backend_failed"
    INVALID_BACKEND_RESPONSE = "backend_nonsense"
    DEADLINE = "deadline"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"


class Step(enum.Enum):
    """Step in the handling of a request, named in refusals."""

    RECEIVE = "receive"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    QUEUE = "queue"
    CLAIM = "claim"
    RESERVE = "reserve"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"
    CALL = "call"
    RECORD = "record"


@dataclass(frozen=True, slots=True)
class Refusal:
    """The value that a step returns instead of its result to refuse a request.

    ``not_run`` is true only if no earlier attempt at the request, on any instance,
    can have run. ``retry_after`` is the time after which a retry can succeed;
    ``None`` means that retrying does not help. ``detail`` adds to the reason, for
    example which field of a body is wrong.

    >>> Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=timedelta(seconds=2))
    ... # doctest: +ELLIPSIS
    Refusal(reason=<Reason.OVER_RATE: 'over_rate'>, step=<Step.ADMIT: ...
    """

    reason: Reason
    step: Step
    peer: str = ""
    not_run: bool = True
    retry_after: timedelta | None = None
    detail: str = ""
