"""Stateful test of claims in a fleet with faults, against a simple oracle."""

import random
from collections import Counter
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from faulty_fleet import (
    FaultyStore,
    ProcessClock,
    SimulatedNetwork,
    SimulationClock,
    StoreFault,
)
from pomeloglade_coordination.claims import Claimed, Claims, Finished
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.refusals import Reason, Refusal
from pomeloglade_coordination.request_ids import RequestIds

INSTANCES = ("i0", "i1", "i2")
KEYS = ("booking-1", "booking-2")
BODIES = ("body", "body", "body", "other body")
SETTLE_SECONDS = 15

instances = st.sampled_from(INSTANCES)
keys = st.sampled_from(KEYS)
waits = st.sampled_from([0.0, 0.002, 0.004, 0.008, 0.03, 0.03, 0.3, 4.0])


class Instance:
    """One run of an instance with its claims."""

    def __init__(self, name, incarnation, clock, shared, links):
        self.own = Member(name, "zone", incarnation)
        self.process = ProcessClock(clock)
        self.store = FaultyStore(clock, self.process, shared)
        self.ids = RequestIds(self.own)
        others = tuple(Member(i, "zone", 1) for i in INSTANCES if i != name)
        sender = links.join(name, self.process, self.receive)
        self.claims = Claims(
            clock=self.process,
            store=self.store,
            own=self.own,
            random=random.Random(incarnation),
            members=FixedMembership(self.own, others),
            sender=sender,
            retention=timedelta(hours=1),
            outcome_retention=timedelta(hours=1),
        )

    def receive(self, source, message):
        """Handle a peer message."""
        self.claims.receive(source, message)


class Attempt:
    """One call with an idempotency key through one instance."""

    def __init__(self, instance, key, body, earlier):
        self.instance = instance
        self.key = key
        self.body = body
        self.earlier = earlier
        self.answer = None
        self.dispatched = False
        self.ended = False

    def can_dispatch(self):
        """Return whether the request may be sent now."""
        process = self.instance.process
        held = isinstance(self.answer, Claimed) and not self.dispatched
        can_act = process.alive and not process.frozen and not self.ended
        return held and can_act and self.instance.claims.may_dispatch(self.answer.claim)

    def running(self):
        """Return whether the request has been sent and its instance can act."""
        process = self.instance.process
        can_act = process.alive and not process.frozen
        return self.dispatched and not self.ended and can_act


class ClaimsMachine(RuleBasedStateMachine):
    """Makes calls and injects faults; each key must run at most once."""

    @initialize()
    def start(self):
        """Start the fleet."""
        self.clock = SimulationClock()
        self.shared = MemoryKeyValueStore(self.clock)
        self.links = SimulatedNetwork(self.clock)
        self.incarnations = Counter()
        self.instances = {}
        for name in INSTANCES:
            self.start_instance(name)
        self.runs_by_key = Counter()
        self.called = set()
        self.outcomes_by_key = {}
        self.recorded = set()
        self.failures = []
        self.attempts = []

    def start_instance(self, name):
        """Start a run of an instance."""
        self.incarnations[name] += 1
        self.instances[name] = Instance(
            name, self.incarnations[name], self.clock, self.shared, self.links
        )

    @rule(name=instances, key=keys, body=st.sampled_from(BODIES), seconds=waits)
    def call(self, name, key, body, seconds):
        """Call, or resend, through any instance."""
        self.start_call(name, key, body)
        self.clock.run(seconds)

    def start_call(self, name, key, body):
        """Start a call; return its attempt, or ``None`` if the instance is frozen."""
        instance = self.instances[name]
        if instance.process.frozen:
            return None
        first = key not in self.called
        self.called.add(key)
        earlier = [attempt for attempt in self.attempts if attempt.key == key]
        attempt = Attempt(instance, key, body, earlier)
        self.attempts.append(attempt)
        claim = instance.claims.claim(
            "account", key, body, str(instance.ids.issue()), first_attempt=first
        )
        claim.addCallback(self.check, attempt, key in self.recorded)
        claim.addErrback(self.failures.append)
        return attempt

    @rule(names=st.permutations(INSTANCES), key=keys)
    def call_everywhere(self, names, key):
        """Call through all instances at once."""
        for name in names:
            self.start_call(name, key, BODIES[0])
        self.clock.run(0.02)

    def check(self, answer, attempt, recorded):
        """Check an answer against the oracle."""
        attempt.answer = answer
        key = attempt.key
        if isinstance(answer, Finished):
            assert self.runs_by_key[key] == 1
            assert answer.outcome == self.outcomes_by_key[key]
        if isinstance(answer, Claimed):
            assert not recorded
        if isinstance(answer, Refusal) and answer.not_run:
            assert not any(earlier.dispatched for earlier in attempt.earlier)

    def attempts_where(self, condition):
        """Return the attempts that meet a condition, oldest first."""
        return [attempt for attempt in self.attempts if condition(attempt)]

    @precondition(lambda self: self.attempts_where(Attempt.can_dispatch))
    @rule(pick=st.randoms(use_true_random=False), seconds=waits)
    def dispatch(self, pick, seconds):
        """Send a claimed request, which runs it."""
        self.send(pick.choice(self.attempts_where(Attempt.can_dispatch)))
        self.clock.run(seconds)

    def send(self, attempt):
        """Run a request and check that its key has not run before."""
        attempt.dispatched = True
        self.runs_by_key[attempt.key] += 1
        assert self.runs_by_key[attempt.key] == 1

    @precondition(lambda self: self.attempts_where(Attempt.can_dispatch))
    @rule()
    def abandon(self):
        """Abandon a claimed request before it is sent."""
        attempt = self.attempts_where(Attempt.can_dispatch)[0]
        attempt.ended = True
        attempt.instance.claims.abandon(attempt.answer.claim)

    @precondition(lambda self: self.attempts_where(Attempt.running))
    @rule(seconds=waits)
    def finish(self, seconds):
        """Complete a running request and record its answer."""
        attempt = self.attempts_where(Attempt.running)[0]
        attempt.ended = True
        key = attempt.key
        self.outcomes_by_key[key] = f"answer of {key}".encode()
        done = attempt.instance.claims.finish(
            attempt.answer.claim, self.outcomes_by_key[key]
        )
        done.addCallback(lambda _none: self.recorded.add(key))
        self.clock.run(seconds)

    @precondition(lambda self: self.attempts_where(Attempt.running))
    @rule()
    def lose_answer(self):
        """Lose the answer of a request that was sent."""
        attempt = self.attempts_where(Attempt.running)[0]
        attempt.ended = True
        attempt.instance.claims.mark_unknown(attempt.answer.claim)

    @rule(seconds=waits)
    def wait(self, seconds):
        """Let time pass."""
        self.clock.run(seconds)

    @rule(name=instances)
    def kill(self, name):
        """Kill and restart an instance."""
        self.instances[name].process.alive = False
        self.start_instance(name)

    @rule(name=instances, seconds=waits)
    def freeze_or_unfreeze(self, name, seconds):
        """Freeze an instance, or unfreeze it."""
        process = self.instances[name].process
        if process.frozen:
            process.unfreeze()
        else:
            process.frozen = True
        self.clock.run(seconds)

    @rule(names=st.sets(instances, min_size=1), fault=st.sampled_from(StoreFault))
    def fail_store(self, names, fault):
        """Set the key-value store's fault for some instances."""
        for name in names:
            self.instances[name].store.fault = fault

    @rule(names=st.sets(instances))
    def cut(self, names):
        """Cut the peer links of some instances."""
        self.links.isolated = names

    @invariant()
    def raise_callback_failures(self):
        """Raise the first failure of a callback."""
        for failure in getattr(self, "failures", ()):
            failure.raiseException()

    def teardown(self):
        """Clear all faults and call each key again through each instance."""
        if not hasattr(self, "clock"):
            return
        self.links.isolated = set()
        for instance in self.instances.values():
            instance.store.fault = StoreFault.NONE
            instance.process.unfreeze()
        self.clock.run(SETTLE_SECONDS)
        for name in INSTANCES:
            for key in KEYS:
                self.check_without_faults(name, key)
        self.raise_callback_failures()

    def check_without_faults(self, name, key):
        """Check the answer that a fleet without faults gives within a second."""
        attempt = self.start_call(name, key, BODIES[0])
        self.clock.run(1)
        if attempt.can_dispatch():
            self.send(attempt)
        answer = attempt.answer
        assert answer is not None
        if key in self.recorded and not isinstance(answer, Finished):
            assert answer.reason is Reason.IDEMPOTENCY_KEY_REUSED, answer
        if isinstance(answer, Refusal):
            assert answer.reason is not Reason.CLAIM_UNAVAILABLE
            assert not answer.not_run


ClaimsMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestClaims = ClaimsMachine.TestCase
