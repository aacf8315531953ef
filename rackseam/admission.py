"""Admission control: whether a new request can still be answered within its aim (target latency).

While a queue persists, its oldest requests are served just in time or too late. A request that would wait
past its aim is therefore refused on arrival: the client can retry later, and its connection is free at once.
The wait is estimated by Little's law from the queue ahead of the request and the rate at which it drains:

- at a node: units in the request's own queue, divided by that queue's weighted share of the rate at which the
  node serves this gateway. It counts only once ready requests have waited for capacity without a break for
  `STANDING_AIMS` tightest aims. Until then a short burst may queue, and the measured rate reflects the demand
  rather than what the node can serve.
- under a limit: units of the volume that wait for tokens, divided by the rate of the limit.

No I/O and no clock: the current time is an argument, in microseconds of any monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STANDING_AIMS = 1.0  # tightest aims for which a queue must persist before its wait is estimated


@dataclass(slots=True)
class Backlog:
    """The queues at one shard. `weight`: sum of the weights of the non-empty ones."""

    weight: float = 0.0
    standing_since: int = -1  # since when ready requests have waited without a break; -1: none waits

    def mark_standing(self, now: int) -> None:
        if self.standing_since < 0:
            self.standing_since = now

    def mark_cleared(self) -> None:
        self.standing_since = -1


def node_wait_us(
    backlog: Backlog, now: int, aim_us: float, weight: float, queued: float, units: float, rate: float,
    rate_time_constant_us: float,
) -> float:  # fmt: skip
    """Estimated wait of a request of `units` behind `queued` units of its own queue; 0: no queue persists.

    `rate`: units per second served here by the nodes, averaged exponentially with `rate_time_constant_us`.
    The average has covered only the time since the queue began, so it is scaled up by the part of its weight
    that lies within that time.
    """
    if backlog.standing_since < 0 or not backlog.weight:
        return 0.0
    standing_us = now - backlog.standing_since
    if standing_us < aim_us * STANDING_AIMS:
        return 0.0
    covered = 1 - math.exp(-standing_us / rate_time_constant_us)
    total_weight = backlog.weight if queued else backlog.weight + weight
    share = rate / covered * weight / total_weight
    if share <= 0:
        return math.inf
    return (queued + units) * 1e6 / share


def limit_wait_us(wait_alone_us: float, queued: float, rate: float) -> float:
    """Estimated wait for tokens behind `queued` units of the same volume; 0: the tokens suffice now.

    `wait_alone_us`: the wait without a queue; `rate`: units per microsecond.
    """
    if wait_alone_us <= 0:
        return 0.0
    return wait_alone_us + queued / rate
