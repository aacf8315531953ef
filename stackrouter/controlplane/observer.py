"""A gateway's side of the control plane: which replica it asks, what it takes, when it is in touch. No I/O.

An observer holds one connection to one replica. It receives the numbered stream of changes, or a snapshot
first, and sends heartbeats, over coord.policy's state machine. Times are microseconds, passed in.

- It never takes a state with a lower number of the history that it follows.
- Another history is taken only by a whole snapshot, and only once a heartbeat of this connection was answered
  in that history: a replica of an abandoned history, which has no quorum, can not draw a gateway back.
- Storage nodes are handed on in pieces, one a `tick`, so that a long list never holds the caller up.
- Every connection's heartbeats are its own: an answer counts only for one that was sent on this connection.
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

MOST_HELD_DELTAS = 1024  # of a history that is not confirmed yet


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """Who the gateway is. `life`: another one for each start of its process."""

    gateway: str
    life: str
    region: str


@dataclass(frozen=True, slots=True)
class ObserverTimes:
    """In microseconds."""

    connect_within: int = 2_000_000
    welcome_within: int = 2_000_000
    silence: int = 3_000_000  # a heartbeat without an answer, or while waiting for a snapshot: nothing at all
    snapshot_within: int = 60_000_000  # from the welcome to the end of the snapshot
    good_after: int = 3_000_000  # a connection that was live for so long resets the backoff
    backoff_base: int = 100_000
    backoff_most: int = 2_000_000  # well below the time in which a change has to be in force


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to this replica: `connected` or `disconnected` follows."""

    replica: ReplicaAddress


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send this frame on the connection."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class Hangup:
    """Close the connection (or the attempt), and call nothing for it any more: the observer has left it."""

    error: ControlError


@dataclass(frozen=True, slots=True)
class TakePolicy:
    """Take this version now, and call `policy_taken` before anything else."""

    version: Version


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """For a replica that passes on what it observes: the whole state, in place of changes."""

    state: ReplicatedState


@dataclass(frozen=True, slots=True)
class ChangeReceived:
    """For a replica that passes on what it observes: the next change."""

    number: int
    delta: Delta


@dataclass(frozen=True, slots=True)
class HeartbeatConfirmed:
    """For a replica that passes on what it observes: the heartbeat was answered, at this position. All
    heartbeats before it are confirmed with it."""

    sequence: int
    position: LogPosition


ObserverAction = (
    Connect | SendFrame | Hangup | TakePolicy | TakeNodes | StateLoaded | ChangeReceived | HeartbeatConfirmed
)


class Link(Enum):
    """How far the connection is."""

    WAITING = "waiting"  # for the time to connect
    CONNECTING = "connecting"
    GREETING = "greeting"  # the Hello was sent
    SNAPSHOT = "snapshot"  # a snapshot is to come
    LIVE = "live"


@dataclass(slots=True)
class _Held:
    """A state of another history, until that is confirmed."""

    snapshot: ReceivedSnapshot
    deltas: list[Delta] = field(default_factory=list)

    @property
    def position(self) -> LogPosition:
        start = self.snapshot.position
        return LogPosition(start.history, start.number + len(self.deltas))


class Observer:
    """One gateway's connection to the control plane. Methods return what is to be done, in order.

    The driver ticks when `next_at` has come. After a Hangup the connection is over for the observer; the
    driver calls `disconnected` only for a connection that ended without one.
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
        self.position = LogPosition()  # of the last change that was received whole; no history: nothing was
        self.link = Link.WAITING
        self.replica: ReplicaAddress | None = None  # the one that is connected to, or being tried
        self._relay = relay  # a replica that observes: it takes nothing itself
        self.relayed = ServingReport()  # of a relay: what its own gateways serve under, told with heartbeats
        self._backoff = Backoff(self.times.backoff_base, self.times.backoff_most, rng)
        self._next_replica = 0  # in the order
        self._not_before = dict[str, int]()  # by replica: when it may be tried again, as it said itself
        self._link_at = 0  # when `link` last changed; while WAITING: when to connect
        self._heard_at = 0
        self._good_since: int | None = None  # when this connection became live
        self._stream_history = ""  # of this connection
        self._assembler = SnapshotAssembler()
        self._held: _Held | None = None
        self._pending = PendingNodes()
        self._sequence = 0  # of the last heartbeat, of all connections
        self._answered = 0  # the last that was answered or belongs to an older connection
        self._unanswered_since: int | None = None
        self._heartbeat_at = 0

    # --- the connection

    def connected(self, now: int) -> list[ObserverAction]:
        """The connection that was asked for is open."""
        if self.link is not Link.CONNECTING:
            return []
        self._change_link(Link.GREETING, now)
        hello = Hello(protocol=PROTOCOL, gateway=self.identity.gateway, life=self.identity.life)
        if self.position.history:
            hello.resume.CopyFrom(position_message(self.position))
        return [SendFrame(Frame(hello=hello))]

    def disconnected(self, now: int) -> list[ObserverAction]:
        """The connection has ended, or could not be had."""
        self._leave(now)
        return []

    def unreadable(self, error: ControlError, now: int) -> list[ObserverAction]:
        """The codec could not read what came."""
        return self._hang_up(error, now)

    def received(self, frame: Frame, now: int) -> list[ObserverAction]:
        """A frame came."""
        if self.link in (Link.WAITING, Link.CONNECTING):
            return []
        self._heard_at = now
        try:
            return self._take(frame, now)
        except ControlError as error:
            return self._hang_up(error, now)

    def policy_taken(self, version: Version, good: bool, now: int) -> list[ObserverAction]:
        """How taking a version went."""
        self.policy.version_taken(version, now, good)
        return []

    def heartbeat(self, now: int) -> tuple[int, list[ObserverAction]]:
        """Send a heartbeat now, also before it is due; its sequence. 0: there is no connection."""
        if self.link not in (Link.SNAPSHOT, Link.LIVE):
            return 0, []
        self._sequence += 1
        self.policy.heartbeat_sent(self._sequence, now)
        self._heartbeat_at = now + self.policy.rules.heartbeat_every_us
        if self._unanswered_since is None:
            self._unanswered_since = now
        serving = 0 if self._held is not None else self.policy.serving.number
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
        """What is due now: one piece of the list at most."""
        actions = self._take_piece()
        if self.link is Link.WAITING:
            return actions + (self._connect(now) if now >= self._link_at else [])
        if (error := self._overdue(now)) is not None:
            return actions + self._hang_up(error, now)
        if self.link in (Link.SNAPSHOT, Link.LIVE) and now >= self._heartbeat_at:
            actions += self.heartbeat(now)[1]
        return actions

    def next_at(self) -> int:
        """When `tick` has something to do at the latest."""
        if self._pending:
            return 0  # at once, when the loop has had its turn
        if self.link is Link.WAITING:
            return self._link_at
        due = self._due_at()
        return min(due, self._heartbeat_at) if self.link in (Link.SNAPSHOT, Link.LIVE) else due

    # --- the connection, within

    def _change_link(self, link: Link, now: int) -> None:
        self.link, self._link_at, self._heard_at = link, now, now

    def _connect(self, now: int) -> list[ObserverAction]:
        if not self.replicas:
            self._link_at = now + self.times.backoff_most
            return []
        self.replica = self._choose(now)
        self._change_link(Link.CONNECTING, now)
        return [Connect(self.replica)]

    def _choose(self, now: int) -> ReplicaAddress:
        """The next in the order that has not asked to be left alone for now; if all have, the next."""
        self._not_before = {name: at for name, at in self._not_before.items() if at > now}
        count = len(self.replicas)
        start = self._next_replica
        candidates = [(start + step) % count for step in range(count)]
        free = (n for n in candidates if self.replicas[n].name not in self._not_before)
        chosen = next(free, start)
        self._next_replica = (chosen + 1) % count  # where this one fails
        return self.replicas[chosen]

    def _leave(self, now: int) -> None:
        """Forget the connection; another replica is tried after a delay."""
        if self.link is Link.WAITING:
            return
        if self._good_since is not None and now - self._good_since >= self.times.good_after:
            self._backoff.reset()
        self._change_link(Link.WAITING, now + self._backoff.next_delay_us())
        self._good_since, self._unanswered_since, self._held = None, None, None
        self._assembler = SnapshotAssembler()
        self._answered = self._sequence
        self.replica = None

    def _hang_up(self, error: ControlError, now: int) -> list[ObserverAction]:
        if self.link is Link.WAITING:
            return []
        address = self.replica.address if self.replica is not None else ""
        self._leave(now)
        return [Hangup(type(error)(error.what, address=address))]

    def _due_at(self) -> int:
        """When the replica is given up, if nothing more comes."""
        times = self.times
        match self.link:
            case Link.CONNECTING:
                return self._link_at + times.connect_within
            case Link.GREETING:
                return self._link_at + times.welcome_within
            case Link.SNAPSHOT:
                return min(self._link_at + times.snapshot_within, self._heard_at + times.silence)
        since = self._unanswered_since
        return self._heartbeat_at if since is None else since + times.silence

    def _overdue(self, now: int) -> ControlError | None:
        if now < self._due_at():
            return None
        match self.link:
            case Link.CONNECTING:
                return ReplicaSilentError("no connection in time")
            case Link.GREETING:
                return ReplicaSilentError("no welcome in time")
            case Link.SNAPSHOT:
                return ReplicaSilentError("no snapshot in time")
        return None if self._unanswered_since is None else ReplicaSilentError("heartbeats are not answered")

    # --- what comes

    def _take(self, frame: Frame, now: int) -> list[ObserverAction]:
        body = frame.WhichOneof("body")
        if body == "reject":
            return self._rejected(frame.reject, now)
        if self.link is Link.GREETING:
            if body != "welcome":
                raise FrameUnexpectedError(f"{body} came before a welcome")
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
        raise FrameUnexpectedError(f"{body} is not allowed now")

    def _rejected(self, reject: Reject, now: int) -> list[ObserverAction]:
        if self.replica is not None and reject.retry_after_ms:
            after_us = min(reject.retry_after_ms * 1000, self.times.backoff_most)
            self._not_before[self.replica.name] = now + after_us
        if reject.reason in RejectReason.values():
            name = RejectReason.Name(reject.reason)
        else:
            name = str(reject.reason)
        return self._hang_up(ReplicaRejectedError(f"{name}: {reject.detail[:200]}"), now)

    def _welcomed(self, welcome: Welcome, now: int) -> list[ObserverAction]:
        if not welcome.history:
            raise FrameUnexpectedError("a welcome without a history")
        self._stream_history = welcome.history
        if not welcome.resumed:
            self._change_link(Link.SNAPSHOT, now)
        elif self.position.history == welcome.history:
            self._become_live(now)
        else:
            raise FrameUnexpectedError("a stream was resumed that belongs to another history")
        return self.heartbeat(now)[1]

    def _become_live(self, now: int) -> None:
        self._change_link(Link.LIVE, now)
        self._good_since = now if self._good_since is None else self._good_since
        if self._unanswered_since is not None:
            self._unanswered_since = now  # answers could not come before

    def _expect_snapshot(self, now: int) -> None:
        if self.link is Link.LIVE:
            self._change_link(Link.SNAPSHOT, now)

    def _snapshot_part(self, part: SnapshotPart, now: int) -> list[ObserverAction]:
        self._expect_snapshot(now)
        snapshot = self._assembler.add(part)
        if snapshot is None:
            return []
        ours, theirs = self.position, snapshot.position
        self._held = None
        if ours.history and ours.history != theirs.history:
            self._become_live(now)
            self._held = _Held(snapshot)
            self._stream_history = theirs.history
            return []
        if theirs.number < ours.number:
            raise ReplicaBehindError(f"a snapshot of {theirs.number}, {ours.number} is known here")
        self._become_live(now)
        self._stream_history = theirs.history
        if theirs == ours:
            return []
        return self._load(snapshot, now)

    def _delta(self, delta: Delta, now: int) -> list[ObserverAction]:
        position = self._received_position()
        if delta.number != position.number + 1:
            raise StreamGapError(f"change {delta.number} came after {position.number}")
        if self._held is None:
            return self._apply(delta, now)
        if len(self._held.deltas) >= MOST_HELD_DELTAS:
            raise StreamGapError("too many changes of a history that is not confirmed")
        self._held.deltas.append(delta)
        return []

    def _received_position(self) -> LogPosition:
        return self.position if self._held is None else self._held.position

    def _heartbeat_answered(self, answer: HeartbeatAnswer, now: int) -> list[ObserverAction]:
        if not self._answered < answer.sequence <= self._sequence:
            raise FrameUnexpectedError(f"heartbeat {answer.sequence} is not open here")
        confirmed, received = position_from(answer.position), self._received_position()
        if confirmed.history != received.history:
            raise FrameUnexpectedError("a heartbeat was answered in another history")
        if confirmed.number > received.number:
            raise StreamGapError(f"change {confirmed.number} is confirmed, {received.number} came")
        actions = self._adopt(now) if self._held is not None else []
        self._answered = answer.sequence
        self._unanswered_since = None if answer.sequence == self._sequence else now
        self.policy.heartbeat_answered(answer.sequence, True, now)
        if self._relay:
            actions.append(HeartbeatConfirmed(answer.sequence, confirmed))
        return actions

    # --- taking

    def _adopt(self, now: int) -> list[ObserverAction]:
        """The other history is confirmed with its quorum: it is the one that is followed from now on."""
        held, self._held = self._held, None
        assert held is not None
        self.policy.begin_history()
        actions = self._load(held.snapshot, now)
        for delta in held.deltas:
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
            raise FrameUnexpectedError(f"change {delta.number} is of a kind that is not known here")
        small = not self._pending and len(delta.nodes.nodes) <= NODES_IN_CHUNK
        if change == "nodes" and not self._relay:
            self._pending.add(delta.nodes)  # first, for it may refuse
        self.position = LogPosition(self.position.history, delta.number)
        if self._relay:
            return [ChangeReceived(delta.number, delta)]
        match change:
            case "committed":
                self.policy.version_committed(version_from(delta.committed), now)
            case "activated":
                self.policy.version_activated(delta.activated)
            case "nodes":
                return self._take_piece() if small else []
        return self._take_policy()

    def _take_policy(self) -> list[ObserverAction]:
        version = self.policy.next_version()
        return [TakePolicy(version)] if version is not None else []

    def _take_piece(self) -> list[ObserverAction]:
        taken = self._pending.take()
        return [taken] if taken is not None else []
