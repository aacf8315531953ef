"""A planned restart while a client sends several commands at once: the last ones taken are never answered."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Client,
    Rig,
    new_id,
    play,
    read_answer,
    request,
    settings,
)

GATEWAYS, NODES = 3, 9
WORK_S = 0.044  # the mean work is 34 to 54 ms for a read, 39 to 62 ms for a write
BATCH, EVERY_S = 3, 0.030  # so many commands at once, so often: 100 a second, spread over all nodes
READ_WAIT_MS, WRITE_WAIT_MS = 2000, 3000
KILL_S = 3.7  # the longest deadline (3 s) and 0.7 s: no SIGKILL comes sooner
SETTLE_S = 3.0


async def case(rig: Rig) -> int:
    await rig.start(nodes=NODES, gateways=GATEWAYS, conf=settings(NODES, GATEWAYS), work_s=WORK_S)
    sent_at: dict[str, float] = {}  # request id: when its last byte was written
    told: dict[str, bytes] = {}
    unanswered: dict[str, str] = {}  # request id: its client
    stop = asyncio.Event()

    async def client(number: int) -> None:
        gateway = rig.gateways[number]
        connection = await Client.connect(gateway.listen)
        waiting: list[str] = []
        name = f"client of {gateway.name}"

        async def read() -> None:
            while (answer := await read_answer(connection.reader)) is not None:
                request_id = waiting.pop(0)
                told[request_id] = answer
                rig.record(f"{name} is told of {request_id}: {answer!r}")
            rig.record(f"{name}: its connection ended, {len(waiting)} without an answer")
            unanswered.update((request_id, name) for request_id in waiting)

        reader = asyncio.create_task(read())
        while not stop.is_set() and not reader.done():
            batch = []
            for _ in range(BATCH):
                request_id, shard = new_id(), len(sent_at) % NODES
                if len(sent_at) % 2:
                    data = request("BLK.READ", piece=new_id(), request_id=request_id, shard=shard,
                                   wait_ms=READ_WAIT_MS, volume=f"{shard:016x}")  # fmt: skip
                else:
                    data = request("BLK.WRITE", piece=new_id(), request_id=request_id, shard=shard,
                                   wait_ms=WRITE_WAIT_MS, volume=f"{shard:016x}", key=new_id(),
                                   body=b"turn")  # fmt: skip
                batch.append(data)
                waiting.append(request_id)
                sent_at[request_id] = rig.record.now()
                rig.record(f"{name} sends {request_id}")
            try:
                connection.writer.write(b"".join(batch))
                await connection.writer.drain()
            except OSError:
                break
            await asyncio.sleep(EVERY_S)
        # No more is sent: what is out is answered, or the connection ends.
        until = rig.record.now() + SETTLE_S
        while waiting and not reader.done() and rig.record.now() < until:
            await asyncio.sleep(0.01)
        unanswered.update((request_id, name) for request_id in waiting)
        reader.cancel()
        connection.close()

    clients = [asyncio.create_task(client(i)) for i in range(GATEWAYS)]
    await asyncio.sleep(2.0)
    target, began = rig.gateways[0], rig.record.now()
    process = target.process
    assert process is not None
    if TROUBLE:
        target.signal(signal.SIGTERM)
    while process.poll() is None and rig.record.now() < began + KILL_S:
        await asyncio.sleep(0.005)
    if TROUBLE and process.poll() is not None:
        rig.record(f"n0 ended by itself, with {process.returncode}, "
                   f"{rig.record.now() - began:.3f} s after SIGTERM")  # fmt: skip
    elif TROUBLE:
        target.signal(signal.SIGKILL)
    stop.set()
    await asyncio.wait_for(asyncio.gather(*clients), 20.0)

    # A request that the gateway has not read may be sent again on a new connection: only those count that
    # the gateway had taken for certain, since a node had got them from it.
    lost = [r for r in unanswered if any(r in node.commands for node in rig.nodes)]
    for request_id in lost:
        where = [node.name for node in rig.nodes if request_id in node.commands]
        rig.record(f"LOST: {request_id} of the {unanswered[request_id]}, sent "
                   f"{sent_at[request_id] - began:.3f} s after SIGTERM, passed on to {where}")  # fmt: skip
    rig.record(f"sent {len(sent_at)}, answered {len(told)}, without an answer {len(unanswered)}, of these "
               f"taken and passed on {len(lost)}")  # fmt: skip
    if not told:
        raise CannotRunError("nothing was answered")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
