"""Bytes of a list of storage nodes, one changed entry and a heartbeat on the control plane's connections.

    python benchmarks/control_frames.py

Names, addresses and ages are drawn at random from a fixed seed, so that they do not compress better than real
ones. Prints one line a size of the list, then one for the heartbeat and its answer.
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

SIZES = (60, 1_000, 4_000, 17_000)
ZONES = 11
LONG_AGO_MS, NOW_MS = 1_700_000_000_000, 1_790_000_000_000


def endpoint(number: int, rng: random.Random) -> dict[str, Any]:
    """One entry as discovery tells it."""
    host = ".".join(str(rng.randrange(256)) for _ in range(3))
    return {
        "name": f"s-{rng.getrandbits(32):08x}",
        "address": f"10.{host}:6379",
        "group": number,
        "status": "up",
        "zone": f"zone-{number % ZONES}",
        "type": "std",
        "weight": 1.0,
        "since_ms": rng.randrange(LONG_AGO_MS, NOW_MS),
    }


def main() -> None:
    rng = random.Random(1)
    for size in SIZES:
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
