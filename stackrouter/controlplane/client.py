"""The sockets round an `Observer`: a gateway's connection to the control plane.

Real gateways, hollow gateways of a scale run and replicas that do not vote all use this class; they differ in
the sink that takes what came. There are no globals, threads or greenlets, so that thousands can be in one
process.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import gevent

from stackrouter.config import address_of
from stackrouter.controlplane.codec import MOST_TO_GATEWAY, FrameDecoder, encode
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
from stackrouter.coord.policy import PolicyStateMachine, Rules, Version
from stackrouter.coord.port import LogPosition
from stackrouter.errors import ConfigError, FrameError, PolicyTakeError, defect, tell

log = logging.getLogger(__name__)


class Sink(Protocol):
    """Takes what the control plane tells a gateway. Neither method may wait."""

    def take_policy(self, body: str) -> None:
        """Serve under these settings from now on. Raises ConfigError or ValueError: nothing has changed."""

    def take_nodes(self, piece: TakeNodes) -> None:
        """Take a piece of a change of the list of storage nodes."""


class Relay(Protocol):
    """Takes what a replica that does not vote passes on. No method may wait."""

    def state_loaded(self, state: ReplicatedState) -> None:
        """The whole state came, in place of changes."""

    def change_received(self, number: int, delta: Delta) -> None:
        """The next change came."""

    def heartbeat_confirmed(self, sequence: int, position: LogPosition) -> None:
        """This heartbeat and all before it were confirmed with the quorum."""

    def disconnected(self) -> None:
        """Heartbeats that were not confirmed by now will not be."""


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """Counts are since the start. `serving_since_us`: by the client's clock."""

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
    """`version_taken` is called after a version was tried: it, whether it is served under now, and when."""

    def __init__(
        self,
        identity: GatewayIdentity,
        replicas: Sequence[ReplicaAddress],
        rules: Rules,
        sink: Sink,
        rng: Random,
        clock: Callable[[], int] = boottime_us,
        times: ObserverTimes | None = None,
        relay: Relay | None = None,
        version_taken: Callable[[Version, bool, int], None] = lambda version, good, now: None,
    ) -> None:
        self.policy = PolicyStateMachine(rules)
        self.observer = Observer(identity, replicas, self.policy, rng, times, relay is not None)
        self.clock = clock
        self.last_valid_us: int | None = None  # when a valid heartbeat was last seen
        self._sink, self._relay, self._version_taken = sink, relay, version_taken
        self._loop: Any = gevent.get_hub().loop
        self._alarm = self._loop.timer(0)
        self._connection: Connection | None = None
        self._decoder = FrameDecoder(MOST_TO_GATEWAY)
        self._stopped = True
        self._ended_bytes_in = self._ended_bytes_out = 0
        self._frames_in = self._frames_out = self._connections = self._hangups = 0
        self._failures = 0  # connections in a row that ended without an answered heartbeat

    def start(self) -> None:
        """Connect, and stay connected."""
        self._stopped = False
        self._tick()

    def stop(self) -> None:
        """End the connection and make no other. May be started again."""
        self._stopped = True
        self._alarm.stop()
        if self._connection is not None:
            self._drop()
            self.observer.disconnected(self.clock())

    def heartbeat(self) -> int:
        """Send a heartbeat now; its sequence, 0 where there is no connection."""
        sequence, actions = self.observer.heartbeat(self.clock())
        self._carry_out(actions)
        self._flush()
        self._set_alarm()
        return sequence

    def hold_reading(self, held: bool) -> None:
        """For drills: stop reading from the present connection, as a gateway that is stuck does."""
        if self._connection is not None:
            self._connection.hold_reading(held)

    def heartbeat_valid(self) -> bool:
        """Whether what is in force in the fleet is known here."""
        return self.policy.heartbeat_valid(self.clock())

    def figures(self) -> ClientFigures:
        """What was carried, and where this gateway stands."""
        connection, observer = self._connection, self.observer
        bytes_in = self._ended_bytes_in + (connection.bytes_in if connection is not None else 0)
        bytes_out = self._ended_bytes_out + (connection.bytes_out if connection is not None else 0)
        return ClientFigures(
            bytes_in, bytes_out, self._frames_in, self._frames_out, self._connections, self._hangups,
            observer.position, observer.replica.name if observer.replica is not None else "",
            self.policy.serving.number, self.policy.since, self.heartbeat_valid(),
        )  # fmt: skip

    # What is heard.

    def _tick(self) -> None:
        self._guarded(self.observer.tick)

    def _connected(self, connection: Connection) -> None:
        self._connections += 1
        self._guarded(self.observer.connected)

    def _received(self, data: bytes) -> None:
        try:
            frames = self._decoder.feed(data)
        except FrameError as error:
            self._guarded(self.observer.unreadable, error)
            return
        connection = self._connection
        for frame in frames:
            if self._connection is not connection:
                return  # what was read before has ended the connection
            self._frames_in += 1
            self._carry_out(self.observer.received(frame, self.clock()))
        self._flush()
        self._set_alarm()

    def _disconnected(self, why: str) -> None:
        self._ended()
        log.debug("control plane: connection ended: %s", why)
        self._guarded(self.observer.disconnected)

    def _guarded(self, method: Callable[..., list[ObserverAction]], *arguments: object) -> None:
        """Call a method of the observer, with the time as its last argument, and do what it returns. A defect
        must not end the gateway: without the control plane it goes on as `on_loss` says."""
        try:
            self._carry_out(method(*arguments, self.clock()))
            self._flush()
        except Exception:
            defect(log, "control plane")
        self._set_alarm()

    # What is to be done.

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
                    self._pass_on(action)

    def _take_policy(self, version: Version) -> None:
        good = True
        try:
            self._sink.take_policy(version.body)
        except (ConfigError, ValueError) as error:  # checked where it was proposed, it may not fit here
            good = False
            tell(log, PolicyTakeError(error), f"policy.failed version={version.number}", logging.ERROR)
        now = self.clock()
        self._carry_out(self.observer.policy_taken(version, good, now))
        self._version_taken(version, good, now)

    def _pass_on(self, action: StateLoaded | ChangeReceived | HeartbeatConfirmed) -> None:
        assert self._relay is not None
        match action:
            case StateLoaded():
                self._relay.state_loaded(action.state)
            case ChangeReceived():
                self._relay.change_received(action.number, action.delta)
            case HeartbeatConfirmed():
                self._relay.heartbeat_confirmed(action.sequence, action.position)

    def _connect(self, replica: ReplicaAddress) -> None:
        self._decoder = FrameDecoder(MOST_TO_GATEWAY)
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
        if not self._failures & (self._failures - 1):  # 1, 2, 4, ...: an outage must not fill the log
            tell(log, action.error, f"control plane, {self._failures} in a row")
        if self._connection is not None:
            self._drop()

    def _drop(self) -> None:
        assert self._connection is not None
        self._connection.close()
        self._ended()

    def _ended(self) -> None:
        """The connection is over: its counts go into the sums."""
        if self._connection is not None:
            self._ended_bytes_in += self._connection.bytes_in
            self._ended_bytes_out += self._connection.bytes_out
            self._connection = None
        if self._relay is not None:
            self._relay.disconnected()

    def _flush(self) -> None:
        if self._connection is not None:
            self._connection.flush()
        now = self.clock()
        if self.policy.heartbeat_valid(now):
            self.last_valid_us, self._failures = now, 0

    def _set_alarm(self) -> None:
        if self._stopped:
            return
        left_s = (self.observer.next_at() - self.clock()) / 1e6
        self._alarm.stop()
        self._alarm = self._loop.timer(max(0.0, left_s))
        self._alarm.start(self._tick)
