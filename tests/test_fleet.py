"""Several processes of the program with faults between them. Every run is bounded in time and on loopback."""

from __future__ import annotations

import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import gevent

from stackrouter.fleet.figures import Bounds, HandoffFigures, HandoffTime, RunFigures, SweepFigures
from stackrouter.fleet.harness import Harness
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.raft_log import last_index
from stackrouter.fleet.sweep import read_end
from tests.test_cli import run as command

RUN_KEYS = (
    "members seed runs failed overlaps belief_overlaps refused actions unfinished faults by_kind handoffs "
    "cpu_ms_s cpu_steady_ms_s rss_mib log_entries_s elections discovery_calls_s exits requests "
    "handoff_ms_p50 handoff_ms_p99 handoff_ms_max handoffs_clean handoff_ms_p99_any handoffs_any"
)
POLICY_KEYS = (
    "uncommitted_served twins disagreed committed aborted changes samples splits_ms spreads_ms split_ms_p50 "
    "split_ms_p99 split_ms_max spread_ms_p50 spread_ms_p99 spread_ms_max"
)
SWEEP_KEYS = (
    "members seed runs failed overlaps belief_overlaps refused actions unfinished faults harnesses "
    "harnesses_finished harnesses_unfinished by_kind exits bad_seeds slow_seeds p99_by_kind cpu_ms_s rss_mib "
    "handoff_ms_p50 handoff_ms_p99 handoff_ms_max handoffs_clean handoff_ms_p99_any handoffs_any"
)
SWEEP_POLICY_KEYS = (
    "uncommitted_served twins disagreed committed aborted samples changes split_ms_p50 split_ms_p99 "
    "split_ms_max spread_ms_p50 spread_ms_p99 spread_ms_max"
)


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
        self.assertEqual(set(told), {*RUN_KEYS.split(), "handoff_bound_ms", "ok"})
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


def figures(seed: int, **changed: object) -> RunFigures:
    """Of a run in which nothing was wrong but for what is changed."""
    handoffs = [HandoffTime("kill", 900.0, True), HandoffTime("stall", 4000.0, False)]
    values: dict[str, object] = {
        "members": 3, "seed": seed, "runs": 1, "failed": 0, "overlaps": 0, "belief_overlaps": 0, "refused": 1,
        "actions": 50, "unfinished": 0, "faults": 2, "by_kind": {"kill": 1, "stall": 1}, "handoffs": handoffs,
        "cpu_ms_s": [90.0, 80.0, 70.0], "cpu_steady_ms_s": [40.0], "rss_mib": [31.0], "log_entries_s": 26.0,
        "elections": 0, "discovery_calls_s": 1.0, "exits": {"0": 3}, "requests": {},
        "times": HandoffFigures.of(handoffs), "policy": None,
    }  # fmt: skip
    return RunFigures(**{**values, **changed})  # type: ignore[arg-type]


class Figures(unittest.TestCase):
    def test_figures_come_back_from_their_json_and_sum_up(self) -> None:
        one = figures(1)
        self.assertEqual(set(one.to_json()), set(RUN_KEYS.split()))
        end = read_end(1, 0, json.dumps(one.to_json()), "")
        self.assertEqual(end.figures, one)
        total = SweepFigures("3", 1, 2, False)
        total.add(one)
        total.add(figures(2))
        told = Bounds.of(HarnessOptions()).judged(total.to_json())
        self.assertEqual(set(told), {*SWEEP_KEYS.split(), "handoff_bound_ms", "ok"})
        self.assertEqual((told["runs"], told["faults"], told["exits"], told["ok"]), (2, 4, {"0": 6}, True))
        self.assertEqual((told["cpu_ms_s"], told["p99_by_kind"]), (80.0, {"kill": 900.0, "stall": None}))
        keeps = Bounds.of(HarnessOptions(policy=True))
        told = keeps.judged(SweepFigures("3", 1, 0, True).to_json())
        keys = {*SWEEP_KEYS.split(), *SWEEP_POLICY_KEYS.split()}
        self.assertEqual(set(told), keys | {"split_bound_ms", "handoff_bound_ms", "ok"})
        self.assertEqual(told["split_bound_ms"], 1160.0)

    def test_a_harness_that_did_not_end_is_counted_and_the_sweep_does_not_hold(self) -> None:
        ends = [
            read_end(7, 2, "", "some line\nSR-START: seed 7: g1: ended"),
            read_end(8, -9, "", ""),
            read_end(9, 0, '{"members":3,"se', ""),  # cut off while it was written
            read_end(10, 1, "[]", ""),
        ]
        self.assertEqual([end.figures for end in ends], [None] * 4)
        self.assertEqual([end.why for end in ends][:2], ["SR-START: seed 7: g1: ended", "ended"])
        self.assertIn("no figures", ends[2].why)
        bounds = Bounds.of(HarnessOptions())
        for total in (SweepFigures("3", 7, 2, False), SweepFigures("3", 7, 3, False)):
            total.add(figures(5))
            total.add_failed(7, ends[0].why)
            told = bounds.judged(total.to_json())
            self.assertEqual((told["failed"], told["harnesses_finished"], told["ok"]), (1, 1, False))
            self.assertEqual(told["harnesses_unfinished"], told["harnesses"] - 1)
        short = SweepFigures("3", 7, 1, False)
        short.add(figures(5, exits={"0": 2}))  # one of three members is not accounted for
        told = bounds.judged(short.to_json())
        self.assertEqual((told["harnesses_unfinished"], told["ok"]), (1, False))
        self.assertEqual(told["bad_seeds"], ["5: 2 of 3 members ended"])

    def test_what_breaks_a_single_run_breaks_the_sweep(self) -> None:
        for name in ("overlaps", "belief_overlaps", "unfinished"):
            total = SweepFigures("3", 5, 1, False)
            total.add(figures(5, **{name: 1}))
            told = Bounds.of(HarnessOptions()).judged(total.to_json())
            self.assertEqual((told["ok"], told["bad_seeds"]), (False, ["5"]), name)
        beyond = Bounds.of(HarnessOptions(kinds=("skew-beyond",)))
        self.assertTrue(beyond.judged(figures(5, belief_overlaps=1).to_json())["ok"])
        slow = [HandoffTime("kill", 1700.0, True)]
        late = figures(5, handoffs=slow, times=HandoffFigures.of(slow))
        self.assertFalse(Bounds.of(HarnessOptions()).judged(late.to_json())["ok"])

    def test_a_sweep_runs_each_seed_in_a_process_and_says_how_many_ended(self) -> None:
        done = command("fleet", "run", "--members", "1", "--nemesis", "none", "--seconds", "0.5",
                       "--runs", "2", "--parallel", "2", "--check", "policy", "--json")  # fmt: skip
        told = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual((told["harnesses"], told["harnesses_finished"], told["runs"]), (2, 2, 2), told)
        self.assertEqual((told["failed"], told["exits"]), (0, {"0": 2}), told)


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
