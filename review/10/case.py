"""A new version under load, where a class keeps order: writes of one piece of data from both processes.

The platform holds the clients' listening socket and starts `run` again beside the old process. The node notes
when each write begins (its last byte) and when it is answered: two of one piece must never overlap.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

from lib2.rig import TROUBLE, Agent, Command, Node, Platform, Record, answer_of, play, read_answer, request, settings

CLIENTS, PIECES = 8, 4
ALONE_S, OVERLAP_S, AFTER_S = 1.5, 4.0, 1.0  # the new process is given 6 s to say yes
WORK_S = (0.03, 0.06)


async def case(record: Record) -> list[str]:
    rng = random.Random(10)
    running: dict[str, str] = {}
    breaks: list[str] = []
    ran = 0

    async def serve(node: Node, command: Command, writer: asyncio.StreamWriter) -> None:
        nonlocal ran
        piece = command.words[1].decode()
        ran += 1
        if piece in running:
            breaks.append(f"write {command.id} of piece {piece} began while {running[piece]} was still running")
        running[piece] = command.id
        await asyncio.sleep(rng.uniform(*WORK_S))
        if running.get(piece) == command.id:
            del running[piece]
        record.add(f"node {node.name} answers {command.id}")
        writer.write(answer_of(b"written"))

    node = Node("s0", 0, record, serve)
    await node.start()
    agent = Agent(record, [node.entry()])
    await agent.start()
    conf = settings()
    conf["Profiles"][1] |= {"FifoByKey": True}
    conf["Obligations"] |= {"KeyRestUs": 100_000}
    platform = Platform(record, agent, conf, held_socket=True)
    stopped = False

    async def client(number: int) -> None:
        mine = random.Random(1000 + number)
        count = 0
        while not stopped:
            reader, writer = await platform.connect()
            for _ in range(6):  # clients keep connections for some requests and come again
                count += 1
                unique = number * 1_000_000 + count
                request_id, data = request(unique, volume=number, shard=0, kind="turn-write", write=True,
                                           key=f"k{unique}", wait_ms=3000, piece=1 + mine.randrange(PIECES))  # fmt: skip
                writer.write(data)
                what, value = await read_answer(reader)
                record.add(f"client {number} gets for {request_id}: {what} {value[:40]!r}")
                if what == "end" or stopped:
                    break
                await asyncio.sleep(mine.uniform(0.0, 0.02))
            writer.close()

    try:
        old = await platform.start()
        clients = [asyncio.create_task(client(number)) for number in range(1, CLIENTS + 1)]
        await asyncio.sleep(ALONE_S)
        if TROUBLE:
            await platform.start()
        await asyncio.sleep(OVERLAP_S)
        if TROUBLE:
            platform.signal(old, signal.SIGTERM)
        await asyncio.sleep(AFTER_S)
        stopped = True
        await asyncio.wait(clients, timeout=5.0)
    finally:
        await platform.close()
    record.add(f"{ran} writes ran, {len(breaks)} began while another of the same piece was running")
    return breaks


play(Path(__file__).parent, case)
