"""Read barriers of a replica: one at a time, each for all heartbeats that were received before its start. No
I/O; times are microseconds, passed in."""

from __future__ import annotations


class ReadBarriers:
    """Collects heartbeats (per reader the newest sequence) and tracks which barrier confirms which of them.

    A barrier that fails, or gets no answer within `timeout_us`, confirms nothing: its heartbeats wait for the
    next one, which starts at least `interval_us` after it.
    """

    def __init__(self, interval_us: int, timeout_us: int) -> None:
        self._interval_us, self._timeout_us = interval_us, timeout_us
        self.consecutive_failures = 0
        self.number = 0  # of the last barrier started
        self._started_at: int | None = None
        self._in_flight: dict[int, int] | None = None
        self._waiting: dict[int, int] = {}

    def add(self, reader: int, sequence: int) -> None:
        """Add a heartbeat."""
        self._waiting[reader] = sequence

    def forget(self, reader: int) -> None:
        """Drop the heartbeats of a reader that disconnected."""
        self._waiting.pop(reader, None)
        if self._in_flight is not None:
            self._in_flight.pop(reader, None)

    def forget_all(self) -> None:
        """Drop all heartbeats, and ignore the result of the barrier in flight."""
        self._waiting, self._in_flight = {}, None

    def start(self, now: int, wanted: bool) -> int | None:
        """Start the next barrier, if it may start now and a heartbeat waits or it is `wanted`; its number."""
        if self._in_flight is not None or now < self._may_start_at() or not (wanted or self._waiting):
            return None
        self.number += 1
        self._started_at = now
        self._in_flight, self._waiting = self._waiting, {}
        return self.number

    def confirmed(self, number: int) -> dict[int, int] | None:
        """The heartbeats that a barrier confirms, sequence by reader; None: it is not the one in flight."""
        if number != self.number or self._in_flight is None:
            return None
        confirmed, self._in_flight = self._in_flight, None
        return confirmed

    def failed(self, number: int) -> bool:
        """Record that a barrier will get no answer. False: it is not the one in flight."""
        if number != self.number or self._in_flight is None:
            return False
        self.consecutive_failures += 1
        self._waiting = self._in_flight | self._waiting
        self._in_flight = None
        return True

    def overdue(self, now: int) -> bool:
        """Whether the barrier in flight has timed out."""
        return self._in_flight is not None and now >= self._times_out_at()

    def next_at(self, wanted: bool) -> int | None:
        """When the next barrier may start or the one in flight times out; None: no barrier is needed."""
        if self._in_flight is not None:
            return self._times_out_at()
        return self._may_start_at() if wanted or self._waiting else None

    def _times_out_at(self) -> int:
        assert self._started_at is not None
        return self._started_at + self._timeout_us

    def _may_start_at(self) -> int:
        return 0 if self._started_at is None else self._started_at + self._interval_us
