"""Detects which processes of the gateway run, by record locks on the listening socket that all inherit.

The kernel releases a process's locks when it ends for any reason, and keeps them while it is stopped. No call
here blocks: a lock that another process holds is reported at once. The locks belong to the socket, so they
depend on no directory. A process loses them when it closes any descriptor of that socket; therefore an
inherited listening socket stays open until the process ends (net.listener).
"""

from __future__ import annotations

import fcntl
import os
import struct
from typing import Final, Protocol

from stackrouter.sharing.mode import ProcessView

MAX_PROCESSES: Final = 8  # of one gateway at the same time, one slot each
# Offsets of the locks:
_RESERVED_OFFSET: Final = 1 << 40  # one byte per slot, locked first: no two processes get the same slot
_PRESENT_OFFSET: Final = _RESERVED_OFFSET + MAX_PROCESSES  # one byte per slot: its process is present
_LOGS_OFFSET: Final = 1 << 41  # MAX_PROCESSES bytes per log: the process in this slot uses that log
_COUNTS_OFFSET: Final = 1 << 50  # one range per kind and slot: its locked length is the published count
_MAX_COUNT: Final = 1 << 20
_FLOCK: Final = struct.Struct("hhqqi4x")  # struct flock: type, whence, start, length, pid


class Presence(Protocol):
    """Registry of the processes of one gateway. Raises OSError where the system does not support it."""

    def join(self, log_id: int | None) -> None:
        """Make this process visible to the others. `log_id`: the log that it uses, or None."""

    def use_log(self, log_id: int | None) -> None:
        """Announce the log that this process uses from now on, or None."""

    def scan(self) -> ProcessView:
        """The other processes that are present now."""
        ...


class SocketPresence:
    """Locks on an inherited listening socket. Raises OSError where it has no locks or no slot is free."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._slot = -1
        self._log_id: int | None = None

    def join(self, log_id: int | None) -> None:
        self._slot = self._reserve_slot()
        # The log is announced first: processes that see this one present must also see its log.
        self.use_log(log_id)
        self._lock(_PRESENT_OFFSET + self._slot)

    def use_log(self, log_id: int | None) -> None:
        if log_id == self._log_id:
            return
        if log_id is not None:
            self._lock(_log_offset(log_id, self._slot))
        if self._log_id is not None:
            self._unlock(_log_offset(self._log_id, self._slot))
        self._log_id = log_id

    def scan(self) -> ProcessView:
        if not self._is_locked(_PRESENT_OFFSET, MAX_PROCESSES):
            return ProcessView(self._slot)
        others = tuple(slot for slot in range(MAX_PROCESSES) if self._is_locked(_PRESENT_OFFSET + slot))
        log_id = self._log_id
        same_log = log_id is not None and all(self._is_locked(_log_offset(log_id, slot)) for slot in others)
        return ProcessView(self._slot, others, same_log)

    def publish(self, kind: int, count: int) -> None:
        """See `socket_limits.SocketCounts`; the count is the length of a lock."""
        offset = self._count_offset(kind, self._slot)
        count = min(count, _MAX_COUNT - 1)
        if count:
            self._lock(offset, count)
        # The rest of an older, longer lock is released last: the others never see less than is held.
        self._unlock(offset + count, _MAX_COUNT - count)

    def published(self, kind: int) -> int:
        counts = (self._published_length(self._count_offset(kind, slot)) for slot in range(MAX_PROCESSES))
        return sum(counts)

    @staticmethod
    def _count_offset(kind: int, slot: int) -> int:
        # The ranges leave gaps since the kernel merges adjacent locks of a process.
        return _COUNTS_OFFSET + (kind * MAX_PROCESSES + slot) * 2 * _MAX_COUNT

    def _published_length(self, offset: int) -> int:
        lock = self._query(offset, _MAX_COUNT)
        return int(lock[3]) if lock[0] != fcntl.F_UNLCK else 0

    def _reserve_slot(self) -> int:
        for slot in range(MAX_PROCESSES):
            try:
                self._lock(_RESERVED_OFFSET + slot)
            except (BlockingIOError, PermissionError):
                continue
            return slot
        raise OSError(f"{MAX_PROCESSES} processes of this gateway are already running")

    def _lock(self, offset: int, length: int = 1) -> None:
        fcntl.fcntl(
            self._descriptor, fcntl.F_SETLK, _FLOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, offset, length, 0)
        )

    def _unlock(self, offset: int, length: int = 1) -> None:
        fcntl.fcntl(
            self._descriptor, fcntl.F_SETLK, _FLOCK.pack(fcntl.F_UNLCK, os.SEEK_SET, offset, length, 0)
        )

    def _is_locked(self, offset: int, length: int = 1) -> bool:
        """Whether another process holds a lock in that range."""
        return bool(self._query(offset, length)[0] != fcntl.F_UNLCK)

    def _query(self, offset: int, length: int) -> tuple[int, ...]:
        """Another process's lock in that range: type (F_UNLCK: none), whence, start, length, pid."""
        query = _FLOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, offset, length, 0)
        return _FLOCK.unpack(fcntl.fcntl(self._descriptor, fcntl.F_GETLK, query))


def _log_offset(log_id: int, slot: int) -> int:
    return _LOGS_OFFSET + log_id * MAX_PROCESSES + slot
