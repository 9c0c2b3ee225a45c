"""Stand-in for a plain service with lookups and bookings."""

import msgspec
from klein import Klein
from twisted.web.iweb import IRequest
from twisted.web.server import Site


class PlainServiceStandIn:
    """Answers lookups and counts how often each booking has run.

    ``keys_seen`` counts requests with an ``Authorization`` header, so that tests can
    check that no client's API key reaches a backend server.
    """

    app = Klein()

    def __init__(self, name: str) -> None:
        self._name = name
        self.runs_by_booking: dict[str, int] = {}
        self.keys_seen = 0

    @app.route("/<path:path>", methods=["GET"])
    def look_up(self, http: IRequest, path: str) -> bytes:
        """Answer a lookup with its path."""
        self._count_api_key(http)
        return _json(http, {"service": self._name, "path": path})

    @app.route("/<path:path>", methods=["POST"])
    def book(self, http: IRequest, path: str) -> bytes:
        """Run a booking and return how often its idempotency key has run."""
        self._count_api_key(http)
        body = http.content.read().decode("utf-8", "replace")
        key = http.getHeader("Idempotency-Key") or body
        self.runs_by_booking[key] = self.runs_by_booking.get(key, 0) + 1
        http.setResponseCode(201)
        answer = {
            "service": self._name,
            "booked": body,
            "runs": self.runs_by_booking[key],
        }
        return _json(http, answer)

    @app.route("/stand-in/runs", methods=["GET"])
    def runs(self, http: IRequest) -> bytes:
        """Report the runs of every booking and the number of API keys seen."""
        return _json(http, {"runs": self.runs_by_booking, "keys_seen": self.keys_seen})

    def site(self) -> Site:
        """Return the site that serves these routes."""
        return Site(self.app.resource())

    def _count_api_key(self, http: IRequest) -> None:
        if http.getHeader("Authorization"):
            self.keys_seen += 1


def _json(http: IRequest, answer: dict) -> bytes:
    http.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(answer)
