"""State machine of a gateway that observes the control plane: connection, received state, heartbeats. No I/O.

An observer has one connection to one replica at a time. It receives the numbered stream of changes, after a
snapshot where needed, and sends heartbeats for coord.policy's state machine. Times are microseconds,
passed in.

- It never loads a state with a lower number of the history that it follows.
- It switches to another history only with a complete snapshot, and only after a heartbeat of this connection
  was answered in that history: a replica of an abandoned history has no quorum, so it cannot move a gateway
  back.
- Storage nodes are delivered in pieces, one per `tick`, so that a long list never blocks the caller.
- An answer counts only for a heartbeat that was sent on the same connection.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from stackrouter.controlplane.conversion import position_from, position_message, summary_message, version_from
from stackrouter.controlplane.frames_pb2 import (
    Delta,
    Frame,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Reject,
    RejectReason,
    SnapshotPart,
    Welcome,
)
from stackrouter.controlplane.pending_nodes import PendingNodes, TakeNodes
from stackrouter.controlplane.replica import PROTOCOL
from stackrouter.controlplane.routing import Backoff, ReplicaAddress, replica_order
from stackrouter.controlplane.snapshot import (
    NO_LIST,
    NODES_IN_CHUNK,
    ReceivedSnapshot,
    ReplicatedState,
    SnapshotAssembler,
)
from stackrouter.coord.policy import PolicyStateMachine, Version
from stackrouter.coord.port import LogPosition, ServingReport
from stackrouter.errors import (
    ControlError,
    FrameUnexpectedError,
    ReplicaBehindError,
    ReplicaRejectedError,
    ReplicaSilentError,
    StreamGapError,
)

__all__ = [
    "ChangeReceived",
    "Connect",
    "GatewayIdentity",
    "Hangup",
    "HeartbeatConfirmed",
    "Link",
    "Observer",
    "ObserverAction",
    "ObserverTimes",
    "SendFrame",
    "StateLoaded",
    "TakeNodes",
    "TakePolicy",
]

MAX_UNCONFIRMED_DELTAS = 1024  # buffered for a history that is not confirmed yet


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Identity of a gateway. `life`: differs for each start of its process."""

    gateway: str
    life: str
    region: str


@dataclass(frozen=True, slots=True)
class ObserverTimes:
    """Timeouts and delays of an observer, in microseconds."""

    connect_timeout_us: int = 2_000_000
    welcome_timeout_us: int = 2_000_000
    # Without a heartbeat answer; while a snapshot is expected: without any frame.
    silence_timeout_us: int = 3_000_000
    snapshot_timeout_us: int = 60_000_000  # from the Welcome to the end of the snapshot
    stable_after_us: int = 3_000_000  # a connection that was live this long resets the backoff
    backoff_base_us: int = 100_000
    backoff_max_us: int = 2_000_000  # well below the time within which a change must be in force


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to this replica, then call `connected` or `disconnected`."""

    replica: ReplicaAddress


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send this frame on the connection."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class Hangup:
    """Close the connection (or the attempt) and make no further calls for it: the observer has dropped it."""

    error: ControlError


@dataclass(frozen=True, slots=True)
class TakePolicy:
    """Apply this version now, and call `policy_taken` before any other method."""

    version: Version


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """For an observing replica: the whole state, instead of changes."""

    state: ReplicatedState


@dataclass(frozen=True, slots=True)
class ChangeReceived:
    """For an observing replica: the next change."""

    number: int
    delta: Delta


@dataclass(frozen=True, slots=True)
class HeartbeatConfirmed:
    """For an observing replica: the heartbeat was answered at this position, which confirms all earlier
    heartbeats too."""

    sequence: int
    position: LogPosition


ObserverAction = (
    Connect | SendFrame | Hangup | TakePolicy | TakeNodes | StateLoaded | ChangeReceived | HeartbeatConfirmed
)


class Link(Enum):
    """State of the connection."""

    WAITING = "waiting"  # until the next attempt
    CONNECTING = "connecting"
    GREETING = "greeting"  # Hello was sent, no Welcome yet
    SNAPSHOT = "snapshot"  # a snapshot is expected
    LIVE = "live"


@dataclass(slots=True)
class _UnconfirmedState:
    """State received in another history, buffered until that history is confirmed."""

    snapshot: ReceivedSnapshot
    deltas: list[Delta] = field(default_factory=list)

    @property
    def position(self) -> LogPosition:
        start = self.snapshot.position
        return LogPosition(start.history, start.number + len(self.deltas))


class Observer:
    """One gateway's connection to the control plane. Methods return the actions to carry out, in order.

    The driver calls `tick` when `next_at` is reached. After a Hangup the observer has dropped the connection;
    the driver calls `disconnected` only for a connection that ended without one.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        replicas: Sequence[ReplicaAddress],
        policy: PolicyStateMachine,
        rng: Random,
        times: ObserverTimes | None = None,
        relay: bool = False,
    ) -> None:
        self.identity, self.policy = identity, policy
        self.times = times or ObserverTimes()
        self.replicas = replica_order(identity.gateway, identity.region, replicas)
        self.position = LogPosition()  # of the last change received; without a history: none
        self.link = Link.WAITING
        self.replica: ReplicaAddress | None = None  # connected or connecting to it
        self._relay = relay  # an observing replica: it forwards the state, and applies nothing
        self.relayed = ServingReport()  # of a relay: report on its own gateways, sent with heartbeats
        self._backoff = Backoff(self.times.backoff_base_us, self.times.backoff_max_us, rng)
        self._next_replica = 0  # index in `replicas`
        self._retry_not_before = dict[str, int]()  # by replica: end of the retry delay that it asked for
        self._link_at = 0  # when `link` last changed; while WAITING: when to connect
        self._last_received_at = 0
        self._live_since: int | None = None  # when this connection became live
        self._stream_history = ""  # of this connection
        self._assembler = SnapshotAssembler()
        self._unconfirmed: _UnconfirmedState | None = None
        self._pending = PendingNodes()
        self._sequence = 0  # of the last heartbeat, over all connections
        self._answered = 0  # the last heartbeat that was answered or sent on an older connection
        self._unanswered_since: int | None = None
        self._heartbeat_at = 0

    # --- the connection

    def connected(self, now: int) -> list[ObserverAction]:
        """The requested connection is open."""
        if self.link is not Link.CONNECTING:
            return []
        self._change_link(Link.GREETING, now)
        hello = Hello(protocol=PROTOCOL, gateway=self.identity.gateway, life=self.identity.life)
        if self.position.history:
            hello.resume.CopyFrom(position_message(self.position))
        return [SendFrame(Frame(hello=hello))]

    def disconnected(self, now: int) -> list[ObserverAction]:
        """The connection has ended, or could not be opened."""
        self._drop_connection(now)
        return []

    def unreadable(self, error: ControlError, now: int) -> list[ObserverAction]:
        """The codec could not decode the received bytes."""
        return self._hang_up(error, now)

    def received(self, frame: Frame, now: int) -> list[ObserverAction]:
        """A frame was received."""
        if self.link in (Link.WAITING, Link.CONNECTING):
            return []
        self._last_received_at = now
        try:
            return self._handle(frame, now)
        except ControlError as error:
            return self._hang_up(error, now)

    def policy_taken(self, version: Version, applied: bool, now: int) -> list[ObserverAction]:
        """Result of a TakePolicy action."""
        self.policy.version_applied(version, now, applied)
        return []

    def heartbeat(self, now: int) -> tuple[int, list[ObserverAction]]:
        """Send a heartbeat now, even if none is due; its sequence, or 0 without a connection."""
        if self.link not in (Link.SNAPSHOT, Link.LIVE):
            return 0, []
        self._sequence += 1
        self.policy.heartbeat_sent(self._sequence, now)
        self._heartbeat_at = now + self.policy.rules.heartbeat_every_us
        if self._unanswered_since is None:
            self._unanswered_since = now
        serving = 0 if self._unconfirmed is not None else self.policy.serving.number
        heartbeat = Heartbeat(
            sequence=self._sequence,
            serving=serving,
            failed=self.policy.failed,
            position=position_message(self.position),
        )
        if self._relay:
            heartbeat.relayed.CopyFrom(summary_message(self.relayed))
        return self._sequence, [SendFrame(Frame(heartbeat=heartbeat))]

    # --- time

    def tick(self, now: int) -> list[ObserverAction]:
        """Run everything that is due; delivers at most one piece of the list of nodes."""
        actions = self._next_piece()
        if self.link is Link.WAITING:
            return actions + (self._connect(now) if now >= self._link_at else [])
        if (error := self._timeout_error(now)) is not None:
            return actions + self._hang_up(error, now)
        if self.link in (Link.SNAPSHOT, Link.LIVE) and now >= self._heartbeat_at:
            actions += self.heartbeat(now)[1]
        return actions

    def next_at(self) -> int:
        """The latest time for the next call of `tick`."""
        if self._pending:
            return 0  # immediately, in the next iteration of the event loop
        if self.link is Link.WAITING:
            return self._link_at
        due = self._times_out_at()
        return min(due, self._heartbeat_at) if self.link in (Link.SNAPSHOT, Link.LIVE) else due

    # --- the connection, internals

    def _change_link(self, link: Link, now: int) -> None:
        self.link, self._link_at, self._last_received_at = link, now, now

    def _connect(self, now: int) -> list[ObserverAction]:
        if not self.replicas:
            self._link_at = now + self.times.backoff_max_us
            return []
        self.replica = self._choose_replica(now)
        self._change_link(Link.CONNECTING, now)
        return [Connect(self.replica)]

    def _choose_replica(self, now: int) -> ReplicaAddress:
        """The next replica in order whose retry delay is over; if there is none, the next one."""
        self._retry_not_before = {name: at for name, at in self._retry_not_before.items() if at > now}
        count = len(self.replicas)
        start = self._next_replica
        candidates = [(start + step) % count for step in range(count)]
        free = (n for n in candidates if self.replicas[n].name not in self._retry_not_before)
        chosen = next(free, start)
        self._next_replica = (chosen + 1) % count  # tried if this one fails
        return self.replicas[chosen]

    def _drop_connection(self, now: int) -> None:
        """Drop the connection; another replica is tried after a delay."""
        if self.link is Link.WAITING:
            return
        if self._live_since is not None and now - self._live_since >= self.times.stable_after_us:
            self._backoff.reset()
        self._change_link(Link.WAITING, now + self._backoff.next_delay_us())
        self._live_since, self._unanswered_since, self._unconfirmed = None, None, None
        self._assembler = SnapshotAssembler()
        self._answered = self._sequence
        self.replica = None

    def _hang_up(self, error: ControlError, now: int) -> list[ObserverAction]:
        if self.link is Link.WAITING:
            return []
        address = self.replica.address if self.replica is not None else ""
        self._drop_connection(now)
        return [Hangup(type(error)(error.what, address=address))]

    def _times_out_at(self) -> int:
        """When the connection times out if nothing more is received."""
        times = self.times
        match self.link:
            case Link.CONNECTING:
                return self._link_at + times.connect_timeout_us
            case Link.GREETING:
                return self._link_at + times.welcome_timeout_us
            case Link.SNAPSHOT:
                return min(
                    self._link_at + times.snapshot_timeout_us,
                    self._last_received_at + times.silence_timeout_us,
                )
        since = self._unanswered_since
        return self._heartbeat_at if since is None else since + times.silence_timeout_us

    def _timeout_error(self, now: int) -> ControlError | None:
        if now < self._times_out_at():
            return None
        match self.link:
            case Link.CONNECTING:
                return ReplicaSilentError("no connection within the timeout")
            case Link.GREETING:
                return ReplicaSilentError("no Welcome within the timeout")
            case Link.SNAPSHOT:
                return ReplicaSilentError("no snapshot within the timeout")
        return None if self._unanswered_since is None else ReplicaSilentError("heartbeats are not answered")

    # --- received frames

    def _handle(self, frame: Frame, now: int) -> list[ObserverAction]:
        body = frame.WhichOneof("body")
        if body == "reject":
            return self._rejected(frame.reject, now)
        if self.link is Link.GREETING:
            if body != "welcome":
                raise FrameUnexpectedError(f"{body} frame before a Welcome")
            return self._welcomed(frame.welcome, now)
        match body:
            case "snapshot_part":
                return self._snapshot_part(frame.snapshot_part, now)
            case "snapshot_queued":
                self._expect_snapshot(now)
                return []
            case "delta" if self.link is Link.LIVE:
                return self._delta(frame.delta, now)
            case "heartbeat_answer" if self.link is Link.LIVE:
                return self._heartbeat_answered(frame.heartbeat_answer, now)
        raise FrameUnexpectedError(f"{body} frame is not allowed in this state of the connection")

    def _rejected(self, reject: Reject, now: int) -> list[ObserverAction]:
        if self.replica is not None and reject.retry_after_ms:
            after_us = min(reject.retry_after_ms * 1000, self.times.backoff_max_us)
            self._retry_not_before[self.replica.name] = now + after_us
        if reject.reason in RejectReason.values():
            name = RejectReason.Name(reject.reason)
        else:
            name = str(reject.reason)
        return self._hang_up(ReplicaRejectedError(f"{name}: {reject.detail[:200]}"), now)

    def _welcomed(self, welcome: Welcome, now: int) -> list[ObserverAction]:
        if not welcome.history:
            raise FrameUnexpectedError("Welcome without a history")
        self._stream_history = welcome.history
        if not welcome.resumed:
            self._change_link(Link.SNAPSHOT, now)
        elif self.position.history == welcome.history:
            self._become_live(now)
        else:
            raise FrameUnexpectedError("the replica resumed a stream of another history")
        return self.heartbeat(now)[1]

    def _become_live(self, now: int) -> None:
        self._change_link(Link.LIVE, now)
        self._live_since = now if self._live_since is None else self._live_since
        if self._unanswered_since is not None:
            self._unanswered_since = now  # no answers are sent before this point

    def _expect_snapshot(self, now: int) -> None:
        if self.link is Link.LIVE:
            self._change_link(Link.SNAPSHOT, now)

    def _snapshot_part(self, part: SnapshotPart, now: int) -> list[ObserverAction]:
        self._expect_snapshot(now)
        snapshot = self._assembler.add(part)
        if snapshot is None:
            return []
        own_position, received_position = self.position, snapshot.position
        self._unconfirmed = None
        if own_position.history and own_position.history != received_position.history:
            self._become_live(now)
            self._unconfirmed = _UnconfirmedState(snapshot)
            self._stream_history = received_position.history
            return []
        if received_position.number < own_position.number:
            raise ReplicaBehindError(
                f"the snapshot is at {received_position.number}, this gateway at {own_position.number}"
            )
        self._become_live(now)
        self._stream_history = received_position.history
        if received_position == own_position:
            return []
        return self._load(snapshot, now)

    def _delta(self, delta: Delta, now: int) -> list[ObserverAction]:
        position = self._received_position()
        if delta.number != position.number + 1:
            raise StreamGapError(f"change {delta.number} does not follow {position.number}")
        if self._unconfirmed is None:
            return self._apply(delta, now)
        if len(self._unconfirmed.deltas) >= MAX_UNCONFIRMED_DELTAS:
            raise StreamGapError("too many changes of an unconfirmed history")
        self._unconfirmed.deltas.append(delta)
        return []

    def _received_position(self) -> LogPosition:
        return self.position if self._unconfirmed is None else self._unconfirmed.position

    def _heartbeat_answered(self, answer: HeartbeatAnswer, now: int) -> list[ObserverAction]:
        if not self._answered < answer.sequence <= self._sequence:
            raise FrameUnexpectedError(f"answer to heartbeat {answer.sequence}, which is not outstanding")
        confirmed, received = position_from(answer.position), self._received_position()
        if confirmed.history != received.history:
            raise FrameUnexpectedError("heartbeat answer in another history")
        if confirmed.number > received.number:
            raise StreamGapError(
                f"change {confirmed.number} is confirmed, but only {received.number} was received"
            )
        actions = self._adopt_history(now) if self._unconfirmed is not None else []
        self._answered = answer.sequence
        self._unanswered_since = None if answer.sequence == self._sequence else now
        self.policy.heartbeat_answered(answer.sequence, True, now)
        if self._relay:
            actions.append(HeartbeatConfirmed(answer.sequence, confirmed))
        return actions

    # --- applying state

    def _adopt_history(self, now: int) -> list[ObserverAction]:
        """Switch to the buffered history, now that its quorum has confirmed it."""
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        assert unconfirmed is not None
        self.policy.begin_history()
        actions = self._load(unconfirmed.snapshot, now)
        for delta in unconfirmed.deltas:
            actions += self._apply(delta, now)
        return actions

    def _load(self, snapshot: ReceivedSnapshot, now: int) -> list[ObserverAction]:
        self.position = snapshot.position
        if self._relay:
            return [StateLoaded(snapshot.state())]
        for version in snapshot.policies:
            self.policy.version_committed(version, now)
        self.policy.version_activated(snapshot.active)
        actions = self._take_policy()
        if snapshot.nodes_index != NO_LIST:
            self._pending.replace(snapshot)
        return actions

    def _apply(self, delta: Delta, now: int) -> list[ObserverAction]:
        change = delta.WhichOneof("change")
        if change is None:
            raise FrameUnexpectedError(f"change {delta.number} is of an unknown kind")
        small = not self._pending and len(delta.nodes.nodes) <= NODES_IN_CHUNK
        if change == "nodes" and not self._relay:
            self._pending.add(delta.nodes)  # first, because it may raise
        self.position = LogPosition(self.position.history, delta.number)
        if self._relay:
            return [ChangeReceived(delta.number, delta)]
        match change:
            case "committed":
                self.policy.version_committed(version_from(delta.committed), now)
            case "activated":
                self.policy.version_activated(delta.activated)
            case "nodes":
                return self._next_piece() if small else []
        return self._take_policy()

    def _take_policy(self) -> list[ObserverAction]:
        version = self.policy.next_version()
        return [TakePolicy(version)] if version is not None else []

    def _next_piece(self) -> list[ObserverAction]:
        taken = self._pending.take()
        return [taken] if taken is not None else []
