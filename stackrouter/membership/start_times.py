"""When storage nodes started, on this process's monotonic clock, without trust in the machine's wall clock.

Discovery states the start of a node as Unix time. The wall clock of this machine, which would map it, may be
ahead or behind by any amount when the process starts, and may be stepped later. What holds whatever the clock
says: a node that a list names has started by the time at which the list came. So the offset from Unix time to
monotonic time is at most `came - since` for each node of each list, and the least of these differs from it by
the shortest time that a start took to be told: some tenths of a second once a few nodes have joined.

A larger offset makes nodes younger. A node that is taken as younger than it is gets less work for a while;
one that is taken as older falls under it. So the least bound seen so far is used as the offset: at the first
list of a process the youngest node that it names counts as started just then. Where the wall clock gives a
larger offset still, either it is behind or some node states a start in the future; the larger one counts, and
no start lies after the list that names it.

A node's start, once mapped, stays as it is until discovery states another: a later estimate must not look
like a restart. No I/O; times are arguments.
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
        """`wall_offset_us`: monotonic time less Unix time, both in microseconds, as the wall clock has it."""
        self._wall_offset_us = wall_offset_us
        self._least_offset_us: int | None = None
        self._starts: dict[str, _Start] = {}

    def narrow(self, since_ms: Iterable[int], now_us: int) -> None:
        """A list came that states these starts; 0, long ago, left out."""
        youngest = max(since_ms, default=0)
        if youngest:
            offset = now_us - youngest * 1000
            known = self._least_offset_us
            self._least_offset_us = offset if known is None else min(offset, known)

    def launched_us(self, node: str, since_ms: int, now_us: int) -> int:
        """When the node started; 0: long ago, as discovery says so. After `narrow` with this start."""
        if not since_ms:
            self._starts.pop(node, None)
            return 0
        known = self._starts.get(node)
        if known is None or known.since_ms != since_ms:
            assert self._least_offset_us is not None
            launched = min(now_us, since_ms * 1000 + max(self._wall_offset_us, self._least_offset_us))
            known = self._starts[node] = _Start(since_ms, max(1, launched))
        return known.launched_us

    def keep_only(self, nodes: Collection[str]) -> None:
        """A whole list: what it does not name is forgotten."""
        self._starts = {node: start for node, start in self._starts.items() if node in nodes}

    def forget(self, node: str) -> None:
        """The node is removed."""
        self._starts.pop(node, None)
