"""A storage node dies while it gives a long value; two commands were sent behind that one at once.

The value itself has failed, which the page allows. The two commands behind it run on another node and are
answered by it; the client must get an answer to each.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from lib2.rig import TROUBLE, Agent, Command, Node, Platform, Record, answer_of, play, read_answer, request, settings

ROUNDS = 5
LONG_BYTES, PIECE_BYTES, PIECE_EVERY_S = 1 << 20, 32 * 1024, 0.008
DIES_AFTER_BYTES = 600 * 1024
PATIENCE_S = 4.0  # the longest deadline, half a second, and more


async def case(record: Record) -> list[str]:
    async def serve_long(node: Node, command: Command, writer: asyncio.StreamWriter) -> None:
        data = answer_of(b"x" * LONG_BYTES)
        for at in range(0, len(data), PIECE_BYTES):
            if TROUBLE and at >= DIES_AFTER_BYTES:
                record.add(f"node {node.name} dies within its answer to {command.id}: its connections are reset")
                for each in list(node.writers):
                    each.transport.abort()
                node.close()
                return
            writer.write(data[at : at + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_EVERY_S)
        record.add(f"node {node.name} has answered {command.id} whole")

    async def serve_short(node: Node, command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        record.add(f"node {node.name} answers {command.id}: it has run")
        writer.write(answer_of(f"value for {command.id}".encode()))

    breaks: list[str] = []
    for round_ in range(ROUNDS):
        long, short = Node("s0", 0, record, serve_long), Node("s1", 1, record, serve_short)
        await long.start()
        await short.start()
        agent = Agent(record, [long.entry(), short.entry()])
        await agent.start()
        platform = Platform(record, agent, settings())
        try:
            await platform.start()
            base = 1000 * (round_ + 1)
            first = request(base, volume=1, shard=0, piece=1)
            second = request(base + 1, volume=2, shard=1, kind="turn-write", write=True, key=f"key{base}",
                             wait_ms=3000)  # fmt: skip
            third = request(base + 2, volume=2, shard=1)
            reader, writer = await platform.connect()
            writer.write(first[1] + second[1] + third[1])
            record.add(f"client sends at once {first[0]} (long read), {second[0]} (write), {third[0]} (read)")
            for request_id, _ in (first, second, third):
                try:
                    what, value = await asyncio.wait_for(read_answer(reader), PATIENCE_S)
                except (TimeoutError, asyncio.TimeoutError):
                    what, value = "nothing", b""
                record.add(f"client gets for {request_id}: {what}, {len(value)} bytes {value[:40]!r}")
                if what in ("end", "nothing") and request_id != first[0]:
                    ran = [command for command in short.commands if command.id == request_id]
                    if ran:  # the gateway has read it: not a request that crosses the end of a connection
                        breaks.append(f"{request_id} ran on {short.name} and was never answered ({what})")
            writer.close()
        finally:
            await platform.close()
            long.close()
            short.close()
            agent.close()
    return breaks


play(Path(__file__).parent, case)
