"""How far the answers written to a client have got: what the system holds, and whether the client reads."""

from __future__ import annotations

from typing import Final

from stackrouter.net.client_socket import ClientSocket

LINGER_S: Final = 0.5  # how long what arrives is discarded after the client has got the last answer
WRITE_STALL_S: Final = 10.0  # how long an answer may make no progress because the client does not read


class Delivery:
    """Looks at the send queue of one connection. Times are monotonic seconds."""

    def __init__(self, sock: ClientSocket, now: float) -> None:
        self._sock = sock
        self._unread_bytes, self._read_at = 0, now
        self._delivered_at: float | None = None  # after the end: when the client's system had all answers

    def unsent(self) -> bool:
        """Whether the system holds bytes for which the client has no room yet."""
        return self._sock.unsent_bytes() > 0

    def complete(self) -> bool:
        """Whether the client's system has taken everything: a reset cannot lose it any more."""
        return not self._sock.unread_bytes()

    def stalled(self, now: float, written_at: float) -> bool:
        """Whether the client has taken nothing for too long since the last write, at `written_at`."""
        return now - self._last_progress(now, written_at) > WRITE_STALL_S

    def linger_over(self, now: float, written_at: float) -> bool:
        """After the end: whether the client has had time to see it since it got the last answer, or does not
        read."""
        if not self.complete():
            self._delivered_at = None
            return self.stalled(now, written_at)
        if self._delivered_at is None:
            self._delivered_at = now
        return now - self._delivered_at > LINGER_S

    def _last_progress(self, now: float, written_at: float) -> float:
        """When the client last took something of what is being written.

        A client that reads slowly takes bytes out of the system's buffer for a long time before that has room
        for more.
        """
        unread_bytes = self._sock.unread_bytes()
        if unread_bytes < self._unread_bytes:
            self._read_at = now
        self._unread_bytes = unread_bytes
        return max(written_at, self._read_at)
