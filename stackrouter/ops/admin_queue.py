"""Admission to the admin port when more callers connect than are served at once.

The operator documentation requires every answer within 1 s whatever the load, and expects callers that send
nothing or half a call and stay for 4 s. A caller whose line has arrived is answered at once and no longer
counts, so only callers whose line is incomplete take up places. Once all places are taken, the caller that
has waited longest is evicted, but not before it has had `patience_s`; until then the next caller waits to be
accepted. The last of N silent callers is accepted after N / max_callers * patience_s at the latest. Times are
monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class CallerQueue(Generic[T]):
    """Callers whose line is incomplete. `max_callers`: how many are served at once; `patience_s`: the minimum
    time that each has while others wait."""

    max_callers: int
    patience_s: float
    _entered_at: dict[T, float] = field(default_factory=dict)  # when each entered, in that order

    def __len__(self) -> int:
        return len(self._entered_at)

    def enter(self, caller: T, now: float) -> None:
        """Adds an accepted caller."""
        self._entered_at[caller] = now

    def leave(self, caller: T) -> None:
        """Removes a caller whose line is complete or that has disconnected; a second call does nothing."""
        self._entered_at.pop(caller, None)

    def wait_s(self, now: float) -> float:
        """How long the next caller has to wait to be accepted; 0: a place is free, or can be freed now."""
        if len(self._entered_at) < self.max_callers:
            return 0.0
        return max(0.0, min(self._entered_at.values()) + self.patience_s - now)

    def evictable(self, now: float) -> T | None:
        """The caller to evict for the next one; None if none needs to be or may be evicted yet."""
        if len(self._entered_at) < self.max_callers or self.wait_s(now) > 0.0:
            return None
        return next(iter(self._entered_at))
