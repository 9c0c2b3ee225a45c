"""Tests of the connections between instances and of their codec."""

import dataclasses
import random

import cbor2
import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import Clock

from pomeloglade.protocol import peer_codec
from pomeloglade.protocol.peer_hello import (
    Hello,
    KeepAlive,
    Proof,
    compute_proof,
    verify_proof,
)
from pomeloglade.transport import peer_session
from pomeloglade.transport.peers import LinkEvent, PeerLinks
from pomeloglade_coordination import (  # noqa: F401 - registers the messages
    configuration_messages,
    placement_messages,
    share_messages,
)
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.membership_messages import Heartbeat
from pomeloglade_coordination.peer import PeerMessage


class _Pipe:
    """One end of an in-memory connection; with ``drops_writes`` its writes are lost."""

    def __init__(self, reactor, protocol):
        self.reactor = reactor
        self.protocol = protocol
        self.other = None
        self.drops_writes = False
        self.open = True
        self.written = []

    def write(self, data):
        self.written.append(data)
        if self.open and not self.drops_writes:
            self.reactor.callLater(0, self.other.deliver, data)

    def deliver(self, data):
        if self.open:
            self.protocol.dataReceived(data)

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def abortConnection(self):  # noqa: N802
        self.reactor.callLater(0, self.lose)
        if not self.drops_writes:
            self.reactor.callLater(0, self.other.lose)

    loseConnection = abortConnection  # noqa: N815

    def lose(self):
        if self.open:
            self.open = False
            self.protocol.connectionLost(None)


class _MemoryReactor(Clock):
    """Connects ``PeerLinks`` in memory, in virtual time."""

    def __init__(self):
        super().__init__()
        self.factories_by_port = {}
        self.pipes = []

    def listenTCP(self, port, factory, interface=""):  # noqa: N802
        port = port or 1000 + len(self.factories_by_port)
        self.factories_by_port[port] = factory
        return _MemoryPort(port)

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        accepting = self.factories_by_port.get(port)
        if accepting is None:
            self.callLater(0, factory.clientConnectionFailed, None, _ConnectFailure())
            return
        near = _Pipe(self, factory.buildProtocol(None))
        far = _Pipe(self, accepting.buildProtocol(None))
        near.other, far.other = far, near
        self.pipes.append((near, far))
        for pipe in (far, near):
            pipe.protocol.makeConnection(pipe)
        return

    def run(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.advance(0.05)


class _ConnectFailure:
    def check(self, *classes):
        return None


@dataclasses.dataclass
class _MemoryPort:
    port: int

    def getHost(self):  # noqa: N802
        return self

    def stopListening(self):  # noqa: N802
        return None


@pytest.fixture
def reactor():
    return _MemoryReactor()


def make_links(reactor, name, secret="s", incarnation=1, host="127.0.0.1"):
    received = []
    made = PeerLinks(
        reactor=reactor,
        own=Member(name, "zone", incarnation, ""),
        listen_host=host,
        listen_port=0,
        on_message=lambda instance, message: received.append((instance, message)),
        secret=secret,
        random=random.Random(name),
    )
    return made, received


def test_one_connection_is_kept_when_both_ends_dial(reactor):
    (one, got_one), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"h:{two.listening_port}")
    two.connect(f"h:{one.listening_port}")
    reactor.run(1)
    one.send("b", Heartbeat(7))
    two.send("a", Heartbeat(8))
    reactor.run(1)
    assert got_two == [("a", Heartbeat(7))]
    assert got_one == [("b", Heartbeat(8))]
    assert sum(near.open for near, _ in reactor.pipes) == 1


@pytest.mark.parametrize("silent_ends", [(0,), (1,), (0, 1)])
def test_silent_connection_is_replaced_while_its_socket_is_open(reactor, silent_ends):
    (one, _), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"h:{two.listening_port}")
    reactor.run(1)
    for end in silent_ends:
        reactor.pipes[0][end].drops_writes = True
    reactor.run(8)
    one.send("b", Heartbeat(7))
    reactor.run(1)
    assert got_two == [("a", Heartbeat(7))]
    assert one.counters[LinkEvent.SILENT] + two.counters[LinkEvent.SILENT] >= 1
    assert len(reactor.pipes) >= 2


def test_redialled_connection_replaces_one_still_open_at_the_other_end(reactor):
    (one, got_one), (two, _) = make_links(reactor, "a"), make_links(reactor, "b")
    two.connect(f"h:{one.listening_port}")
    reactor.run(1)
    dialled, accepted = reactor.pipes[0]
    accepted.drops_writes = True
    reactor.run(1.5)
    dialled.drops_writes = True
    reactor.run(1.6)
    two.send("a", Heartbeat(7))
    reactor.run(0.2)
    assert got_one == [("b", Heartbeat(7))]
    assert one.counters[LinkEvent.REPLACED] == 1


def test_peer_without_the_secret_is_refused_and_the_secret_is_not_sent(reactor):
    (one, _), (two, got_two) = (
        make_links(reactor, "a", "right"),
        make_links(reactor, "b", "no"),
    )
    one.connect(f"h:{two.listening_port}")
    reactor.run(1)
    one.send("b", Heartbeat(7))
    reactor.run(1)
    assert got_two == []
    assert one.counters[LinkEvent.REFUSED] + two.counters[LinkEvent.REFUSED] >= 1
    sent = b"".join(data for pair in reactor.pipes for p in pair for data in p.written)
    assert b"right" not in sent


def test_newer_incarnation_takes_over_the_connection(reactor):
    one, _ = make_links(reactor, "a")
    old, got_old = make_links(reactor, "b", incarnation=1)
    new, got_new = make_links(reactor, "b", incarnation=2)
    for each in (old, new, old):
        each.connect(f"h:{one.listening_port}")
        reactor.run(1)
    one.send("b", Heartbeat(7))
    reactor.run(1)
    assert got_new == [("a", Heartbeat(7))]
    assert got_old == []


@pytest.mark.parametrize(
    "junk",
    [
        b"\x00" * 40,
        b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET " + b"x" * 70_000,
    ],
)
def test_invalid_handshake_closes_the_connection_with_an_error(reactor, junk):
    one, _ = make_links(reactor, "a")
    protocol = reactor.factories_by_port[one.listening_port].buildProtocol(None)
    pipe, other = _Pipe(reactor, protocol), _Pipe(reactor, _DiscardingProtocol())
    pipe.other, other.other = other, pipe
    protocol.makeConnection(pipe)
    pipe.deliver(junk)
    reactor.run(6)
    assert not pipe.open
    assert one.counters[LinkEvent.REFUSED] + one.counters[LinkEvent.SILENT] == 1


class _DiscardingProtocol:
    def dataReceived(self, data):  # noqa: N802
        pass

    def connectionLost(self, reason):  # noqa: N802
        pass


@pytest.mark.parametrize(
    ("send_invalid", "event"),
    [
        (lambda near, far: far.deliver(b"\xff" * 20), LinkEvent.REFUSED),
        (lambda near, far: near.protocol._send_frame(b"\x01"), LinkEvent.NOT_DECODED),
        (
            lambda near, far: near.protocol.send(KeepAlive()) or far.deliver(b"\x81\0"),
            LinkEvent.REFUSED,
        ),
    ],
)
def test_invalid_data_on_an_open_connection_is_counted_and_it_is_redialled(
    reactor, send_invalid, event
):
    (one, _), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"h:{two.listening_port}")
    reactor.run(0.5)
    send_invalid(*reactor.pipes[0])
    reactor.run(2)
    one.send("b", Heartbeat(7))
    reactor.run(0.2)
    assert two.counters[event] == 1
    assert got_two == [("a", Heartbeat(7))]


def test_own_address_among_the_peers_is_dialled_once(reactor):
    one, _ = make_links(reactor, "a")
    one.connect(f"h:{one.listening_port}")
    reactor.run(20)
    one.set_peers([f"h:{one.listening_port}"])
    reactor.run(20)
    assert len(reactor.pipes) == 1
    assert one.connected() == ()


def test_failing_handlers_are_counted_and_the_connection_stays_open(reactor):
    (one, _), (two, _) = make_links(reactor, "a"), make_links(reactor, "b")

    def fail(*_):
        raise KeyError("handler fault")

    two._on_message = two._on_connected = fail
    one.connect(f"h:{two.listening_port}")
    reactor.run(0.5)
    one.send("b", Heartbeat(7))
    reactor.run(0.5)
    assert two.counters[LinkEvent.HANDLER_FAILED] == 2
    assert "KeyError" in str(two.last_error)
    assert len(reactor.pipes) == 1


def test_message_before_the_proof_is_refused(reactor):
    (one, got_one), (two, _) = make_links(reactor, "a"), make_links(reactor, "b")
    two.connect(f"h:{one.listening_port}")
    session = reactor.pipes[0][0].protocol
    send_hello = session._send_hello
    session._send_hello = lambda: (send_hello(), session.send(Heartbeat(1)))
    reactor.run(0.1)
    assert got_one == []
    assert one.counters[LinkEvent.REFUSED] == 1


def test_slow_connection_drops_the_oldest_batches(reactor, monkeypatch):
    monkeypatch.setattr(peer_session, "MAX_SEND_BUFFER_BYTES", 100)
    (one, _), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"h:{two.listening_port}")
    reactor.run(0.5)
    producer = reactor.pipes[0][0].producer
    producer.pauseProducing()
    for number in range(50):
        one.send("b", Heartbeat(number))
        reactor.advance(0)
    producer.resumeProducing()
    reactor.run(0.5)
    numbers = [message.incarnation for _, message in got_two]
    assert 0 < len(numbers) < 50
    assert numbers == list(range(50))[-len(numbers) :]
    assert one.counters[LinkEvent.BATCH_DROPPED] == 50 - len(numbers)


def test_messages_of_one_reactor_iteration_share_a_frame(reactor):
    (one, _), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"h:{two.listening_port}")
    reactor.run(0.5)
    before = len(reactor.pipes[0][0].written)
    for number in range(5):
        one.send("b", Heartbeat(number))
    reactor.advance(0)
    reactor.advance(0)
    assert len(got_two) == 5
    assert len(reactor.pipes[0][0].written) == before + 1


def test_connection_over_real_sockets():
    reactor = SelectReactor()
    (one, got_one), (two, got_two) = make_links(reactor, "a"), make_links(reactor, "b")
    one.connect(f"127.0.0.1:{two.listening_port}")
    two.connect(f"127.0.0.1:{one.listening_port}")
    while not (one.connected() and two.connected()):
        reactor.iterate(0.01)
    while not (got_one and got_two):
        one.send("b", Heartbeat(7))
        two.send("a", Heartbeat(8))
        reactor.iterate(0.01)
    assert got_one[0] == ("b", Heartbeat(8))
    assert got_two[0] == ("a", Heartbeat(7))
    one.close()
    two.close()
    reactor.iterate(0.01)
    for reader in reactor.removeAll():
        reader.connectionLost(None)


# The codec

integers = strategies.integers(-(2**63), 2**63 - 1)
for value_type, values in (
    (int, integers),
    (float, strategies.floats(allow_nan=False)),
):
    strategies.register_type_strategy(value_type, values)

MESSAGES = peer_codec.message_classes().values()


@pytest.mark.parametrize("cls", MESSAGES, ids=lambda cls: cls.__name__)
@hypothesis.settings(max_examples=20)
@hypothesis.given(data=strategies.data())
def test_every_message_round_trips_through_the_codec(cls, data):
    message = data.draw(strategies.builds(cls))
    assert peer_codec.decode(peer_codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=60))
def test_invalid_bytes_raise_only_decode_error(data):
    try:
        batch = peer_codec.decode_batch(data)
    except peer_codec.DecodeError:
        return
    assert all(isinstance(each, PeerMessage) for each in batch.messages)


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        ("text", "expected an array"),
        ([], "expected an array"),
        (["Unknown"], "unknown message class"),
        (["Heartbeat"], "0 fields"),
        (["Heartbeat", 1, False, None, 4], "4 fields"),
        (["Heartbeat", True], "Heartbeat.incarnation: bool in place of int"),
        (["Presence", ["i", "z", "x", ""], False, False], "Member.incarnation: str"),
        (["Proof", "text"], "Proof.digest: str in place of bytes"),
    ],
)
def test_decode_error_names_the_field(raw, reason):
    with pytest.raises(peer_codec.DecodeError, match=reason):
        peer_codec.decode(cbor2.dumps(raw))


def test_unknown_message_does_not_affect_the_rest_of_its_batch():
    frame = cbor2.dumps([["Unknown", 1], ["Heartbeat", 3]])
    batch = peer_codec.decode_batch(frame)
    assert batch.messages == (Heartbeat(3),)
    assert len(batch.errors) == 1


def test_batch_of_any_size_round_trips():
    for count in (0, 1, 23, 24, 300):
        messages = tuple(Heartbeat(each) for each in range(count))
        frame = peer_codec.encode_batch(messages)
        assert peer_codec.decode_batch(frame).messages == messages


def test_proof_is_bound_to_both_nonces():
    one = Hello("a", "z", 1, "", b"1" * 16)
    two = Hello("b", "z", 1, "", b"2" * 16)
    other = dataclasses.replace(two, nonce=b"3" * 16)
    assert verify_proof(compute_proof("s", one, two), "s", one, two)
    assert not verify_proof(compute_proof("s", one, two), "s", one, other)
    assert not verify_proof(compute_proof("s", one, two), "s", two, one)
    assert not verify_proof(Proof(b""), "s", one, two)
