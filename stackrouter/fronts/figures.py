"""Parses the figures in nodes' answers: use of the volume, units served elsewhere, the load report."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rackseam.interface import Outcome
from stackrouter.core.model import Reply

USED, COST = "used", "cost"


MAX_FIGURE = 1e6  # no node reports a larger figure, so it is ignored as noise


def reply_with(outcome: Outcome, value: Any, texts: Iterable[bytes], exact: bool) -> Reply:
    """Build a reply with the figures from `name=number,...` texts; invalid or out-of-range pairs are skipped.

    `used` is in percent, `cost` in units served elsewhere; all others form the load report.
    """
    figures: dict[str, float] = {}
    for text in texts:
        for pair in text.decode("ascii", "replace").split(","):
            name, _, number = pair.partition("=")
            try:
                amount = float(number)
            except ValueError:
                continue
            if 0 <= amount <= MAX_FIGURE:
                figures[name] = amount
    used, cost = figures.pop(USED, None), figures.pop(COST, 0.0)
    return Reply(outcome, value, None if used is None else round(used), cost, figures, exact)
