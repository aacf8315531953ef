"""CPU time, memory and timer lateness of a replica's process, for `control status`."""

from __future__ import annotations

import os
import resource
import time
from collections import deque
from pathlib import Path

import gevent

SAMPLE_INTERVAL_S = 0.1
MAX_SAMPLES = 600  # one minute


class Lateness:
    """Measures how late timers run: the machine was busy, or a callback blocked the event loop."""

    def __init__(self) -> None:
        self._late_s: deque[float] = deque(maxlen=MAX_SAMPLES)

    def start(self) -> None:
        """Start measuring."""
        gevent.spawn(self._run)

    def percentile_ms(self, fraction: float) -> float:
        """A percentile over the last minute, given as a fraction; 1.0: the maximum."""
        ordered = sorted(self._late_s)
        if not ordered:
            return 0.0
        index = min(len(ordered) - 1, int(fraction * len(ordered)))
        return round(ordered[index] * 1000, 1)

    def _run(self) -> None:
        while True:
            due = time.monotonic() + SAMPLE_INTERVAL_S
            gevent.sleep(SAMPLE_INTERVAL_S)
            self._late_s.append(max(0.0, time.monotonic() - due))


def cpu_ms() -> int:
    """CPU time of this process since its start."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return round((usage.ru_utime + usage.ru_stime) * 1000)


def rss_mib() -> float:
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return round(pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20), 1)
