"""The rows of discovery and its agent, and of a storage node as the gateways load it."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, at
from stackrouter.capacity.load import ASK_EVERY_S, CALL_S, NODE_REQUESTS_S, REQUESTS_S
from stackrouter.capacity.rows import BUILT, MISSING, PARTLY, Row, reckoned, row
from stackrouter.capacity.slopes import Slopes


def discovery(slopes: Slopes) -> list[Row]:
    """Discovery and its agent, as those who ask it load it."""
    alone_s = targets.GATEWAYS / ASK_EVERY_S
    whole = at(slopes, "gateway.list.bytes", targets.NODES)
    all_kib = None if whole is None else whole.times(targets.GATEWAYS / 1024 / 1024, "x 7,800 gateways")
    return [
        row(
            "idle watches, were each gateway to ask for itself",
            reckoned(alone_s, "7,800 / 2 s"),
            "calls/s",
            BUILT,
        ),
        row(
            "discovery's time for them",
            reckoned(alone_s * CALL_S, "x 0.13 s a call (large-fleet.md)"),
            "s/s",
            BUILT,
            "one voter asks for all, as the next rows say",
            1.0,
            "s/s",
        ),
        row("idle watches, one voter asks for all", reckoned(1 / ASK_EVERY_S, "1 / 2 s"), "calls/s", BUILT),
        row(
            "discovery's time for them",
            reckoned(CALL_S / ASK_EVERY_S, "x 0.13 s a call"),
            "s/s",
            BUILT,
            "",
            1.0,
            "s/s",
        ),
        row("the whole list to one that asks", whole, "KiB", BUILT),
        row(
            "the whole list to every gateway, after a loss of all replicas",
            all_kib,
            "GiB",
            PARTLY,
            "a gateway that was told nothing for `stale_ms` asks discovery itself; that all do so at once is "
            "bounded by their own backoff alone",
        ),
    ]


def storage_node(slopes: Slopes) -> list[Row]:
    """A storage node as the gateways load it."""
    share = at(slopes, "node.reuse.share_nodes", targets.NODES)
    new = (
        None
        if share is None
        else Estimate(NODE_REQUESTS_S * (1 - share.value / 100), share.source, share.factor)
    )
    held = at(slopes, "node.connections.held", targets.NODES)
    mine = None if held is None else held.times(targets.GATEWAYS / targets.NODES, "x 7,800 / 17,000")
    fewer = "no gateway keeps to a part of the nodes: each may ask any"
    return [
        row("requests", reckoned(NODE_REQUESTS_S, "11 million / 17,000"), "a second", BUILT),
        row(
            "requests of one gateway",
            reckoned(REQUESTS_S / targets.NODES, "1,410 / 17,000"),
            "a second",
            BUILT,
        ),
        row("new connections", new, "a second", PARTLY, fewer),
        row("connections that gateways hold", mine, "", PARTLY, fewer),
        row(
            "gateways that may connect at once",
            reckoned(targets.GATEWAYS, "all"),
            "",
            MISSING,
            "nothing spreads first connections to a node that comes back but cold nodes' turns",
        ),
        row(
            "a gateway's first attempt at a cold node",
            at(slopes, "module.cold.first_send", targets.GATEWAYS),
            "s",
            PARTLY,
            "turns go round all gateways; see the even parts below",
        ),
    ]
