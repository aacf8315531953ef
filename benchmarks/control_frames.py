"""Encoded sizes on the control plane's connections: a list of storage nodes, one changed entry, a heartbeat.

    python benchmarks/control_frames.py

Names, addresses and ages are random with a fixed seed, so that they compress no better than real ones. Prints
one line for each list size, then one for the heartbeat and its answer.
"""

from __future__ import annotations

import json
import random
from typing import Any

import zstandard

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import (
    Delta,
    Frame,
    Heartbeat,
    HeartbeatAnswer,
    Node,
    NodeChanges,
    Position,
    SnapshotChunk,
)
from stackrouter.controlplane.snapshot import NODES_IN_CHUNK

LIST_SIZES = (60, 1_000, 4_000, 17_000)
ZONE_COUNT = 11
OLDEST_SINCE_MS, NEWEST_SINCE_MS = 1_700_000_000_000, 1_790_000_000_000


def endpoint(number: int, rng: random.Random) -> dict[str, Any]:
    """One node as an entry of discovery's answer."""
    host = ".".join(str(rng.randrange(256)) for _ in range(3))
    return {
        "name": f"s-{rng.getrandbits(32):08x}",
        "address": f"10.{host}:6379",
        "group": number,
        "status": "up",
        "zone": f"zone-{number % ZONE_COUNT}",
        "type": "std",
        "weight": 1.0,
        "since_ms": rng.randrange(OLDEST_SINCE_MS, NEWEST_SINCE_MS),
    }


def main() -> None:
    rng = random.Random(1)
    for size in LIST_SIZES:
        endpoints = [endpoint(number, rng) for number in range(size)]
        nodes = [Node(**values) for values in endpoints]
        chunks = [
            SnapshotChunk(nodes=nodes[first : first + NODES_IN_CHUNK]).SerializeToString()
            for first in range(0, size, NODES_IN_CHUNK)
        ]
        compressed = sum(len(zstandard.compress(chunk)) for chunk in chunks)
        change = Delta(number=5, nodes=NodeChanges(index=7, nodes=nodes[:1]))
        print(
            f"{size:6} nodes: JSON {len(json.dumps(endpoints))}, protobuf {sum(map(len, chunks))}, "
            f"compressed {compressed}, one changed entry {len(encode(Frame(delta=change)))} bytes"
        )
    position = Position(history="a" * 32, number=4_200)
    heartbeat = encode(Frame(heartbeat=Heartbeat(sequence=1_234, serving=12, position=position)))
    answer = encode(Frame(heartbeat_answer=HeartbeatAnswer(sequence=1_234, position=position)))
    print(f"heartbeat {len(heartbeat)}, its answer {len(answer)} bytes")


if __name__ == "__main__":
    main()
