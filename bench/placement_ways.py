"""The baselines and the upper bound that placement is measured against."""

from random import Random

from bench.placement_model import (
    BETWEEN_TOKENS_SECONDS,
    FIRST_TOKEN_SECONDS,
    KEPT_SECONDS,
    PATIENCE_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
    REPORT_LAG_SECONDS,
    REPORT_SECONDS,
    SECONDS_PER_OUTPUT_TOKEN,
    TRANSFER_SECONDS,
    Fleet,
    Request,
)
from pomeloglade_coordination.placement_baselines import (
    GossipedInFlight,
    LeasedSlots,
    PowerOfTwoChoices,
)
from pomeloglade_coordination.queueing import DeadlineQueue

DECODE_RETRY_SECONDS = 0.05
GOSSIP_SECONDS = 0.1
LEASE_BATCH = 2
IDLE_SECONDS = 0.5


class LaggingReports:
    """Baseline: the less loaded of two replicas by their lagging reports.

    Prefill queues at the replica; the decode replica is chosen when the result
    is there, and asked again while the result is kept.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._choices = PowerOfTwoChoices(Random(1))
        fleet.clock.callLater(0.0, self._report)

    def _report(self) -> None:
        for name, engine in self.fleet.engines_by_name.items():
            load = engine.running + len(engine.waiting)
            self.fleet.clock.callLater(
                REPORT_LAG_SECONDS, self._choices.observe_load, name, load
            )
        if self.fleet.clock.seconds() < self.fleet.size.seconds + PATIENCE_SECONDS:
            self.fleet.clock.callLater(REPORT_SECONDS, self._report)

    def submit(self, request: Request) -> None:
        """Send the request to a prefill replica."""
        name = self._choices.choose(self.fleet.names("prefill"))
        engine = self.fleet.engines_by_name[name]
        if engine.accept():
            self._start(request, name)
        else:
            engine.waiting.append(lambda: self._start(request, name))

    def _start(self, request: Request, name: str) -> None:
        late = self.fleet.clock.seconds() - request.arrived > FIRST_TOKEN_SECONDS
        if late and not request.job.patient:
            self.fleet.engines_by_name[name].end()
            self.fleet.refuse(request)
            return
        self.fleet.prefill(request, name, lambda: self._prefilled(request))

    def _prefilled(self, request: Request) -> None:
        request.first_token = self.fleet.clock.seconds()
        self._decode(request)

    def _decode(self, request: Request) -> None:
        name = self._choices.choose(self.fleet.names("decode"))
        if self.fleet.engines_by_name[name].accept():
            self.fleet.decode(request, name, lambda: None)
            return
        self.fleet.counters["refused_by_engine"] += 1
        if self.fleet.clock.seconds() - request.first_token > KEPT_SECONDS:
            self.fleet.refuse(request, wasted=True)
            return
        self.fleet.clock.callLater(DECODE_RETRY_SECONDS, self._decode, request)


class _QueueingWay:
    """Base of the ways in which each instance has a queue of its own."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._queues_by_instance = {
            name: DeadlineQueue() for name in fleet.instances_by_name
        }
        self._requests_by_id = {each.job.request_id: each for each in fleet.requests}

    def submit(self, request: Request) -> None:
        """Queue the request at its instance."""
        job = request.job
        prefill = job.prompt_tokens / PREFILL_TOKENS_PER_SECOND * 1.1
        latest = job.give_up if job.patient else job.deadline - prefill
        self._queues_by_instance[request.instance].push(
            job.request_id,
            job.account,
            cost=job.prompt_tokens + job.output_tokens,
            latest_start=latest,
            patient=job.patient,
        )
        left = max(0.0, latest - self.fleet.clock.seconds()) + 0.001
        self.fleet.clock.callLater(left, self.serve, request.instance)
        self.serve(request.instance)

    def serve(self, instance: str) -> None:
        """Start what this instance believes it can."""
        queue = self._queues_by_instance[instance]
        for request_id in queue.expire(self.fleet.clock.seconds()):
            self.fleet.refuse(self._requests_by_id[request_id])
        while True:
            request_id = next(queue.in_order(), None)
            if request_id is None:
                return
            chosen = self.choose(instance)
            if chosen is None:
                return
            queue.take(request_id)
            self.start(self._requests_by_id[request_id], *chosen)

    def choose(self, instance: str) -> tuple[str, str] | None:
        """Return a prefill and a decode replica that look free."""
        raise NotImplementedError

    def start(self, request: Request, prefill: str, decode: str) -> None:
        """Prefill on the engine, which has the last word."""
        self.take(request.instance, prefill)
        self.take(request.instance, decode)
        engine = self.fleet.engines_by_name[prefill]

        def begin() -> None:
            self.fleet.prefill(request, prefill, prefilled)

        def prefilled() -> None:
            request.first_token = self.fleet.clock.seconds()
            self.free(request.instance, prefill)
            self._decode(request, decode)
            self.serve(request.instance)

        if engine.accept():
            begin()
        else:
            engine.waiting.append(begin)

    def _decode(self, request: Request, decode: str) -> None:
        engines = self.fleet.engines_by_name
        names = [decode, *(n for n in self.fleet.names("decode") if n != decode)]
        for name in names:
            if engines[name].accept():
                self.fleet.decode(request, name, lambda: self._done(request, decode))
                return
            self.fleet.counters["refused_by_engine"] += 1
        if self.fleet.clock.seconds() - request.first_token > KEPT_SECONDS:
            self.free(request.instance, decode)
            self.fleet.refuse(request, wasted=True)
            return
        self.fleet.clock.callLater(DECODE_RETRY_SECONDS, self._decode, request, decode)

    def _done(self, request: Request, decode: str) -> None:
        self.free(request.instance, decode)
        self.serve(request.instance)

    def take(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        raise NotImplementedError

    def free(self, instance: str, replica: str) -> None:
        """Count a slot as free."""
        raise NotImplementedError


class Gossip(_QueueingWay):
    """Baseline: own requests in flight plus what the peers gossip."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        slots = {each.name: each.slots for each in fleet.size.replicas}
        self._gossip_by_instance = {
            name: GossipedInFlight(Random(1), slots) for name in fleet.instances_by_name
        }
        fleet.clock.callLater(0.0, self._spread)

    def _spread(self) -> None:
        for source, gossip in self._gossip_by_instance.items():
            counts = gossip.counts()
            for target, other in self._gossip_by_instance.items():
                if target != source:
                    other.receive(source, counts)
        for instance in self._gossip_by_instance:
            self.serve(instance)
        if self.fleet.clock.seconds() < self.fleet.size.seconds + PATIENCE_SECONDS:
            self.fleet.clock.callLater(GOSSIP_SECONDS, self._spread)

    def choose(self, instance: str) -> tuple[str, str] | None:
        """Return the replicas with most free slots in this instance's view."""
        gossip = self._gossip_by_instance[instance]
        decode = gossip.choose(self.fleet.names("decode"))
        prefill = gossip.choose(self.fleet.names("prefill"))
        if decode is None or prefill is None:
            return None
        return prefill, decode

    def take(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        self._gossip_by_instance[instance].started(replica)

    def free(self, instance: str, replica: str) -> None:
        """Count a slot as free."""
        self._gossip_by_instance[instance].ended(replica)


class LeasedBatches(_QueueingWay):
    """One owner per replica lends slots in batches; queues stay per instance."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._owners_by_replica = {
            each.name: LeasedSlots(each.slots) for each in fleet.size.replicas
        }
        self._idle = {
            (instance, each.name): 0
            for instance in fleet.instances_by_name
            for each in fleet.size.replicas
        }

    def choose(self, instance: str) -> tuple[str, str] | None:
        """Return replicas of which this instance holds idle slots, or borrow."""
        prefill = self._held(instance, "prefill")
        decode = self._held(instance, "decode")
        if prefill is None or decode is None:
            return None
        return prefill, decode

    def _held(self, instance: str, role: str) -> str | None:
        names = self.fleet.names(role)
        for name in names:
            if self._idle[instance, name]:
                return name
        batch = LEASE_BATCH if role == "decode" else 1
        for name in names:
            lent = self._owners_by_replica[name].lend(instance, batch)
            if lent:
                self._idle[instance, name] += lent
                self._plan_return(instance, name)
                return name
        return None

    def _plan_return(self, instance: str, name: str) -> None:
        self.fleet.clock.callLater(IDLE_SECONDS, self._return, instance, name)

    def _return(self, instance: str, name: str) -> None:
        idle = self._idle[instance, name]
        if not idle:
            return
        self._idle[instance, name] = 0
        self._owners_by_replica[name].give_back(instance, idle)
        for other in self.fleet.instances_by_name:
            self.serve(other)

    def take(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        self._idle[instance, replica] -= 1

    def free(self, instance: str, replica: str) -> None:
        """Keep a freed slot for a while."""
        self._idle[instance, replica] += 1
        self._plan_return(instance, replica)


class AllSeeing:
    """Upper bound: one scheduler that knows all, the future included.

    It knows how long each prefill and each answer will take, so it starts a
    prefill before the decode slot that its result will need is free, and lets the
    result wait as long as it is kept and the time between tokens allows.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._queue = DeadlineQueue()
        self._requests_by_id = {each.job.request_id: each for each in fleet.requests}
        self._prefills_free = {
            each.name: each.slots
            for each in fleet.size.replicas
            if each.role == "prefill"
        }
        self._free_at = [
            0.0
            for each in fleet.size.replicas
            if each.role == "decode"
            for _ in range(each.slots)
        ]

    def submit(self, request: Request) -> None:
        """Queue the request at the one scheduler."""
        job = request.job
        latest = job.give_up if job.patient else job.deadline - request.prefill_seconds
        self._queue.push(
            job.request_id,
            job.account,
            cost=job.prompt_tokens + job.output_tokens,
            latest_start=latest,
            patient=job.patient,
        )
        left = max(0.0, latest - self.fleet.clock.seconds()) + 0.0001
        self.fleet.clock.callLater(left, self._serve)
        self._serve()

    def _serve(self) -> None:
        now = self.fleet.clock.seconds()
        for request_id in self._queue.expire(now):
            self.fleet.refuse(self._requests_by_id[request_id])
        while True:
            request_id = next(self._queue.in_order(), None)
            if request_id is None or not any(self._prefills_free.values()):
                return
            request = self._requests_by_id[request_id]
            wait = min(self._free_at) - (now + self._lead(request))
            if wait > 1e-9:
                self.fleet.clock.callLater(wait, self._serve)
                return
            self._queue.take(request_id)
            self._start(request, now)

    def _start(self, request: Request, now: float) -> None:
        prefill = max(self._prefills_free, key=lambda name: self._prefills_free[name])
        self._prefills_free[prefill] -= 1
        self.fleet.prefill_tokens += request.job.prompt_tokens
        done = now + request.prefill_seconds
        latest = now + self._lead(request)
        usable = [at for at in self._free_at if at <= latest + 1e-9]
        seconds = request.output_tokens * SECONDS_PER_OUTPUT_TOKEN
        early = [at for at in usable if at <= done]
        free_at = max(early) if early else min(usable)
        self._free_at.remove(free_at)
        request.first_token = done
        request.finished = max(done, free_at) + TRANSFER_SECONDS + seconds
        self._free_at.append(request.finished)
        self.fleet.clock.callLater(request.prefill_seconds, self._prefilled, prefill)

    def _lead(self, request: Request) -> float:
        """Return how long before its decode slot is free a prefill may start."""
        slack = BETWEEN_TOKENS_SECONDS - SECONDS_PER_OUTPUT_TOKEN
        wait = request.output_tokens * slack - TRANSFER_SECONDS - 1e-6
        return request.prefill_seconds + max(0.0, min(KEPT_SECONDS, wait))

    def _prefilled(self, prefill: str) -> None:
        self._prefills_free[prefill] += 1
        self._serve()
