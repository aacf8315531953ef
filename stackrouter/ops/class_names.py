"""Which class each name stands for, while changed configurations follow one another, without I/O.

Clients begin to use the classes of a new file `BIND_DELAY_S` after its signal, whatever other files follow in
between. Times are monotonic seconds given by the caller.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

BIND_DELAY_S = 1.2  # from the signal until clients send the new classes


@dataclass(frozen=True, slots=True)
class _Change:
    """The names of one file and the time at which they come into force."""

    due: float
    names: Mapping[str, int]


class ClassNames:
    """The class index of each name. `current`: the names now in force; changed in place."""

    def __init__(self, current: dict[str, int]) -> None:
        self.current = current
        self._changes: deque[_Change] = deque()  # at most what is signalled in BIND_DELAY_S

    def change(self, names: Mapping[str, int], now: float) -> None:
        """Takes the names of a file that was signalled now. New names are valid at once; all others come into
        force with their new class after `BIND_DELAY_S`."""
        if not self._changes or self._changes[-1].names != names:
            self._changes.append(_Change(now + BIND_DELAY_S, dict(names)))
        self._add_new_names()

    def replace(self, names: Mapping[str, int]) -> None:
        """Puts names in force at once, in place of all changes that wait."""
        self._changes.clear()
        self._put_in_force(names)

    def advance(self, now: float) -> None:
        """Puts in force what is due."""
        while self._changes and self._changes[0].due <= now:
            self._put_in_force(self._changes.popleft().names)

    def due_in(self, now: float) -> float | None:
        """Seconds until the next change is due; None if no change waits."""
        return max(0.0, self._changes[0].due - now) if self._changes else None

    def _put_in_force(self, names: Mapping[str, int]) -> None:
        self.current.clear()
        self.current.update(names)
        self._add_new_names()

    def _add_new_names(self) -> None:
        for change in self._changes:
            for name, index in change.names.items():
                self.current.setdefault(name, index)
