"""Figures that nodes add to their answers: use of the volume, units served elsewhere, the load report."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from rackseam.interface import Outcome
from stackrouter.core.model import Reply

USED, COST = "used", "cost"


MOST = 1e6  # no node tells more: such a figure is noise


def reply_with(outcome: Outcome, value: Any, texts: Iterable[bytes], exact: bool) -> Reply:
    """A reply with the figures of `name=number,...` texts; what cannot be one is skipped."""
    figures: dict[str, float] = {}
    for text in texts:
        for pair in text.decode("ascii", "replace").split(","):
            name, _, number = pair.partition("=")
            try:
                amount = float(number)
            except ValueError:
                continue
            if 0 <= amount <= MOST:
                figures[name] = amount
    used, cost = figures.pop(USED, None), figures.pop(COST, 0.0)
    return Reply(outcome, value, None if used is None else round(used), cost, figures, exact)
