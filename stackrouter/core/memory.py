"""Accounts of memory for what clients and nodes send, and the leases by which it is held.

Each account has a limit in bytes. A lease is taken before the bytes are read, so that what is in memory
follows from the limits and not from the number of connections.
"""

from __future__ import annotations

from gevent.event import Event

MAX_USUAL_ANSWER_BYTES = 160 * 1024  # a value of 64 KiB, its framing and reports, with room to spare


class MemoryLease:
    """A part of an account; returned when nothing refers to it any more."""

    __slots__ = ("_account", "_size")

    def __init__(self, account: MemoryAccount, size: int) -> None:
        self._account, self._size = account, size
        account.used_bytes += size

    def __del__(self) -> None:
        self._account.used_bytes -= self._size
        self._account.freed.set()


class MemoryAccount:
    """Memory for one purpose. `max_bytes`: its limit; `used_bytes`: held by leases now; `freed`: set
    whenever a lease is returned."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used_bytes, self.freed = max_bytes, 0, Event()

    def try_lease(self, size: int) -> MemoryLease | None:
        """Lease `size` bytes if they are free now, else None."""
        if self.used_bytes + size > self.max_bytes:
            return None
        return MemoryLease(self, size)

    def wait_until_freed(self, timeout_s: float | None = None) -> None:
        """Wait until a lease is returned, or for `timeout_s` seconds."""
        self.freed.clear()
        self.freed.wait(timeout_s)

    def lease(self, size: int) -> MemoryLease | None:
        """Wait for `size` bytes and lease them; None: the size exceeds the limit."""
        while size <= self.max_bytes:
            lease = self.try_lease(size)
            if lease is not None:
                return lease
            self.wait_until_freed()
        return None


class AnswerMemory:
    """Memory for nodes' answers, from reading them until they are written to clients.

    Large answers have an account of their own, so that the usual ones need not wait behind them.
    """

    def __init__(self, usual_bytes: int, large_bytes: int) -> None:
        self.usual, self.large = MemoryAccount(usual_bytes), MemoryAccount(large_bytes)

    def resize(self, usual_bytes: int, large_bytes: int) -> None:
        """Change the limits; leases that are held stay."""
        self.usual.max_bytes, self.large.max_bytes = usual_bytes, large_bytes

    def account(self, size: int) -> MemoryAccount:
        """The account for an answer of `size` bytes."""
        return self.usual if size <= MAX_USUAL_ANSWER_BYTES else self.large

    def lease(self, size: int) -> MemoryLease | None:
        """Wait for `size` bytes and lease them; None: no answer may be that large."""
        return self.account(size).lease(size)
