"""Fencing on the receiving side: rejects an action whose token is lower than one already seen for the duty.

A holder may be paused between checking its clock and acting, for longer than its lease lasts. It cannot
detect this by itself; only the receiver of the action knows that a later holder has already acted. No I/O.
"""

from __future__ import annotations


class Fence:
    """The highest token seen for each duty, for at most `max_duties` duties: further ones are rejected, so
    that a sender with invented duty names cannot exhaust memory."""

    def __init__(self, max_duties: int = 64) -> None:
        self._max_duties = max_duties
        self._highest: dict[str, int] = {}

    def admit(self, duty: str, token: int) -> bool:
        """Whether to accept an action; if so, lower tokens are rejected from now on."""
        highest = self._highest.get(duty, 0)
        if token < max(highest, 1) or (duty not in self._highest and len(self._highest) >= self._max_duties):
            return False
        self._highest[duty] = token
        return True
