"""Several processes of the program with faults between them. Every run is bounded in time and on loopback."""

from __future__ import annotations

import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from stackrouter.fleet.harness import Harness
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.raft_log import last_index
from tests.test_cli import run as command


def counted(harness: Harness, name: str) -> dict[str, int]:
    """The member's counters now, which it prints when asked."""
    log, program = harness.folder / f"{name}.log", harness.processes.programs[harness.names.index(name)]
    before = len(printed(log))
    program.send_signal(signal.SIGUSR1)
    until = time.monotonic() + 10
    while len(lines := printed(log)) == before:
        assert time.monotonic() < until, "no counters"
        gevent.sleep(0.02)
    told: dict[str, int] = json.loads(lines[-1])
    return told


def printed(log: Path) -> list[str]:
    return [line for line in log.read_text().splitlines() if line.startswith("{") and line.endswith("}")]


class FleetRun(unittest.TestCase):
    def test_faults_on_five_members_leave_no_overlap(self) -> None:
        done = command("fleet", "run", "--members", "5", "--nemesis", "stall,partition,handoff,skew,oneway",
                       "--seed", "11", "--seconds", "5", "--check", "lease", "--json")  # fmt: skip
        told = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual((told["overlaps"], told["belief_overlaps"], told["unfinished"]), (0, 0, 0), told)
        self.assertGreater(told["faults"], 1)
        self.assertGreater(told["actions"], 100)
        self.assertIn("handoff_ms_p99", told)
        self.assertEqual(set(told["exits"]), {"0"})

    def test_a_holder_that_wakes_and_acts_is_refused_and_without_the_fence_the_check_says_so(self) -> None:
        for fenced in (True, False):
            with self.subTest(fenced=fenced), tempfile.TemporaryDirectory() as folder:
                options = HarnessOptions(
                    members=3, seed=2, seconds=6.0, kinds=("stall",), work_ms=400, fenced=fenced
                )
                with Harness(options, Path(folder)) as harness:
                    found = harness.run()
                self.assertEqual(found.overlaps == 0, fenced)
                self.assertEqual(found.refused > 0, fenced)

    def test_a_member_that_joins_while_the_leader_is_stopped_takes_part(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            seed = next(s for s in range(100) if joins_late(s))
            with Harness(
                HarnessOptions(members=4, seed=seed, seconds=4.0, kinds=("join",)), Path(folder)
            ) as harness:
                self.assertEqual(harness.run().overlaps, 0)
            self.assertIn("coord.term", (Path(folder) / "g4.log").read_text())


def joins_late(seed: int) -> bool:
    from stackrouter.fleet.schedule import draw

    return draw(seed, 4, ("join",), 4.0, 800_000, 80_000, ("watch",)).late is not None


class RaftLog(unittest.TestCase):
    def test_the_last_index_is_read_as_the_library_wrote_it(self) -> None:
        from pysyncobj.journal import FileJournal

        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "journal")
            self.assertEqual(last_index(file), 0)
            journal = FileJournal(str(file))
            self.addCleanup(journal._destroy)
            self.assertEqual(last_index(file), 0)  # empty
            for index in range(1, 400):
                journal.add(b"x" * index, index, 7)
            self.assertEqual(last_index(file), 399)
            journal.deleteEntriesTo(300)  # a compaction
            self.assertEqual(last_index(file), 399)
            journal.deleteEntriesFrom(50)  # entries that another leader does not have
            self.assertEqual(last_index(file), 350)
            file.write_bytes(file.read_bytes()[:60])
            self.assertEqual(last_index(file), 0)  # cut off


class Watcher(unittest.TestCase):
    def test_one_asks_discovery_for_all_and_each_for_itself_once_the_group_is_lost(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            with Harness(HarnessOptions(members=3, seed=1), Path(folder)) as harness:
                gevent.sleep(6.0)  # all follow by now: a watch lasts 2 s
                before = harness.backend.discovery.calls
                gevent.sleep(4.0)
                self.assertLessEqual(
                    harness.backend.discovery.calls - before, 4
                )  # alone, three gateways make 6
                known = {name: counted(harness, name).get("lists.delta", 0) for name in harness.names}
                harness.backend.discovery.change("s-1", status="draining")
                until = time.monotonic() + 10
                while any(
                    counted(harness, name).get("lists.delta", 0) == known[name] for name in harness.names
                ):
                    self.assertLess(time.monotonic(), until, "the change has not reached all")
                for i in (0, 1):  # no majority is left
                    harness.processes.programs[i].kill()
                before = harness.backend.discovery.calls
                until = time.monotonic() + 20
                while harness.backend.discovery.calls < before + 3:
                    self.assertLess(time.monotonic(), until, "the one that is left does not ask")
                    gevent.sleep(0.1)
            self.assertEqual(harness.exits[2], 0)
