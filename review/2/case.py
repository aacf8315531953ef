"""Bad clients send hundreds of commands at once: the gateway grows past its memory and is killed for it."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from rig import BROKEN, HELD, TROUBLE, CannotRunError, Client, Rig, new_id, play, request, settings

GATEWAYS, NODES = 3, 9
MEMORY_MB, SOCKETS = 64, 1024  # gateways have 32 to 192 MB, and 1,024 descriptors at most
BAD_PROCESSES, BAD_CLIENTS_EACH = 4, 15  # 60 bad clients; usual ones may hold 341 of 1,024 descriptors
COMMANDS_EACH, VALUE_BYTES = 200, 64 * 1024
TIMES = 4  # they come again as soon as they have been turned away
USUAL_CLIENTS, USUAL_EVERY_S = 6, 0.1
USUAL_WAIT_MS = 2000
PLAYED_S = 20.0
POLL_S = 0.01


async def case(rig: Rig) -> int:
    await rig.start(nodes=NODES, gateways=GATEWAYS, conf=settings(NODES, GATEWAYS), memory_mb=MEMORY_MB,
                    sockets=SOCKETS)  # fmt: skip
    target = rig.gateways[0]
    peaks = {gateway.name: 0.0 for gateway in rig.gateways}
    killed: list[str] = []
    over = asyncio.Event()
    told: dict[str, str] = {}

    async def platform() -> None:
        """Kills a gateway that is over its memory, as the deployment page says."""
        while True:
            for gateway in rig.gateways:
                if gateway.name in killed:
                    continue
                if gateway.process is None or gateway.process.poll() is not None:
                    raise CannotRunError(f"{gateway.name} ended by itself")
                rss = gateway.rss_mb()
                peaks[gateway.name] = max(peaks[gateway.name], rss)
                if rss > MEMORY_MB:
                    rig.record(f"{gateway.name} is at {rss:.0f} MB of {MEMORY_MB} MB: the platform kills it")
                    gateway.signal(signal.SIGKILL)
                    killed.append(gateway.name)
                    over.set()
            await asyncio.sleep(POLL_S)

    async def usual_client(number: int) -> None:
        gateway = rig.gateways[number % GATEWAYS]
        connection = await Client.connect(gateway.listen)
        while not over.is_set():
            request_id, shard = new_id(), number % NODES
            rig.record(f"usual client of {gateway.name} sends {request_id}")
            answer = await connection.ask(request(
                "BLK.READ", piece=new_id(), request_id=request_id, shard=shard, wait_ms=USUAL_WAIT_MS,
                volume=f"{shard:016x}",
            ))  # fmt: skip
            told[request_id] = "nothing" if answer is None else answer.decode("latin-1")
            rig.record(f"usual client of {gateway.name} is told of {request_id}: {told[request_id]!r}")
            if answer is None:
                connection.close()
                if over.is_set():
                    return
                connection = await Client.connect(gateway.listen)
            await asyncio.sleep(USUAL_EVERY_S)
        connection.close()

    watcher = asyncio.create_task(platform())
    usual = [asyncio.create_task(usual_client(i)) for i in range(USUAL_CLIENTS)]
    await asyncio.sleep(2.0)
    floods = []
    if TROUBLE:
        rig.record(f"{BAD_PROCESSES * BAD_CLIENTS_EACH} bad clients of {target.name} connect; each sends "
                   f"{COMMANDS_EACH} writes of {VALUE_BYTES} bytes at once")  # fmt: skip
        for _ in range(BAD_PROCESSES):
            floods.append(await asyncio.create_subprocess_exec(
                sys.executable, "-B", str(Path(__file__).with_name("flood.py")), target.listen,
                str(BAD_CLIENTS_EACH), str(COMMANDS_EACH), str(VALUE_BYTES), str(TIMES),
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
            ))  # fmt: skip
    try:
        await asyncio.wait([asyncio.create_task(over.wait()), watcher], timeout=PLAYED_S,
                           return_when=asyncio.FIRST_COMPLETED)  # fmt: skip
        if watcher.done():
            watcher.result()
        over.set()
        await asyncio.wait(usual, timeout=5.0)
    finally:
        for flood in floods:
            if flood.returncode is None:
                flood.kill()
            output, _ = await flood.communicate()
            rig.record(f"bad clients were told: {output.decode().strip() or 'ended early'}")
        watcher.cancel()
    unanswered = [request_id for request_id, answer in told.items() if answer == "nothing"]
    for request_id in unanswered:
        rig.record(f"NEVER ANSWERED: {request_id} of a usual client")
    rig.record(f"most memory: {', '.join(f'{n} {mb:.0f} MB' for n, mb in peaks.items())} of {MEMORY_MB} MB; "
               f"usual requests {len(told)}, never answered {len(unanswered)}")  # fmt: skip
    if not told:
        raise CannotRunError("no usual request was played")
    return BROKEN if killed else HELD


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
