"""Two reads at once; the first value is BYTES long (65522 fills the outgoing ring), the second is empty."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import BROKEN, HELD, Client, Rig, new_id, play, read_answer, request


async def case(rig: Rig) -> int:
    size = int(sys.argv[1])
    await rig.start(nodes=2, gateways=1)
    for node, work_s, length in zip(rig.nodes, (0.2, 0.02), (size, 0), strict=True):
        node.work_s, node.value_of = work_s, lambda words, length=length: bytes(length)
    client = await Client.connect(rig.gateways[0].listen)
    for shard in (0, 1):
        client.writer.write(request("BLK.READ", piece=new_id(), request_id=new_id(), shard=shard,
                                    wait_ms=2000, volume=f"{shard:016x}"))  # fmt: skip
    for _ in range(2):
        try:
            answer = await asyncio.wait_for(read_answer(client.reader), 6.0)
        except TimeoutError:
            print("no whole answer in 6 s")
            return BROKEN
        print(f"an answer of {len(answer or b'') - 1} bytes")
    return HELD


play(Path(__file__).resolve().parent, case)
