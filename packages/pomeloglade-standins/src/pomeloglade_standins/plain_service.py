"""Stand-in of plain services: a roster with lookups and bookings."""

import msgspec
from klein import Klein
from twisted.web.iweb import IRequest
from twisted.web.server import Site


class PlainServiceStandIn:
    """Answers lookups and counts how often each booking has run.

    It notes every header it gets, so that tests can tell that no key came.
    """

    app = Klein()

    def __init__(self, name: str) -> None:
        self._name = name
        self.runs_by_booking: dict[str, int] = {}
        self.keys_seen = 0

    @app.route("/<path:path>", methods=["GET"])
    def look_up(self, http: IRequest, path: str) -> bytes:
        """Answer a lookup with what was asked."""
        self._note(http)
        return _json(http, {"service": self._name, "path": path})

    @app.route("/<path:path>", methods=["POST"])
    def book(self, http: IRequest, path: str) -> bytes:
        """Run a booking; the answer tells how often its key has run here."""
        self._note(http)
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
        """Report the runs of every booking and the keys seen."""
        return _json(http, {"runs": self.runs_by_booking, "keys_seen": self.keys_seen})

    def site(self) -> Site:
        """Return the site to listen with."""
        return Site(self.app.resource())

    def _note(self, http: IRequest) -> None:
        if http.getHeader("Authorization"):
            self.keys_seen += 1


def _json(http: IRequest, answer: dict) -> bytes:
    http.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(answer)
