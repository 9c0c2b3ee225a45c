"""Reports of load, usage and queues that instances send to each other by UDP."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from functools import singledispatch
from typing import Any

import cbor2
import msgspec
from twisted.internet.protocol import DatagramProtocol

from .crash_quarantine import ReportedCrashes
from .event_log import EventLog
from .fleet_news import (
    DATAGRAM_MARK,
    MAX_DATAGRAM_BYTES,
    NewsDatagram,
    decode_news,
    encode_news,
)
from .loads import ServerCalls
from .named_limits import ReportedLimits
from .remote_queues import QueueRank, QueueSummary
from .store_follower import StoreProof
from .stream_origins import ReportedOrigins
from .tally import Tally

MAX_ENDED_RUNS = 1_000
"""Limit on the remembered former runs of instances, whose late reports are dropped."""


class ReportKind(enum.IntEnum):
    """Whose state a report contains, and to whom it is sent."""

    MEMBER = 0
    """The sender's own state, for the contact of its group."""

    GROUP = 1
    """The sum over the sender and its group, for the contacts of the other groups."""

    DIGEST = 2
    """The sum over all instances but the receiver, for a member of the group."""


Waiting = tuple[int, bool, int, int, float, int]


@dataclass(frozen=True, slots=True)
class Report:
    """The state of one or more instances, which one of them reports.

    ``kind`` tells which, and ``covers`` how many they are. ``run`` is a random number
    for each start of the reporting instance, and ``sequence`` grows within a run, which
    began ``age`` seconds ago. ``work`` maps backend servers to numbers of calls and
    tokens, ``usage`` maps accounts to units admitted in this run. ``waiting`` maps
    services to the number of waiting calls, the rank of the first (whether it is late,
    its priority, its account's usage step, and the seconds that it has waited) and the
    number of instances with waiting calls. ``changing`` lists engines that were
    recently ordered to another stage, ``leaving`` the servers, each with the start of
    its run, that said that they leave. ``failures`` has the new failures among calls by
    backend server, ``resends`` the new retries and calls by service. ``stamp`` is the
    time of the sender's clock; a digest echoes the run and the stamp of the receiver's
    last report, and has the contact's ``store`` proof. ``origins`` has the ids of the
    calls that began streams, by service and software version. ``crashes`` has the keys
    of the calls under which servers ended, ``sound`` the keys that were disproved.
    ``limits`` has the limits that servers named, and their ends; ``sends`` the new
    requests to such servers, and how often instances asked to send one.
    ``unavailable`` names instances that can take no calls of others.
    """

    instance: str
    run: int
    sequence: int
    age: float = 0.0
    kind: ReportKind = ReportKind.GROUP
    covers: int = 1
    work: dict[str, tuple[int, int]] = field(default_factory=dict)
    usage: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, Waiting] = field(default_factory=dict)
    changing: list[str] = field(default_factory=list)
    leaving: list[tuple[str, int]] = field(default_factory=list)
    failures: dict[str, Tally] = field(default_factory=dict)
    resends: dict[str, Tally] = field(default_factory=dict)
    stamp: float = 0.0
    echo: tuple[int, float] | None = None
    store: StoreProof | None = None
    origins: ReportedOrigins = field(default_factory=dict)
    crashes: ReportedCrashes = field(default_factory=list)
    sound: list[int] = field(default_factory=list)
    limits: ReportedLimits = field(default_factory=list)
    sends: dict[str, Tally] = field(default_factory=dict)
    unavailable: list[str] = field(default_factory=list)

    def calls_by_server(self) -> dict[str, ServerCalls]:
        """Return the reported calls and tokens by backend server."""
        return {server: ServerCalls(*each) for server, each in self.work.items()}

    def queues_by_service(self, now: float) -> dict[str, QueueSummary]:
        """Return the queue summaries by service, in times of this instance's clock."""
        return {
            service: QueueSummary(
                count, QueueRank(late, priority, step, now - waited), instances
            )
            for service, (
                count,
                late,
                priority,
                step,
                waited,
                instances,
            ) in self.waiting.items()
        }


def waiting_from(
    queues_by_service: dict[str, QueueSummary], now: float
) -> dict[str, Waiting]:
    """Return queue summaries as a report contains them, with waits for times."""
    return {
        service: (
            summary.count,
            summary.first.late,
            summary.first.priority,
            summary.first.account_usage_step,
            round(now - summary.first.arrived, 4),
            summary.instances,
        )
        for service, summary in queues_by_service.items()
    }


@singledispatch
def encode(report: Any) -> bytes:
    """Return a report, or rows, as a CBOR array."""
    raise TypeError(f"{type(report).__name__} can't be encoded")


encode.register(NewsDatagram, encode_news)


@encode.register
def _(report: Report) -> bytes:
    return cbor2.dumps([getattr(report, each.name) for each in fields(Report)])


def decode(data: bytes) -> Report | NewsDatagram:
    """Decode the report, or the rows, in a datagram, or raise ``ValueError``."""
    try:
        values = cbor2.loads(data)
        if isinstance(values, list) and values[:1] == [DATAGRAM_MARK]:
            return decode_news(values)
        names = [each.name for each in fields(Report)]
        if not isinstance(values, list) or len(values) != len(names):
            raise ValueError(f"datagram is not a report: {data[:20]!r}")
        return msgspec.convert(dict(zip(names, values, strict=True)), Report)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"datagram is not a report: {error}") from error


class ReportExchange(DatagramProtocol):
    """Sends and receives reports by UDP.

    Lost, duplicated and late datagrams are harmless: reports carry totals, and a
    report that is not newer than the last one of its sender is dropped.

    Parameters
    ----------
    on_report : callable
        Called with each new report of a peer and the address that it came from.
    on_news : callable
        Called with the rows of a peer (see ``FleetNews``) and the address.
    """

    def __init__(
        self,
        on_report: Callable[[Report, tuple[str, int]], None],
        log: EventLog,
        on_news: Callable[[NewsDatagram, tuple[str, int]], None] = lambda *_: None,
    ) -> None:
        self._on_report = on_report
        self._on_news = on_news
        self._log = log
        self._newest_by_instance: dict[str, tuple[int, int]] = {}
        self._ended_runs: set[tuple[str, int]] = set()
        self.bad_reports = 0
        self.sent = 0
        self.received = 0

    def send(self, report: Report | NewsDatagram, address: tuple[str, int]) -> None:
        """Send a report or rows, unless the socket is not open yet."""
        if self.transport is None:
            return
        data = encode(report)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.event("report_too_large", bytes=len(data))
            return
        self.sent += 1
        self.transport.write(data, address)

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Handle a peer's report if it is newer than the last one."""
        self.received += 1
        try:
            report = decode(data)
        except ValueError as error:
            self.bad_reports += 1
            self._log.event("bad_report", sender=str(addr), reason=str(error))
            return
        if isinstance(report, NewsDatagram):
            if (report.instance, report.run) not in self._ended_runs:
                self._on_news(report, addr)
        elif self._is_new(report):
            self._newest_by_instance[report.instance] = (report.run, report.sequence)
            self._on_report(report, addr)

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
