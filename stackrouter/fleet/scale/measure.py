"""Measures the CPU and memory use of processes from /proc, and the scheduling delay of timers."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_MIB = os.sysconf("SC_PAGE_SIZE") / (1 << 20)
USER_TICKS, SYSTEM_TICKS = 11, 12  # indexes of fields in /proc/PID/stat after the command name
LATENESS_STEP_S = 0.02  # interval between lateness measurements


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """CPU milliseconds since the start of the process, and its resident memory."""

    cpu_ms: float
    rss_mib: float


def process_use(pid: int) -> ProcessUse | None:
    """Read the resource use of a process, or None if it no longer exists."""
    try:
        stat = (
            Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace").rpartition(")")[2].split()
        )
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    except (OSError, IndexError, ValueError):
        return None
    ticks = int(stat[USER_TICKS]) + int(stat[SYSTEM_TICKS])
    return ProcessUse(1000 * ticks / TICKS_S, pages * PAGE_MIB)


class ProcessMeter:
    """Sums the resource use of a role between `begin` and `end`, over all its successive processes (a process
    may be killed and replaced)."""

    def __init__(self) -> None:
        self.cpu_ms = 0.0
        self.measured_s = 0.0
        self.rss_mib = 0.0  # at the last `end`
        self._pid = 0
        self._started: tuple[float, float] | None = None  # CPU milliseconds, time

    def begin(self, pid: int) -> None:
        """Start measuring the process `pid`; what it used before is not counted."""
        use = process_use(pid)
        self._pid = pid
        self._started = (use.cpu_ms, time.monotonic()) if use is not None else None

    def end(self) -> None:
        """Stop measuring. Must be called while the process still exists."""
        if self._started is None:
            return
        use = process_use(self._pid)
        if use is not None:
            cpu_ms, at = self._started
            self.cpu_ms += use.cpu_ms - cpu_ms
            self.measured_s += time.monotonic() - at
            self.rss_mib = use.rss_mib
        self._started = None

    @property
    def cpu_ms_s(self) -> float:
        return self.cpu_ms / max(0.1, self.measured_s)


class Lateness:
    """A histogram, in whole milliseconds, of how late a process is woken."""

    def __init__(self) -> None:
        self.by_ms: Counter[int] = Counter()

    def note(self, late_s: float) -> None:
        self.by_ms[max(0, int(late_s * 1000))] += 1


def lateness_p99(by_ms: Counter[int]) -> int | None:
    """The 99th percentile in milliseconds, or None without samples."""
    remaining = 0.99 * sum(by_ms.values())
    for ms in sorted(by_ms):
        remaining -= by_ms[ms]
        if remaining <= 0:
            return ms
    return None
