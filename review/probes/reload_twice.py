"""New configurations 1 s apart: a class keeps its old effect past 1.2 s, and its writes run twice."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import BROKEN, HELD, TROUBLE, Client, Node, Rig, new_id, play, request, settings

AGAIN, EVERY_S = 4, 1.0


async def case(rig: Rig) -> int:
    await rig.start(nodes=9, gateways=1, conf=settings(9, 1))
    gateway, sent = rig.gateways[0], {}

    def hook(node: Node, words: list[bytes], run: int) -> bytes | None:
        lost = words[0] == b"BLK.WRITE" and run == 1 and int(words[2], 16) % 3 == 0
        return None if lost else node.answer(b"done")

    for node in rig.nodes:
        node.hook = hook
    await asyncio.sleep(1.2)
    new = copy.deepcopy(gateway.config)
    new["settings"]["Profiles"][1]["Effect"] = "unsafe"  # the first file: turn-write was keyed
    gateway.write(new)
    gateway.signal(signal.SIGHUP)
    began = rig.record.now()

    async def again() -> None:
        for _ in range(AGAIN if TROUBLE else 0):
            await asyncio.sleep(EVERY_S)
            gateway.write(new)  # the same settings again
            gateway.signal(signal.SIGHUP)

    async def client(shard: int) -> None:
        connection = await Client.connect(gateway.listen)
        while rig.record.now() < began + 7.0:
            request_id = new_id()
            sent[request_id] = rig.record.now() - began
            await connection.ask(request(
                "BLK.WRITE", piece=new_id(), request_id=request_id, shard=shard, wait_ms=3000,
                volume=f"{shard:016x}", body=b"x", key=new_id(),
            ))  # fmt: skip
            await asyncio.sleep(0.05)

    more = asyncio.create_task(again())
    await asyncio.sleep(1.25)  # clients use the new rules 1.2 s after the first signal
    await asyncio.gather(more, *(client(shard) for shard in range(9)))
    twice = sorted(sent[r] for node in rig.nodes for r, times in node.runs.items() if len(times) > 1)
    rig.record(f"writes {len(sent)}, run more than once {len(twice)}, from {twice[:1]} to {twice[-1:]} s")
    print(f"writes {len(sent)}, run more than once {len(twice)}, from {twice[:1]} to {twice[-1:]} s")
    return BROKEN if twice else HELD


play(Path(__file__).resolve().parent, case)
