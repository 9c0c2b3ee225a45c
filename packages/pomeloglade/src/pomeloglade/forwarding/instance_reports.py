"""Reports that instances send each other as datagrams: work, usage, suspects."""

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

import cbor2
import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import DatagramProtocol

from .event_log import EventLog
from .loads import Work
from .waiting_elsewhere import QueueRank, QueueSummary

REPORT_DELAY_SECONDS = 0.002
"""Changes within this time go in one report."""

BUSY_INTERVAL_SECONDS = 0.25
"""Pause between reports of an instance with calls in work, so that lost ones are
made good soon."""

IDLE_INTERVAL_SECONDS = 1.0
MAX_REPORT_BYTES = 60_000
MAX_ENDED_RUNS = 1_000
"""Former runs of instances whose late reports are dropped."""


@dataclass(frozen=True, slots=True)
class Report:
    """What one instance tells the others.

    ``run`` is random for each start of the instance, ``sequence`` grows within
    a run, which began ``age`` seconds ago. ``work`` is by backend server;
    ``usage`` is by account, in units admitted in this run. ``waiting`` tells by
    service how many calls wait, and of the first of them whether it is late, its
    priority, its account's load and for how many seconds it has waited.
    ``changing`` names engines that were just ordered to another stage.
    """

    instance: str
    run: int
    sequence: int
    age: float = 0.0
    work: dict[str, tuple[int, int]] = field(default_factory=dict)
    usage: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, tuple[int, bool, int, int, float]] = field(default_factory=dict)
    changing: list[str] = field(default_factory=list)

    def work_by_server(self) -> dict[str, Work]:
        """Return the reported calls and tokens by backend server."""
        return {server: Work(*each) for server, each in self.work.items()}

    def queues_by_service(self, now: float) -> dict[str, QueueSummary]:
        """Return the reported queues by service, with instants of this instance."""
        return {
            service: QueueSummary(count, QueueRank(late, priority, load, now - waited))
            for service, (count, late, priority, load, waited) in self.waiting.items()
        }


def encode(report: Report) -> bytes:
    """Return a report as a CBOR array of its fields."""
    return cbor2.dumps([getattr(report, each.name) for each in fields(Report)])


def decode(data: bytes) -> Report:
    """Return the report in a datagram; ``ValueError`` if there is none."""
    try:
        values = cbor2.loads(data)
        names = [each.name for each in fields(Report)]
        if not isinstance(values, list) or len(values) != len(names):
            raise ValueError(f"datagram is not a report: {data[:20]!r}")
        return msgspec.convert(dict(zip(names, values, strict=True)), Report)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"datagram is not a report: {error}") from error


class ReportExchange(DatagramProtocol):
    """Sends this instance's report to all others when it changes, and now and then.

    Datagrams that are lost, doubled or late do no harm: totals are sent, and a
    report that is older than the newest of its sender's run is dropped.

    Parameters
    ----------
    clock : IReactorTime
        Delays and repeats reports.
    report : callable
        Returns the report for a sequence number.
    on_report : callable
        Called with each new report of another instance.
    """

    def __init__(
        self,
        clock: IReactorTime,
        report: Callable[[int], Report],
        on_report: Callable[[Report], None],
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._report = report
        self._on_report = on_report
        self._log = log
        self._addresses_by_instance: dict[str, tuple[str, int]] = {}
        self._newest_by_instance: dict[str, tuple[int, int]] = {}
        self._ended_runs: set[tuple[str, int]] = set()
        self._sequence = 0
        self._sent_at = 0.0
        self._timer: Any = None
        self.bad_reports = 0

    def set_peers(self, addresses_by_instance: dict[str, tuple[str, int]]) -> None:
        """Take the other instances' addresses; new ones get a report at once."""
        new = set(addresses_by_instance) - set(self._addresses_by_instance)
        self._addresses_by_instance = dict(addresses_by_instance)
        if new:
            self.schedule_report()

    def peers(self) -> set[str]:
        """Return the names of the other instances."""
        return set(self._addresses_by_instance)

    def startProtocol(self) -> None:  # noqa: N802
        """Begin the repeated reports."""
        self._schedule(IDLE_INTERVAL_SECONDS)

    def stopProtocol(self) -> None:  # noqa: N802
        """End the repeated reports."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def schedule_report(self) -> None:
        """Send a report soon."""
        if self.transport is not None:
            self._schedule(REPORT_DELAY_SECONDS)

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Take another instance's report, if it is newer than the last."""
        try:
            report = decode(data)
        except ValueError as error:
            self.bad_reports += 1
            self._log.event("bad_report", sender=str(addr), reason=str(error))
            return
        if self._is_new(report):
            self._newest_by_instance[report.instance] = (report.run, report.sequence)
            self._on_report(report)

    def _is_new(self, report: Report) -> bool:
        """Whether a report is newer than all that its sender was heard of."""
        if (report.instance, report.run) in self._ended_runs:
            return False
        newest = self._newest_by_instance.get(report.instance)
        if newest is None:
            return True
        run, sequence = newest
        if run == report.run:
            return report.sequence > sequence
        if len(self._ended_runs) >= MAX_ENDED_RUNS:
            self._ended_runs.clear()
        self._ended_runs.add((report.instance, run))
        return True

    def _schedule(self, delay: float) -> None:
        due = self._clock.seconds() + delay
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= due:
                return
            self._timer.cancel()
        self._timer = self._clock.callLater(delay, self._send)

    def _send(self) -> None:
        self._sequence += 1
        report = self._report(self._sequence)
        data = encode(report)
        if len(data) <= MAX_REPORT_BYTES:
            for address in self._addresses_by_instance.values():
                self.transport.write(data, address)
        else:
            self._log.event("report_too_large", bytes=len(data))
        self._schedule(BUSY_INTERVAL_SECONDS if report.work else IDLE_INTERVAL_SECONDS)
