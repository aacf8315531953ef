"""A drain at the operators' door. `busy`: a client sends three commands each 30 ms on one connection.
`unread`: a client sends 40 PINGs and bytes that cannot be read, in one go, reads all and stays."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import BROKEN, HELD, Client, Rig, command, new_id, play, read_answer, request


async def case(rig: Rig) -> int:
    await rig.start(nodes=9, gateways=1, work_s=0.044)
    gateway = rig.gateways[0]
    connection, answers = await Client.connect(gateway.listen), []

    async def read() -> None:
        while (answer := await read_answer(connection.reader)) is not None:
            answers.append(answer)

    async def send() -> None:
        number = 0
        while not reader.done():
            for _ in range(3):
                number += 1
                connection.writer.write(request(
                    "BLK.READ", piece=new_id(), request_id=new_id(), shard=number % 9, wait_ms=2000,
                    volume=f"{number % 9:016x}",
                ))  # fmt: skip
            await asyncio.sleep(0.03)

    reader = asyncio.create_task(read())
    sender = None
    if sys.argv[1] == "busy":
        sender = asyncio.create_task(send())
    else:
        connection.writer.write(command(b"PING") * 40 + b"garbage\r\n")
    await asyncio.sleep(1.0)
    await gateway.call("standby")
    await asyncio.sleep(4.3)
    print(f"4.3 s after standby the connection is {'closed' if reader.done() else 'open'}; "
          f"{len(answers)} answers, the last {answers[-1][:60]!r}")  # fmt: skip
    held = reader.done()
    if sender is not None:
        sender.cancel()
    reader.cancel()
    return HELD if held else BROKEN


play(Path(__file__).resolve().parent, case)
