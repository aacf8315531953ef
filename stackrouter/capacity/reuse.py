"""A model of kept connections to storage nodes: the share of attempts that find one. No I/O, time in seconds.

The rule is that of net/pool.py: a connection carries one attempt at a time; an idle one may be reused within
0.4 of the node's keep-alive, the most recently used first, and is then closed. The model leaves out what the
pool learns from resets and its limit on sockets. Attempts at a node arrive at random (Poisson), spread evenly
over the nodes.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass

IDLE_REUSE_FRACTION = 0.4  # as in net/pool.py; tests/test_capacity.py checks that both are equal


@dataclass(frozen=True, slots=True)
class Reuse:
    """`share`: part of the attempts that found a kept connection; `held`: mean number of connections, idle or
    busy, that one gateway holds to one node."""

    share: float
    held: float


def simulate(rate_s: float, service_s: float, keepalive_s: float, attempts: int, seed: int) -> Reuse:
    """Simulate `attempts` attempts of one gateway at one node, `rate_s` a second."""
    rng, keep_s = random.Random(seed), keepalive_s * IDLE_REUSE_FRACTION
    idle: list[float] = []  # time since when each is idle, oldest first
    busy: list[float] = []  # heap of the times at which attempts end
    now = held_s = 0.0
    reused = 0
    for _ in range(attempts):
        now += rng.expovariate(rate_s)
        while busy and busy[0] <= now:
            idle.append(heapq.heappop(busy))
        expired = sum(since <= now - keep_s for since in idle)
        held_s += expired * keep_s
        del idle[:expired]
        if idle:
            held_s += now - idle.pop()
            reused += 1
        held_s += service_s
        heapq.heappush(busy, now + service_s)
    return Reuse(reused / attempts, held_s / now)


def expected_share(rate_s: float, service_s: float, keepalive_s: float) -> float:
    """The share that the model approaches where attempts hardly ever overlap: the probability that the next
    attempt arrives after the connection is free and before it is closed."""
    keep_s = keepalive_s * IDLE_REUSE_FRACTION
    return math.exp(-rate_s * service_s) - math.exp(-rate_s * (service_s + keep_s))
