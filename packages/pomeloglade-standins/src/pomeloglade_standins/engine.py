"""Stand-in for a model engine: prefill, transfer and decode with memory limits."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
import treq
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.iweb import IRequest
from twisted.web.server import Site

BYTES_PER_TOKEN = 4
TOKENS_PER_PIECE = 16
DEFAULT_PIECES = 2000
DEFAULT_SLOTS = 20
HANDLE_TTL_SECONDS = 0.9
CRASH_WORD = "crash-the-engine"


@dataclass(slots=True)
class EngineSpeed:
    """Processing time per token, in seconds."""

    prefill_per_token: float = 0.00005
    decode_per_token: float = 0.002


@dataclass(slots=True)
class Reservation:
    """Memory reserved for one request."""

    pieces: int
    prompt: str = ""
    imported: bool = False
    output: tuple[str, ...] = field(default=())


class EngineStandIn:
    """Serves the engines' HTTP protocol and tracks the memory that requests hold.

    The "model" answers with the first sentence of each paragraph of the prompt,
    one token per word. A prompt that contains ``CRASH_WORD`` ends the process, like
    a request that crashes its engine.
    """

    app = Klein()

    def __init__(
        self,
        reactor: IReactorTime,
        *,
        pieces: int = DEFAULT_PIECES,
        slots: int = DEFAULT_SLOTS,
        speed: EngineSpeed | None = None,
        checks_fencing: bool = True,
    ) -> None:
        self._reactor = reactor
        self._pieces = pieces
        self._slots = slots
        self._speed = speed or EngineSpeed()
        self._reservations_by_id: dict[str, Reservation] = {}
        self._prompts_by_handle: dict[str, tuple[str, str]] = {}
        self._handles = itertools.count(1)
        self._checks_fencing = checks_fencing
        self._highest_fencing_token = 0
        self._states_by_kind: dict[str, str] = {}
        self.crash = self._stop_reactor

    @property
    def held(self) -> tuple[str, ...]:
        """Ids of the requests that hold memory or a prefilled cache."""
        prefills = (request_id for request_id, _ in self._prompts_by_handle.values())
        return tuple(sorted({*self._reservations_by_id, *prefills}))

    @app.route("/v1/reserve", methods=["POST"])
    def reserve(self, http: IRequest) -> bytes:
        """Reserve memory for a request, or answer 409 if there is not enough."""
        body = _body(http)
        pieces = -(-int(body["tokens"]) // TOKENS_PER_PIECE)
        used = sum(each.pieces for each in self._reservations_by_id.values())
        if used + pieces > self._pieces or len(self._reservations_by_id) >= self._slots:
            return _error(http, 409, "full")
        self._reservations_by_id[body["request_id"]] = Reservation(pieces)
        return _ok(http, {"pieces": pieces})

    @app.route("/v1/prefill", methods=["POST"])
    async def prefill(self, http: IRequest) -> bytes:
        """Compute a prompt's KV cache and return a handle that soon expires."""
        body = _body(http)
        prompt = body["prompt"]
        if CRASH_WORD in prompt:
            self.crash()
        tokens = -(-len(prompt.encode()) // BYTES_PER_TOKEN)
        await deferLater(
            self._reactor, tokens * self._speed.prefill_per_token, lambda: None
        )
        handle = f"h{next(self._handles)}"
        self._prompts_by_handle[handle] = (body["request_id"], prompt)
        self._reactor.callLater(HANDLE_TTL_SECONDS, self._drop_handle, handle)
        answer = {
            "request_id": body["request_id"],
            "handle": handle,
            "prompt_tokens": tokens,
        }
        return _ok(http, answer)

    @app.route("/v1/export/<handle>", methods=["GET"])
    def export(self, http: IRequest, handle: str) -> bytes:
        """Send a KV cache to the engine that imports it, and free it here."""
        prefilled = self._prompts_by_handle.pop(handle, None)
        if prefilled is None:
            return _error(http, 404, "handle expired")
        return _ok(http, {"prompt": prefilled[1]})

    @app.route("/v1/import", methods=["POST"])
    async def import_cache(self, http: IRequest) -> bytes:
        """Fetch a KV cache from the engine that computed it."""
        body = _body(http)
        reservation = self._reservations_by_id.get(body["request_id"])
        if reservation is None:
            return _error(http, 404, "not reserved")
        url = f"{body['source']}/v1/export/{body['handle']}"
        response = await treq.get(url, timeout=2)
        if response.code != 200:
            return _error(http, 410, "handle expired")
        content = await treq.json_content(response)
        reservation.prompt = content["prompt"]
        reservation.output = tuple(summarize(reservation.prompt))
        reservation.imported = True
        return _ok(http, {})

    @app.route("/v1/decode", methods=["POST"])
    def decode(self, http: IRequest) -> "Deferred[None] | bytes":
        """Stream the output tokens, starting at ``first_index``."""
        body = _body(http)
        reservation = self._reservations_by_id.get(body["request_id"])
        if reservation is None or not reservation.imported:
            return _error(http, 404, "no cache")
        http.setHeader("Content-Type", "application/x-ndjson")
        stream = self._stream(http, body["request_id"], reservation, body)
        return ensureDeferred(stream)

    @app.route("/v1/cancel", methods=["POST"])
    def cancel(self, http: IRequest) -> bytes:
        """Free the memory and caches of a request."""
        request_id = _body(http)["request_id"]
        self._reservations_by_id.pop(request_id, None)
        for handle, (owner, _) in list(self._prompts_by_handle.items()):
            if owner == request_id:
                self._drop_handle(handle)
        return _ok(http, {})

    @app.route("/v1/held", methods=["GET"])
    def list_held(self, http: IRequest) -> bytes:
        """List the requests that hold memory or a prefilled cache."""
        return _ok(http, {"request_ids": self.held})

    @app.route("/v1/load", methods=["GET"])
    def load(self, http: IRequest) -> bytes:
        """Report the number of requests and slots."""
        answer = {
            "held": len(self._reservations_by_id),
            "waiting": 0,
            "slots": self._slots,
        }
        return _ok(http, answer)

    @app.route("/v1/orders", methods=["POST"])
    def order(self, http: IRequest) -> bytes:
        """Apply an order unless its fencing token is lower than the highest one seen.

        Without ``checks_fencing``, every order is applied.
        """
        body = _body(http)
        if self._checks_fencing and body["fencing"] < self._highest_fencing_token:
            return _error(http, 412, "old fencing token")
        self._highest_fencing_token = max(self._highest_fencing_token, body["fencing"])
        self._states_by_kind[body["kind"]] = body["state"]
        return _ok(http, {"state": body["state"]})

    @app.route("/v1/orders/<kind>", methods=["GET"])
    def read_state(self, http: IRequest, kind: str) -> bytes:
        """Report the current state of one kind of order; empty before the first."""
        state = self._states_by_kind.get(kind, "")
        return _ok(http, {"state": state, "loading": ""})

    def site(self) -> Site:
        """Return the site that serves the protocol."""
        return Site(self.app.resource())

    async def _stream(
        self, http: IRequest, request_id: str, reservation: Reservation, body: dict
    ) -> None:
        words = reservation.output[: body["output_tokens"]]
        for index in range(body["first_index"], len(words)):
            await deferLater(self._reactor, self._speed.decode_per_token, lambda: None)
            if request_id not in self._reservations_by_id:
                http.loseConnection()
                return
            text = words[index] if index == 0 else " " + words[index]
            line = {"request_id": request_id, "index": index, "text": text}
            http.write(msgspec.json.encode(line) + b"\n")
        self._reservations_by_id.pop(request_id, None)
        end = {
            "request_id": request_id,
            "done": True,
            "prompt_tokens": -(-len(reservation.prompt.encode()) // BYTES_PER_TOKEN),
            "output_tokens": len(words),
            "finish_reason": "stop"
            if len(words) == len(reservation.output)
            else "length",
        }
        http.write(msgspec.json.encode(end) + b"\n")

    def _drop_handle(self, handle: str) -> None:
        self._prompts_by_handle.pop(handle, None)

    def _stop_reactor(self) -> None:
        self._reactor.crash()


def summarize(text: str) -> Iterator[str]:
    """Yield the words of the first sentence of each paragraph."""
    for paragraph in text.split("\n"):
        sentence, _, _ = paragraph.strip().partition(". ")
        words = sentence.split()
        if words:
            yield from words[:-1]
            yield words[-1].rstrip(".") + "."


def _body(http: IRequest) -> dict:
    return msgspec.json.decode(http.content.read())


def _ok(http: IRequest, answer: dict) -> bytes:
    http.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(answer)


def _error(http: IRequest, status: int, text: str) -> bytes:
    http.setResponseCode(status)
    return _ok(http, {"error": text})
