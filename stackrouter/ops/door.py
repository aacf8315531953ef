"""Who gives way at the operators' door when more call than are heard at once.

From the operators' page: every answer is due within 1 s whatever the load, and some callers send nothing or
half a call and stay for 4 s. A caller whose line has come is answered at once and holds no place, so only
those still to say something fill the door. Once it is full, the one that has been silent longest gives way,
but not before it had `patience_s`; until then the next caller waits to be let in. Of a crowd of N silent
callers the last is heard after N / most * patience_s at the latest. Times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Crowd(Generic[T]):
    """`most`: callers that are listened to at once; `patience_s`: what each has while others wait."""

    most: int
    patience_s: float
    _since: dict[T, float] = field(default_factory=dict)  # the longest silent first

    def __len__(self) -> int:
        return len(self._since)

    def enter(self, caller: T, now: float) -> None:
        self._since[caller] = now

    def leave(self, caller: T) -> None:
        """Its line is whole, or it is gone; a second leave does nothing."""
        self._since.pop(caller, None)

    def wait_s(self, now: float) -> float:
        """How long the next caller has to wait to be let in; 0: there is room, or one may be made to go."""
        if len(self._since) < self.most:
            return 0.0
        return max(0.0, min(self._since.values()) + self.patience_s - now)

    def gives_way(self, now: float) -> T | None:
        """Who has to go for the next caller, None if nobody need or may yet."""
        if len(self._since) < self.most or self.wait_s(now) > 0.0:
            return None
        return next(iter(self._since))
