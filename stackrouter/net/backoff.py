"""How long to leave a service alone that has turned a call away. No I/O; the caller waits."""

from __future__ import annotations

import random


class Backoff:
    """Waits that double from `least_s` to `most_s`, each drawn between a half of it and one and a half.

    Guards against callers that are refused together and so come back together: forty gateways that each ask
    ten times a second keep an overbooked service refusing for good.
    """

    def __init__(self, least_s: float, most_s: float, rng: random.Random) -> None:
        self._least, self._most, self._random = least_s, most_s, rng
        self._next = least_s

    def refused(self) -> float:
        """Seconds to wait before the next call."""
        wait, self._next = self._next, min(self._next * 2, self._most)
        return wait * (0.5 + self._random.random())

    def answered(self) -> None:
        self._next = self._least
