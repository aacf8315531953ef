"""A short soak in CI, and each rule of the judge broken on purpose by a gateway whose guard is taken out."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from stackrouter.soak.judge import judge
from stackrouter.soak.options import KINDS, SoakOptions
from stackrouter.soak.records import Arrival, Ending, Notice, Records, RequestRecord
from stackrouter.soak.schedule import draw, process_faults
from tests.exchange import ROOT


def soak(*options: str) -> tuple[int, dict[str, Any]]:
    command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "soak", "--json", *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout.splitlines()[-1])


class Played(unittest.TestCase):
    def test_a_short_soak_with_all_faults_breaks_no_rule(self) -> None:
        code, told = soak("--gateways", "5", "--nodes", "15", "--seconds", "8", "--seed", "7")
        self.assertEqual(
            (code, told["violations"], told["unanswered"], told["crashes"]), (0, {}, 0, []), told
        )
        self.assertEqual(told["counted"], {})
        self.assertGreater(told["answered"], 400)
        self.assertGreater(sum(told["faults"].values()), 20)

    def test_a_guard_that_is_taken_out_is_found(self) -> None:
        planted = {
            "drain": ("drains", "drain"),
            "lost": ("leavers,hangs", "lost"),
            "deadline": ("none", "deadline"),
            "unanswered": ("none", "unanswered"),
            "second_copy": ("hangs", "second_copy"),
            "duplicate": ("resets,hangs", "duplicate"),
        }

        def play(rule: str) -> dict[str, Any]:
            faults = planted[rule][0]
            return soak("--gateways", "6", "--nodes", "6", "--seconds", "9", "--faults", faults,
                        "--requests", "40", "--planted", rule)[1]  # fmt: skip

        with ThreadPoolExecutor(3) as pool:
            runs = {rule: pool.submit(play, rule) for rule in planted}
        for rule, (_, broken) in planted.items():
            with self.subTest(rule):
                told = runs[rule].result()
                self.assertGreater(told["violations"].get(broken, 0), 0, told)
                self.assertIn(broken, told["why"])


class Schedule(unittest.TestCase):
    def test_the_same_seed_gives_the_same_faults_and_another_seed_others(self) -> None:
        options = SoakOptions(seed=3)
        self.assertEqual(draw(options), draw(options))
        self.assertNotEqual(draw(options), draw(SoakOptions(seed=4)))
        self.assertEqual(process_faults(options, 1, 2), process_faults(options, 1, 2))
        drawn = {fault.kind for fault in draw(options)}
        self.assertEqual(drawn | {"syscalls", "clock", "halves"}, set(KINDS))
        self.assertEqual(draw(SoakOptions(faults=())), [])


class Judged(unittest.TestCase):
    """Records that hold, and each with one thing wrong."""

    def records(self) -> tuple[Records, RequestRecord, Arrival]:
        records = Records()
        arrival = Arrival("s-1", "h:1", 100.01, 100.01, 0.99, lambda: False, 100.02, ran=True)
        request = RequestRecord("a", 0, "turn-write", 100.0, 1.0, Ending.SERVED, 100.03, [arrival])
        records.requests["a"] = request
        return records, request, arrival

    def broken(self, change: Callable[[Records, RequestRecord, Arrival], None]) -> dict[str, int]:
        records, request, arrival = self.records()
        change(records, request, arrival)
        return dict(judge(records, {"turn-write": 0.8}).violations)

    def test_each_rule(self) -> None:
        def notice(had_at: float) -> Callable[[Records, RequestRecord, Arrival], None]:
            def change(records: Records, _: RequestRecord, __: Arrival) -> None:
                records.notices[0] = [Notice("s-1", "h:1", had_at, float("inf"), 0.0)]

            return change

        def left(records: Records, request: RequestRecord, arrival: Arrival) -> None:
            request.ending, request.ended_at = Ending.LEFT, 99.9

        def told(records: Records, request: RequestRecord, arrival: Arrival) -> None:
            arrival.told_s = 1.2

        def unanswered(records: Records, request: RequestRecord, arrival: Arrival) -> None:
            request.ending = Ending.SILENT

        def again(at: float, beside: str = "") -> Callable[[Records, RequestRecord, Arrival], None]:
            def change(_: Records, request: RequestRecord, __: Arrival) -> None:
                request.deadline_s = 9.0
                request.arrivals.append(Arrival("s-2", "h:2", at, at, 0.1, lambda: False, beside=beside))

            return change

        self.assertEqual(self.broken(lambda *_: None), {})
        self.assertEqual(self.broken(notice(99.72)), {})
        self.assertEqual(self.broken(notice(99.70)), {"drain": 1})
        self.assertEqual(self.broken(left), {"lost": 1})
        self.assertEqual(self.broken(told), {"deadline": 1})
        self.assertEqual(self.broken(unanswered), {"unanswered": 1})
        self.assertEqual(self.broken(again(100.85)), {})
        self.assertEqual(self.broken(again(100.87)), {"duplicate": 1})
        self.assertEqual(self.broken(again(100.5, "s-1")), {"second_copy": 1})

    def test_what_this_process_timed_late_is_allowed_for(self) -> None:
        records, request, _ = self.records()
        request.ending, request.ended_at = Ending.LEFT, 99.9
        records.lateness.add(100.0, 0.02)
        self.assertEqual(dict(judge(records, {}).violations), {})


if __name__ == "__main__":
    unittest.main()
