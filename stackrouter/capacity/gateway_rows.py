"""The rows of one gateway at the target size."""

from __future__ import annotations

import math
from collections.abc import Sequence

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, estimate_at, estimate_by_slope, format_number
from stackrouter.capacity.load import (
    BUCKET_REFILL_S,
    CLIENTS,
    HEARTBEATS_S,
    MAX_LOOP_HOLD_MS,
    REQUEST_AIM_S,
    REQUESTS_S,
)
from stackrouter.capacity.rows import BUILT, MISSING, PARTLY, Row, computed, estimate_at_target, row
from stackrouter.capacity.scale import ScaleRun
from stackrouter.capacity.slopes import Slopes
from stackrouter.config import CLIENT_SHARE, RESERVED_SOCKETS
from stackrouter.fronts.platform.client import CLIENT_TIMEOUTS
from stackrouter.net.list_call import MAX_ANSWER_BYTES
from stackrouter.net.listener import EARLY_CLOSE_FRACTION


def client_sockets(clients: float) -> float:
    """The setting limits.sockets at which so many idle client connections are kept open."""
    return RESERVED_SOCKETS + math.ceil(clients / EARLY_CLOSE_FRACTION / CLIENT_SHARE)


def gateway(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    """Memory, messages and CPU time of one gateway."""
    return [*_gateway_memory(slopes, runs), *_gateway_messages(slopes, runs), *_gateway_cpu(slopes, runs)]


def _gateway_memory(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    volumes = REQUESTS_S * BUCKET_REFILL_S
    idle = estimate_at(slopes, "gateway.memory.clients_idle", CLIENTS)
    busy = estimate_by_slope(slopes, "gateway.memory.clients_busy", REQUESTS_S * REQUEST_AIM_S)
    sockets = client_sockets(CLIENTS)
    list_memory = estimate_at(slopes, "gateway.memory.list", targets.NODES)
    return [
        row(
            "process with the list of 17,000 nodes, no clients",
            estimate_at(slopes, "gateway.memory.nodes", targets.NODES),
            "MiB",
            BUILT,
        ),
        row(
            "of that, what the list adds",
            estimate_at(slopes, "gateway.memory.list", targets.NODES),
            "MiB",
            BUILT,
        ),
        row(
            "control's part, whole processes, with the runs' own number of nodes",
            estimate_at_target(runs, lambda r: r.gateway_rss_mib),
            "MiB",
            BUILT,
        ),
        row(
            "control's part and the list of 17,000 nodes",
            _with_list(_control_memory(runs), list_memory),
            "MiB",
            BUILT,
            "",
            targets.MEMORY_MB,
            "MB",
        ),
        row(
            f"{format_number(volumes)} volumes remembered (asked within {BUCKET_REFILL_S:.0f} s)",
            estimate_by_slope(slopes, "gateway.memory.volumes", volumes),
            "MiB",
            BUILT,
        ),
        row(
            f"{format_number(CLIENTS)} client connections at rest",
            idle,
            "MiB",
            PARTLY,
            f"the mean one asks every {format_number(CLIENTS / REQUESTS_S)} s, and one that rests for "
            f"{CLIENT_TIMEOUTS.idle_s} s is closed: a longer setting is missing",
        ),
        row(
            f"{format_number(REQUESTS_S * REQUEST_AIM_S)} of them with an open request "
            f"({REQUEST_AIM_S} s each)",
            busy,
            "MiB",
            BUILT,
        ),
        row(
            "sockets to state in `limits`, for clients alone",
            computed(sockets, f"clients / {EARLY_CLOSE_FRACTION} / {CLIENT_SHARE} + {RESERVED_SOCKETS}"),
            "",
            BUILT,
        ),
        row(
            "connections to nodes held",
            estimate_at(slopes, "node.connections.held", targets.NODES),
            "",
            PARTLY,
            "two of five stated sockets are for nodes; each is idle nearly all the time",
        ),
    ]


def _control_memory(runs: Sequence[ScaleRun]) -> Estimate | None:
    """The highest figure of the runs with the whole list, at any number of gateways, since memory hardly
    depends on that number."""
    with_whole_list = [run for run in runs if run.nodes >= targets.NODES]
    if not with_whole_list:
        return estimate_at_target(runs, lambda r: r.gateway_rss_mib)
    run = max(with_whole_list, key=lambda run: run.gateway_rss_mib)
    source = f"scale run, {run.gateways:,} gateways with {run.nodes:,} nodes"
    return Estimate(run.gateway_rss_mib, source, targets.GATEWAYS / run.gateways)


def _with_list(control: Estimate | None, listed: Estimate | None) -> Estimate | None:
    if control is None or listed is None:
        return None
    return Estimate(control.value + listed.value, f"{control.source}; {listed.source}", control.factor)


def _gateway_messages(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    whole_list = estimate_at(slopes, "gateway.list.bytes", targets.NODES)
    snapshot = estimate_at(slopes, "replica.snapshot.bytes", targets.NODES)
    share = estimate_at(slopes, "node.reuse.share_nodes", targets.NODES)
    new_connections = (
        None if share is None else Estimate(REQUESTS_S * (1 - share.value / 100), share.source, share.factor)
    )
    max_nodes = (
        None
        if whole_list is None
        else computed(
            MAX_ANSWER_BYTES / 1024 / whole_list.value * targets.NODES,
            "4 MiB that a gateway reads at most / KiB a node",
        )
    )
    budget_kib = targets.BYTES_S / 1024
    return [
        row(
            "control's bytes, both ways",
            estimate_at_target(runs, lambda r: r.gateway_bytes_s),
            "B/s",
            BUILT,
            "",
            targets.BYTES_S,
            "B/s",
        ),
        row("heartbeats", computed(HEARTBEATS_S, "one each (touch - drift) / 4 = 450 ms"), "a second", BUILT),
        row("the whole list as discovery's JSON", whole_list, "KiB", BUILT),
        row("the same as seconds of the budget", _in_seconds(whole_list, budget_kib), "s", BUILT),
        row("the whole list as a replica's snapshot", snapshot, "KiB", BUILT),
        row("the same as seconds of the budget", _in_seconds(snapshot, budget_kib), "s", BUILT),
        row("nodes in a list that is not refused as too long", max_nodes, "", BUILT),
        row(
            "attempts that find a kept connection",
            share,
            "%",
            PARTLY,
            "each node is used every 12 s, a connection kept for 6 s; fewer nodes a gateway would keep more",
        ),
        row("new connections to nodes", new_connections, "a second", BUILT),
    ]


def _in_seconds(size: Estimate | None, budget_kib: float) -> Estimate | None:
    return (
        None if size is None else size.scaled(1 / budget_kib, f"/ {format_number(budget_kib)} KiB a second")
    )


def request_cpu(slopes: Slopes) -> Estimate | None:
    """CPU of one gateway's requests at the target, ms a second, at the expected share of kept connections."""
    kept = estimate_by_slope(slopes, "gateway.request.cpu_rate_kept", REQUESTS_S)
    new = estimate_by_slope(slopes, "gateway.request.cpu_rate_new", REQUESTS_S)
    share = estimate_at(slopes, "node.reuse.share_nodes", targets.NODES)
    if kept is None or new is None or share is None:
        return None
    kept_part = share.value / 100
    source = f"{kept.source}; {new.source}; {format_number(share.value)}% kept"
    return Estimate(kept_part * kept.value + (1 - kept_part) * new.value, source, kept.factor)


def _gateway_cpu(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    one_change = estimate_at(slopes, "gateway.list.change_cpu", targets.NODES)
    zone_nodes = targets.NODES / targets.ZONES
    lost_zone = (
        None
        if one_change is None
        else one_change.scaled(zone_nodes, f"x {format_number(zone_nodes)} entries")
    )
    missing_cores = "one process uses one core: several processes or cores a gateway (issue 13)"
    by_nodes = estimate_at(slopes, "gateway.request.cpu_nodes", targets.NODES)
    return [
        row(
            "control's part, whole processes",
            estimate_at_target(runs, lambda r: r.gateway_cpu_ms_s),
            "ms/s",
            BUILT,
            "",
            targets.CPU_MS_S,
            "ms/s",
        ),
        row(
            f"{format_number(REQUESTS_S)} requests a second on sockets",
            request_cpu(slopes),
            "ms/s",
            MISSING,
            missing_cores,
            1000.0,
            "ms/s",
        ),
        row(
            f"{format_number(CLIENTS)} connections that ask PING each 1.8 s",
            estimate_at(slopes, "gateway.clients.keep_cpu", CLIENTS),
            "ms/s",
            PARTLY,
            "see the closing after 2.2 s above",
            1000.0,
            "ms/s",
        ),
        row("one request without sockets, 17,000 nodes", by_nodes, "us", BUILT),
        row(
            "the same, 32,000 volumes remembered",
            estimate_at(slopes, "gateway.request.cpu_volumes", 32_000),
            "us",
            BUILT,
        ),
        row(
            "taking the whole list from discovery",
            estimate_at(slopes, "gateway.list.whole_cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "longest hold of the loop meanwhile",
            estimate_at(slopes, "gateway.list.longest_hold", targets.NODES),
            "ms",
            PARTLY,
            "the JSON of a whole list from discovery is parsed in one piece; a replica's list comes in parts",
            MAX_LOOP_HOLD_MS,
            "ms",
        ),
        row("one changed entry", one_change, "ms", BUILT),
        row(
            "longest hold by one changed entry",
            estimate_at(slopes, "gateway.list.change_hold", targets.NODES),
            "ms",
            BUILT,
            "",
            MAX_LOOP_HOLD_MS,
            "ms",
        ),
        row(f"a lost zone, {format_number(zone_nodes)} entries told one by one", lost_zone, "ms", BUILT),
        row(
            "reading a snapshot of 17,000 nodes",
            estimate_at(slopes, "gateway.snapshot.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "longest single part of that",
            estimate_at(slopes, "gateway.snapshot.hold", targets.NODES),
            "ms",
            BUILT,
            "",
            MAX_LOOP_HOLD_MS,
            "ms",
        ),
    ]
