"""Runs the fault harness with several program processes on loopback, and checks its figures.

Every run is bounded in time.
"""

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
from tests.test_cli import run_cli as command

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


def current_counters(harness: Harness, name: str) -> dict[str, int]:
    """The member's current counters, which it prints on SIGUSR1."""
    log, program = harness.folder / f"{name}.log", harness.processes.programs[harness.names.index(name)]
    before = len(printed_counters(log))
    program.send_signal(signal.SIGUSR1)
    deadline = time.monotonic() + 10
    while len(lines := printed_counters(log)) == before:
        assert time.monotonic() < deadline, "the member printed no counters"
        gevent.sleep(0.02)
    counters: dict[str, int] = json.loads(lines[-1])
    return counters


def printed_counters(log: Path) -> list[str]:
    """The lines of counters in a member's log."""
    return [line for line in log.read_text().splitlines() if line.startswith("{") and line.endswith("}")]


class FleetRun(unittest.TestCase):
    def test_faults_on_five_members_leave_no_overlap(self) -> None:
        """Guards against two members that act under the same duty when faults hit its holder."""
        completed = command("fleet", "run", "--members", "5",
                            "--nemesis", "stall,partition,handoff,skew,oneway",
                            "--seed", "11", "--seconds", "5", "--check", "lease", "--json")  # fmt: skip
        values = json.loads(completed.stdout.splitlines()[-1])
        self.assertEqual(
            (values["overlaps"], values["belief_overlaps"], values["unfinished"]), (0, 0, 0), values
        )
        self.assertGreater(values["faults"], 1)
        self.assertGreater(values["actions"], 100)
        self.assertEqual(set(values), {*RUN_KEYS.split(), "handoff_bound_ms", "ok"})
        self.assertEqual(set(values["exits"]), {"0"})

    def test_a_stale_holder_is_rejected_and_without_the_fence_an_overlap_is_reported(self) -> None:
        """Guards against a holder that is paused between checking its lease and acting, and whose action
        arrives after another member has taken over. The run without the fence verifies the checker."""
        for fenced in (True, False):
            with self.subTest(fenced=fenced), tempfile.TemporaryDirectory() as folder:
                options = HarnessOptions(
                    members=3, seed=2, seconds=6.0, kinds=("stall",), work_ms=400, fenced=fenced
                )
                with Harness(options, Path(folder)) as harness:
                    verdict = harness.run()
                self.assertEqual(verdict.overlaps == 0, fenced)
                self.assertEqual(verdict.refused > 0, fenced)

    def test_a_member_that_joins_while_the_leader_is_stopped_takes_part(self) -> None:
        """Guards against a member that cannot join a group whose leader does not respond at that time."""
        with tempfile.TemporaryDirectory() as folder:
            seed = next(s for s in range(100) if joins_late(s))
            with Harness(
                HarnessOptions(members=4, seed=seed, seconds=4.0, kinds=("join",)), Path(folder)
            ) as harness:
                self.assertEqual(harness.run().overlaps, 0)
            self.assertIn("coord.term", (Path(folder) / "g4.log").read_text())


def joins_late(seed: int) -> bool:
    """Whether this seed's schedule starts the last member late."""
    from stackrouter.fleet.schedule import draw

    return draw(seed, 4, ("join",), 4.0, 800_000, 80_000, ("watch",)).late is not None


def figures(seed: int, **changed: object) -> RunFigures:
    """Figures of a run that meets all checks, apart from the fields in `changed`."""
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
    def test_figures_survive_json_and_are_summed_over_a_sweep(self) -> None:
        one = figures(1)
        self.assertEqual(set(one.to_json()), set(RUN_KEYS.split()))
        end = read_end(1, 0, json.dumps(one.to_json()), "")
        self.assertEqual(end.figures, one)
        total = SweepFigures("3", 1, 2, False)
        total.add(one)
        total.add(figures(2))
        values = Bounds.of(HarnessOptions()).with_verdict(total.to_json())
        self.assertEqual(set(values), {*SWEEP_KEYS.split(), "handoff_bound_ms", "ok"})
        self.assertEqual(
            (values["runs"], values["faults"], values["exits"], values["ok"]), (2, 4, {"0": 6}, True)
        )
        self.assertEqual((values["cpu_ms_s"], values["p99_by_kind"]), (80.0, {"kill": 900.0, "stall": None}))
        policy_bounds = Bounds.of(HarnessOptions(policy=True))
        values = policy_bounds.with_verdict(SweepFigures("3", 1, 0, True).to_json())
        keys = {*SWEEP_KEYS.split(), *SWEEP_POLICY_KEYS.split()}
        self.assertEqual(set(values), keys | {"split_bound_ms", "handoff_bound_ms", "ok"})
        self.assertEqual(values["split_bound_ms"], 1160.0)

    def test_a_harness_without_figures_fails_the_sweep(self) -> None:
        """Guards against a sweep that passes although a harness crashed, was killed or lost a member, and so
        returned no figures or incomplete ones."""
        ends = [
            read_end(7, 2, "", "some line\nSR-START: seed 7: g1: ended"),
            read_end(8, -9, "", ""),
            read_end(9, 0, '{"members":3,"se', ""),  # truncated output
            read_end(10, 1, "[]", ""),
        ]
        self.assertEqual([end.figures for end in ends], [None] * 4)
        self.assertEqual([end.why for end in ends][:2], ["SR-START: seed 7: g1: ended", "ended"])
        self.assertIn("no figures", ends[2].why)
        bounds = Bounds.of(HarnessOptions())
        for total in (SweepFigures("3", 7, 2, False), SweepFigures("3", 7, 3, False)):
            total.add(figures(5))
            total.add_failed(7, ends[0].why)
            values = bounds.with_verdict(total.to_json())
            self.assertEqual((values["failed"], values["harnesses_finished"], values["ok"]), (1, 1, False))
            self.assertEqual(values["harnesses_unfinished"], values["harnesses"] - 1)
        incomplete = SweepFigures("3", 7, 1, False)
        incomplete.add(figures(5, exits={"0": 2}))  # the exit code of one of three members is missing
        values = bounds.with_verdict(incomplete.to_json())
        self.assertEqual((values["harnesses_unfinished"], values["ok"]), (1, False))
        self.assertEqual(values["bad_seeds"], ["5: 2 of 3 members ended"])

    def test_a_violation_in_one_run_fails_the_sweep(self) -> None:
        for name in ("overlaps", "belief_overlaps", "unfinished"):
            total = SweepFigures("3", 5, 1, False)
            total.add(figures(5, **{name: 1}))
            values = Bounds.of(HarnessOptions()).with_verdict(total.to_json())
            self.assertEqual((values["ok"], values["bad_seeds"]), (False, ["5"]), name)
        beyond = Bounds.of(HarnessOptions(kinds=("skew-beyond",)))
        self.assertTrue(beyond.with_verdict(figures(5, belief_overlaps=1).to_json())["ok"])
        slow = [HandoffTime("kill", 1700.0, True)]
        late = figures(5, handoffs=slow, times=HandoffFigures.of(slow))
        self.assertFalse(Bounds.of(HarnessOptions()).with_verdict(late.to_json())["ok"])

    def test_a_sweep_runs_each_seed_in_a_process_and_counts_those_that_ended(self) -> None:
        completed = command("fleet", "run", "--members", "1", "--nemesis", "none", "--seconds", "0.5",
                            "--runs", "2", "--parallel", "2", "--check", "policy", "--json")  # fmt: skip
        values = json.loads(completed.stdout.splitlines()[-1])
        self.assertEqual(
            (values["harnesses"], values["harnesses_finished"], values["runs"]), (2, 2, 2), values
        )
        self.assertEqual((values["failed"], values["exits"]), (0, {"0": 2}), values)


class RaftLog(unittest.TestCase):
    def test_the_last_index_is_read_as_the_library_wrote_it(self) -> None:
        """Guards against a change of the library's journal format, and against reading a partial file."""
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
            journal.deleteEntriesFrom(50)  # removes entries that a new leader does not have
            self.assertEqual(last_index(file), 350)
            file.write_bytes(file.read_bytes()[:60])
            self.assertEqual(last_index(file), 0)  # truncated file


class DiscoveryWatch(unittest.TestCase):
    def test_one_member_watches_for_all_and_each_for_itself_without_a_majority(self) -> None:
        """Guards against members that all poll discovery while a watcher serves them, and against a member
        that stops asking once the group has lost its majority."""
        with tempfile.TemporaryDirectory() as folder:
            with Harness(HarnessOptions(members=3, seed=1), Path(folder)) as harness:
                gevent.sleep(6.0)  # all members follow the watcher by now: a watch lasts 2 s
                before = harness.backend.discovery.calls
                gevent.sleep(4.0)
                self.assertLessEqual(
                    harness.backend.discovery.calls - before, 4
                )  # three gateways that watch alone make 6 calls
                deltas_before = {
                    name: current_counters(harness, name).get("lists.delta", 0) for name in harness.names
                }
                harness.backend.discovery.change("s-1", status="draining")
                deadline = time.monotonic() + 10
                while any(
                    current_counters(harness, name).get("lists.delta", 0) == deltas_before[name]
                    for name in harness.names
                ):
                    self.assertLess(time.monotonic(), deadline, "the change has not reached all members")
                for i in (0, 1):  # no majority is left
                    harness.processes.programs[i].kill()
                before = harness.backend.discovery.calls
                deadline = time.monotonic() + 20
                while harness.backend.discovery.calls < before + 3:
                    self.assertLess(
                        time.monotonic(), deadline, "the remaining member does not call discovery"
                    )
                    gevent.sleep(0.1)
            self.assertEqual(harness.exits[2], 0)
