"""Which reader gets which part of a snapshot when: in the order in which they came, few readers at once, so
many bytes a second in all. No I/O; times are microseconds, passed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from stackrouter.controlplane.snapshot import Snapshot
from stackrouter.coord.port import LogPosition

BURST_S = 0.1  # what may go out at once: the bytes of so many seconds


@dataclass(frozen=True, slots=True)
class Part:
    """The next part for a reader, encoded. `last`: with it the reader has the state as of `position`."""

    reader: int
    data: bytes
    last: bool
    position: LogPosition


@dataclass(slots=True)
class _Transfer:
    reader: int
    snapshot: Snapshot
    due_at: int  # it has to be over by then
    next_part: int = 0


class SnapshotQueue:
    """Readers that wait for a snapshot, and those that are being sent one."""

    def __init__(self, at_once: int, bytes_s: int, within_us: int) -> None:
        self._at_once, self._bytes_s, self._within_us = at_once, bytes_s, within_us
        self.present: Snapshot | None = None  # the newest, kept as long as somebody needs one
        self._waiting: deque[int] = deque()
        self._transfers: dict[int, _Transfer] = {}  # the one whose turn is next first
        self._tokens = bytes_s * BURST_S  # bytes that may go out now; below 0: owed by the last part
        self._refilled_at = 0

    def add(self, reader: int) -> int:
        """A reader needs a snapshot; how many wait before it."""
        self._waiting.append(reader)
        return len(self._waiting) - 1

    def remove(self, reader: int) -> None:
        """A reader needs none any more, or has gone."""
        if self._transfers.pop(reader, None) is None and reader in self._waiting:
            self._waiting.remove(reader)
        if not self._waiting and not self._transfers:
            self.present = None

    def waiting(self) -> list[int]:
        """Those that have not been sent anything, the next one first."""
        return list(self._waiting)

    def overdue(self, now: int) -> list[int]:
        """Those that have not taken their snapshot in time."""
        return [transfer.reader for transfer in self._transfers.values() if now >= transfer.due_at]

    def next_part(
        self, now: int, takes_more: Callable[[int], bool], make: Callable[[Snapshot | None], Snapshot]
    ) -> Part | None:
        """The next part that may be sent now, if any. `takes_more`: whether a reader's connection does;
        `make`: the snapshot for a reader that begins, which may be the present one."""
        self._refill(now)
        if self._tokens <= 0:
            return None
        self._begin(now, make)
        transfer = next((t for t in self._transfers.values() if takes_more(t.reader)), None)
        return self._send(transfer) if transfer is not None else None

    def next_at(self) -> int | None:
        """When bytes may go out again, if somebody waits for that."""
        if self._tokens > 0 or not (self._transfers or self._waiting):
            return None
        return self._refilled_at + int(-self._tokens * 1e6 / self._bytes_s) + 1

    def _refill(self, now: int) -> None:
        earned = (now - self._refilled_at) * self._bytes_s / 1e6
        self._tokens = min(self._bytes_s * BURST_S, self._tokens + earned)
        self._refilled_at = now

    def _begin(self, now: int, make: Callable[[Snapshot | None], Snapshot]) -> None:
        while self._waiting and len(self._transfers) < self._at_once:
            reader = self._waiting.popleft()
            self.present = make(self.present)
            self._transfers[reader] = _Transfer(reader, self.present, now + self._within_us)

    def _send(self, transfer: _Transfer) -> Part:
        snapshot, part = transfer.snapshot, transfer.next_part
        data = snapshot.frame(part)
        transfer.next_part += 1
        last = transfer.next_part == snapshot.parts
        self._tokens -= len(data)
        del self._transfers[transfer.reader]
        if not last:
            self._transfers[transfer.reader] = transfer  # behind the others
        return Part(transfer.reader, data, last, snapshot.position)
