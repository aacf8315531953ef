"""Slow start: what one gateway may send a storage node that has just started, and is cold.

A cold node stays up while all gateways together send it no more than its budget: so many units within the
fall span, growing evenly while it warms. Gateways do not talk to each other, so each keeps to a share of the
budget. A request is admitted by any of three ways:

- the share: what this gateway sent within the fall span stays within an even part of the budget;
- a turn: gateways whose share is below one request come in turn, at a stated pace for all together, and have
  one request out each;
- an answer: it shows that the node bears what this gateway sent, at the pace at which it was sent, not more.
  So it lets the next request out once this gateway's share of a stated pace has earned that request's units,
  beyond all that it has sent there.

Why the sum keeps the rule: with a budget of N requests of mean work in the span, the rule allows
N + `chance(N)`. Each of C gateways earns (N/2 + chance(N)) / C requests in a span. What the share and the
turns let out is taken from the same earnings, so answers only fill up to that pace. In any span a gateway
differs from it by at most its largest request, at a moment of its own; the other half of N is left for that
spread and for the error of C, which each gateway estimates alone. A process that has just started has earned
nothing.

Pure: time is an argument, in microseconds of any steady clock; units are the requests' own.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from dataclasses import dataclass, field

from rackseam.interface import Settings

ANSWERS_PART = 0.5  # part of a cold node's budget that answers may let out, beside the rule's chance
TURNS_PART = 0.5  # part of a cold node's budget that is dealt out in turns of one request a gateway
SMALL_BUDGET = 30  # requests; the rule allows more chance below it
LEAST_COLD_SHARE = 0.1  # a cold share stated below this is not believed when the budget's growth is reckoned
CONTENDERS_MEMORY_US = 5_000_000  # shards asked for within this long tell how many gateways share one


@dataclass(slots=True)
class NodeHistory:
    """What this gateway knows of one node's start, and what it sent there. Bounded by the fall span."""

    name: str
    launched: int = 0  # when it started; 0: long ago
    out: int = 0  # attempts without an outcome
    credit: float = 0.0  # units earned and not sent at the time `credit_at`; below 0: sent ahead of the pace
    credit_at: int = 0
    sent_at: int = 0  # when the last attempt was sent
    answered_at: int = 0  # when the last answer came that served a request
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # when, and units, within the fall span

    def restarted(self, launched: int) -> None:
        """The node has started anew: nothing counts that was sent to its last run."""
        self.launched = self.credit_at = launched
        self.credit = 0.0

    def record_send(self, units: float, now: int) -> None:
        self.out += 1
        self.credit -= units
        self.sent_at = now
        self.sent.append((now, units))


@dataclass(frozen=True, slots=True)
class Shares:
    """Among how many a budget is split. `gateways`: processes of all gateways; `position`: this one's place
    among them, from 0; `contenders`: how many of them may have work for one node, 1 or more."""

    gateways: int
    position: int
    contenders: float


def contending_gateways(gateways: int, shards_asked: int, shards: int, running_us: int) -> float:
    """Gateways that may have work for one node: such a part of all as the shards asked for here are of all.

    `shards_asked`: within `CONTENDERS_MEMORY_US`. A gateway that has just started reckons from its first
    moments: bursts ask for one shard, so their number grows about as the root of the time; and one more that
    it has not seen yet.
    """
    seen = min(1.0, max(running_us, 1) / CONTENDERS_MEMORY_US)
    part = (shards_asked / math.sqrt(seen) + 1 - seen) / max(1, shards)
    return max(1.0, min(1.0, part) * gateways)


def chance(budget_requests: float) -> float:
    """Requests of mean work by which all gateways together may pass a budget of so many, by the rule."""
    if budget_requests < SMALL_BUDGET:
        return 3 * math.sqrt(budget_requests + 3)
    return 2 * math.sqrt(budget_requests) + 2


class SlowStart:
    """Whether one more request may go to a cold node now. `started_at`: when this process began to serve."""

    def __init__(self, settings: Settings, started_at: int) -> None:
        self._settings = settings
        self._started_at = started_at
        self._growth = 0.0  # of the budget, in parts of its first value a microsecond
        if settings.cold_us:
            self._growth = (1 / max(settings.cold_share, LEAST_COLD_SHARE) - 1) / settings.cold_us

    def is_cold(self, node: NodeHistory, now: int) -> bool:
        """Whether the budget binds: a span that began while the node was cold has not passed."""
        since = now - self._settings.fall_us
        while node.sent and node.sent[0][0] <= since:
            node.sent.popleft()
        if not node.launched or not self._settings.cold_us:
            return False
        return since - node.launched < self._settings.cold_us

    def admits_at(self, node: NodeHistory, units: float, now: int, shares: Shares) -> float:
        """When a request of so many units may go to this cold node: `now` or before, when to look again, or
        infinity when only an answer can change it."""
        budget = self._budget(node, now)
        part = max(1 / shares.gateways, TURNS_PART / shares.contenders)
        if sum(sent for _, sent in node.sent) + units <= part * self._left_by_predecessor(node, budget, now):
            return now
        if units > budget / 2 or node.out:
            return math.inf
        next_turn = self._next_turn(node, shares)
        if not node.answered_at >= node.sent_at > node.launched:
            return next_turn
        return min(next_turn, self._earned_at(node, units, budget, now, shares))

    def _earned_at(self, node: NodeHistory, units: float, budget: float, now: int, shares: Shares) -> float:
        """When this gateway's share of the answers' pace has earned so many units, beyond all it sent."""
        s = self._settings
        if not budget:
            return math.inf
        requests = budget / s.mean_units
        most = (ANSWERS_PART * requests + chance(requests)) * s.mean_units
        pace = most / (shares.contenders * max(1, s.fall_us))
        since = max(node.credit_at, self._started_at)
        node.credit = min(s.max_units, node.credit + pace * max(0, now - since))
        node.credit_at = now
        return now + math.ceil(max(0.0, units - node.credit) / pace)

    def _budget(self, node: NodeHistory, now: int) -> float:
        """Units within the span that ends now. The node warms at least evenly: it bears what it did at the
        span's start."""
        age = max(0, now - self._settings.fall_us - node.launched)
        return self._settings.cold_bears_units * (1 + self._growth * age)

    def _left_by_predecessor(self, node: NodeHistory, budget: float, now: int) -> float:
        """What of the budget counts for shares, while the span reaches back to before this process began.

        A process that ran before it, on this gateway, may have used the whole share until then. What the node
        has gained since the span's start makes up for that first.
        """
        span = max(1, self._settings.fall_us)
        part_before = 1 - (now - self._started_at) / span
        if part_before <= 0 or node.launched >= self._started_at:
            return budget
        gained = self._settings.cold_bears_units * self._growth * min(span, now - node.launched)
        return min(budget, budget * (1 - part_before) + gained)

    def _next_turn(self, node: NodeHistory, shares: Shares) -> float:
        """When this gateway's next turn begins.

        Turns passed by an age: the integral of their part of the budget, a mean request each. A gateway that
        has sent waits for its next turn; one that has just started cannot know whether it had, and takes none
        that came before what still counts.
        """
        s, growth = self._settings, self._growth
        pace = TURNS_PART * s.cold_bears_units / (s.mean_units * max(1, s.fall_us))
        if not pace:
            return math.inf
        age = max(0, self._started_at - s.fall_us - node.launched, node.sent_at - node.launched)
        turns_passed = pace * age * (1 + growth * age / 2)
        place = (shares.position + zlib.crc32(f"{node.name} {node.launched}".encode())) % shares.gateways + 1
        first = place * shares.contenders / shares.gateways
        round_ = max(0, math.ceil((turns_passed - first) / shares.contenders))
        due = (first + round_ * shares.contenders) / pace
        if growth:
            due = (math.sqrt(1 + 2 * growth * due) - 1) / growth
        return node.launched + math.ceil(min(due, s.cold_us + s.fall_us))
