"""The newest changes of a replica, encoded once for all readers, for gateways that resume. No I/O."""

from __future__ import annotations

from collections import deque

from stackrouter.coord.port import LogPosition
from stackrouter.errors import StreamGapError


class DeltaLog:
    """Encoded Delta frames with consecutive numbers, the newest `most_entries` and `most_bytes` of them."""

    def __init__(self, start: LogPosition, most_entries: int, most_bytes: int) -> None:
        self.history = start.history
        self._oldest = start.number  # `after` is known from this number on
        self._entries: deque[bytes] = deque()
        self._bytes = 0
        self._most_entries, self._most_bytes = most_entries, most_bytes

    @property
    def newest(self) -> int:
        """The number of the last change."""
        return self._oldest + len(self._entries)

    @property
    def retained_bytes(self) -> int:
        """How many bytes of encoded changes are kept."""
        return self._bytes

    def append(self, number: int, encoded: bytes) -> None:
        """Keep the next change; older ones go where it gets too many or too large."""
        if number != self.newest + 1:
            raise StreamGapError(f"change {number} does not follow {self.newest}")
        self._entries.append(encoded)
        self._bytes += len(encoded)
        while len(self._entries) > self._most_entries or self._bytes > self._most_bytes:
            self._bytes -= len(self._entries.popleft())
            self._oldest += 1

    def after(self, position: LogPosition) -> list[bytes] | None:
        """All changes after a position, encoded. None: they are not all here (it is of another history,
        older than what is retained, or newer than all)."""
        if position.history != self.history or not self._oldest <= position.number <= self.newest:
            return None
        skipped = position.number - self._oldest
        if skipped == len(self._entries):
            return []
        return list(self._entries)[skipped:]
