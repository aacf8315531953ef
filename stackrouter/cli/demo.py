"""`demo`: gateways, stand-in nodes, discovery and clients on loopback, with a live table."""

from __future__ import annotations

import signal
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from rich.console import Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from stackrouter.cli.shared import err, out, print_json
from stackrouter.errors import OptionError, OutputError

if TYPE_CHECKING:
    from stackrouter.standins.fleet import StandinFleet

EDGE = 'accounts {{ enabled: true }}\ntrace {{ enabled: true file: "{folder}/{{gateway}}.trace" }}\n'


def demo(
    gateways: Annotated[int, typer.Option(min=1, max=8)] = 2,
    nodes: Annotated[int, typer.Option(min=1, max=16)] = 3,
    seconds: Annotated[float, typer.Option(min=0, help="Stop by itself after so long; 0: at Ctrl-C.")] = 0.0,
    noisy: Annotated[
        str, typer.Option(help="Which volume bursts: basic, priority, writes or none.")
    ] = "basic",
    seed: int = 1,
    trace: Annotated[Path | None, typer.Option(help="Keep the gateways' traces in this folder.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="At the end one line of JSON; no table.")] = False,
) -> None:
    """Play a whole installation on this machine; Ctrl-C ends all of it."""
    from stackrouter.standins.fleet import Scene, StandinFleet

    if noisy not in ("basic", "priority", "writes", "none"):
        raise OptionError(f"must be one of basic, priority, writes, none, not {noisy!r}", key="--noisy")
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="stackrouter-demo-")))
        edge = ""
        if trace is not None:
            try:
                trace.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                raise OutputError(error.strerror, key="--trace", file=trace) from None
            edge = EDGE.format(folder=trace.resolve()).replace("{{", "{").replace("}}", "}")
        length = seconds or 30.0
        scene = Scene(gateways, nodes, seed, 0.3, noisy, (0.25 * length, 0.75 * length), edge)
        # What asks us to end must not cut off the ending.
        stop: list[int] = []
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda n, _frame: stop.append(n))
        fleet = StandinFleet(scene, folder)
        with fleet:
            _show(fleet, seconds, stop, as_json)
        if as_json:
            print_json(_figures(fleet))
        else:
            out.print(_summary(fleet))
            if trace is not None:
                err.print(f"traces: stackrouter report latency {trace}/*.trace", soft_wrap=True)


def _show(fleet: StandinFleet, seconds: float, stop: list[int], as_json: bool) -> None:
    import gevent

    clients = fleet.play()
    until = time.monotonic() + seconds if seconds else float("inf")
    before: dict[str, int] = {}
    if as_json or not out.is_terminal:
        while not stop and time.monotonic() < until:
            gevent.sleep(0.05)
        return
    with Live(console=out, auto_refresh=False, screen=False) as live:
        while not stop and time.monotonic() < until:
            now = {h.volume: sum(clients.told[h.volume].verdicts.values()) for h in fleet.habits}
            live.update(_tables(fleet, now, before), refresh=True)
            before = now
            for _ in range(10):
                if not stop:
                    gevent.sleep(0.1)


def _percentile(values: list[float], part: float) -> str:
    return f"{1000 * sorted(values)[int(part * (len(values) - 1))]:.0f}" if values else "-"


def _tables(fleet: StandinFleet, now: dict[str, int], before: dict[str, int]) -> Group:
    clients = fleet.clients
    assert clients is not None
    elapsed = time.monotonic() - clients.began
    volumes = Table("volume", "plan", "asked/s", "p50 ms", "p99 ms", "served", "refused", "failed", box=None)
    for h in fleet.habits:
        told = clients.told[h.volume]
        times, begin, end = h.burst
        bursting = times > 1 and begin <= elapsed < end
        recent = list(told.recent)
        failed = told.verdicts["failed"] + told.verdicts["lost"]
        volumes.add_row(
            h.volume,
            h.plan,
            str(now[h.volume] - before.get(h.volume, 0)),
            _percentile(recent, 0.5),
            _percentile(recent, 0.99),
            str(told.verdicts["served"]),
            str(told.verdicts["refused"]),
            str(failed),
            style="bold" if bursting else None,
        )
    nodes = Table("node", "holds", "served", "turned away", "given up", box=None)
    for n in fleet.nodes:
        nodes.add_row(n.name, str(n.inflight), str(n.seen.served), str(n.seen.busy), str(n.seen.gave_up))
    head = f"{len(fleet.ports)} gateways, {len(fleet.nodes)} nodes, {elapsed:.0f} s; Ctrl-C ends all of it"
    return Group(Text(head), Text(), volumes, Text(), nodes)


def _figures(fleet: StandinFleet) -> dict[str, Any]:
    assert fleet.clients is not None
    told = fleet.clients.told
    return {
        "noisy": fleet.noisy,
        "volumes": [
            {
                "volume": h.volume,
                "plan": h.plan,
                "latency_us": round(told[h.volume].latency_s * 1e6),
                **{v: told[h.volume].verdicts[v] for v in ("served", "refused", "failed", "lost")},
            }
            for h in fleet.habits
        ],
        "nodes": [
            {"node": n.name, "served": n.seen.served, "busy": n.seen.busy, "given_up": n.seen.gave_up}
            for n in fleet.nodes
        ],
        "exits": [p.returncode for p in fleet.programs],
    }


def _summary(fleet: StandinFleet) -> str:
    total: Counter[str] = Counter()
    for row in _figures(fleet)["volumes"]:
        for verdict in ("served", "refused", "failed", "lost"):
            total[verdict] += row[verdict]
    return f"{total.total()} requests: " + ", ".join(f"{n} {verdict}" for verdict, n in total.items() if n)
