"""Stateful test of shares: no time window exceeds the burst and the rate."""

from dataclasses import dataclass, field
from datetime import timedelta

from bench.budget_model import Fleet, run_until
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    multiple,
    precondition,
    rule,
)

from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import Grant, Shares

ZONES = {"za": ("a1", "a2"), "zb": ("b1", "b2")}
NAMES = ("a1", "a2", "b1", "b2")
ACCOUNT = "account"
LIMIT = Limit(500, 10_000)
WARM_UP_SECONDS = 30.0
TIMEOUT = timedelta(milliseconds=300)
ROUNDING = 1e-6
FAULTS = ("kill", "restart", "freeze", "wake")

names = st.sampled_from(NAMES)


@dataclass
class Oracle:
    """The tokens admitted and refunded under one limit, in order."""

    limit: Limit
    events: list[tuple[float, int]] = field(default_factory=list)

    def is_within_limit(self):
        """Return whether no window that ends with the last event exceeds the limit."""
        end = self.events[-1][0] if self.events else 0.0
        tokens = 0
        for start, change in reversed(self.events):
            tokens += change
            allowed = self.limit.burst + self.limit.rate * (end - start)
            if tokens > allowed + ROUNDING:
                return False
        return True


@dataclass
class Request:
    """A granted request, with the run of the instance that took it."""

    shares: Shares
    process: object
    grant: Grant
    dispatched: bool = False
    finished: bool = False


def build(parts):
    return Shares(
        clock=parts.clock,
        members=parts.members,
        sender=parts.sender,
        owners=FixedOwners(ZONES),
    )


class SharesMachine(RuleBasedStateMachine):
    """Plays requests and faults in any order on four instances in two zones."""

    requests = Bundle("requests")

    @initialize(
        ratios=st.lists(st.sampled_from([0.99, 1.0, 1.01]), min_size=4, max_size=4)
    )
    def start(self, ratios):
        """Start a fleet whose clocks are up to 1% off, and let its buckets fill."""
        limits = {ACCOUNT: LIMIT}
        clock_ratios = dict(zip(NAMES, ratios, strict=True))
        self.fleet = Fleet(build, ZONES, limits, clock_ratios=clock_ratios)
        self.oracle = Oracle(LIMIT)
        self.wait(WARM_UP_SECONDS)

    def wait(self, seconds):
        """Advance the virtual time."""
        run_until(self.fleet.clock, self.fleet.clock.seconds() + seconds)

    def record(self, tokens):
        """Record admitted tokens, or refunded ones if negative."""
        self.oracle.events.append((self.fleet.clock.seconds(), tokens))
        assert self.oracle.is_within_limit(), self.oracle.events

    def dispatch(self, request):
        """Confirm in the instance; later if it is frozen, never if it is dead."""

        def confirm():
            if request.dispatched or request.finished:
                return
            if request.shares.confirm(request.grant):
                request.dispatched = True
                self.record(request.grant.tokens)

        request.process.run(confirm)

    def acquire(self, name, tokens):
        """Return a request, or ``None`` if refused or the instance is not running."""
        if not self.fleet.running(name):
            return None
        instance = self.fleet.instances_by_name[name]
        results = []
        instance.shares.acquire(ACCOUNT, tokens, TIMEOUT).addCallback(results.append)
        for _ in range(50):
            if results or not self.fleet.running(name):
                break
            self.wait(0.01)
        if not results or not isinstance(results[0], Grant):
            return None
        return Request(instance.shares, instance.process, results[0])

    @rule(target=requests, name=names, divisor=st.sampled_from([1, 2, 3, 4, 16]))
    def request(self, name, divisor):
        """Acquire tokens that ``dispatch_later`` may spend."""
        request = self.acquire(name, self.fleet.limits[ACCOUNT].burst // divisor)
        return multiple(request) if request else multiple()

    @rule(target=requests, name=names)
    def spend_all(self, name):
        """Spend all that one instance can get, in requests of decreasing size."""
        spent = []
        for divisor in (2, 8, 32, 128):
            tokens = self.fleet.limits[ACCOUNT].burst // divisor
            while request := self.acquire(name, tokens):
                self.dispatch(request)
                spent.append(request)
        return multiple(*spent[:2])

    @rule(request=requests)
    def dispatch_later(self, request):
        """Dispatch a request that was granted earlier, once."""
        self.dispatch(request)

    @rule(request=requests, eighths=st.integers(0, 8))
    def finish(self, request, eighths):
        """Refund a request twice, as when its end races with its cancellation."""

        def refund():
            unused = request.grant.tokens * eighths // 8
            request.shares.refund(request.grant, unused)
            request.shares.refund(request.grant, request.grant.tokens)
            if request.dispatched and not request.finished:
                self.record(-unused)
            request.finished = True

        request.process.run(refund)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 4.0, 4.2, 10.0]))
    def time_passes(self, seconds):
        """Advance the time by less or more than the lease of a loan."""
        self.wait(seconds)

    @rule(name=names, fault=st.sampled_from(FAULTS))
    def break_instance(self, name, fault):
        """Kill, restart without state, freeze or wake an instance."""
        if fault == "wake":
            self.fleet.wake(name)
        elif fault == "freeze" and self.fleet.running(name):
            self.fleet.freeze(name)
        elif fault in ("kill", "restart"):
            self.fleet.kill(name)
        if fault == "restart":
            self.fleet.start(name)

    @rule(zone=st.sampled_from(tuple(ZONES)), restart=st.booleans())
    def break_zone(self, zone, restart):
        """Restart a whole zone without state, or cut all its connections."""
        if not restart:
            self.fleet.isolate_zone(zone)
            return
        for name in ZONES[zone]:
            self.break_instance(name, "restart")

    @rule(loss=st.sampled_from([0.0, 0.3]))
    def heal(self, loss):
        """Restore all connections; from now on, this share of messages is lost."""
        self.fleet.heal()
        self.fleet.loss_probability = loss

    @precondition(lambda self: not self.frozen())
    @rule(quarters=st.integers(1, 3))
    def lower(self, quarters):
        """Lower rate and burst; they apply to windows that start from now on."""
        old = self.fleet.limits[ACCOUNT]
        limit = Limit(old.rate * quarters // 4, old.burst * quarters // 4)
        if limit.rate < 50:
            return
        self.fleet.configure({ACCOUNT: limit})
        self.oracle = Oracle(limit)

    def frozen(self):
        """Return whether an instance is frozen and would apply new limits late."""
        instances = self.fleet.instances_by_name.values()
        return any(each.process.alive and each.process.frozen for each in instances)

    def teardown(self):
        """End all faults, and spend what is left through every instance."""
        if not hasattr(self, "fleet"):
            return
        self.heal(0.0)
        for name in NAMES:
            if not self.fleet.instances_by_name[name].process.alive:
                self.fleet.start(name)
            self.fleet.wake(name)
            self.spend_all(name)


TestShares = SharesMachine.TestCase
TestShares.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    # Shrinking a failure takes minutes; the failing run is printed as it is.
    phases=[Phase.explicit, Phase.generate],
)
