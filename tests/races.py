"""Helpers for tests that force a race between two steps of the code instead of hoping for it to happen.

A test blocks the real code at a given point, sends the event that is to come in between (a close, an answer,
a list), waits for a condition that shows its arrival, and then releases the code.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

REPETITIONS = 50  # repetitions of each race; every one must pass
PATIENCE_S = 5.0


def wait_until(holds: Callable[[], bool], what: str = "") -> None:
    """Waits for a condition; AssertionError after PATIENCE_S. `what`: the condition in words."""
    with gevent.Timeout(PATIENCE_S, AssertionError(f"condition not met in time: {what}")):
        while not holds():
            gevent.sleep(0.001)
