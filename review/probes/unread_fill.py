"""200 bad clients send 40 PINGs (TROUBLE=0: 20) and unreadable bytes, read all and stay; sockets: 256."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import BROKEN, HELD, TROUBLE, Client, Rig, command, new_id, play, read_answer, request


async def case(rig: Rig) -> int:
    await rig.start(nodes=9, gateways=1, sockets=256)
    gateway, told, end = rig.gateways[0], {}, rig.record.now() + 25.0

    async def bad() -> None:
        client = await Client.connect(gateway.listen)
        client.writer.write(command(b"PING") * (40 if TROUBLE else 20) + b"garbage\r\n")
        while await read_answer(client.reader) is not None:
            pass
        client.close()

    async def usual(shard: int) -> None:
        while rig.record.now() < end:
            client = await Client.connect(gateway.listen)
            answer: bytes | None = b""
            while rig.record.now() < end and answer is not None:
                answer = await client.ask(request(
                    "BLK.READ", piece=new_id(), request_id=new_id(), shard=shard % 9, wait_ms=2000,
                    volume=f"{shard % 9:016x}",
                ))  # fmt: skip
                kind = "closed" if answer is None else answer.decode("latin-1")[:5]
                at = f"{int(rig.record.now() / 5) * 5:2d} s"
                told.setdefault(at, {}).setdefault(kind, 0)
                told[at][kind] += 1
                await asyncio.sleep(0.3)
            client.close()

    tasks = [asyncio.create_task(usual(i)) for i in range(20)]
    await asyncio.sleep(3.0)
    others = [asyncio.create_task(bad()) for _ in range(200)]
    await asyncio.wait(tasks)
    for task in others:
        task.cancel()
    for at, kinds in sorted(told.items()):
        print(at, kinds)
    return HELD if "$valu" in told.get("20 s", {}) else BROKEN


play(Path(__file__).resolve().parent, case)
