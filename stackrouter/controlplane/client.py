"""Socket driver of an `Observer`: a gateway's connection to the control plane.

Real gateways, hollow gateways of a scale run and non-voting replicas all use this class, with different sinks
for the received state. It has no globals, threads or greenlets, so that thousands fit into one process.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import gevent

from stackrouter.config import address_of
from stackrouter.controlplane.codec import MAX_TO_GATEWAY_BYTES, FrameDecoder, encode
from stackrouter.controlplane.connection import Connection
from stackrouter.controlplane.frames_pb2 import Delta
from stackrouter.controlplane.observer import (
    ChangeReceived,
    Connect,
    GatewayIdentity,
    Hangup,
    HeartbeatConfirmed,
    Observer,
    ObserverAction,
    ObserverTimes,
    SendFrame,
    StateLoaded,
    TakeNodes,
    TakePolicy,
)
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.coord.member import boottime_us
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine, Version
from stackrouter.coord.port import LogPosition
from stackrouter.errors import ConfigError, FrameError, PolicyTakeError, log_error, log_unexpected

log = logging.getLogger(__name__)


class Sink(Protocol):
    """Receives policies and nodes from the control plane for a gateway. Methods must not block."""

    def take_policy(self, body: str) -> None:
        """Apply these settings. Raises ConfigError or ValueError, changing nothing, if they are invalid."""

    def take_nodes(self, piece: TakeNodes) -> None:
        """Apply a piece of a change to the list of storage nodes."""


class Relay(Protocol):
    """Receives what a non-voting replica forwards to its own gateways. Methods must not block."""

    def state_loaded(self, state: ReplicatedState) -> None:
        """The whole state was received, instead of changes."""

    def change_received(self, number: int, delta: Delta) -> None:
        """The next change was received."""

    def heartbeat_confirmed(self, sequence: int, position: LogPosition) -> None:
        """The quorum confirmed this heartbeat and all earlier ones."""

    def disconnected(self) -> None:
        """The connection ended: outstanding heartbeats will not be confirmed."""


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """Counters and position of a client. Counts are since the start; `serving_since_us`: on its clock."""

    bytes_in: int
    bytes_out: int
    frames_in: int
    frames_out: int
    connections: int
    hangups: int
    position: LogPosition
    replica: str
    serving: int
    serving_since_us: int
    heartbeat_valid: bool


class ObserverClient:
    """Runs an observer on a socket. `version_applied` is called after each attempt to apply a version, with
    the version, whether it is in force here now, and the time."""

    def __init__(
        self,
        identity: GatewayIdentity,
        replicas: Sequence[ReplicaAddress],
        rules: HeartbeatRules,
        sink: Sink,
        rng: Random,
        clock: Callable[[], int] = boottime_us,
        times: ObserverTimes | None = None,
        relay: Relay | None = None,
        version_applied: Callable[[Version, bool, int], None] = lambda version, applied, now: None,
    ) -> None:
        self.policy = PolicyStateMachine(rules)
        self.observer = Observer(identity, replicas, self.policy, rng, times, relay is not None)
        self.clock = clock
        self.last_valid_us: int | None = None  # when the heartbeat was last found valid
        self._sink, self._relay, self._version_applied = sink, relay, version_applied
        self._loop: Any = gevent.get_hub().loop
        self._timer = self._loop.timer(0)
        self._connection: Connection | None = None
        self._decoder = FrameDecoder(MAX_TO_GATEWAY_BYTES)
        self._stopped = True
        self._closed_bytes_in = self._closed_bytes_out = 0
        self._frames_in = self._frames_out = self._connections = self._hangups = 0
        self._failures = 0  # hangups in a row without a valid heartbeat in between

    def start(self) -> None:
        """Connect, and reconnect whenever the connection ends."""
        self._stopped = False
        self._tick()

    def stop(self) -> None:
        """Close the connection and do not reconnect. `start` may be called again."""
        self._stopped = True
        self._timer.stop()
        if self._connection is not None:
            self._close_connection()
            self.observer.disconnected(self.clock())

    def heartbeat(self) -> int:
        """Send a heartbeat now; its sequence, or 0 without a connection."""
        sequence, actions = self.observer.heartbeat(self.clock())
        self._carry_out(actions)
        self._flush()
        self._schedule_tick()
        return sequence

    def hold_reading(self, held: bool) -> None:
        """For drills: stop or resume reading from the current connection, to simulate a blocked gateway."""
        if self._connection is not None:
            self._connection.hold_reading(held)

    def heartbeat_valid(self) -> bool:
        """Whether a recent heartbeat proves that this gateway knows the policy in force."""
        return self.policy.heartbeat_valid(self.clock())

    def figures(self) -> ClientFigures:
        """Traffic counters, and the position of this gateway."""
        connection, observer = self._connection, self.observer
        bytes_in = self._closed_bytes_in + (connection.bytes_in if connection is not None else 0)
        bytes_out = self._closed_bytes_out + (connection.bytes_out if connection is not None else 0)
        return ClientFigures(
            bytes_in, bytes_out, self._frames_in, self._frames_out, self._connections, self._hangups,
            observer.position, observer.replica.name if observer.replica is not None else "",
            self.policy.serving.number, self.policy.since, self.heartbeat_valid(),
        )  # fmt: skip

    # Events of sockets and timers.

    def _tick(self) -> None:
        self._call_observer(self.observer.tick)

    def _connected(self, connection: Connection) -> None:
        self._connections += 1
        self._call_observer(self.observer.connected)

    def _received(self, data: bytes) -> None:
        try:
            frames = self._decoder.feed(data)
        except FrameError as error:
            self._call_observer(self.observer.unreadable, error)
            return
        connection = self._connection
        for frame in frames:
            if self._connection is not connection:
                return  # an earlier frame has ended the connection
            self._frames_in += 1
            self._carry_out(self.observer.received(frame, self.clock()))
        self._flush()
        self._schedule_tick()

    def _disconnected(self, why: str) -> None:
        self._connection_ended()
        log.debug("control plane: connection ended: %s", why)
        self._call_observer(self.observer.disconnected)

    def _call_observer(self, method: Callable[..., list[ObserverAction]], *arguments: object) -> None:
        """Call a method of the observer, with the time as its last argument, and carry out its actions. A bug
        must not stop the gateway: without the control plane it continues as `on_loss` configures."""
        try:
            self._carry_out(method(*arguments, self.clock()))
            self._flush()
        except Exception:
            log_unexpected(log, "control plane")
        self._schedule_tick()

    # Actions of the observer.

    def _carry_out(self, actions: Sequence[ObserverAction]) -> None:
        for action in actions:
            match action:
                case SendFrame():
                    self._frames_out += 1
                    if self._connection is not None:
                        self._connection.send(encode(action.frame))
                case TakeNodes():
                    self._sink.take_nodes(action)
                case TakePolicy():
                    self._take_policy(action.version)
                case Connect():
                    self._connect(action.replica)
                case Hangup():
                    self._hang_up(action)
                case _:
                    self._forward(action)

    def _take_policy(self, version: Version) -> None:
        applied = True
        try:
            self._sink.take_policy(version.body)
        except (ConfigError, ValueError) as error:  # validated where it was proposed, but invalid here
            applied = False
            log_error(log, PolicyTakeError(error), f"policy.failed version={version.number}", logging.ERROR)
        now = self.clock()
        self._carry_out(self.observer.policy_taken(version, applied, now))
        self._version_applied(version, applied, now)

    def _forward(self, action: StateLoaded | ChangeReceived | HeartbeatConfirmed) -> None:
        assert self._relay is not None
        match action:
            case StateLoaded():
                self._relay.state_loaded(action.state)
            case ChangeReceived():
                self._relay.change_received(action.number, action.delta)
            case HeartbeatConfirmed():
                self._relay.heartbeat_confirmed(action.sequence, action.position)

    def _connect(self, replica: ReplicaAddress) -> None:
        self._decoder = FrameDecoder(MAX_TO_GATEWAY_BYTES)
        address = address_of(replica.address, "replica")
        try:
            self._connection = Connection.connect(
                address, self._connected, self._received, self._disconnected
            )
        except OSError as error:
            log.debug("control plane: %s: %s", replica.address, error)
            self.observer.disconnected(self.clock())

    def _hang_up(self, action: Hangup) -> None:
        self._hangups += 1
        self._failures += 1
        if not self._failures & (self._failures - 1):  # at 1, 2, 4, ...: limits log lines during an outage
            log_error(log, action.error, f"control plane, {self._failures} in a row")
        if self._connection is not None:
            self._close_connection()

    def _close_connection(self) -> None:
        assert self._connection is not None
        self._connection.close()
        self._connection_ended()

    def _connection_ended(self) -> None:
        """Add the counters of the ended connection to the totals."""
        if self._connection is not None:
            self._closed_bytes_in += self._connection.bytes_in
            self._closed_bytes_out += self._connection.bytes_out
            self._connection = None
        if self._relay is not None:
            self._relay.disconnected()

    def _flush(self) -> None:
        if self._connection is not None:
            self._connection.flush()
        now = self.clock()
        if self.policy.heartbeat_valid(now):
            self.last_valid_us, self._failures = now, 0

    def _schedule_tick(self) -> None:
        if self._stopped:
            return
        delay_s = (self.observer.next_at() - self.clock()) / 1e6
        self._timer.stop()
        self._timer = self._loop.timer(max(0.0, delay_s))
        self._timer.start(self._tick)
