"""From traces to figures: what was learned in a first look at the start is used in the look at all of it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from stackrouter.accounts.accounts import Accounts
from stackrouter.accounts.book import PAIRS, Book
from stackrouter.accounts.ledger import Learned
from stackrouter.core import facts
from stackrouter.errors import MixedTracesError

LEARN_FACTS = 150_000  # facts of the first look: minutes of a gateway's time, seconds of a machine's

Stream = Iterator[tuple[int, facts.Fact]]


@dataclass(frozen=True, slots=True)
class Usual:
    """What a plan's volumes are sized for, and the units of the largest request."""

    plans: tuple[tuple[str, float], ...]  # name, usual units a second
    classes: tuple[str, ...]
    largest_units: float


def learn(usual: Usual, stream: Stream) -> dict[str, Learned]:
    """What every node is like while nobody exceeds the usual."""
    accounts = Accounts(_rates(usual), usual.largest_units, lambda at, life, split, charges: None)
    for gateway, fact in islice(stream, LEARN_FACTS):
        accounts.read(gateway, fact)
    return {node: ledger.learned() for node, ledger in accounts.ledgers.items()}


def read(usual: Usual, open_stream: Callable[[], Stream], pairs: int = PAIRS,
         each: Callable[[int], None] = lambda count: None) -> Book:  # fmt: skip
    """The books of all facts. `open_stream` is called twice; `each` hears of progress, by facts read."""
    book = Book(pairs)
    accounts = Accounts(_rates(usual), usual.largest_units, book.closed, learn(usual, open_stream()))
    count = 0
    for count, (gateway, fact) in enumerate(open_stream(), 1):
        accounts.read(gateway, fact)
        if not count % 20_000:
            each(count)
    each(count)
    return book


def _rates(usual: Usual) -> list[float]:
    return [rate for _, rate in usual.plans]


def figures(book: Book, usual: Usual, most: int = 50) -> dict[str, Any]:
    return book.figures([name for name, _ in usual.plans], list(usual.classes), most)


def same(usuals: Iterable[Usual]) -> Usual:
    """MixedTracesError: traces of gateways that were set up differently."""
    found = set(usuals)
    if len(found) != 1:
        raise MixedTracesError("the traces are of gateways with different plans or classes")
    return found.pop()
