"""Schedules snapshot parts to readers: first come, first served, a few readers at a time, with a limit on the
total rate. No I/O; times are microseconds, passed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from stackrouter.controlplane.snapshot import Snapshot
from stackrouter.coord.port import LogPosition

BURST_S = 0.1  # capacity of the token bucket, in seconds at the rate `bytes_s`


@dataclass(frozen=True, slots=True)
class Part:
    """The next part for a reader, encoded. `last`: it completes the state as of `position`."""

    reader: int
    data: bytes
    last: bool
    position: LogPosition


@dataclass(slots=True)
class _Transfer:
    reader: int
    snapshot: Snapshot
    due_at: int  # deadline for the whole transfer
    next_part: int = 0


class SnapshotQueue:
    """Readers that wait for a snapshot, and transfers in progress."""

    def __init__(self, max_transfers: int, bytes_s: int, timeout_us: int) -> None:
        self._max_transfers, self._bytes_s, self._timeout_us = max_transfers, bytes_s, timeout_us
        self.current: Snapshot | None = None  # the newest, kept while a reader needs one
        self._waiting: deque[int] = deque()
        self._transfers: dict[int, _Transfer] = {}  # by reader, in round-robin order
        self._tokens = bytes_s * BURST_S  # bytes that may be sent now; may go negative with a large part
        self._refilled_at = 0

    def add(self, reader: int) -> int:
        """Queue a reader for a snapshot; the number of readers ahead of it."""
        self._waiting.append(reader)
        return len(self._waiting) - 1

    def remove(self, reader: int) -> None:
        """Remove a reader that no longer needs a snapshot or has disconnected."""
        if self._transfers.pop(reader, None) is None and reader in self._waiting:
            self._waiting.remove(reader)
        if not self._waiting and not self._transfers:
            self.current = None

    def waiting(self) -> list[int]:
        """The readers whose transfer has not started, in order."""
        return list(self._waiting)

    def overdue(self, now: int) -> list[int]:
        """The readers whose transfer has exceeded its deadline."""
        return [transfer.reader for transfer in self._transfers.values() if now >= transfer.due_at]

    def next_part(
        self, now: int, has_window: Callable[[int], bool], make: Callable[[Snapshot | None], Snapshot]
    ) -> Part | None:
        """The next part that may be sent now, if any. `has_window`: whether a reader's connection has room;
        `make`: returns the snapshot for a transfer that starts, given the current one."""
        self._refill(now)
        if self._tokens <= 0:
            return None
        self._start_transfers(now, make)
        transfer = next((t for t in self._transfers.values() if has_window(t.reader)), None)
        return self._send(transfer) if transfer is not None else None

    def next_at(self) -> int | None:
        """When sending may continue, if transfers wait for tokens."""
        if self._tokens > 0 or not (self._transfers or self._waiting):
            return None
        return self._refilled_at + int(-self._tokens * 1e6 / self._bytes_s) + 1

    def _refill(self, now: int) -> None:
        refilled = (now - self._refilled_at) * self._bytes_s / 1e6
        self._tokens = min(self._bytes_s * BURST_S, self._tokens + refilled)
        self._refilled_at = now

    def _start_transfers(self, now: int, make: Callable[[Snapshot | None], Snapshot]) -> None:
        while self._waiting and len(self._transfers) < self._max_transfers:
            reader = self._waiting.popleft()
            self.current = make(self.current)
            self._transfers[reader] = _Transfer(reader, self.current, now + self._timeout_us)

    def _send(self, transfer: _Transfer) -> Part:
        snapshot, part = transfer.snapshot, transfer.next_part
        data = snapshot.frame(part)
        transfer.next_part += 1
        last = transfer.next_part == snapshot.parts
        self._tokens -= len(data)
        del self._transfers[transfer.reader]
        if not last:
            self._transfers[transfer.reader] = transfer  # to the end of the order
        return Part(transfer.reader, data, last, snapshot.position)
