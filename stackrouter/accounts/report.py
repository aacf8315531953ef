"""Computes figures from traces in two passes: over the beginning to learn baselines, then over everything."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from stackrouter.accounts.accounts import Accounts
from stackrouter.accounts.book import DEFAULT_PAIRS, Book
from stackrouter.accounts.ledger import NodeBaseline
from stackrouter.core import facts
from stackrouter.errors import MixedTracesError

BASELINE_FACTS = 150_000  # facts of the first pass: minutes of a gateway's traffic, seconds to process

Stream = Iterator[tuple[int, facts.Fact]]


@dataclass(frozen=True, slots=True)
class UsualRates:
    """Plans with the rates that their volumes are sized for, classes, and units of the largest request."""

    plans: tuple[tuple[str, float], ...]  # name, usual units per second
    classes: tuple[str, ...]
    largest_units: float


def learn_baselines(usual: UsualRates, stream: Stream) -> dict[str, NodeBaseline]:
    """Baselines of all nodes, from the first facts of the stream."""
    accounts = Accounts(_usual_rates(usual), usual.largest_units, lambda at, request, split, charges: None)
    for gateway, fact in islice(stream, BASELINE_FACTS):
        accounts.process(gateway, fact)
    return {node: ledger.baseline() for node, ledger in accounts.ledgers.items()}


def account_for(usual: UsualRates, open_stream: Callable[[], Stream], pairs: int = DEFAULT_PAIRS,
                each: Callable[[int], None] = lambda count: None) -> Book:  # fmt: skip
    """Account for all facts. `open_stream` is called twice; `each` is passed the number of facts read."""
    book = Book(pairs)
    accounts = Accounts(
        _usual_rates(usual), usual.largest_units, book.add_closed, learn_baselines(usual, open_stream())
    )
    count = 0
    for count, (gateway, fact) in enumerate(open_stream(), 1):
        accounts.process(gateway, fact)
        if not count % 20_000:
            each(count)
    each(count)
    return book


def _usual_rates(usual: UsualRates) -> list[float]:
    return [rate for _, rate in usual.plans]


def figures(book: Book, usual: UsualRates, max_rows: int = 50) -> dict[str, Any]:
    """The sums as plain values, with the names of plans and classes."""
    return book.figures([name for name, _ in usual.plans], list(usual.classes), max_rows)


def common_settings(usuals: Iterable[UsualRates]) -> UsualRates:
    """The common settings of all traces. Raises MixedTracesError if they differ."""
    found = set(usuals)
    if len(found) != 1:
        raise MixedTracesError("the traces are of gateways with different plans or classes")
    return found.pop()
