"""Decides whether this gateway queries discovery itself or follows the list that the fleet's watcher
publishes. No I/O.

One member holds the duty `watch`: it queries discovery as a gateway without coordination does, and publishes
each answer under its token. The others follow. A follower queries discovery itself, as without coordination,

- until it has applied a published listing, and once nothing was received from the watcher for `stale_us` (it
  died, the group has no leader, discovery does not answer it, or this member is partitioned);
- for the whole list, when it has no valid one (the engine requests it, or discovery has moved).

Times are microseconds of the member's own clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Role(enum.Enum):
    """How a gateway gets its list of storage nodes."""

    WATCH = "watch"  # queries discovery and publishes
    FOLLOW = "follow"  # does not query discovery
    ALONE = "alone"  # queries discovery for itself, as without coordination


class Verdict(enum.Enum):
    """What to do with a published listing."""

    APPLY = "take"
    IGNORE = "leave"
    GAP = "gap"  # it is based on a version that this member has not seen: the whole list is needed first


@dataclass(slots=True)
class Follower:
    """Follows the watcher's listings. `stale_us`: how long the watcher may be silent; it publishes at least
    with every answered watch call."""

    stale_us: int
    last_applied_at: int | None = None
    index: int = -1  # version of this member's list; -1: none
    token: int = 0  # of the watcher that published it

    def role(self, now: int, acting: bool) -> Role:
        """The role now. `acting`: whether this member holds the duty `watch`."""
        if acting:
            return Role.WATCH
        watcher_alive = self.last_applied_at is not None and now - self.last_applied_at < self.stale_us
        return Role.FOLLOW if watcher_alive else Role.ALONE

    def queried(self, index: int) -> None:
        """Record the version of a list that this member got from discovery itself."""
        self.index = index

    def verdict_on(self, now: int, token: int, base: int | None, index: int) -> Verdict:
        """Decide on a published listing. Only an applied one counts as a sign of life of the watcher, so that
        a member that cannot follow queries discovery itself `stale_us` after the last one it applied."""
        if self.index < 0:
            return Verdict.IGNORE  # at a start the journal replays old listings: discovery is queried first
        if token < self.token:
            return Verdict.IGNORE  # from a superseded watcher
        if base is not None and base > self.index:
            return Verdict.GAP
        if index < self.index:
            return Verdict.IGNORE  # older than this member's list
        self.token, self.last_applied_at, self.index = token, now, index
        return Verdict.APPLY

    def stale_at(self) -> int | None:
        """When the watcher will have been silent for too long; None: no listing was applied yet."""
        return None if self.last_applied_at is None else self.last_applied_at + self.stale_us
