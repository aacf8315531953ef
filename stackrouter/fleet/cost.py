"""What the members of a harness cost: processor time and memory, as the system tells them."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from stackrouter.fleet.processes import MemberProcesses

SHORTEST_LIFE_S = 0.1


@dataclass(slots=True)
class Cost:
    """One value for each life of a member: CPU ms a second of its whole life, and of the time in which faults
    and changes came (without its start); its memory in MiB at the end."""

    cpu_ms_s: list[float] = field(default_factory=list)
    cpu_steady_ms_s: list[float] = field(default_factory=list)
    rss_mib: list[float] = field(default_factory=list)


class CostMeter:
    """Reads what members have cost so far into `cost`."""

    def __init__(self, processes: MemberProcesses) -> None:
        self.cost = Cost()
        self._processes = processes
        self._steady_since = 0.0
        self._spent: dict[int, float | None] = {}  # by process id, CPU ms when the steady time began

    def measure(self, i: int) -> None:
        """Note what member i has cost in its life, if it still runs."""
        pid = self._processes.programs[i].pid
        spent_ms, memory_mib = cpu_ms(pid), rss_mib(pid)
        if spent_ms is None or memory_mib is None:
            return
        self.cost.cpu_ms_s.append(spent_ms / max(SHORTEST_LIFE_S, self._processes.lived_s(i)))
        self.cost.rss_mib.append(memory_mib)

    def begin_steady(self) -> None:
        """The time begins in which faults and changes come."""
        self._steady_since = time.monotonic()
        self._spent = {program.pid: cpu_ms(program.pid) for program in self._processes.programs.values()}

    def end_steady(self) -> None:
        """It is over: note what the members cost that ran all through it."""
        lasted_s = time.monotonic() - self._steady_since
        for program in self._processes.programs.values():
            before, now = self._spent.get(program.pid), cpu_ms(program.pid)
            if before is not None and now is not None:
                self.cost.cpu_steady_ms_s.append((now - before) / lasted_s)


def cpu_ms(pid: int) -> float | None:
    """Processor time of a process so far, in milliseconds; None: it is no more."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return 1000 * (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    except (OSError, IndexError):
        return None


def rss_mib(pid: int) -> float | None:
    """Memory of a process now, in MiB; None: it is no more."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
