"""The baselines and the upper bound that ``Placement`` is compared with."""

from random import Random

from bench.placement_model import (
    DECODE_SECONDS_PER_TOKEN,
    PATIENT_TIMEOUT_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
    REPORT_INTERVAL_SECONDS,
    REPORT_LAG_SECONDS,
    RESULT_RETENTION_SECONDS,
    TARGET_FIRST_TOKEN_SECONDS,
    TARGET_SECONDS_PER_TOKEN,
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

DECODE_RETRY_INTERVAL_SECONDS = 0.05
GOSSIP_INTERVAL_SECONDS = 0.1
DECODE_LEASE_BATCH_SLOTS = 2
IDLE_SECONDS = 0.5


class LaggingReports:
    """Baseline: the less loaded of two random replicas by delayed load reports.

    Prefill requests queue at the replica. A decode replica is chosen once the
    prefill result is ready; while all refuse, this is retried for as long as the
    result is kept.
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
        if (
            self.fleet.clock.seconds()
            < self.fleet.workload.seconds + PATIENT_TIMEOUT_SECONDS
        ):
            self.fleet.clock.callLater(REPORT_INTERVAL_SECONDS, self._report)

    def submit(self, request: Request) -> None:
        """Send the request to a prefill replica."""
        name = self._choices.choose(self.fleet.replica_names("prefill"))
        engine = self.fleet.engines_by_name[name]
        if engine.accept():
            self._start(request, name)
        else:
            engine.waiting.append(lambda: self._start(request, name))

    def _start(self, request: Request, name: str) -> None:
        late = self.fleet.clock.seconds() - request.arrived > TARGET_FIRST_TOKEN_SECONDS
        if late and not request.job.patient:
            self.fleet.engines_by_name[name].release_slot()
            self.fleet.refuse(request)
            return
        self.fleet.prefill(request, name, lambda: self._prefilled(request))

    def _prefilled(self, request: Request) -> None:
        request.first_token = self.fleet.clock.seconds()
        self._decode(request)

    def _decode(self, request: Request) -> None:
        name = self._choices.choose(self.fleet.replica_names("decode"))
        if self.fleet.engines_by_name[name].accept():
            self.fleet.decode(request, name, lambda: None)
            return
        self.fleet.counters["refused_by_engine"] += 1
        if self.fleet.clock.seconds() - request.first_token > RESULT_RETENTION_SECONDS:
            self.fleet.refuse(request, wasted=True)
            return
        self.fleet.clock.callLater(DECODE_RETRY_INTERVAL_SECONDS, self._decode, request)


class _QueueingStrategy:
    """Base of the strategies in which each instance has its own queue."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._queues_by_instance = {
            name: DeadlineQueue() for name in fleet.zones_by_instance
        }
        self._requests_by_id = {each.job.request_id: each for each in fleet.requests}

    def submit(self, request: Request) -> None:
        """Queue the request at its instance."""
        job = request.job
        prefill = job.prompt_tokens / PREFILL_TOKENS_PER_SECOND * 1.1
        latest = job.give_up_at if job.patient else job.deadline - prefill
        self._queues_by_instance[request.instance].push(
            job.request_id,
            job.account,
            cost=job.prompt_tokens + job.output_tokens,
            latest_start=latest,
            patient=job.patient,
        )
        expires_in = max(0.0, latest - self.fleet.clock.seconds()) + 0.001
        self.fleet.clock.callLater(expires_in, self.serve, request.instance)
        self.serve(request.instance)

    def serve(self, instance: str) -> None:
        """Start queued requests while the instance's view shows free replicas."""
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
        """Return a prefill and a decode replica with free slots by this view."""
        raise NotImplementedError

    def start(self, request: Request, prefill: str, decode: str) -> None:
        """Prefill on the engine, or wait there until it has a free slot."""
        self.occupy_slot(request.instance, prefill)
        self.occupy_slot(request.instance, decode)
        engine = self.fleet.engines_by_name[prefill]

        def begin() -> None:
            self.fleet.prefill(request, prefill, prefilled)

        def prefilled() -> None:
            request.first_token = self.fleet.clock.seconds()
            self.free_slot(request.instance, prefill)
            self._decode(request, decode)
            self.serve(request.instance)

        if engine.accept():
            begin()
        else:
            engine.waiting.append(begin)

    def _decode(self, request: Request, decode: str) -> None:
        engines = self.fleet.engines_by_name
        names = [
            decode,
            *(n for n in self.fleet.replica_names("decode") if n != decode),
        ]
        for name in names:
            if engines[name].accept():
                self.fleet.decode(request, name, lambda: self._done(request, decode))
                return
            self.fleet.counters["refused_by_engine"] += 1
        if self.fleet.clock.seconds() - request.first_token > RESULT_RETENTION_SECONDS:
            self.free_slot(request.instance, decode)
            self.fleet.refuse(request, wasted=True)
            return
        self.fleet.clock.callLater(
            DECODE_RETRY_INTERVAL_SECONDS, self._decode, request, decode
        )

    def _done(self, request: Request, decode: str) -> None:
        self.free_slot(request.instance, decode)
        self.serve(request.instance)

    def occupy_slot(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        raise NotImplementedError

    def free_slot(self, instance: str, replica: str) -> None:
        """Count a slot as free."""
        raise NotImplementedError


class Gossip(_QueueingStrategy):
    """Baseline: counts own requests in flight plus those gossiped by peers."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        slots = {each.name: each.slots for each in fleet.workload.replicas}
        self._gossip_by_instance = {
            name: GossipedInFlight(Random(1), slots) for name in fleet.zones_by_instance
        }
        fleet.clock.callLater(0.0, self._send_gossip)

    def _send_gossip(self) -> None:
        for source, gossip in self._gossip_by_instance.items():
            counts = gossip.counts()
            for target, other in self._gossip_by_instance.items():
                if target != source:
                    other.receive(source, counts)
        for instance in self._gossip_by_instance:
            self.serve(instance)
        if (
            self.fleet.clock.seconds()
            < self.fleet.workload.seconds + PATIENT_TIMEOUT_SECONDS
        ):
            self.fleet.clock.callLater(GOSSIP_INTERVAL_SECONDS, self._send_gossip)

    def choose(self, instance: str) -> tuple[str, str] | None:
        """Return the replicas with the most free slots in this instance's view."""
        gossip = self._gossip_by_instance[instance]
        decode = gossip.choose(self.fleet.replica_names("decode"))
        prefill = gossip.choose(self.fleet.replica_names("prefill"))
        if decode is None or prefill is None:
            return None
        return prefill, decode

    def occupy_slot(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        self._gossip_by_instance[instance].started(replica)

    def free_slot(self, instance: str, replica: str) -> None:
        """Count a slot as free."""
        self._gossip_by_instance[instance].ended(replica)


class LeasedBatches(_QueueingStrategy):
    """Baseline: each replica's owner leases slots in batches to the instances."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._owners_by_replica = {
            each.name: LeasedSlots(each.slots) for each in fleet.workload.replicas
        }
        self._idle_slots = {
            (instance, each.name): 0
            for instance in fleet.zones_by_instance
            for each in fleet.workload.replicas
        }

    def choose(self, instance: str) -> tuple[str, str] | None:
        """Return replicas with idle slots at this instance, leasing more if needed."""
        prefill = self._find_or_lease(instance, "prefill")
        decode = self._find_or_lease(instance, "decode")
        if prefill is None or decode is None:
            return None
        return prefill, decode

    def _find_or_lease(self, instance: str, role: str) -> str | None:
        names = self.fleet.replica_names(role)
        for name in names:
            if self._idle_slots[instance, name]:
                return name
        batch = DECODE_LEASE_BATCH_SLOTS if role == "decode" else 1
        for name in names:
            lent = self._owners_by_replica[name].lend(instance, batch)
            if lent:
                self._idle_slots[instance, name] += lent
                self._schedule_return(instance, name)
                return name
        return None

    def _schedule_return(self, instance: str, name: str) -> None:
        self.fleet.clock.callLater(IDLE_SECONDS, self._return, instance, name)

    def _return(self, instance: str, name: str) -> None:
        idle = self._idle_slots[instance, name]
        if not idle:
            return
        self._idle_slots[instance, name] = 0
        self._owners_by_replica[name].return_slots(instance, idle)
        for other in self.fleet.zones_by_instance:
            self.serve(other)

    def occupy_slot(self, instance: str, replica: str) -> None:
        """Count a slot as used."""
        self._idle_slots[instance, replica] -= 1

    def free_slot(self, instance: str, replica: str) -> None:
        """Keep a freed slot for ``IDLE_SECONDS`` before it is returned."""
        self._idle_slots[instance, replica] += 1
        self._schedule_return(instance, replica)


class AllSeeing:
    """Upper bound: one scheduler that knows all durations in advance.

    It knows how long each prefill and each decode will take, so it starts a
    prefill before the decode slot for its result is free. The result then waits,
    within its retention time and the target for the time per output token.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._queue = DeadlineQueue()
        self._requests_by_id = {each.job.request_id: each for each in fleet.requests}
        self._free_prefill_slots = {
            each.name: each.slots
            for each in fleet.workload.replicas
            if each.role == "prefill"
        }
        self._decode_slots_free_at = [
            0.0
            for each in fleet.workload.replicas
            if each.role == "decode"
            for _ in range(each.slots)
        ]

    def submit(self, request: Request) -> None:
        """Queue the request."""
        job = request.job
        latest = (
            job.give_up_at if job.patient else job.deadline - request.prefill_seconds
        )
        self._queue.push(
            job.request_id,
            job.account,
            cost=job.prompt_tokens + job.output_tokens,
            latest_start=latest,
            patient=job.patient,
        )
        expires_in = max(0.0, latest - self.fleet.clock.seconds()) + 0.0001
        self.fleet.clock.callLater(expires_in, self._serve)
        self._serve()

    def _serve(self) -> None:
        now = self.fleet.clock.seconds()
        for request_id in self._queue.expire(now):
            self.fleet.refuse(self._requests_by_id[request_id])
        while True:
            request_id = next(self._queue.in_order(), None)
            if request_id is None or not any(self._free_prefill_slots.values()):
                return
            request = self._requests_by_id[request_id]
            wait = min(self._decode_slots_free_at) - (
                now + self._max_lead_seconds(request)
            )
            if wait > 1e-9:
                self.fleet.clock.callLater(wait, self._serve)
                return
            self._queue.take(request_id)
            self._start(request, now)

    def _start(self, request: Request, now: float) -> None:
        prefill = max(
            self._free_prefill_slots, key=lambda name: self._free_prefill_slots[name]
        )
        self._free_prefill_slots[prefill] -= 1
        self.fleet.prefill_tokens += request.job.prompt_tokens
        done = now + request.prefill_seconds
        latest = now + self._max_lead_seconds(request)
        usable = [at for at in self._decode_slots_free_at if at <= latest + 1e-9]
        seconds = request.output_tokens * DECODE_SECONDS_PER_TOKEN
        early = [at for at in usable if at <= done]
        free_at = max(early) if early else min(usable)
        self._decode_slots_free_at.remove(free_at)
        request.first_token = done
        request.finished = max(done, free_at) + TRANSFER_SECONDS + seconds
        self._decode_slots_free_at.append(request.finished)
        self.fleet.clock.callLater(request.prefill_seconds, self._prefilled, prefill)

    def _max_lead_seconds(self, request: Request) -> float:
        """Return how many seconds before a decode slot is free a prefill may start."""
        slack = TARGET_SECONDS_PER_TOKEN - DECODE_SECONDS_PER_TOKEN
        wait = request.output_tokens * slack - TRANSFER_SECONDS - 1e-6
        return request.prefill_seconds + max(0.0, min(RESULT_RETENTION_SECONDS, wait))

    def _prefilled(self, prefill: str) -> None:
        self._free_prefill_slots[prefill] += 1
        self._serve()
