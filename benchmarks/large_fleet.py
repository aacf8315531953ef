"""CPU of a request and of a list of 60 nodes on one of 40 gateways, compared with another source tree.

    python benchmarks/large_fleet.py --other ../older-tree [--repeats 7] [--nodes 1000,17000]

With --nodes, for each size: applying a whole list from its parsed JSON (`whole`), applying it again with one
node changed (`again`), the longest block of the event loop by either (`hold`), parsing the JSON (`json`, one
uninterrupted block of the event loop), and one changed entry (`entry`).

No sockets are used: the list goes from discovery's JSON through the engine to the module, a request from the
engine to a transport that answers immediately. The trees alternate, each in its own process; a ratio compares
measurements of the same repeat.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

NODES, GATEWAYS = 60, 40
SAMPLE_INTERVAL_S = 0.0005  # interval at which the event loop's latency is sampled
CHANGED_ENTRIES = 200  # changed entries, applied one by one


def list_cost_us(engine, listing, rounds: int) -> float:  # type: ignore[no-untyped-def]
    """Microseconds of CPU to read a whole list and apply it, two nodes changing each time."""
    from rackseam.interface import ListKind

    nodes = [
        {"name": f"s-{i:08x}", "address": f"10.1.0.{i}:6379", "zone": "a", "type": "m", "group": i,
         "status": "up", "weight": 1.0, "since_ms": 0}
        for i in range(NODES)
    ]  # fmt: skip
    cpu_s = 0.0
    for n in range(rounds):
        nodes[n % NODES]["name"] = f"t-{n:08x}"
        nodes[n % NODES]["status"] = "draining" if n < rounds - NODES and n % 5 == 0 else "up"
        body = json.dumps({"index": n, "snapshot": True, "endpoints": nodes}).encode()
        started_s = time.process_time()
        version, entries, addresses = read_whole(listing, json.loads(body))
        engine.update_nodes(ListKind.FULL, version, entries, addresses)
        engine.process_events()
        cpu_s += time.process_time() - started_s
    return cpu_s / rounds * 1e6


def read_whole(listing, raw):  # type: ignore[no-untyped-def]
    """Version, entries and addresses; supports the interfaces of this tree and of older ones."""
    if hasattr(listing, "_starts"):
        read = listing.read(raw, time.monotonic_ns() // 1000)
        return read.version, read.entries, read.addresses
    version, _, entries, addresses = listing.read(raw)
    return version, entries, addresses


def request_cost_us(engine, rounds: int) -> float:  # type: ignore[no-untyped-def]
    """Microseconds of CPU per request from arrival to answer, with requests spread over all nodes."""
    from rackseam.interface import Outcome
    from stackrouter.core.engine import clock_us
    from stackrouter.core.model import Attempt, Reply, Request

    class ImmediateTransport:
        def start(self, attempt: Attempt) -> None:
            engine.attempt_ended(attempt, Reply(Outcome.DONE, b"x"))

        def abort(self, attempt: Attempt) -> None:
            pass

        def close_idle(self, node: str) -> None:
            pass

    answered = 0

    def answer(_: object) -> None:
        nonlocal answered
        answered += 1

    engine.transport = ImmediateTransport()
    started_s = time.process_time()
    for n in range(rounds):
        engine.submit(Request(
            request_class=0, plan=0, volume=f"v{n % 20}", units=2.0, shard=n % NODES, gateways=3, key="",
            deadline_us=clock_us() + 2_000_000, repeat=False, write=False, wire="x", exchange=lambda: None,
            answer=answer,
        ))  # fmt: skip
        engine.process_events()
        engine.process_events()
    cpu_s = time.process_time() - started_s
    assert answered > rounds * 0.95, answered
    return cpu_s / rounds * 1e6


def make_endpoint(number: int) -> dict[str, object]:
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"
    return {"name": f"s-{number:08x}", "address": address, "zone": "a", "type": "m", "group": number,
            "status": "up", "weight": 1.0, "since_ms": 0}  # fmt: skip


class LoopBlockMeter:
    """The longest time for which the event loop could not run a greenlet that was due."""

    def __init__(self) -> None:
        import gevent

        self.longest_us, self._sleep = 0.0, gevent.sleep
        self._greenlet = gevent.spawn(self._sample)
        gevent.sleep(0.01)
        self.longest_us = 0.0

    def _sample(self) -> None:
        while True:
            due = time.perf_counter() + SAMPLE_INTERVAL_S
            self._sleep(SAMPLE_INTERVAL_S)
            self.longest_us = max(self.longest_us, (time.perf_counter() - due) * 1e6)

    def stop(self) -> float:
        self._sleep(0.01)
        self._greenlet.kill()
        return self.longest_us


def large_list_costs(engine, listing, count: int) -> dict[str, float]:  # type: ignore[no-untyped-def]
    """Microseconds for lists of this many nodes, from discovery's JSON to the module."""
    import gevent

    from stackrouter.net.discovery import Discovery

    discovery = Discovery(("", 0), listing, engine.counters, engine.update_nodes, known=0)
    runner = gevent.spawn(engine.run)
    nodes = [make_endpoint(i) for i in range(count)]

    def timed(call) -> float:  # type: ignore[no-untyped-def]
        started_s = time.process_time()
        call()
        while not engine.idle():
            gevent.sleep(0)
        gevent.sleep(0)
        return (time.process_time() - started_s) * 1e6

    def snapshot(version: int) -> dict[str, object]:
        return {"index": version, "snapshot": True, "endpoints": nodes}

    body = json.dumps(snapshot(1)).encode()
    started_s = time.process_time()
    raw = json.loads(body)
    results = {"json": (time.process_time() - started_s) * 1e6}
    meter = LoopBlockMeter()
    results["whole"] = timed(lambda: discovery.apply_relayed(raw))
    first_block_us = meter.stop()
    nodes[count // 2]["status"] = "draining"
    raw = json.loads(json.dumps(snapshot(2)))
    meter = LoopBlockMeter()
    results["again"] = timed(lambda: discovery.apply_relayed(raw))
    results["hold"] = max(first_block_us, meter.stop())
    assert len(engine.nodes) == count, len(engine.nodes)

    def changes() -> None:
        for n in range(CHANGED_ENTRIES):
            status = "draining" if n % 2 else "up"
            change = {**make_endpoint(n // 2 % count), "status": status}
            discovery.apply_relayed({"index": 3 + n, "snapshot": False, "endpoints": [change]})
            gevent.sleep(0)

    results["entry"] = timed(changes) / CHANGED_ENTRIES
    runner.kill()
    return {f"{quantity} {count}": value for quantity, value in results.items()}


def measure(sizes: list[int]) -> dict[str, float]:
    from rackseam.interface import Plan, RequestClass, Settings
    from stackrouter.core.counters import Counters
    from stackrouter.core.engine import Engine, clock_us

    try:
        from stackrouter.membership.listing import Listing
    except ImportError:  # an older tree
        from stackrouter.net.discovery import Listing

    gc.set_threshold(10_000)  # the gateway's value
    settings = Settings(
        classes=(RequestClass(aim_us=400_000, deadline_us=2_000_000),), plans=(Plan(),), gateways=GATEWAYS,
        cold_share=0.17, cold_us=16_000_000, cold_bears_units=14.0, fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip
    engine, listing = Engine(settings, 1000, Counters()), Listing(["a"], ["m"], clock_us())
    results = {"list": list_cost_us(engine, listing, 300), "request": request_cost_us(engine, 5000)}
    for count in sizes:
        results |= large_list_costs(Engine(settings, 1000, Counters()), listing, count)
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--other", type=Path)
    parser.add_argument("--repeats", type=int, default=7)
    parser.add_argument("--one", action="store_true", help="measure the tree in PYTHONPATH and print JSON")
    parser.add_argument("--nodes", default="", help="comma-separated list sizes")
    args = parser.parse_args()
    if args.one:
        print(json.dumps(measure([int(count) for count in args.nodes.split(",") if count])))
        return
    trees = {"this": Path(__file__).parent.parent, "other": args.other or Path(__file__).parent.parent}
    rows: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    for _ in range(args.repeats):
        for name, tree in trees.items():
            completed = subprocess.run(
                [sys.executable, __file__, "--one", "--nodes", args.nodes], cwd=tree, check=True,
                capture_output=True, env={**os.environ, "PYTHONPATH": str(tree.resolve())},
            )  # fmt: skip
            rows[name].append(json.loads(completed.stdout))
    for quantity in rows["this"][0]:
        ratios = [a[quantity] / b[quantity] for a, b in zip(rows["this"], rows["other"], strict=True)]
        this_us, other_us = (statistics.median(r[quantity] for r in rows[name]) for name in trees)
        print(
            f"{quantity:12} {this_us:9.1f} us, other {other_us:9.1f} us; "
            f"ratio {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
        )


if __name__ == "__main__":
    main()
