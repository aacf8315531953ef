"""Gateways, network and nodes of the simulated fleet: the real engine on a virtual clock."""

from __future__ import annotations

import random
from collections import Counter as Count
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop

from rackseam.interface import ListKind, NodeEntry, Outcome
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine
from stackrouter.core.facts import Subscriber
from stackrouter.core.model import Attempt, Exchange, Reply, Request, Result, Verdict
from stackrouter.model.node import Clock, Job, Meter, Node
from stackrouter.model.traffic import Arrival, Noisy, Traffic, draw

SAME_ZONE_US, OTHER_ZONE_US = 200, 1000  # one-way network delay, within a zone and between zones
ZONE_COUNT = 3
MAX_OPEN = 20_000
SETTLE_US = 4_000_000  # after the last arrival: longer than any deadline


def no_exchange() -> Exchange:
    raise RuntimeError("the model exchanges no bytes with nodes")


class SimulatedTransport:
    """The engine's transport in the model: delivers attempts and replies after the network's delay."""

    def __init__(self, fleet: Fleet, zone: int) -> None:
        self.fleet, self.zone = fleet, zone
        self.engine: Engine
        self._jobs: dict[Attempt, tuple[Node, Job]] = {}

    def _delay_us(self, node: str) -> int:
        return SAME_ZONE_US if self.fleet.node_index[node] % ZONE_COUNT == self.zone else OTHER_ZONE_US

    def start(self, attempt: Attempt) -> None:
        clock, node = self.fleet.clock, self.fleet.nodes[attempt.node.name]
        arrival = self.fleet.arrivals[attempt.request]
        delay_us = self._delay_us(attempt.node.name)
        job = Job(
            arrival.volume.name,
            arrival.units,
            arrival.work_us,
            attempt.request.write,
            partial(self._respond, attempt, delay_us),
        )
        self._jobs[attempt] = (node, job)
        attempt.may_have_run = True
        self.engine.written(attempt)
        clock.at(clock.now + delay_us, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        if attempt in self._jobs:
            node, job = self._jobs[attempt]
            node.take(job)

    def _respond(self, attempt: Attempt, delay_us: int, served: bool) -> None:
        if attempt not in self._jobs:
            return
        clock, (node, job) = self.fleet.clock, self._jobs[attempt]
        plan = self.engine.settings.plans[attempt.request.plan]
        usual = plan.usual_units_per_s * self.engine.settings.meter_us / 1e6
        used = round(100 * node.meter.units(clock.now, job.volume) / usual)
        reply = Reply(
            Outcome.DONE if served else Outcome.FULL, b"", used, 0.0, {"inflight": node.inflight()}, True
        )
        clock.at(clock.now + delay_us, self._ended, attempt, reply)

    def _ended(self, attempt: Attempt, reply: Reply) -> None:
        if self._jobs.pop(attempt, None) is not None:
            self.engine.attempt_ended(attempt, reply)
            self.fleet.turn(self.engine)

    def abort(self, attempt: Attempt) -> None:
        node, job = self._jobs.pop(attempt)
        delay_us = self._delay_us(attempt.node.name)
        self.fleet.clock.at(self.fleet.clock.now + delay_us, node.cancel, job)

    def close_idle(self, node: str) -> None:
        pass


class Fleet:
    """All gateways' engines and all nodes of one run."""

    def __init__(self, traffic: Traffic, seed: int, gateways: int, nodes: int) -> None:
        self.clock, self.traffic = Clock(), traffic
        rng = random.Random(f"nodes {seed}")
        meter = Meter(traffic.settings.meter_us, rng)
        names = [f"s-{rng.getrandbits(32):08x}" for _ in range(nodes)]
        self.node_index = {name: i for i, name in enumerate(names)}
        self.nodes = {n: Node(self.clock, random.Random(f"{n} {seed}"), meter) for n in names}
        self.engines = [self._engine(i) for i in range(gateways)]
        self.arrivals: dict[Request, Arrival] = {}
        self.latency_us: Count[str] = Count()
        self.verdicts: Count[Verdict] = Count()
        self._wake_at: dict[Engine, int] = {}

    def _engine(self, position: int) -> Engine:
        settings = replace(self.traffic.settings, position=position, seed=position)
        engine = Engine(settings, MAX_OPEN, Counters(), lambda: self.clock.now)
        engine.transport = transport = SimulatedTransport(self, position % ZONE_COUNT)
        transport.engine = engine
        return engine

    def turn(self, engine: Engine) -> None:
        """Run the engine's turn and schedule its next one for when a timer falls due."""
        engine.process_events()
        wait = engine.wait_us()
        if wait is not None:
            due = self.clock.now + max(1, wait)
            if due < self._wake_at.get(engine, 0) or self._wake_at.get(engine, 0) <= self.clock.now:
                self._wake_at[engine] = due
                self.clock.at(due, self._wake, engine, due)

    def _wake(self, engine: Engine, due: int) -> None:
        if self._wake_at.get(engine) == due:
            self.turn(engine)

    def _submit(self, arrival: Arrival) -> None:
        engine, classes = self.engines[arrival.gateway], self.traffic.settings.classes
        request = Request(
            arrival.request_class, arrival.volume.plan, arrival.volume.name, arrival.units, arrival.shard,
            len(arrival.volume.gateways), "", self.clock.now + classes[arrival.request_class].deadline_us,
            no_exchange, lambda result: None, "model", write=classes[arrival.request_class].writes,
        )  # fmt: skip
        request.answer = partial(self._answered, request, self.clock.now)
        self.arrivals[request] = arrival
        engine.submit(request)
        self.turn(engine)

    def _answered(self, request: Request, since: int, result: Result) -> None:
        self.latency_us[request.volume] += self.clock.now - since
        self.verdicts[result.verdict] += 1

    def run(self, progress: Callable[[int], None] = lambda now: None) -> None:
        entries = [NodeEntry(name, i, zone=i % ZONE_COUNT) for name, i in self.node_index.items()]
        for engine in self.engines:
            engine.update_nodes(ListKind.CACHED, 0, entries, dict.fromkeys(self.nodes, ("", 0)))
            engine.update_nodes(ListKind.FULL, 1, entries, dict.fromkeys(self.nodes, ("", 0)))
            self.turn(engine)
        for arrival in self.traffic.arrivals:
            self.clock.at(arrival.at, self._submit, arrival)
        end = (self.traffic.arrivals[-1].at if self.traffic.arrivals else 0) + SETTLE_US
        clock, due, reported_at = self.clock, self.clock.due, 0
        while due and due[0][0] <= end:
            clock.now, _, call, values = heappop(due)
            call(*values)
            if clock.now - reported_at > 250_000:
                reported_at = clock.now
                progress(reported_at)


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Result of one run. `latency_us`: by volume, summed over its requests, whatever their verdict."""

    noisy: str | None
    requests: int
    latency_us: dict[str, int]
    verdicts: dict[str, int]


def simulate(seed: int, noisy: Noisy, with_noise: bool = True, gateways: int = 3, nodes: int = 9,
             length_us: int = 15_000_000, subscribers: Sequence[Subscriber] = (),
             progress: Callable[[int], None] = lambda now: None) -> Outcomes:  # fmt: skip
    """Run the model once. `subscribers`: one for each gateway, or none."""
    traffic = draw(seed, noisy, with_noise, gateways, nodes, length_us)
    fleet = Fleet(traffic, seed, gateways, nodes)
    for engine, subscriber in zip(fleet.engines, subscribers, strict=False):
        engine.subscribe(subscriber)
    fleet.run(progress)
    latency = {volume.name: fleet.latency_us[volume.name] for volume in traffic.volumes}
    verdicts = {verdict.value: fleet.verdicts[verdict] for verdict in Verdict}
    return Outcomes(traffic.noisy.name if traffic.noisy else None, len(traffic.arrivals), latency, verdicts)
