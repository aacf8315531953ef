"""A control replica's state machine and codec, without sockets or log: what gateways and changes cost.

Time is virtual: so many seconds of a replica's life are played as fast as they can be, and the CPU that they
took is told for each of these seconds. Barriers are confirmed after a fixed time, as by a log that keeps up.
What sockets and the log cost comes on top: docs/capacity/scale.json has whole processes.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from dataclasses import dataclass, field

from stackrouter.capacity import targets
from stackrouter.capacity.measure.lists import endpoints
from stackrouter.controlplane.codec import MOST_TO_REPLICA, FrameDecoder, encode
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
from stackrouter.coord.policy import Rules
from stackrouter.coord.port import LogPosition
from stackrouter.errors import MeasureError

HISTORY = "measured"
STEP_US = 5_000
BARRIER_US = 20_000  # from a barrier's start to its confirmation
PLAYED_S = 3
GATEWAYS = targets.GATEWAYS // targets.REPLICAS  # of one replica, where other quantities are varied
POLICY_BYTES = 8 * 1024
LIMITS = ReplicaLimits(most_gateways=20_000, most_unknown=20_000)
RULES = Rules(validity_us=2_000_000, max_drift_us=200_000)  # as `control` has it unless set
HEARTBEAT_MS = RULES.heartbeat_every_us / 1000


def state_of(nodes: int) -> ReplicatedState:
    """A state with so many nodes, one version of the policy, and the number 1."""
    messages = {item["name"]: node_message(item) for item in endpoints(nodes)}
    return ReplicatedState(LogPosition(HISTORY, 1), [], 0, 1, messages)


@dataclass
class Gateway:
    """A gateway as its replica sees it: frames that are encoded before time is taken."""

    name: str
    decoder: FrameDecoder = field(default_factory=lambda: FrameDecoder(MOST_TO_REPLICA))
    sequence: int = 0

    def hello(self, number: int) -> bytes:
        resume = position_message(LogPosition(HISTORY, number)) if number else None
        return encode(Frame(hello=Hello(protocol=1, gateway=self.name, life="1", resume=resume)))

    def heartbeat(self) -> bytes:
        self.sequence += 1
        beat = Heartbeat(
            sequence=self.sequence, serving=0, position=position_message(LogPosition(HISTORY, 1))
        )
        return encode(Frame(heartbeat=beat))


class Play:
    """One replica and its gateways in virtual time."""

    def __init__(self, nodes: int) -> None:
        self.machine = ReplicaStateMachine("replica-1", LIMITS)
        self.now = 1_000_000
        self.bytes_out = self.bytes_in = self.barriers = self.closed = 0
        self._state = state_of(nodes)
        self._barriers: list[tuple[int, int]] = []  # when, which
        self._touched: set[int] = set()
        self._carry_out(self.machine.loaded(self._state, self.now))
        self.advance(4 * LIMITS.barrier_interval_us)

    def connect(self, reader: int, gateway: Gateway, number: int) -> None:
        self._carry_out(self.machine.accepted(reader, self.now))
        self.receive(reader, gateway, gateway.hello(number))

    def receive(self, reader: int, gateway: Gateway, data: bytes) -> None:
        self.bytes_in += len(data)
        for frame in gateway.decoder.feed(data):
            self._carry_out(self.machine.received(reader, frame, self.now))

    def commit(self, delta: Delta) -> None:
        self._carry_out(self.machine.committed(delta.number, delta, self.now))

    def advance(self, us: int) -> None:
        """Let time pass in steps; what was written is sent at once."""
        until = self.now + us
        while self.now < until:
            self.now += STEP_US
            while self._barriers and self._barriers[0][0] <= self.now:
                _, barrier = self._barriers.pop(0)
                position = self._state.position
                self._carry_out(self.machine.barrier_confirmed(barrier, position, self.now))
            while self._touched:
                self._carry_out(self.machine.queued(self._touched.pop(), 0, self.now))
            if self.machine.next_at() <= self.now:
                self._carry_out(self.machine.tick(self.now))

    def _carry_out(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            match action:
                case Write():
                    self.bytes_out += len(action.data)
                    self._touched.add(action.reader)
                case StartBarrier():
                    self.barriers += 1
                    self._barriers.append((self.now + BARRIER_US, action.barrier))
                case Close():
                    self.closed += 1
                    self._touched.discard(action.reader)
                case _:
                    raise MeasureError(f"{type(action).__name__} was not expected")


def _joined(play: Play, gateways: int) -> list[Gateway]:
    """So many gateways that have everything already."""
    joined = [Gateway(f"gateway-{i:05d}") for i in range(gateways)]
    for reader, gateway in enumerate(joined, 1):
        play.connect(reader, gateway, 1)
    play.advance(100_000)
    if play.closed:
        raise MeasureError(f"{play.closed} of {gateways} gateways were sent away")
    return joined


def heartbeats(gateways: int) -> dict[str, float]:
    """Every gateway sends its heartbeats; each is answered."""
    play = Play(60)
    joined = _joined(play, gateways)
    every_us = RULES.heartbeat_every_us
    steps: list[list[tuple[int, bytes]]] = [[] for _ in range(PLAYED_S * 1_000_000 // STEP_US)]
    sent = 0
    for reader, gateway in enumerate(joined, 1):
        for at in range(reader * 7_919 % every_us, PLAYED_S * 1_000_000, every_us):
            steps[at // STEP_US].append((reader, gateway.heartbeat()))
            sent += 1
    play.bytes_out = play.bytes_in = play.barriers = 0
    answered = play.machine.counts.answers
    began = time.process_time()
    for step in steps:
        for reader, data in step:
            play.receive(reader, joined[reader - 1], data)
        play.advance(STEP_US)
    spent = time.process_time() - began
    answered = play.machine.counts.answers - answered
    if answered < 0.9 * sent or play.closed:
        raise MeasureError(f"{answered} of {sent} heartbeats were answered, {play.closed} were sent away")
    return {
        "replica.heartbeats.cpu": 1000 * spent / PLAYED_S,
        "replica.heartbeats.bytes": (play.bytes_in + play.bytes_out) / PLAYED_S / 1024,
        "replica.heartbeats.barriers": play.barriers / PLAYED_S,
    }


def memory(gateways: int) -> dict[str, float]:
    """Objects that a replica keeps for its gateways; buffers of sockets come on top."""
    play = Play(60)
    tracemalloc.start()
    _joined(play, gateways)
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"replica.memory.gateways": grown / (1 << 20)}


def changes(changes_s: int) -> dict[str, float]:
    """So many policy changes a second (a version and its activation), each written to all gateways."""
    play = Play(60)
    joined = _joined(play, GATEWAYS)
    numbers = iter(range(2, 10_000))
    body = "x" * POLICY_BYTES
    deltas: list[Delta] = []
    for version in range(1, changes_s * PLAYED_S + 1):
        policy = PolicyVersion(number=version, digest="d", body=body, after_us=2_500_000, proposed_by="o")
        deltas += [
            Delta(number=next(numbers), committed=policy),
            Delta(number=next(numbers), activated=version),
        ]
    play.bytes_out = 0
    began = time.process_time()
    for delta in deltas:
        play.commit(delta)
        play.advance(PLAYED_S * 1_000_000 // len(deltas))
    spent = time.process_time() - began
    if play.closed:
        raise MeasureError(f"{play.closed} of {len(joined)} gateways were sent away")
    return {
        "replica.changes.cpu": 1000 * spent / PLAYED_S,
        "replica.changes.bytes": play.bytes_out / PLAYED_S / 1024,
    }


def node_changes(changed: int) -> dict[str, float]:
    """One change of the list with so many entries, written to all gateways of a replica."""
    play = Play(targets.NODES)
    _joined(play, GATEWAYS)
    nodes = [node_message({**item, "status": "draining"}) for item in endpoints(changed)]
    delta = Delta(number=2, nodes=NodeChanges(index=2, nodes=nodes))
    play.bytes_out = 0
    began = time.process_time()
    play.commit(delta)
    spent = time.process_time() - began
    if play.closed:
        raise MeasureError(f"{play.closed} gateways were sent away")
    return {
        "replica.node_changes.cpu": 1000 * spent,
        "replica.node_changes.bytes": play.bytes_out / GATEWAYS / 1024,
    }


def restarts(restarts_s: int) -> dict[str, float]:
    """So many gateways a second connect with nothing and get a snapshot of the whole list."""
    play = Play(targets.NODES)
    _joined(play, GATEWAYS)
    began, before = time.process_time(), play.machine.counts.snapshots
    for n in range(restarts_s * PLAYED_S):
        play.connect(100_000 + n, Gateway(f"gateway-{n % GATEWAYS:05d}"), 0)
        play.advance(1_000_000 // restarts_s)
    spent = time.process_time() - began
    if play.machine.counts.snapshots - before < 0.9 * restarts_s * PLAYED_S:
        raise MeasureError(f"{play.machine.counts.snapshots - before} snapshots of {restarts_s * PLAYED_S}")
    return {"replica.restarts.cpu": 1000 * spent / PLAYED_S}


def snapshot(nodes: int) -> dict[str, float]:
    """A snapshot is made, and taken by a gateway's assembler."""
    state = state_of(nodes)
    began = time.process_time()
    made = Snapshot(state)
    frames = [made.frame(part) for part in range(made.parts)]
    made_s = time.process_time() - began
    decoder, assembler, whole = FrameDecoder(8 << 20), SnapshotAssembler(), None
    gc.freeze()  # what stands so far is another process's
    began, longest, taken = time.process_time(), 0.0, list[Node]()
    for data in frames:
        one = time.perf_counter()
        for frame in decoder.feed(data):
            whole = assembler.add(frame.snapshot_part)
        longest = max(longest, time.perf_counter() - one)
    if whole is None:
        raise MeasureError("the snapshot did not come whole")
    for chunk in range(len(whole.node_chunks)):
        one = time.perf_counter()
        taken += whole.nodes(chunk)
        longest = max(longest, time.perf_counter() - one)
    read_s = time.process_time() - began
    if len(taken) != nodes:
        raise MeasureError(f"{len(taken)} nodes came, not {nodes}")
    began = time.process_time()
    ReplicaStateMachine("replica-2", LIMITS).loaded(whole.state(), 1_000_000)
    start_s = time.process_time() - began
    return {
        "replica.snapshot.cpu": 1000 * made_s,
        "replica.start.cpu": 1000 * start_s,
        "replica.snapshot.bytes": sum(map(len, frames)) / 1024,
        "gateway.snapshot.cpu": 1000 * read_s,
        "gateway.snapshot.hold": 1000 * longest,
    }
