"""When a process may accept on a listening socket that an older process of the same gateway may still serve.

At an upgrade the platform holds the clients' listening socket and starts the new process beside the old one.
Both count as one gateway, so both together have one gateway's part of each limit. They do not talk to each
other: the queue of the shared socket tells the new process which of them serves. While the old one accepts,
no connection stays in the queue; once connections have stayed there for `patience_s`, nobody else accepts.
No I/O; times are seconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

PATIENCE_S = 0.1  # an old process that serves accepts within some milliseconds, also on a busy machine
LOOK_S = 0.005  # between looks at the queue while a connection waits in it


@dataclass(slots=True)
class AcceptTurn:
    """`patience_s`: how long the queue has to hold connections at every look before this process accepts."""

    patience_s: float = PATIENCE_S
    _waiting_since: float | None = None

    def looked(self, now: float, queued: bool) -> bool:
        """Note a look at the queue; whether it is this process's turn to accept."""
        if not queued:
            self._waiting_since = None
            return False
        if self._waiting_since is None:
            self._waiting_since = now
        return now - self._waiting_since >= self.patience_s
