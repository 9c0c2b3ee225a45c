"""Limits on the requests and connections of callers."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Size limits of one request, and time-outs of one connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)
