"""The receiving side's guard: an action of a duty that carries a lower token than one seen is refused.

A holder may be stopped between looking at its clock and acting, for longer than its lease. Nothing that it
can do itself helps then: only who receives the action knows that a later holder has been here. No I/O.
"""

from __future__ import annotations


class Fence:
    """The highest token seen by duty, `most` duties at most (a sender that makes up duties is refused)."""

    def __init__(self, most: int = 64) -> None:
        self._most = most
        self._seen: dict[str, int] = {}

    def admit(self, duty: str, token: int) -> bool:
        seen = self._seen.get(duty, 0)
        if token < max(seen, 1) or (duty not in self._seen and len(self._seen) >= self._most):
            return False
        self._seen[duty] = token
        return True
