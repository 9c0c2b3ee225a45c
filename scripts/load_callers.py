"""Callers that send bounded load over kept connections and time each call."""

import http.client
import json
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

from hdrh.histogram import HdrHistogram

from scripts.fleet import HOST
from scripts.load_fleet import KEY, stream_body

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
CALL_SECONDS = 30.0
PATH = "/roster/grounds/eastfield"
STREAM_PATH = "/v1/completions"
END = b"data: [DONE]"


class Caller:
    """One connection to a process, opened anew when it breaks."""

    def __init__(self, port: int) -> None:
        self._connection = http.client.HTTPConnection(HOST, port, timeout=CALL_SECONDS)

    def look_up(self) -> str:
        """Make a plain call; return ``"whole"`` or what went wrong."""
        status, body = self._call("GET", PATH, b"")
        return "whole" if status == 200 else _failure(status, body)

    def stream(self) -> str:
        """Make a streamed call; return ``"whole"`` or what went wrong.

        No two calls have the same prompt.
        """
        name = uuid.uuid4().hex
        status, body = self._call("POST", STREAM_PATH, stream_body(name))
        whole = status == 200 and body.rstrip().endswith(END)
        return "whole" if whole else _failure(status, body)

    def _call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        headers = {"Authorization": f"Bearer {KEY}"}
        try:
            self._connection.request(method, path, body or None, headers)
            response = self._connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            return 0, type(error).__name__.encode()


def _failure(status: int, body: bytes) -> str:
    if status == 0:
        return body.decode()
    last = body.rstrip().rpartition(b"\n")[2].removeprefix(b"data: ")
    try:
        return f"{status} {json.loads(last)['error']['reason']}"
    except (ValueError, KeyError, TypeError):
        return f"{status} without a reason"


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def record(into: HdrHistogram, seconds: float) -> None:
    """Record a time; one under a microsecond counts as a microsecond."""
    into.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND)))


@dataclass(slots=True)
class PairedTimes:
    """Times of calls through an instance and of the same calls made directly."""

    through: HdrHistogram = field(default_factory=histogram)
    direct: HdrHistogram = field(default_factory=histogram)
    added: HdrHistogram = field(default_factory=histogram)
    lateness: HdrHistogram = field(default_factory=histogram)
    outcomes: Counter[str] = field(default_factory=Counter)


class OpenLoop:
    """Makes pairs of calls at fixed times, whether or not earlier ones have ended."""

    def __init__(self, through: int, direct: int, rate: int, pairs: int) -> None:
        self.times = PairedTimes()
        self._ports = (through, direct)
        self._interval = 1 / rate
        self._pairs = pairs
        self._next = 0
        self._lock = threading.Lock()
        self._began = time.perf_counter()

    def run(self, threads: int) -> PairedTimes:
        """Make every pair and return the times."""
        with ThreadPoolExecutor(threads) as pool:
            for each in [pool.submit(self._work) for _ in range(threads)]:
                each.result()
        return self.times

    def _take(self) -> float | None:
        with self._lock:
            if self._next == self._pairs:
                return None
            self._next += 1
            return self._began + self._next * self._interval

    def _work(self) -> None:
        through, direct = (Caller(port) for port in self._ports)
        while (due := self._take()) is not None:
            time.sleep(max(0.0, due - time.perf_counter()))
            late = time.perf_counter() - due
            outcome, seconds = _timed(through.look_up)
            direct_outcome, direct_seconds = _timed(direct.look_up)
            with self._lock:
                self.times.outcomes[outcome] += 1
                self.times.outcomes[f"direct {direct_outcome}"] += 1
                record(self.times.lateness, late)
                if outcome == direct_outcome == "whole":
                    record(self.times.through, seconds)
                    record(self.times.direct, direct_seconds)
                    record(self.times.added, seconds - direct_seconds)


def _timed(make: Callable[[], str]) -> tuple[str, float]:
    began = time.perf_counter()
    outcome = make()
    return outcome, time.perf_counter() - began


@dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Calls that each follow on the end of the one before, on every connection.

    It ends after ``seconds`` or ``calls`` calls, whichever comes first.
    """

    ports: tuple[int, ...]
    connections: int
    seconds: float
    calls: int
    streamed: bool

    def run(self, processes: int = 1) -> "ClosedLoopResult":
        """Make the calls from this many processes of callers."""
        share = ClosedLoop(
            self.ports,
            max(1, self.connections // processes),
            self.seconds,
            max(1, self.calls // processes),
            self.streamed,
        )
        if processes == 1:
            return share.run_here()
        with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
            parts = [pool.submit(share.run_here) for _ in range(processes)]
            return merged([part.result() for part in parts])

    def run_here(self) -> "ClosedLoopResult":
        """Make the calls from threads of this process."""
        began, processor_began = time.monotonic(), time.process_time()
        lock = threading.Lock()
        outcomes: Counter[str] = Counter()
        times: list[float] = []

        def work(number: int) -> None:
            caller = Caller(self.ports[number % len(self.ports)])
            make = caller.stream if self.streamed else caller.look_up
            while time.monotonic() - began < self.seconds:
                outcome, seconds = _timed(make)
                with lock:
                    outcomes[outcome] += 1
                    times.append(seconds)
                    if sum(outcomes.values()) >= self.calls:
                        return

        with ThreadPoolExecutor(self.connections) as pool:
            list(pool.map(work, range(self.connections)))
        elapsed = time.monotonic() - began
        cores = (time.process_time() - processor_began) / elapsed
        return ClosedLoopResult(elapsed, cores, outcomes, times)


@dataclass(frozen=True, slots=True)
class ClosedLoopResult:
    """How the calls of a closed loop ended and how long each took, in seconds.

    ``caller_cores`` is the processor time of the callers over the elapsed time.
    """

    elapsed: float
    caller_cores: float
    outcomes: Counter[str]
    times: list[float]

    @property
    def whole_per_second(self) -> float:
        """Whole answers a second."""
        return self.outcomes["whole"] / self.elapsed


def merged(results: list[ClosedLoopResult]) -> ClosedLoopResult:
    """Return the results of several processes as one."""
    outcomes: Counter[str] = Counter()
    for each in results:
        outcomes += each.outcomes
    times = [seconds for each in results for seconds in each.times]
    elapsed = max(each.elapsed for each in results)
    cores = sum(each.caller_cores for each in results)
    return ClosedLoopResult(elapsed, cores, outcomes, times)
