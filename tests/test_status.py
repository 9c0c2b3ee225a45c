"""Tests of the status client, without sockets."""

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
        results = []
        HttpStatusClient(clock, stub).fetch(ADDRESS).addBoth(results.append)
        stub.flush()
        clock.advance(2)
        return results[0]

    return fetch


def test_status_round_trips(fetch):
    assert fetch(200, encode(STATUS)) == STATUS


@pytest.mark.parametrize(
    ("code", "body", "reason"),
    [
        (503, encode(STATUS), "status code 503"),
        (200, b"<html>", "invalid response"),
        (200, b'{"instance": "i1"}', "invalid response"),
        (200, Deferred(), "no answer within 2s"),
    ],
)
def test_error_names_the_instance_and_the_reason(fetch, code, body, reason):
    failure = fetch(code, body)
    assert failure.check(StatusUnavailableError)
    assert reason in failure.getErrorMessage()
    assert (failure.value.step, failure.value.peer) == ("status", ADDRESS)
