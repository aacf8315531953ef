"""Latency accounts of a running gateway, printed as one line of JSON on request."""

from __future__ import annotations

import json

from rackseam.interface import Settings
from stackrouter.accounts.accounts import Accounts
from stackrouter.accounts.book import Book
from stackrouter.core import facts

MAX_CAUSES_SHOWN = 10  # in the line, and four times as many pairs


class Live:
    """Subscribes to one gateway's facts. Other gateways' work shows in the nodes' reports, with a delay."""

    def __init__(self, settings: Settings, plans: list[str], classes: list[str], pairs: int) -> None:
        self._names = plans, classes
        self.book = Book(pairs)
        rates = [plan.usual_units_per_s for plan in settings.plans]
        self.accounts = Accounts(rates, settings.max_units, self.book.add_closed, single_gateway=True)

    def __call__(self, fact: facts.Fact) -> None:
        self.accounts.process(0, fact)

    def line(self) -> str:
        return json.dumps(
            {"latency": self.book.figures(*self._names, most=MAX_CAUSES_SHOWN)}, separators=(",", ":")
        )
