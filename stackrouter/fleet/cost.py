"""CPU time and memory use of the members of a harness, read from /proc."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from stackrouter.fleet.processes import MemberProcesses

MIN_LIFETIME_S = 0.1  # keeps the rate of a process that has just started finite


@dataclass(slots=True)
class Cost:
    """One value per member process: CPU milliseconds per second over its whole lifetime, the same over the
    phase of faults and changes only (excluding its start), and its resident memory in MiB at the end."""

    cpu_ms_s: list[float] = field(default_factory=list)
    cpu_steady_ms_s: list[float] = field(default_factory=list)
    rss_mib: list[float] = field(default_factory=list)


class CostMeter:
    """Samples the CPU time and memory of member processes into `cost`."""

    def __init__(self, processes: MemberProcesses) -> None:
        self.cost = Cost()
        self._processes = processes
        self._steady_since_s = 0.0
        self._cpu_ms_before: dict[int, float | None] = {}  # by process id, at the start of the steady phase

    def measure(self, i: int) -> None:
        """Records the cost of member i since its process started, if it still runs."""
        pid = self._processes.programs[i].pid
        used_ms, memory_mib = cpu_ms(pid), rss_mib(pid)
        if used_ms is None or memory_mib is None:
            return
        self.cost.cpu_ms_s.append(used_ms / max(MIN_LIFETIME_S, self._processes.uptime_s(i)))
        self.cost.rss_mib.append(memory_mib)

    def begin_steady(self) -> None:
        """Marks the start of the phase of faults and changes."""
        self._steady_since_s = time.monotonic()
        self._cpu_ms_before = {
            program.pid: cpu_ms(program.pid) for program in self._processes.programs.values()
        }

    def end_steady(self) -> None:
        """Marks the end of that phase and records the cost of each process that ran throughout it."""
        duration_s = time.monotonic() - self._steady_since_s
        for program in self._processes.programs.values():
            before, now = self._cpu_ms_before.get(program.pid), cpu_ms(program.pid)
            if before is not None and now is not None:
                self.cost.cpu_steady_ms_s.append((now - before) / duration_s)


def cpu_ms(pid: int) -> float | None:
    """CPU time of a process so far in milliseconds; None if it no longer exists."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return 1000 * (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    except (OSError, IndexError):
        return None


def rss_mib(pid: int) -> float | None:
    """Resident memory of a process in MiB; None if it no longer exists."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
