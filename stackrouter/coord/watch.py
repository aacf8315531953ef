"""Whether this gateway asks discovery itself, or lives on the list that the fleet's watcher hands on. No I/O.

One member holds the duty `watch`: it asks discovery as every gateway does today, and publishes each answer
under its token. The others follow. Who follows asks discovery itself again, as with coordination off,

- before it has followed anything, and from `stale_us` after the watcher was last heard of (it died, the
  group has no leader, discovery is silent to it, or this member is cut off);
- for the whole list, where it has none that counts (engine's wish, a discovery that has moved).

Times are microseconds of the member's own clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Role(enum.Enum):
    WATCH = "watch"  # asks discovery and publishes
    FOLLOW = "follow"  # asks nothing
    ALONE = "alone"  # asks discovery for itself, as without coordination


class Verdict(enum.Enum):
    TAKE = "take"
    LEAVE = "leave"
    GAP = "gap"  # it builds on a version that this member has not seen: the whole list has to come first


@dataclass(slots=True)
class Follower:
    """`stale_us`: how long the watcher may be unheard of. It publishes at least with every answered watch."""

    stale_us: int
    heard_at: int | None = None
    index: int = -1  # of the list this member has
    token: int = 0  # of the watcher it came from

    def role(self, now: int, acting: bool) -> Role:
        if acting:
            return Role.WATCH
        heard = self.heard_at is not None and now - self.heard_at < self.stale_us
        return Role.FOLLOW if heard else Role.ALONE

    def asked(self, index: int) -> None:
        """This member has its list from discovery itself."""
        self.index = index

    def takes(self, now: int, token: int, base: int | None, index: int) -> Verdict:
        """A listing was handed on: what to do with it. Only what is taken counts as hearing of the watcher,
        so that who cannot follow asks for itself once the last one taken is `stale_us` old."""
        if self.index < 0:
            return Verdict.LEAVE  # what a journal tells at a start is of old: discovery is asked first
        if token < self.token:
            return Verdict.LEAVE  # from a watcher that has been followed by another
        if base is not None and base > self.index:
            return Verdict.GAP
        if index < self.index:
            return Verdict.LEAVE  # older than what this member already knows
        self.token, self.heard_at, self.index = token, now, index
        return Verdict.TAKE

    def stale_at(self) -> int | None:
        """When the watcher will have been unheard of for too long."""
        return None if self.heard_at is None else self.heard_at + self.stale_us
