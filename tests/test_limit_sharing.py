"""Guards against exceeding a volume's limit in any interleaving of a gateway's processes.

A model runs the production code (stackrouter.sharing) on an in-memory disk and in-memory locks. Before each
read, append, lock or send a process may be suspended while others run, stop, are killed or start, so each
step of one process interleaves with whole turns of the others. To prove that the model detects faults, each
safeguard is disabled once.
"""

from __future__ import annotations

import errno
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from unittest import mock

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from rackseam.buckets import LimitBuckets, LimitPart, limit_part
from rackseam.interface import Plan, RequestClass, Settings
from stackrouter.core.counters import Counters
from stackrouter.errors import LimitLogError
from stackrouter.sharing import buckets as sharing
from stackrouter.sharing.buckets import SharedBuckets
from stackrouter.sharing.log_file import MAX_LOG_BYTES, SharedFile
from stackrouter.sharing.mode import JOIN_DELAY_US, SCAN_MAX_AGE_US, Mode, ProcessView
from stackrouter.sharing.presence import SocketPresence
from stackrouter.sharing.records import RECORD_BYTES, Record, RecordKind, RecordReader
from stackrouter.sharing.replay import ReplayedBuckets
from stackrouter.sharing.socket_limits import CLIENTS, ProcessSocketLimits, SharedSocketLimit
from tests.exchange import ROOT

MS, S = 1_000, 1_000_000
# No tolerance: the implementation needs none, and a disabled safeguard becomes visible sooner.
PLAN = Plan(limit_units_per_s=40.0, burst_units=20.0)
LARGEST_UNITS = 6.0
SETTINGS = Settings(classes=(RequestClass(400 * MS, 2 * S),), plans=(PLAN,), max_units=LARGEST_UNITS)
VOLUME = "00000000000000f1"
SLACK_UNITS = 0.15 * PLAN.limit_units_per_s  # the protocol's slack on sockets: 150 ms of the limit
FAULT_KINDS = ("kill", "stop", "break", "cut", "replace")


def part() -> LimitPart:
    limit = limit_part(PLAN, VOLUME, 0, 1)
    assert limit is not None
    return limit


@dataclass
class Disk:
    """One file. `broken`: every call fails; `generation`: changes when the file is replaced by another."""

    data: bytearray = field(default_factory=bytearray)
    broken: bool = False
    generation: int = 1


@dataclass
class Locks:
    """`present`: by slot, the id of the log that the process in it uses."""

    present: dict[int, int | None] = field(default_factory=dict)


class World:
    """Processes of one gateway, and the store of one volume as seen by the nodes."""

    def __init__(self, seed: int, max_depth: int = 3) -> None:
        self.random = Random(seed)
        self.now = 100 * S
        self.disk, self.locks = Disk(), Locks()
        self.processes: list[Process] = []
        self.started = self.depth = 0
        self.max_depth = max_depth
        self.level, self.level_at = PLAN.burst_units, self.now
        self.lowest = self.level
        self.sent = 0.0
        self.kinds = [kind for kind in FAULT_KINDS if self.random.random() < 0.5]

    def start(self) -> None:
        self.started += 1
        self.processes.append(Process(self, self.started))

    def receive(self, units: float) -> None:
        """A node has received a request."""
        gained = (self.now - self.level_at) * PLAN.limit_units_per_s / S
        self.level = min(PLAN.burst_units, self.level + gained) - units
        self.level_at = self.now
        self.lowest = min(self.lowest, self.level)
        self.sent += units

    def interrupt(self, suspended: Process) -> None:
        """`suspended` is about to make a system call: others may run before it does."""
        self.now += self.random.randrange(0, 200)
        if self.depth >= self.max_depth or self.random.random() > 0.15:
            return
        self.depth += 1
        suspended.busy = True
        for _ in range(self.random.randrange(1, 8)):
            self.step()
        suspended.busy = False
        self.depth -= 1
        if suspended.dead:
            raise KilledError

    def step(self) -> None:
        """Advance the clock, maybe inject a fault, and run one process that is not suspended."""
        self.now += self.random.choice((500, 2 * MS, 5 * MS, 20 * MS, 80 * MS))
        self.fault()
        free = [p for p in self.processes if not p.busy and not p.dead and p.stopped_until <= self.now]
        if free:
            self.random.choice(free).turn()

    def fault(self) -> None:
        """Sometimes start a process, or begin or end one of this world's kinds of fault."""
        if self.disk.broken and self.random.random() < 0.05:
            self.disk.broken = False
        living = [p for p in self.processes if not p.dead]
        if len(living) < 3 and self.random.random() < (0.02 if living else 0.5):
            self.start()
        if not living or self.random.random() > 0.03:
            return
        victim = self.random.choice(living)
        match self.random.choice(self.kinds or ("",)):
            case "kill":
                victim.kill()
            case "stop":
                victim.stopped_until = self.now + self.random.randrange(50 * MS, 2 * S)
            case "break":
                self.disk.broken = True
            case "cut":
                del self.disk.data[self.random.randrange(len(self.disk.data) + 1) :]
            case "replace":
                self.disk = Disk(generation=self.disk.generation + 1)


class KilledError(Exception):
    """The process was killed while it was suspended."""


class Process:
    """One process; `unsent`: requests whose units are spent and that have not been sent."""

    def __init__(self, world: World, slot: int) -> None:
        self.world, self.slot = world, slot
        self.busy = self.dead = False
        self.stopped_until = 0
        self.unsent: list[tuple[object, float, int]] = []
        self.buckets: SharedBuckets | None = None
        try:
            self.buckets = SharedBuckets(SETTINGS, MemoryLocks(self), MemoryLog(self), Counters(),
                                         lambda: world.now, seed=slot)  # fmt: skip
        except KilledError:
            return
        self.ready_at = world.now + 50 * MS

    def kill(self) -> None:
        self.dead = True
        self.world.locks.present.pop(self.slot, None)

    def scan(self) -> None:
        """Scan for the other processes, as at the beginning of a step."""
        if self.buckets is not None:
            self.world.now += SCAN_MAX_AGE_US
            self.buckets.scan_processes(self.world.now)

    def turn(self) -> None:
        if self.buckets is None:
            return
        with suppress(KilledError):
            self._turn(self.buckets, self.world.now)

    def _turn(self, buckets: SharedBuckets, now: int) -> None:
        """Like a step of the engine: scan, decide by one clock reading, claim, decide again, send."""
        buckets.scan_processes(now)
        if not self.unsent and buckets.mode is not None and not hasattr(self, "begun"):
            self.begun = True
            buckets.begin(now)
        for _ in range(3):
            self._spend(buckets, now)
            if not buckets.exchange_claims(now):
                break
            buckets.events()
        for charge, units, spent_at in self.unsent:
            self._send(buckets, charge, units, spent_at)
        self.unsent.clear()

    def _spend(self, buckets: SharedBuckets, now: int) -> None:
        random = self.world.random
        for _ in range(random.randrange(1, 4)):
            units = float(random.randint(1, int(LARGEST_UNITS)))
            if buckets.wait_us(part(), units, now) > 0:
                return
            buckets.spend(part(), units, now)
            self.unsent.append((buckets.reservation(now), units, now))

    def _send(self, buckets: SharedBuckets, charge: object, units: float, spent_at: int) -> None:
        """The gate's check, then the write. The protocol's slack allows for a suspension between the two."""
        world = self.world
        world.interrupt(self)
        if world.random.random() < 0.05:
            buckets.release(part(), units, spent_at, world.now)  # it could not be written
            return
        if not buckets.may_spend(charge, world.now):
            buckets.release(part(), units, spent_at, world.now)
            return
        buckets.written(part(), units, world.now)
        world.receive(units)


class MemoryLocks:
    """In-memory `stackrouter.sharing.presence.Presence`."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.log_id: int | None = None

    def join(self, log_id: int | None) -> None:
        self.process.world.interrupt(self.process)
        self.log_id = self.process.world.locks.present[self.process.slot] = log_id

    def use_log(self, log_id: int | None) -> None:
        self.process.world.interrupt(self.process)
        self.log_id = self.process.world.locks.present[self.process.slot] = log_id

    def scan(self) -> ProcessView:
        self.process.world.interrupt(self.process)
        present = self.process.world.locks.present
        others = tuple(slot for slot in present if slot != self.process.slot)
        same_log = self.log_id is not None and all(present[slot] == self.log_id for slot in others)
        return ProcessView(self.process.slot, others, same_log)


class MemoryLog:
    """`stackrouter.sharing.log_file.LogFile` on the world's in-memory disk."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.disk = process.world.disk
        self.offset = 0

    def _call(self) -> None:
        self.process.world.interrupt(self.process)
        if self.disk.broken or self.disk is not self.process.world.disk:
            raise LimitLogError("broken")

    def open(self) -> int:
        self.disk, self.offset = self.process.world.disk, 0
        self._call()
        return self.disk.generation

    def append(self, data: bytes) -> None:
        self._call()
        if "break" in self.process.world.kinds and self.process.world.random.random() < 0.002:
            self.disk.data += data[: self.process.world.random.randrange(len(data))]
            raise LimitLogError("no space left")
        self.disk.data += data

    def read_new(self) -> bytes:
        self._call()
        if len(self.disk.data) < self.offset:
            raise LimitLogError("was truncated")
        data = bytes(self.disk.data[self.offset :])
        self.offset += len(data)
        return data

    def rewind(self) -> None:
        self.offset = 0

    def truncate(self) -> None:
        self._call()
        self.disk.data.clear()
        self.offset = 0


def run_world(seed: int, steps: int = 600) -> World:
    world = World(seed)
    world.start()
    for _ in range(steps):
        world.step()
    return world


def world_without_suspension(*starts: int) -> World:
    """Processes that are never suspended, started after these delays (us); each has scanned once."""
    world = World(1, max_depth=0)
    world.kinds = []
    for after in starts:
        world.now += after
        world.start()
        world.processes[-1].scan()
    return world


def spend_all(process: Process) -> float:
    """Spend and send all units that the process may at this time; returns their number."""
    buckets, now, spent = process.buckets, process.world.now, 0.0
    assert buckets is not None
    buckets.scan_processes(now)
    for _ in range(100):
        if buckets.wait_us(part(), 1.0, now) > 0 and not (buckets.exchange_claims(now) and buckets.events()):
            break
        if buckets.wait_us(part(), 1.0, now) == 0:
            buckets.spend(part(), 1.0, now)
            buckets.written(part(), 1.0, now)
            process.world.receive(1.0)
            spent += 1.0
            process.world.now += sharing.EXCHANGE_INTERVAL_US
            now = process.world.now
    return spent


def accept_every_claim(self: ReplayedBuckets, record: Record) -> float:
    APPLY(self, record)
    return 1e9


def spend_without_setting_aside(self: LimitBuckets, part: LimitPart, units: float, now: int) -> None:
    self._refilled_bucket(part, now).tokens -= units


def credit_any_return(self: ReplayedBuckets, record: Record) -> float:
    if record.kind is RecordKind.RETURN:
        record = replace(record, at_us=max(self._now, record.at_us))
    return APPLY(self, record)


APPLY = ReplayedBuckets.apply
# Disabled safeguards, and seeds of which at least one exposes the fault.
DISABLED_SAFEGUARDS: dict[str, tuple[Callable[[], AbstractContextManager[object]], tuple[int, ...]]] = {
    "scans of any age are accepted": (
        lambda: mock.patch.object(sharing, "SCAN_MAX_AGE_US", 10**12),
        (0, 1, 2),
    ),
    "charges never expire": (lambda: mock.patch.object(sharing, "CHARGE_MAX_AGE_US", 10**12), (34, 37, 100)),
    "all claims are granted": (
        lambda: mock.patch.object(ReplayedBuckets, "apply", accept_every_claim),
        (119,),
    ),
    "units set aside are ignored": (
        lambda: mock.patch.object(LimitBuckets, "spend", spend_without_setting_aside),
        (43, 109),
    ),
    "late returns are credited": (
        lambda: mock.patch.object(ReplayedBuckets, "apply", credit_any_return),
        (141,),
    ),
}


class Model(unittest.TestCase):
    @examples(derandomize=True, max_examples=120, deadline=None)
    @given(st.integers(0, 2**32))
    def test_no_interleaving_exceeds_the_limit(self, seed: int) -> None:
        world = run_world(seed)
        self.assertGreaterEqual(world.lowest, -SLACK_UNITS, seed)

    def test_each_disabled_safeguard_is_detected(self) -> None:
        for name, (disable, seeds) in DISABLED_SAFEGUARDS.items():
            with self.subTest(name), disable():
                self.assertLess(min(run_world(seed).lowest for seed in seeds), -SLACK_UNITS)


class Safeguards(unittest.TestCase):
    """One safeguard per test, in the situation for which it exists."""

    def modes(self, world: World) -> list[Mode | None]:
        return [p.buckets.mode for p in world.processes if p.buckets is not None]

    def test_either_process_can_use_the_whole_limit(self) -> None:
        for serving in (0, 1):
            with self.subTest(serving):
                world = world_without_suspension(0, S)
                began = world.now
                spent = 0.0
                while world.now < began + 5 * S:
                    spent += spend_all(world.processes[serving])
                    world.now += 10 * MS
                self.assertEqual(self.modes(world)[serving], Mode.SHARED)
                self.assertGreater(spent, 0.9 * 40 * 5)
                self.assertGreaterEqual(world.lowest, -SLACK_UNITS)

    def test_a_joining_process_starts_empty_after_all_others_have_scanned(self) -> None:
        world = world_without_suspension(0, S)
        new = world.processes[1].buckets
        assert new is not None
        self.assertEqual(new._replayed.epoch_at, new._joined_at + JOIN_DELAY_US)
        self.assertEqual(spend_all(world.processes[1]), 0.0)

    def test_levels_of_a_process_that_was_alone_are_logged_as_of_the_epochs_begin(self) -> None:
        world = world_without_suspension(0, S)
        first, second = world.processes
        world.now += 2 * S  # the first is stopped during this time, the second spends the refill
        spend_all(second)
        level = second.buckets._replayed.buckets.level(part(), world.now) if second.buckets else 0.0
        first.scan()
        second.scan()
        assert second.buckets is not None
        # One second's refill of the first process: its initial units and the refill up to the epoch, no more.
        gained = second.buckets._replayed.buckets.level(part(), world.now) - level
        self.assertLessEqual(gained, 40 * 1.06 + 1)

    def test_an_epoch_of_a_killed_process_is_not_current(self) -> None:
        world = world_without_suspension(0, S)
        world.processes[1].kill()  # no process has seen it, but its epoch is in the log
        world.now += S
        spent = spend_all(world.processes[0])
        self.assertGreaterEqual(spent, 20)
        world.start()
        world.processes[2].scan()
        world.now += JOIN_DELAY_US
        self.assertLess(spend_all(world.processes[2]), 3)

    def test_the_last_remaining_process_truncates_the_log(self) -> None:
        world = world_without_suspension(0, S)
        world.processes[0].scan()
        world.processes[1].kill()
        world.now += S
        world.processes[0].scan()
        self.assertEqual(self.modes(world)[0], Mode.ALONE)
        self.assertEqual(bytes(world.disk.data), b"")

    def test_a_process_that_cannot_use_the_log_makes_all_split_evenly(self) -> None:
        world = world_without_suspension(0)
        world.processes[0].scan()
        world.disk.broken = True
        world.now += S
        world.start()
        world.processes[1].scan()
        world.disk.broken = False
        world.now += SCAN_MAX_AGE_US
        world.processes[0].scan()
        self.assertEqual(self.modes(world), [Mode.SPLIT, Mode.SPLIT])
        record = RecordReader().feed(bytes(world.disk.data))[-1]
        self.assertEqual(record.kind, RecordKind.VOID)  # the records before it are invalid for all processes
        world.now += 2 * S
        self.assertLessEqual(sum(spend_all(p) for p in world.processes), 20 + 2)

    def test_processes_that_cannot_be_counted_are_limited_to_a_third(self) -> None:
        with mock.patch.object(MemoryLocks, "join", side_effect=OSError("not here")):
            world = world_without_suspension(0)
        world.now += 10 * S
        self.assertEqual(self.modes(world), [Mode.SPLIT])
        self.assertLessEqual(spend_all(world.processes[0]), 20 / 3 + 1)


class Records(unittest.TestCase):
    def encoded(self, *sequences: int) -> bytes:
        return b"".join(Record(RecordKind.CLAIM, 7, n, 5, 0, 1, 9, 2.5).encode() for n in sequences)

    @given(st.lists(st.integers(0, 3 * RECORD_BYTES), max_size=5))
    def test_records_are_decoded_from_pieces_of_any_size(self, cuts: list[int]) -> None:
        data, reader, records = self.encoded(0, 1, 2), RecordReader(), []
        at = 0
        for cut in [*sorted(cuts), len(data)]:
            records += reader.feed(data[at:cut])
            at = cut
        self.assertEqual([r.sequence for r in records], [0, 1, 2])
        self.assertEqual(records[0].units, 2.5)

    def test_a_missing_or_damaged_record_is_an_error(self) -> None:
        whole = self.encoded(0, 1, 2)
        for wrong in (self.encoded(1), self.encoded(0, 2), whole[1:], whole[:50] + b"x" + whole[51:]):
            with self.subTest(wrong[:8]), self.assertRaises(LimitLogError):
                RecordReader().feed(wrong)


class MemoryCounts:
    """In-memory `stackrouter.sharing.socket_limits.SocketCounts` of one process among several."""

    def __init__(self, table: dict[int, int], slot: int) -> None:
        self.table, self.slot = table, slot

    def publish(self, kind: int, count: int) -> None:
        self.table[self.slot] = count

    def published(self, kind: int) -> int:
        return sum(count for slot, count in self.table.items() if slot != self.slot)


class SocketLimits(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 60)), max_size=40))
    def test_all_processes_together_never_exceed_the_total(self, steps: list[tuple[int, int]]) -> None:
        table: dict[int, int] = {}
        limits = [SharedSocketLimit(MemoryCounts(table, slot), CLIENTS) for slot in range(3)]
        held, allowed = [0, 0, 0], [0, 0, 0]
        for limit in limits:
            limit.allowed(100, 0)
        for slot, wanted in steps:
            allowed[slot] = limits[slot].allowed(100, held[slot])
            held[slot] = min(wanted, allowed[slot]) if wanted > held[slot] else wanted
            self.assertLessEqual(sum(held), 100)

    def test_a_process_that_serves_most_clients_keeps_them(self) -> None:
        table: dict[int, int] = {}
        old, new = (SharedSocketLimit(MemoryCounts(table, slot), CLIENTS) for slot in range(2))
        old.allowed(100, 70)
        self.assertEqual(new.allowed(100, 0), 5)  # the old process may grow to 95
        self.assertEqual(old.allowed(100, 20), 45)
        self.assertEqual(new.allowed(100, 5), 30)

    def test_where_counts_cannot_be_published_each_is_limited_to_a_third(self) -> None:
        counts = MemoryCounts({}, 0)
        with mock.patch.object(counts, "publish", side_effect=OSError("not here")):
            self.assertEqual(ProcessSocketLimits(counts).allowed((90, 1), (60, 1)), (30, 20))


class Files(unittest.TestCase):
    """The real file and locks, with errors of the operating system."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def file(self) -> SharedFile:
        log_file = SharedFile(self.folder, "n1", self.listener.fileno())
        self.addCleanup(log_file.close)
        return log_file

    def test_two_processes_read_both_appends_in_the_same_order(self) -> None:
        first, second = self.file(), self.file()
        self.assertEqual(first.open(), second.open())
        first.append(b"one")
        second.append(b"two")
        self.assertEqual((first.read_new(), second.read_new()), (b"onetwo", b"onetwo"))
        self.assertEqual(first.read_new(), b"")

    def test_a_removed_truncated_or_too_large_file_is_an_error(self) -> None:
        def remove(path: Path) -> None:
            path.unlink()

        def cut(path: Path) -> None:
            os.truncate(path, 1)

        def large(path: Path) -> None:
            os.truncate(path, MAX_LOG_BYTES + 1)

        for damage in (remove, cut, large):
            with self.subTest(damage.__name__):
                log_file = self.file()
                log_file.open()
                log_file.append(b"some")
                log_file.read_new()
                damage(next(Path(self.folder).iterdir()))
                with self.assertRaises(LimitLogError):
                    log_file.read_new()
                for path in Path(self.folder).iterdir():
                    path.unlink()

    def test_each_failing_call_raises_an_error_that_names_the_file(self) -> None:
        calls: tuple[tuple[str, Callable[[SharedFile], object]], ...] = (
            ("open", SharedFile.open),
            ("write", lambda log_file: log_file.append(b"x")),
            ("pread", SharedFile.read_new),
            ("fstat", SharedFile.read_new),
            ("ftruncate", SharedFile.truncate),
        )
        for call, operation in calls:
            for number in (errno.ENOSPC, errno.EIO, errno.EROFS):
                log_file = self.file()
                log_file.open()
                log_file.append(b"some")
                failing = mock.patch.object(os, call, side_effect=OSError(number, os.strerror(number)))
                with (
                    self.subTest(call=call, number=number),
                    failing,
                    self.assertRaises(LimitLogError) as caught,
                ):
                    operation(log_file)
                self.assertIn("stackrouter-limits", caught.exception.file)

    def test_a_partial_write_is_an_error(self) -> None:
        log_file = self.file()
        log_file.open()
        with mock.patch.object(os, "write", return_value=2), self.assertRaises(LimitLogError):
            log_file.append(b"some")

    def test_another_process_and_its_log_are_visible_until_it_ends(self) -> None:
        code = (
            "import sys; from stackrouter.sharing.presence import SocketPresence;"
            f"p = SocketPresence({self.listener.fileno()}); p.join(5); p.publish(1, 40); p.publish(1, 30);"
            "print('here', flush=True); sys.stdin.read()"
        )
        ours = SocketPresence(self.listener.fileno())
        ours.join(5)
        self.assertEqual(ours.scan(), ProcessView(0))
        other = subprocess.Popen([sys.executable, "-c", code], pass_fds=(self.listener.fileno(),), cwd=ROOT,
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE)  # fmt: skip
        self.addCleanup(other.wait)
        self.addCleanup(other.kill)
        assert other.stdout is not None and other.stdin is not None
        self.addCleanup(other.stdout.close)
        self.addCleanup(other.stdin.close)
        self.assertEqual(other.stdout.readline(), b"here\n")
        self.assertEqual(ours.scan(), ProcessView(0, (1,), same_log=True))
        self.assertEqual((ours.published(0), ours.published(1)), (0, 30))
        ours.use_log(6)
        self.assertEqual(ours.scan(), ProcessView(0, (1,), same_log=False))
        other.kill()
        other.wait()
        self.assertEqual(ours.scan(), ProcessView(0))


if __name__ == "__main__":
    unittest.main()
