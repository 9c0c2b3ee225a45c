"""Reports of load, usage and queues that instances send to each other by UDP."""

from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any

import cbor2
import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import DatagramProtocol

from .event_log import EventLog
from .loads import ServerCalls
from .remote_queues import QueueRank, QueueSummary

REPORT_DELAY_SECONDS = 0.002
"""Delay of a report after a change, so that several changes share one report."""

BUSY_INTERVAL_SECONDS = 0.25
"""Interval of reports while the instance has running calls, so that a lost report is
replaced soon."""

IDLE_INTERVAL_SECONDS = 1.0
MAX_REPORT_BYTES = 60_000
MAX_ENDED_RUNS = 1_000
"""Limit on the remembered former runs of instances, whose late reports are dropped."""


@dataclass(frozen=True, slots=True)
class Report:
    """The state that one instance reports to the others.

    ``run`` is a random number for each start of the instance, and ``sequence`` grows
    within a run, which began ``age`` seconds ago. ``work`` maps backend servers to
    numbers of calls and tokens, ``usage`` maps accounts to units admitted in this run.
    ``waiting`` maps services to the number of waiting calls and the rank of the first:
    whether it is late, its priority, its account's usage step, and the seconds that it
    has waited. ``changing`` lists engines that were recently ordered to another stage,
    ``leaving`` the servers, each with the start of its run, that said that they leave.
    """

    instance: str
    run: int
    sequence: int
    age: float = 0.0
    work: dict[str, tuple[int, int]] = field(default_factory=dict)
    usage: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, tuple[int, bool, int, int, float]] = field(default_factory=dict)
    changing: list[str] = field(default_factory=list)
    leaving: list[tuple[str, int]] = field(default_factory=list)

    def calls_by_server(self) -> dict[str, ServerCalls]:
        """Return the reported calls and tokens by backend server."""
        return {server: ServerCalls(*each) for server, each in self.work.items()}

    def queues_by_service(self, now: float) -> dict[str, QueueSummary]:
        """Return the queue summaries by service, in times of this instance's clock."""
        return {
            service: QueueSummary(count, QueueRank(late, priority, step, now - waited))
            for service, (count, late, priority, step, waited) in self.waiting.items()
        }


def encode(report: Report) -> bytes:
    """Return a report as a CBOR array of its fields."""
    return cbor2.dumps([getattr(report, each.name) for each in fields(Report)])


def decode(data: bytes) -> Report:
    """Decode the report in a datagram, or raise ``ValueError``."""
    try:
        values = cbor2.loads(data)
        names = [each.name for each in fields(Report)]
        if not isinstance(values, list) or len(values) != len(names):
            raise ValueError(f"datagram is not a report: {data[:20]!r}")
        return msgspec.convert(dict(zip(names, values, strict=True)), Report)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"datagram is not a report: {error}") from error


class ReportExchange(DatagramProtocol):
    """Sends this instance's report to all peers on changes and periodically.

    Lost, duplicated and late datagrams are harmless: reports carry totals, and a
    report that is not newer than the last one of its sender is dropped.

    Parameters
    ----------
    clock : IReactorTime
        Schedules reports.
    report : callable
        Returns the current report for a given sequence number.
    on_report : callable
        Called with each new report of a peer.
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
        """Set the peers' addresses; a report follows soon if there are new ones."""
        new = set(addresses_by_instance) - set(self._addresses_by_instance)
        self._addresses_by_instance = dict(addresses_by_instance)
        if new:
            self.schedule_report()

    def peers(self) -> set[str]:
        """Return the names of the peers."""
        return set(self._addresses_by_instance)

    def startProtocol(self) -> None:  # noqa: N802
        """Start the periodic reports."""
        self._schedule(IDLE_INTERVAL_SECONDS)

    def stopProtocol(self) -> None:  # noqa: N802
        """Stop the periodic reports."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def schedule_report(self) -> None:
        """Send a report after a short delay."""
        if self.transport is not None:
            self._schedule(REPORT_DELAY_SECONDS)

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Handle a peer's report if it is newer than the last one."""
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
        """Return whether a report is newer than all others received from its sender."""
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
