"""A simulated storage node: cores, one FIFO, pauses, deferred writes, delayed reports, a usage meter."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappush
from typing import Any

CORES = 2
SPEED = (0.8, 1.1)  # range, relative to a core of speed 1
PAUSE_EVERY_US = (2_400_000, 6_300_000)
PAUSE_US = (74_000, 230_000)
DEFERRED_SHARE = (0.22, 0.54)  # part of a write's work that is done at the next flush
FLUSH_EVERY_US = (1_100_000, 4_000_000)
MAX_QUEUED = 120  # jobs; further ones are rejected
REPORT_EVERY_US = (150_000, 710_000)
REPORT_LATE_US = (100_000, 280_000)
METER_LATE_US = (520_000, 1_300_000)


class Clock:
    """Virtual time in us and the scheduled calls, by time; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0
        self._due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._last_number = 0

    def at(self, when: int, call: Callable[..., None], *values: Any) -> None:
        self._last_number += 1
        heappush(self._due, (max(self.now, when), self._last_number, call, values))

    @property
    def due(self) -> list[tuple[int, int, Callable[..., None], tuple[Any, ...]]]:
        return self._due


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at a node. `end_us` is known once a core runs it."""

    volume: str
    units: int
    work_us: int
    write: bool
    done: Callable[[bool], None]  # called with False if the node rejected the job
    end_us: int = -1
    ended: bool = False


class Meter:
    """Units served of each volume by all nodes, per finished period; available with a delay."""

    def __init__(self, period_us: int, rng: random.Random) -> None:
        self.period_us, self.late_us = period_us, rng.randint(*METER_LATE_US)
        self._periods: dict[int, Counter[str]] = {}

    def add(self, now: int, volume: str, units: int) -> None:
        self._periods.setdefault(now // self.period_us, Counter())[volume] += units

    def units(self, now: int, volume: str) -> int:
        period = (now - self.late_us) // self.period_us - 1
        return self._periods.get(period, Counter())[volume]


class Node:
    """A node whose speed, pauses, flushes and report delays are drawn from `rng`."""

    def __init__(self, clock: Clock, rng: random.Random, meter: Meter) -> None:
        self.clock, self.meter = clock, meter
        self.speed = rng.uniform(*SPEED)
        self.deferred_share = rng.uniform(*DEFERRED_SHARE)
        self._queue: deque[Job] = deque()
        self._running: list[Job] = []
        self._deferred_us = 0.0
        self._blocked_until = 0
        # For each report the time from which it is visible, and its figure.
        self._reports: deque[tuple[int, int]] = deque([(0, 0)])
        # Separate random streams, driven by the clock alone: a higher load must not move a pause.
        self._pauses, self._flushes, self._reporting = (random.Random(rng.random()) for _ in range(3))
        clock.at(self._pauses.randint(0, PAUSE_EVERY_US[1]), self._pause)
        clock.at(self._flushes.randint(0, FLUSH_EVERY_US[1]), self._flush)
        clock.at(self._reporting.randint(0, REPORT_EVERY_US[1]), self._report)

    def take(self, job: Job) -> None:
        if len(self._queue) >= MAX_QUEUED:
            job.done(False)
            return
        self._queue.append(job)
        self._start()

    def cancel(self, job: Job) -> None:
        """Stop the work on a job whose connection was closed."""
        if job.ended:
            return
        job.ended = True
        if job in self._running:
            self._running.remove(job)
            self._start()

    def inflight(self) -> int:
        """The figure that answers report now: the jobs at an earlier time."""
        while len(self._reports) > 1 and self._reports[1][0] <= self.clock.now:
            self._reports.popleft()
        return self._reports[0][1]

    def _start(self) -> None:
        while self._queue and len(self._running) < CORES:
            job = self._queue.popleft()
            if job.ended:
                continue
            work = job.work_us * (1 - self.deferred_share if job.write else 1.0) / self.speed
            job.end_us = max(self.clock.now, self._blocked_until) + max(1, int(work))
            self._running.append(job)
            self.clock.at(job.end_us, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job.ended:
            return
        if job.end_us > self.clock.now:  # postponed by a stall
            self.clock.at(job.end_us, self._finish, job)
            return
        job.ended = True
        self._running.remove(job)
        if job.write:
            self._deferred_us += job.work_us * self.deferred_share / self.speed
        self.meter.add(self.clock.now, job.volume, job.units)
        self._start()
        job.done(True)

    def _stall(self, length_us: int) -> None:
        self._blocked_until = max(self.clock.now, self._blocked_until) + length_us
        for job in self._running:
            job.end_us += length_us

    def _pause(self) -> None:
        self._stall(self._pauses.randint(*PAUSE_US))
        self.clock.at(self.clock.now + self._pauses.randint(*PAUSE_EVERY_US), self._pause)

    def _flush(self) -> None:
        """Do all deferred work at once, on all cores."""
        self._stall(int(self._deferred_us / CORES))
        self._deferred_us = 0.0
        self.clock.at(self.clock.now + self._flushes.randint(*FLUSH_EVERY_US), self._flush)

    def _report(self) -> None:
        open_jobs = len(self._running) + sum(not j.ended for j in self._queue)
        self._reports.append((self.clock.now + self._reporting.randint(*REPORT_LATE_US), open_jobs))
        self.clock.at(self.clock.now + self._reporting.randint(*REPORT_EVERY_US), self._report)
