"""Troubles that instances meet while they start."""

import signal
import socket
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from pomeloglade_platform.program import METRICS_PORT

from .fleet import Fleet, InstanceProcess

BEGIN_INTERVAL_SECONDS = (0.1, 1.0)
"""Range of the pause between the ends of two instances; their starts may overlap."""

POLL_SECONDS = 0.01
SIGNAL_SECONDS = 0.5
"""Signals arrive within this time after the first imports."""

SETTINGS_SECONDS = (0.8, 1.6)
PORT_SECONDS = (1.0, 2.0)
"""Time after the start for which settings are incomplete, or a port is in use."""


class StartFaults:
    """Ends all instances, one after the other, and troubles each while it starts.

    An instance gets SIGHUP and some also SIGTERM before it is ready, or finds a port in
    use, or its settings file empty or half written.
    """

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._call_later: Callable[..., Any] = fleet.reactor.callLater

    def inject(self, _seconds: float) -> str:
        """Begin, and return the troubles in their order."""
        troubles = [self._send_signals, self._hold_port, self._cut_settings]
        instances = self._random.sample(
            self._fleet.instances, len(self._fleet.instances)
        )
        begin = 0.0
        lines = []
        for number, instance in enumerate(instances):
            trouble = troubles[number % len(troubles)]
            instance.on_start = lambda instance=instance, trouble=trouble: trouble(
                instance
            )
            end = self._random.choice((signal.SIGTERM, signal.SIGKILL))
            self._call_later(begin, instance.signal, end)
            lines.append(f"{instance.name} {end.name} {trouble.__name__}")
            begin += self._random.uniform(*BEGIN_INTERVAL_SECONDS)
        return ", ".join(lines)

    def _send_signals(self, instance: InstanceProcess) -> None:
        """Send signals from the first imports on: before, none can be handled."""
        if not instance.running:
            return
        if not instance.imports_begun():
            self._call_later(POLL_SECONDS, self._send_signals, instance)
            return
        signals = [signal.SIGHUP] * 3
        if self._random.random() < 0.5:
            signals.append(signal.SIGTERM)
        for number in signals:
            delay = self._random.uniform(0.0, SIGNAL_SECONDS)
            self._call_later(delay, instance.signal, number)

    def _hold_port(self, instance: InstanceProcess) -> None:
        """Hold the port of callers, readiness, peers or metrics, without listening."""
        base = self._fleet.base_port
        port = self._random.choice((base, base + 1, base + 2, METRICS_PORT))
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((instance.host, port))
        # With the option left on, the instance could listen all the same.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        self._call_later(self._random.uniform(*PORT_SECONDS), holder.close)

    def _cut_settings(self, instance: InstanceProcess) -> None:
        """Leave the settings file as if it were being written."""
        path: Path = instance.settings
        whole = path.read_text()
        path.write_text(whole[: self._random.choice((0, len(whole) // 2))])
        seconds = self._random.uniform(*SETTINGS_SECONDS)
        self._call_later(seconds, path.write_text, whole)
