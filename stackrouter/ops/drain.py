"""Drain by PING: the state behind `standby` and `active` on the operators' door, and which client
connections close while it lasts.

From the operators' page: the front asks PING every 0.1 s; from its first no it sends new connections for
0.2 s more; at 4 s a yes, an idle connection or one that asked in the last 2 s breaks the rule on lost
requests; within 2 s of `active` PING must say yes. Times are monotonic seconds given by the caller.
"""

from __future__ import annotations

from dataclasses import dataclass

YOUNG_S = 0.1  # a connection that has not asked yet is about to: closing it loses its first request


@dataclass(slots=True)
class Drain:
    """`since`: when the running drain began, None while serving."""

    since: float | None = None

    @property
    def serving(self) -> bool:
        """What PING answers: yes unless a drain is on."""
        return self.since is None

    def standby(self, now: float) -> bool:
        """Begin draining; a second standby keeps the first one's time. Returns whether this one began it."""
        if self.since is not None:
            return False
        self.since = now
        return True

    def active(self) -> bool:
        """End the drain; returns whether one was on."""
        was, self.since = self.since is not None, None
        return was

    def closes(self, now: float, *, owed: bool, readable: bool, asked: bool, active_at: float) -> bool:
        """Whether a client connection is closed now.

        `owed`: an answer has not left yet; `readable`: bytes wait in the socket or the inbox; `asked`: the
        connection has carried a request; `active_at`: its last read or write. Nothing owed or on its way is
        ever cut; a new connection is given `YOUNG_S` for its first request.
        """
        if self.since is None or owed or readable:
            return False
        return asked or now - max(active_at, self.since) > YOUNG_S

    def status(self, now: float) -> str:
        """The door's words for the state."""
        if self.since is None:
            return "serving"
        return f"draining for {now - self.since:.1f} s"
