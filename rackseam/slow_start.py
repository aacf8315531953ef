"""Slow start: how much one gateway may send to a storage node that has just started and is still cold.

A cold node stays up as long as all gateways together send it no more than its budget: a number of units
within any period of `fall_us`, which grows linearly while the node warms up. Gateways do not coordinate, so
each keeps to its own share of the budget. A request is admitted in one of three ways:

- share: the units that this gateway sent within the last `fall_us` stay within an equal part of the budget;
- turn: gateways whose share is smaller than one request take turns, at a fixed rate for all of them together,
  with one request in flight each;
- answer: an answer shows that the node can handle what this gateway sent, at the rate at which it was sent
  and no higher. It admits the next request once this gateway's share of a fixed rate has earned the units of
  that request, in addition to all that the gateway has sent to the node.

Why the sum stays within the rule: for a budget of N requests of mean size in the period, the rule allows
N + `allowed_excess(N)`. Each of C gateways earns (N/2 + allowed_excess(N)) / C requests per period. Requests
admitted by share or turn are deducted from the same credit, so answers only fill up the difference. Within
any period a gateway deviates from that rate by at most its largest request, and gateways do so at different
times. The other half of N absorbs this deviation and the error of C, which each gateway estimates on its own.
A process that has just started has earned nothing.

No I/O and no clock: the current time is an argument, in microseconds of any monotonic clock. Sizes are in
request units.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import dataclass, field

from rackseam.interface import Settings

# Fraction of a cold node's budget that answers may admit, besides the allowed excess.
ANSWERS_BUDGET_FRACTION = 0.5
# Fraction of a cold node's budget that is distributed in turns of one request per gateway.
TURNS_BUDGET_FRACTION = 0.5
SMALL_BUDGET_REQUESTS = 30  # below this budget the rule allows a larger excess
MIN_COLD_SHARE = 0.1  # minimum of the cold share from which the growth of the budget is calculated
CONTENDERS_WINDOW_US = 5_000_000  # period over which requested shards are counted for `contending_gateways`


@dataclass(slots=True)
class NodeHistory:
    """When a node started, and what this gateway has sent to it within the last `fall_us`."""

    name: str
    launched_us: int = 0  # time of the node's start; 0: long ago
    in_flight: int = 0  # attempts without an outcome
    credit: float = 0.0  # units earned but not sent as of `credit_at`; below 0: sent ahead of the rate
    credit_at: int = 0
    last_sent_at: int = 0
    last_served_at: int = 0  # time of the last successful answer
    recent_sends: deque[tuple[int, float]] = field(default_factory=deque)  # (time, units) within `fall_us`

    def restarted(self, launched_us: int) -> None:
        """The node has restarted: units sent before its start no longer count."""
        self.launched_us = self.credit_at = launched_us
        self.credit = 0.0

    def record_send(self, units: float, now: int) -> None:
        """Count an attempt that is sent now."""
        self.in_flight += 1
        self.credit -= units
        self.last_sent_at = now
        self.recent_sends.append((now, units))


@dataclass(frozen=True, slots=True)
class Shares:
    """How the budget of a node is shared.

    `gateways`: number of processes of all gateways; `position`: index of this process among them, from 0;
    `contenders`: how many of them may have requests for the same node, 1 or more.
    """

    gateways: int
    position: int
    contenders: float


def contending_gateways(gateways: int, shards_asked: int, shards: int, running_us: int) -> float:
    """Estimated number of gateways that may have requests for the same node.

    It is the same fraction of all gateways as the shards requested here within `CONTENDERS_WINDOW_US`
    (`shards_asked`) are of all shards. A gateway that has been running for less than that extrapolates: since
    a burst of requests goes to one shard, the number of shards grows with about the square root of time. It
    also counts up to one shard that it has not seen yet.
    """
    observed = min(1.0, max(running_us, 1) / CONTENDERS_WINDOW_US)
    fraction = (shards_asked / math.sqrt(observed) + 1 - observed) / max(1, shards)
    return max(1.0, min(1.0, fraction) * gateways)


def allowed_excess(budget_requests: float) -> float:
    """Requests of mean size by which all gateways together may exceed a budget of `budget_requests`."""
    if budget_requests < SMALL_BUDGET_REQUESTS:
        return 3 * math.sqrt(budget_requests + 3)
    return 2 * math.sqrt(budget_requests) + 2


class SlowStart:
    """Decides when a request may go to a cold node. `started_at`: when this process began to serve."""

    def __init__(self, settings: Settings, started_at: int) -> None:
        self._settings = settings
        self._started_at = started_at
        self._growth = 0.0  # of the budget, per microsecond, relative to its initial value
        if settings.cold_us:
            self._growth = (1 / max(settings.cold_share, MIN_COLD_SHARE) - 1) / settings.cold_us

    def is_cold(self, node: NodeHistory, now: int) -> bool:
        """Whether the budget applies: the last `fall_us` reach back to a time when the node was cold."""
        since = now - self._settings.fall_us
        while node.recent_sends and node.recent_sends[0][0] <= since:
            node.recent_sends.popleft()
        if not node.launched_us or not self._settings.cold_us:
            return False
        return since - node.launched_us < self._settings.cold_us

    def admits_at(self, node: NodeHistory, units: float, now: int, shares: Shares) -> float:
        """When a request of `units` may go to this cold node.

        At most `now`: it may go now. Later: the time at which to ask again. Infinity: only an answer from the
        node can admit it.
        """
        budget = self._budget(node, now)
        share = max(1 / shares.gateways, TURNS_BUDGET_FRACTION / shares.contenders)
        if sum(sent for _, sent in node.recent_sends) + units <= share * self._share_base(node, budget, now):
            return now
        if units > budget / 2 or node.in_flight:
            return math.inf
        next_turn = self._next_turn(node, shares)
        if not node.last_served_at >= node.last_sent_at > node.launched_us:
            return next_turn
        return min(next_turn, self._earned_at(node, units, budget, now, shares))

    def _earned_at(self, node: NodeHistory, units: float, budget: float, now: int, shares: Shares) -> float:
        """When this gateway's share of the answer rate has earned `units` more than it has sent."""
        settings = self._settings
        if not budget:
            return math.inf
        requests = budget / settings.mean_units
        period_units = (ANSWERS_BUDGET_FRACTION * requests + allowed_excess(requests)) * settings.mean_units
        rate = period_units / (shares.contenders * max(1, settings.fall_us))
        since = max(node.credit_at, self._started_at)
        node.credit = min(settings.max_units, node.credit + rate * max(0, now - since))
        node.credit_at = now
        return now + math.ceil(max(0.0, units - node.credit) / rate)

    def _budget(self, node: NodeHistory, now: int) -> float:
        """Units that all gateways together may have sent within the last `fall_us`.

        It is what the node could handle at the start of that period, as it warms up at least linearly.
        """
        age = max(0, now - self._settings.fall_us - node.launched_us)
        return self._settings.cold_bears_units * (1 + self._growth * age)

    def _share_base(self, node: NodeHistory, budget: float, now: int) -> float:
        """The part of the budget that shares count from, less what a predecessor may have used.

        While the last `fall_us` reach back to before the start of this process, a previous process of this
        gateway may have used its whole share until then. The growth of the node's capacity since the start of
        that period makes up for this first.
        """
        period = max(1, self._settings.fall_us)
        part_before = 1 - (now - self._started_at) / period
        if part_before <= 0 or node.launched_us >= self._started_at:
            return budget
        gained = self._settings.cold_bears_units * self._growth * min(period, now - node.launched_us)
        return min(budget, budget * (1 - part_before) + gained)

    def _next_turn(self, node: NodeHistory, shares: Shares) -> float:
        """When this gateway's next turn begins.

        The number of turns until a given age of the node is the integral of their part of the budget, at one
        request of mean size per turn. A gateway that has sent a request waits for its next turn. A process
        that has just started does not know whether its gateway has had a turn. It takes no turn that lies
        before the period that still counts.
        """
        settings, growth = self._settings, self._growth
        rate = (
            TURNS_BUDGET_FRACTION
            * settings.cold_bears_units
            / (settings.mean_units * max(1, settings.fall_us))
        )
        if not rate:
            return math.inf
        age = max(
            0, self._started_at - settings.fall_us - node.launched_us, node.last_sent_at - node.launched_us
        )
        turns_passed = rate * age * (1 + growth * age / 2)
        # The order of the gateways differs between nodes, and between starts of a node.
        place = (
            shares.position + zlib.crc32(f"{node.name} {node.launched_us}".encode())
        ) % shares.gateways + 1
        first_turn = place * shares.contenders / shares.gateways
        round_ = max(0, math.ceil((turns_passed - first_turn) / shares.contenders))
        turn_age = (first_turn + round_ * shares.contenders) / rate
        if growth:
            turn_age = (math.sqrt(1 + 2 * growth * turn_age) - 1) / growth
        return node.launched_us + math.ceil(min(turn_age, settings.cold_us + settings.fall_us))
