"""Measures CPU of a request in the engine and decision module, without sockets, by nodes and volumes."""

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
VOLUMES, NODES = 1_000, 1_000  # fixed value of each where the other is varied
ADDRESS = ("127.0.0.1", 1)


class InstantTransport:
    """A transport that completes every attempt at once."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def start(self, attempt: Attempt) -> None:
        self._engine.attempt_ended(attempt, Reply(Outcome.DONE, b"x"))

    def abort(self, attempt: Attempt) -> None:
        pass

    def close_idle(self, node: str) -> None:
        pass


class RequestSource:
    """Submits requests for random volumes and shards, from a fixed seed."""

    def __init__(self, engine: Engine, volumes: int, shards: int) -> None:
        self.answered = 0
        self._engine, self._volumes, self._shards = engine, volumes, shards
        self._random = random.Random(7)

    def submit(self, count: int) -> None:
        for _ in range(count):
            self._submit_one(self._random.randrange(self._volumes))

    def submit_each_volume(self) -> None:
        for volume in range(self._volumes):
            self._submit_one(volume)

    def _submit_one(self, volume: int) -> None:
        self._engine.submit(Request(
            request_class=0, plan=0, volume=f"{volume:016x}", units=2.0,
            shard=self._random.randrange(self._shards), gateways=1, key="",
            deadline_us=clock_us() + 2_000_000, exchange=self._no_exchange,
            answer=self._answer, wire="x",
        ))  # fmt: skip
        while not self._engine.idle():
            self._engine.process_events()

    def _answer(self, _: object) -> None:
        self.answered += 1

    def _no_exchange(self) -> Exchange:
        raise MeasureError("this transport needs no exchange")


def make_engine(nodes: int, plan: Plan) -> Engine:
    settings = Settings(
        classes=(RequestClass(aim_us=400_000, deadline_us=2_000_000),), plans=(plan,),
        gateways=targets.GATEWAYS, max_units=8.0, mean_units=2.0, cold_share=0.17, cold_us=16_000_000,
        cold_bears_units=14.0, fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip
    engine = Engine(settings, 100_000, Counters())
    engine.transport = InstantTransport(engine)
    entries = [NodeEntry(f"s-{i:08x}", shard=i) for i in range(nodes)]
    engine.update_nodes(ListKind.FULL, 1, entries, {entry.node: ADDRESS for entry in entries})
    while not engine.idle():
        engine.process_events()
    return engine


def _cpu_us(nodes: int, volumes: int, plan: Plan) -> float:
    source = RequestSource(make_engine(nodes, plan), volumes, nodes)
    source.submit(REQUESTS // 10)  # warm-up, so that one-time work is not measured
    began = time.process_time()
    source.submit(REQUESTS)
    cpu_s = time.process_time() - began
    if source.answered < 1.05 * REQUESTS:
        raise MeasureError(f"{source.answered} of {1.1 * REQUESTS:.0f} requests were answered")
    return 1e6 * cpu_s / REQUESTS


def against_nodes(nodes: int) -> dict[str, float]:
    return {"gateway.request.cpu_nodes": _cpu_us(nodes, VOLUMES, Plan())}


# A bucket large enough that no request waits and too slow to refill during a run, so that every volume with a
# request stays in memory. The requests state one gateway for their volume, so the bucket is not divided.
RETAINED_VOLUME_PLAN = Plan(limit_units_per_s=1e-3, burst_units=1e6, tolerance_units=1e6)


def against_volumes(volumes: int) -> dict[str, float]:
    """Measure requests while all volumes are held in memory from earlier requests."""
    engine = make_engine(NODES, RETAINED_VOLUME_PLAN)
    source = RequestSource(engine, volumes, NODES)
    before_kib = _rss_kib()
    source.submit_each_volume()
    grown_kib = _rss_kib() - before_kib
    if len(engine.controller.volumes) != volumes:
        raise MeasureError(f"{len(engine.controller.volumes)} volumes are in memory instead of {volumes}")
    began = time.process_time()
    source.submit(REQUESTS)
    cpu_s = time.process_time() - began
    return {
        "gateway.request.cpu_volumes": 1e6 * cpu_s / REQUESTS,
        "gateway.memory.volumes": grown_kib / 1024,
    }


def _rss_kib() -> int:
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])
