"""The newest changes of a replica, encoded once for all readers, for gateways that resume. No I/O."""

from __future__ import annotations

from collections import deque

from stackrouter.coord.port import LogPosition
from stackrouter.errors import StreamGapError


class DeltaLog:
    """Encoded Delta frames with consecutive numbers, bounded by `max_entries` and `max_bytes`."""

    def __init__(self, start: LogPosition, max_entries: int, max_bytes: int) -> None:
        self.history = start.history
        self._oldest = start.number  # the lowest number that `after` can answer
        self._entries: deque[bytes] = deque()
        self._bytes = 0
        self._max_entries, self._max_bytes = max_entries, max_bytes

    @property
    def newest(self) -> int:
        """The number of the last change."""
        return self._oldest + len(self._entries)

    @property
    def retained_bytes(self) -> int:
        """Total size of the retained changes."""
        return self._bytes

    def append(self, number: int, encoded: bytes) -> None:
        """Append the next change, dropping the oldest while a bound is exceeded. Raises StreamGapError."""
        if number != self.newest + 1:
            raise StreamGapError(f"change {number} does not follow {self.newest}")
        self._entries.append(encoded)
        self._bytes += len(encoded)
        while len(self._entries) > self._max_entries or self._bytes > self._max_bytes:
            self._bytes -= len(self._entries.popleft())
            self._oldest += 1

    def after(self, position: LogPosition) -> list[bytes] | None:
        """All changes after a position, encoded. None: they are not all retained (the position is in another
        history, older than the log, or newer than its last change)."""
        if position.history != self.history or not self._oldest <= position.number <= self.newest:
            return None
        skipped = position.number - self._oldest
        if skipped == len(self._entries):
            return []
        return list(self._entries)[skipped:]
