"""Stateful test of the request path: each request and answer is checked by the rules.

The real forwarding components run on a virtual clock. Hypothesis scripts the servers
and callers: answers, wrong answers, rejections, resets at any point, silence, servers
that leave, drain or are unreachable, callers that disconnect, withdrawn keys.
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
from tests.forwarding_fakes import KEY, FakeResponder, Harness, deployment, server

NOT_RUN = (408, 421, 429, 503)
EVENTS = 3
IDEMPOTENT = {"lookups": True, "bookings": False, "digests": False, "reports": True}
MAX_SERVERS = 2
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
    """One call of a caller and the requests that were sent for it."""

    def __init__(self, route, begun):
        self.route = route
        self.begun = begun
        self.responder = FakeResponder()
        self.task = None
        self.withdrawn = False
        self.left = False
        self.requests = []
        self.whole_bodies = []

    @property
    def ended(self):
        return self.left or self.responder.done

    def may_have_run(self):
        return [each for each in self.requests if not each.rejected]


class RequestPath(RuleBasedStateMachine):
    """Callers, one instance and scripted backend servers."""

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
        self.harness = Harness(*self.servers.values())
        self.harness.network.on_request = self.arrived
        self.attempts = {}
        self.open = []
        self.handles = {}
        self.numbers = itertools.count(1)
        self.gone = set()
        self.key = KEY

    def arrived(self, request):
        """Check a request when it is sent."""
        if request.head.method == b"DELETE":
            request.answer(200, b"{}")
            return
        attempt = self.attempts.get(request.header("X-Pomeloglade-Attempt-Id"))
        assert attempt is not None, "request without a call of a caller"
        assert not attempt.ended, (
            "request sent after the final answer or the caller's disconnect"
        )
        assert not attempt.withdrawn, "request sent with a withdrawn key"
        target = self.servers[request.address]
        assert request.address not in self.gone, (
            "request sent to a server that has left"
        )
        expected = request.header("X-Pomeloglade-Expect-Instance")
        assert expected == target.id.encode()
        assert request.header("X-Pomeloglade-Tenant") == b"club"
        assert request.header("Authorization") is None
        request.rejected = False
        request.events = int(request.header("Last-Event-Id") or b"0")
        request.begun = False
        self.open.append(request)
        if request.prefill:
            assert target.stage == "prefill"
            return
        assert target.service == ("llm" if attempt.route in STREAMS else "api")
        earlier = attempt.may_have_run()
        if not IDEMPOTENT[attempt.route]:
            assert not earlier, "call sent again though it may have run"
        assert len({s.address for s in earlier} | {request.address}) <= MAX_SERVERS
        source = request.header("X-Pomeloglade-Kv-Source")
        if source is not None:
            handle = source.rpartition(b"/")[2].decode()
            owner = self.handles.pop(handle, None)
            assert owner is attempt, "KV handle of another call, or one fetched before"
        attempt.requests.append(request)

    def attempt_of(self, request):
        return self.attempts[request.header("X-Pomeloglade-Attempt-Id")]

    def draw_open(self, data):
        """Draw a request whose answer has not ended, or return ``None``."""
        self.open = [each for each in self.open if not each.aborted]
        if not self.open:
            return None
        return self.open[data.draw(st.integers(0, len(self.open) - 1))]

    @rule(route=st.sampled_from((*sorted(IDEMPOTENT), "reports")))
    def call(self, route):
        begin = self.harness.model_call if route in STREAMS else self.harness.call
        attempt = Attempt(route, self.harness.clock.seconds())
        self.attempts[b"%016x" % (self.harness.calls + 1)] = attempt
        _, attempt.task = begin(
            f"/{route}/1", key=self.key, responder=attempt.responder
        )

    @rule(data=st.data(), steps=st.integers(1, 4))
    def answer(self, data, steps):
        """Continue an answer as a healthy server would."""
        request = self.draw_open(data)
        if request is None:
            return
        attempt = self.attempt_of(request)
        if request.prefill:
            self.open.remove(request)
            handle = f"h{next(self.numbers)}"
            self.handles[handle] = attempt
            request.answer_prefill(handle)
        elif attempt.route in STREAMS:
            for _ in range(steps):
                if not request.aborted and request in self.open:
                    self.stream(request)
        else:
            self.open.remove(request)
            body = f"answer {next(self.numbers)}".encode()
            attempt.whole_bodies.append(body)
            request.answer(200, body)

    def stream(self, request):
        """Send the next part of a stream."""
        if not request.begun:
            request.begun = True
            request.begin_answer()
        elif request.events < EVENTS:
            request.events += 1
            name = request.header("X-Pomeloglade-Attempt-Id").decode()
            request.event(request.events, name)
        else:
            self.open.remove(request)
            request.end()

    @rule(data=st.data(), disturbance=st.sampled_from(DISTURBANCES))
    def disturb(self, data, disturbance):
        getattr(self, disturbance)(data)

    def reject(self, data):
        request = self.draw_open(data)
        if request is None or request.begun:
            return
        self.open.remove(request)
        request.rejected = True
        source = request.header("X-Pomeloglade-Kv-Source")
        if source is not None:
            # An engine that rejects a call has not fetched the KV cache.
            handle = source.rpartition(b"/")[2].decode()
            self.handles[handle] = self.attempt_of(request)
        request.reject(data.draw(st.sampled_from((503, 421))))

    def reset(self, data):
        request = self.draw_open(data)
        if request is not None:
            self.open.remove(request)
            request.reset()

    @precondition(lambda self: any(each.begun for each in self.open))
    @rule(data=st.data(), torn=st.booleans(), by_reset=st.booleans())
    def stream_breaks(self, data, torn, by_reset):
        """Break a stream by a reset, or by a regular end inside an event."""
        request = data.draw(st.sampled_from([s for s in self.open if s.begun]))
        self.open.remove(request)
        torn = torn and not request.aborted and request.events < EVENTS
        if torn:
            request.exchange.receive_body(b"id: %d\nda" % (request.events + 1))
        if torn and not by_reset:
            request.end()
        else:
            request.reset()

    def answer_wrongly(self, data):
        wrong = data.draw(st.sampled_from(("id", "seal", "error")))
        request = self.draw_open(data)
        if request is None or request.begun or request.prefill:
            return
        self.open.remove(request)
        if wrong == "id":
            request.answer(200, b"other", x_pomeloglade_attempt_id=b"other")
        elif wrong == "seal":
            request.answer(200, b"other", x_pomeloglade_server_seal=None)
        else:
            request.answer(500, b"error")

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.3, 1.0)))
    def wait(self, seconds):
        self.harness.advance(seconds)

    def caller_leaves(self, data):
        waiting = [each for each in self.attempts.values() if not each.ended]
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
        self.harness.network.connect(address)
        del self.harness.network.slow[address]

    def connecting(self):
        """Return the addresses with a pending connection."""
        slow = self.harness.network.slow
        return [a for a in sorted(slow) if slow[a] is not None and not slow[a].called]

    def leave(self, address, drains):
        self.gone.add(address)
        target = self.servers[address]
        if drains:
            leaving = server(
                target.id, target.service, target.stage, target.slots, draining=True
            )
            self.harness.backends.put(leaving)
        else:
            self.harness.backends.remove(target.id, lenient=False)

    def server_comes_back(self, data):
        if not self.gone:
            return
        address = data.draw(st.sampled_from(sorted(self.gone)))
        self.gone.discard(address)
        self.harness.backends.put(self.servers[address])

    def server_is_unreachable_or_reachable(self, data):
        address = data.draw(st.sampled_from(sorted(self.servers)))
        self.harness.network.down ^= {address}

    def connecting_takes_long(self, data):
        address = data.draw(st.sampled_from(sorted(self.servers)))
        self.harness.network.slow.setdefault(address, None)

    def connection_is_made(self, data):
        if not self.harness.network.slow:
            return
        address = data.draw(st.sampled_from(sorted(self.harness.network.slow)))
        if address in self.connecting():
            self.harness.network.connect(address)
        del self.harness.network.slow[address]

    def key_is_withdrawn(self, data):
        version = self.harness.store_view.deployment.version + 1
        self.key = f"key-{version}"
        self.harness.store_view.deployment = deployment(version, key=self.key)
        for attempt in self.attempts.values():
            # Accepted calls must not be sent again either.
            attempt.withdrawn = True

    @invariant()
    def answers_are_consistent(self):
        for name, attempt in self.attempts.items():
            responder = attempt.responder
            if responder is None or not responder.head_sent:
                continue
            if responder.status in NOT_RUN:
                assert not attempt.may_have_run(), (
                    "refused as not run though it may have run"
                )
            if responder.status != 200:
                continue
            if attempt.route in STREAMS:
                whole = [
                    f"id: {number + 1}\ndata: {name.decode()}\n\n".encode()
                    for number in range(EVENTS)
                ]
                if responder.done and not responder.was_aborted:
                    assert responder.body == b"".join(whole)
                else:
                    assert b"".join(whole).startswith(responder.body)
            elif responder.done:
                assert responder.body in attempt.whole_bodies

    @invariant()
    def calls_end_within_their_timeout(self):
        now = self.harness.clock.seconds()
        for attempt in self.attempts.values():
            waited = now - attempt.begun
            allowed = TIMEOUT_SECONDS[attempt.route] + SLACK_SECONDS
            assert attempt.ended or waited <= allowed, (
                f"{attempt.route} call exceeds its timeout"
            )

    @invariant()
    def requests_of_ended_calls_are_aborted(self):
        for request in self.open:
            if self.attempt_of(request).ended:
                assert request.aborted, "request not aborted after the end of its call"

    @invariant()
    def no_internal_error(self):
        assert "internal_error" not in self.harness.log.names()

    def teardown(self):
        """Advance past all timeouts: each remaining caller must have a final answer."""
        self.harness.advance(max(TIMEOUT_SECONDS.values()) + 1.0)
        for attempt in self.attempts.values():
            assert attempt.ended, f"{attempt.route} was never answered"
        self.answers_are_consistent()
        self.no_internal_error()
        assert self.harness.loads.own() == {}
        assert self.harness.forwarder.open_calls == 0


TestRequestPath = RequestPath.TestCase
TestRequestPath.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    # Shrinking a failure takes minutes, so the failing run is printed unshrunk.
    phases=[Phase.explicit, Phase.generate],
)
