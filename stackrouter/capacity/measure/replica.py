"""Measures a control replica's state machine and codec, without sockets or log, under gateways and changes.

Time is virtual: `SIMULATED_S` seconds of a replica run as fast as possible, and their CPU time is given for
each of these seconds. Barriers are confirmed after a fixed time, as by a log that keeps up. Sockets and the
log cost more on top: docs/capacity/scale.json has figures of whole processes.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from dataclasses import dataclass, field

from stackrouter.capacity import targets
from stackrouter.capacity.measure.lists import endpoints
from stackrouter.controlplane.codec import MAX_TO_REPLICA_BYTES, FrameDecoder, encode
from stackrouter.controlplane.conversion import node_message, position_message
from stackrouter.controlplane.frames_pb2 import (
    Delta,
    Frame,
    Heartbeat,
    Hello,
    Node,
    NodeChanges,
    PolicyVersion,
)
from stackrouter.controlplane.replica import (
    Close,
    ReplicaAction,
    ReplicaLimits,
    ReplicaStateMachine,
    StartBarrier,
    Write,
)
from stackrouter.controlplane.snapshot import ReplicatedState, Snapshot, SnapshotAssembler
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.port import LogPosition
from stackrouter.errors import MeasureError

HISTORY = "measured"
STEP_US = 5_000
BARRIER_US = 20_000  # from a barrier's start to its confirmation
SIMULATED_S = 3
GATEWAYS = targets.GATEWAYS // targets.REPLICAS  # connected to the replica where other quantities are varied
POLICY_BYTES = 8 * 1024
LIMITS = ReplicaLimits(most_gateways=20_000, max_unidentified=20_000)
RULES = HeartbeatRules(validity_us=2_000_000, max_drift_us=200_000)  # defaults of `control`
HEARTBEAT_MS = RULES.heartbeat_every_us / 1000


def replica_state(nodes: int) -> ReplicatedState:
    """A state with so many nodes, policy version 0 alone, at log position 1."""
    messages = {item["name"]: node_message(item) for item in endpoints(nodes)}
    return ReplicatedState(LogPosition(HISTORY, 1), [], 0, 1, messages)


@dataclass
class Gateway:
    """A gateway as its replica sees it; its frames can be encoded before the timed part."""

    name: str
    decoder: FrameDecoder = field(default_factory=lambda: FrameDecoder(MAX_TO_REPLICA_BYTES))
    sequence: int = 0

    def hello(self, number: int) -> bytes:
        resume = position_message(LogPosition(HISTORY, number)) if number else None
        return encode(Frame(hello=Hello(protocol=1, gateway=self.name, life="1", resume=resume)))

    def heartbeat(self) -> bytes:
        self.sequence += 1
        message = Heartbeat(
            sequence=self.sequence, serving=0, position=position_message(LogPosition(HISTORY, 1))
        )
        return encode(Frame(heartbeat=message))


class ReplicaSimulation:
    """One replica and its gateways in virtual time."""

    def __init__(self, nodes: int) -> None:
        self.machine = ReplicaStateMachine("replica-1", LIMITS)
        self.now_us = 1_000_000
        self.bytes_out = self.bytes_in = self.barriers = self.closed = 0
        self._state = replica_state(nodes)
        self._barriers: list[tuple[int, int]] = []  # due time and barrier
        self._written: set[int] = set()
        self._apply(self.machine.loaded(self._state, self.now_us))
        self.advance(4 * LIMITS.barrier_interval_us)

    def connect(self, reader: int, gateway: Gateway, number: int) -> None:
        self._apply(self.machine.accepted(reader, self.now_us))
        self.receive(reader, gateway, gateway.hello(number))

    def receive(self, reader: int, gateway: Gateway, data: bytes) -> None:
        self.bytes_in += len(data)
        for frame in gateway.decoder.feed(data):
            self._apply(self.machine.received(reader, frame, self.now_us))

    def commit(self, delta: Delta) -> None:
        self._apply(self.machine.committed(delta.number, delta, self.now_us))

    def advance(self, us: int) -> None:
        """Advance time in steps; written data counts as sent at once."""
        end_us = self.now_us + us
        while self.now_us < end_us:
            self.now_us += STEP_US
            while self._barriers and self._barriers[0][0] <= self.now_us:
                _, barrier = self._barriers.pop(0)
                position = self._state.position
                self._apply(self.machine.barrier_confirmed(barrier, position, self.now_us))
            while self._written:
                self._apply(self.machine.unsent_bytes_changed(self._written.pop(), 0, self.now_us))
            if self.machine.next_at() <= self.now_us:
                self._apply(self.machine.tick(self.now_us))

    def _apply(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            match action:
                case Write():
                    self.bytes_out += len(action.data)
                    self._written.add(action.reader)
                case StartBarrier():
                    self.barriers += 1
                    self._barriers.append((self.now_us + BARRIER_US, action.barrier))
                case Close():
                    self.closed += 1
                    self._written.discard(action.reader)
                case _:
                    raise MeasureError(f"{type(action).__name__} was unexpected")


def _connect_gateways(simulation: ReplicaSimulation, gateways: int) -> list[Gateway]:
    """Connect so many gateways that are already up to date."""
    connected = [Gateway(f"gateway-{i:05d}") for i in range(gateways)]
    for reader, gateway in enumerate(connected, 1):
        simulation.connect(reader, gateway, 1)
    simulation.advance(100_000)
    if simulation.closed:
        raise MeasureError(f"{simulation.closed} of {gateways} gateways were disconnected")
    return connected


def heartbeats(gateways: int) -> dict[str, float]:
    """Measure the answers to the heartbeats of so many gateways."""
    simulation = ReplicaSimulation(60)
    connected = _connect_gateways(simulation, gateways)
    every_us = RULES.heartbeat_every_us
    steps: list[list[tuple[int, bytes]]] = [[] for _ in range(SIMULATED_S * 1_000_000 // STEP_US)]
    sent = 0
    for reader, gateway in enumerate(connected, 1):
        for at in range(reader * 7_919 % every_us, SIMULATED_S * 1_000_000, every_us):
            steps[at // STEP_US].append((reader, gateway.heartbeat()))
            sent += 1
    simulation.bytes_out = simulation.bytes_in = simulation.barriers = 0
    answered = simulation.machine.counts.answers
    began = time.process_time()
    for step in steps:
        for reader, data in step:
            simulation.receive(reader, connected[reader - 1], data)
        simulation.advance(STEP_US)
    cpu_s = time.process_time() - began
    answered = simulation.machine.counts.answers - answered
    if answered < 0.9 * sent or simulation.closed:
        raise MeasureError(
            f"{answered} of {sent} heartbeats were answered, {simulation.closed} gateways were disconnected"
        )
    return {
        "replica.heartbeats.cpu": 1000 * cpu_s / SIMULATED_S,
        "replica.heartbeats.bytes": (simulation.bytes_in + simulation.bytes_out) / SIMULATED_S / 1024,
        "replica.heartbeats.barriers": simulation.barriers / SIMULATED_S,
    }


def memory(gateways: int) -> dict[str, float]:
    """Measure the objects that a replica keeps for its gateways; socket buffers are not included."""
    simulation = ReplicaSimulation(60)
    tracemalloc.start()
    _connect_gateways(simulation, gateways)
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"replica.memory.gateways": grown / (1 << 20)}


def changes(changes_s: int) -> dict[str, float]:
    """Measure so many policy changes a second (version and activation), each written to all gateways."""
    simulation = ReplicaSimulation(60)
    connected = _connect_gateways(simulation, GATEWAYS)
    numbers = iter(range(2, 10_000))
    body = "x" * POLICY_BYTES
    deltas: list[Delta] = []
    for version in range(1, changes_s * SIMULATED_S + 1):
        policy = PolicyVersion(number=version, digest="d", body=body, after_us=2_500_000, proposed_by="o")
        deltas += [
            Delta(number=next(numbers), committed=policy),
            Delta(number=next(numbers), activated=version),
        ]
    simulation.bytes_out = 0
    began = time.process_time()
    for delta in deltas:
        simulation.commit(delta)
        simulation.advance(SIMULATED_S * 1_000_000 // len(deltas))
    cpu_s = time.process_time() - began
    if simulation.closed:
        raise MeasureError(f"{simulation.closed} of {len(connected)} gateways were disconnected")
    return {
        "replica.changes.cpu": 1000 * cpu_s / SIMULATED_S,
        "replica.changes.bytes": simulation.bytes_out / SIMULATED_S / 1024,
    }


def node_changes(changed: int) -> dict[str, float]:
    """Measure one change of the list with so many entries, written to all gateways of a replica."""
    simulation = ReplicaSimulation(targets.NODES)
    _connect_gateways(simulation, GATEWAYS)
    nodes = [node_message({**item, "status": "draining"}) for item in endpoints(changed)]
    delta = Delta(number=2, nodes=NodeChanges(index=2, nodes=nodes))
    simulation.bytes_out = 0
    began = time.process_time()
    simulation.commit(delta)
    cpu_s = time.process_time() - began
    if simulation.closed:
        raise MeasureError(f"{simulation.closed} gateways were disconnected")
    return {
        "replica.node_changes.cpu": 1000 * cpu_s,
        "replica.node_changes.bytes": simulation.bytes_out / GATEWAYS / 1024,
    }


def restarts(restarts_s: int) -> dict[str, float]:
    """Measure so many gateways a second that connect without state and get a snapshot of the whole list."""
    simulation = ReplicaSimulation(targets.NODES)
    _connect_gateways(simulation, GATEWAYS)
    began, before = time.process_time(), simulation.machine.counts.snapshots
    for n in range(restarts_s * SIMULATED_S):
        simulation.connect(100_000 + n, Gateway(f"gateway-{n % GATEWAYS:05d}"), 0)
        simulation.advance(1_000_000 // restarts_s)
    cpu_s = time.process_time() - began
    if simulation.machine.counts.snapshots - before < 0.9 * restarts_s * SIMULATED_S:
        raise MeasureError(
            f"{simulation.machine.counts.snapshots - before} of {restarts_s * SIMULATED_S} "
            "snapshots were sent"
        )
    return {"replica.restarts.cpu": 1000 * cpu_s / SIMULATED_S}


def snapshot(nodes: int) -> dict[str, float]:
    """Measure building a snapshot, reading it with a gateway's assembler, and starting a replica from it."""
    state = replica_state(nodes)
    began = time.process_time()
    built = Snapshot(state)
    frames = [built.frame(part) for part in range(built.parts)]
    built_s = time.process_time() - began
    decoder, assembler, assembled = FrameDecoder(8 << 20), SnapshotAssembler(), None
    gc.freeze()  # objects so far belong to another process in production: keep them out of GC
    began, longest, nodes_read = time.process_time(), 0.0, list[Node]()
    for data in frames:
        started = time.perf_counter()
        for frame in decoder.feed(data):
            assembled = assembler.add(frame.snapshot_part)
        longest = max(longest, time.perf_counter() - started)
    if assembled is None:
        raise MeasureError("the snapshot is incomplete")
    for chunk in range(len(assembled.node_chunks)):
        started = time.perf_counter()
        nodes_read += assembled.nodes(chunk)
        longest = max(longest, time.perf_counter() - started)
    read_s = time.process_time() - began
    if len(nodes_read) != nodes:
        raise MeasureError(f"{len(nodes_read)} nodes were read instead of {nodes}")
    began = time.process_time()
    ReplicaStateMachine("replica-2", LIMITS).loaded(assembled.state(), 1_000_000)
    start_s = time.process_time() - began
    return {
        "replica.snapshot.cpu": 1000 * built_s,
        "replica.start.cpu": 1000 * start_s,
        "replica.snapshot.bytes": sum(map(len, frames)) / 1024,
        "gateway.snapshot.cpu": 1000 * read_s,
        "gateway.snapshot.hold": 1000 * longest,
    }
