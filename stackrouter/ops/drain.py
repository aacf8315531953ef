"""Drain by PING: the state behind the admin calls `standby` and `active`, and which client connections are
closed while it lasts; and what is still taken on connections that are to be closed, at a drain or a stop.

The operator documentation says: the front sends PING every 0.1 s; after the first negative answer it opens
new connections for another 0.2 s; 4 s after `standby`, a positive answer, an idle connection or one that sent
a request in the last 2 s violates the rule on lost requests; within 2 s of `active` PING must be positive
again. Times are monotonic seconds given by the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

# A new connection is about to send its first request: closing it would lose that request.
NEW_CONNECTION_GRACE_S = 0.1
# Most connections have a moment at which no answer is owed, and so can be closed, within this time.
PIPELINED_GRACE_S = 0.5


def refuses_pipelined(now: float, closing_since: float | None) -> bool:
    """Whether a request that arrives while an answer is owed on its connection is refused.

    `closing_since`: when all connections began to be closed as soon as no answer is owed on them; None: they
    are not being closed. A client that sends several requests at once and goes on would otherwise keep its
    connection, and requests open on it, for as long as the gateway serves.
    """
    return closing_since is not None and now - closing_since > PIPELINED_GRACE_S


@dataclass(slots=True)
class Drain:
    """The drain state of a gateway. `since`: when the current drain began; None while serving."""

    since: float | None = None

    @property
    def serving(self) -> bool:
        """Whether PING is answered +PONG: true unless a drain is in progress."""
        return self.since is None

    def standby(self, now: float) -> bool:
        """Begins a drain; a repeated call keeps the time of the first. Returns whether this call began it."""
        if self.since is not None:
            return False
        self.since = now
        return True

    def active(self) -> bool:
        """Ends the drain; returns whether one was in progress."""
        was_draining, self.since = self.since is not None, None
        return was_draining

    def should_close(self, now: float, *, owed: bool, readable: bool, asked: bool, active_at: float) -> bool:
        """Whether a client connection is to be closed now.

        `owed`: an answer is not yet written whole; `readable`: bytes wait in the socket or the inbox;
        `asked`: the connection has carried a request; `active_at`: the time of its last read or write. A
        connection with an owed answer or unread bytes is never closed; a new connection has
        NEW_CONNECTION_GRACE_S for its first request.
        """
        if self.since is None or owed or readable:
            return False
        return asked or now - max(active_at, self.since) > NEW_CONNECTION_GRACE_S

    def status(self, now: float) -> str:
        """The state as the admin call `status` reports it."""
        if self.since is None:
            return "serving"
        return f"draining for {now - self.since:.1f} s"
