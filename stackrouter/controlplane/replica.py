"""What a control replica does for its gateways, its *readers*. No I/O; times are microseconds, passed in.

A reader says Hello and is welcomed; it gets the changes after its position out of the retained log, or a
snapshot. From then on it is *live*: each change is written to it as it is committed.

Heartbeats are collected and answered by read barriers, one at a time: a barrier confirms the heartbeats that
came before it was *started*, and an answer is written to a reader only after all changes up to the position
that the barrier gave. docs/design/control-plane.md has the proof ("Heartbeats through two hops").
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
MOST_NAME = 128  # characters of a gateway's name, life or history
SWEEP_EVERY_US = 1_000_000  # how often silent and waiting readers are looked at


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Times in microseconds."""

    most_gateways: int = 2000
    most_unknown: int = 64  # connections that have not said Hello
    hello_within_us: int = 2_000_000
    silence_us: int = 30_000_000  # a reader that sends nothing for so long is cut
    barrier_interval_us: int = 100_000  # between the starts of two barriers
    barrier_timeout_us: int = 1_000_000  # a barrier that is not answered by then has failed
    most_failed_barriers: int = 3  # in a row: past it no gateway is taken until one is confirmed
    most_queued_bytes: int = 4 * 1024 * 1024  # that wait for one reader; past it the reader is cut
    snapshots_at_once: int = 8
    snapshot_bytes_s: int = 16 * 1024 * 1024  # of all snapshots together
    snapshot_window_bytes: int = 128 * 1024  # that wait for a reader at most before its next part is written
    snapshot_within_us: int = 30_000_000  # a reader that has not taken its snapshot by then is cut
    most_log_entries: int = 4096
    most_log_bytes: int = 8 * 1024 * 1024
    most_resume_bytes: int = 128 * 1024  # of missed changes; where there are more, a snapshot is sent
    most_delta_bytes: int = 512 * 1024  # a larger change is sent as a snapshot, which is bounded in pace
    retry_after_us: int = 1_000_000  # what a reader is told that is rejected for now


@dataclass(frozen=True, slots=True)
class Write:
    """Send these bytes to a reader, after all that was written to it before."""

    reader: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close a reader's connection, after a short time for what was written. The reader is forgotten."""

    reader: int
    reason: RejectReason
    detail: str


@dataclass(frozen=True, slots=True)
class StartBarrier:
    """Hand in a read barrier with this report: `barrier_confirmed`, `barrier_failed` or nothing follows."""

    barrier: int
    report: ServingReport


@dataclass(frozen=True, slots=True)
class ReloadState:
    """Changes were missed, or none are known: call `loaded` with the present state."""


ReplicaAction = Write | Close | StartBarrier | ReloadState


class Phase(Enum):
    """How far a reader's connection is."""

    UNKNOWN = "unknown"  # it has not said Hello
    QUEUED = "queued"  # its snapshot waits for those of others
    SNAPSHOT = "snapshot"
    LIVE = "live"


@dataclass(slots=True)
class _Reader:
    reader: int
    accepted_at: int
    heard_at: int
    gateway: str = ""
    life: str = ""
    phase: Phase = Phase.UNKNOWN
    queued: int = 0  # bytes
    sequence: int = 0  # of its last heartbeat
    serving: int = -1  # version, by its last heartbeat; -1: it sent none
    failed: int = 0
    number: int = 0  # of the last change that it said it has
    owed: tuple[int, LogPosition] | None = None  # an answer that waits for changes: sequence, position
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ReaderReport:
    """One reader, for operators. `queued_bytes` wait to be sent; `connected_us`: since it was accepted."""

    reader: int
    gateway: str
    life: str
    phase: str
    serving: int
    failed: int
    number: int
    queued_bytes: int
    connected_us: int


@dataclass(slots=True)
class ReplicaCounts:
    """How often each happened since the start."""

    heartbeats: int = 0
    answers: int = 0
    barriers_started: int = 0
    barriers_confirmed: int = 0
    barriers_failed: int = 0
    snapshots: int = 0  # begun
    resumed: int = 0
    rejected: int = 0
    reloads: int = 0
    changes: int = 0


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """The replica's own state, for operators."""

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
    """One control replica. Every method returns what is to be done, in order.

    The driver calls `queued` whenever the bytes that wait for a reader have changed by sending, `tick` when
    `next_at` has come, and never calls anything for a reader again once it was told to close it.
    """

    def __init__(self, name: str, limits: ReplicaLimits) -> None:
        self.name, self.limits = name, limits
        self.counts = ReplicaCounts()
        self._state: ReplicatedState | None = None
        self._log = DeltaLog(LogPosition(), 0, 0)
        self._confirmed = False  # the state was once confirmed with the quorum
        self._reload_asked_at: int | None = None
        self._readers: dict[int, _Reader] = {}
        self._unknown: dict[int, int] = {}  # readers without a Hello, in order: until when they may be
        self._gateways: dict[str, _Reader] = {}
        self._serving = ServingCounts()
        self._barriers = ReadBarriers(limits.barrier_interval_us, limits.barrier_timeout_us)
        self._snapshots = SnapshotQueue(
            limits.snapshots_at_once, limits.snapshot_bytes_s, limits.snapshot_within_us
        )
        self._telling: ServingReport | None = None  # with the barrier under way
        self._told: ServingReport | None = None  # with the last one that was confirmed
        self._report_due = False  # it differs, and no heartbeat may come that takes it along
        self._sweep_at = 0
        self._answer = Frame(heartbeat_answer=HeartbeatAnswer())  # one message for all answers

    # --- connections

    def accepted(self, reader: int, now: int) -> list[ReplicaAction]:
        """A connection came. `reader`: the driver's number for it, never used before."""
        self._readers[reader] = _Reader(reader, now, now)
        self._unknown[reader] = now + self.limits.hello_within_us
        if len(self._unknown) > self.limits.most_unknown:
            return self._reject(reader, REPLICA_FULL, "too many connections that have not said Hello")
        return []

    def received(self, reader: int, frame: Frame, now: int) -> list[ReplicaAction]:
        """A frame came from a reader."""
        known = self._readers.get(reader)
        if known is None:
            return []
        body = frame.WhichOneof("body")
        if body == "heartbeat" and known.phase is not Phase.UNKNOWN:
            return self._heartbeat(known, frame.heartbeat, now)
        if body == "hello" and known.phase is Phase.UNKNOWN:
            return self._hello(known, frame.hello, now)
        return self._reject(reader, BAD_FRAME, f"{body} is not allowed now")

    def unreadable(self, reader: int, error: FrameError, now: int) -> list[ReplicaAction]:
        """The codec could not read what came from a reader."""
        reason = FRAME_TOO_LARGE if isinstance(error, FrameTooLargeError) else BAD_FRAME
        return self._reject(reader, reason, error.what)

    def queued(self, reader: int, waiting_bytes: int, now: int) -> list[ReplicaAction]:
        """So many bytes that were written to this reader wait to be sent now."""
        known = self._readers.get(reader)
        if known is None:
            return []
        known.queued = waiting_bytes
        if waiting_bytes > self.limits.most_queued_bytes:
            return self._too_slow(known)
        actions: list[ReplicaAction] = []
        if known.phase in (Phase.QUEUED, Phase.SNAPSHOT):
            self._pump_snapshots(now, actions)
        return actions

    def disconnected(self, reader: int, now: int) -> list[ReplicaAction]:
        """A reader's connection has ended."""
        actions: list[ReplicaAction] = []
        known = self._readers.get(reader)
        if known is not None:
            self._forget(known)
            self._pump_snapshots(now, actions)
        return actions

    def shut_down(self, now: int) -> list[ReplicaAction]:
        """Send all readers away: they go to other replicas at once."""
        actions: list[ReplicaAction] = []
        for reader in list(self._readers):
            actions += self._reject(reader, SHUTTING_DOWN, "this replica is stopping")
        return actions

    # --- the state

    def loaded(self, state: ReplicatedState, now: int) -> list[ReplicaAction]:
        """The whole state as of now, in place of changes. The machine owns it from here on."""
        self._reload_asked_at = None
        mine = self._state
        if mine is not None and state.position.history == mine.position.history:
            if state.position.number <= mine.position.number:
                return []  # nothing was missed
        else:
            self._barriers.forget_all()  # what was asked in another history counts for nothing
            self._confirmed = False
        self._state = state
        self._serving.activated(state.active)
        return self._begin_log(now)

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        """The next change took hold. Those that the state holds already are passed over."""
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
        if len(encoded) > self.limits.most_delta_bytes:
            return self._begin_log(now)
        self._log.append(number, encoded)
        actions: list[ReplicaAction] = []
        for known in list(self._gateways.values()):
            if known.phase is Phase.LIVE:
                self._write(known, encoded, actions)
                if known.owed is not None:
                    self._settle(known, actions)
        return actions

    # --- barriers

    def barrier_confirmed(self, barrier: int, position: LogPosition, now: int) -> list[ReplicaAction]:
        """A barrier was applied here: all that was committed before its start is included in `position`."""
        heartbeats = self._barriers.confirmed(barrier)
        if heartbeats is None:
            return []
        self.counts.barriers_confirmed += 1
        if not position.history:  # the group has not begun its history: there is nothing to pass on
            return []
        self._barriers.failed_in_row = 0
        state = self._state
        if state is None or state.position.history != position.history:
            return self._reload(now)
        actions: list[ReplicaAction] = []
        if state.position.number < position.number:
            actions += self._reload(now)
        self._confirmed = True
        self._told = self._telling
        self._answer_all(heartbeats, position, actions)
        self._start_barrier(now, actions)
        return actions

    def barrier_failed(self, barrier: int, now: int) -> list[ReplicaAction]:
        """A barrier will not be answered. Its heartbeats are confirmed by a later one, or never."""
        if not self._barriers.failed(barrier):
            return []
        self.counts.barriers_failed += 1
        if self._barriers.failed_in_row >= self.limits.most_failed_barriers:
            self._confirmed = False
        actions: list[ReplicaAction] = []
        self._start_barrier(now, actions)
        return actions

    # --- time

    def tick(self, now: int) -> list[ReplicaAction]:
        """What is due now."""
        actions: list[ReplicaAction] = []
        self._cut_unknown(now, actions)
        if self._barriers.overdue(now):
            actions += self.barrier_failed(self._barriers.number, now)
        self._start_barrier(now, actions)
        self._pump_snapshots(now, actions)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_EVERY_US
            self._sweep(now, actions)
            self._report_due = self.ready and self._told != self.serving_report()
        return actions

    def next_at(self) -> int:
        """When `tick` has something to do at the latest."""
        times = [self._sweep_at]
        if self._unknown:
            times.append(next(iter(self._unknown.values())))
        others = (self._barriers.next_at(self._barrier_wanted()), self._snapshots.next_at())
        times += [at for at in others if at is not None]
        return min(times)

    # --- what operators see

    @property
    def ready(self) -> bool:
        """Whether gateways are taken: the quorum confirmed the state, and barriers have not failed since."""
        return self._state is not None and self._confirmed

    @property
    def position(self) -> LogPosition:
        """The last change that is known here."""
        return self._state.position if self._state is not None else LogPosition()

    def serving_report(self) -> ServingReport:
        """Counts by serving version, the most first, and names of those behind; both bounded."""
        return self._serving.report(len(self._gateways))

    def report(self, now: int) -> ReplicaReport:
        """The whole state with one entry for each reader."""
        state = self._state
        readers = tuple(
            ReaderReport(
                r.reader, r.gateway, r.life, r.phase.value, max(0, r.serving), r.failed, r.number, r.queued,
                now - r.accepted_at,
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
            self._log.retained_bytes,
            self.counts,
            readers,
        )

    # --- connections, within

    def _hello(self, known: _Reader, hello: Hello, now: int) -> list[ReplicaAction]:
        names = (hello.gateway, hello.life)
        if hello.protocol != PROTOCOL:
            return self._reject(known.reader, PROTOCOL_VERSION, f"protocol {hello.protocol}, not {PROTOCOL}")
        if not all(0 < len(name) <= MOST_NAME for name in names) or len(hello.resume.history) > MOST_NAME:
            return self._reject(known.reader, BAD_FRAME, f"a name is empty or over {MOST_NAME} characters")
        if not self.ready:
            return self._reject(known.reader, NOT_READY, "this replica has no confirmed state yet")
        assert self._state is not None
        position, resume = self._state.position, position_from(hello.resume)
        if resume.history == position.history and resume.number > position.number:
            return self._reject(known.reader, NOT_READY, f"this replica is behind, at {position.number}")
        actions: list[ReplicaAction] = []
        if (older := self._gateways.get(hello.gateway)) is not None:
            actions += self._reject(older.reader, REPLACED, f"a newer connection of {hello.gateway} came")
        if len(self._gateways) >= self.limits.most_gateways:
            full = f"{self.limits.most_gateways} gateways are served"
            return actions + self._reject(known.reader, REPLICA_FULL, full)
        self._unknown.pop(known.reader, None)
        known.gateway, known.life, known.heard_at = hello.gateway, hello.life, now
        self._gateways[known.gateway] = known
        self._welcome(known, resume, now, actions)
        return actions

    def _welcome(self, known: _Reader, resume: LogPosition, now: int, actions: list[ReplicaAction]) -> None:
        assert self._state is not None
        missing = self._log.after(resume) if resume.history else None
        resumed = missing is not None and sum(map(len, missing)) <= self.limits.most_resume_bytes
        history = self._state.position.history
        welcome = Welcome(replica=self.name, history=history, resumed=resumed)
        self._write(known, encode(Frame(welcome=welcome)), actions)
        if missing is None or not resumed:
            known.phase = Phase.QUEUED
            self._snapshots.add(known.reader)
            self._pump_snapshots(now, actions)
            return
        self.counts.resumed += 1
        known.phase = Phase.LIVE
        for encoded in missing:
            self._write(known, encoded, actions)

    def _heartbeat(self, known: _Reader, heartbeat: Heartbeat, now: int) -> list[ReplicaAction]:
        sequence = heartbeat.sequence
        if sequence <= known.sequence:
            return self._reject(known.reader, BAD_FRAME, "a heartbeat's sequence has to grow")
        self.counts.heartbeats += 1
        known.sequence, known.heard_at = sequence, now
        known.number, known.failed = heartbeat.position.number, heartbeat.failed
        if heartbeat.HasField("relayed"):
            self._serving.relays(known.gateway, report_from(heartbeat.relayed))
        elif heartbeat.serving != known.serving:
            known.serving = heartbeat.serving
            self._serving.serves(known.gateway, known.serving)
        self._barriers.add(known.reader, sequence)
        return []

    def _write(self, known: _Reader, data: bytes, actions: list[ReplicaAction]) -> None:
        if known.closed:
            return
        known.queued += len(data)
        actions.append(Write(known.reader, data))
        if known.queued > self.limits.most_queued_bytes:
            actions += self._too_slow(known)

    def _too_slow(self, known: _Reader) -> list[ReplicaAction]:
        return self._reject(known.reader, READER_TOO_SLOW, f"{known.queued} bytes wait for this reader")

    def _reject(self, reader: int, reason: RejectReason, detail: str) -> list[ReplicaAction]:
        known = self._readers.get(reader)
        if known is None:
            return []
        self.counts.rejected += 1
        self._forget(known)
        after_ms = self.limits.retry_after_us // 1000 if reason in (REPLICA_FULL, NOT_READY) else 0
        frame = Frame(reject=Reject(reason=reason, detail=detail, retry_after_ms=after_ms))
        return [Write(reader, encode(frame)), Close(reader, reason, detail)]

    def _forget(self, known: _Reader) -> None:
        reader, known.closed = known.reader, True
        del self._readers[reader]
        self._unknown.pop(reader, None)
        self._barriers.forget(reader)
        self._snapshots.remove(reader)
        if self._gateways.get(known.gateway) is known:
            del self._gateways[known.gateway]
            self._serving.forget(known.gateway)

    def _cut_unknown(self, now: int, actions: list[ReplicaAction]) -> None:
        while self._unknown:
            reader, until = next(iter(self._unknown.items()))
            if now < until:
                return
            actions += self._reject(reader, BAD_FRAME, "no Hello came in time")

    def _sweep(self, now: int, actions: list[ReplicaAction]) -> None:
        """Cut those that are silent or do not take their snapshot, tell those that wait for one."""
        limits = self.limits
        for known in list(self._gateways.values()):
            silent_us = now - known.heard_at
            if silent_us >= limits.silence_us:
                silent = f"nothing came for {silent_us // 1000} ms"
                actions += self._reject(known.reader, READER_TOO_SLOW, silent)
        for reader in self._snapshots.overdue(now):
            slow = f"its snapshot was not taken in {limits.snapshot_within_us // 1000} ms"
            actions += self._reject(reader, READER_TOO_SLOW, slow)
        for ahead, reader in enumerate(self._snapshots.waiting()):
            self._tell_queued(self._readers[reader], ahead, actions)
        self._pump_snapshots(now, actions)

    def _tell_queued(self, known: _Reader, ahead: int, actions: list[ReplicaAction]) -> None:
        queued = SnapshotQueued(ahead=ahead)
        self._write(known, encode(Frame(snapshot_queued=queued)), actions)

    # --- the state, within

    def _reload(self, now: int) -> list[ReplicaAction]:
        """Ask for the state; again only after a while, should it not come."""
        asked_at = self._reload_asked_at
        if asked_at is not None and now - asked_at < self.limits.barrier_timeout_us:
            return []
        self._reload_asked_at = now
        self.counts.reloads += 1
        return [ReloadState()]

    def _begin_log(self, now: int) -> list[ReplicaAction]:
        """The state has changed by more than one change: all readers need a snapshot, as they came."""
        assert self._state is not None
        limits = self.limits
        self._log = DeltaLog(self._state.position, limits.most_log_entries, limits.most_log_bytes)
        actions: list[ReplicaAction] = []
        for known in list(self._gateways.values()):
            if known.phase is not Phase.QUEUED:
                self._snapshots.remove(known.reader)
                known.phase = Phase.QUEUED
                self._tell_queued(known, self._snapshots.add(known.reader), actions)
        self._pump_snapshots(now, actions)
        return actions

    # --- barriers, within

    def _barrier_wanted(self) -> bool:
        """Whether a barrier is needed also without a heartbeat."""
        return not self._confirmed or self._report_due

    def _start_barrier(self, now: int, actions: list[ReplicaAction]) -> None:
        barrier = self._barriers.start(now, self._barrier_wanted())
        if barrier is not None:
            self.counts.barriers_started += 1
            self._telling, self._report_due = self.serving_report(), False
            actions.append(StartBarrier(barrier, self._telling))

    def _answer_all(
        self, heartbeats: dict[int, int], position: LogPosition, actions: list[ReplicaAction]
    ) -> None:
        """Answer those that have all changes up to the position; the others as soon as they have."""
        assert self._state is not None
        answer = self._answer.heartbeat_answer
        answer.position.history, answer.position.number = position.history, position.number
        complete = self._state.position.number >= position.number
        for reader, sequence in heartbeats.items():
            known = self._readers[reader]
            known.owed = None
            if complete and known.phase is Phase.LIVE:
                answer.sequence = sequence
                self.counts.answers += 1
                self._write(known, encode(self._answer), actions)
            else:
                known.owed = sequence, position

    def _settle(self, known: _Reader, actions: list[ReplicaAction]) -> None:
        """Write the answer that a reader is owed, if it has all changes by now."""
        assert self._state is not None
        if known.owed is None or known.phase is not Phase.LIVE or known.closed:
            return
        sequence, position = known.owed
        if position.history != self._state.position.history:
            known.owed = None
        elif position.number <= self._state.position.number:
            known.owed = None
            answer = self._answer.heartbeat_answer
            answer.sequence = sequence
            answer.position.history, answer.position.number = position.history, position.number
            self.counts.answers += 1
            self._write(known, encode(self._answer), actions)

    # --- snapshots

    def _pump_snapshots(self, now: int, actions: list[ReplicaAction]) -> None:
        """Write all parts that may go out now."""
        while (part := self._snapshots.next_part(now, self._takes_more, self._make_snapshot)) is not None:
            known = self._readers[part.reader]
            if known.phase is Phase.QUEUED:
                known.phase = Phase.SNAPSHOT
                self.counts.snapshots += 1
            self._write(known, part.data, actions)
            if part.last and not known.closed:
                self._finish_snapshot(known, part.position, actions)

    def _takes_more(self, reader: int) -> bool:
        return self._readers[reader].queued < self.limits.snapshot_window_bytes

    def _make_snapshot(self, present: Snapshot | None) -> Snapshot:
        """The present one as long as few retained changes lead on from it, else a new one."""
        assert self._state is not None
        if present is not None:
            missing = self._log.after(present.position)
            if missing is not None and sum(map(len, missing)) <= self.limits.snapshot_window_bytes:
                return present
        return Snapshot(self._state)

    def _finish_snapshot(self, known: _Reader, position: LogPosition, actions: list[ReplicaAction]) -> None:
        missing = self._log.after(position)
        if missing is None:  # the changes since then were compacted away meanwhile: once more
            known.phase = Phase.QUEUED
            self._snapshots.add(known.reader)
            return
        known.phase = Phase.LIVE
        self._snapshots.remove(known.reader)
        for encoded in missing:
            self._write(known, encoded, actions)
        self._settle(known, actions)
