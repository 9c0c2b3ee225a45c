"""The whole request path against an oracle of the rules: anything may go wrong.

Real forwarding parts run on a virtual clock; servers and callers are scripted by
hypothesis: answers, wrong answers, rejections, resets at any point, silence, servers
that leave, drain or can't be reached, callers that leave, withdrawn keys.
"""

import itertools

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from tests.forwarding_fakes import KEY, FakeResponder, World, deployment, server

NOT_RUN = (408, 421, 429, 503)
EVENTS = 3
IDEMPOTENT = {"lookups": True, "bookings": False, "digests": False, "reports": True}
SERVERS_AT_MOST = 2
STREAMS = ("digests", "reports")
TIMEOUT_SECONDS = {"lookups": 2.0, "bookings": 2.0, "digests": 14.0, "reports": 14.0}
SLACK_SECONDS = 0.05

DISTURBANCES = (
    "reject",
    "reset",
    "answer_wrongly",
    "caller_leaves",
    "server_leaves",
    "server_leaves_while_it_is_connected",
    "server_comes_back",
    "server_is_unreachable_or_reachable",
    "connecting_takes_long",
    "connection_is_made",
    "key_is_withdrawn",
)


class Attempt:
    """One call of a caller and all that was sent for it."""

    def __init__(self, route, begun):
        self.route = route
        self.begun = begun
        self.responder = FakeResponder()
        self.task = None
        self.withdrawn = False
        self.left = False
        self.sendings = []
        self.whole_bodies = []

    @property
    def over(self):
        return self.left or self.responder.done

    def may_have_run(self):
        return [each for each in self.sendings if not each.rejected]


class RequestPath(RuleBasedStateMachine):
    """Callers, an instance and backend servers."""

    def __init__(self):
        super().__init__()
        self.servers = {
            each.address: each
            for each in (
                server("a"),
                server("bb"),
                server("pre", "llm", "prefill"),
                server("dec-a", "llm", "decode"),
                server("dec-bb", "llm", "decode"),
            )
        }
        self.world = World(*self.servers.values())
        self.world.network.on_sending = self.arrived
        self.attempts = {}
        self.open = []
        self.handles = {}
        self.numbers = itertools.count(1)
        self.gone = set()
        self.key = KEY

    def arrived(self, sending):
        """Check a sending at the instant when its first byte leaves."""
        if sending.head.method == b"DELETE":
            sending.answer(200, b"{}")
            return
        attempt = self.attempts.get(sending.header("X-Pomeloglade-Attempt-Id"))
        assert attempt is not None, "a sending that no caller asked for"
        assert not attempt.over, "sent after the final answer or the caller's end"
        assert not attempt.withdrawn, "sent with a key that was withdrawn before"
        found = self.servers[sending.address]
        assert sending.address not in self.gone, "sent to a server that has left"
        expected = sending.header("X-Pomeloglade-Expect-Instance")
        assert expected == found.id.encode()
        assert sending.header("X-Pomeloglade-Tenant") == b"club"
        assert sending.header("Authorization") is None
        sending.rejected = False
        sending.events = int(sending.header("Last-Event-Id") or b"0")
        sending.begun = False
        self.open.append(sending)
        if sending.prefill:
            assert found.stage == "prefill"
            return
        assert found.service == ("llm" if attempt.route in STREAMS else "api")
        earlier = attempt.may_have_run()
        if not IDEMPOTENT[attempt.route]:
            assert not earlier, "sent again though it may have run"
        assert len({s.address for s in earlier} | {sending.address}) <= SERVERS_AT_MOST
        source = sending.header("X-Pomeloglade-Kv-Source")
        if source is not None:
            handle = source.rpartition(b"/")[2].decode()
            owner = self.handles.pop(handle, None)
            assert owner is attempt, "goes on from another call's or a taken handle"
        attempt.sendings.append(sending)

    def attempt_of(self, sending):
        return self.attempts[sending.header("X-Pomeloglade-Attempt-Id")]

    def take(self, data):
        """Return an open sending whose answer has not ended."""
        self.open = [each for each in self.open if not each.aborted]
        if not self.open:
            return None
        return self.open[data.draw(st.integers(0, len(self.open) - 1))]

    @rule(route=st.sampled_from((*sorted(IDEMPOTENT), "reports")))
    def call(self, route):
        begin = self.world.model_call if route in STREAMS else self.world.call
        attempt = Attempt(route, self.world.clock.seconds())
        self.attempts[b"%016x" % (self.world.calls + 1)] = attempt
        _, attempt.task = begin(
            f"/{route}/1", key=self.key, responder=attempt.responder
        )

    @rule(data=st.data(), steps=st.integers(1, 4))
    def answer(self, data, steps):
        """Go on with an answer as a sound server does."""
        sending = self.take(data)
        if sending is None:
            return
        attempt = self.attempt_of(sending)
        if sending.prefill:
            self.open.remove(sending)
            handle = f"h{next(self.numbers)}"
            self.handles[handle] = attempt
            sending.answer_prefill(handle)
        elif attempt.route in STREAMS:
            for _ in range(steps):
                if not sending.aborted and sending in self.open:
                    self.stream(sending)
        else:
            self.open.remove(sending)
            body = f"answer {next(self.numbers)}".encode()
            attempt.whole_bodies.append(body)
            sending.answer(200, body)

    def stream(self, sending):
        """Send a stream's next part."""
        if not sending.begun:
            sending.begun = True
            sending.head_of_answer()
        elif sending.events < EVENTS:
            sending.events += 1
            name = sending.header("X-Pomeloglade-Attempt-Id").decode()
            sending.event(sending.events, name)
        else:
            self.open.remove(sending)
            sending.end()

    @rule(data=st.data(), disturbance=st.sampled_from(DISTURBANCES))
    def disturb(self, data, disturbance):
        getattr(self, disturbance)(data)

    def reject(self, data):
        sending = self.take(data)
        if sending is None or sending.begun:
            return
        self.open.remove(sending)
        sending.rejected = True
        source = sending.header("X-Pomeloglade-Kv-Source")
        if source is not None:
            # An engine without room leaves the handle where it is.
            handle = source.rpartition(b"/")[2].decode()
            self.handles[handle] = self.attempt_of(sending)
        sending.reject(data.draw(st.sampled_from((503, 421))))

    def reset(self, data):
        sending = self.take(data)
        if sending is not None:
            self.open.remove(sending)
            sending.reset()

    @precondition(lambda self: any(each.begun for each in self.open))
    @rule(data=st.data(), torn=st.booleans())
    def stream_breaks(self, data, torn):
        sending = data.draw(st.sampled_from([s for s in self.open if s.begun]))
        self.open.remove(sending)
        if torn and not sending.aborted and sending.events < EVENTS:
            sending.exchange.received(b"id: %d\nda" % (sending.events + 1))
        sending.reset()

    def answer_wrongly(self, data):
        wrong = data.draw(st.sampled_from(("id", "seal", "error")))
        sending = self.take(data)
        if sending is None or sending.begun or sending.prefill:
            return
        self.open.remove(sending)
        if wrong == "id":
            sending.answer(200, b"other", x_pomeloglade_attempt_id=b"other")
        elif wrong == "seal":
            sending.answer(200, b"other", x_pomeloglade_server_seal=None)
        else:
            sending.answer(500, b"error")

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.3, 1.0)))
    def wait(self, seconds):
        self.world.advance(seconds)

    def caller_leaves(self, data):
        waiting = [each for each in self.attempts.values() if not each.over]
        if waiting:
            attempt = waiting[data.draw(st.integers(0, len(waiting) - 1))]
            attempt.left = True
            attempt.task.cancel()

    def server_leaves(self, data):
        address = data.draw(st.sampled_from(sorted(self.servers)))
        self.leave(address, data.draw(st.booleans()))

    def server_leaves_while_it_is_connected(self, data):
        if not self.connecting():
            return
        address = data.draw(st.sampled_from(self.connecting()))
        self.leave(address, data.draw(st.booleans()))
        self.world.network.connect(address)
        del self.world.network.slow[address]

    def connecting(self):
        """Return the addresses to which a connection is being made."""
        slow = self.world.network.slow
        return [a for a in sorted(slow) if slow[a] is not None and not slow[a].called]

    def leave(self, address, drains):
        self.gone.add(address)
        found = self.servers[address]
        if drains:
            leaving = server(
                found.id, found.service, found.stage, found.slots, draining=True
            )
            self.world.backends.put(leaving)
        else:
            self.world.backends.remove(found.id, lenient=False)

    def server_comes_back(self, data):
        if not self.gone:
            return
        address = data.draw(st.sampled_from(sorted(self.gone)))
        self.gone.discard(address)
        self.world.backends.put(self.servers[address])

    def server_is_unreachable_or_reachable(self, data):
        address = data.draw(st.sampled_from(sorted(self.servers)))
        self.world.network.down ^= {address}

    def connecting_takes_long(self, data):
        address = data.draw(st.sampled_from(sorted(self.servers)))
        self.world.network.slow.setdefault(address, None)

    def connection_is_made(self, data):
        if not self.world.network.slow:
            return
        address = data.draw(st.sampled_from(sorted(self.world.network.slow)))
        if address in self.connecting():
            self.world.network.connect(address)
        del self.world.network.slow[address]

    def key_is_withdrawn(self, data):
        version = self.world.belief.deployment.version + 1
        self.key = f"key-{version}"
        self.world.belief.deployment = deployment(version, key=self.key)
        for attempt in self.attempts.values():
            # A call that was accepted is not sent again with a withdrawn key.
            attempt.withdrawn = True

    @invariant()
    def answers_are_true(self):
        for name, attempt in self.attempts.items():
            responder = attempt.responder
            if responder is None or not responder.begun:
                continue
            if responder.status in NOT_RUN:
                assert not attempt.may_have_run(), "refused though it may have run"
            if responder.status != 200:
                continue
            if attempt.route in STREAMS:
                whole = [
                    f"id: {number + 1}\ndata: {name.decode()}\n\n".encode()
                    for number in range(EVENTS)
                ]
                if responder.done and not responder.was_cut:
                    assert responder.body == b"".join(whole)
                else:
                    assert b"".join(whole).startswith(responder.body)
            elif responder.done:
                assert responder.body in attempt.whole_bodies

    @invariant()
    def nobody_waits_beyond_the_timeout(self):
        now = self.world.clock.seconds()
        for attempt in self.attempts.values():
            waited = now - attempt.begun
            allowed = TIMEOUT_SECONDS[attempt.route] + SLACK_SECONDS
            assert attempt.over or waited <= allowed, f"{attempt.route} is held"

    @invariant()
    def nothing_is_worked_on_for_nobody(self):
        for sending in self.open:
            if self.attempt_of(sending).over:
                assert sending.aborted, "left at work after the call's end"

    @invariant()
    def no_error_of_our_own(self):
        assert "internal_error" not in self.world.log.names()

    def teardown(self):
        """Let all limits pass: every caller that stayed has its final answer."""
        self.world.advance(max(TIMEOUT_SECONDS.values()) + 1.0)
        for attempt in self.attempts.values():
            assert attempt.over, f"{attempt.route} was never answered"
        self.answers_are_true()
        self.no_error_of_our_own()
        assert self.world.loads.own() == {}
        assert self.world.forwarder.open_calls == 0


TestRequestPath = RequestPath.TestCase
TestRequestPath.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    # Shrinking a failure takes minutes; the failing run is printed as it is.
    phases=[Phase.explicit, Phase.generate],
)
