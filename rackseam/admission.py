"""Admission: whether a request that has just come can still be served within its aim.

While a queue stands, what waits in it longest is served just in time or not at all, so a request that finds
it full enough is refused at once: its client can come back later, and its connection is free. The wait is
estimated by Little's law, from what waits before the request and the pace at which it leaves:

- at a node: units that wait in the request's own queue, over its share by weight of the units a second
  that the node has served here. It counts only while ready requests have waited for room without a break for
  `STANDING_AIMS` tightest aims: until then a short burst waits, and the pace says what was asked, not what
  the node bears.
- under a limit: units of the volume that wait for tokens, over the limit's rate.

Pure: time is an argument, in microseconds of any steady clock; units are the requests' own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STANDING_AIMS = 1.0  # tightest aims for which a queue has to stand before its wait is estimated


@dataclass(slots=True)
class Backlog:
    """What waits at one shard. `weight`: sum of the weights of the queues in which something waits."""

    weight: float = 0.0
    standing_since: int = -1  # since when ready requests wait for room without a break; -1: none does

    def stands(self, now: int) -> None:
        if self.standing_since < 0:
            self.standing_since = now

    def cleared(self) -> None:
        self.standing_since = -1


def node_wait_us(
    backlog: Backlog, now: int, aim_us: float, weight: float, queued: float, units: float, rate: float,
    rate_memory_us: float,
) -> float:  # fmt: skip
    """Estimated wait of a request of `units` behind `queued` units of its own queue; 0: no queue stands.

    `rate`: units a second that the nodes serve here, averaged exponentially over `rate_memory_us`. It has
    seen the standing queue only so long, so it is scaled by the part of its memory that lies in that time.
    """
    if backlog.standing_since < 0 or not backlog.weight:
        return 0.0
    standing_us = now - backlog.standing_since
    if standing_us < aim_us * STANDING_AIMS:
        return 0.0
    seen = 1 - math.exp(-standing_us / rate_memory_us)
    weights = backlog.weight if queued else backlog.weight + weight
    share = rate / seen * weight / weights
    if share <= 0:
        return math.inf
    return (queued + units) * 1e6 / share


def limit_wait_us(wait_alone_us: float, waiting: float, rate: float) -> float:
    """Wait for tokens behind `waiting` units of the same volume. `wait_alone_us`: if nothing stood before it;
    `rate`: units a microsecond. 0: tokens suffice now, and nothing waits for them."""
    if wait_alone_us <= 0:
        return 0.0
    return wait_alone_us + waiting / rate
