"""Reads processor time and memory of processes, and how busy the machine is."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
IDLE_FIELDS = (3, 4)
"""Idle time and time idle while waiting for input or output."""


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """How busy the machine is: cores, and runnable processes over a minute."""

    cores: int
    minute: float

    def __str__(self) -> str:
        return f"load average {self.minute:.1f} on {self.cores} cores"


def machine_load() -> MachineLoad:
    """Return how busy the machine is now."""
    return MachineLoad(os.cpu_count() or 1, os.getloadavg()[0])


@dataclass(frozen=True, slots=True)
class MachineTime:
    """Ticks that the machine's cores have spent so far, and those idle."""

    all_ticks: int
    idle_ticks: int

    def busy_since(self, earlier: "MachineTime") -> float:
        """Return the part of the cores' time that was used since ``earlier``."""
        spent = self.all_ticks - earlier.all_ticks
        return 1 - (self.idle_ticks - earlier.idle_ticks) / max(1, spent)


def machine_time() -> MachineTime:
    """Return what the cores have spent since the machine started."""
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
