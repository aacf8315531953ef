"""Unit tests of the control plane: codec, log, snapshots, routing, ledger, and edge cases of the state
machines of replica and observer. No sockets, no processes."""

from __future__ import annotations

import pickle
import unittest
from collections import Counter
from itertools import pairwise
from random import Random
from typing import Any

import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from stackrouter.controlplane import frames_pb2 as pb
from stackrouter.controlplane.codec import MAX_TO_GATEWAY_BYTES, MAX_TO_REPLICA_BYTES, FrameDecoder, encode
from stackrouter.controlplane.conversion import delta_from, item_from, node_message
from stackrouter.controlplane.delta_log import DeltaLog
from stackrouter.controlplane.frames_pb2 import (
    Delta,
    Frame,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    Node,
    NodeChanges,
    PolicyVersion,
    Position,
    Reject,
    ServingSummary,
    SnapshotChunk,
    SnapshotPart,
    SnapshotQueued,
    Welcome,
)
from stackrouter.controlplane.observer import (
    Connect,
    GatewayIdentity,
    Hangup,
    Link,
    Observer,
    ObserverAction,
    ObserverTimes,
    SendFrame,
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
from stackrouter.controlplane.routing import Backoff, ReplicaAddress, replica_order
from stackrouter.controlplane.snapshot import (
    MAX_CHUNK_BYTES,
    NODES_IN_CHUNK,
    ReceivedSnapshot,
    ReplicatedState,
    Snapshot,
    SnapshotAssembler,
)
from stackrouter.coord.ledger import MAX_REPORT_ITEMS, MAX_REPORTS, MAX_VERSIONS, Ledger
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine, Version
from stackrouter.coord.port import (
    Acquire,
    Activate,
    ActiveSeen,
    Append,
    Barrier,
    BeginHistory,
    Command,
    HistoryBegun,
    ListingSeen,
    LogPosition,
    PolicySeen,
    Propose,
    Publish,
    ServingReport,
)
from stackrouter.errors import (
    FrameEmptyError,
    FrameError,
    FrameTooLargeError,
    FrameUnexpectedError,
    FrameUnreadableError,
    ReplicaBehindError,
    ReplicaRejectedError,
    ReplicaSilentError,
    SnapshotRefusedError,
    StreamGapError,
)

MS = 1000
HISTORY = "history-1"
RULES = HeartbeatRules(validity_us=1000 * MS, max_drift_us=100 * MS)
LIMITS = ReplicaLimits(most_gateways=3, max_log_entries=4, barrier_interval_us=100 * MS)


def item(n: int, status: str = "up", weight: float = 1.0) -> dict[str, Any]:
    """A node as in discovery's JSON."""
    return {
        "name": f"n{n}", "address": f"10.0.0.{n % 250}:9000", "group": n // 3, "status": status, "zone": "z",
        "type": "t", "weight": weight, "since_ms": 1_700_000_000_000 + n,
    }  # fmt: skip


def state(number: int = 0, nodes: int = 0, history: str = HISTORY) -> ReplicatedState:
    messages = {f"n{n}": node_message(item(n)) for n in range(nodes)}
    return ReplicatedState(LogPosition(history, number), [], 0, 1 if nodes else -1, messages)


def change(number: int, n: int = 0, weight: float = 2.0) -> Delta:
    return Delta(number=number, nodes=NodeChanges(index=number, nodes=[node_message(item(n, "up", weight))]))


def frames(data: bytes) -> list[Frame]:
    return FrameDecoder(MAX_TO_GATEWAY_BYTES).feed(data)


def body(frame: Frame) -> str:
    return str(frame.WhichOneof("body"))


TEXTS = st.text(max_size=20)
NUMBERS = st.integers(0, (1 << 64) - 1)
POSITIONS = st.builds(Position, history=TEXTS, number=NUMBERS)
NODES = st.builds(Node, name=TEXTS, status=TEXTS, weight=st.floats(allow_nan=False), since_ms=NUMBERS)
FRAMES = st.one_of(
    st.builds(Hello, gateway=TEXTS, life=TEXTS, resume=POSITIONS).map(lambda m: Frame(hello=m)),
    st.builds(Heartbeat, sequence=NUMBERS, position=POSITIONS).map(lambda m: Frame(heartbeat=m)),
    st.builds(Welcome, replica=TEXTS, resumed=st.booleans()).map(lambda m: Frame(welcome=m)),
    st.builds(SnapshotPart, data=st.binary(max_size=300)).map(lambda m: Frame(snapshot_part=m)),
    st.builds(HeartbeatAnswer, position=POSITIONS).map(lambda m: Frame(heartbeat_answer=m)),
    st.builds(Reject, detail=TEXTS).map(lambda m: Frame(reject=m)),
    st.lists(NODES, max_size=4).map(lambda nodes: Frame(delta=Delta(nodes=NodeChanges(nodes=nodes)))),
)


class Codec(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(sent=st.lists(FRAMES, max_size=8), cuts=st.lists(st.integers(0, 2000), max_size=12))
    def test_frames_round_trip_when_split_arbitrarily(self, sent: list[Frame], cuts: list[int]) -> None:
        data = b"".join(encode(frame) for frame in sent)
        edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        decoder, decoded = FrameDecoder(MAX_TO_GATEWAY_BYTES), list[Frame]()
        for start, end in pairwise(edges):
            decoded += decoder.feed(data[start:end])
        self.assertEqual(decoded, sent)

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(data=st.lists(st.binary(max_size=40), max_size=6))
    def test_arbitrary_bytes_decode_or_raise_one_typed_error(self, data: list[bytes]) -> None:
        decoder = FrameDecoder(64)
        try:
            for piece in data:
                for frame in decoder.feed(piece):
                    self.assertTrue(body(frame))
        except FrameError as error:
            with self.assertRaises(type(error)):
                decoder.feed(b"\0")

    def test_too_large_unreadable_and_empty_frames_raise_distinct_errors(self) -> None:
        for data, error in (
            (b"GET / HTTP/1.1\r\n", FrameTooLargeError),
            (b"\x16\x03\x01\x02\x00\x01", FrameTooLargeError),  # the first bytes of TLS
            ((MAX_TO_REPLICA_BYTES + 1).to_bytes(4, "big"), FrameTooLargeError),
            (b"\0\0\0\3abc", FrameUnreadableError),
            (b"\0\0\0\0", FrameEmptyError),
            (b"\0\0\0\3\xfa\x07\0", FrameEmptyError),  # a body of a later release
        ):
            with self.subTest(data), self.assertRaises(error):
                FrameDecoder(MAX_TO_REPLICA_BYTES).feed(data)
        whole = encode(Frame(hello=Hello(gateway="g" * 1000)))
        self.assertEqual(len(FrameDecoder(len(whole) - 4).feed(whole)), 1)  # exactly at the limit
        with self.assertRaises(FrameTooLargeError):
            FrameDecoder(len(whole) - 5).feed(whole[:4])  # before any of it is buffered


class DeltaLogs(unittest.TestCase):
    def test_returns_changes_after_any_retained_position(self) -> None:
        log = DeltaLog(LogPosition(HISTORY, 10), 3, 100)
        self.assertEqual(log.after(LogPosition(HISTORY, 10)), [])
        for number in range(11, 16):
            log.append(number, b"%d" % number)
        self.assertEqual(log.after(LogPosition(HISTORY, 13)), [b"14", b"15"])
        self.assertEqual(log.after(LogPosition(HISTORY, 12)), [b"13", b"14", b"15"])
        self.assertEqual(log.after(LogPosition(HISTORY, 15)), [])
        for position in (
            LogPosition(HISTORY, 11),
            LogPosition(HISTORY, 16),
            LogPosition("other", 14),
            LogPosition(),
        ):
            self.assertIsNone(log.after(position), position)  # compacted, in the future, of another history
        with self.assertRaises(StreamGapError):
            log.append(17, b"17")

    def test_bytes_and_entries_are_bounded(self) -> None:
        log = DeltaLog(LogPosition(HISTORY, 0), 100, 50)
        for number in range(1, 20):
            log.append(number, bytes(20))
            self.assertLessEqual(log.retained_bytes, 50)
        self.assertIsNone(log.after(LogPosition(HISTORY, 16)))
        self.assertEqual(len(log.after(LogPosition(HISTORY, 17)) or []), 2)
        log.append(20, bytes(60))  # larger than the limit of the log
        self.assertEqual((log.retained_bytes, log.after(LogPosition(HISTORY, 20))), (0, []))


class Snapshots(unittest.TestCase):
    def parts(self, whole: ReplicatedState) -> list[SnapshotPart]:
        snapshot = Snapshot(whole)
        return [frames(snapshot.frame(n))[0].snapshot_part for n in range(snapshot.parts)]

    def assemble(self, parts: list[SnapshotPart]) -> ReceivedSnapshot:
        assembler = SnapshotAssembler()
        decoded = [assembler.add(part) for part in parts]
        # No snapshot is complete before the last part.
        self.assertEqual([snapshot for snapshot in decoded[:-1] if snapshot is not None], [])
        assert decoded[-1] is not None
        return decoded[-1]

    def test_a_state_round_trips(self) -> None:
        for nodes in (0, 1, NODES_IN_CHUNK, NODES_IN_CHUNK + 1, 1000):
            whole = state(7, nodes)
            whole.policies = [Version(n, f"d{n}", "{}" * n, 5, "op") for n in (3, 4)]
            whole.active = 3
            parts = self.parts(whole)
            received = self.assemble(parts)
            self.assertEqual(received.state(), whole)
            self.assertTrue(all(len(received.nodes(n)) <= 128 for n in range(len(received.node_chunks))))

    def test_parts_out_of_order_are_refused(self) -> None:
        first, second = self.parts(state(7, 400)), self.parts(state(8, 400))
        for wrong in (
            [first[1]],
            [first[0], first[2]],
            [first[0], first[1], first[1]],
            [first[0], second[1]],
        ):
            assembler = SnapshotAssembler()
            with self.assertRaises(SnapshotRefusedError):
                for part in wrong:
                    assembler.add(part)
        # A first part starts a new snapshot, at any position.
        self.assertEqual(self.assemble([*first[:2], *second]).position.number, 8)

    def test_undecodable_and_oversized_parts_are_refused(self) -> None:
        pack = zstandard.ZstdCompressor().compress
        stream = zstandard.ZstdCompressor().compressobj()
        unsized = stream.compress(b"x" * 100) + stream.flush()
        nodes = [node_message(item(n)) for n in range(NODES_IN_CHUNK + 1)]
        bad = {
            "no zstd": b"abc",
            "too large": pack(bytes(MAX_CHUNK_BYTES + 1)),
            "no size": unsized,
            "no chunk": pack(b"\xff\xff"),
            "two frames": 2 * pack(SnapshotChunk(active=1).SerializeToString()),
            "cut off": pack(Random(1).randbytes(500))[:-50],
            "too many nodes": pack(SnapshotChunk(nodes=nodes).SerializeToString()),
        }
        for name, data in bad.items():
            part = SnapshotPart(position=Position(history=HISTORY, number=1), part=0, parts=1, data=data)
            with self.subTest(name), self.assertRaises(SnapshotRefusedError):
                SnapshotAssembler().add(part)
        with self.assertRaises(SnapshotRefusedError):
            SnapshotAssembler().add(SnapshotPart(part=0, parts=1 << 30))
        parts = self.parts(state(1, 1000))
        small = SnapshotAssembler(max_bytes=sum(len(part.data) for part in parts) - 1)
        with self.assertRaises(SnapshotRefusedError):
            for part in parts:
                small.add(part)

    def test_a_whole_list_is_reduced_to_its_changes(self) -> None:
        old = state(4, 300)
        old.nodes_index = 9
        items = [item(n, weight=5.0 if n == 7 else 1.0) for n in range(1, 300)]
        listing = ListingSeen(1, None, {"index": 12, "endpoints": items}, 5)
        delta = old.narrowed(delta_from(listing))
        self.assertEqual([(n.name, n.status) for n in delta.nodes.nodes], [("n7", "up"), ("n0", "removed")])
        self.assertFalse(delta.nodes.whole)
        old.apply(delta)
        self.assertEqual(old.nodes, {entry["name"]: node_message(entry) for entry in items})
        self.assertEqual((old.nodes_index, old.position), (12, LogPosition(HISTORY, 5)))
        restarted = ListingSeen(1, None, {"index": 2, "endpoints": items}, 6)  # discovery has started again
        self.assertTrue(old.narrowed(delta_from(restarted)).nodes.whole)

    def test_list_entries_round_trip(self) -> None:
        self.assertEqual(item_from(node_message(item(5))), item(5))
        sparse = item_from(node_message({"name": "n", "address": "a:1", "group": 0, "status": "up"}))
        self.assertEqual((sparse["weight"], sparse["since_ms"], sparse["zone"]), (1.0, 0, ""))


class Routing(unittest.TestCase):
    def test_gateways_spread_evenly_also_after_a_replica_is_lost(self) -> None:
        replicas = [ReplicaAddress(f"r{n}", f"h{n}:1", f"region{n % 2}") for n in range(8)]
        orders = [replica_order(f"gw{n}", "region0", replicas) for n in range(2000)]
        for order in orders:
            self.assertEqual([r.region for r in order], ["region0"] * 4 + ["region1"] * 4)
            self.assertEqual(sorted(r.name for r in order), sorted(r.name for r in replicas))
        first = Counter(order[0].name for order in orders)
        self.assertTrue(all(400 < count < 600 for count in first.values()), first)
        second = Counter(order[1].name for order in orders if order[0].name == "r0")
        self.assertTrue(all(count > 100 for count in second.values()) and len(second) == 3, second)
        # Removing a replica keeps the order of the others.
        fewer = replica_order("gw1", "region0", [r for r in replicas if r is not orders[1][0]])
        self.assertEqual(fewer, orders[1][1:])

    def test_delays_are_drawn_below_a_bound_that_doubles_up_to_the_maximum(self) -> None:
        bounds = [100, 200, 400, 800, 1000, 1000]
        drawn = [Backoff(100, 1000, Random(seed)) for seed in range(300)]
        for bound in bounds:
            delays = [backoff.next_delay_us() for backoff in drawn]
            self.assertLessEqual(max(delays), bound)
            self.assertGreater(max(delays), bound * 0.9)
            self.assertLess(min(delays), bound * 0.1)  # full jitter: delays start at 0
        drawn[0].reset()
        self.assertLessEqual(drawn[0].next_delay_us(), 100)
        for _ in range(100):
            self.assertLessEqual(drawn[1].next_delay_us(), 1000)


class LedgerNumbers(unittest.TestCase):
    """The ledger's history, numbers, barriers and reports."""

    def ledger(self, *commands: Command) -> Ledger:
        ledger = Ledger()
        for command in (Acquire("w", "a", (0, 0)), *commands):
            self.assertEqual(ledger.apply(command)[0], "")
        return ledger

    def test_applied_changes_are_numbered_from_the_start_of_the_history(self) -> None:
        ledger = self.ledger(Propose("a", 0, "d", "{}", 5))
        self.assertEqual(ledger.position(), LogPosition("", 0))
        self.assertEqual(ledger.apply(BeginHistory("a", HISTORY)), ("", [HistoryBegun(HISTORY)]))
        for identity in (HISTORY, "other", ""):
            self.assertTrue(ledger.apply(BeginHistory("b", identity))[0])
        self.assertTrue(Ledger().apply(BeginHistory("b", "x" * 65))[0])
        seen = []
        for command in (
            Propose("a", 1, "e", "{}", 5),
            Propose("a", 0, "late", "{}", 5),
            Activate("a", 2),
            Activate("a", 2),
            Append("note", "a", "x"),
            Publish("w", "a", 1, None, {"index": 3, "endpoints": [item(1)]}),
            Publish("w", "b", 1, None, {"index": 4, "endpoints": []}),
        ):
            seen += ledger.apply(command)[1]
        numbers = [
            event.number if isinstance(event, ListingSeen) else event.change
            for event in seen
            if isinstance(event, PolicySeen | ActiveSeen | ListingSeen)
        ]
        self.assertEqual((numbers, ledger.position()), ([1, 2, 3], LogPosition(HISTORY, 3)))
        whole = ledger.state()
        self.assertEqual((whole.position, whole.active, whole.nodes_index), (LogPosition(HISTORY, 3), 2, 3))
        self.assertEqual(whole.nodes, (item(1),))

    def test_a_dump_of_an_older_release_loads_and_numbers_changes_alike(self) -> None:
        old = self.ledger(Propose("a", 0, "d", "{}", 5))
        _, slots = old.__reduce_ex__(2)[2]  # type: ignore[misc]
        newer = {name: slots.pop(name) for name in ("history", "number", "reports")}
        self.assertEqual(newer, {"history": "", "number": 0, "reports": {}})
        loaded = Ledger.__new__(Ledger)
        loaded.__setstate__((None, pickle.loads(pickle.dumps(slots))))
        fresh = self.ledger(Propose("a", 0, "d", "{}", 5))
        for ledger in (loaded, fresh):
            ledger.apply(Propose("a", 1, "e", "{}", 5))  # by the newer release, before numbering starts
            ledger.apply(BeginHistory("a", HISTORY))
            ledger.apply(Activate("a", 2))
        self.assertEqual(loaded, fresh)
        self.assertEqual(loaded.position(), LogPosition(HISTORY, 1))
        self.assertEqual(pickle.loads(pickle.dumps(loaded)), fresh)

    def test_the_active_version_is_retained_for_starting_gateways(self) -> None:
        ledger = self.ledger(Propose("a", 0, "d1", "{}", 5), Activate("a", 1))
        for base in range(1, 20):
            ledger.apply(Propose("a", base, f"d{base + 1}", "{}", 5))
        numbers = [version.number for version in ledger.policies]
        self.assertEqual(numbers, [1, *range(22 - MAX_VERSIONS, 21)])
        self.assertEqual(ledger.apply(Activate("a", 5))[0], "gone")  # a starting gateway could not learn it
        self.assertEqual(ledger.apply(Activate("a", 20))[0], "")
        ledger.apply(Propose("a", 20, "d21", "{}", 5))
        self.assertNotIn(1, [version.number for version in ledger.policies])

    def test_reports_are_kept_by_replica_and_bounded(self) -> None:
        ledger = self.ledger(BeginHistory("a", HISTORY))
        for n in range(MAX_REPORTS + 5):
            ledger.apply(Barrier(f"r{n}", ServingReport(n, ((1, n),), ("g",))))
        self.assertEqual(len(ledger.reports), MAX_REPORTS)
        self.assertNotIn("r4", ledger.reports)
        self.assertEqual(ledger.reports["r9"], ServingReport(9, ((1, 9),), ("g",)))
        too_many = ServingReport(1, (), ("g",) * (MAX_REPORT_ITEMS + 1))
        self.assertEqual(ledger.apply(Barrier("r9", too_many))[0], "size")
        self.assertEqual(ledger.position(), LogPosition(HISTORY, 0))  # a barrier is not a change


class Replica:
    """A replica's state machine, with the frames written to each reader. The test answers its barriers."""

    def __init__(self, whole: ReplicatedState | None, limits: ReplicaLimits = LIMITS) -> None:
        self.machine, self.now = ReplicaStateMachine("r", limits), 0
        self.written: dict[int, list[Frame]] = {}
        self.bytes: Counter[int] = Counter()
        self.closed: dict[int, Close] = {}
        self.barriers: list[StartBarrier] = []
        self.reloads = 0
        if whole is not None:
            self.carry_out(self.machine.loaded(whole, 0))
            self.confirm(whole.position)
            self.advance(limits.barrier_interval_us)

    def carry_out(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            match action:
                case Write():
                    assert action.reader not in self.closed, "written to after its close"
                    self.written.setdefault(action.reader, []).extend(frames(action.data))
                    self.bytes[action.reader] += len(action.data)
                case Close():
                    self.closed[action.reader] = action
                case StartBarrier():
                    self.barriers.append(action)
                case ReloadState():
                    self.reloads += 1

    def advance(self, us: int) -> None:
        until = self.now + us
        while (at := max(self.now, self.machine.next_at())) <= until:
            self.now = at + 1
            self.carry_out(self.machine.tick(self.now))
        self.now = max(self.now, until)

    def confirm(self, position: LogPosition) -> None:
        if not self.barriers:
            self.advance(self.machine.limits.barrier_interval_us)
        self.carry_out(self.machine.barrier_confirmed(self.barriers.pop().barrier, position, self.now))

    def hello(self, reader: int, gateway: str = "", resume: LogPosition | None = None) -> None:
        hello = Hello(protocol=1, gateway=gateway or f"g{reader}", life="1")
        if resume is not None:
            hello.resume.history, hello.resume.number = resume.history, resume.number
        self.carry_out(self.machine.accepted(reader, self.now))
        self.receive(reader, Frame(hello=hello))

    def receive(self, reader: int, frame: Frame) -> None:
        self.carry_out(self.machine.received(reader, frame, self.now))

    def heartbeat(self, reader: int, sequence: int, serving: int = 0) -> None:
        self.receive(reader, Frame(heartbeat=Heartbeat(sequence=sequence, serving=serving)))

    def commit(self, delta: Delta) -> None:
        self.carry_out(self.machine.committed(delta.number, delta, self.now))

    def drain(self, reader: int) -> None:
        self.carry_out(self.machine.unsent_bytes_changed(reader, 0, self.now))

    def bodies(self, reader: int) -> list[str]:
        """Kinds of the frames written to a reader since the last call."""
        return [body(frame) for frame in self.written.pop(reader, [])]

    def answered(self, reader: int) -> list[int]:
        written = self.written.pop(reader, [])
        return [f.heartbeat_answer.sequence for f in written if body(f) == "heartbeat_answer"]


class ReplicaStateMachines(unittest.TestCase):
    def test_rejects_readers_until_the_state_is_confirmed(self) -> None:
        replica = Replica(None)
        replica.advance(1)
        replica.hello(1)
        self.assertEqual(replica.closed[1].reason, pb.NOT_READY)
        replica.confirm(LogPosition("", 0))  # the group has no history yet
        self.assertEqual(replica.reloads, 0)
        replica.confirm(LogPosition(HISTORY, 5))  # the group has a state that was not loaded here
        self.assertEqual(replica.reloads, 1)
        replica.carry_out(replica.machine.loaded(state(5, 10), replica.now))
        replica.hello(2)
        self.assertEqual(replica.closed[2].reason, pb.NOT_READY)
        replica.confirm(LogPosition(HISTORY, 5))
        replica.hello(3)
        self.assertEqual(replica.bodies(3), ["welcome", "snapshot_part", "snapshot_part"])

    def test_a_reader_resumes_from_its_position_or_gets_a_snapshot(self) -> None:
        replica = Replica(state(10, 5), LIMITS)
        for number in range(11, 17):
            replica.commit(change(number))
        replica.hello(1, resume=LogPosition(HISTORY, 14))
        self.assertEqual(replica.bodies(1), ["welcome", "delta", "delta"])
        replica.hello(2, resume=LogPosition(HISTORY, 16))
        self.assertEqual(replica.bodies(2), ["welcome"])
        replica.hello(3, resume=LogPosition(HISTORY, 11))  # compacted
        self.assertEqual(replica.bodies(3), ["welcome", "snapshot_part", "snapshot_part"])
        replica.carry_out(replica.machine.disconnected(1, replica.now))
        replica.hello(4, resume=LogPosition("other", 15))
        self.assertEqual(replica.bodies(4), ["welcome", "snapshot_part", "snapshot_part"])
        replica.carry_out(replica.machine.disconnected(2, replica.now))
        replica.hello(5, resume=LogPosition(HISTORY, 17))  # the replica is behind: it must not send its state
        self.assertEqual(replica.closed[5].reason, pb.NOT_READY)
        replica.commit(change(17))
        self.assertEqual([replica.bodies(n) for n in (3, 4)], [["delta"], ["delta"]])

    def test_many_missed_changes_are_sent_as_a_snapshot(self) -> None:
        replica = Replica(state(0, 5), ReplicaLimits(max_resume_bytes=200))
        for number in range(1, 10):
            replica.commit(change(number))
        replica.hello(1, resume=LogPosition(HISTORY, 0))
        replica.hello(2, resume=LogPosition(HISTORY, 8))
        self.assertIn("snapshot_part", replica.bodies(1))
        self.assertEqual(replica.bodies(2), ["welcome", "delta"])

    def test_a_barrier_confirms_heartbeats_received_before_its_start(self) -> None:
        replica = Replica(state(3))
        replica.hello(1)
        replica.hello(2)
        replica.heartbeat(1, 1)
        replica.advance(100 * MS)
        self.assertEqual(len(replica.barriers), 1)
        replica.heartbeat(1, 2)
        replica.heartbeat(2, 1)
        replica.advance(200 * MS)
        self.assertEqual(len(replica.barriers), 1)  # one at a time
        replica.confirm(LogPosition(HISTORY, 3))
        self.assertEqual((replica.answered(1), replica.answered(2)), ([1], []))
        self.assertEqual(len(replica.barriers), 1)  # the next one, for the heartbeats since
        replica.confirm(LogPosition(HISTORY, 3))
        self.assertEqual((replica.answered(1), replica.answered(2)), ([2], [1]))
        replica.advance(500 * MS)
        self.assertEqual(replica.barriers, [])  # no heartbeat is pending

    def test_the_number_of_barriers_is_independent_of_the_number_of_readers(self) -> None:
        replica = Replica(state(3), ReplicaLimits(barrier_interval_us=100 * MS))
        for reader in range(60):
            replica.hello(reader)
        for step in range(1, 11):
            for reader in range(60):
                replica.heartbeat(reader, step)
            replica.advance(50 * MS)
            if replica.barriers:
                replica.confirm(LogPosition(HISTORY, 3))
        self.assertLessEqual(replica.machine.counts.barriers_started, 2 + 6)
        self.assertEqual(replica.machine.counts.heartbeats, 600)

    def test_a_failed_or_unanswered_barrier_confirms_nothing(self) -> None:
        replica = Replica(state(3))
        replica.hello(1)
        replica.heartbeat(1, 1)
        replica.advance(100 * MS)
        first = replica.barriers.pop()
        replica.carry_out(replica.machine.barrier_failed(first.barrier, replica.now))
        replica.advance(100 * MS)
        second = replica.barriers.pop()
        replica.heartbeat(1, 2)
        replica.advance(LIMITS.barrier_timeout_us + 1)
        self.assertEqual(replica.answered(1), [])
        # A late confirmation is ignored.
        replica.carry_out(
            replica.machine.barrier_confirmed(second.barrier, LogPosition(HISTORY, 3), replica.now)
        )
        self.assertEqual(replica.answered(1), [])
        replica.confirm(LogPosition(HISTORY, 3))
        self.assertEqual(replica.answered(1), [2])

    def test_a_replica_without_quorum_rejects_new_readers(self) -> None:
        replica = Replica(state(3))
        replica.hello(1)
        replica.heartbeat(1, 1)
        replica.advance(4 * LIMITS.barrier_timeout_us)
        self.assertEqual(replica.answered(1), [])
        self.assertNotIn(1, replica.closed)
        replica.hello(2)
        self.assertEqual(replica.closed[2].reason, pb.NOT_READY)
        replica.confirm(LogPosition(HISTORY, 3))
        replica.hello(3)
        self.assertNotIn(3, replica.closed)

    def test_an_answer_waits_for_the_changes_that_it_confirms(self) -> None:
        replica = Replica(state(3))
        replica.hello(1)
        replica.bodies(1)
        replica.heartbeat(1, 1)
        replica.confirm(LogPosition(HISTORY, 5))  # this replica missed two changes
        self.assertEqual((replica.reloads, replica.bodies(1)), (1, []))
        replica.commit(change(4))
        self.assertEqual(replica.bodies(1), ["delta"])
        replica.commit(change(5))
        self.assertEqual(replica.bodies(1), ["delta", "heartbeat_answer"])

    def test_answers_are_sent_after_the_snapshot(self) -> None:
        replica = Replica(state(3, 1000), ReplicaLimits(snapshot_window_bytes=1))
        replica.hello(1)
        replica.heartbeat(1, 1)
        replica.confirm(LogPosition(HISTORY, 3))
        replica.commit(change(4))
        replica.heartbeat(1, 2)
        replica.confirm(LogPosition(HISTORY, 4))
        for _ in range(20):
            replica.drain(1)
        written = replica.written[1]
        bodies = [body(frame) for frame in written]
        self.assertEqual(bodies, ["welcome", *["snapshot_part"] * 9, "delta", "heartbeat_answer"])
        self.assertEqual(written[-1].heartbeat_answer.sequence, 2)
        self.assertEqual(written[-1].heartbeat_answer.position.number, 4)

    def test_a_gap_or_another_history_sends_snapshots_to_all_readers(self) -> None:
        replica = Replica(state(3, 5))
        replica.hello(1)
        replica.bodies(1)
        replica.commit(change(5))
        self.assertEqual((replica.reloads, replica.bodies(1)), (1, []))
        replica.commit(change(3))  # already applied
        replica.carry_out(replica.machine.loaded(state(3, 5), replica.now))  # nothing newer
        self.assertEqual(replica.bodies(1), [])
        replica.carry_out(replica.machine.loaded(state(6, 5), replica.now))
        self.assertEqual(replica.bodies(1), ["snapshot_queued", "snapshot_part", "snapshot_part"])
        replica.heartbeat(1, 1)
        replica.advance(100 * MS)
        replica.carry_out(replica.machine.loaded(state(1, 2, "history-2"), replica.now))
        self.assertEqual(replica.bodies(1), ["snapshot_queued", "snapshot_part", "snapshot_part"])
        replica.carry_out(
            replica.machine.barrier_confirmed(replica.barriers.pop().barrier, LogPosition(HISTORY, 6), 0)
        )
        self.assertEqual(replica.bodies(1), [])  # heartbeats of the old history are not answered
        replica.confirm(LogPosition("history-2", 1))
        replica.heartbeat(1, 2)
        replica.confirm(LogPosition("history-2", 1))
        self.assertEqual(replica.answered(1), [2])

    def test_a_too_large_change_is_sent_as_a_snapshot(self) -> None:
        replica = Replica(state(3, 5), ReplicaLimits(max_delta_bytes=500))
        replica.hello(1)
        replica.bodies(1)
        nodes = [node_message(item(n)) for n in range(200)]
        replica.commit(Delta(number=4, nodes=NodeChanges(index=4, whole=True, nodes=nodes)))
        self.assertEqual(replica.bodies(1), ["snapshot_queued", *["snapshot_part"] * 3])
        replica.commit(change(5))
        self.assertEqual(replica.bodies(1), ["delta"])

    def test_only_a_slow_reader_is_disconnected(self) -> None:
        replica = Replica(state(0, 1), ReplicaLimits(max_queued_bytes=4000))
        replica.hello(1)
        replica.hello(2)
        for number in range(1, 200):
            replica.commit(change(number))
            replica.drain(2)
        self.assertEqual(replica.closed[1].reason, pb.READER_TOO_SLOW)
        self.assertLess(replica.bytes[1], 5000)
        self.assertNotIn(2, replica.closed)
        self.assertEqual(replica.bodies(2).count("delta"), 199)
        replica.carry_out(replica.machine.unsent_bytes_changed(2, 4001, replica.now))
        self.assertEqual(replica.closed[2].reason, pb.READER_TOO_SLOW)

    def test_a_reader_that_stalls_its_snapshot_is_disconnected_and_frees_its_slot(self) -> None:
        limits = ReplicaLimits(
            max_snapshot_transfers=1, snapshot_window_bytes=1, snapshot_timeout_us=3000 * MS
        )
        replica = Replica(state(0, 1000), limits)
        replica.hello(1)
        replica.hello(2)
        replica.advance(2500 * MS)
        self.assertEqual(replica.bodies(2).count("snapshot_part"), 0)
        replica.heartbeat(2, 1)
        replica.advance(2500 * MS)
        replica.drain(2)
        self.assertEqual(replica.closed[1].reason, pb.READER_TOO_SLOW)
        self.assertIn("snapshot_part", replica.bodies(2))

    def test_invalid_frames_are_rejected_with_a_reason(self) -> None:
        replica = Replica(state(3))
        replica.carry_out(replica.machine.accepted(1, replica.now))
        replica.heartbeat(1, 1)  # before a Hello
        replica.hello(2)
        replica.receive(2, Frame(hello=Hello(protocol=1, gateway="g2", life="1")))  # twice
        replica.hello(3)
        replica.receive(3, Frame(welcome=Welcome()))  # a replica's own frame
        replica.hello(4)
        replica.heartbeat(4, 5)
        replica.heartbeat(4, 5)  # a sequence that does not grow
        replica.hello(5, "g" * 129)
        self.assertEqual({replica.closed[n].reason for n in range(1, 6)}, {pb.BAD_FRAME})
        replica.carry_out(replica.machine.accepted(6, replica.now))
        replica.receive(6, Frame(hello=Hello(protocol=2, gateway="g", life="1")))
        self.assertEqual(replica.closed[6].reason, pb.PROTOCOL_VERSION)
        for reader, data, reason in ((7, b"GET / HTTP", pb.FRAME_TOO_LARGE), (8, b"\0\0\0\1x", pb.BAD_FRAME)):
            replica.carry_out(replica.machine.accepted(reader, replica.now))
            try:
                FrameDecoder(MAX_TO_REPLICA_BYTES).feed(data)
            except FrameError as error:
                replica.carry_out(replica.machine.unreadable(reader, error, replica.now))
            self.assertEqual((replica.closed[reader].reason, replica.bodies(reader)), (reason, ["reject"]))
        replica.carry_out(replica.machine.accepted(9, replica.now))
        replica.advance(LIMITS.hello_timeout_us + 1)
        self.assertEqual(replica.closed[9].reason, pb.BAD_FRAME)
        self.assertEqual(replica.machine.report(replica.now).readers, ())

    def test_limits_gateways_and_unidentified_connections_and_replaces_by_name(self) -> None:
        replica = Replica(state(3))
        for reader in range(4):
            replica.hello(reader)
        self.assertEqual({n: c.reason for n, c in replica.closed.items()}, {3: pb.REPLICA_FULL})
        replica.hello(4, "g1")  # the gateway reconnected before its old connection timed out
        self.assertEqual(replica.closed[1].reason, pb.REPLACED)
        self.assertNotIn(4, replica.closed)
        for reader in range(100, 100 + LIMITS.max_unidentified + 1):
            replica.carry_out(replica.machine.accepted(reader, replica.now))
        self.assertEqual(replica.closed[100 + LIMITS.max_unidentified].reason, pb.REPLICA_FULL)
        self.assertEqual(len(replica.machine.report(replica.now).readers), 3 + LIMITS.max_unidentified)

    def test_disconnects_silent_readers_and_rejects_all_at_shutdown(self) -> None:
        replica = Replica(state(3))
        replica.hello(1)
        replica.hello(2)
        replica.advance(LIMITS.silence_timeout_us // 2)
        replica.heartbeat(2, 1)
        replica.advance(LIMITS.silence_timeout_us // 2 + 2000 * MS)
        self.assertEqual(list(replica.closed), [1])
        replica.carry_out(replica.machine.shut_down(replica.now))
        self.assertEqual(replica.closed[2].reason, pb.SHUTTING_DOWN)

    def test_reports_gateway_counts_by_version_and_names_behind(self) -> None:
        whole = state(3)
        whole.policies, whole.active = [Version(n, "d", "{}", 5) for n in (1, 2, 3)], 2
        replica = Replica(whole, ReplicaLimits())
        for reader in range(30):
            replica.hello(reader)
            replica.heartbeat(reader, 1, 2 if reader < 25 else 1)
        report = replica.machine.serving_report()
        self.assertEqual(report, ServingReport(30, ((1, 5), (2, 25)), tuple(f"g{n}" for n in range(25, 30))))
        replica.commit(Delta(number=4, activated=3))
        self.assertEqual(len(replica.machine.serving_report().behind), MAX_REPORT_ITEMS)
        for reader in range(29):
            replica.heartbeat(reader, 2, 3)
        replica.carry_out(replica.machine.disconnected(0, replica.now))
        report = replica.machine.serving_report()
        self.assertEqual(report, ServingReport(29, ((1, 1), (3, 28)), ("g29",)))
        replica.advance(200 * MS)
        self.assertEqual(replica.barriers[-1].report, report)
        readers = replica.machine.report(replica.now).readers
        self.assertEqual(Counter(reader.serving_version for reader in readers), Counter({3: 28, 1: 1}))

    def test_an_observing_replica_reports_the_versions_of_its_gateways(self) -> None:
        whole = state(3)
        whole.policies, whole.active = [Version(n, "d", "{}", 5) for n in (1, 2)], 2
        replica, relay = Replica(whole), Gateway(relay=True)
        replica.hello(1)
        replica.heartbeat(1, 1, 2)
        relay.connect()
        relay.observer.relayed = ServingReport(70, ((1, 1), (2, 69)), ("far",))
        relay.send_heartbeat()
        replica.hello(2)
        replica.receive(2, relay.sent[-1])
        report = replica.machine.serving_report()
        self.assertEqual(report, ServingReport(71, ((1, 1), (2, 70)), ("far",)))
        summary = ServingSummary(gateways=5, behind=["g"] * 50)
        replica.receive(2, Frame(heartbeat=Heartbeat(sequence=99, relayed=summary)))
        self.assertEqual(len(replica.machine.serving_report().behind), MAX_REPORT_ITEMS)
        replica.carry_out(replica.machine.disconnected(2, replica.now))
        self.assertEqual(replica.machine.serving_report(), ServingReport(1, ((2, 1),), ()))

    def test_snapshots_to_a_thousand_simultaneous_readers_are_rate_limited(self) -> None:
        limits = ReplicaLimits(
            most_gateways=1000, max_unidentified=1000, max_snapshot_transfers=8, snapshot_bytes_s=1 << 20,
            snapshot_window_bytes=1 << 16,
        )  # fmt: skip
        replica = Replica(state(3, 600), limits)
        size = sum(len(Snapshot(state(3, 600)).frame(n)) for n in range(6))
        began = replica.now
        for reader in range(1000):
            replica.hello(reader)
        done, queue_notices, max_waiting = set[int](), Counter[str](), 0
        while len(done) < 1000:
            replica.advance(20 * MS)
            phases = Counter(r.phase for r in replica.machine.report(replica.now).readers)
            self.assertLessEqual(phases["snapshot"], 8)
            max_waiting = max(max_waiting, phases["queued"])
            for reader in list(replica.written):
                bodies = replica.bodies(reader)
                queue_notices.update(b for b in bodies if b == "snapshot_queued")
                if bodies.count("snapshot_part"):
                    done.add(reader)
                replica.drain(reader)
            spent = sum(replica.bytes.values())
            seconds = (replica.now - began) / 1e6
            overhead = 1000 * 40 + queue_notices["snapshot_queued"] * 8
            self.assertLessEqual(spent, (seconds + 0.2) * limits.snapshot_bytes_s + overhead + size)
        took = (replica.now - began) / 1e6
        self.assertLess(took, 1000 * size / limits.snapshot_bytes_s * 1.2 + 1)
        self.assertGreater(max_waiting, 900)
        self.assertGreater(queue_notices["snapshot_queued"], 1000)  # waiting readers are notified
        self.assertEqual(replica.closed, {})
        self.assertEqual(replica.machine.counts.snapshots, 1000)
        self.assertIsNone(replica.machine._snapshots.current)  # no reader needs it


class Gateway:
    """An observer with its recorded actions; the test supplies the replica's frames."""

    def __init__(self, count: int = 3, times: ObserverTimes | None = None, relay: bool = False) -> None:
        self.policy, self.now = PolicyStateMachine(RULES), 0
        addresses = [ReplicaAddress(f"r{n}", f"r{n}:1", "here") for n in range(count)]
        identity = GatewayIdentity("g", "1", "here")
        self.observer = Observer(identity, addresses, self.policy, Random(1), times, relay)
        self.connects: list[str] = []
        self.sent: list[Frame] = []
        self.errors: list[Exception] = []
        self.taken: list[int] = []
        self.pieces: list[TakeNodes] = []
        self.others: list[ObserverAction] = []

    def carry_out(self, actions: list[ObserverAction]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self.connects.append(action.replica.name)
                case SendFrame():
                    self.sent.append(action.frame)
                case Hangup():
                    self.errors.append(action.error)
                case TakePolicy():
                    self.taken.append(action.version.number)
                    self.carry_out(self.observer.policy_taken(action.version, True, self.now))
                case TakeNodes():
                    self.pieces.append(action)
                case _:
                    self.others.append(action)

    def receive(self, **frame: Any) -> None:
        self.carry_out(self.observer.received(Frame(**frame), self.now))

    def tick(self) -> None:
        self.carry_out(self.observer.tick(self.now))

    def advance(self, us: int) -> None:
        until = self.now + us
        while (at := max(self.now, self.observer.next_at())) <= until:
            self.now = at
            self.tick()
        self.now = until

    def connect(self, history: str = HISTORY, resumed: bool = False) -> Hello:
        """Connect to the next replica and receive its Welcome."""
        before = len(self.connects)
        while len(self.connects) == before:
            self.now = max(self.now, self.observer.next_at())
            self.tick()
        self.carry_out(self.observer.connected(self.now))
        hello = self.sent[-1].hello
        self.receive(welcome=Welcome(replica=self.connects[-1], history=history, resumed=resumed))
        return hello

    def snapshot(self, whole: ReplicatedState, parts: int | None = None) -> None:
        snapshot = Snapshot(whole)
        for n in range(snapshot.parts if parts is None else parts):
            self.carry_out(self.observer.received(frames(snapshot.frame(n))[0], self.now))

    def answer(self, number: int, history: str = HISTORY) -> None:
        """Answer the last heartbeat."""
        sequence = self.sent[-1].heartbeat.sequence
        position = Position(history=history, number=number)
        self.receive(heartbeat_answer=HeartbeatAnswer(sequence=sequence, position=position))

    def send_heartbeat(self) -> None:
        self.carry_out(self.observer.heartbeat(self.now)[1])


def policies(whole: ReplicatedState, active: int, newest: int) -> ReplicatedState:
    whole.policies = [Version(n, f"d{n}", "{}", 5) for n in range(1, newest + 1)]
    whole.active = active
    return whole


class ObserverStateMachines(unittest.TestCase):
    def test_a_gateway_serves_after_a_heartbeat_following_its_snapshot_is_answered(self) -> None:
        gateway = Gateway()
        hello = gateway.connect()
        self.assertFalse(hello.HasField("resume"))
        gateway.snapshot(policies(state(7, 300), 2, 3))
        self.assertEqual(gateway.taken, [2])
        self.assertFalse(gateway.policy.serves(gateway.now))
        gateway.answer(7)
        self.assertTrue(gateway.policy.serves(gateway.now))
        gateway.receive(delta=Delta(number=8, activated=3))
        self.assertEqual((gateway.taken, gateway.observer.position), ([2, 3], LogPosition(HISTORY, 8)))
        gateway.advance(RULES.validity_us)
        self.assertFalse(gateway.policy.serves(gateway.now))

    def test_delivers_a_list_in_pieces_and_small_changes_immediately(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(state(7, 300))
        self.assertEqual(gateway.pieces, [])
        gateway.receive(delta=change(8, 5))  # queued after the list being delivered
        self.assertEqual(gateway.observer.next_at(), 0)
        counts = []
        while gateway.observer.next_at() == 0:
            before = len(gateway.pieces)
            gateway.tick()
            counts.append(len(gateway.pieces) - before)
        self.assertEqual(counts, [1, 1, 1, 1])
        shape = [(p.whole, p.first, p.last, len(p.nodes)) for p in gateway.pieces]
        self.assertEqual(shape, [(True, True, False, 128), (True, False, False, 128), (True, False, True, 44),
                                 (False, True, True, 1)])  # fmt: skip
        gateway.receive(delta=change(9, 5))
        self.assertEqual([p.nodes[0].name for p in gateway.pieces[4:]], ["n5"])
        many = [node_message(item(n)) for n in range(200)]
        gateway.receive(delta=Delta(number=10, nodes=NodeChanges(index=1, whole=True, nodes=many)))
        gateway.advance(0)
        shape = [(p.whole, p.first, p.last, len(p.nodes)) for p in gateway.pieces[5:]]
        self.assertEqual(shape, [(True, True, False, 128), (True, False, True, 72)])
        gateway.receive(delta=Delta(number=11, nodes=NodeChanges(index=2, whole=True)))  # an empty list
        self.assertEqual(len(gateway.pieces[-1].nodes), 0)

    def test_an_incomplete_snapshot_is_discarded(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(policies(state(7, 300), 1, 1), parts=4)
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        self.assertEqual((gateway.taken, gateway.pieces), ([], []))
        self.assertFalse(gateway.connect().HasField("resume"))
        self.assertNotEqual(gateway.connects[0], gateway.connects[1])
        gateway.snapshot(policies(state(8, 300), 1, 1))
        self.assertEqual(gateway.observer.position, LogPosition(HISTORY, 8))

    def test_a_state_with_a_lower_number_is_not_loaded(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(policies(state(7), 2, 2))
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        self.assertEqual(gateway.connect().resume, Position(history=HISTORY, number=7))
        gateway.snapshot(policies(state(6), 1, 2))
        self.assertIsInstance(gateway.errors[-1], ReplicaBehindError)
        self.assertEqual((gateway.observer.position, gateway.taken), (LogPosition(HISTORY, 7), [2]))
        gateway.connect()
        self.assertEqual(len(set(gateway.connects)), 3)  # a different replica each time
        gateway.snapshot(policies(state(7), 2, 2))
        self.assertEqual((gateway.observer.link, gateway.pieces), (Link.LIVE, []))

    def test_a_stream_with_a_gap_is_dropped_and_resumed(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(state(7))
        gateway.receive(delta=change(9))
        self.assertIsInstance(gateway.errors[-1], StreamGapError)
        self.assertEqual(gateway.connect(resumed=True).resume.number, 7)
        gateway.receive(delta=change(8))
        gateway.answer(9)  # confirmed, but never sent
        self.assertIsInstance(gateway.errors[-1], StreamGapError)
        self.assertFalse(gateway.policy.heartbeat_valid(gateway.now))
        gateway.connect(history="history-2", resumed=True)
        self.assertIsInstance(gateway.errors[-1], FrameUnexpectedError)

    def test_an_answer_counts_only_for_a_heartbeat_of_the_same_connection(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(state(7))
        old = gateway.sent[-1].heartbeat.sequence
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        gateway.connect(resumed=True)
        for sequence in (old, gateway.sent[-1].heartbeat.sequence + 1):
            position = Position(history=HISTORY, number=7)
            gateway.receive(heartbeat_answer=HeartbeatAnswer(sequence=sequence, position=position))
            self.assertIsInstance(gateway.errors[-1], FrameUnexpectedError)
            gateway.connect(resumed=True)
        self.assertFalse(gateway.policy.heartbeat_valid(gateway.now))
        gateway.answer(7)
        self.assertTrue(gateway.policy.heartbeat_valid(gateway.now))

    def test_heartbeat_validity_starts_when_the_heartbeat_is_sent(self) -> None:
        gateway = Gateway(times=ObserverTimes(silence_timeout_us=10_000 * MS))
        gateway.connect()
        gateway.snapshot(state(7))
        sent_at = gateway.now
        gateway.now += 800 * MS  # without a tick, so no other heartbeat is sent
        gateway.answer(7)
        self.assertTrue(gateway.policy.heartbeat_valid(sent_at + 899 * MS))
        self.assertFalse(gateway.policy.heartbeat_valid(sent_at + 900 * MS))
        gateway.send_heartbeat()
        gateway.now += 900 * MS
        gateway.answer(7)
        self.assertFalse(gateway.policy.heartbeat_valid(gateway.now))

    def test_another_history_is_adopted_once_it_is_confirmed(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(policies(state(7, 3), 2, 2))
        gateway.answer(7)
        gateway.advance(0)
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        gateway.connect(history="history-2")
        gateway.snapshot(policies(state(2, 2, "history-2"), 1, 1))
        gateway.receive(delta=change(3))
        self.assertEqual((gateway.observer.position, gateway.taken), (LogPosition(HISTORY, 7), [2]))
        gateway.carry_out(gateway.observer.disconnected(gateway.now))  # never confirmed: nothing was applied
        self.assertEqual(gateway.connect(history="history-2").resume, Position(history=HISTORY, number=7))
        gateway.snapshot(policies(state(2, 2, "history-2"), 1, 1))
        gateway.receive(delta=change(3))
        self.assertTrue(gateway.policy.serves(gateway.now))  # by the heartbeat of the old history
        self.assertEqual(gateway.policy.serving.number, 2)
        gateway.answer(3, "history-2")
        self.assertEqual((gateway.observer.position, gateway.taken), (LogPosition("history-2", 3), [2, 1]))
        self.assertTrue(gateway.policy.serves(gateway.now))
        gateway.advance(0)
        self.assertEqual(gateway.observer.position.number, 3)

    def test_keeps_the_serving_version_until_the_new_history_has_an_active_one(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(policies(state(7), 2, 2))
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        gateway.connect(history="history-2")
        gateway.snapshot(state(0, 0, "history-2"))
        gateway.answer(0, "history-2")
        # The version's number belongs to the old history.
        self.assertEqual(gateway.policy.serving, Version(0, "d2", "{}", 5))
        self.assertTrue(gateway.policy.serves(gateway.now))
        version = PolicyVersion(number=1, digest="new", body="{}", after_us=5)
        gateway.receive(delta=Delta(number=1, committed=version))
        gateway.receive(delta=Delta(number=2, activated=1))
        self.assertEqual(gateway.taken, [2, 1])

    def test_moves_from_a_silent_replica_to_the_next(self) -> None:
        gateway = Gateway()
        times = gateway.observer.times
        gateway.advance(0)
        gateway.advance(times.connect_timeout_us)
        self.assertIsInstance(gateway.errors[-1], ReplicaSilentError)  # no connection
        while gateway.observer.link is Link.WAITING:
            gateway.advance(10 * MS)
        gateway.carry_out(gateway.observer.connected(gateway.now))
        gateway.advance(times.welcome_timeout_us)
        self.assertIsInstance(gateway.errors[1], ReplicaSilentError)  # no welcome
        gateway.connect()
        gateway.snapshot(state(7))
        gateway.answer(7)
        gateway.advance(RULES.heartbeat_every_us)
        for _ in range(20):
            gateway.receive(delta=change(gateway.observer.position.number + 1))  # changes are not answers
            gateway.advance(times.silence_timeout_us // 16)
        self.assertIsInstance(gateway.errors[2], ReplicaSilentError)
        self.assertEqual(len(set(gateway.connects[:3])), 3)

    def test_queue_notices_keep_a_connection_that_waits_for_its_snapshot(self) -> None:
        gateway = Gateway()
        gateway.connect()
        for _ in range(10):
            gateway.advance(1000 * MS)
            gateway.receive(snapshot_queued=SnapshotQueued(ahead=5))
        self.assertEqual(gateway.errors, [])
        gateway.advance(gateway.observer.times.silence_timeout_us)
        self.assertIsInstance(gateway.errors[0], ReplicaSilentError)

    def test_rejections_try_the_next_replica_and_backoff_resets_after_a_stable_connection(self) -> None:
        gateway = Gateway()
        for _ in range(30):
            gateway.connect()
            gateway.receive(reject=Reject(reason=pb.REPLICA_FULL, detail="full", retry_after_ms=1000))
        self.assertIsInstance(gateway.errors[-1], ReplicaRejectedError)
        self.assertIn("REPLICA_FULL: full", str(gateway.errors[-1]))
        self.assertEqual(set(Counter(gateway.connects).values()), {10})  # all replicas in turn
        self.assertGreater(gateway.now, 15_000 * MS)
        gateway.connect()
        gateway.snapshot(state(1))
        until = gateway.now + gateway.observer.times.stable_after_us
        while gateway.now < until:
            gateway.send_heartbeat()
            gateway.answer(1)
            gateway.advance(100 * MS)
        before = gateway.now
        gateway.carry_out(gateway.observer.disconnected(gateway.now))
        self.assertLessEqual(gateway.observer.next_at() - before, gateway.observer.times.backoff_base_us)

    def test_invalid_frames_end_the_connection_once(self) -> None:
        for frame in (
            {"delta": change(1)},
            {"heartbeat_answer": HeartbeatAnswer(sequence=1)},
            {"welcome": Welcome(history=HISTORY)},
            {"hello": Hello()},
            {"snapshot_part": SnapshotPart(part=3, parts=9)},
        ):
            gateway = Gateway()
            gateway.connect()
            gateway.receive(**frame)
            self.assertEqual(len(gateway.errors), 1, frame)
            gateway.receive(**frame)  # a frame that was still in flight
            gateway.carry_out(gateway.observer.disconnected(gateway.now))
            self.assertEqual(len(gateway.errors), 1)
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(state(7))
        gateway.receive(delta=Delta(number=8))  # an unknown change of a later release must not be skipped
        self.assertEqual(gateway.observer.position.number, 7)

    def test_pending_changes_are_bounded(self) -> None:
        gateway = Gateway()
        gateway.connect()
        gateway.snapshot(state(1, 300))
        number, nodes = 1, [node_message(item(n)) for n in range(1000)]
        while not gateway.errors:
            number += 1
            gateway.receive(delta=Delta(number=number, nodes=NodeChanges(index=number, nodes=nodes)))
            self.assertLess(number, 100)
        self.assertEqual(gateway.observer.position.number, number - 1)  # the position to resume from
        gateway.advance(0)
        self.assertEqual(gateway.pieces[-1].index, number - 1)
        self.assertTrue(gateway.pieces[-1].last)

    def test_an_observing_replica_forwards_the_whole_state(self) -> None:
        gateway = Gateway(relay=True)
        gateway.connect()
        whole = policies(state(7, 300), 2, 3)
        gateway.snapshot(whole)
        gateway.receive(delta=change(8))
        gateway.answer(8)
        kinds = [type(action).__name__ for action in gateway.others]
        self.assertEqual(kinds, ["StateLoaded", "ChangeReceived", "HeartbeatConfirmed"])
        self.assertEqual(gateway.others[0].state, whole)  # type: ignore[union-attr]
        self.assertEqual((gateway.taken, gateway.pieces), ([], []))
