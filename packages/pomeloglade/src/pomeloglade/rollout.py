"""Finds out which instances have a configuration in force."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Literal

import msgspec
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import Entry, KeyValueStore

from .protocol.instances import (
    INSTANCES_PREFIX,
    InstanceRecord,
    InstanceStatus,
    decode_record,
)
from .transport.status import StatusClient, StatusUnavailableError

POLL_SECONDS = 0.5
MAX_CONCURRENT_CALLS = 32

InForce = Literal["in force", "behind", "unreached"]


@dataclass(frozen=True, slots=True)
class InstanceInForce:
    """What is known of one instance.

    ``revision`` is 0 when unknown. ``heard_from`` is the instance itself, or the
    peer that told of it; ``error`` is why it did not answer itself.
    """

    instance: str
    availability_zone: str
    state: InForce
    revision: int = 0
    leaving: bool = False
    heard_from: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class Rollout:
    """Who has ``revision`` or a later one in force.

    ``unreached_zones`` are those of the deployment in which no instance is known
    to have it in force: instances there may still go by an earlier one.
    """

    revision: int
    instances: tuple[InstanceInForce, ...]
    unreached_zones: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether every zone and every instance that is not leaving has it."""
        needed = [each for each in self.instances if not each.leaving]
        in_force = all(each.state == "in force" for each in needed)
        return in_force and not self.unreached_zones


@dataclass(frozen=True, slots=True)
class _Answer:
    record: InstanceRecord
    status: InstanceStatus | None
    error: str = ""


class RolloutReader:
    """Asks the platform's list and then each instance.

    Parameters
    ----------
    store : KeyValueStore
        Holds the platform's list of instances.
    statuses : StatusClient
        Asks one instance.
    clock : IReactorTime
        Spaces the polls.
    """

    def __init__(
        self, store: KeyValueStore, statuses: StatusClient, clock: Clock
    ) -> None:
        self._store = store
        self._statuses = statuses
        self._clock = clock

    async def wait(
        self, revision: int, zones: tuple[str, ...], timeout: timedelta
    ) -> Rollout:
        """Poll until ``revision`` is in force everywhere, or ``timeout`` is over.

        Fails with ``KeyValueUnavailableError`` if the list could not be read at the
        end of the time.
        """
        ends = self._clock.seconds() + timeout.total_seconds()
        while True:
            over = self._clock.seconds() >= ends
            try:
                rollout = await self.read(revision, zones)
                if rollout.complete or over:
                    return rollout
            except KeyValueUnavailableError:
                if over:
                    raise
            await deferLater(self._clock, POLL_SECONDS)

    async def read(self, revision: int, zones: tuple[str, ...]) -> Rollout:
        """Return what the instances of the platform's list have in force."""
        entries = await self._store.list(INSTANCES_PREFIX)
        records = [_record_of(entry) for entry in entries]
        answers = await self._answers(records)
        return _rollout(revision, zones, answers)

    async def ask(self, addresses: tuple[str, ...]) -> Rollout:
        """Return what the instances at ``addresses`` know, without the platform."""
        records = [InstanceRecord(address, "", address) for address in addresses]
        answers = await self._answers(records, named=False)
        statuses = [answer.status for answer in answers if answer.status]
        known = [status.revision for status in statuses]
        known += [r for s in statuses for r in s.in_force_by_instance.values()]
        named = [_named(answer) for answer in answers]
        asked = {answer.record.instance for answer in named}
        told = {i for status in statuses for i in status.in_force_by_instance}
        for instance in sorted(told - asked):
            record = InstanceRecord(instance, "", "")
            named.append(_Answer(record, None, "not asked"))
        return _rollout(max(known, default=0), (), named)

    def _answers(
        self, records: list[InstanceRecord], *, named: bool = True
    ) -> "Deferred[list[_Answer]]":
        """Ask all instances, a few at a time."""
        calls = DeferredSemaphore(MAX_CONCURRENT_CALLS)
        return gatherResults(
            [calls.run(self._answer, each, named=named) for each in records]
        )

    def _answer(self, record: InstanceRecord, *, named: bool) -> "Deferred[_Answer]":
        """Ask the instance; ``named`` tells that its name is known beforehand."""

        def answered(status: InstanceStatus) -> _Answer:
            if named and status.instance != record.instance:
                reason = f"instance {status.instance!r} answers at {record.address}"
                return _Answer(record, None, reason)
            return _Answer(record, status)

        def failed(failure: Failure) -> _Answer:
            failure.trap(StatusUnavailableError)
            return _Answer(record, None, failure.getErrorMessage())

        return self._statuses.fetch(record.address).addCallbacks(answered, failed)


def _record_of(entry: Entry) -> InstanceRecord:
    try:
        return decode_record(entry.value)
    except msgspec.MsgspecError:
        return InstanceRecord(entry.key.removeprefix(INSTANCES_PREFIX), "", "")


def _named(answer: _Answer) -> _Answer:
    """Return ``answer`` with the names that the instance gave itself."""
    status = answer.status
    if status is None:
        return answer
    address = answer.record.address
    record = InstanceRecord(status.instance, status.availability_zone, address)
    return _Answer(record, status)


def _rollout(revision: int, zones: tuple[str, ...], answers: list[_Answer]) -> Rollout:
    instances = [_in_force(answer, answers, revision) for answer in answers]
    reached = {i.availability_zone for i in instances if i.state == "in force"}
    instances.sort(key=lambda each: (each.availability_zone, each.instance))
    unreached = tuple(zone for zone in zones if zone not in reached)
    return Rollout(revision, tuple(instances), unreached)


def _in_force(
    answer: _Answer, answers: list[_Answer], revision: int
) -> InstanceInForce:
    record = answer.record
    revisions_by_teller = {
        other.status.instance: other.status.in_force_by_instance[record.instance]
        for other in answers
        if other.status and record.instance in other.status.in_force_by_instance
    }
    if answer.status:
        revisions_by_teller = {record.instance: answer.status.revision}
    teller = max(revisions_by_teller, key=revisions_by_teller.get, default="")
    found = revisions_by_teller.get(teller, 0)
    state: InForce = "in force" if found >= revision else "behind"
    return InstanceInForce(
        record.instance,
        record.availability_zone,
        state if revisions_by_teller else "unreached",
        found,
        record.state == "leaving",
        teller,
        answer.error,
    )
