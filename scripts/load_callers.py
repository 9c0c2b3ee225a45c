"""Callers that send bounded load over persistent connections."""

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
CALL_TIMEOUT_SECONDS = 30.0
PLAIN_PATH = "/roster/grounds/eastfield"
STREAM_PATH = "/v1/completions"
END_OF_STREAM = b"data: [DONE]"


class Caller:
    """One persistent connection to a process, reopened when it breaks."""

    def __init__(self, port: int) -> None:
        self._connection = http.client.HTTPConnection(
            HOST, port, timeout=CALL_TIMEOUT_SECONDS
        )

    def look_up(self) -> str:
        """Make a plain call; return ``"whole"`` or a description of the failure."""
        status, body = self._call("GET", PLAIN_PATH, b"")
        return "whole" if status == 200 else _failure(status, body)

    def stream(self) -> str:
        """Make a streamed call; return ``"whole"`` or a description of the failure.

        No two calls have the same prompt.
        """
        name = uuid.uuid4().hex
        status, body = self._call("POST", STREAM_PATH, stream_body(name))
        whole = status == 200 and body.rstrip().endswith(END_OF_STREAM)
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


def record(times: HdrHistogram, seconds: float) -> None:
    """Record a time; one under a microsecond counts as a microsecond."""
    times.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND)))


@dataclass(slots=True)
class PairedTimes:
    """Times of calls through an instance and of the same calls made directly.

    ``added`` has the difference of each pair, ``lateness`` how long after its
    planned time a pair began.
    """

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
            for each in [pool.submit(self._make_calls) for _ in range(threads)]:
                each.result()
        return self.times

    def _next_start(self) -> float | None:
        with self._lock:
            if self._next == self._pairs:
                return None
            self._next += 1
            return self._began + self._next * self._interval

    def _make_calls(self) -> None:
        through, direct = (Caller(port) for port in self._ports)
        while (due := self._next_start()) is not None:
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


def _timed(call: Callable[[], str]) -> tuple[str, float]:
    began = time.perf_counter()
    outcome = call()
    return outcome, time.perf_counter() - began


@dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Makes calls back to back on every connection.

    It ends after ``seconds`` or ``calls`` calls, whichever comes first.
    """

    ports: tuple[int, ...]
    connections: int
    seconds: float
    calls: int
    streamed: bool

    def run(self, processes: int = 1) -> "ClosedLoopResult":
        """Make the calls, from several processes if asked for."""
        share = ClosedLoop(
            self.ports,
            max(1, self.connections // processes),
            self.seconds,
            max(1, self.calls // processes),
            self.streamed,
        )
        if processes == 1:
            return share.run_in_threads()
        with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
            parts = [pool.submit(share.run_in_threads) for _ in range(processes)]
            return merge_results([part.result() for part in parts])

    def run_in_threads(self) -> "ClosedLoopResult":
        """Make the calls from threads of this process."""
        began, processor_began = time.monotonic(), time.process_time()
        lock = threading.Lock()
        outcomes: Counter[str] = Counter()
        times: list[float] = []

        def make_calls(number: int) -> None:
            caller = Caller(self.ports[number % len(self.ports)])
            call = caller.stream if self.streamed else caller.look_up
            while time.monotonic() - began < self.seconds:
                outcome, seconds = _timed(call)
                with lock:
                    outcomes[outcome] += 1
                    times.append(seconds)
                    if sum(outcomes.values()) >= self.calls:
                        return

        with ThreadPoolExecutor(self.connections) as pool:
            list(pool.map(make_calls, range(self.connections)))
        elapsed = time.monotonic() - began
        cores = (time.process_time() - processor_began) / elapsed
        return ClosedLoopResult(elapsed, cores, outcomes, times)


@dataclass(frozen=True, slots=True)
class ClosedLoopResult:
    """Outcomes of the calls of a closed loop and how long each took, in seconds.

    ``caller_cores`` is the processor time of the callers over the elapsed time.
    """

    elapsed: float
    caller_cores: float
    outcomes: Counter[str]
    times: list[float]

    @property
    def completed_per_second(self) -> float:
        """Complete answers per second."""
        return self.outcomes["whole"] / self.elapsed


def merge_results(results: list[ClosedLoopResult]) -> ClosedLoopResult:
    """Merge the results of several processes into one."""
    outcomes: Counter[str] = Counter()
    for each in results:
        outcomes += each.outcomes
    times = [seconds for each in results for seconds in each.times]
    elapsed = max(each.elapsed for each in results)
    cores = sum(each.caller_cores for each in results)
    return ClosedLoopResult(elapsed, cores, outcomes, times)
