"""Reads the processor time and memory of processes, and the machine's load."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
IDLE_FIELDS = (3, 4)
"""Fields of idle time and of time waiting for input or output."""


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """The machine's cores and its load average over a minute."""

    cores: int
    minute_average: float

    def __str__(self) -> str:
        return f"load average {self.minute_average:.1f} on {self.cores} cores"


def machine_load() -> MachineLoad:
    """Return the machine's current load."""
    return MachineLoad(os.cpu_count() or 1, os.getloadavg()[0])


@dataclass(frozen=True, slots=True)
class MachineTime:
    """Clock ticks of all cores since the machine started, in total and idle."""

    all_ticks: int
    idle_ticks: int

    def busy_since(self, earlier: "MachineTime") -> float:
        """Return the fraction of the cores' time that was used since ``earlier``."""
        elapsed_ticks = self.all_ticks - earlier.all_ticks
        return 1 - (self.idle_ticks - earlier.idle_ticks) / max(1, elapsed_ticks)


def machine_time() -> MachineTime:
    """Return the clock ticks of all cores since the machine started."""
    line = Path("/proc/stat").read_text().partition("\n")[0]
    fields = [int(field) for field in line.split()[1:9]]
    return MachineTime(sum(fields), sum(fields[field] for field in IDLE_FIELDS))


def processor_seconds(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / TICKS_PER_SECOND


def resident_kilobytes(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"no resident memory shown for process {pid}")
