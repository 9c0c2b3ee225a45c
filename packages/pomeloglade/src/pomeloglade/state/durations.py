"""Parses and formats the durations in configurations."""

import re
from datetime import timedelta

import msgspec

ALLOWED_DURATIONS = (
    'a number with a unit of ms, s, m or h (for example "47ms" or "1.1s"),'
    ' or ISO 8601 (for example "PT1.1S")'
)

_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
_PATTERN = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|m|h)")


def parse_duration(text: str) -> timedelta:
    """Return the duration that ``text`` gives.

    Raises ``ValueError``, whose message names the text and what is allowed.

    >>> parse_duration("47ms")
    datetime.timedelta(microseconds=47000)
    >>> parse_duration("PT1.1S")
    datetime.timedelta(seconds=1, microseconds=100000)
    """
    matched = _PATTERN.fullmatch(text.strip())
    try:
        if matched:
            return float(matched[1]) * _UNITS[matched[2]]
        return msgspec.convert(text.strip(), timedelta)
    except (msgspec.ValidationError, OverflowError):
        raise ValueError(
            f"{text!r} is not a duration; allowed: {ALLOWED_DURATIONS}"
        ) from None


def format_duration(duration: timedelta) -> str:
    """Return ``duration`` in seconds, in the form that ``parse_duration`` reads.

    >>> format_duration(timedelta(milliseconds=47))
    '0.047s'
    """
    return f"{duration.total_seconds():.6f}".rstrip("0").rstrip(".") + "s"
