"""The rows of discovery and its agent, and of a storage node under the load of all gateways."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, estimate_at
from stackrouter.capacity.load import DISCOVERY_CALL_S, DISCOVERY_INTERVAL_S, NODE_REQUESTS_S, REQUESTS_S
from stackrouter.capacity.rows import BUILT, MISSING, PARTLY, Row, computed, row
from stackrouter.capacity.slopes import Slopes


def discovery(slopes: Slopes) -> list[Row]:
    """Discovery and its agent under the load of their callers."""
    separate_calls_s = targets.GATEWAYS / DISCOVERY_INTERVAL_S
    whole_list = estimate_at(slopes, "gateway.list.bytes", targets.NODES)
    all_gib = (
        None if whole_list is None else whole_list.scaled(targets.GATEWAYS / 1024 / 1024, "x 7,800 gateways")
    )
    return [
        row(
            "idle watches, were each gateway to ask for itself",
            computed(separate_calls_s, "7,800 / 2 s"),
            "calls/s",
            BUILT,
        ),
        row(
            "discovery's time for them",
            computed(separate_calls_s * DISCOVERY_CALL_S, "x 0.13 s a call (large-fleet.md)"),
            "s/s",
            BUILT,
            "one voter asks for all, as the next rows say",
            1.0,
            "s/s",
        ),
        row(
            "idle watches, one voter asks for all",
            computed(1 / DISCOVERY_INTERVAL_S, "1 / 2 s"),
            "calls/s",
            BUILT,
        ),
        row(
            "discovery's time for them",
            computed(DISCOVERY_CALL_S / DISCOVERY_INTERVAL_S, "x 0.13 s a call"),
            "s/s",
            BUILT,
            "",
            1.0,
            "s/s",
        ),
        row("the whole list to one that asks", whole_list, "KiB", BUILT),
        row(
            "the whole list to every gateway, after a loss of all replicas",
            all_gib,
            "GiB",
            PARTLY,
            "a gateway that was told nothing for `stale_ms` asks discovery itself; that all do so at once is "
            "bounded by their own backoff alone",
        ),
    ]


def storage_node(slopes: Slopes) -> list[Row]:
    """A storage node under the load of all gateways."""
    share = estimate_at(slopes, "node.reuse.share_nodes", targets.NODES)
    new_connections = (
        None
        if share is None
        else Estimate(NODE_REQUESTS_S * (1 - share.value / 100), share.source, share.factor)
    )
    held = estimate_at(slopes, "node.connections.held", targets.NODES)
    held_connections = (
        None if held is None else held.scaled(targets.GATEWAYS / targets.NODES, "x 7,800 / 17,000")
    )
    no_subset = "no gateway keeps to a part of the nodes: each may ask any"
    return [
        row("requests", computed(NODE_REQUESTS_S, "11 million / 17,000"), "a second", BUILT),
        row(
            "requests of one gateway",
            computed(REQUESTS_S / targets.NODES, "1,410 / 17,000"),
            "a second",
            BUILT,
        ),
        row("new connections", new_connections, "a second", PARTLY, no_subset),
        row("connections that gateways hold", held_connections, "", PARTLY, no_subset),
        row(
            "gateways that may connect at once",
            computed(targets.GATEWAYS, "all"),
            "",
            MISSING,
            "nothing spreads first connections to a node that comes back but cold nodes' turns",
        ),
        row(
            "a gateway's first attempt at a cold node",
            estimate_at(slopes, "module.cold.first_send", targets.GATEWAYS),
            "s",
            PARTLY,
            "turns go round all gateways; see the even parts below",
        ),
    ]
