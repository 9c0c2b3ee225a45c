"""Tests of asking an instance for its status, without sockets."""

import pytest
from klein import Klein
from treq.testing import StubTreq
from twisted.internet.defer import Deferred

from pomeloglade.protocol.instances import InstanceStatus, encode
from pomeloglade.transport.status import HttpStatusClient, StatusUnavailableError

pytestmark = pytest.mark.filterwarnings("ignore:Using readBody with a transport")

ADDRESS = "127.0.0.1:1"
STATUS = InstanceStatus("i1", "nordvik-a", 3, 7, True, {"i2": 6})


@pytest.fixture
def fetch(clock):
    def fetch(code, body):
        app = Klein()

        @app.route("/admin/status")
        def status(request):
            request.setResponseCode(code)
            return body

        stub = StubTreq(app.resource())
        seen = []
        HttpStatusClient(clock, stub).fetch(ADDRESS).addBoth(seen.append)
        stub.flush()
        clock.advance(2)
        return seen[0]

    return fetch


def test_a_status_survives_the_trip(fetch):
    assert fetch(200, encode(STATUS)) == STATUS


@pytest.mark.parametrize(
    ("code", "body", "reason"),
    [
        (503, encode(STATUS), "status code 503"),
        (200, b"<html>", "answer not understood"),
        (200, b'{"instance": "i1"}', "answer not understood"),
        (200, Deferred(), "no answer within 2s"),
    ],
)
def test_an_instance_without_a_status_is_named(fetch, code, body, reason):
    failure = fetch(code, body)
    assert failure.check(StatusUnavailableError)
    assert reason in failure.getErrorMessage()
    assert (failure.value.step, failure.value.peer) == ("status", ADDRESS)
