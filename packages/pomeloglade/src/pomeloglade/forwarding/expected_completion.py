"""When a call would be complete at each server, by the work there and its pace."""

from random import Random

from .server_pace import NORMAL

ZONE_LATENCY_SECONDS = 0.001
"""Time that a request and its response take more to another availability zone."""

PHASE_SECONDS = 0.6
"""Mean time for which a server that shares its machine stays slow. Work that takes
longer is delayed only for that time."""

PLAIN_CROWDING = 0.25
"""How much longer a plain call takes at a server whose slots are all taken, of a call's
own time. Calls in other slots do not delay it, but the count of calls is some ten
milliseconds old, and a slot that seems free may be taken."""

ENGINE_CROWDING = 1.0
"""The same for an engine, whose streams share it. At this value, a slower pace of a
third counts as four more streams of twelve."""

UNSEEN_CALLS = 2.0
"""Mean number of calls that other instances have sent to a server and that are not
counted here yet: at a hundred calls a second to three servers and reports that take
some ten milliseconds. Servers whose expected completions differ by less than such calls
take are nearly equal."""


def lasting_pace(pace: float, work: float) -> float:
    """Return the mean pace over work that takes ``work`` seconds at normal pace.

    >>> lasting_pace(2.5, 0.06)
    2.5
    >>> round(lasting_pace(2.5, 3.0), 2)
    1.3
    """
    return NORMAL + (pace - NORMAL) * min(1.0, PHASE_SECONDS / work)


def expected_completion(
    *,
    work: float,
    calls: int,
    slots: int,
    pace: float,
    crowding: float = PLAIN_CROWDING,
    latency: float = 0.0,
) -> float:
    """Return the seconds until a further call would be complete at a server.

    The load patterns are a third of the servers taking 2.5 times as long, and bursts
    in which calls wait at the servers.

    Parameters
    ----------
    work : float
        Seconds that the call takes at normal pace.
    calls, slots : int
        Calls at the server, and how many of them run at the same time.
    pace : float
        How long work takes there, relative to normal.
    crowding : float
        By how much of ``work`` a call takes longer when all slots are taken.
    latency : float
        Seconds that the way to the server and back takes more than to the nearest.

    Examples
    --------
    An idle slow server completes a call later than a busy one with a free slot, and
    earlier than one at which a call must wait twice as long as it takes.

    >>> slow = expected_completion(work=0.06, calls=0, slots=6, pace=2.5)
    >>> busy = expected_completion(work=0.06, calls=5, slots=6, pace=1.0)
    >>> full = expected_completion(work=0.06, calls=17, slots=6, pace=1.0)
    >>> busy < slow < full
    True
    """
    slots = max(1, slots)
    waiting = max(0, calls + 1 - slots) / slots
    crowded = crowding * min(1.0, calls / slots)
    return work * lasting_pace(pace, work) * (1.0 + crowded + waiting) + latency


def unqueued_seconds(seconds: float, calls: int, slots: int) -> float:
    """Return the part of a response's time that is work, without its wait for a slot.

    ``calls`` is the number of calls at the server when the request was sent, itself
    included. Without this, a server with more calls would seem to be slow.

    >>> unqueued_seconds(0.06, 3, 6), unqueued_seconds(0.12, 12, 6)
    (0.06, 0.06)
    """
    return seconds / max(1.0, calls / max(1, slots))


def spread_completion(
    completion: float, *, work: float, slots: int, pace: float, random: Random
) -> float:
    """Return an expected completion with a random delay by calls not counted yet.

    Instances with the same figures thus choose different ones of nearly equal servers:
    of equal ones each in proportion to its capacity, which is its slots over its pace.
    """
    seconds_per_call = work * lasting_pace(pace, work) / max(1, slots)
    return completion + UNSEEN_CALLS * seconds_per_call * random.expovariate(1.0)
