"""A model of kept connections to storage nodes: how many attempts find one. No I/O, time in seconds.

The rule is the pool's (net/pool.py): a connection carries one attempt at a time; one that is idle may be used
again within 0.4 of the node's keep-alive, the one used last first; after that it is closed. What the pool
learns from resets, and the bound on its sockets, are left out. Attempts for a node come at random (Poisson),
spread evenly over the nodes.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass

IDLE_PART = 0.4  # as in net/pool.py; tests/test_capacity.py holds the two together


@dataclass(frozen=True, slots=True)
class Reuse:
    """`share`: of the attempts, those that found a kept connection; `held`: connections that one gateway
    holds to one node on the mean, idle or not."""

    share: float
    held: float


def play(rate_s: float, service_s: float, keepalive_s: float, attempts: int, seed: int) -> Reuse:
    """So many attempts at one node, at `rate_s` from one gateway."""
    rng, keep_s = random.Random(seed), keepalive_s * IDLE_PART
    idle: list[float] = []  # since when, oldest first
    busy: list[float] = []  # until when, a heap
    now = held_s = 0.0
    found = 0
    for _ in range(attempts):
        now += rng.expovariate(rate_s)
        while busy and busy[0] <= now:
            idle.append(heapq.heappop(busy))
        expired = sum(since <= now - keep_s for since in idle)
        held_s += expired * keep_s
        del idle[:expired]
        if idle:
            held_s += now - idle.pop()
            found += 1
        held_s += service_s
        heapq.heappush(busy, now + service_s)
    return Reuse(found / attempts, held_s / now)


def expected_share(rate_s: float, service_s: float, keepalive_s: float) -> float:
    """What the model tends to where attempts hardly ever overlap: the next one comes within the time that the
    connection is kept, and not before it is free."""
    keep_s = keepalive_s * IDLE_PART
    return math.exp(-rate_s * service_s) - math.exp(-rate_s * (service_s + keep_s))
