"""Checks after the fact whether written requests stayed within a gateway's part of each limit. No I/O.

It keeps its own count, independent of the buckets that make the decisions: what this process wrote when, and
what other processes of the gateway claimed. A refused claim is returned at once, so claims of others are
counted only after CLAIM_SETTLES_US.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from rackseam.buckets import LimitBuckets, LimitPart

SLACK_US: Final = 150_000  # on real sockets the tolerance grows by what the limit allows in this time
CLAIM_SETTLES_US: Final = 50_000
MAX_VOLUMES: Final = 4096
MAX_CLAIMS: Final = 4096


class LimitCheck:
    """Token buckets of the gateway's parts of limits, full at first. Bounded: full buckets are dropped."""

    def __init__(self, largest_units: float) -> None:
        self._buckets = LimitBuckets(largest_units)
        self._claims: deque[tuple[int, LimitPart, float]] = deque(maxlen=MAX_CLAIMS)

    def claimed(self, part: LimitPart, units: float, now: int) -> None:
        """Records that another process of the gateway claimed units; below 0: returned them."""
        self._claims.append((now, part, units))

    def written(self, part: LimitPart, units: float, now: int) -> float:
        """Records a request written by this process. Returns by how many units it exceeds the slack, or 0."""
        while self._claims and self._claims[0][0] <= now - CLAIM_SETTLES_US:
            at, other, claimed = self._claims.popleft()
            self._spend(other, claimed, at)
        level = self._spend(part, units, now)
        return max(0.0, -level - part.tolerance - SLACK_US * part.units_per_us)

    def _spend(self, part: LimitPart, units: float, now: int) -> float:
        if part.key not in self._buckets.buckets:
            self._buckets.add(part, part.depth, now)
            self._drop_oldest_full(now)
        self._buckets.spend(part, units, now)
        return self._buckets.level(part, now)

    def _drop_oldest_full(self, now: int) -> None:
        if len(self._buckets.buckets) > MAX_VOLUMES:
            self._buckets.forget_full(next(iter(self._buckets.buckets.values())).part, now)
