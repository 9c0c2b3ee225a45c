"""Tests of the HTTP client for model engines."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, succeed
from twisted.internet.task import Clock

from pomeloglade.state.deployment import BackendServer
from pomeloglade.transport.engines import HttpEngines


class StreamingHttp:
    """Answers each request with a response whose body the test delivers."""

    def __init__(self):
        self.readers = []

    def send(self, exchange):
        return succeed(SimpleNamespace(code=200, deliverBody=self.deliver))

    def deliver(self, reader):
        reader.transport = SimpleNamespace(loseConnection=reader.connectionLost)
        self.readers.append(reader)


@pytest.fixture
def http():
    return StreamingHttp()


def test_cancelled_decode_ends_and_is_not_resumed(http):
    engines = HttpEngines(http, Clock())
    server = BackendServer("d1", "zone-a", "127.0.0.1:1", "llm", "decode")
    call = SimpleNamespace(output_tokens=3)
    results = []
    decoded = engines.decode(server, "i1.1.1", call, lambda token: None)
    decoded.addBoth(results.append)
    decoded.cancel()
    assert len(http.readers) == 1
    assert results[0].check(CancelledError)
