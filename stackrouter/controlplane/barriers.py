"""Read barriers of a replica: one at a time, for all heartbeats that came before its start. No I/O; times are
microseconds, passed in."""

from __future__ import annotations


class ReadBarriers:
    """Collects heartbeats (by reader the sequence of the newest) and says which barrier confirms which.

    A barrier that fails, or is not answered within `timeout_us`, confirms nothing: its heartbeats go on
    waiting for the next one, which starts `interval_us` after it at the earliest.
    """

    def __init__(self, interval_us: int, timeout_us: int) -> None:
        self._interval_us, self._timeout_us = interval_us, timeout_us
        self.failed_in_row = 0
        self.number = 0  # of the last barrier that was started
        self._started_at: int | None = None
        self._under_way: dict[int, int] | None = None
        self._waiting: dict[int, int] = {}

    def add(self, reader: int, sequence: int) -> None:
        """A heartbeat came."""
        self._waiting[reader] = sequence

    def forget(self, reader: int) -> None:
        """A reader has gone."""
        self._waiting.pop(reader, None)
        if self._under_way is not None:
            self._under_way.pop(reader, None)

    def forget_all(self) -> None:
        """Nothing that came so far is to be confirmed; the barrier that is under way counts for nothing."""
        self._waiting, self._under_way = {}, None

    def start(self, now: int, wanted: bool) -> int | None:
        """Start the next barrier, if one may start and a heartbeat waits (or it is `wanted` anyway)."""
        if self._under_way is not None or now < self._allowed_at() or not (wanted or self._waiting):
            return None
        self.number += 1
        self._started_at = now
        self._under_way, self._waiting = self._waiting, {}
        return self.number

    def confirmed(self, number: int) -> dict[int, int] | None:
        """The heartbeats that a barrier confirms; None: it is not the one that is under way."""
        if number != self.number or self._under_way is None:
            return None
        confirmed, self._under_way = self._under_way, None
        return confirmed

    def failed(self, number: int) -> bool:
        """The barrier will not be answered. False: it is not the one that is under way."""
        if number != self.number or self._under_way is None:
            return False
        self.failed_in_row += 1
        self._waiting = self._under_way | self._waiting
        self._under_way = None
        return True

    def overdue(self, now: int) -> bool:
        """Whether the barrier that is under way was not answered in time."""
        return self._under_way is not None and now >= self._due_at()

    def next_at(self, wanted: bool) -> int | None:
        """When a barrier may start or is given up; None: nothing waits for one."""
        if self._under_way is not None:
            return self._due_at()
        return self._allowed_at() if wanted or self._waiting else None

    def _due_at(self) -> int:
        assert self._started_at is not None
        return self._started_at + self._timeout_us

    def _allowed_at(self) -> int:
        return 0 if self._started_at is None else self._started_at + self._interval_us
