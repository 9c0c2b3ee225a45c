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

RolloutState = Literal["in force", "behind", "unreached"]


@dataclass(frozen=True, slots=True)
class InstanceRollout:
    """Which revision one instance has in force, as far as is known.

    ``revision`` is 0 if unknown. ``heard_from`` is the instance that reported it:
    this one or one of its peers. ``error`` is why this instance did not answer.
    """

    instance: str
    availability_zone: str
    state: RolloutState
    revision: int = 0
    leaving: bool = False
    heard_from: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class Rollout:
    """Which instances have ``revision`` or a later one in force.

    ``unreached_zones`` are those of the deployment in which no instance is known
    to have it in force: instances there may still use an earlier one.
    """

    revision: int
    instances: tuple[InstanceRollout, ...]
    unreached_zones: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether the rollout has reached all zones and all instances not leaving."""
        needed = [each for each in self.instances if not each.leaving]
        in_force = all(each.state == "in force" for each in needed)
        return in_force and not self.unreached_zones


@dataclass(frozen=True, slots=True)
class _Answer:
    record: InstanceRecord
    status: InstanceStatus | None
    error: str = ""


class RolloutReader:
    """Reads the platform's list of instances and asks each for its status.

    Parameters
    ----------
    store : KeyValueStore
        Holds the platform's list of instances.
    statuses : StatusClient
        Asks one instance for its status.
    clock : IReactorTime
        Delays the polls.
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
        """Poll until ``revision`` is in force everywhere or ``timeout`` has passed.

        Fails with ``KeyValueUnavailableError`` if the last poll could not read the
        list.
        """
        deadline = self._clock.seconds() + timeout.total_seconds()
        while True:
            expired = self._clock.seconds() >= deadline
            try:
                rollout = await self.read(revision, zones)
                if rollout.complete or expired:
                    return rollout
            except KeyValueUnavailableError:
                if expired:
                    raise
            await deferLater(self._clock, POLL_SECONDS)

    async def read(self, revision: int, zones: tuple[str, ...]) -> Rollout:
        """Return how far ``revision`` is in force at the platform's instances."""
        entries = await self._store.list(INSTANCES_PREFIX)
        records = [_record_of(entry) for entry in entries]
        answers = await self._ask_instances(records)
        return _rollout(revision, zones, answers)

    async def ask(self, addresses: tuple[str, ...]) -> Rollout:
        """Return the rollout as the instances at ``addresses`` know it.

        The platform is not asked; the newest revision that they know of is taken as
        the published one.
        """
        records = [InstanceRecord(address, "", address) for address in addresses]
        answers = await self._ask_instances(records, check_names=False)
        statuses = [answer.status for answer in answers if answer.status]
        known = [status.revision for status in statuses]
        known += [r for s in statuses for r in s.in_force_by_instance.values()]
        renamed = [_with_reported_name(answer) for answer in answers]
        asked = {answer.record.instance for answer in renamed}
        reported = {i for status in statuses for i in status.in_force_by_instance}
        for instance in sorted(reported - asked):
            record = InstanceRecord(instance, "", "")
            renamed.append(_Answer(record, None, "not asked"))
        return _rollout(max(known, default=0), (), renamed)

    def _ask_instances(
        self, records: list[InstanceRecord], *, check_names: bool = True
    ) -> "Deferred[list[_Answer]]":
        """Ask all instances, at most ``MAX_CONCURRENT_CALLS`` at a time."""
        calls = DeferredSemaphore(MAX_CONCURRENT_CALLS)
        return gatherResults(
            [
                calls.run(self._ask_instance, each, check_name=check_names)
                for each in records
            ]
        )

    def _ask_instance(
        self, record: InstanceRecord, *, check_name: bool
    ) -> "Deferred[_Answer]":
        """Ask one instance; ``check_name`` rejects answers under another name."""

        def answered(status: InstanceStatus) -> _Answer:
            if check_name and status.instance != record.instance:
                reason = f"instance {status.instance!r} answers at {record.address}"
                return _Answer(record, None, reason)
            return _Answer(record, status)

        def failed(failure: Failure) -> _Answer:
            failure.trap(StatusUnavailableError)
            return _Answer(record, None, failure.getErrorMessage())

        return self._statuses.fetch(record.address).addCallbacks(answered, failed)


def _record_of(entry: Entry) -> InstanceRecord:
    """Return an entry's record, with only the name if it can't be decoded."""
    try:
        return decode_record(entry.value)
    except msgspec.MsgspecError:
        return InstanceRecord(entry.key.removeprefix(INSTANCES_PREFIX), "", "")


def _with_reported_name(answer: _Answer) -> _Answer:
    """Return ``answer`` with the instance name and zone that its status reports."""
    status = answer.status
    if status is None:
        return answer
    address = answer.record.address
    record = InstanceRecord(status.instance, status.availability_zone, address)
    return _Answer(record, status)


def _rollout(revision: int, zones: tuple[str, ...], answers: list[_Answer]) -> Rollout:
    instances = [_instance_rollout(answer, answers, revision) for answer in answers]
    reached = {i.availability_zone for i in instances if i.state == "in force"}
    instances.sort(key=lambda each: (each.availability_zone, each.instance))
    unreached = tuple(zone for zone in zones if zone not in reached)
    return Rollout(revision, tuple(instances), unreached)


def _instance_rollout(
    answer: _Answer, answers: list[_Answer], revision: int
) -> InstanceRollout:
    record = answer.record
    revisions_by_reporter = {
        other.status.instance: other.status.in_force_by_instance[record.instance]
        for other in answers
        if other.status and record.instance in other.status.in_force_by_instance
    }
    if answer.status:
        revisions_by_reporter = {record.instance: answer.status.revision}
    reporter = max(revisions_by_reporter, key=revisions_by_reporter.get, default="")
    reported = revisions_by_reporter.get(reporter, 0)
    state: RolloutState = "in force" if reported >= revision else "behind"
    return InstanceRollout(
        record.instance,
        record.availability_zone,
        state if revisions_by_reporter else "unreached",
        reported,
        record.state == "leaving",
        reporter,
        answer.error,
    )
