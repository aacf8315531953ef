"""The rows of one gateway at the target."""

from __future__ import annotations

import math
from collections.abc import Sequence

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, at, number, slope_of
from stackrouter.capacity.load import AIM_S, CLIENTS, HEARTBEATS_S, HOLD_MS, REFILL_S, REQUESTS_S
from stackrouter.capacity.rows import BUILT, MISSING, PARTLY, Row, at_target, reckoned, row
from stackrouter.capacity.scale import ScaleRun
from stackrouter.capacity.slopes import Slopes
from stackrouter.config import CLIENT_PART, SPARE_SOCKETS
from stackrouter.fronts.platform.client import PATIENCE
from stackrouter.net.list_call import LARGEST_ANSWER_BYTES
from stackrouter.net.listener import PRESSED_PART


def client_sockets(clients: float) -> float:
    """The setting limits.sockets with which so many resting client connections are not closed."""
    return SPARE_SOCKETS + math.ceil(clients / PRESSED_PART / CLIENT_PART)


def gateway(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    """State, messages, processor time and memory of one gateway."""
    return [*_gateway_memory(slopes, runs), *_gateway_messages(slopes, runs), *_gateway_cpu(slopes, runs)]


def _gateway_memory(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    volumes = REQUESTS_S * REFILL_S
    idle = at(slopes, "gateway.memory.clients_idle", CLIENTS)
    busy = slope_of(slopes, "gateway.memory.clients_busy", REQUESTS_S * AIM_S)
    sockets = client_sockets(CLIENTS)
    listed = at(slopes, "gateway.memory.list", targets.NODES)
    return [
        row(
            "process with the list of 17,000 nodes, no clients",
            at(slopes, "gateway.memory.nodes", targets.NODES),
            "MiB",
            BUILT,
        ),
        row("of that, what the list adds", at(slopes, "gateway.memory.list", targets.NODES), "MiB", BUILT),
        row(
            "control's part, whole processes, with the runs' own number of nodes",
            at_target(runs, lambda r: r.gateway_rss_mib),
            "MiB",
            BUILT,
        ),
        row(
            "control's part and the list of 17,000 nodes",
            _with_list(_control_memory(runs), listed),
            "MiB",
            BUILT,
            "",
            targets.MEMORY_MB,
            "MB",
        ),
        row(
            f"{number(volumes)} volumes remembered (asked within {REFILL_S:.0f} s)",
            slope_of(slopes, "gateway.memory.volumes", volumes),
            "MiB",
            BUILT,
        ),
        row(
            f"{number(CLIENTS)} client connections at rest",
            idle,
            "MiB",
            PARTLY,
            f"the mean one asks every {number(CLIENTS / REQUESTS_S)} s, and one that rests for "
            f"{PATIENCE.idle_s} s is closed: a longer setting is missing",
        ),
        row(
            f"{number(REQUESTS_S * AIM_S)} of them with an open request ({AIM_S} s each)", busy, "MiB", BUILT
        ),
        row(
            "sockets to state in `limits`, for clients alone",
            reckoned(sockets, f"clients / {PRESSED_PART} / {CLIENT_PART} + {SPARE_SOCKETS}"),
            "",
            BUILT,
        ),
        row(
            "connections to nodes held",
            at(slopes, "node.connections.held", targets.NODES),
            "",
            PARTLY,
            "two of five stated sockets are for nodes; each is idle nearly all the time",
        ),
    ]


def _control_memory(runs: Sequence[ScaleRun]) -> Estimate | None:
    """As measured with the whole list, at any number of gateways: it hardly depends on that."""
    whole = [run for run in runs if run.nodes >= targets.NODES]
    if not whole:
        return at_target(runs, lambda r: r.gateway_rss_mib)
    run = max(whole, key=lambda run: run.gateway_rss_mib)
    source = f"scale run, {run.gateways:,} gateways with {run.nodes:,} nodes"
    return Estimate(run.gateway_rss_mib, source, targets.GATEWAYS / run.gateways)


def _with_list(control: Estimate | None, listed: Estimate | None) -> Estimate | None:
    if control is None or listed is None:
        return None
    return Estimate(control.value + listed.value, f"{control.source}; {listed.source}", control.factor)


def _gateway_messages(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    whole = at(slopes, "gateway.list.bytes", targets.NODES)
    snapshot = at(slopes, "replica.snapshot.bytes", targets.NODES)
    share = at(slopes, "node.reuse.share_nodes", targets.NODES)
    new = (
        None if share is None else Estimate(REQUESTS_S * (1 - share.value / 100), share.source, share.factor)
    )
    longest = (
        None
        if whole is None
        else reckoned(
            LARGEST_ANSWER_BYTES / 1024 / whole.value * targets.NODES,
            "4 MiB that a gateway reads at most / KiB a node",
        )
    )
    budget_kib = targets.BYTES_S / 1024
    return [
        row(
            "control's bytes, both ways",
            at_target(runs, lambda r: r.gateway_bytes_s),
            "B/s",
            BUILT,
            "",
            targets.BYTES_S,
            "B/s",
        ),
        row("heartbeats", reckoned(HEARTBEATS_S, "one each (touch - drift) / 4 = 450 ms"), "a second", BUILT),
        row("the whole list as discovery's JSON", whole, "KiB", BUILT),
        row("the same as seconds of the budget", _in_seconds(whole, budget_kib), "s", BUILT),
        row("the whole list as a replica's snapshot", snapshot, "KiB", BUILT),
        row("the same as seconds of the budget", _in_seconds(snapshot, budget_kib), "s", BUILT),
        row("nodes in a list that is not refused as too long", longest, "", BUILT),
        row(
            "attempts that find a kept connection",
            share,
            "%",
            PARTLY,
            "each node is used every 12 s, a connection kept for 6 s; fewer nodes a gateway would keep more",
        ),
        row("new connections to nodes", new, "a second", BUILT),
    ]


def _in_seconds(size: Estimate | None, budget_kib: float) -> Estimate | None:
    return None if size is None else size.times(1 / budget_kib, f"/ {number(budget_kib)} KiB a second")


def request_cpu(slopes: Slopes) -> Estimate | None:
    """CPU of the requests of one gateway at the target, ms a second: kept and new connections as expected."""
    kept = slope_of(slopes, "gateway.request.cpu_rate_kept", REQUESTS_S)
    new = slope_of(slopes, "gateway.request.cpu_rate_new", REQUESTS_S)
    share = at(slopes, "node.reuse.share_nodes", targets.NODES)
    if kept is None or new is None or share is None:
        return None
    part = share.value / 100
    source = f"{kept.source}; {new.source}; {number(share.value)}% kept"
    return Estimate(part * kept.value + (1 - part) * new.value, source, kept.factor)


def _gateway_cpu(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    change = at(slopes, "gateway.list.change_cpu", targets.NODES)
    zone_nodes = targets.NODES / targets.ZONES
    zone = None if change is None else change.times(zone_nodes, f"x {number(zone_nodes)} entries")
    cores = "one process uses one core: several processes or cores a gateway (issue 13)"
    by_nodes = at(slopes, "gateway.request.cpu_nodes", targets.NODES)
    return [
        row(
            "control's part, whole processes",
            at_target(runs, lambda r: r.gateway_cpu_ms_s),
            "ms/s",
            BUILT,
            "",
            targets.CPU_MS_S,
            "ms/s",
        ),
        row(
            f"{number(REQUESTS_S)} requests a second on sockets",
            request_cpu(slopes),
            "ms/s",
            MISSING,
            cores,
            1000.0,
            "ms/s",
        ),
        row(
            f"{number(CLIENTS)} connections that ask PING each 1.8 s",
            at(slopes, "gateway.clients.keep_cpu", CLIENTS),
            "ms/s",
            PARTLY,
            "see the closing after 2.2 s above",
            1000.0,
            "ms/s",
        ),
        row("one request without sockets, 17,000 nodes", by_nodes, "us", BUILT),
        row(
            "the same, 32,000 volumes remembered",
            at(slopes, "gateway.request.cpu_volumes", 32_000),
            "us",
            BUILT,
        ),
        row(
            "taking the whole list from discovery",
            at(slopes, "gateway.list.whole_cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "longest hold of the loop meanwhile",
            at(slopes, "gateway.list.longest_hold", targets.NODES),
            "ms",
            PARTLY,
            "the JSON of a whole list from discovery is parsed in one piece; a replica's list comes in parts",
            HOLD_MS,
            "ms",
        ),
        row("one changed entry", change, "ms", BUILT),
        row(
            "longest hold by one changed entry",
            at(slopes, "gateway.list.change_hold", targets.NODES),
            "ms",
            BUILT,
            "",
            HOLD_MS,
            "ms",
        ),
        row(f"a lost zone, {number(zone_nodes)} entries told one by one", zone, "ms", BUILT),
        row(
            "reading a snapshot of 17,000 nodes",
            at(slopes, "gateway.snapshot.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "longest single part of that",
            at(slopes, "gateway.snapshot.hold", targets.NODES),
            "ms",
            BUILT,
            "",
            HOLD_MS,
            "ms",
        ),
    ]
