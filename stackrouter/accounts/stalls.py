"""Detects stalls of a node, in which it has work and finishes none, and attributes them to deferred writes.

From outside, a node that pauses by itself looks like one that catches up on writes it has deferred. The only
difference is that the length of the latter kind grows with the writes since the previous stall. A line fitted
to the lengths by least squares gives the part of a stall that the writes explain; the rest is attributed to
the node.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

MIN_STALL_US = 60_000  # shorter gaps between answers are normal
MIN_SERVICE_RATIO = 2.0  # a gap must also be this many times the expected service time
STALL_MAX_AGE_US = 6_000_000  # older stalls are dropped: no request is older than this
FIT_DECAY = 0.98  # factor for the weight of earlier stalls in the fit, applied at each stall
MIN_FIT_STALLS = 8.0  # weight of stalls required to use the fit; until then stalls are attributed to the node
MIN_CORRELATION = 0.6  # of lengths and writes, required to use the fit
MAX_WRITERS = 256


class Stall(NamedTuple):
    """Times in microseconds. `writers`: share explained by deferred writes, by volume; sum at most 1."""

    begin: int
    end: int
    writers: tuple[tuple[str, float], ...]


@dataclass(slots=True)
class Fit:
    """Least-squares fit with decay: length of a stall over the units written since the previous one."""

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    yy: float = 0.0

    def add(self, units: float, us: float) -> None:
        self.n, self.x, self.y = self.n * FIT_DECAY + 1, self.x * FIT_DECAY + units, self.y * FIT_DECAY + us
        self.xx, self.xy = self.xx * FIT_DECAY + units * units, self.xy * FIT_DECAY + units * us
        self.yy = self.yy * FIT_DECAY + us * us

    def slope(self) -> float:
        """Microseconds per unit; 0 if the fit is not usable."""
        spread = self.n * self.xx - self.x * self.x
        common = self.n * self.xy - self.x * self.y
        length = self.n * self.yy - self.y * self.y
        if (
            self.n < MIN_FIT_STALLS
            or spread <= 0
            or common < MIN_CORRELATION * math.sqrt(spread * max(0.0, length))
        ):
            return 0.0
        return common / spread


@dataclass(slots=True)
class Stalls:
    """The recent stalls of one node."""

    known: deque[Stall] = field(default_factory=deque)
    fit: Fit = field(default_factory=Fit)
    _written: dict[str, float] = field(default_factory=dict)
    _no_progress_since: int = 0  # last time a request finished, or work arrived at an idle node

    def arrived(self, at: int, idle: bool) -> None:
        if idle:
            self._no_progress_since = at

    def write_finished(self, volume: str, units: float) -> None:
        """A write has finished; the node may have deferred a part of its work."""
        if volume in self._written or len(self._written) < MAX_WRITERS:
            self._written[volume] = self._written.get(volume, 0.0) + units

    def finished(self, at: int, late_us: float, expected_us: float) -> Stall | None:
        """A request has finished, `late_us` later than expected. Returns the stall this reveals, if any."""
        begin, self._no_progress_since = self._no_progress_since, at
        length = int(min(at - begin, late_us))
        if length < max(MIN_STALL_US, MIN_SERVICE_RATIO * expected_us):
            return None
        units = sum(self._written.values())
        slope = self.fit.slope()
        self.fit.add(units, length)
        share = min(1.0, slope * units / length) if units else 0.0
        writers = tuple((v, share * u / units) for v, u in self._written.items()) if share else ()
        if share > 0.5:
            self._written.clear()
        stall = Stall(at - length, at, writers)
        self.known.append(stall)
        while self.known[0].end < at - STALL_MAX_AGE_US:
            self.known.popleft()
        return stall

    def overlapping(self, begin: int, end: int) -> list[tuple[Stall, int]]:
        """Stalls that overlap the interval, with the overlap in microseconds."""
        found = []
        for stall in reversed(self.known):
            if stall.end <= begin:
                break
            overlap = min(end, stall.end) - max(begin, stall.begin)
            if overlap > 0:
                found.append((stall, overlap))
        return found
