"""A planned restart while a client that writes slowly is in the middle of its request.

The client has connected and begun its request before SIGTERM; its last byte is written about 0.7 s after SIGTERM, to
a connection that the gateway's machine has accepted, three seconds before the earliest SIGKILL.
"""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from lib2.rig import TROUBLE, Agent, Command, Node, Platform, Record, answer_of, play, read_answer, request, settings

ROUNDS = 5
WRITE_S = 1.35  # for the whole request: "a client may take 2 s over a head"
SIGTERM_AFTER_S = 0.6  # from the first byte
PIECES = 12
KILL_AFTER_S = 3.7  # the longest deadline, 3 s, and 0.7 s more


async def case(record: Record) -> list[str]:
    async def serve(node: Node, command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        record.add(f"node {node.name} answers {command.id}")
        writer.write(answer_of(f"value for {command.id}".encode()))

    breaks: list[str] = []
    for round_ in range(ROUNDS):
        node = Node("s0", 0, record, serve)
        await node.start()
        agent = Agent(record, [node.entry()])
        await agent.start()
        platform = Platform(record, agent, settings())
        try:
            process = await platform.start()
            reader, writer = await platform.connect()
            request_id, data = request(round_ + 1)
            begun = time.monotonic()
            term_at = None
            size = -(-len(data) // PIECES)
            written = True
            for number in range(PIECES):
                if TROUBLE and term_at is None and time.monotonic() - begun >= SIGTERM_AFTER_S:
                    platform.signal(process, signal.SIGTERM)
                    term_at = time.monotonic()
                try:
                    writer.write(data[number * size : (number + 1) * size])
                    await writer.drain()
                except OSError as error:
                    record.add(f"client cannot write on: {error}")
                    written = False
                    break
                record.add(f"client has written {min(len(data), (number + 1) * size)} of {len(data)} bytes of {request_id}")
                if number + 1 < PIECES:
                    await asyncio.sleep(WRITE_S / (PIECES - 1))
            written_at = time.monotonic()
            if not written:
                continue  # its last byte was never written: not taken
            after = f", {written_at - term_at:.2f} s after SIGTERM" if term_at else ""
            try:
                what, value = await asyncio.wait_for(read_answer(reader), 4.0)
            except (TimeoutError, asyncio.TimeoutError):
                what, value = "nothing", b""
            got_after = time.monotonic() - written_at
            record.add(f"client gets for {request_id}: {what} {value[:60]!r}, {got_after:.3f} s after its last byte")
            if what in ("end", "nothing") and (term_at is None or time.monotonic() - term_at < KILL_AFTER_S + 0.05):
                breaks.append(f"{request_id}: its last byte was written{after}, and it got no answer ({what})")
            writer.close()
            if term_at is not None:
                with_time = max(0.0, KILL_AFTER_S - (time.monotonic() - term_at))
                try:
                    await asyncio.wait_for(process.wait(), with_time)
                    record.add(f"process ended by itself {time.monotonic() - term_at:.2f} s after SIGTERM")
                except (TimeoutError, asyncio.TimeoutError):
                    platform.signal(process, signal.SIGKILL)
        finally:
            await platform.close()
            node.close()
            agent.close()
    return breaks


play(Path(__file__).parent, case)
