"""What a replica's process costs and how late it runs, for `control status`."""

from __future__ import annotations

import os
import resource
import time
from collections import deque
from pathlib import Path

import gevent

SAMPLE_S = 0.1
SAMPLES = 600  # the last minute


class Lateness:
    """How much later than due this process's timers run: the machine was busy, or its own loop was held."""

    def __init__(self) -> None:
        self._late_s: deque[float] = deque(maxlen=SAMPLES)

    def start(self) -> None:
        """Begin to measure."""
        gevent.spawn(self._run)

    def percentile_ms(self, part: float) -> float:
        """Of the last minute; 1.0: the maximum."""
        ordered = sorted(self._late_s)
        if not ordered:
            return 0.0
        place = min(len(ordered) - 1, int(part * len(ordered)))
        return round(ordered[place] * 1000, 1)

    def _run(self) -> None:
        while True:
            due = time.monotonic() + SAMPLE_S
            gevent.sleep(SAMPLE_S)
            self._late_s.append(max(0.0, time.monotonic() - due))


def cpu_ms() -> int:
    """Processor time of this process since its start."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return round((used.ru_utime + used.ru_stime) * 1000)


def rss_mib() -> float:
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return round(pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20), 1)
