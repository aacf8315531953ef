"""Measures connections of one gateway to storage nodes in the model of stackrouter.capacity.reuse."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.capacity.reuse import Reuse, simulate

SERVICE_S, KEEPALIVE_S = 0.02, 15.0
ATTEMPTS, SEEDS = 4_000, (1, 2, 3)
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)


def _mean_reuse(rate_s: float) -> Reuse:
    results = [simulate(rate_s, SERVICE_S, KEEPALIVE_S, ATTEMPTS, seed) for seed in SEEDS]
    return Reuse(
        sum(result.share for result in results) / len(results),
        sum(result.held for result in results) / len(results),
    )


def against_nodes(nodes: int) -> dict[str, float]:
    reuse = _mean_reuse(REQUESTS_S / nodes)
    return {"node.reuse.share_nodes": 100 * reuse.share, "node.connections.held": nodes * reuse.held}


def against_rate(rate_s: int) -> dict[str, float]:
    return {"node.reuse.share_rate": 100 * _mean_reuse(rate_s / targets.NODES).share}
