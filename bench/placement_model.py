"""Model of prefill and decode replicas in virtual time.

``Placement`` and the baselines are the real code. Engines, network and callers
are simulated with fixed seeds.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.peer import PeerMessage
from pomeloglade_coordination.placement import Assignment, Job, Placement, Replica
from pomeloglade_coordination.refusals import Refusal

DECODE_SECONDS_PER_TOKEN = 0.040
TARGET_SECONDS_PER_TOKEN = 0.047
TARGET_FIRST_TOKEN_SECONDS = 1.1
RESULT_RETENTION_SECONDS = 0.8
"""How long a prefill replica keeps the result of a prefill."""

TRANSFER_SECONDS = 0.02
PREFILL_TOKENS_PER_SECOND = 6_000
PATIENT_TIMEOUT_SECONDS = 60.0
REPORT_INTERVAL_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.3
SAME_ZONE_DELAY_SECONDS = 0.0002
CROSS_ZONE_DELAY_SECONDS = 0.0005
TICK_INTERVAL_SECONDS = 0.25


class ScheduledCall:
    """A call scheduled on a ``ModelClock``."""

    __slots__ = ("_active", "args", "function")

    def __init__(self, function: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.function = function
        self.args = args
        self._active = True

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._active

    def cancel(self) -> None:
        """Cancel the call."""
        self._active = False


class ModelClock:
    """A virtual clock that jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now = 0.0
        self._calls: list[tuple[float, int, ScheduledCall]] = []
        self._sequence = itertools.count()

    def seconds(self) -> float:
        """Return the virtual time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *args: Any
    ) -> ScheduledCall:
        """Schedule a call, like ``IReactorTime.callLater``."""
        call = ScheduledCall(function, args)
        heapq.heappush(self._calls, (self._now + delay, next(self._sequence), call))
        return call

    def run(self, until: float) -> None:
        """Make the calls scheduled up to the instant ``until``."""
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call = heapq.heappop(self._calls)
            if call.active():
                call.cancel()
                call.function(*call.args)
        self._now = until


@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment's replicas and the requests sent to them."""

    name: str
    availability_zones: tuple[str, ...]
    replicas: tuple[Replica, ...]
    mean_prompt: int
    mean_output: int
    patient_share: float
    seconds: float

    def capacity(self) -> float:
        """Return the requests per second that fill all decode slots."""
        slots = sum(each.slots for each in self.replicas if each.role == "decode")
        return slots / (self.mean_output * DECODE_SECONDS_PER_TOKEN)


@dataclass(slots=True)
class Request:
    """A request and its outcome; instants are in seconds."""

    job: Job
    instance: str
    arrived: float
    output_tokens: int
    prefill_seconds: float
    first_token: float | None = None
    finished: float | None = None
    refused: float | None = None

    def met_latency_targets(self) -> bool:
        """Return whether the request finished and met both latency targets."""
        if self.first_token is None or self.finished is None:
            return False
        limit = (
            PATIENT_TIMEOUT_SECONDS if self.job.patient else TARGET_FIRST_TOKEN_SECONDS
        )
        if self.first_token - self.arrived > limit:
            return False
        seconds_per_token = (self.finished - self.first_token) / self.output_tokens
        return seconds_per_token <= TARGET_SECONDS_PER_TOKEN


@dataclass(slots=True)
class Engine:
    """A replica that runs up to ``slots`` requests and refuses more."""

    replica: Replica
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)

    def accept(self) -> bool:
        """Occupy a slot; return ``False`` when all are in use."""
        if self.running >= self.replica.slots:
            return False
        self.running += 1
        return True

    def release_slot(self) -> None:
        """Free a slot and start a waiting request on it, if there is one."""
        self.running -= 1
        if self.waiting and self.accept():
            self.waiting.pop(0)()


class Fleet:
    """The engines, requests and counters that a placement strategy works on."""

    def __init__(self, workload: Workload, load: float, seed: int = 1) -> None:
        self.workload = workload
        self.clock = ModelClock()
        self.random = Random(seed)
        self.engines_by_name = {r.name: Engine(r) for r in workload.replicas}
        self.requests: list[Request] = []
        self.prefill_tokens = 0
        self.wasted_tokens = 0
        self.counters: Counter[str] = Counter()
        self.zones_by_instance = {
            f"i{number}": zone
            for number, zone in enumerate(workload.availability_zones * 2, start=1)
        }
        self._make_requests(load)

    def replica_names(self, role: str) -> list[str]:
        """Return the names of the replicas with a role."""
        return [r.name for r in self.workload.replicas if r.role == role]

    def prefill(self, request: Request, engine: str, done: Callable[[], None]) -> None:
        """Prefill on a replica that has accepted the request, then call ``done``."""
        self.prefill_tokens += request.job.prompt_tokens
        self.clock.callLater(request.prefill_seconds, self._prefilled, engine, done)

    def _prefilled(self, engine: str, done: Callable[[], None]) -> None:
        self.engines_by_name[engine].release_slot()
        done()

    def decode(self, request: Request, engine: str, done: Callable[[], None]) -> None:
        """Transfer to a replica that has accepted the request and decode there."""
        seconds = request.output_tokens * DECODE_SECONDS_PER_TOKEN
        self.clock.callLater(
            TRANSFER_SECONDS + seconds, self._decoded, request, engine, done
        )

    def _decoded(self, request: Request, engine: str, done: Callable[[], None]) -> None:
        request.finished = self.clock.seconds()
        self.engines_by_name[engine].release_slot()
        done()

    def refuse(self, request: Request, *, wasted: bool = False) -> None:
        """Record the final refusal of a request."""
        request.refused = self.clock.seconds()
        if wasted:
            self.wasted_tokens += request.job.prompt_tokens

    def run(self, submit: Callable[[Request], None]) -> None:
        """Send all requests and run until the last has ended."""
        for request in self.requests:
            self.clock.callLater(request.arrived, submit, request)
        self.clock.run(self.workload.seconds + PATIENT_TIMEOUT_SECONDS + 60.0)

    def _make_requests(self, load: float) -> None:
        workload = self.workload
        random = self.random
        rate = load * workload.capacity()
        arrived = 0.0
        names = sorted(self.zones_by_instance)
        accounts = ("large-1", "large-2", "middle", "small-1", "small-2")
        shares = (0.40, 0.30, 0.15, 0.10, 0.05)
        for number in itertools.count():
            arrived += random.expovariate(rate)
            if arrived > workload.seconds:
                return
            prompt = 1 + round(workload.mean_prompt * random.triangular(0.2, 1.8, 1.0))
            output = 1 + round(workload.mean_output * random.triangular(0.2, 1.8, 1.0))
            patient = random.random() < workload.patient_share
            account = random.choices(accounts, shares)[0]
            job = Job(
                request_id=f"r{number}",
                account=account,
                weight=1,
                pool=workload.replicas[0].pool,
                kind="model",
                prompt_tokens=prompt,
                output_tokens=-(-output // 128) * 128,
                deadline=arrived + TARGET_FIRST_TOKEN_SECONDS,
                patient=patient,
                give_up_at=arrived + PATIENT_TIMEOUT_SECONDS,
                fingerprint=f"f{number}",
            )
            seconds = prompt / PREFILL_TOKENS_PER_SECOND * random.uniform(0.9, 1.1)
            instance = random.choice(names)
            self.requests.append(Request(job, instance, arrived, output, seconds))


class Network:
    """Carries messages between the placements of one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.placements_by_instance: dict[str, Placement] = {}
        self.down: set[str] = set()
        self.messages: Counter[str] = Counter()
        self.on_message: Callable[[PeerMessage], None] | None = None

    def deliver(self, source: str, target: str, message: PeerMessage) -> None:
        """Deliver a message unless one end is down."""
        if source not in self.down and target not in self.down:
            self.placements_by_instance[target].receive(source, message)

    def send(self, source: str, target: str, message: PeerMessage) -> None:
        """Schedule the delivery of a message after the delay between the zones."""
        self.messages[type(message).__name__] += 1
        if self.on_message is not None:
            self.on_message(message)
        zones = self._fleet.zones_by_instance
        same_zone = zones[source] == zones[target]
        delay = SAME_ZONE_DELAY_SECONDS if same_zone else CROSS_ZONE_DELAY_SECONDS
        self._fleet.clock.callLater(delay, self.deliver, source, target, message)


@dataclass(frozen=True, slots=True)
class Sender:
    """Sends one instance's messages over the network."""

    network: Network
    instance: str

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message to another instance."""
        self.network.send(self.instance, instance, message)


class OwnerPlacement:
    """The router's own strategy: ``Placement``, with one owner for each group."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.network = Network(fleet)
        self.membership_by_instance: dict[str, FixedMembership] = {}
        self.members = tuple(
            Member(name, zone, 1) for name, zone in fleet.zones_by_instance.items()
        )
        for member in self.members:
            view = FixedMembership(member, self.members)
            self.membership_by_instance[member.instance] = view
            self.network.placements_by_instance[member.instance] = Placement(
                clock=fleet.clock,
                members=view,
                sender=Sender(self.network, member.instance),
                random=Random(1),
            )
        for placement in self.network.placements_by_instance.values():
            placement.configure(fleet.workload.replicas)
        fleet.clock.callLater(TICK_INTERVAL_SECONDS, self._tick)

    def _tick(self) -> None:
        for instance, placement in self.network.placements_by_instance.items():
            if instance not in self.network.down:
                placement.tick()
        if (
            self.fleet.clock.seconds()
            < self.fleet.workload.seconds + PATIENT_TIMEOUT_SECONDS
        ):
            self.fleet.clock.callLater(TICK_INTERVAL_SECONDS, self._tick)

    def submit(self, request: Request) -> None:
        """Request an assignment from the placement of the request's instance."""
        placement = self.network.placements_by_instance[request.instance]
        answer = placement.assign(request.job)
        answer.addCallback(self._assigned, request, placement)

    def _assigned(
        self, answer: Assignment | Refusal, request: Request, placement: Placement
    ) -> None:
        if isinstance(answer, Refusal):
            self.fleet.refuse(request)
            return
        if not self.fleet.engines_by_name[answer.prefill].accept():
            self.fleet.counters["refused_by_engine"] += 1
            placement.refused_by_engine(answer.request_id, answer.prefill)
            self.fleet.refuse(request)
            return
        self.fleet.prefill(
            request,
            answer.prefill,
            lambda: self._prefilled(answer, request, placement),
        )

    def _prefilled(
        self, answer: Assignment, request: Request, placement: Placement
    ) -> None:
        request.first_token = self.fleet.clock.seconds()
        placement.prefilled(answer.request_id)
        if not self.fleet.engines_by_name[answer.decode].accept():
            self.fleet.counters["refused_by_engine"] += 1
            placement.refused_by_engine(answer.request_id, answer.decode)
            self.fleet.refuse(request, wasted=True)
            return
        self.fleet.decode(
            request,
            answer.decode,
            lambda: placement.release(answer.request_id, completed=True),
        )
