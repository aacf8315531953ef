"""What a request and a list of 60 nodes cost one of 40 gateways, this tree against another of the project.

    python benchmarks/large_fleet.py --other ../older-tree [--repeats 7]

No sockets: the list goes from discovery's JSON through the engine to the module, a request from the engine to
a transport that answers at once. The trees take turns, each in a process of its own; ratios are of the same
repeat.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

NODES, GATEWAYS = 60, 40


def lists(engine, listing, rounds: int) -> float:  # type: ignore[no-untyped-def]
    """Microseconds of CPU to read a whole list and apply it, two nodes changing each time."""
    from rackseam.interface import ListKind

    nodes = [
        {"name": f"s-{i:08x}", "address": f"10.1.0.{i}:6379", "zone": "a", "type": "m", "group": i,
         "status": "up", "weight": 1.0, "since_ms": 0}
        for i in range(NODES)
    ]  # fmt: skip
    spent = 0.0
    for n in range(rounds):
        nodes[n % NODES]["name"] = f"t-{n:08x}"
        nodes[n % NODES]["status"] = "draining" if n < rounds - NODES and n % 5 == 0 else "up"
        body = json.dumps({"index": n, "snapshot": True, "endpoints": nodes}).encode()
        began = time.process_time()
        version, _, entries, addresses = listing.read(json.loads(body))
        engine.listed(ListKind.FULL, version, entries, addresses)
        engine.turn()
        spent += time.process_time() - began
    return spent / rounds * 1e6


def requests(engine, rounds: int) -> float:  # type: ignore[no-untyped-def]
    """Microseconds of CPU a request, from its arrival to its answer, over all nodes."""
    from rackseam.interface import Outcome
    from stackrouter.core.engine import clock_us
    from stackrouter.core.model import Attempt, Reply, Request

    class AtOnce:
        def start(self, attempt: Attempt) -> None:
            engine.ended(attempt, Reply(Outcome.DONE, b"x"))

        def give_up(self, attempt: Attempt) -> None:
            pass

        def close_idle(self, node: str) -> None:
            pass

    answered = 0

    def answer(_: object) -> None:
        nonlocal answered
        answered += 1

    engine.transport = AtOnce()
    began = time.process_time()
    for n in range(rounds):
        engine.submit(Request(
            request_class=0, plan=0, volume=f"v{n % 20}", units=2.0, shard=n % NODES, gateways=3, key="",
            deadline_us=clock_us() + 2_000_000, repeat=False, write=False, wire="x", exchange=lambda: None,
            answer=answer,
        ))  # fmt: skip
        engine.turn()
        engine.turn()
    spent = time.process_time() - began
    assert answered > rounds * 0.95, answered
    return spent / rounds * 1e6


def measure() -> dict[str, float]:
    from rackseam.interface import Plan, RequestClass, Settings
    from stackrouter.core.counters import Counters
    from stackrouter.core.engine import Engine, clock_us
    from stackrouter.net.discovery import Listing

    settings = Settings(
        classes=(RequestClass(aim_us=400_000, deadline_us=2_000_000),), plans=(Plan(),), gateways=GATEWAYS,
        cold_share=0.17, cold_us=16_000_000, cold_bears_units=14.0, fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip
    engine, listing = Engine(settings, 1000, Counters()), Listing(["a"], ["m"], clock_us())
    return {"list": lists(engine, listing, 300), "request": requests(engine, 5000)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--repeats", type=int, default=7)
    parser.add_argument("--one", action="store_true", help="measure the tree in PYTHONPATH and print JSON")
    args = parser.parse_args()
    if args.one:
        print(json.dumps(measure()))
        return
    trees = {"this": Path(__file__).parent.parent, "other": args.other or Path(__file__).parent.parent}
    rows: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    for _ in range(args.repeats):
        for name, tree in trees.items():
            done = subprocess.run(
                [sys.executable, __file__, "--one"], cwd=tree, check=True, capture_output=True,
                env={**os.environ, "PYTHONPATH": str(tree.resolve())},
            )  # fmt: skip
            rows[name].append(json.loads(done.stdout))
    for what in rows["this"][0]:
        ratios = [a[what] / b[what] for a, b in zip(rows["this"], rows["other"], strict=True)]
        this, other = (statistics.median(r[what] for r in rows[name]) for name in trees)
        print(
            f"{what:8} {this:7.1f} us, other {other:7.1f} us; "
            f"ratio {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        )


if __name__ == "__main__":
    main()
