"""Instances that exchange reports and send plain calls to servers with slots."""

from collections import Counter, deque
from datetime import timedelta
from random import Random

from tests.forwarding_fakes import FakeNetwork, ListLog, route, server
from tests.report_fleet import Fleet
from twisted.internet.defer import CancelledError, Deferred

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.call_state import CallState, Resolution
from pomeloglade.forwarding.calls import ForwardedCall, Refused
from pomeloglade.forwarding.deployment import Account, CallKind
from pomeloglade.forwarding.plain_calls import PlainCalls
from pomeloglade.forwarding.plain_queues import PlainQueues
from pomeloglade.forwarding.send_context import SendContext
from pomeloglade.forwarding.server_choice import ServerChoicePolicy, server_choice
from pomeloglade.forwarding.server_reach import ServerReach
from pomeloglade_platform.calls import CALL_ID, PlatformCallCodec

MAX_QUEUED = 24
OBJECTIVE_SECONDS = 0.31
TIME_LIMIT_SECONDS = 4.12
MAX_ATTEMPTS = 3
CHECK_SECONDS = 0.05


class SlotServer:
    """Runs as many requests as it has slots, queues some, and rejects the others."""

    def __init__(self, fleet, number, work):
        self.record = server("s" * (number + 1), slots=6, zone=f"zone-{'abc'[number]}")
        self.fleet = fleet
        self.work = work
        self.running = 0
        self.queue = deque()
        self.rejected = 0
        self.finished_at = []

    def load(self):
        load = (self.running, len(self.queue), self.record.slots)
        return b"%d,%d,%d,100" % load

    def receive(self, request):
        if len(self.queue) >= MAX_QUEUED:
            self.rejected += 1
            request.reject(x_pomeloglade_server_load=self.load())
            return
        self.queue.append(request)
        self.begin()

    def begin(self):
        while self.queue and self.running < self.record.slots:
            request = self.queue.popleft()
            if not request.aborted:
                self.running += 1
                self.fleet.clock.callLater(self.work(), self.finish, request)

    def finish(self, request):
        self.running -= 1
        self.finished_at.append(self.fleet.clock.seconds())
        self.begin()
        if not request.aborted:
            request.answer(x_pomeloglade_server_load=self.load())


class LiveQueues:
    """The queue summaries of an instance, as they are when it reports."""

    def __init__(self, queues):
        self.queues = queues

    def items(self):
        return self.queues.summaries().items()


class PlainFleet:
    """A fleet with three servers of six slots, and callers that come back.

    Without ``queued`` the instances have no queues for plain services.
    """

    def __init__(self, size, *, queued=True, work=0.066, seed=1, servers=3):
        self.random = Random(seed)
        self.fleet = Fleet(size)
        self.clock = self.fleet.clock
        self.queued = queued
        self.servers = [
            SlotServer(self, n, lambda: work * self.random.uniform(0.8, 1.2))
            for n in range(servers)
        ]
        self.network = FakeNetwork()
        by_address = {each.record.address: each for each in self.servers}
        self.network.on_request = lambda request: by_address[request.address].receive(
            request
        )
        self.outcomes = Counter()
        self.calls = 0
        self.deadline_by_task = {}
        for number, instance in enumerate(self.fleet.instances):
            self.attach(instance, Random(seed + number))

    def attach(self, instance, random):
        backends = Backends(self.clock, lambda _: None)
        backends.replace_all([each.record for each in self.servers], lenient=False)
        context = SendContext(
            clock=self.clock,
            codec=PlatformCallCodec(),
            pool=self.network,
            backends=backends,
            loads=instance.loads,
            health=instance.health,
            budget=instance.budget,
            quarantine=instance.quarantine,
            limits=instance.limits,
            reach=ServerReach(self.clock, backends, ListLog()),
            log=instance.log,
            on_load_changed=instance.relay.schedule_report,
        )
        instance.plain_queues = PlainQueues(
            clock=self.clock,
            random=random,
            backends=backends,
            loads=instance.loads,
            health=instance.health,
            limits=instance.limits,
            remote_queues=instance.queues,
            news=instance.news,
            instance=instance.name,
            on_change=instance.relay.schedule_report,
        )
        if self.queued:
            instance.waiting = LiveQueues(instance.plain_queues)
        choice = server_choice(ServerChoicePolicy.LEAST_LOADED, random)
        instance.plain = PlainCalls(
            context,
            random,
            instance.zone,
            choice,
            instance.plain_queues if self.queued else None,
        )

    def call(self, *, begun=None, attempt=1, **options):
        """Make an attempt of a call at an instance, and further ones if refused.

        Options are ``account``, ``kind``, ``priority``, ``label`` (of the outcome) and
        ``honours`` (whether the caller comes back when it is told to).
        """
        account = options.get("account", "club")
        label = options.get("label", account)
        honours = options.get("honours", True)
        now = self.clock.seconds()
        begun = now if begun is None else begun
        left = TIME_LIMIT_SECONDS - (now - begun)
        instance = self.random.choice(self.fleet.live())
        self.calls += 1
        call = ForwardedCall(
            id=str(self.calls),
            method=b"GET",
            target=b"/",
            host="h",
            path="/",
            headers=((CALL_ID, b"%d" % self.calls),),
            body=b"",
            arrived=now,
            time_limit=left,
        )
        used = route(
            "plain",
            "/",
            options.get("kind", CallKind.UNSAFE),
            "api",
            timeout=timedelta(seconds=TIME_LIMIT_SECONDS),
            objective=timedelta(seconds=OBJECTIVE_SECONDS),
            priority=options.get("priority", 0),
            max_servers=2,
        )
        resolved = Resolution(1, used, Account(account, frozenset()))
        state = CallState(
            call, lambda *_: resolved, lambda _: "api", self.clock.seconds
        )
        state.longest_time_limit = TIME_LIMIT_SECONDS
        instance.budget.record_call("api")
        task = Deferred.fromCoroutine(instance.plain.run(state))
        self.deadline_by_task[task] = now + left

        def finish(result):
            self.deadline_by_task.pop(task, None)
            waited = self.clock.seconds() - begun
            outcome = "on_time" if waited <= OBJECTIVE_SECONDS else "late"
            self.outcomes[label, outcome] += 1

        def fail(failure):
            failure.trap(Refused, CancelledError)
            self.deadline_by_task.pop(task, None)
            if failure.check(CancelledError):
                self.outcomes[label, "expired"] += 1
                return
            pause = failure.value.retry_after if honours else 0.02
            rest = TIME_LIMIT_SECONDS - (self.clock.seconds() - begun)
            if attempt >= (MAX_ATTEMPTS if honours else 30) or (
                honours and pause > rest / 3
            ):
                self.outcomes[label, "refused"] += 1
                return
            self.clock.callLater(
                pause,
                lambda: self.call(begun=begun, attempt=attempt + 1, **options),
            )

        task.addCallbacks(finish, fail)
        return task

    def burst(self, rate, seconds, make=None):
        """Make ``rate`` calls a second for some seconds, at random times."""
        make = make or (lambda: self.call(kind=self.random.choice(self.kinds)))
        until = self.clock.seconds() + seconds

        def make_due(due):
            while due <= self.clock.seconds():
                make()
                due += self.random.expovariate(rate)
            if due < until:
                self.clock.callLater(due - self.clock.seconds(), make_due, due)

        make_due(self.clock.seconds() + self.random.expovariate(rate))

    kinds = (CallKind.UNSAFE, CallKind.UNSAFE, CallKind.UNSAFE, CallKind.SAFE)

    def run(self, seconds):
        # A timer for each call would make the virtual clock slow.
        for _ in range(round(seconds / CHECK_SECONDS)):
            self.fleet.run(CHECK_SECONDS)
            now = self.clock.seconds()
            for task, deadline in list(self.deadline_by_task.items()):
                if now >= deadline:
                    task.cancel()

    def counts(self, label="club"):
        names = ("on_time", "late", "refused", "expired")
        return {name: self.outcomes[label, name] for name in names}
