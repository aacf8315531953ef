"""Three in a hundred answers come a second time, 3 to 9 ms later, if nothing else waits there then.

Bytes take LINK_S one way (the halls are 0.7 to 1.3 ms apart), so the gateway may have begun to send the next
request on that connection.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import rig as lib
from rig import BROKEN, HELD, TROUBLE, Client, Node, Rig, new_id, play, read_command, request

LINK_S = float(os.environ.get("LINK_S", "0.001"))
SHARE, RATE, PLAYED_S = 0.03, 150.0, 25.0


class LateNode(Node):
    late = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, come = asyncio.get_running_loop(), 0

        def send(data: bytes) -> None:
            if not writer.is_closing():
                writer.write(data)

        def second(data: bytes, number: int) -> None:
            if come == number and not writer.is_closing():
                self.late += 1
                loop.call_later(LINK_S, send, data)

        try:
            while words := await read_command(reader):
                await asyncio.sleep(LINK_S)
                come += 1
                async with self._cores:
                    await asyncio.sleep(self.work_s)
                data = self.answer(b"value of " + words[1])
                loop.call_later(LINK_S, send, data)
                if TROUBLE and random.random() < SHARE:
                    loop.call_later(random.uniform(0.003, 0.009), second, data, come)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


lib.Node = LateNode


async def case(rig: Rig) -> int:
    await rig.start(nodes=9, gateways=1, work_s=0.02)
    gateway, foreign, asked, resting = rig.gateways[0], 0, 0, []

    async def ask() -> None:
        nonlocal foreign, asked
        client = resting.pop() if resting else await Client.connect(gateway.listen)
        piece, shard = new_id(), random.randrange(9)
        answer = await client.ask(request("BLK.READ", piece=piece, request_id=new_id(), shard=shard,
                                          wait_ms=2000, volume=f"{shard:016x}"))  # fmt: skip
        asked += 1
        if answer is None:
            return
        if answer[:1] == b"$" and answer[1:] != b"value of " + piece.encode():
            foreign += 1
            rig.record(f"FOREIGN: asked for {piece}, told {answer!r}")
        resting.append(client)

    tasks, end = [], rig.record.now() + PLAYED_S
    while rig.record.now() < end:
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks, return_exceptions=True)
    print(f"asked {asked}, second answers {sum(n.late for n in rig.nodes)}, foreign values {foreign}")
    return BROKEN if foreign else HELD


play(Path(__file__).resolve().parent, case)
