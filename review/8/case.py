"""A drain while a client reads a long value at a moderate pace, with further commands behind it.

The node gives the value whole, and the client never stops reading. Every command that a node has run must get
its whole answer, also when its connection is to be closed for the drain.
"""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

from lib2.rig import TROUBLE, Agent, Command, Node, Platform, Record, answer_of, call_door, play, request, settings

ROUNDS = 4
LONG_BYTES = 4 << 20  # "values reach 4 MiB"
READS_BYTES_S, READ_AT_ONCE = 2_000_000, 20_000  # the whole value takes the client 2.1 s
RECEIVE_BUFFER_BYTES = 256 * 1024  # of the client's socket
SENDS_EVERY_S, SHORT = 0.2, 9  # short reads, behind the long one
STANDBY_AFTER_S = 0.5  # from the long read
PATIENCE_S = 6.0


async def case(record: Record) -> list[str]:
    async def serve(node: Node, command: Command, writer: asyncio.StreamWriter) -> None:
        data = answer_of(b"x" * LONG_BYTES if node.shard == 0 else f"value for {command.id}".encode())
        writer.write(data)
        await writer.drain()
        record.add(f"node {node.name} has answered {command.id} whole, {len(data)} bytes")

    breaks: list[str] = []
    for round_ in range(ROUNDS):
        nodes = [Node(f"s{shard}", shard, record, serve) for shard in range(2)]
        for node in nodes:
            await node.start()
        agent = Agent(record, [node.entry() for node in nodes])
        await agent.start()
        platform = Platform(record, agent, settings())
        try:
            process = await platform.start()
            breaks += await client(record, platform, process.pid, nodes, 1000 * (round_ + 1))
        finally:
            await platform.close()
            agent.close()
            for node in nodes:
                node.close()
    return breaks


async def client(record: Record, platform: Platform, pid: int, nodes: list[Node], base: int) -> list[str]:
    """One client: sends the long read, then short ones, and reads all the time."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await loop.sock_connect(sock, ("127.0.0.1", platform.port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sent: list[str] = []
    begun = time.monotonic()

    async def send(number: int, shard: int) -> bool:
        request_id, data = request(base + number, volume=1, shard=shard)
        try:
            await loop.sock_sendall(sock, data)
        except OSError as error:
            record.add(f"client cannot send {request_id}: {error}")
            return False
        sent.append(request_id)
        record.add(f"client sends {request_id} for shard {shard}")
        return True

    async def sender() -> None:
        for number in range(1, SHORT + 1):
            await asyncio.sleep(max(0.0, begun + number * SENDS_EVERY_S - time.monotonic()))
            if not await send(number, 1):
                return

    async def operator() -> None:
        await asyncio.sleep(STANDBY_AFTER_S)
        record.add("operators call standby")
        record.add(f"door: {await call_door(platform.doors[pid], 'standby')}")

    await send(0, 0)
    tasks = [asyncio.create_task(sender())]
    if TROUBLE:
        tasks.append(asyncio.create_task(operator()))
    received, ended = bytearray(), ""
    while not ended and time.monotonic() - begun < PATIENCE_S:
        try:
            data = await asyncio.wait_for(loop.sock_recv(sock, READ_AT_ONCE), 1.0)
        except (TimeoutError, asyncio.TimeoutError):
            if len(split(bytes(received))) == len(sent) > SHORT:
                break  # all is answered
            continue
        except OSError as error:
            ended = str(error)
            break
        if not data:
            ended = "end of the stream"
        received += data
        await asyncio.sleep(len(data) / READS_BYTES_S)
    record.add(f"client has read {len(received)} bytes in {time.monotonic() - begun:.2f} s; {ended or 'still open'}")
    for task in tasks:
        task.cancel()
    sock.close()
    answers = split(bytes(received))
    breaks = []
    for number, request_id in enumerate(sent):
        what = answers[number] if number < len(answers) else "no whole answer"
        ran = any(command.id == request_id for node in nodes for command in node.commands)
        record.add(f"client has for {request_id}: {what[:40]}; run by a node: {ran}")
        if ran and number >= len(answers):
            breaks.append(f"{request_id} was run and answered by its node, and its client has {what} ({ended})")
    return breaks


def split(data: bytes) -> list[str]:
    """The whole answers in what a client has received."""
    answers, at = [], 0
    while (end := data.find(b"\r\n", at)) >= 0:
        line = data[at:end]
        if line.startswith(b"$"):
            size = int(line[1:])
            if end + 2 + size + 2 > len(data):
                break
            answers.append(f"served, {size} bytes")
            at = end + 2 + size + 2
        else:
            answers.append(line.decode())
            at = end + 2
    return answers


play(Path(__file__).parent, case)
