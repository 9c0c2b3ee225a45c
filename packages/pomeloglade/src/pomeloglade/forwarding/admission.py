"""Decisions on which calls to a plain service are admitted, and what servers get."""

from dataclasses import dataclass

COVER_SECONDS = 0.15
"""Work that may wait at a server: its slots must stay busy until its load is known
again, and reports of the other instances' calls are up to 150 ms old."""

SERVER_WAIT_FRACTION = 0.4
"""Fraction of the time between a call's duration and its objective that it may wait
at a server. The order of calls that wait at a server can't be changed any more, and
instances with reports of the same age may exceed the bound together. With 0.5, fewer
calls were on time in a burst at 24 instances (678 and 719, with 0.4 731 and 748)."""

ONTIME_PLACEMENTS = 3
"""Placements of calls that can be on time for each placement of a late one, if both
wait."""

IDLE_FRACTION = 0.5
"""Fraction of a service's slots below which no call is refused if nothing waits."""

URGENCY_STEP_FRACTION = 0.75
"""Fraction of the wait allowed to calls of the next more urgent kind."""


YIELD_FRACTION = 0.25
"""Fraction of its part that an instance takes while a call waits elsewhere that is more
urgent, or of an account with less use."""


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """What the servers of a service can do together.

    ``rate`` is how many calls a second they finish, ``duration`` the mean seconds that
    a call takes once it runs.
    """

    slots: int
    rate: float
    duration: float


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """The calls to a service that count before a new one.

    ``at_servers`` are those that all instances have sent, ``ahead`` those in queues
    that go first, and ``waiting`` all in queues.
    """

    at_servers: int
    ahead: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class CallTimes:
    """The times by which a call must be answered, in seconds of the local clock.

    An answer until ``due`` is on time; the caller leaves at ``deadline``. ``returned``
    is set for a call whose caller was refused before.
    """

    now: float
    due: float
    deadline: float
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a call may wait, for how long it is expected to, and when to retry.

    ``retry_after`` is the earliest useful time of a retry, in seconds from now.
    """

    admitted: bool
    wait: float
    retry_after: float = 0.0


def calls_ahead(late: bool, on_time_ahead: int, late_ahead: int) -> int:
    """Return how many of the queued calls are placed before a call.

    One of four placements goes to a late call. ``on_time_ahead`` and ``late_ahead``
    are the calls of each kind that go first among their own.

    >>> calls_ahead(False, 6, 100), calls_ahead(True, 100, 1)
    (8, 7)
    """
    if late:
        return late_ahead + min(on_time_ahead, ONTIME_PLACEMENTS * (late_ahead + 1))
    return on_time_ahead + min(late_ahead, on_time_ahead // ONTIME_PLACEMENTS)


def expected_wait(capacity: ServiceCapacity, work: WorkAhead) -> float:
    """Return the seconds until a slot of the service is free for a new call.

    >>> expected_wait(ServiceCapacity(18, 300.0, 0.06), WorkAhead(20, ahead=27))
    0.1
    """
    over = work.at_servers + work.ahead + 1 - capacity.slots
    if over <= 0:
        return 0.0
    return over / capacity.rate if capacity.rate else over * capacity.duration


def is_late(times: CallTimes, duration: float, wait: float = 0.0) -> bool:
    """Return whether a call that starts after ``wait`` seconds can't be on time."""
    return times.now + wait + duration > times.due


def is_hopeless(times: CallTimes, duration: float, wait: float = 0.0) -> bool:
    """Return whether a call's time limit can't be met any more."""
    return times.now + wait + duration > times.deadline


def is_idle(capacity: ServiceCapacity, work: WorkAhead) -> bool:
    """Return whether the service has so much free capacity that no call is refused."""
    return not work.waiting and work.at_servers < IDLE_FRACTION * capacity.slots


def wait_allowance(less_urgent_steps: int, usage_step: int) -> float:
    """Return the fraction of its time that a call may wait.

    Reports tell how many calls wait at the other instances, but not their order. In a
    burst, less urgent calls and those of accounts above their share are therefore
    admitted only as long as the queues are shorter; what the others do not use is
    theirs.

    >>> wait_allowance(0, 0), wait_allowance(1, 0), wait_allowance(0, 2)
    (1.0, 0.75, 0.3333333333333333)
    """
    return URGENCY_STEP_FRACTION**less_urgent_steps / (1 + usage_step)


def decide(
    capacity: ServiceCapacity,
    work: WorkAhead,
    times: CallTimes,
    allowance: float = 1.0,
) -> Admission:
    """Decide on a call that has just arrived, for bursts above what servers finish.

    A new call must be on time, as its caller may come back after a refusal. One that
    is late already, or came back, must only meet its time limit: a late response is
    worth less, but more than none.

    >>> capacity = ServiceCapacity(18, 300.0, 0.06)
    >>> times = CallTimes(now=0.0, due=0.31, deadline=4.1)
    >>> decide(capacity, WorkAhead(60), times).admitted
    True
    >>> decide(capacity, WorkAhead(50, 60, 60), times)
    Admission(admitted=False, wait=0.31, retry_after=0.185)
    """
    wait = expected_wait(capacity, work)
    if is_idle(capacity, work):
        return Admission(True, wait)
    duration = capacity.duration
    limit = times.due
    if times.returned or is_late(times, duration):
        limit = times.deadline
    patience = limit - times.now - duration
    if patience >= 0 and wait <= allowance * patience:
        return Admission(True, wait)
    # By then half of a new call's patience is left for what arrives meanwhile.
    spare = max(0.0, times.due - times.now - duration) * allowance / 2
    return Admission(False, wait, max(duration, wait - spare))


def extra_calls(slots: int, duration: float, objective: float) -> int:
    """Return how many calls above its slots a server is sent, at least one.

    They keep the slots busy while reports travel, as far as the objective allows the
    calls to wait at the server.

    >>> extra_calls(6, 0.066, 0.31), extra_calls(6, 0.0225, 0.155)
    (8, 14)
    """
    spare = SERVER_WAIT_FRACTION * max(0.0, objective - duration)
    return max(1, int(slots * min(COVER_SECONDS, spare) / duration))


def release_chance(
    seconds: float, rate: float, room: int, own: int, elsewhere: int
) -> float:
    """Return the chance with which an instance sends its first waiting call now.

    All instances with waiting calls see the same room at about the same time. Each
    sends its part of what the servers finish in ``seconds``, and of the room that has
    appeared since the reports were sent, so that together they do not send more.

    >>> release_chance(0.01, 300.0, 15, own=2, elsewhere=38)
    0.2
    """
    if room <= 0 or not own:
        return 0.0
    return seconds * (rate + room / COVER_SECONDS) * own / (own + elsewhere)


def yielding_chance(chance: float, room: int, extra: int) -> float:
    """Return the chance while a call waits elsewhere that goes first.

    The instance leaves most of its part to the other, unless the room shows that the
    calls there do not need it. ``extra`` is the room while all slots are taken.

    >>> yielding_chance(0.2, 4, 33), yielding_chance(0.2, 20, 33)
    (0.05, 0.2)
    """
    return chance if 2 * room > extra else chance * YIELD_FRACTION


def running_seconds(response_seconds: float, slots: int, calls_before: int) -> float:
    """Return how long a call ran, without its wait at a server with other calls.

    >>> running_seconds(0.0625, 6, 3), running_seconds(0.125, 6, 11)
    (0.0625, 0.0625)
    """
    return response_seconds * slots / max(slots, calls_before + 1)
