"""A simulated control plane without I/O: a quorum, replicas, gateways with their own clocks, and faults.

The world's time is true time in microseconds; each gateway's clock runs at its own rate. Connections are
FIFO: bytes arrive in order, or are lost together with the connection. `check` asserts the invariants after
each step.
"""

from __future__ import annotations

import copy
from collections import deque
from dataclasses import dataclass, field
from random import Random

from stackrouter.controlplane.codec import MAX_TO_GATEWAY_BYTES, MAX_TO_REPLICA_BYTES, FrameDecoder, encode
from stackrouter.controlplane.conversion import REMOVED, delta_from
from stackrouter.controlplane.observer import (
    ChangeReceived,
    Connect,
    GatewayIdentity,
    Hangup,
    HeartbeatConfirmed,
    Link,
    Observer,
    ObserverAction,
    ObserverTimes,
    SendFrame,
    StateLoaded,
    TakeNodes,
    TakePolicy,
)
from stackrouter.controlplane.replica import (
    Close,
    ReloadState,
    ReplicaAction,
    ReplicaLimits,
    ReplicaStateMachine,
    StartBarrier,
    Write,
)
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.coord.ledger import Ledger
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine
from stackrouter.coord.port import (
    Acquire,
    Activate,
    ActiveSeen,
    Barrier,
    BeginHistory,
    Command,
    ListingSeen,
    PolicySeen,
    Propose,
    Publish,
)

MS = 1000
STEP_US = 25 * MS
VALIDITY_US, MAX_DRIFT_US = 800 * MS, 80 * MS
DRIFT = 0.1  # clock rates lie between 1 - DRIFT and 1 + DRIFT: 720 ms on the slowest clock are 800 ms
AFTER_US = 1200 * MS
RULES = HeartbeatRules(validity_us=VALIDITY_US, max_drift_us=MAX_DRIFT_US)
LATENCY_US, SLOW_US = 10 * MS, 250 * MS  # maximum one-way latency; of a slow gateway
LIMITS = ReplicaLimits(
    most_gateways=4, max_unidentified=8, hello_timeout_us=200 * MS, silence_timeout_us=1000 * MS,
    barrier_interval_us=30 * MS, barrier_timeout_us=150 * MS, max_snapshot_transfers=1,
    snapshot_bytes_s=100_000, snapshot_window_bytes=4000, snapshot_timeout_us=1000 * MS,
    max_log_entries=4, max_resume_bytes=2000, max_delta_bytes=4000, retry_after_us=20 * MS,
)  # fmt: skip
TIMES = ObserverTimes(
    connect_timeout_us=300 * MS, welcome_timeout_us=600 * MS, silence_timeout_us=700 * MS,
    snapshot_timeout_us=2500 * MS, stable_after_us=500 * MS, backoff_base_us=10 * MS, backoff_max_us=60 * MS,
)  # fmt: skip
VOTERS = ("r0", "r1", "r2")
RELAY = "q"  # a non-voting replica, which observes a voter
Nodes = dict[str, float]  # weight by name
Change = PolicySeen | ActiveSeen | ListingSeen


def current_nodes(ledger: Ledger) -> Nodes:
    """The nodes of a ledger, without removed nodes."""
    items = ledger.listings.items.values()
    return {item["name"]: item["weight"] for item in items if item["status"] != REMOVED}


@dataclass
class History:
    """One history of the group: its log of commands and their effects."""

    order: int
    started_at: int
    ledger: Ledger = field(default_factory=Ledger)
    log: list[tuple[Command, int]] = field(default_factory=list)  # with the submitter's `run_id`
    committed_at: list[tuple[int, int]] = field(default_factory=list)  # time, number
    activated_at: dict[int, int] = field(default_factory=dict)  # by version
    proposed_at: dict[int, int] = field(default_factory=dict)
    nodes_at: dict[int, Nodes] = field(default_factory=dict)  # by number
    ended_at: int | None = None

    @property
    def identity(self) -> str:
        return f"history-{self.order}"

    def commit(self, command: Command, now: int, submitter: int = 0) -> str:
        """The quorum commits a command."""
        self.log.append((command, submitter))
        why, _ = self.ledger.apply(command)
        if not why and self.ledger.number not in self.nodes_at:
            self.committed_at.append((now, self.ledger.number))
            self.nodes_at[self.ledger.number] = current_nodes(self.ledger)
            match command:
                case Propose():
                    self.proposed_at[self.ledger.version()] = now
                case Activate():
                    self.activated_at[command.number] = now
        return why

    def number_at(self, time: int) -> int:
        """The number of the last change committed by that time."""
        return max((number for at, number in self.committed_at if at <= time), default=0)


@dataclass
class Connection:
    """Bytes in flight between a gateway and a replica, with their arrival times."""

    number: int
    gateway: Gateway
    replica: Replica
    up: deque[tuple[int, bytes]] = field(default_factory=deque)
    down: deque[tuple[int, bytes]] = field(default_factory=deque)
    to_replica: FrameDecoder = field(default_factory=lambda: FrameDecoder(MAX_TO_REPLICA_BYTES))
    to_gateway: FrameDecoder = field(default_factory=lambda: FrameDecoder(MAX_TO_GATEWAY_BYTES))
    accepted: bool = False
    stalled: bool = False
    closing: bool = False  # closed by the replica; the gateway is notified after the bytes in flight


class Replica:
    """A replica's process: its copy of the ledger, which survives restarts, and its state machine."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.cut = False  # from the quorum
        self.lagging = False  # applies no commands
        self.slow = False  # submits and applies commands with a delay
        self.starts = 0
        self.join()

    def join(self) -> None:
        """Join the current history with no command applied."""
        self.history = self.world.history
        self.ledger = Ledger()
        self.applied = 0  # entries of the log
        self.start()

    def start(self) -> None:
        """Start or restart the process: its memory is lost, the ledger is kept."""
        self.starts += 1
        self.run_id = self.world.rng.getrandbits(60) | 1
        self.machine = self.world.replica_class(f"{self.name}", LIMITS)
        self.pending: list[Command] = []  # barriers not yet committed
        self.barriers: list[int] = []  # ids, in order of submission
        self.state_wanted = False
        if self.ledger.history:
            self.carry_out(self.machine.loaded(ReplicatedState.of(self.ledger.state()), self.world.now))

    def step(self) -> None:
        """Advance to the current time."""
        now = self.world.now
        rng = self.world.rng
        if not self.cut and not self.has_old_history() and not (self.slow and rng.random() < 0.5):
            for command in self.pending:
                self.history.commit(command, now, self.run_id)
            self.pending = []
        if not self.cut and not self.lagging:
            newest = len(self.history.log)
            upto = rng.randint(self.applied, newest) if self.slow else newest
            self.apply_to(upto)
        if self.state_wanted:
            self.state_wanted = False
            self.carry_out(self.machine.loaded(ReplicatedState.of(self.ledger.state()), now))
        if now >= self.machine.next_at():
            self.carry_out(self.machine.tick(now))

    def apply_to(self, entry: int) -> None:
        """Apply the log up to this entry."""
        while self.applied < entry:
            self.apply(*self.history.log[self.applied])

    def has_old_history(self) -> bool:
        return self.history is not self.world.history

    def apply(self, command: Command, submitter: int) -> None:
        now = self.world.now
        self.applied += 1
        _, events = self.ledger.apply(command)
        for event in events:
            if isinstance(event, PolicySeen | ActiveSeen | ListingSeen):
                self.carry_out(self.machine.committed(self.ledger.number, delta_from(event), now))
        if isinstance(command, Barrier) and submitter == self.run_id:
            barrier = self.barriers.pop(0)
            self.carry_out(self.machine.barrier_confirmed(barrier, self.ledger.position(), now))
            if self.world.rng.random() < 0.1:  # a duplicate answer has no effect
                self.carry_out(self.machine.barrier_confirmed(barrier, self.ledger.position(), now))

    def install_library_snapshot(self) -> None:
        """Replace the ledger by a snapshot of the Raft library, instead of applying commands."""
        if self.cut or self.has_old_history() or self.applied == len(self.history.log):
            return
        skipped = [(c, a) for c, a in self.history.log[self.applied :] if isinstance(c, Barrier)]
        del self.barriers[: sum(submitter == self.run_id for _, submitter in skipped)]  # never answered
        self.ledger = copy.deepcopy(self.history.ledger)
        self.applied = len(self.history.log)
        self.carry_out(self.machine.loaded(ReplicatedState.of(self.ledger.state()), self.world.now))

    def carry_out(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            match action:
                case Write():
                    connection = self.world.connections.get(action.reader)
                    if connection is not None:
                        self.world.send(connection.gateway, connection.down, action.data)
                case Close():
                    connection = self.world.connections.get(action.reader)
                    if connection is not None:
                        connection.closing = True
                case StartBarrier():
                    self.barriers.append(action.barrier)
                    self.pending.append(Barrier(self.name, action.report))
                case ReloadState():
                    self.state_wanted = True


class Gateway:
    """A gateway's process: its clock, its observer, the state it applied."""

    relay = False

    def __init__(self, world: World, name: str, rate: float) -> None:
        self.world, self.name, self.rate = world, name, rate
        self.offset = world.rng.randrange(1 << 40)
        self.starts = 0
        self.hangups: list[Hangup] = []
        self.isolated = False  # nothing is delivered on its connections
        self.slow = False  # its connections have a high latency
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.connection: Connection | None = None
        self.policy = PolicyStateMachine(RULES)
        identity = GatewayIdentity(self.name, f"{self.name}-{self.starts}", "here")
        names = VOTERS if self.relay else (*VOTERS, RELAY)
        addresses = [ReplicaAddress(name, f"{name}:1", "here") for name in names]
        self.observer = Observer(identity, addresses, self.policy, self.world.rng, TIMES, self.relay)
        self.nodes: Nodes = {}
        self.partial: Nodes = {}
        self.reached: tuple[int, int, int] = (0, 0, 0)  # history, number, version: must never decrease

    def clock(self) -> int:
        return self.offset + int(self.world.now * self.rate)

    def step(self) -> None:
        while self.observer.next_at() <= self.clock():
            self.carry_out(self.observer.tick(self.clock()))

    def carry_out(self, actions: list[ObserverAction]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self.world.connect(self, action.replica.name)
                case SendFrame():
                    assert self.connection is not None
                    self.world.send(self, self.connection.up, encode(action.frame))
                case Hangup():
                    self.hangups.append(action)
                    self.world.drop(self.connection)
                    self.connection = None
                case TakePolicy():
                    self.carry_out(self.observer.policy_taken(action.version, True, self.clock()))
                case TakeNodes():
                    self.take(action)

    def take(self, piece: TakeNodes) -> None:
        if piece.first:
            self.partial = {} if piece.whole else dict(self.nodes)
        for node in piece.nodes:
            if node.status == REMOVED:
                self.partial.pop(node.name, None)
            else:
                self.partial[node.name] = node.weight
        if piece.last:
            self.nodes = self.partial


class Uplink(Gateway):
    """Observer with which a non-voting replica follows a voter."""

    relay = True

    def __init__(self, world: World, serves: Relay) -> None:
        self.serves = serves
        super().__init__(world, f"{serves.name}-uplink", 1.0)

    def carry_out(self, actions: list[ObserverAction]) -> None:
        machine, now = self.serves.machine, self.world.now
        for action in actions:
            match action:
                case StateLoaded():
                    self.serves.carry_out(machine.loaded(action.state, now))
                case ChangeReceived():
                    self.serves.carry_out(machine.committed(action.number, action.delta, now))
                case HeartbeatConfirmed():
                    self.serves.confirm(action)
                case _:
                    super().carry_out([action])


class Relay(Replica):
    """A non-voting replica: its barriers are heartbeats to a voter."""

    def __init__(self, world: World, name: str) -> None:
        self.pending_heartbeats: list[tuple[int, int]] = []  # barrier, sequence
        super().__init__(world, name)
        self.uplink = Uplink(world, self)

    def start(self) -> None:
        super().start()
        self.pending_heartbeats = []
        if self.starts > 1:
            self.world.drop(self.uplink.connection)
            self.uplink.start()

    def step(self) -> None:
        if self.world.now >= self.machine.next_at():
            self.carry_out(self.machine.tick(self.world.now))

    def has_old_history(self) -> bool:
        return False

    def confirm(self, answer: HeartbeatConfirmed) -> None:
        confirmed = [barrier for barrier, sequence in self.pending_heartbeats if sequence <= answer.sequence]
        self.pending_heartbeats = [
            (barrier, n) for barrier, n in self.pending_heartbeats if n > answer.sequence
        ]
        if confirmed:
            self.carry_out(self.machine.barrier_confirmed(confirmed[-1], answer.position, self.world.now))

    def carry_out(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            match action:
                case StartBarrier():
                    sequence, sent = self.uplink.observer.heartbeat(self.uplink.clock())
                    if sequence:
                        self.pending_heartbeats.append((action.barrier, sequence))
                    self.uplink.carry_out(sent)
                case ReloadState():
                    pass  # the connection delivers the state
                case _:
                    super().carry_out([action])


class World:
    """All processes and connections, with faults as flags and methods."""

    def __init__(
        self,
        seed: int,
        rates: tuple[float, ...],
        replica_class: type[ReplicaStateMachine] = ReplicaStateMachine,
    ) -> None:
        self.rng, self.replica_class = Random(seed), replica_class
        self.now = 0
        self.connections: dict[int, Connection] = {}
        self.last_connection = 0
        self.served = 0  # number of checks with a serving gateway; 0: the run tested nothing
        self.histories: list[History] = []
        self.begin_history()
        self.replicas = {name: Replica(self, name) for name in VOTERS}
        self.relay = Relay(self, RELAY)
        self.replicas[RELAY] = self.relay
        self.gateways = [Gateway(self, f"g{i}", rate) for i, rate in enumerate(rates)]

    @property
    def history(self) -> History:
        return self.histories[-1]

    def begin_history(self) -> None:
        history = History(len(self.histories) + 1, self.now)
        history.commit(BeginHistory("r0", history.identity), self.now)
        history.commit(Acquire("watch", "r0", (0, 0)), self.now)
        if self.histories:
            self.history.ended_at = self.now
        self.histories.append(history)

    # --- actions of operators and discovery

    def propose(self) -> None:
        base = self.history.ledger.version()
        self.history.commit(Propose("op", base, f"d{base + 1}", "{}", AFTER_US), self.now)

    def activate(self) -> None:
        """A voter activates the newest version whose delay is over on the fastest allowed clock."""
        history = self.history
        due_versions = [
            n for n, at in history.proposed_at.items() if (self.now - at) * (1 + DRIFT) >= AFTER_US
        ]
        if due_versions and max(due_versions) > history.ledger.active:
            history.commit(Activate("r0", max(due_versions)), self.now)

    def publish(self, whole: bool, count: int) -> None:
        ledger = self.history.ledger
        names = [f"n{self.rng.randrange(3 * count)}" for _ in range(count)]
        statuses = {name: "up" if whole or self.rng.random() < 0.7 else REMOVED for name in names}
        items = [
            {"name": name, "address": "127.0.0.1:1", "group": 0, "status": status, "zone": "z", "type": "t",
             "weight": self.rng.random()}
            for name, status in statuses.items()
        ]  # fmt: skip
        base = None if whole or ledger.listings.index < 0 else ledger.listings.index
        listing = {"index": ledger.listings.index + 1, "endpoints": items}
        assert not self.history.commit(Publish("watch", "r0", 1, base, listing), self.now)

    # --- the network

    def send(self, gateway: Gateway, queue: deque[tuple[int, bytes]], data: bytes) -> None:
        at = self.now + self.rng.randrange(SLOW_US if gateway.slow else LATENCY_US)
        queue.append((max(at, queue[-1][0]) if queue else at, data))

    def connect(self, gateway: Gateway, name: str) -> None:
        self.last_connection += 1
        gateway.connection = Connection(self.last_connection, gateway, self.replicas[name])
        self.connections[self.last_connection] = gateway.connection

    def drop(self, connection: Connection | None, notify: bool = True) -> None:
        """End a connection; bytes in flight are lost. Without `notify` the replica is not notified."""
        if connection is None or connection.number not in self.connections:
            return
        del self.connections[connection.number]
        if notify:
            replica = connection.replica
            replica.carry_out(replica.machine.disconnected(connection.number, self.now))

    def cut(self, gateway: Gateway, notify_gateway: bool, notify_replica: bool) -> None:
        """Lose a gateway's connection; a side that is not notified must detect it by itself."""
        connection = gateway.connection
        if connection is None:
            return
        self.drop(connection, notify_replica)
        if notify_gateway:
            gateway.connection = None
            gateway.carry_out(gateway.observer.disconnected(gateway.clock()))
        else:
            connection.stalled = True

    def restart_replica(self, replica: Replica) -> None:
        for connection in list(self.connections.values()):
            if connection.replica is replica:
                self.cut(connection.gateway, True, False)
        replica.start()

    def restart_gateway(self, gateway: Gateway) -> None:
        self.drop(gateway.connection)
        gateway.start()

    def restart_history(self, left_behind: list[Replica]) -> None:
        """Start a new history; the replicas left behind do not know of it and have no quorum."""
        self.begin_history()
        for replica in self.replicas.values():
            if replica not in left_behind and replica is not self.relay:
                for connection in list(self.connections.values()):
                    if connection.replica is replica:
                        self.cut(connection.gateway, True, False)
                replica.join()

    # --- time

    def run(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.now < until:
            self.now += STEP_US
            for replica in self.replicas.values():
                replica.step()
            for connection in list(self.connections.values()):
                if not connection.stalled and not connection.gateway.isolated:
                    self.deliver(connection)
            for gateway in (*self.gateways, self.relay.uplink):
                gateway.step()
            self.check()

    def deliver(self, connection: Connection) -> None:
        gateway, replica, reader = connection.gateway, connection.replica, connection.number
        if reader not in self.connections:
            return  # lost earlier in this step
        if not connection.accepted:
            connection.accepted = True
            replica.carry_out(replica.machine.accepted(reader, self.now))
            gateway.carry_out(gateway.observer.connected(gateway.clock()))
        for piece in self.arrived(connection.up):
            for frame in connection.to_replica.feed(piece):
                replica.carry_out(replica.machine.received(reader, frame, self.now))
        for piece in self.arrived(connection.down):
            for frame in connection.to_gateway.feed(piece):
                if connection.number in self.connections:
                    gateway.carry_out(gateway.observer.received(frame, gateway.clock()))
        waiting = sum(len(data) for _, data in connection.down)
        replica.carry_out(replica.machine.unsent_bytes_changed(reader, waiting, self.now))
        if connection.closing and not connection.down and gateway.connection is connection:
            self.drop(connection)
            gateway.connection = None
            gateway.carry_out(gateway.observer.disconnected(gateway.clock()))

    def arrived(self, queue: deque[tuple[int, bytes]]) -> list[bytes]:
        """The bytes that have arrived, split independently of frame boundaries."""
        data = b""
        while queue and queue[0][0] <= self.now:
            data += queue.popleft()[1]
        cut = self.rng.randrange(len(data) + 1)
        return [piece for piece in (data[:cut], data[cut:]) if piece]

    # --- invariants

    def check(self) -> None:
        for gateway in self.gateways:
            self.check_gateway(gateway)

    def check_gateway(self, gateway: Gateway) -> None:
        observer, policy, clock = gateway.observer, gateway.policy, gateway.clock()
        position = observer.position
        if not position.history:
            assert not policy.serves(clock), "serves without a state"
            return
        history = self.histories[int(position.history.rpartition("-")[2]) - 1]
        reached = history.order, position.number, policy.serving.number
        assert reached[:2] >= gateway.reached[:2], f"went back: {gateway.reached} {reached}"
        if reached[0] == gateway.reached[0]:
            assert reached[2] >= gateway.reached[2], f"went back: {gateway.reached} {reached}"
        gateway.reached = reached
        if not observer._pending and history.ledger.listings.index >= 0:
            known = history.nodes_at[position.number]
            assert gateway.nodes == known or not known, f"nodes differ at {position}"
        if not policy.heartbeat_valid(clock):
            return
        # Every change committed longer ago than the validity must be known here.
        required = history.number_at(self.now - VALIDITY_US)
        assert position.number >= required, f"valid at {position.number}, {required} was committed in time"
        if history.ended_at is not None:
            assert self.now <= history.ended_at + VALIDITY_US, "valid in a history that has ended"
        if policy.serves(clock):
            self.served += 1
            self.check_version(policy.serving.number, history)

    def check_version(self, version: int, history: History) -> None:
        """Requests are served under an activated version, and under a replaced one only for the validity."""
        assert not version or version in history.activated_at, f"{version} is not active"
        for newer, at in history.activated_at.items():
            if newer > version:
                assert self.now <= at + VALIDITY_US, f"serves under {version}, {newer} is active since {at}"

    def settle(self, duration_us: int = 5000 * MS) -> None:
        """Clear all faults; then all gateways must reach the newest state and serve."""
        for replica in self.replicas.values():
            replica.cut = replica.lagging = replica.slow = False
            if replica.has_old_history():
                replica.join()
        for gateway in (*self.gateways, self.relay.uplink):
            gateway.isolated = gateway.slow = False
            if gateway.connection is not None and gateway.connection.number in self.connections:
                gateway.connection.stalled = False
        self.run(duration_us)
        newest = self.history.ledger.position()
        for gateway in self.gateways:
            assert gateway.observer.link is Link.LIVE, f"{gateway.name} is not connected"
            assert gateway.observer.position == newest, f"{gateway.name} is left behind"
            assert gateway.policy.serves(gateway.clock()), f"{gateway.name} does not serve"
            assert gateway.policy.serving.number == self.history.ledger.active
