"""The parts of the scale run without I/O: its plan, the check of the machine limits, its verdict and its
predictions."""

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
from stackrouter.fleet.scale.limits import MachineLimits, check_limits, needs
from stackrouter.fleet.scale.measure import lateness_p99
from stackrouter.fleet.scale.observation import RealGateway
from stackrouter.fleet.scale.options import CLOCK_DRIFT_RATIO, ScaleOptions, hollow_processes
from stackrouter.fleet.scale.plan import (
    FAULT_KINDS,
    FaultStep,
    ListChange,
    PolicyChange,
    Restart,
    clock_rate,
    draw_plan,
)
from stackrouter.fleet.scale.prediction import QUANTITIES, compare, predict, predict_all
from stackrouter.fleet.scale.reports import EndHollow, RestartGateway, from_line, to_line

S = 1_000_000_000  # nanoseconds
MACHINE = MachineLimits(descriptors=20_000, memory_mib=24_000, free_mib=22_000, outgoing_ports=28_000)


class Plan(unittest.TestCase):
    def test_the_same_options_give_the_same_plan_and_another_seed_a_different_one(self) -> None:
        options = ScaleOptions(faults=True, seconds=60)
        self.assertEqual(draw_plan(options), draw_plan(options))
        self.assertNotEqual(draw_plan(options), draw_plan(replace(options, seed=2)))

    def test_changes_do_not_depend_on_the_size(self) -> None:
        small, large = (draw_plan(ScaleOptions(hollow=n, control=c)) for n, c in ((100, 3), (7800, 8)))
        for kind in (PolicyChange, ListChange):
            self.assertEqual(small.of(kind), large.of(kind))

    def test_changes_and_restarts_have_ten_times_the_stated_rates(self) -> None:
        seconds = 3600.0
        plan = draw_plan(ScaleOptions(hollow=7800, seconds=seconds))
        self.assertAlmostEqual(len(plan.of(PolicyChange)), 42_000 * seconds / 86_400, delta=130)
        self.assertAlmostEqual(len(plan.of(Restart)), 32_000 * seconds / 86_400, delta=120)
        self.assertAlmostEqual(len(plan.of(ListChange)), 320 * seconds / 86_400, delta=12)
        tenth = draw_plan(ScaleOptions(hollow=780, seconds=seconds))
        self.assertAlmostEqual(len(tenth.of(Restart)), 3200 * seconds / 86_400, delta=40)
        self.assertAlmostEqual(len(tenth.of(PolicyChange)), 42_000 * seconds / 86_400, delta=130)

    def test_a_short_run_has_the_minimum_of_changes_and_restarts(self) -> None:
        for seed in range(50):
            plan = draw_plan(ScaleOptions(hollow=20, seconds=2, seed=seed))
            self.assertGreaterEqual(len(plan.of(PolicyChange)), 2)
            self.assertGreaterEqual(len(plan.of(ListChange)), 1)
            self.assertGreaterEqual(len(plan.of(Restart)), 1)
            self.assertEqual(plan.of(FaultStep), [])

    def test_faults_do_not_overlap_and_leave_time_to_settle(self) -> None:
        drawn: Counter[str] = Counter()
        for seed in range(40):
            faults = [s for s in draw_plan(ScaleOptions(seconds=25, faults=True, seed=seed)).steps
                      if isinstance(s, FaultStep)]  # fmt: skip
            drawn.update(fault.kind for fault in faults)
            for before, after in pairwise(faults):
                ended = before.at_us + before.delay_us + before.duration_us
                self.assertGreaterEqual(after.at_us - ended, 1.4 * 2_400_000)
            for fault in faults:
                if fault.kind in ("replica-stop", "region-cut"):
                    self.assertGreater(fault.duration_us, 2_400_000, "must outlast a heartbeat")
        self.assertEqual(set(drawn), set(FAULT_KINDS))

    def test_a_long_run_has_every_kind_of_fault(self) -> None:
        for seed in range(20):
            plan = draw_plan(ScaleOptions(seconds=70, faults=True, seed=seed))
            kinds = [step.kind for step in plan.steps if isinstance(step, FaultStep)]
            self.assertEqual(sorted(kinds), sorted(FAULT_KINDS))

    def test_clock_rates_stay_within_the_drift(self) -> None:
        rng = Random(1)
        rates = [clock_rate(rng, CLOCK_DRIFT_RATIO) for _ in range(1000)]
        self.assertGreaterEqual(min(rates) / max(rates), 1 - CLOCK_DRIFT_RATIO)
        self.assertLess(min(rates) / max(rates), 1 - CLOCK_DRIFT_RATIO * 0.9)


class Limits(unittest.TestCase):
    def test_7800_gateways_are_accepted_and_errors_name_what_to_change(self) -> None:
        options = ScaleOptions(hollow=7800, real=5, control=8, regions=5)
        self.assertLess(check_limits(options, MACHINE).processes, 100)
        for machine, key, change in (
            (replace(MACHINE, descriptors=1024), "descriptors", "ulimit -n"),
            (replace(MACHINE, memory_mib=6000), "memory", "--hollow"),
            (replace(MACHINE, free_mib=2000), "memory", "--hollow"),
            (replace(MACHINE, outgoing_ports=10_000), "ports", "ip_local_port_range"),
        ):
            with self.subTest(key), self.assertRaises(ScaleLimitError) as caught:
                check_limits(options, machine)
            self.assertEqual(caught.exception.key, key)
            self.assertIn(change, str(caught.exception))

    def test_hundreds_of_processes_are_refused(self) -> None:
        with self.assertRaises(ScaleLimitError) as caught:
            check_limits(ScaleOptions(hollow=400, processes=400), MACHINE)
        self.assertIn("--processes", str(caught.exception))

    def test_gateways_beyond_the_capacity_with_one_replica_down_are_refused(self) -> None:
        check_limits(ScaleOptions(hollow=3990, control=3), MACHINE)
        with self.assertRaises(ScaleLimitError) as caught:
            check_limits(ScaleOptions(hollow=4000, control=3), MACHINE)
        self.assertIn("--control", str(caught.exception))

    def test_needs_grow_with_the_number_of_gateways(self) -> None:
        small, large = needs(ScaleOptions(hollow=100)), needs(ScaleOptions(hollow=3000))
        self.assertLess(small.memory_mib, large.memory_mib)
        self.assertLess(small.descriptors, large.descriptors)

    def test_hollow_gateways_are_spread_evenly_over_the_regions(self) -> None:
        self.assertEqual(hollow_processes(ScaleOptions(hollow=100, regions=5)), 5)
        self.assertEqual(hollow_processes(ScaleOptions(hollow=7800, regions=5)) % 5, 0)
        self.assertEqual(hollow_processes(ScaleOptions(processes=7, regions=5)), 7)


class Layouts(unittest.TestCase):
    def test_voters_and_gateways_are_spread_over_the_regions(self) -> None:
        layout = lay_out(ScaleOptions(hollow=1000, real=5, control=8, regions=5))
        voters = [place for place in layout.replicas if place.votes]
        self.assertEqual({place.region for place in voters}, set(layout.regions))
        self.assertEqual([place.votes for place in layout.replicas], [True] * 5 + [False] * 3)
        names = layout.gateways
        self.assertEqual((len(names), len(set(names))), (1005, 1005))
        in_regions = [len(layout.gateways_in(region)) for region in layout.regions]
        self.assertEqual((sum(in_regions), max(in_regions) - min(in_regions)), (1005, 0))

    def test_the_number_of_voters_is_odd_and_at_most_five(self) -> None:
        self.assertEqual([ScaleOptions(control=n).voters for n in (1, 2, 3, 4, 5, 8)], [1, 1, 3, 3, 5, 5])


def valid_history() -> History:
    """A valid history: two gateways, a version submitted at 10 s and in force at both by 14 s, and a list."""
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

    def test_a_valid_history_breaks_no_condition(self) -> None:
        verdict = judge(valid_history(), self.options)
        self.assertEqual(verdict.broken, ())
        self.assertEqual((verdict.changes, verdict.left_behind, verdict.uncommitted_served), (2, 0, 0))
        self.assertEqual(verdict.in_force_ms_max, 4000)
        self.assertEqual(verdict.list_in_force_ms_max, 200)
        self.assertAlmostEqual(verdict.two_versions_ms_max, 700)

    def test_a_run_without_changes_is_broken(self) -> None:
        self.assertIn("changes", judge(History(gateways=["a"]), self.options).broken)

    def test_a_gateway_without_the_newest_version_or_list_is_left_behind(self) -> None:
        for state in (FinalState("b", 0, "", 7), FinalState("b", 1, "d1", 6), FinalState("b", 1, "dx", 7)):
            with self.subTest(state):
                broken = valid_history()
                broken.final[1] = state
                verdict = judge(broken, self.options)
                self.assertEqual((verdict.left_behind, verdict.broken), (1, ("left_behind",)))

    def test_a_gateway_without_a_final_report_is_left_behind(self) -> None:
        broken = valid_history()
        broken.final.pop()
        self.assertEqual(judge(broken, self.options).left_behind, 1)

    def test_serving_uncommitted_content_is_detected(self) -> None:
        broken = valid_history()
        broken.served.append(Served("a", 2, "d2", 20 * S, 21 * S))
        self.assertEqual(judge(broken, self.options).uncommitted_served, 1)
        broken = valid_history()
        broken.served[2] = replace(broken.served[2], digest="dx")
        self.assertEqual(judge(broken, self.options).broken, ("uncommitted_served",))

    def test_serving_a_committed_but_inactive_version_is_detected(self) -> None:
        broken = valid_history()
        broken.active = 0
        self.assertEqual(judge(broken, self.options).uncommitted_served, 2)

    def test_serving_before_the_activation_delay_is_detected(self) -> None:
        broken = valid_history()
        broken.served[2] = replace(broken.served[2], since=10 * S + S // 10)
        self.assertIn("uncommitted_served", judge(broken, self.options).broken)

    def test_a_change_that_is_in_force_late_or_never_is_detected(self) -> None:
        late = valid_history()
        late.taken[1] = replace(late.taken[1], at=17 * S + 1)
        self.assertEqual(judge(late, self.options).broken, ("in_force",))
        never = valid_history()
        del never.taken[1]
        verdict = judge(never, self.options)
        self.assertEqual((verdict.never_in_force, verdict.broken), (1, ("in_force",)))

    def test_time_to_be_in_force_starts_at_the_end_of_an_outage(self) -> None:
        cut = valid_history()
        cut.taken[1] = replace(cut.taken[1], at=24 * S)
        cut.outages.append(Outage("b", 9 * S, 20 * S))
        self.assertEqual(judge(cut, self.options).broken, ())
        cut.outages[0] = Outage("b", 9 * S, 16 * S)
        self.assertEqual(judge(cut, self.options).broken, ("in_force",))
        cut.outages[0] = Outage("a", 9 * S, 20 * S)
        self.assertEqual(judge(cut, self.options).broken, ("in_force",))

    def test_two_versions_served_for_longer_than_a_heartbeat_is_valid_is_detected(self) -> None:
        broken = valid_history()
        broken.served[1] = replace(broken.served[1], until=16 * S)
        self.assertEqual(judge(broken, self.options).broken, ("two_versions",))

    def test_the_bound_with_faults_includes_elections_and_a_change_of_replica(self) -> None:
        self.assertEqual(in_force_bound_ms(self.options), 7000)
        self.assertAlmostEqual(in_force_bound_ms(replace(self.options, faults=True)), 12_600)


class RealGateways(unittest.TestCase):
    def test_a_late_answer_does_not_extend_the_served_interval(self) -> None:
        """On a busy machine an answer arrived 6 s after its request, and the gateway had applied the reported
        version in between. Counting the version as served from the request on reported a false violation: it
        was served before its submission."""
        requested_at, answered_at = 10 * S, 16 * S
        history, gateway = History(), RealGateway("g1", 1, History())
        gateway._history = history
        status = gateway_status(serving=12, since_s=0.5)
        times = iter([requested_at, answered_at, 17 * S, 18 * S])
        with (
            mock.patch("stackrouter.fleet.scale.admin_client.gateway_status", return_value=status),
            mock.patch("time.monotonic_ns", side_effect=lambda: next(times)),
        ):
            gateway.poll()
            gateway.poll()
        gateway.finish()
        self.assertEqual(history.served, [Served("g1", 12, "", answered_at, 17 * S)])
        self.assertEqual(history.taken[0], Taken("g1", "policy", 12, "", answered_at - S // 2))


def gateway_status(serving: int, since_s: float) -> GatewayStatus:
    return GatewayStatus(
        gateway="g1", role="gateway", replica="c1", history="h", position=1, serving=serving, since_s=since_s,
        heartbeat_valid=True, nodes_index=-1, follows=True, bytes_in=0, bytes_out=0, frames_in=0,
        frames_out=0, connections=1, hangups=0,
    )  # fmt: skip


class Lateness(unittest.TestCase):
    def test_percentile_of_the_lateness_histogram(self) -> None:
        self.assertIsNone(lateness_p99(Counter()))
        self.assertEqual(lateness_p99(Counter({0: 98, 5: 1, 40: 1})), 5)
        self.assertEqual(lateness_p99(Counter({0: 97, 5: 1, 40: 2})), 40)


class Predictions(unittest.TestCase):
    def test_a_power_law_and_a_line_are_recovered(self) -> None:
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

    def test_sizes_beyond_the_fit_are_ignored_and_too_few_runs_give_no_prediction(self) -> None:
        measured = {100: 1.0, 300: 1.0, 1000: 1.0, 7800: 99.0}
        found = predict("x", 7800, measured)
        assert found is not None
        self.assertEqual((found.sizes, round(found.by_power, 6)), ((100, 300, 1000), 1.0))
        self.assertIsNone(predict("x", 7800, {100: 1.0, 7800: 99.0}))

    def test_the_error_is_relative_to_the_measured_value(self) -> None:
        found = predict("x", 7800, {100: 2.0, 300: 2.0, 1000: 2.0})
        assert found is not None
        self.assertAlmostEqual(compare(found, 4.0).power_error, -0.5)

    def test_all_quantities_are_predicted_from_runs_of_several_sizes(self) -> None:
        runs = [{"hollow": n, **{name: float(n) for name in QUANTITIES}} for n in (100, 300, 1000)]
        self.assertEqual([p.quantity for p in predict_all(3000, runs)], list(QUANTITIES))


class Reports(unittest.TestCase):
    def test_messages_round_trip_and_other_lines_are_ignored(self) -> None:
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
