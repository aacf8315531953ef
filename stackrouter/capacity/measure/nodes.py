"""Connections of one gateway to storage nodes, in the model of stackrouter.capacity.reuse."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.capacity.reuse import Reuse, play

SERVICE_S, KEEPALIVE_S = 0.02, 15.0
ATTEMPTS, SEEDS = 4_000, (1, 2, 3)
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)


def _mean(rate_s: float) -> Reuse:
    played = [play(rate_s, SERVICE_S, KEEPALIVE_S, ATTEMPTS, seed) for seed in SEEDS]
    return Reuse(sum(p.share for p in played) / len(played), sum(p.held for p in played) / len(played))


def against_nodes(nodes: int) -> dict[str, float]:
    reuse = _mean(REQUESTS_S / nodes)
    return {"node.reuse.share_nodes": 100 * reuse.share, "node.connections.held": nodes * reuse.held}


def against_rate(rate_s: int) -> dict[str, float]:
    return {"node.reuse.share_rate": 100 * _mean(rate_s / targets.NODES).share}
