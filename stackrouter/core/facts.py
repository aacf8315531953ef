"""Immutable records of what the engine observed and did: the event stream that accounts and traces read.

Times are microseconds of the gateway's monotonic clock. Requests carry the engine's own numbers, not the ids
of clients; keys and bodies are left out, so that a trace identifies no end user.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from rackseam.interface import ListKind, NodeEntry, Outcome
from stackrouter.core.model import Verdict
from stackrouter.errors import log_unexpected

log = logging.getLogger(__name__)


class Taken(NamedTuple):
    """A request was accepted. `deadline_us`: when its client stops waiting. `shard` -1: any node may serve
    it."""

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
    """The first request in its volume's queue at its shard waits for tokens: `wait_us` more (-1: forever)."""

    at: int
    request: int
    wait_us: int


class Sent(NamedTuple):
    """An attempt was started; its connection may still have to be opened."""

    at: int
    request: int
    attempt: int
    node: str
    timeout_us: int


class Written(NamedTuple):
    """The attempt's last byte was written: from now on the node may process it."""

    at: int
    request: int
    attempt: int
    node: str


class Ended(NamedTuple):
    """An attempt's outcome. `used_percent` -1: not reported. `report`: the node's metrics, with its names.
    `phase`: how far it had come; empty: its answer came whole. `received_bytes`: of an answer in pieces."""

    at: int
    request: int
    attempt: int
    node: str
    outcome: Outcome
    used_percent: int
    elsewhere_units: float
    report: Mapping[str, float]
    phase: str = ""
    received_bytes: int = 0


class Answered(NamedTuple):
    """The request's final answer was written; there is exactly one. `pause_us`: the suggested retry delay."""

    at: int
    request: int
    verdict: Verdict
    pause_us: int


class GivenUp(NamedTuple):
    """The client disconnected before it was answered."""

    at: int
    request: int


class Listed(NamedTuple):
    """A list of nodes came from discovery."""

    at: int
    kind: ListKind
    version: int
    nodes: tuple[NodeEntry, ...]


Fact = Taken | Held | Sent | Written | Ended | Answered | GivenUp | Listed
Subscriber = Callable[[Fact], None]


class Tap:
    """Passes every fact to every subscriber. One that raises is removed, so that the engine continues."""

    def __init__(self) -> None:
        self.subscribers: list[Subscriber] = []

    def __call__(self, fact: Fact) -> None:
        for subscriber in tuple(self.subscribers):
            try:
                subscriber(fact)
            except Exception:
                log_unexpected(log, "a subscriber to facts failed and was removed")
                self.subscribers.remove(subscriber)
