"""The largest sums by key in bounded memory.

The Space-Saving algorithm (Metwally, Agrawal, El Abbadi, ICDT 2005) for weighted updates, with a lazy heap
in place of the stream summary: the weights are microseconds, so counts change by arbitrary amounts. The count
of a tracked key is between its true sum and `error` above it; the true sum of an untracked key is at most
`error`.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from heapq import heappush, heapreplace
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class Sum(NamedTuple):
    """The sum of a key in microseconds; the true sum is at most `over` below `us`."""

    us: float
    over: float


class TopSums(Generic[K]):
    """Sums by key that track the `capacity` largest keys."""

    def __init__(self, capacity: int) -> None:
        if capacity < 1:
            raise ValueError(f"capacity: must be 1 or more, not {capacity}")
        self.capacity, self.total = capacity, 0.0
        self.error = 0.0  # upper bound of the sum of an untracked key
        self._sums: dict[K, float] = {}
        self._over: dict[K, float] = {}  # only for keys that replaced another
        self._heap: list[tuple[float, int, K]] = []  # lower bounds of the sums, since sums only grow
        self._entries_made = 0  # number of heap entries made: breaks ties, so that keys are never compared

    def add(self, key: K, us: float) -> None:
        """Add `us` microseconds, which must not be negative, to the key's sum."""
        self.total += us
        tracked_us = self._sums.get(key)
        if tracked_us is not None:
            self._sums[key] = tracked_us + us
            return
        if len(self._sums) < self.capacity:
            self._put(key, us)
            return
        smallest_key, smallest_us = self._smallest()
        del self._sums[smallest_key]
        self._over.pop(smallest_key, None)
        self.error = max(self.error, smallest_us)
        self._over[key] = smallest_us
        self._sums[key] = smallest_us + us
        self._entries_made += 1
        heapreplace(self._heap, (smallest_us + us, self._entries_made, key))

    def _put(self, key: K, us: float) -> None:
        self._sums[key] = us
        self._entries_made += 1
        heappush(self._heap, (us, self._entries_made, key))

    def _smallest(self) -> tuple[K, float]:
        """The key with the smallest sum; entries whose sum has grown are first moved down the heap."""
        while True:
            bound, _, key = self._heap[0]
            current = self._sums[key]
            if current <= bound:
                return key, current
            self._entries_made += 1
            heapreplace(self._heap, (current, self._entries_made, key))

    def __len__(self) -> int:
        return len(self._sums)

    def __getitem__(self, key: K) -> Sum:
        """The key's sum; for an untracked key, its upper bound."""
        if key in self._sums:
            return Sum(self._sums[key], self._over.get(key, 0.0))
        return Sum(self.error, self.error)

    def items(self) -> Iterator[tuple[K, Sum]]:
        for key, us in self._sums.items():
            yield key, Sum(us, self._over.get(key, 0.0))

    def largest(self, most: int) -> list[tuple[K, Sum]]:
        """Up to `most` keys with the largest sums, in descending order."""
        return sorted(self.items(), key=lambda item: (-item[1].us, str(item[0])))[:most]

    def check(self) -> None:
        """Raises AssertionError if the data structure is inconsistent. For tests."""
        heap_keys = {key for _, _, key in self._heap}
        assert heap_keys == set(self._sums) and len(self._heap) == len(self._sums) <= self.capacity
        assert all(bound <= self._sums[key] + 1e-6 for bound, _, key in self._heap)
