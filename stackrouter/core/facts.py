"""What the engine saw and did, as small immutable records: the one stream that accounts and traces read.

Times are microseconds of the gateway's monotonic clock. Requests are the engine's own numbers, not the ids of
clients; keys and bodies are left out, so that a trace names no player.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from rackseam.interface import ListKind, NodeEntry, Outcome
from stackrouter.core.model import Verdict
from stackrouter.errors import defect

log = logging.getLogger(__name__)


class Taken(NamedTuple):
    """A request was taken. `deadline_us`: when its client gives up. `shard` -1: any node may have it."""

    at: int
    request: int
    request_class: int
    plan: int
    volume: str
    units: float
    shard: int
    gateways: int
    deadline_us: int
    repeat: bool
    write: bool


class Held(NamedTuple):
    """The head of its volume's queue at its shard lacks tokens; they suffice after `wait_us` (-1: never)."""

    at: int
    request: int
    wait_us: int


class Sent(NamedTuple):
    """An attempt was started, on a connection that may yet have to be made."""

    at: int
    request: int
    attempt: int
    node: str
    timeout_us: int


class Written(NamedTuple):
    """The attempt's last byte was written: from here on the node may work on it."""

    at: int
    request: int
    attempt: int
    node: str


class Ended(NamedTuple):
    """An attempt's outcome. `used_percent` -1: not told. `report`: the node's figures, as it named them."""

    at: int
    request: int
    attempt: int
    node: str
    outcome: Outcome
    used_percent: int
    elsewhere_units: float
    report: Mapping[str, float]


class Answered(NamedTuple):
    """The one final answer."""

    at: int
    request: int
    verdict: Verdict
    pause_us: int


class GivenUp(NamedTuple):
    """The client went away before its answer."""

    at: int
    request: int


class Listed(NamedTuple):
    at: int
    kind: ListKind
    version: int
    nodes: tuple[NodeEntry, ...]


Fact = Taken | Held | Sent | Written | Ended | Answered | GivenUp | Listed
Subscriber = Callable[[Fact], None]


class Tap:
    """Hands every fact to every subscriber. One that raises is dropped: the engine must go on."""

    def __init__(self) -> None:
        self.subscribers: list[Subscriber] = []

    def __call__(self, fact: Fact) -> None:
        for subscriber in tuple(self.subscribers):
            try:
                subscriber(fact)
            except Exception:
                defect(log, "a reader of facts failed and is dropped")
                self.subscribers.remove(subscriber)
