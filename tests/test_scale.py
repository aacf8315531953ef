"""The scale run: its plan, its look at the machine and its verdict, which are pure."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from itertools import pairwise
from random import Random
from unittest import mock

from stackrouter.controlplane.status import GatewayStatus
from stackrouter.errors import ScaleLimitError
from stackrouter.fleet.scale.judge import (
    Change,
    FinalState,
    History,
    Outage,
    Served,
    Taken,
    in_force_bound_ms,
    judge,
)
from stackrouter.fleet.scale.layout import lay_out
from stackrouter.fleet.scale.limits import MachineLimits, needs, refuse_beyond
from stackrouter.fleet.scale.measure import lateness_p99
from stackrouter.fleet.scale.observation import RealGateway
from stackrouter.fleet.scale.options import DRIFT_PART, ScaleOptions, hollow_processes
from stackrouter.fleet.scale.plan import (
    KINDS,
    FaultStep,
    ListChange,
    PolicyChange,
    Restart,
    clock_rate,
    draw,
)
from stackrouter.fleet.scale.prediction import QUANTITIES, compare, predict, predict_all
from stackrouter.fleet.scale.reports import EndHollow, RestartGateway, from_line, to_line

S = 1_000_000_000  # nanoseconds
MACHINE = MachineLimits(descriptors=20_000, memory_mib=24_000, free_mib=22_000, outgoing_ports=28_000)


class Plan(unittest.TestCase):
    def test_the_same_options_give_the_same_plan_and_another_seed_another(self) -> None:
        options = ScaleOptions(faults=True, seconds=60)
        self.assertEqual(draw(options), draw(options))
        self.assertNotEqual(draw(options), draw(replace(options, seed=2)))

    def test_the_changes_are_the_same_at_all_sizes(self) -> None:
        small, large = (draw(ScaleOptions(hollow=n, control=c)) for n, c in ((100, 3), (7800, 8)))
        for kind in (PolicyChange, ListChange):
            self.assertEqual(small.of(kind), large.of(kind))

    def test_changes_and_restarts_come_at_ten_times_the_stated_rates(self) -> None:
        seconds = 3600.0
        plan = draw(ScaleOptions(hollow=7800, seconds=seconds))
        self.assertAlmostEqual(len(plan.of(PolicyChange)), 42_000 * seconds / 86_400, delta=130)
        self.assertAlmostEqual(len(plan.of(Restart)), 32_000 * seconds / 86_400, delta=120)
        self.assertAlmostEqual(len(plan.of(ListChange)), 320 * seconds / 86_400, delta=12)
        tenth = draw(ScaleOptions(hollow=780, seconds=seconds))
        self.assertAlmostEqual(len(tenth.of(Restart)), 3200 * seconds / 86_400, delta=40)
        self.assertAlmostEqual(len(tenth.of(PolicyChange)), 42_000 * seconds / 86_400, delta=130)

    def test_a_short_run_has_changes_of_both_kinds_and_a_restart(self) -> None:
        for seed in range(50):
            plan = draw(ScaleOptions(hollow=20, seconds=2, seed=seed))
            self.assertGreaterEqual(len(plan.of(PolicyChange)), 2)
            self.assertGreaterEqual(len(plan.of(ListChange)), 1)
            self.assertGreaterEqual(len(plan.of(Restart)), 1)
            self.assertEqual(plan.of(FaultStep), [])

    def test_faults_come_one_after_the_other_with_time_to_settle(self) -> None:
        drawn: Counter[str] = Counter()
        for seed in range(40):
            faults = [s for s in draw(ScaleOptions(seconds=25, faults=True, seed=seed)).steps
                      if isinstance(s, FaultStep)]  # fmt: skip
            drawn.update(fault.kind for fault in faults)
            for before, after in pairwise(faults):
                ended = before.at_us + before.delay_us + before.for_us
                self.assertGreaterEqual(after.at_us - ended, 1.4 * 2_400_000)
            for fault in faults:
                if fault.kind in ("replica-stop", "region-cut"):
                    self.assertGreater(fault.for_us, 2_400_000, "longer than a heartbeat is valid")
        self.assertEqual(set(drawn), set(KINDS))

    def test_a_long_run_has_each_kind_of_fault(self) -> None:
        for seed in range(20):
            plan = draw(ScaleOptions(seconds=70, faults=True, seed=seed))
            kinds = [step.kind for step in plan.steps if isinstance(step, FaultStep)]
            self.assertEqual(sorted(kinds), sorted(KINDS))

    def test_the_clocks_part_by_the_drift_at_most(self) -> None:
        rng = Random(1)
        rates = [clock_rate(rng, DRIFT_PART) for _ in range(1000)]
        self.assertGreaterEqual(min(rates) / max(rates), 1 - DRIFT_PART)
        self.assertLess(min(rates) / max(rates), 1 - DRIFT_PART * 0.9)


class Limits(unittest.TestCase):
    def test_7800_gateways_are_borne_and_what_is_not_says_what_to_change(self) -> None:
        options = ScaleOptions(hollow=7800, real=5, control=8, regions=5)
        self.assertLess(refuse_beyond(options, MACHINE).processes, 100)
        for machine, place, change in (
            (replace(MACHINE, descriptors=1024), "descriptors", "ulimit -n"),
            (replace(MACHINE, memory_mib=6000), "memory", "--hollow"),
            (replace(MACHINE, free_mib=2000), "memory", "--hollow"),
            (replace(MACHINE, outgoing_ports=10_000), "ports", "ip_local_port_range"),
        ):
            with self.subTest(place), self.assertRaises(ScaleLimitError) as caught:
                refuse_beyond(options, machine)
            self.assertEqual(caught.exception.key, place)
            self.assertIn(change, str(caught.exception))

    def test_hundreds_of_processes_are_refused(self) -> None:
        with self.assertRaises(ScaleLimitError) as caught:
            refuse_beyond(ScaleOptions(hollow=400, processes=400), MACHINE)
        self.assertIn("--processes", str(caught.exception))

    def test_more_gateways_than_the_replicas_take_with_one_gone_are_refused(self) -> None:
        refuse_beyond(ScaleOptions(hollow=3990, control=3), MACHINE)
        with self.assertRaises(ScaleLimitError) as caught:
            refuse_beyond(ScaleOptions(hollow=4000, control=3), MACHINE)
        self.assertIn("--control", str(caught.exception))

    def test_needs_grow_with_the_gateways(self) -> None:
        small, large = needs(ScaleOptions(hollow=100)), needs(ScaleOptions(hollow=3000))
        self.assertLess(small.memory_mib, large.memory_mib)
        self.assertLess(small.descriptors, large.descriptors)

    def test_hollow_gateways_are_spread_evenly_over_the_regions(self) -> None:
        self.assertEqual(hollow_processes(ScaleOptions(hollow=100, regions=5)), 5)
        self.assertEqual(hollow_processes(ScaleOptions(hollow=7800, regions=5)) % 5, 0)
        self.assertEqual(hollow_processes(ScaleOptions(processes=7, regions=5)), 7)


class Layouts(unittest.TestCase):
    def test_voters_are_spread_over_the_regions_and_each_process_is_in_one(self) -> None:
        layout = lay_out(ScaleOptions(hollow=1000, real=5, control=8, regions=5))
        voters = [place for place in layout.replicas if place.votes]
        self.assertEqual({place.region for place in voters}, set(layout.regions))
        self.assertEqual([place.votes for place in layout.replicas], [True] * 5 + [False] * 3)
        names = layout.gateways
        self.assertEqual((len(names), len(set(names))), (1005, 1005))
        in_regions = [len(layout.gateways_in(region)) for region in layout.regions]
        self.assertEqual((sum(in_regions), max(in_regions) - min(in_regions)), (1005, 0))

    def test_an_even_number_of_replicas_has_one_that_does_not_vote(self) -> None:
        self.assertEqual([ScaleOptions(control=n).voters for n in (1, 2, 3, 4, 5, 8)], [1, 1, 3, 3, 5, 5])


def history() -> History:
    """Two gateways, one version handed in at 10 s and in force at both by 14 s, one list."""
    return History(
        gateways=["a", "b"],
        changes=[Change("policy", 1, "d1", 10 * S), Change("list", 7, "", 10 * S)],
        committed={1: "d1"},
        active=1,
        nodes_index=7,
        taken=[
            Taken("a", "policy", 1, "d1", 13 * S + S // 5),
            Taken("b", "policy", 1, "d1", 14 * S),
            Taken("a", "list", 7, "", 10 * S + S // 10),
            Taken("b", "list", 7, "", 10 * S + S // 5),
        ],
        served=[
            Served("a", 0, "", 5 * S, 13 * S + S // 10),
            Served("b", 0, "", 5 * S, 13 * S + 9 * S // 10),
            Served("a", 1, "d1", 13 * S + S // 5, 20 * S),
            Served("b", 1, "d1", 14 * S, 20 * S),
        ],
        final=[FinalState("a", 1, "d1", 7), FinalState("b", 1, "d1", 7)],
    )


class Judge(unittest.TestCase):
    options = ScaleOptions()

    def test_a_history_that_holds(self) -> None:
        verdict = judge(history(), self.options)
        self.assertEqual(verdict.broken, ())
        self.assertEqual((verdict.changes, verdict.left_behind, verdict.uncommitted_served), (2, 0, 0))
        self.assertEqual(verdict.in_force_ms_max, 4000)
        self.assertEqual(verdict.list_in_force_ms_max, 200)
        self.assertAlmostEqual(verdict.two_versions_ms_max, 700)

    def test_no_change_is_no_run(self) -> None:
        self.assertIn("changes", judge(History(gateways=["a"]), self.options).broken)

    def test_a_gateway_that_has_not_the_newest_version_is_left_behind(self) -> None:
        for state in (FinalState("b", 0, "", 7), FinalState("b", 1, "d1", 6), FinalState("b", 1, "dx", 7)):
            with self.subTest(state):
                broken = history()
                broken.final[1] = state
                verdict = judge(broken, self.options)
                self.assertEqual((verdict.left_behind, verdict.broken), (1, ("left_behind",)))

    def test_a_gateway_that_says_nothing_is_left_behind(self) -> None:
        broken = history()
        broken.final.pop()
        self.assertEqual(judge(broken, self.options).left_behind, 1)

    def test_a_version_that_nobody_committed(self) -> None:
        broken = history()
        broken.served.append(Served("a", 2, "d2", 20 * S, 21 * S))
        self.assertEqual(judge(broken, self.options).uncommitted_served, 1)
        broken = history()
        broken.served[2] = replace(broken.served[2], digest="dx")
        self.assertEqual(judge(broken, self.options).broken, ("uncommitted_served",))

    def test_a_version_that_is_committed_and_not_active(self) -> None:
        broken = history()
        broken.active = 0
        self.assertEqual(judge(broken, self.options).uncommitted_served, 2)

    def test_a_version_served_before_its_delay_is_over(self) -> None:
        broken = history()
        broken.served[2] = replace(broken.served[2], since=10 * S + S // 10)
        self.assertIn("uncommitted_served", judge(broken, self.options).broken)

    def test_a_change_that_takes_too_long_or_never_comes(self) -> None:
        late = history()
        late.taken[1] = replace(late.taken[1], at=17 * S + 1)
        self.assertEqual(judge(late, self.options).broken, ("in_force",))
        never = history()
        del never.taken[1]
        verdict = judge(never, self.options)
        self.assertEqual((verdict.never_in_force, verdict.broken), (1, ("in_force",)))

    def test_who_could_not_be_reached_counts_from_the_end_of_that(self) -> None:
        cut = history()
        cut.taken[1] = replace(cut.taken[1], at=24 * S)
        cut.outages.append(Outage("b", 9 * S, 20 * S))
        self.assertEqual(judge(cut, self.options).broken, ())
        cut.outages[0] = Outage("b", 9 * S, 16 * S)
        self.assertEqual(judge(cut, self.options).broken, ("in_force",))
        cut.outages[0] = Outage("a", 9 * S, 20 * S)
        self.assertEqual(judge(cut, self.options).broken, ("in_force",))

    def test_two_versions_at_once_for_longer_than_a_heartbeat_is_valid(self) -> None:
        broken = history()
        broken.served[1] = replace(broken.served[1], until=16 * S)
        self.assertEqual(judge(broken, self.options).broken, ("two_versions",))

    def test_with_faults_the_bound_has_an_election_and_a_change_of_replicas_in_it(self) -> None:
        self.assertEqual(in_force_bound_ms(self.options), 7000)
        self.assertAlmostEqual(in_force_bound_ms(replace(self.options, faults=True)), 12_600)


class RealGateways(unittest.TestCase):
    def test_a_late_answer_makes_no_gateway_serve_before_it_was_seen_to(self) -> None:
        """On a busy machine an answer came 6 s after its question, and the version it told of had been taken
        in between: it counted as served from the question on, before it was handed in."""
        asked, answered = 10 * S, 16 * S
        history, gateway = History(), RealGateway("g1", 1, History())
        gateway._history = history
        status = gateway_status(serving=12, since_s=0.5)
        times = iter([asked, answered, 17 * S, 18 * S])
        with (
            mock.patch("stackrouter.fleet.scale.doors.gateway_status", return_value=status),
            mock.patch("time.monotonic_ns", side_effect=lambda: next(times)),
        ):
            gateway.look()
            gateway.look()
        gateway.end()
        self.assertEqual(history.served, [Served("g1", 12, "", answered, 17 * S)])
        self.assertEqual(history.taken[0], Taken("g1", "policy", 12, "", answered - S // 2))


def gateway_status(serving: int, since_s: float) -> GatewayStatus:
    return GatewayStatus(
        gateway="g1", role="gateway", replica="c1", history="h", position=1, serving=serving, since_s=since_s,
        heartbeat_valid=True, nodes_index=-1, follows=True, bytes_in=0, bytes_out=0, frames_in=0,
        frames_out=0, connections=1, hangups=0,
    )  # fmt: skip


class Lateness(unittest.TestCase):
    def test_the_percentile_is_over_all_wakes(self) -> None:
        self.assertIsNone(lateness_p99(Counter()))
        self.assertEqual(lateness_p99(Counter({0: 98, 5: 1, 40: 1})), 5)
        self.assertEqual(lateness_p99(Counter({0: 97, 5: 1, 40: 2})), 40)


class Predictions(unittest.TestCase):
    def test_a_power_and_a_line_are_found_again(self) -> None:
        for name, measured in (
            ("power", {n: 3.0 * n**0.8 for n in (100, 300, 1000, 3000)}),
            ("line", {n: 50 + 0.02 * n for n in (100, 300, 1000, 3000)}),
        ):
            with self.subTest(name):
                found = predict("x", 7800, measured)
                assert found is not None
                if name == "power":
                    self.assertAlmostEqual(found.exponent, 0.8)
                    self.assertAlmostEqual(found.by_power, 3.0 * 7800**0.8)
                else:
                    self.assertAlmostEqual(found.slope, 0.02)
                    self.assertAlmostEqual(found.by_line, 206)

    def test_sizes_beyond_the_fit_and_too_few_runs_do_not_count(self) -> None:
        measured = {100: 1.0, 300: 1.0, 1000: 1.0, 7800: 99.0}
        found = predict("x", 7800, measured)
        assert found is not None
        self.assertEqual((found.sizes, round(found.by_power, 6)), ((100, 300, 1000), 1.0))
        self.assertIsNone(predict("x", 7800, {100: 1.0, 7800: 99.0}))

    def test_the_error_is_a_part_of_what_was_measured(self) -> None:
        found = predict("x", 7800, {100: 2.0, 300: 2.0, 1000: 2.0})
        assert found is not None
        self.assertAlmostEqual(compare(found, 4.0).power_error, -0.5)

    def test_all_quantities_are_predicted_from_runs_of_several_sizes(self) -> None:
        runs = [{"hollow": n, **{name: float(n) for name in QUANTITIES}} for n in (100, 300, 1000)]
        self.assertEqual([p.quantity for p in predict_all(3000, runs)], list(QUANTITIES))


class Reports(unittest.TestCase):
    def test_a_line_is_read_as_it_was_written_and_others_are_passed_over(self) -> None:
        for message in (Taken("h1", "list", 7, "", 12), RestartGateway("h1"), EndHollow()):
            self.assertEqual(from_line(to_line(message)), message)
        for line in (
            "",
            "[]",
            "Traceback",
            '{"type":"Taken"}',
            '{"type":"Other"}',
            to_line(EndHollow())[:-1],
        ):
            self.assertIsNone(from_line(line), line)
