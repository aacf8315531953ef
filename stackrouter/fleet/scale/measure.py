"""What processes cost, from /proc, and how late this machine wakes them."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_MIB = os.sysconf("SC_PAGE_SIZE") / (1 << 20)
USER_TICKS, SYSTEM_TICKS = 11, 12  # places in /proc/PID/stat behind the command's name
LATE_STEP_S = 0.02  # between two looks at the lateness


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """CPU milliseconds since the process began, and its resident memory."""

    cpu_ms: float
    rss_mib: float


def process_use(pid: int) -> ProcessUse | None:
    """None: there is no such process any more."""
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
    """Adds up what a role costs over all the processes that bear it one after the other (it may be killed and
    started again) from `begin` to `end`."""

    def __init__(self) -> None:
        self.cpu_ms = 0.0
        self.lived_s = 0.0
        self.rss_mib = 0.0  # at the last look
        self._pid = 0
        self._begun: tuple[float, float] | None = None  # CPU milliseconds, time

    def begin(self, pid: int) -> None:
        """Count from now on. A process that was just started counts from its first look."""
        use = process_use(pid)
        self._pid = pid
        self._begun = (use.cpu_ms, time.monotonic()) if use is not None else None

    def end(self) -> None:
        """To be called before the process is ended."""
        if self._begun is None:
            return
        use = process_use(self._pid)
        if use is not None:
            cpu_ms, at = self._begun
            self.cpu_ms += use.cpu_ms - cpu_ms
            self.lived_s += time.monotonic() - at
            self.rss_mib = use.rss_mib
        self._begun = None

    @property
    def cpu_ms_s(self) -> float:
        return self.cpu_ms / max(0.1, self.lived_s)


class Lateness:
    """How much later than asked for a process is woken, counted by whole milliseconds."""

    def __init__(self) -> None:
        self.by_ms: Counter[int] = Counter()

    def note(self, late_s: float) -> None:
        self.by_ms[max(0, int(late_s * 1000))] += 1


def lateness_p99(by_ms: Counter[int]) -> int | None:
    """The milliseconds that 99% of all wakes do not exceed; None of none."""
    left = 0.99 * sum(by_ms.values())
    for ms in sorted(by_ms):
        left -= by_ms[ms]
        if left <= 0:
            return ms
    return None
