"""A new version under load (the platform holds the clients' socket): the old process ends as in case 3."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import (
    BROKEN,
    HELD,
    Client,
    Discovery,
    Gateway,
    Node,
    Rig,
    new_id,
    play,
    read_answer,
    request,
    settings,
)


async def case(rig: Rig) -> int:
    for i in range(9):
        node = Node(f"s-{i}", i, rig.record, work_s=0.044)
        await node.start()
        rig.nodes.append(node)
    agent = Discovery(rig.nodes, rig.record)
    await agent.start()
    rig.agents.append(agent)
    held = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = "{}:{}".format(*held.getsockname())

    async def start() -> Gateway:
        gateway = Gateway(f"g{len(rig.gateways)}", rig.scratch, agent, settings(9, 1), rig.record)
        gateway.name, gateway.listen = "n0", address
        gateway.config |= {"name": "n0", "listen": address}
        gateway.write(gateway.config)
        gateway.start(held.fileno(), rig.scratch)
        rig.gateways.append(gateway)
        for _ in range(120):
            with contextlib.suppress(OSError):
                if (await gateway.call("status")).startswith("SUCCESS"):
                    return gateway
            await asyncio.sleep(0.05)
        raise OSError("no yes in 6 s")

    old, waiting, told = await start(), [], 0
    client = await Client.connect(address)

    async def read() -> None:
        nonlocal told
        while await read_answer(client.reader) is not None:
            waiting.pop(0)
            told += 1

    async def send() -> None:
        number = 0
        while not reader.done():
            for _ in range(3):
                number += 1
                waiting.append(new_id())
                client.writer.write(request(
                    "BLK.READ", piece=new_id(), request_id=waiting[-1], shard=number % 9, wait_ms=2000,
                    volume=f"{number % 9:016x}",
                ))  # fmt: skip
            await asyncio.sleep(0.03)

    reader = asyncio.create_task(read())
    sender = asyncio.create_task(send())
    await asyncio.sleep(1.0)
    await start()
    old.signal(signal.SIGTERM)
    assert old.process is not None
    for _ in range(370):
        if old.process.poll() is not None:
            break
        await asyncio.sleep(0.01)
    await asyncio.wait([reader], timeout=1.0)
    sender.cancel()
    lost = [r for r in waiting if any(r in node.commands for node in rig.nodes)]
    print(f"the old process ended with {old.process.poll()}; answered {told}, "
          f"passed on and never answered {len(lost)}")  # fmt: skip
    held.close()
    return BROKEN if lost else HELD


play(Path(__file__).resolve().parent, case)
