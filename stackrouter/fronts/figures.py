"""Figures that nodes add to their answers: use of the volume, units served elsewhere, the load report."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from rackseam.interface import Outcome
from stackrouter.core.model import Reply

USED, COST = "used", "cost"


def reply_with(outcome: Outcome, value: Any, texts: Iterable[bytes]) -> Reply:
    """A reply with the figures of `name=number,...` texts; what is no figure is skipped."""
    figures: dict[str, float] = {}
    for text in texts:
        for pair in text.decode("ascii", "replace").split(","):
            name, _, number = pair.partition("=")
            try:
                amount = float(number)
            except ValueError:
                continue
            if math.isfinite(amount):
                figures[name] = amount
    used, cost = figures.pop(USED, None), figures.pop(COST, 0.0)
    return Reply(outcome, value, None if used is None else round(used), max(0.0, cost), figures)
