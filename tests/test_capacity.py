"""Tests of the capacity page: fits, estimates, models and figures derived from the committed measurements."""

from __future__ import annotations

import json
import random
import re
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from stackrouter.capacity import slopes, targets
from stackrouter.capacity.estimate import (
    Estimate,
    estimate_at,
    estimate_by_slope,
    estimate_from_runs,
    format_number,
    predictions,
)
from stackrouter.capacity.even_parts import LIMITED, SETTINGS, max_gateways, simulate_request
from stackrouter.capacity.events import delivery_s, quorums
from stackrouter.capacity.fit import Shape, fit
from stackrouter.capacity.handoff import primary_change_time
from stackrouter.capacity.load import LIMITS, RULES
from stackrouter.capacity.measure.plan import MEASUREMENTS, find_measurement
from stackrouter.capacity.measure.run import measure
from stackrouter.capacity.page import FULL_MESH, SCALE, SLOPES, render
from stackrouter.capacity.parts import cold_turns
from stackrouter.capacity.reuse import IDLE_REUSE_FRACTION, expected_share, simulate
from stackrouter.capacity.rows import BUILT, NOT_MEASURED, estimate_at_target, row
from stackrouter.capacity.scale import (
    ScaleRun,
    ScaleRuns,
    group_runs,
    read_full_mesh,
    read_scale,
    without_faults,
)
from stackrouter.capacity.slopes import Machine, Point, Series, Slopes
from stackrouter.edge.config import Control
from stackrouter.errors import CapacityFileError, MeasureError
from stackrouter.net import pool
from tests import gateway as hand_driven

ROOT = Path(__file__).parent.parent
FOLDER = ROOT / "docs/capacity"
PAGE = ROOT / "docs/CAPACITY.md"
SIZES = (60.0, 1_000.0, 4_000.0, 17_000.0)


def series(name: str, law: Callable[[float], float], sizes: tuple[float, ...] = SIZES) -> Series:
    points = tuple(Point(size, (law(size) * 0.9, law(size), law(size) * 1.2)) for size in sizes)
    return Series(name, "gateway", "something", "ms", "nodes", points, {"process": "none", "gateways": 3})


def measured(*all_series: Series) -> Slopes:
    return Slopes(Machine(8, "3.11.9", "Linux", "abc", "2026-12-02 05:00 UTC"), all_series)


def scale_run(hollow: int, **figures: Any) -> ScaleRun:
    """A run whose figures grow linearly with the gateways, except for the figures given."""
    gateways = hollow + 5
    line = {
        "real": 5, "control": 8, "changes": 10, "left_behind": 0, "uncommitted_served": 0,
        "two_versions_ms_max": 40.0, "gateway_cpu_ms_s": 6.0, "gateway_rss_mib": 30.0,
        "gateway_bytes_s": 300.0, "control_cpu_ms_s": 20 + gateways * 0.05, "control_rss_mib": 60.0,
        "control_bytes_s": gateways * 40.0, "log_entries_s": 50.0, "snapshots": 3, "faults": 0,
        "in_force_ms_p99": 3_100 + gateways * 0.1, "in_force_ms_max": 3_300 + gateways * 0.2,
        "list_in_force_ms_max": 200 + gateways * 0.1,
    }  # fmt: skip
    return ScaleRun(hollow=hollow, **(line | figures))


class Fits(unittest.TestCase):
    def test_a_line_is_fitted_exactly(self) -> None:
        found = fit(SIZES, [3 + 0.5 * x for x in SIZES])
        self.assertAlmostEqual(found.intercept, 3, places=6)
        self.assertAlmostEqual(found.slope, 0.5, places=9)
        self.assertAlmostEqual(found.residual, 0, places=6)
        self.assertAlmostEqual(found.holdout_error, 0, places=9)
        self.assertIs(found.shape, Shape.LINE)
        self.assertAlmostEqual(found.at(34_000), 17_003, places=4)

    def test_a_power_law_is_fitted_with_its_exponent_and_not_classified_as_a_line(self) -> None:
        found = fit(SIZES, [0.002 * x**1.5 for x in SIZES])
        assert found.exponent is not None and found.factor is not None
        self.assertAlmostEqual(found.exponent, 1.5, places=9)
        self.assertAlmostEqual(found.factor, 0.002, places=9)
        self.assertIs(found.shape, Shape.STEEPER)
        self.assertAlmostEqual(found.at(34_000), 0.002 * 34_000**1.5, places=3)
        self.assertIs(fit(SIZES, [x**0.4 for x in SIZES]).shape, Shape.FLATTER)

    def test_a_series_that_hardly_rises_is_flat_and_one_with_a_zero_has_no_exponent(self) -> None:
        self.assertIs(fit(SIZES, [50.0, 50.5, 49.8, 50.9]).shape, Shape.FLAT)
        self.assertIsNone(fit(SIZES, [0.0, 1.0, 2.0, 3.0]).exponent)

    def test_a_falling_series_is_not_extrapolated_downwards(self) -> None:
        """Guards against negative estimates: a line through 317, 299 and 212 ms at 105, 305 and 1,005
        gateways gives -591 ms for 7,800."""
        found = fit([105, 305, 1_005], [316.6, 298.9, 212.0])
        self.assertIs(found.shape, Shape.FALLS)
        self.assertEqual(found.at(7_800), 316.6)

    def test_the_residual_is_the_root_mean_square_distance(self) -> None:
        found = fit([1, 2, 3, 4], [1.0, 3.0, 1.0, 3.0])
        self.assertAlmostEqual(found.slope, 0.4)
        self.assertAlmostEqual(found.intercept, 1.0)
        self.assertAlmostEqual(found.residual, ((0.4**2 + 1.2**2 + 1.2**2 + 0.4**2) / 4) ** 0.5)

    def test_the_order_of_sizes_does_not_matter(self) -> None:
        pairs = list(zip(SIZES, (1.0, 2.0, 9.0, 30.0), strict=True))
        found = fit(*zip(*pairs, strict=True))
        random.Random(1).shuffle(pairs)
        self.assertEqual(fit(*zip(*pairs, strict=True)), found)


class Files(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_series_are_read_as_they_were_written(self) -> None:
        written = measured(series("a", lambda x: x), series("b", lambda x: 2 * x))
        slopes.write(self.folder / "new" / "slopes.json", written)
        self.assertEqual(slopes.read(self.folder / "new" / "slopes.json"), written)

    def test_series_of_another_commit_are_not_merged(self) -> None:
        file = self.folder / "slopes.json"
        slopes.write(file, measured(series("a", lambda x: x), series("b", lambda x: x)))
        newer = measured(series("b", lambda x: 3 * x))
        together = slopes.merge_with_file(file, newer)
        self.assertEqual([one.name for one in together.series], ["a", "b"])
        self.assertEqual(together.find_series("b"), newer.find_series("b"))
        with self.assertRaises(CapacityFileError) as caught:
            slopes.merge_with_file(file, replace(newer, machine=replace(newer.machine, commit="def")))
        self.assertEqual(caught.exception.key, "machine.commit")

    def test_an_invalid_file_is_reported_with_its_key(self) -> None:
        file = self.folder / "slopes.json"
        slopes.write(file, measured(series("a", lambda x: x)))
        good = json.loads(file.read_text())

        def wrong(key: str, change: Callable[[Any], Any]) -> None:
            value = json.loads(json.dumps(good))
            change(value)
            file.write_text(json.dumps(value))
            with self.assertRaises(CapacityFileError, msg=key) as caught:
                slopes.read(file)
            self.assertEqual((caught.exception.file, caught.exception.key), (str(file), key))

        wrong("series.0.points", lambda v: v["series"][0]["points"].pop())  # three sizes are too few
        wrong("series.0.points.0.values", lambda v: v["series"][0]["points"][0].update(values=[]))
        wrong("series.0.points.1.size", lambda v: v["series"][0]["points"][1].update(size=0))
        wrong("series.0.unit", lambda v: v["series"][0].pop("unit"))
        wrong("machine.cores", lambda v: v["machine"].update(cores="many"))
        wrong("a", lambda v: v["series"].append(v["series"][0]))
        file.write_text("{")
        with self.assertRaises(CapacityFileError):
            slopes.read(file)
        with self.assertRaises(CapacityFileError):
            slopes.read(self.folder / "none.json")

    def test_failed_runs_and_predictions_are_separated_from_runs(self) -> None:
        run = {**asdict(scale_run(300)), "further": 1}
        seeds = [
            {**run, "purpose": "seeds", "seed": 2, "faults": 4, "ok": False, "broken": ["left_behind"]},
            run,
        ]
        failed = {"command": "stackrouter fleet scale", "failed": "did not start"}
        (self.folder / SCALE).write_text(json.dumps([run, {"predicted": {}}, failed, *seeds]))
        read = read_scale(self.folder / SCALE)
        self.assertEqual([one.hollow for one in read.runs], [300, 300, 300])
        self.assertEqual([one.failed for one in read.failed], ["did not start"])
        self.assertEqual(len(without_faults(read.runs)), 1)
        (group,) = group_runs(read.runs)
        self.assertEqual((group.purpose, group.runs, group.faults), ("seeds", 1, 4))
        self.assertEqual(group.not_held, ("seed 2: left_behind",))

    def test_missing_files_mean_no_runs_and_invalid_runs_are_reported_with_their_key(self) -> None:
        self.assertEqual(read_scale(self.folder / SCALE), ScaleRuns())
        self.assertEqual(read_full_mesh(self.folder / FULL_MESH), ())
        (self.folder / SCALE).write_text('[{"hollow": -1}]')
        with self.assertRaises(CapacityFileError) as caught:
            read_scale(self.folder / SCALE)
        self.assertRegex(caught.exception.key, r"^0\.")


class Estimates(unittest.TestCase):
    def test_a_measured_size_is_reported_as_measured(self) -> None:
        estimate = estimate_at(measured(series("a", lambda x: 3 + 0.5 * x)), "a", 17_000)
        assert estimate is not None
        self.assertEqual((estimate.value, estimate.factor), (8_503.0, 1.0))
        self.assertIn("measured", estimate.source)

    def test_beyond_the_measured_sizes_the_fit_is_used_with_its_extrapolation_factor(self) -> None:
        data = measured(series("a", lambda x: 3 + 0.5 * x))
        estimate = estimate_at(data, "a", 34_000)
        assert estimate is not None
        self.assertAlmostEqual(estimate.value, 17_003)
        self.assertEqual(estimate.factor, 2.0)
        self.assertIn("line 3 + 0.5 n", estimate.source)
        added = estimate_by_slope(data, "a", 100)
        assert added is not None
        self.assertAlmostEqual(added.value, 50)

    def test_a_row_without_an_estimate_says_not_measured_and_is_never_over_budget(self) -> None:
        self.assertIsNone(estimate_at(measured(series("a", lambda x: x)), "b", 1))
        unmeasured = row("x", None, "ms", BUILT, budget=1.0)
        self.assertEqual((unmeasured.figure, unmeasured.over), (NOT_MEASURED, False))

    def test_a_row_is_over_budget_only_above_its_budget(self) -> None:
        self.assertFalse(row("x", Estimate(13.0, ""), "ms/s", BUILT, budget=13.0).over)
        self.assertTrue(row("x", Estimate(13.1, ""), "ms/s", BUILT, budget=13.0).over)

    def test_numbers_have_three_significant_digits(self) -> None:
        texts = [format_number(v) for v in (0, 0.00123, 0.0123, 0.5, 1.234, 12.34, 123.4, 12_345, -7.5, 20.0)]
        self.assertEqual(
            texts, ["0", "0.0012", "0.012", "0.5", "1.23", "12.3", "123", "12,345", "-7.5", "20"]
        )

    def test_larger_runs_are_predicted_from_the_smaller_ones(self) -> None:
        runs = [scale_run(hollow) for hollow in (100, 300, 1_000, 3_000)]
        self.assertEqual(predictions(runs), [])
        found = estimate_at_target(runs, lambda run: run.control_cpu_ms_s)
        assert found is not None
        self.assertAlmostEqual(found.value, 20 + targets.GATEWAYS * 0.05)
        self.assertAlmostEqual(found.factor or 0, targets.GATEWAYS / 3_005)
        runs.append(scale_run(7_800, control_cpu_ms_s=820.5))
        predicted = {p.what: p for p in predictions(runs)}
        self.assertAlmostEqual(predicted["a replica's CPU"].predicted, 20 + 7_805 * 0.05)
        self.assertAlmostEqual(predicted["a replica's CPU"].error, (410.25 - 820.5) / 820.5)
        self.assertAlmostEqual(predicted["log entries"].error, 0)
        found = estimate_at_target(runs, lambda run: run.control_cpu_ms_s)
        assert found is not None
        self.assertEqual(found.value, 820.5, "a figure measured at the size takes precedence over the fit")

    def test_runs_with_faults_or_other_replicas_are_not_in_the_fit(self) -> None:
        runs = [scale_run(hollow) for hollow in (100, 300, 1_000)]
        excluded = [
            scale_run(3_000, faults=5, log_entries_s=900.0),
            scale_run(3_000, control=3, log_entries_s=9.0),
        ]
        found = estimate_from_runs([*runs, *excluded], lambda run: run.log_entries_s, 7_800, 8)
        assert found is not None
        self.assertAlmostEqual(found.value, 50.0)
        self.assertIsNone(
            estimate_from_runs(runs[:2], lambda run: run.log_entries_s, 7_800, 8),
            "two runs are too few for a line",
        )


class Models(unittest.TestCase):
    def test_the_model_of_kept_connections_has_the_idle_time_of_the_pool(self) -> None:
        self.assertEqual(IDLE_REUSE_FRACTION, pool.IDLE_REUSE_FRACTION)

    def test_the_simulated_share_of_kept_connections_matches_the_formula(self) -> None:
        for rate_s in (0.02, 0.083, 0.5):
            reuse = simulate(rate_s, 0.02, 15.0, 20_000, seed=5)
            self.assertAlmostEqual(reuse.share, expected_share(rate_s, 0.02, 15.0), delta=0.015)
        one = simulate(0.083, 0.02, 15.0, 20_000, seed=5)
        self.assertAlmostEqual(one.held, 1 - 2.718281828 ** (-0.083 * 6), delta=0.02)

    def test_attempts_at_a_busy_node_nearly_always_find_a_kept_connection(self) -> None:
        self.assertGreater(simulate(100.0, 0.02, 15.0, 20_000, seed=5).share, 0.99)
        self.assertEqual(simulate(1.0, 0.02, 0.0, 1_000, seed=5).share, 0.0)

    def test_even_parts_are_simulated_with_the_settings_of_the_decision_modules_tests(self) -> None:
        module_settings = hand_driven.SETTINGS
        self.assertEqual(
            replace(SETTINGS, classes=module_settings.classes, plans=module_settings.plans), module_settings
        )
        self.assertEqual(LIMITED, hand_driven.LIMITED)
        self.assertIn(SETTINGS.classes[0], module_settings.classes)

    def test_requests_of_a_volume_spread_over_too_many_gateways_are_never_sent(self) -> None:
        """A request is sent if its units fit an even part of burst and tolerance: (40 + 8) / gateways."""
        for units in (2.0, 8.0):
            maximum = max_gateways(units, targets.GATEWAYS)
            self.assertEqual(maximum, int(48 / units))
            self.assertTrue(simulate_request(maximum, units).sent)
            self.assertFalse(simulate_request(maximum + 1, units).sent)
        self.assertFalse(simulate_request(targets.GATEWAYS, 2.0).sent)

    def test_turns_at_a_cold_node_are_the_integral_of_their_rate(self) -> None:
        by_steps = sum(4.0 * (1 + 0.4 * (step + 0.5) / 1000) / 1000 for step in range(10_000))
        self.assertAlmostEqual(cold_turns(), by_steps, places=6)

    def test_defaults_on_the_page_equal_the_defaults_of_the_configuration(self) -> None:
        control = Control()
        self.assertEqual((RULES.validity_us, RULES.max_drift_us),
                         (1000 * control.touch_ms, 1000 * control.max_drift_ms))  # fmt: skip
        limits = control.limits
        self.assertEqual(LIMITS.most_gateways, limits.gateways)
        self.assertEqual(LIMITS.max_snapshot_transfers, limits.snapshots)
        self.assertEqual(LIMITS.snapshot_bytes_s, 1024 * limits.snapshot_kb_s)
        self.assertEqual(LIMITS.barrier_interval_us, 1000 * limits.barrier_interval_ms)
        self.assertEqual(LIMITS.max_queued_bytes, 1024 * limits.queued_kb)
        self.assertEqual(LIMITS.max_log_bytes, 1024 * limits.deltas_kb)

    def test_two_lost_regions_leave_a_quorum_and_capacity_for_all_gateways(self) -> None:
        lost = {one.regions_lost: one for one in quorums()}
        self.assertEqual([lost[n].quorum for n in range(4)], [True, True, True, False])
        for one in lost.values():
            maximum = int(one.gateways_a_replica.split()[-1].replace(",", ""))
            self.assertLessEqual(maximum, LIMITS.most_gateways)


class Measuring(unittest.TestCase):
    def test_every_quantity_has_a_unique_name_and_at_least_four_sizes(self) -> None:
        names = [quantity.name for m in MEASUREMENTS for quantity in m.quantities]
        self.assertEqual(len(set(names)), len(names))
        for measurement in MEASUREMENTS:
            self.assertGreaterEqual(len(set(measurement.sizes)), slopes.MIN_FIT_SIZES, measurement.name)

    def test_a_run_returns_all_series_of_a_measurement_with_every_raw_value(self) -> None:
        progress: list[float] = []
        one = replace(find_measurement("reuse by rate"), sizes=(1_410, 4_700, 14_100, 47_000))
        result = measure([one], progress.append)
        self.assertEqual(progress[-1], 1.0)
        found = result.find_series("node.reuse.share_rate")
        assert found is not None
        self.assertEqual((found.sizes, {len(p.values) for p in found.points}), (one.sizes, {1}))
        share = found.at(1_410)
        assert share is not None
        self.assertAlmostEqual(share, 100 * expected_share(1_410 / targets.NODES, 0.02, 15.0), delta=2.0)

    def test_a_failing_point_is_reported_by_name_without_any_series(self) -> None:
        with self.assertRaises(MeasureError) as caught:
            measure([replace(find_measurement("reuse by rate"), sizes=(0,))], lambda _: None)
        self.assertEqual(caught.exception.key, "reuse by rate at 0")

    def test_the_command_rejects_an_unknown_measurement(self) -> None:
        from stackrouter.cli.main import app
        from stackrouter.errors import OptionError

        done = CliRunner().invoke(app, ["bench", "capacity", "--only", "nothing"])
        self.assertIsInstance(done.exception, OptionError)


class Page(unittest.TestCase):
    """The page always matches the measurements."""

    def test_the_page_equals_the_page_generated_from_the_committed_files(self) -> None:
        self.assertEqual(
            PAGE.read_text(encoding="utf-8"), render(FOLDER), "run `stackrouter bench capacity-page`"
        )

    def test_figures_of_the_page_match_the_raw_values(self) -> None:
        """Recomputed here from the raw values, independently of the code that generates the page."""
        raw = {s["name"]: s for s in json.loads((FOLDER / SLOPES).read_text())["series"]}
        page = PAGE.read_text(encoding="utf-8")

        def median(name: str, size: float) -> float:
            values = sorted(next(p["values"] for p in raw[name]["points"] if p["size"] == size))
            half = len(values) // 2
            return float(values[half] if len(values) % 2 else (values[half - 1] + values[half]) / 2)

        def figure(what: str) -> str:
            found = re.search(rf"^\| {re.escape(what)} \| \**([0-9.,]+)", page, re.M)
            assert found is not None, what
            return found[1]

        listed_kib = median("gateway.list.bytes", 17_000)
        self.assertEqual(figure("the whole list as discovery's JSON"), format_number(listed_kib))
        self.assertEqual(figure("the same as seconds of the budget"), format_number(listed_kib / 16))
        change_ms = median("gateway.list.change_cpu", 17_000)
        self.assertEqual(figure("one changed entry"), format_number(change_ms))
        zone = "a lost zone, 1,545 entries told one by one"
        self.assertEqual(figure(zone), format_number(change_ms * 17_000 / 11))
        kept = median("node.reuse.share_nodes", 17_000) / 100
        self.assertEqual(figure("new connections to nodes"), format_number(11e6 / 7_800 * (1 - kept)))
        self.assertEqual(figure("new connections"), format_number(11e6 / 17_000 * (1 - kept)))
        snapshot_kib = median("replica.snapshot.bytes", 17_000)
        settled = re.search(r"^\| all gateways restarted .*\| ([0-9.]+) s after the last", page, re.M)
        assert settled is not None
        self.assertEqual(settled[1], format_number(975 * snapshot_kib / (16 * 1024)))

    def test_a_changed_measurement_changes_the_page(self) -> None:
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            text = (FOLDER / SLOPES).read_text()
            value = json.loads(text)
            for one in value["series"]:
                if one["name"] == "gateway.list.change_cpu":
                    one["points"][-1]["values"] = [2 * v for v in one["points"][-1]["values"]]
            (folder / SLOPES).write_text(json.dumps(value))
            doubled = render(folder)
            (folder / SLOPES).write_text(text)
            self.assertNotEqual(doubled, render(folder))

    def test_without_scale_runs_their_figures_are_not_measured(self) -> None:
        with tempfile.TemporaryDirectory() as scratch:
            slopes.write(Path(scratch) / SLOPES, measured(series("gateway.list.bytes", lambda x: x)))
            page = render(Path(scratch))
        self.assertIn("Not measured: `docs/capacity/scale.json` is not there.", page)
        self.assertIn(f"| one changed entry | {NOT_MEASURED} |", page)
        self.assertIn(f"| whole process, CPU | {NOT_MEASURED} | 1,000 ms/s |", page)

    def test_snapshot_delivery_takes_the_bytes_divided_by_the_replicas_rate(self) -> None:
        self.assertIsNone(delivery_s(None, 1, 1))
        whole = delivery_s(Estimate(1024.0, ""), 32 * targets.REPLICAS, targets.REPLICAS)
        self.assertAlmostEqual(whole or 0.0, 2.0)

    def test_the_time_of_a_change_of_primary_is_the_sum_of_its_steps(self) -> None:
        runs = [scale_run(hollow, list_in_force_ms_p99=300.0) for hollow in (100, 300, 1_000, 7_800)]
        total = primary_change_time(runs)
        self.assertAlmostEqual(total.total.p99_ms or 0.0, 1_524 + 300)
        self.assertAlmostEqual(total.total.longest_ms or 0.0, 2_004 + 200 + 7_805 * 0.1)
        self.assertTrue(total.over, "the 14 s of issue 32 alone exceed 9 s")
        self.assertIsNone(primary_change_time([]).total.longest_ms)


if __name__ == "__main__":
    unittest.main()
