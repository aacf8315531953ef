"""Bad clients, as a process of their own: each sends hundreds of commands at once and reads what it is sent.

Arguments: the gateway's address, how many clients, commands each, bytes of a value, how many times.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import Client, new_id, read_answer, request


async def bad_client(
    address: str, number: int, commands: int, body: bytes, told: dict[bytes, int], begin: asyncio.Barrier
) -> None:
    client = None
    try:
        client = await Client.connect(address)
    except OSError:
        told[b"no connection"] = told.get(b"no connection", 0) + 1
    await begin.wait()  # they begin together
    if client is None:
        return

    async def read() -> None:
        while (answer := await read_answer(client.reader)) is not None:
            kind = b"value" if answer[:1] == b"$" else answer.split(b" ")[0]
            told[kind] = told.get(kind, 0) + 1

    reader = asyncio.create_task(read())
    try:
        for nth in range(commands):
            client.writer.write(request(
                "BLK.WRITE", piece=new_id(), request_id=new_id(), shard=(number + nth) % 9, wait_ms=3000,
                volume=f"{number % 9:016x}", key=new_id(), body=body,
            ))  # fmt: skip
            await client.writer.drain()
    except OSError:
        pass
    await asyncio.wait([reader], timeout=3.0)
    client.close()


async def main(address: str, clients: int, commands: int, size: int, times: int) -> None:
    told: dict[bytes, int] = {}
    body = bytes(size)
    for _ in range(times):
        begin = asyncio.Barrier(clients)
        await asyncio.gather(*(bad_client(address, i, commands, body, told, begin) for i in range(clients)))
    print(" ".join(f"{kind.decode()}={count}" for kind, count in sorted(told.items())))


asyncio.run(main(sys.argv[1], *(int(value) for value in sys.argv[2:6])))
