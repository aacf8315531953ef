"""A configuration file with a key missing is put in force: writes that must not be repeated run twice."""

from __future__ import annotations

import asyncio
import copy
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
    Node,
    Rig,
    new_id,
    play,
    request,
    settings,
)

GATEWAYS, NODES = 3, 9
WRITES_EACH = 40  # of each client
EVERY_S = 0.10
RESET_EVERY = 4  # one in so many writes is reset once it has run: its answer is lost
BINDS_AFTER_S = 1.2


async def case(rig: Rig) -> int:
    conf = settings(NODES, GATEWAYS)
    conf["Profiles"][1] |= {"Effect": "unsafe"}  # turn-write may not be repeated at all
    await rig.start(nodes=NODES, gateways=GATEWAYS, conf=conf)
    written: dict[str, str] = {}  # request id: what its client was told
    resets: set[str] = set()

    def hook(node: Node, words: list[bytes], run: int) -> bytes | None:
        request_id = words[2].decode()
        if words[0] == b"BLK.WRITE" and run == 1 and int(request_id, 16) % RESET_EVERY == 0:
            resets.add(request_id)
            return None
        return node.answer(words[4] if len(words) > 4 else b"value of " + words[1])

    for node in rig.nodes:
        node.hook = hook

    async def client(gateway: int, shard: int) -> None:
        connection = None
        for number in range(WRITES_EACH):
            if connection is None:
                connection = await Client.connect(rig.gateways[gateway].listen)
            request_id = new_id()
            rig.record(f"client of n{gateway} sends {request_id}")
            answer = await connection.ask(request(
                "BLK.WRITE", piece=new_id(), request_id=request_id, shard=shard, wait_ms=3000,
                volume=f"{shard:016x}", body=b"turn %d" % number,
            ))  # fmt: skip
            written[request_id] = "nothing" if answer is None else answer.decode("latin-1")
            rig.record(f"client of n{gateway} is told of {request_id}: {written[request_id]!r}")
            if answer is None:
                connection.close()
                connection = None
            await asyncio.sleep(EVERY_S)
        if connection is not None:
            connection.close()

    await asyncio.sleep(1.2)  # never within the first second
    for gateway in rig.gateways:
        file = copy.deepcopy(gateway.config)
        if TROUBLE:
            del file["settings"]["Profiles"][1]["Effect"]  # the file is broken: a key is missing
        gateway.write(file)
        gateway.signal(signal.SIGHUP)
    await asyncio.sleep(BINDS_AFTER_S + 0.2)
    await asyncio.gather(*(client(shard % GATEWAYS, shard) for shard in range(NODES)))

    ran = {r: times for node in rig.nodes for r, times in node.runs.items() if r in written}
    twice = sorted(request_id for request_id, times in ran.items() if len(times) > 1)
    for request_id in twice:
        rig.record(f"RAN {len(ran[request_id])} TIMES: {request_id} at {ran[request_id]}")
    rig.record(f"writes {len(written)}, reset after they ran {len(resets)}, ran more than once {len(twice)}")
    if not resets or len(written) < NODES * WRITES_EACH:
        raise CannotRunError("too few writes")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
