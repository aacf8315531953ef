"""The state machine of a control replica, which serves gateways, its *readers*. No I/O; times are
microseconds, passed in.

A reader sends Hello and gets a Welcome, then the changes after its position from the retained log, or a
snapshot. From then on it is *live*: each change is written to it as it is committed.

Heartbeats are collected and answered by read barriers, one at a time: a barrier confirms the heartbeats that
were received before it was *started*, and an answer is written to a reader only after all changes up to the
position that the barrier returned. docs/design/control-plane.md has the proof ("Heartbeats through two
hops").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stackrouter.controlplane.barriers import ReadBarriers
from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.conversion import position_from, report_from
from stackrouter.controlplane.delta_log import DeltaLog
from stackrouter.controlplane.frames_pb2 import (
    BAD_FRAME,
    FRAME_TOO_LARGE,
    NOT_READY,
    PROTOCOL_VERSION,
    READER_TOO_SLOW,
    REPLACED,
    REPLICA_FULL,
    SHUTTING_DOWN,
    Delta,
    Frame,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Reject,
    RejectReason,
    SnapshotQueued,
    Welcome,
)
from stackrouter.controlplane.serving import ServingCounts
from stackrouter.controlplane.snapshot import ReplicatedState, Snapshot
from stackrouter.controlplane.snapshot_queue import SnapshotQueue
from stackrouter.coord.port import LogPosition, ServingReport
from stackrouter.errors import FrameError, FrameTooLargeError

PROTOCOL = 1
MAX_NAME_CHARACTERS = 128  # of a gateway's name, life or history
SWEEP_INTERVAL_US = 1_000_000  # between checks for silent, overdue and queued readers


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Limits of one replica. Times in microseconds."""

    most_gateways: int = 2000
    max_unidentified: int = 64  # connections that have not sent Hello
    hello_timeout_us: int = 2_000_000
    silence_timeout_us: int = 30_000_000  # a reader that sends nothing for this long is disconnected
    barrier_interval_us: int = 100_000  # minimum time between the starts of two barriers
    barrier_timeout_us: int = 1_000_000  # a barrier without an answer after this time has failed
    max_failed_barriers: int = 3  # in a row; then new gateways are rejected until a barrier is confirmed
    max_queued_bytes: int = 4 * 1024 * 1024  # unsent to one reader; above it the reader is disconnected
    max_snapshot_transfers: int = 8
    snapshot_bytes_s: int = 16 * 1024 * 1024  # total rate of all snapshots
    snapshot_window_bytes: int = 128 * 1024  # the next part is written only while fewer bytes are unsent
    snapshot_timeout_us: int = 30_000_000  # a reader whose snapshot takes longer is disconnected
    max_log_entries: int = 4096
    max_log_bytes: int = 8 * 1024 * 1024
    max_resume_bytes: int = 128 * 1024  # of missed changes; above it a snapshot is sent
    max_delta_bytes: int = 512 * 1024  # a larger change is sent as a snapshot, whose rate is limited
    retry_after_us: int = 1_000_000  # sent with REPLICA_FULL and NOT_READY rejections


@dataclass(frozen=True, slots=True)
class Write:
    """Send these bytes to a reader, after everything written to it before."""

    reader: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close a reader's connection after a short time for unsent data. The reader has been removed."""

    reader: int
    reason: RejectReason
    detail: str


@dataclass(frozen=True, slots=True)
class StartBarrier:
    """Submit a read barrier with this report. A result goes to `barrier_confirmed` or `barrier_failed`."""

    barrier: int
    report: ServingReport


@dataclass(frozen=True, slots=True)
class ReloadState:
    """Changes were missed, or there is no state yet: call `loaded` with the current state."""


ReplicaAction = Write | Close | StartBarrier | ReloadState


class Phase(Enum):
    """Progress of a reader's connection."""

    UNKNOWN = "unknown"  # no Hello received yet
    QUEUED = "queued"  # waits for its snapshot while other readers are sent theirs
    SNAPSHOT = "snapshot"
    LIVE = "live"


@dataclass(slots=True)
class _Session:
    reader: int
    accepted_at: int
    last_received_at: int  # when a frame was last received
    gateway: str = ""
    life: str = ""
    phase: Phase = Phase.UNKNOWN
    queued_bytes: int = 0
    sequence: int = 0  # of its last heartbeat
    serving_version: int = -1  # from its last heartbeat; -1: none received
    failed_version: int = 0
    received_number: int = 0  # of the last change it reported as received
    deferred_answer: tuple[int, LogPosition] | None = None  # sequence, position; it waits for changes
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ReaderReport:
    """One reader, for operators. `queued_bytes`: not sent yet; `connected_us`: time since it was accepted."""

    reader: int
    gateway: str
    life: str
    phase: str
    serving_version: int
    failed_version: int
    received_number: int
    queued_bytes: int
    connected_us: int


@dataclass(slots=True)
class ReplicaCounts:
    """Event counts since the start."""

    heartbeats: int = 0
    answers: int = 0
    barriers_started: int = 0
    barriers_confirmed: int = 0
    barriers_failed: int = 0
    snapshots: int = 0  # started
    resumed: int = 0
    rejected: int = 0
    reloads: int = 0
    changes: int = 0


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """State of the replica, for operators."""

    name: str
    ready: bool
    position: LogPosition
    active: int
    serving: ServingReport
    snapshots_waiting: int
    log_entries_bytes: int
    counts: ReplicaCounts
    readers: tuple[ReaderReport, ...]


class ReplicaStateMachine:
    """One control replica. Every method returns the actions to carry out, in order.

    The driver calls `unsent_bytes_changed` whenever sending has changed the number of unsent bytes of a
    reader, and `tick` when `next_at` is reached. After a `Close` it makes no further calls for that reader.
    """

    def __init__(self, name: str, limits: ReplicaLimits) -> None:
        self.name, self.limits = name, limits
        self.counts = ReplicaCounts()
        self._state: ReplicatedState | None = None
        self._delta_log = DeltaLog(LogPosition(), 0, 0)
        self._confirmed = False  # a barrier has confirmed the state with the quorum
        self._reload_requested_at: int | None = None
        self._readers: dict[int, _Session] = {}
        self._hello_deadlines: dict[int, int] = {}  # by reader, in order of arrival: when its Hello is due
        self._gateways: dict[str, _Session] = {}
        self._serving = ServingCounts()
        self._barriers = ReadBarriers(limits.barrier_interval_us, limits.barrier_timeout_us)
        self._snapshots = SnapshotQueue(
            limits.max_snapshot_transfers, limits.snapshot_bytes_s, limits.snapshot_timeout_us
        )
        self._pending_report: ServingReport | None = None  # sent with the barrier in progress
        self._confirmed_report: ServingReport | None = None  # sent with the last confirmed barrier
        self._report_due = False  # the report has changed; without heartbeats no barrier would send it
        self._next_sweep_at = 0
        self._answer_frame = Frame(heartbeat_answer=HeartbeatAnswer())  # one message, reused for all answers

    # --- connections

    def accepted(self, reader: int, now: int) -> list[ReplicaAction]:
        """A connection was accepted. `reader`: the driver's number for it, never reused."""
        self._readers[reader] = _Session(reader, now, now)
        self._hello_deadlines[reader] = now + self.limits.hello_timeout_us
        if len(self._hello_deadlines) > self.limits.max_unidentified:
            return self._reject(reader, REPLICA_FULL, "too many connections that have not said Hello")
        return []

    def received(self, reader: int, frame: Frame, now: int) -> list[ReplicaAction]:
        """A frame was received from a reader."""
        session = self._readers.get(reader)
        if session is None:
            return []
        body = frame.WhichOneof("body")
        if body == "heartbeat" and session.phase is not Phase.UNKNOWN:
            return self._heartbeat(session, frame.heartbeat, now)
        if body == "hello" and session.phase is Phase.UNKNOWN:
            return self._hello(session, frame.hello, now)
        return self._reject(reader, BAD_FRAME, f"{body} is not allowed now")

    def unreadable(self, reader: int, error: FrameError, now: int) -> list[ReplicaAction]:
        """The codec could not decode the bytes received from a reader."""
        reason = FRAME_TOO_LARGE if isinstance(error, FrameTooLargeError) else BAD_FRAME
        return self._reject(reader, reason, error.what)

    def unsent_bytes_changed(self, reader: int, unsent_bytes: int, now: int) -> list[ReplicaAction]:
        """Update the number of bytes written to this reader and not sent yet."""
        session = self._readers.get(reader)
        if session is None:
            return []
        session.queued_bytes = unsent_bytes
        if unsent_bytes > self.limits.max_queued_bytes:
            return self._too_slow(session)
        actions: list[ReplicaAction] = []
        if session.phase in (Phase.QUEUED, Phase.SNAPSHOT):
            self._send_snapshot_parts(now, actions)
        return actions

    def disconnected(self, reader: int, now: int) -> list[ReplicaAction]:
        """A reader's connection has ended."""
        actions: list[ReplicaAction] = []
        session = self._readers.get(reader)
        if session is not None:
            self._forget(session)
            self._send_snapshot_parts(now, actions)
        return actions

    def shut_down(self, now: int) -> list[ReplicaAction]:
        """Reject all readers, so that they connect to other replicas at once."""
        actions: list[ReplicaAction] = []
        for reader in list(self._readers):
            actions += self._reject(reader, SHUTTING_DOWN, "this replica is stopping")
        return actions

    # --- the state

    def loaded(self, state: ReplicatedState, now: int) -> list[ReplicaAction]:
        """The current state in full, instead of changes. The state machine takes ownership of it."""
        self._reload_requested_at = None
        current = self._state
        if current is not None and state.position.history == current.position.history:
            if state.position.number <= current.position.number:
                return []  # nothing was missed
        else:
            self._barriers.forget_all()  # barriers and heartbeats of another history confirm nothing
            self._confirmed = False
        self._state = state
        self._serving.activated(state.active)
        return self._restart_log(now)

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        """The next change was committed. Changes that the state already includes are ignored."""
        state = self._state
        if state is None or number <= state.position.number:
            return []
        if number > state.position.number + 1:
            return self._reload(now)
        self.counts.changes += 1
        delta = state.narrowed(delta)
        state.apply(delta)
        if delta.WhichOneof("change") == "activated":
            self._serving.activated(state.active)
        encoded = encode(Frame(delta=delta))
        if len(encoded) > self.limits.max_delta_bytes:
            return self._restart_log(now)
        self._delta_log.append(number, encoded)
        actions: list[ReplicaAction] = []
        for session in list(self._gateways.values()):
            if session.phase is Phase.LIVE:
                self._write(session, encoded, actions)
                if session.deferred_answer is not None:
                    self._send_deferred_answer(session, actions)
        return actions

    # --- barriers

    def barrier_confirmed(self, barrier: int, position: LogPosition, now: int) -> list[ReplicaAction]:
        """A barrier was applied here: `position` includes everything that was committed before its start."""
        heartbeats = self._barriers.confirmed(barrier)
        if heartbeats is None:
            return []
        self.counts.barriers_confirmed += 1
        if not position.history:  # the group has no history yet: there is nothing to serve
            return []
        self._barriers.consecutive_failures = 0
        state = self._state
        if state is None or state.position.history != position.history:
            return self._reload(now)
        actions: list[ReplicaAction] = []
        if state.position.number < position.number:
            actions += self._reload(now)
        self._confirmed = True
        self._confirmed_report = self._pending_report
        self._answer_heartbeats(heartbeats, position, actions)
        self._start_barrier_if_due(now, actions)
        return actions

    def barrier_failed(self, barrier: int, now: int) -> list[ReplicaAction]:
        """A barrier will get no answer. Its heartbeats are carried over to the next one."""
        if not self._barriers.failed(barrier):
            return []
        self.counts.barriers_failed += 1
        if self._barriers.consecutive_failures >= self.limits.max_failed_barriers:
            self._confirmed = False
        actions: list[ReplicaAction] = []
        self._start_barrier_if_due(now, actions)
        return actions

    # --- time

    def tick(self, now: int) -> list[ReplicaAction]:
        """Run everything that is due."""
        actions: list[ReplicaAction] = []
        self._reject_without_hello(now, actions)
        if self._barriers.overdue(now):
            actions += self.barrier_failed(self._barriers.number, now)
        self._start_barrier_if_due(now, actions)
        self._send_snapshot_parts(now, actions)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_US
            self._sweep(now, actions)
            self._report_due = self.ready and self._confirmed_report != self.serving_report()
        return actions

    def next_at(self) -> int:
        """The latest time for the next call of `tick`."""
        times = [self._next_sweep_at]
        if self._hello_deadlines:
            times.append(next(iter(self._hello_deadlines.values())))
        others = (self._barriers.next_at(self._barrier_wanted()), self._snapshots.next_at())
        times += [at for at in others if at is not None]
        return min(times)

    # --- reports for operators

    @property
    def ready(self) -> bool:
        """Whether gateways are accepted: a barrier confirmed the state, and no barriers failed since."""
        return self._state is not None and self._confirmed

    @property
    def position(self) -> LogPosition:
        """Position of the last change in the state."""
        return self._state.position if self._state is not None else LogPosition()

    def serving_report(self) -> ServingReport:
        """Gateway counts of the most used versions, and some names of gateways behind; both bounded."""
        return self._serving.report(len(self._gateways))

    def report(self, now: int) -> ReplicaReport:
        """The state of the replica, with one entry for each reader."""
        state = self._state
        readers = tuple(
            ReaderReport(
                r.reader, r.gateway, r.life, r.phase.value, max(0, r.serving_version), r.failed_version,
                r.received_number, r.queued_bytes, now - r.accepted_at,
            )
            for r in self._readers.values()
        )  # fmt: skip
        return ReplicaReport(
            self.name,
            self.ready,
            self.position,
            state.active if state is not None else 0,
            self.serving_report(),
            len(self._snapshots.waiting()),
            self._delta_log.retained_bytes,
            self.counts,
            readers,
        )

    # --- connections, internals

    def _hello(self, session: _Session, hello: Hello, now: int) -> list[ReplicaAction]:
        names = (hello.gateway, hello.life)
        if hello.protocol != PROTOCOL:
            return self._reject(
                session.reader, PROTOCOL_VERSION, f"protocol {hello.protocol}, not {PROTOCOL}"
            )
        if (
            not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names)
            or len(hello.resume.history) > MAX_NAME_CHARACTERS
        ):
            return self._reject(
                session.reader, BAD_FRAME, f"a name is empty or over {MAX_NAME_CHARACTERS} characters"
            )
        if not self.ready:
            return self._reject(session.reader, NOT_READY, "this replica has no confirmed state yet")
        assert self._state is not None
        position, resume = self._state.position, position_from(hello.resume)
        if resume.history == position.history and resume.number > position.number:
            return self._reject(session.reader, NOT_READY, f"this replica is behind, at {position.number}")
        actions: list[ReplicaAction] = []
        if (older := self._gateways.get(hello.gateway)) is not None:
            actions += self._reject(older.reader, REPLACED, f"a newer connection of {hello.gateway} came")
        if len(self._gateways) >= self.limits.most_gateways:
            full = f"{self.limits.most_gateways} gateways are served"
            return actions + self._reject(session.reader, REPLICA_FULL, full)
        self._hello_deadlines.pop(session.reader, None)
        session.gateway, session.life, session.last_received_at = hello.gateway, hello.life, now
        self._gateways[session.gateway] = session
        self._welcome(session, resume, now, actions)
        return actions

    def _welcome(
        self, session: _Session, resume: LogPosition, now: int, actions: list[ReplicaAction]
    ) -> None:
        assert self._state is not None
        missing = self._delta_log.after(resume) if resume.history else None
        resumed = missing is not None and sum(map(len, missing)) <= self.limits.max_resume_bytes
        history = self._state.position.history
        welcome = Welcome(replica=self.name, history=history, resumed=resumed)
        self._write(session, encode(Frame(welcome=welcome)), actions)
        if missing is None or not resumed:
            session.phase = Phase.QUEUED
            self._snapshots.add(session.reader)
            self._send_snapshot_parts(now, actions)
            return
        self.counts.resumed += 1
        session.phase = Phase.LIVE
        for encoded in missing:
            self._write(session, encoded, actions)

    def _heartbeat(self, session: _Session, heartbeat: Heartbeat, now: int) -> list[ReplicaAction]:
        sequence = heartbeat.sequence
        if sequence <= session.sequence:
            return self._reject(session.reader, BAD_FRAME, "a heartbeat's sequence has to grow")
        self.counts.heartbeats += 1
        session.sequence, session.last_received_at = sequence, now
        session.received_number, session.failed_version = heartbeat.position.number, heartbeat.failed
        if heartbeat.HasField("relayed"):
            self._serving.set_relayed(session.gateway, report_from(heartbeat.relayed))
        elif heartbeat.serving != session.serving_version:
            session.serving_version = heartbeat.serving
            self._serving.set_serving(session.gateway, session.serving_version)
        self._barriers.add(session.reader, sequence)
        return []

    def _write(self, session: _Session, data: bytes, actions: list[ReplicaAction]) -> None:
        if session.closed:
            return
        session.queued_bytes += len(data)
        actions.append(Write(session.reader, data))
        if session.queued_bytes > self.limits.max_queued_bytes:
            actions += self._too_slow(session)

    def _too_slow(self, session: _Session) -> list[ReplicaAction]:
        return self._reject(
            session.reader, READER_TOO_SLOW, f"{session.queued_bytes} bytes wait for this reader"
        )

    def _reject(self, reader: int, reason: RejectReason, detail: str) -> list[ReplicaAction]:
        session = self._readers.get(reader)
        if session is None:
            return []
        self.counts.rejected += 1
        self._forget(session)
        after_ms = self.limits.retry_after_us // 1000 if reason in (REPLICA_FULL, NOT_READY) else 0
        frame = Frame(reject=Reject(reason=reason, detail=detail, retry_after_ms=after_ms))
        return [Write(reader, encode(frame)), Close(reader, reason, detail)]

    def _forget(self, session: _Session) -> None:
        reader, session.closed = session.reader, True
        del self._readers[reader]
        self._hello_deadlines.pop(reader, None)
        self._barriers.forget(reader)
        self._snapshots.remove(reader)
        if self._gateways.get(session.gateway) is session:
            del self._gateways[session.gateway]
            self._serving.forget(session.gateway)

    def _reject_without_hello(self, now: int, actions: list[ReplicaAction]) -> None:
        while self._hello_deadlines:
            reader, until = next(iter(self._hello_deadlines.items()))
            if now < until:
                return
            actions += self._reject(reader, BAD_FRAME, "no Hello came in time")

    def _sweep(self, now: int, actions: list[ReplicaAction]) -> None:
        """Reject readers that are silent or too slow with their snapshot; notify those queued for one."""
        limits = self.limits
        for session in list(self._gateways.values()):
            silent_us = now - session.last_received_at
            if silent_us >= limits.silence_timeout_us:
                silent = f"nothing came for {silent_us // 1000} ms"
                actions += self._reject(session.reader, READER_TOO_SLOW, silent)
        for reader in self._snapshots.overdue(now):
            slow = f"its snapshot was not taken in {limits.snapshot_timeout_us // 1000} ms"
            actions += self._reject(reader, READER_TOO_SLOW, slow)
        for ahead, reader in enumerate(self._snapshots.waiting()):
            self._notify_queued(self._readers[reader], ahead, actions)
        self._send_snapshot_parts(now, actions)

    def _notify_queued(self, session: _Session, ahead: int, actions: list[ReplicaAction]) -> None:
        queued = SnapshotQueued(ahead=ahead)
        self._write(session, encode(Frame(snapshot_queued=queued)), actions)

    # --- the state, internals

    def _reload(self, now: int) -> list[ReplicaAction]:
        """Request the state, at most once in `barrier_timeout_us` until it is loaded."""
        requested_at = self._reload_requested_at
        if requested_at is not None and now - requested_at < self.limits.barrier_timeout_us:
            return []
        self._reload_requested_at = now
        self.counts.reloads += 1
        return [ReloadState()]

    def _restart_log(self, now: int) -> list[ReplicaAction]:
        """Start a new log after a jump of the state: all readers need a snapshot, in connection order."""
        assert self._state is not None
        limits = self.limits
        self._delta_log = DeltaLog(self._state.position, limits.max_log_entries, limits.max_log_bytes)
        actions: list[ReplicaAction] = []
        for session in list(self._gateways.values()):
            if session.phase is not Phase.QUEUED:
                self._snapshots.remove(session.reader)
                session.phase = Phase.QUEUED
                self._notify_queued(session, self._snapshots.add(session.reader), actions)
        self._send_snapshot_parts(now, actions)
        return actions

    # --- barriers, internals

    def _barrier_wanted(self) -> bool:
        """Whether a barrier is needed even if no heartbeat is pending."""
        return not self._confirmed or self._report_due

    def _start_barrier_if_due(self, now: int, actions: list[ReplicaAction]) -> None:
        barrier = self._barriers.start(now, self._barrier_wanted())
        if barrier is not None:
            self.counts.barriers_started += 1
            self._pending_report, self._report_due = self.serving_report(), False
            actions.append(StartBarrier(barrier, self._pending_report))

    def _answer_heartbeats(
        self, heartbeats: dict[int, int], position: LogPosition, actions: list[ReplicaAction]
    ) -> None:
        """Answer readers that were sent all changes up to the position; defer the other answers."""
        assert self._state is not None
        answer = self._answer_frame.heartbeat_answer
        answer.position.history, answer.position.number = position.history, position.number
        complete = self._state.position.number >= position.number
        for reader, sequence in heartbeats.items():
            session = self._readers[reader]
            session.deferred_answer = None
            if complete and session.phase is Phase.LIVE:
                answer.sequence = sequence
                self.counts.answers += 1
                self._write(session, encode(self._answer_frame), actions)
            else:
                session.deferred_answer = sequence, position

    def _send_deferred_answer(self, session: _Session, actions: list[ReplicaAction]) -> None:
        """Write a deferred heartbeat answer, if the reader was sent all changes that it confirms."""
        assert self._state is not None
        if session.deferred_answer is None or session.phase is not Phase.LIVE or session.closed:
            return
        sequence, position = session.deferred_answer
        if position.history != self._state.position.history:
            session.deferred_answer = None
        elif position.number <= self._state.position.number:
            session.deferred_answer = None
            answer = self._answer_frame.heartbeat_answer
            answer.sequence = sequence
            answer.position.history, answer.position.number = position.history, position.number
            self.counts.answers += 1
            self._write(session, encode(self._answer_frame), actions)

    # --- snapshots

    def _send_snapshot_parts(self, now: int, actions: list[ReplicaAction]) -> None:
        """Write all snapshot parts that the rate and the readers' windows allow now."""
        while (part := self._snapshots.next_part(now, self._has_window, self._make_snapshot)) is not None:
            session = self._readers[part.reader]
            if session.phase is Phase.QUEUED:
                session.phase = Phase.SNAPSHOT
                self.counts.snapshots += 1
            self._write(session, part.data, actions)
            if part.last and not session.closed:
                self._finish_snapshot(session, part.position, actions)

    def _has_window(self, reader: int) -> bool:
        return self._readers[reader].queued_bytes < self.limits.snapshot_window_bytes

    def _make_snapshot(self, current_snapshot: Snapshot | None) -> Snapshot:
        """The current snapshot while few enough retained changes follow it, else a new one."""
        assert self._state is not None
        if current_snapshot is not None:
            missing = self._delta_log.after(current_snapshot.position)
            if missing is not None and sum(map(len, missing)) <= self.limits.snapshot_window_bytes:
                return current_snapshot
        return Snapshot(self._state)

    def _finish_snapshot(
        self, session: _Session, position: LogPosition, actions: list[ReplicaAction]
    ) -> None:
        missing = self._delta_log.after(position)
        if missing is None:  # the log no longer reaches back to this position: send another snapshot
            session.phase = Phase.QUEUED
            self._snapshots.add(session.reader)
            return
        session.phase = Phase.LIVE
        self._snapshots.remove(session.reader)
        for encoded in missing:
            self._write(session, encoded, actions)
        self._send_deferred_answer(session, actions)
