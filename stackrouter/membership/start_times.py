"""Maps start times of storage nodes to this process's monotonic clock, without trusting the wall clock.

Discovery states the start of a node as Unix time. This machine's wall clock, which would map it, may be
ahead or behind by any amount when the process starts, and may be stepped later. One bound holds whatever the
wall clock says: a node that a list names has started by the time the list arrived. So the offset from Unix
time to monotonic time is at most `arrival - since` for each node of each list. The smallest of these bounds
exceeds the offset by the shortest time that any start took to be reported: some tenths of a second once a
few nodes have joined.

A larger offset makes nodes look younger. A node taken for younger than it is gets less work for a while; one
taken for older is overloaded. So the smallest bound seen so far is used as the offset: at the first list of a
process the youngest node that it names counts as started just then. If the wall clock gives a still larger
offset, either it is behind or some node states a start in the future; the larger offset is used, and no start
is later than the list that names it.

A start, once mapped, stays as it is until discovery states another one: a later estimate must not look like a
restart. No I/O; times are arguments.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Start:
    since_ms: int
    launched_us: int


class StartTimes:
    """Maps `since_ms` of discovery to microseconds of the monotonic clock."""

    def __init__(self, wall_offset_us: int) -> None:
        """`wall_offset_us`: monotonic time minus Unix time, in microseconds, according to the wall clock."""
        self._wall_offset_us = wall_offset_us
        self._min_offset_us: int | None = None
        self._starts: dict[str, _Start] = {}

    def observe_starts(self, since_ms: Iterable[int], now_us: int) -> None:
        """Update the bound with the starts of a list that arrived now; 0 (long ago) is left out."""
        youngest = max(since_ms, default=0)
        if youngest:
            offset = now_us - youngest * 1000
            known = self._min_offset_us
            self._min_offset_us = offset if known is None else min(offset, known)

    def launched_us(self, node: str, since_ms: int, now_us: int) -> int:
        """When the node started; 0: long ago, as stated by discovery. Call after `observe_starts` with it."""
        if not since_ms:
            self._starts.pop(node, None)
            return 0
        known = self._starts.get(node)
        if known is None or known.since_ms != since_ms:
            assert self._min_offset_us is not None
            launched = min(now_us, since_ms * 1000 + max(self._wall_offset_us, self._min_offset_us))
            known = self._starts[node] = _Start(since_ms, max(1, launched))
        return known.launched_us

    def keep_only(self, nodes: Collection[str]) -> None:
        """Forget the nodes that a whole list does not name."""
        self._starts = {node: start for node, start in self._starts.items() if node in nodes}

    def forget(self, node: str) -> None:
        """Forget a removed node."""
        self._starts.pop(node, None)
