"""Renders the coordination library's counters in Prometheus' text format."""

import enum
from collections.abc import Callable, Mapping

CounterSource = Callable[[], Mapping[object, int]]


class CounterPage:
    """Renders the counters of each component as ``pomeloglade_part_total``."""

    def __init__(self) -> None:
        self._sources_by_part: dict[str, CounterSource] = {}

    def add(self, part: str, source: CounterSource) -> None:
        """Add the counters that ``source`` returns, with the label ``part``."""
        self._sources_by_part[part] = source

    def render(self) -> bytes:
        """Return the counters of all components in Prometheus' text format."""
        lines = [
            "# HELP pomeloglade_part_total Counters of the library's parts",
            "# TYPE pomeloglade_part_total counter",
        ]
        for part, source in self._sources_by_part.items():
            for event, count in source().items():
                labels = f'part="{part}",event="{_label(event)}"'
                lines.append(f"pomeloglade_part_total{{{labels}}} {count}")
        return "\n".join(lines).encode() + b"\n"


def _label(event: object) -> str:
    return str(event.value) if isinstance(event, enum.Enum) else str(event)
