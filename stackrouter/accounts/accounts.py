"""Latency accounts of one or more gateways: turns facts into latency splits and charges."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from rackseam.interface import NodeState, Outcome
from stackrouter.accounts.ledger import EXCESS_DECAY_US, Charge, Entry, Ledger, NodeBaseline
from stackrouter.accounts.split import RequestState, Split, TokenWait
from stackrouter.core import facts

USUAL_RATE_FACTOR = 1.35  # work up to this multiple of its plan's usual rate is within the usual
USUAL_BURST_S = 1.0  # a volume may exceed that by what it gains in this time plus one largest request
NEVER = 1 << 62
MAX_VOLUMES = 2048  # entries per table of volumes; the least recently used is dropped
MAX_OPEN_REQUESTS = 65_536  # the oldest is dropped: the trace does not contain its end
MAX_LEDGERS = 256  # nodes, including removed ones

K = TypeVar("K")
V = TypeVar("V")


def get_or_create(table: dict[K, V], key: K, make: Callable[[], V], capacity: int) -> V:
    """Get or create an entry and mark it as most recently used; evicts the least recently used if full."""
    value = table.pop(key, None)
    if value is None:
        value = make()
        if len(table) >= capacity:
            del table[next(iter(table))]
    table[key] = value
    return value


OnClosed = Callable[[int, RequestState, Split, list[Charge]], None]


@dataclass(slots=True)
class UsualRateBucket:
    """A token bucket filled at the volume's usual rate: work beyond its units is excess."""

    units_per_s: float
    depth: float
    units: float
    at: int
    served_units: float = 0.0  # units served through this gateway, decaying to 1/e in a second
    served_at: int = 0

    def served(self, units: float, now: int) -> None:
        self.served_units, self.served_at = self.served_per_s(now) + units, now

    def served_per_s(self, now: int) -> float:
        return self.served_units * math.exp((self.served_at - now) / 1e6) if self.served_units else 0.0

    def excess(self, units: float, now: int) -> float:
        """Take the units from the bucket; returns how many of them it lacked."""
        self.units = min(self.depth, self.units + max(0, now - self.at) * self.units_per_s / 1e6)
        self.at = max(self.at, now)
        usual = min(units, max(0.0, self.units))
        self.units -= usual
        return units - usual


class Accounts:
    """Processes facts in order of time.

    `on_closed` is called once per request with the time, the request, its split and its charges.
    `usual`: units per second, by plan. `single_gateway`: the facts are of one gateway among several.
    """

    def __init__(self, usual: Sequence[float], largest_units: float, on_closed: OnClosed,
                 baselines: Mapping[str, NodeBaseline] | None = None,
                 single_gateway: bool = False) -> None:  # fmt: skip
        self._rates, self._largest_units = usual, largest_units
        self._on_closed, self._baselines, self._single_gateway = on_closed, baselines or {}, single_gateway
        self.ledgers: dict[str, Ledger] = {}
        self._open_requests: dict[tuple[int, int], tuple[RequestState, Entry | None]] = {}
        self._token_waits: dict[tuple[int, str, int], TokenWait] = {}
        self._usual_buckets: dict[str, UsualRateBucket] = {}
        self._node_of_shard: dict[int, str] = {}  # node of each shard, as far as known

    def process(self, gateway: int, fact: facts.Fact) -> None:
        """Process the next fact of a gateway."""
        match fact:
            case facts.Ended():
                self._ended(gateway, fact)
            case facts.Sent():
                self._sent(gateway, fact)
            case facts.Written():
                self._written(gateway, fact)
            case facts.Taken():
                self._taken(gateway, fact)
            case facts.Answered() | facts.GivenUp():
                self._close(gateway, fact.request, fact.at)
            case facts.Held():
                self._held(gateway, fact)
            case facts.Listed():
                for node in fact.nodes:
                    if node.state is not NodeState.GONE:
                        self._node_of_shard[node.shard] = node.node

    def _ledger(self, node: str) -> Ledger:
        if (known := self.ledgers.get(node)) is not None:
            return known
        return get_or_create(self.ledgers, node, lambda: Ledger(self._baselines.get(node)), MAX_LEDGERS)

    def _taken(self, gateway: int, fact: facts.Taken) -> None:
        token_wait = get_or_create(
            self._token_waits, (gateway, fact.volume, fact.shard), TokenWait, MAX_VOLUMES
        )
        request = RequestState(
            gateway,
            fact.volume,
            fact.plan,
            fact.request_class,
            fact.units,
            fact.shard,
            fact.write,
            fact.at,
            token_wait,
        )
        request.excess_units = self._usual_bucket(fact).excess(fact.units, fact.at)
        entry = None
        if (node := self._node_of_shard.get(fact.shard)) is not None:
            ledger = self._ledger(node)
            entry = Entry(request, ledger)
            ledger.waiting.append(entry)
            request.node = node
        if len(self._open_requests) >= MAX_OPEN_REQUESTS:
            del self._open_requests[next(iter(self._open_requests))]
        self._open_requests[gateway, fact.request] = (request, entry)

    def _usual_bucket(self, fact: facts.Taken) -> UsualRateBucket:
        def full_bucket() -> UsualRateBucket:
            rate = USUAL_RATE_FACTOR * self._rates[fact.plan]
            depth = rate * USUAL_BURST_S + self._largest_units
            return UsualRateBucket(rate, depth, depth, fact.at)

        return get_or_create(self._usual_buckets, fact.volume, full_bucket, MAX_VOLUMES)

    def _held(self, gateway: int, fact: facts.Held) -> None:
        known = self._open_requests.get((gateway, fact.request))
        if known is not None:
            known[0].token_wait.held(fact.at, NEVER if fact.wait_us < 0 else fact.at + fact.wait_us)

    def _sent(self, gateway: int, fact: facts.Sent) -> None:
        known = self._open_requests.get((gateway, fact.request))
        if known is None:
            return
        request, entry = known
        first = not request.sends
        request.sent(fact.at, fact.attempt, fact.node)
        ledger = self._ledger(fact.node)
        if entry is None:
            entry = Entry(request, ledger)
            ledger.waiting.append(entry)
            self._open_requests[gateway, fact.request] = (request, entry)
        if first and request.excess_units > 0:
            ledger.add_excess(request.volume, request.excess_units, fact.at)

    def _written(self, gateway: int, fact: facts.Written) -> None:
        known = self._open_requests.get((gateway, fact.request))
        if known is not None and known[0].open_attempt == fact.attempt:
            known[0].written(fact.at)
            self._ledger(fact.node).arrived(known[0], fact.at)

    def _ended(self, gateway: int, fact: facts.Ended) -> None:
        known = self._open_requests.get((gateway, fact.request))
        if known is None or known[0].open_attempt != fact.attempt:
            return
        request, ledger = known[0], self._ledger(fact.node)
        served = fact.outcome is Outcome.DONE
        began = ledger.departed(request, fact.at, served)
        request.ended(fact.at, served, began)
        if self._single_gateway:
            self._estimate_elsewhere(request, ledger, fact)

    def _estimate_elsewhere(self, request: RequestState, ledger: Ledger, fact: facts.Ended) -> None:
        """Estimate the work of other gateways from two figures in the answer, both up to seconds late."""
        if "inflight" in fact.report:
            ledger.report_inflight(fact.report["inflight"])
        usual = self._usual_buckets.get(request.volume)
        if usual is None:
            return
        if fact.outcome is Outcome.DONE:
            usual.served(request.units, fact.at)
        if fact.used_percent >= 0:
            usual_per_s = usual.units_per_s / USUAL_RATE_FACTOR
            foreign_per_s = fact.used_percent / 100 * usual_per_s - usual.served_per_s(fact.at)
            if foreign_per_s > usual_per_s:
                ledger.report_elsewhere(
                    request.volume, (foreign_per_s - usual_per_s) * EXCESS_DECAY_US / 1e6, fact.at
                )

    def _close(self, gateway: int, request_id: int, at: int) -> None:
        known = self._open_requests.pop((gateway, request_id), None)
        if known is None:
            return
        request, entry = known
        split = request.closed(at)
        if entry is None:
            self._on_closed(at, request, split, [Charge(None, float(split.room + split.node + split.lost))])
            return
        ledger = self._ledger(request.node)
        ledger.service.arrivals.pop(request, None)
        entry.closed_at, entry.split, entry.causes = at, split, ledger.causes(at)
        for settled, parts, charges in entry.home.settle(at):
            self._on_closed(at, settled, parts, charges)
