"""CPU of a request in a gateway's engine and decision module, without sockets, against nodes and volumes."""

from __future__ import annotations

import random
import time
from pathlib import Path

from rackseam.interface import ListKind, NodeEntry, Outcome, Plan, RequestClass, Settings
from stackrouter.capacity import targets
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.model import Attempt, Exchange, Reply, Request
from stackrouter.errors import MeasureError

REQUESTS = 5_000
VOLUMES, NODES = 1_000, 1_000  # where the other of the two is varied
ADDRESS = ("127.0.0.1", 1)


class AnswersAtOnce:
    """A transport whose every attempt is served at once."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def start(self, attempt: Attempt) -> None:
        self._engine.ended(attempt, Reply(Outcome.DONE, b"x"))

    def give_up(self, attempt: Attempt) -> None:
        pass

    def close_idle(self, node: str) -> None:
        pass


class Clients:
    """Requests of so many volumes over so many shards, drawn from one seed."""

    def __init__(self, engine: Engine, volumes: int, shards: int) -> None:
        self.answered = 0
        self._engine, self._volumes, self._shards = engine, volumes, shards
        self._random = random.Random(7)

    def ask(self, count: int) -> None:
        for _ in range(count):
            self._ask_one(self._random.randrange(self._volumes))

    def ask_each_volume(self) -> None:
        for volume in range(self._volumes):
            self._ask_one(volume)

    def _ask_one(self, volume: int) -> None:
        self._engine.submit(Request(
            request_class=0, plan=0, volume=f"{volume:016x}", units=2.0,
            shard=self._random.randrange(self._shards), gateways=1, key="",
            deadline_us=clock_us() + 2_000_000, exchange=self._no_exchange,
            answer=self._answer, wire="x",
        ))  # fmt: skip
        while not self._engine.idle():
            self._engine.turn()

    def _answer(self, _: object) -> None:
        self.answered += 1

    def _no_exchange(self) -> Exchange:
        raise MeasureError("the transport answers without one")


def engine_with(nodes: int, plan: Plan) -> Engine:
    settings = Settings(
        classes=(RequestClass(aim_us=400_000, deadline_us=2_000_000),), plans=(plan,),
        gateways=targets.GATEWAYS, max_units=8.0, mean_units=2.0, cold_share=0.17, cold_us=16_000_000,
        cold_bears_units=14.0, fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip
    engine = Engine(settings, 100_000, Counters())
    engine.transport = AnswersAtOnce(engine)
    entries = [NodeEntry(f"s-{i:08x}", shard=i) for i in range(nodes)]
    engine.listed(ListKind.FULL, 1, entries, {entry.node: ADDRESS for entry in entries})
    while not engine.idle():
        engine.turn()
    return engine


def _cpu_us(nodes: int, volumes: int, plan: Plan) -> float:
    clients = Clients(engine_with(nodes, plan), volumes, nodes)
    clients.ask(REQUESTS // 10)  # what is made once is not measured
    began = time.process_time()
    clients.ask(REQUESTS)
    spent = time.process_time() - began
    if clients.answered < 1.05 * REQUESTS:
        raise MeasureError(f"{clients.answered} of {1.1 * REQUESTS:.0f} requests were answered")
    return 1e6 * spent / REQUESTS


def against_nodes(nodes: int) -> dict[str, float]:
    return {"gateway.request.cpu_nodes": _cpu_us(nodes, VOLUMES, Plan())}


# A bucket that no request waits for, and that does not fill meanwhile: each volume that asked is remembered.
# The requests say that one gateway serves their volume, so none of this is divided.
REMEMBERED = Plan(limit_units_per_s=1e-3, burst_units=1e6, tolerance_units=1e6)


def against_volumes(volumes: int) -> dict[str, float]:
    """All volumes have asked before, and are remembered while the requests that count are asked."""
    engine = engine_with(NODES, REMEMBERED)
    clients = Clients(engine, volumes, NODES)
    before_kib = _rss_kib()
    clients.ask_each_volume()
    grown_kib = _rss_kib() - before_kib
    if len(engine.controller.volumes) != volumes:
        raise MeasureError(f"{len(engine.controller.volumes)} volumes are remembered, not {volumes}")
    began = time.process_time()
    clients.ask(REQUESTS)
    spent = time.process_time() - began
    return {
        "gateway.request.cpu_volumes": 1e6 * spent / REQUESTS,
        "gateway.memory.volumes": grown_kib / 1024,
    }


def _rss_kib() -> int:
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])
