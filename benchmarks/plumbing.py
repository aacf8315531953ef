"""Own parsers and counters compared with PyPI libraries: cost of the import, memory and time of a call.

    pip install -e '.[dev,plumbing]' && python benchmarks/plumbing.py [--repeats 5]

Imports are measured in new processes, in addition to json, logging and gevent; calls are measured in this
process, alternating between the two implementations, so that other load on the machine affects both. Times
are medians of CPU microseconds per call.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

from stackrouter.core.counters import Counters
from stackrouter.fronts.platform import resp
from stackrouter.membership.listing import Listing
from stackrouter.net.ring import Ring

IMPORTED_MODULES = (
    "stackrouter.errors",
    "httptools",
    "msgspec",
    "hiredis",
    "prometheus_client",
    "pydantic",
    "urllib3",
)
IMPORT_CODE = """import time, json, logging, gevent
def kib(): return int(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')).split()[1])
before, began = kib(), time.process_time()
import {name}
print(kib() - before, round(1000 * (time.process_time() - began), 1))
"""
REQUEST_FIELDS = b"c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"
COMMAND = resp.command(b"BLK.READ", b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41", REQUEST_FIELDS)
ANSWER = b"*3\r\n" + resp.bulk(b"x" * 512) + resp.bulk(b"used=37,cost=4") + resp.bulk(b"inflight=7")


def node_list_json(count: int) -> bytes:
    """Discovery's answer with a list of `count` nodes, as JSON."""
    entries = [
        {"name": f"s-{i:08x}", "address": f"10.1.{i // 250}.{i % 250}:6379", "zone": "a", "type": "m2",
         "group": i, "status": "up", "weight": 1.0, "since_ms": 0} for i in range(count)
    ]  # fmt: skip
    return json.dumps({"index": 41, "snapshot": True, "endpoints": entries}).encode()


def own_parse(data: bytes) -> Callable[[], Any]:
    ring = Ring(160 * 1024)

    def call() -> Any:
        ring.put(data)
        return resp.parse(ring)

    return call


def hiredis_parse(data: bytes) -> Callable[[], Any]:
    import hiredis

    reader = hiredis.Reader()

    def call() -> Any:
        reader.feed(data)
        return reader.gets()

    return call


def own_list() -> Callable[[], Any]:
    listing, data = Listing(["a"], ["m2"], 0), node_list_json(200)
    return lambda: listing.read(json.loads(data), 0)


def msgspec_list() -> Callable[[], Any]:
    import msgspec

    fields = [("name", str), ("address", str), ("group", int), ("status", str), ("zone", str), ("type", str),
              ("weight", float, 1.0), ("since_ms", int, 0)]  # fmt: skip
    node = msgspec.defstruct("node", fields)
    whole = msgspec.defstruct("whole", [("index", int), ("endpoints", list[node]), ("snapshot", bool, False)])
    listing, data, decoder = Listing(["a"], ["m2"], 0), node_list_json(200), msgspec.json.Decoder(whole)

    def call() -> Any:
        # Validated while decoding, then converted to the plain types that Listing accepts.
        return listing.read(msgspec.to_builtins(decoder.decode(data)), 0)

    return call


def own_count() -> Callable[[], Any]:
    counters = Counters()
    return lambda: counters.add("requests.taken")


def prometheus_count() -> Callable[[], Any]:
    from prometheus_client import CollectorRegistry, Counter

    counter = Counter("requests", "taken", ["what"], registry=CollectorRegistry())
    return lambda: counter.labels("taken").inc()


PAIRS: dict[str, tuple[Callable[[], Any], Callable[[], Any]]] = {
    "a command, own parser / hiredis": (own_parse(COMMAND), hiredis_parse(COMMAND)),
    "a node's answer, own parser / hiredis": (own_parse(ANSWER), hiredis_parse(ANSWER)),
    "a list of 200 nodes, json / msgspec": (own_list(), msgspec_list()),
    "a count, own / prometheus-client": (own_count(), prometheus_count()),
}


def cost_us(call: Callable[[], Any]) -> float:
    """CPU microseconds of one call, averaged over about 0.1 s."""
    call()
    count, started_s = 0, time.process_time()
    while (used_s := time.process_time() - started_s) < 0.1:
        for _ in range(20):
            call()
        count += 20
    return used_s / count * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=5)
    repeats = parser.parse_args().repeats
    for name in IMPORTED_MODULES:
        rows = []
        for _ in range(repeats):
            command = [sys.executable, "-c", IMPORT_CODE.format(name=name)]
            rows.append(
                [float(n) for n in subprocess.run(command, capture_output=True, check=True).stdout.split()]
            )
        kib, ms = (statistics.median(column) for column in zip(*rows, strict=True))
        print(f"import {name:20} {kib / 1024:5.2f} MiB {ms:6.1f} ms", flush=True)
    for name, (own, library) in PAIRS.items():
        rows = [[cost_us(own), cost_us(library)] for _ in range(repeats)]
        ratio = statistics.median(a / b for a, b in rows)
        own_us, library_us = (statistics.median(column) for column in zip(*rows, strict=True))
        print(f"{name:40} {own_us:8.2f} {library_us:8.2f} us, ratio {ratio:.2f}", flush=True)


if __name__ == "__main__":
    main()
