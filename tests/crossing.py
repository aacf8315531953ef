"""What comes between two lines: each crossing of a close, an answer or a list is forced, not awaited.

A gate stands at a named point of the real code; what is to come in between is sent while it is held, and has
arrived (a condition waited on) before it is let go.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

TIMES = 50  # each crossing, without a miss
PATIENCE_S = 5.0


def wait_until(holds: Callable[[], bool], what: str = "") -> None:
    with gevent.Timeout(PATIENCE_S, AssertionError(f"never came: {what}")):
        while not holds():
            gevent.sleep(0.001)
