"""Fleet-wide limits: the allocation logic without I/O, and the simulation model with faults."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from stackrouter.coord.quota import Allocator, Grant, GrantHolder, QuotaParameters, Report, max_min_fair
from stackrouter.model.limits import LimitsModel, Scene

MS = 1000
TERMS = QuotaParameters(members=3, ttl_us=1000 * MS, max_drift_us=100 * MS)


def report(member: str, want: float, token: int = 1, holding: int = 0, part: float = 0.0) -> Report:
    return Report(member, {"v": want}, token, holding, {"v": part})


class QuotaTest(unittest.TestCase):
    @given(st.floats(0, 1), st.dictionaries(st.text(max_size=3), st.floats(0, 2), max_size=8))
    def test_the_division_is_max_min_fair_and_within_the_total(
        self, total: float, wants: dict[str, float]
    ) -> None:
        """No unsatisfied claimant may have less than another, and nothing remains while demand is unmet."""
        granted = max_min_fair(total, wants)
        self.assertLessEqual(sum(granted.values()), total + 1e-9)
        lowest_unsatisfied = min((granted[m] for m in wants if granted[m] < wants[m] - 1e-9), default=2.0)
        for m, want in wants.items():
            self.assertLessEqual(granted[m], want + 1e-9)
            self.assertLessEqual(granted[m], lowest_unsatisfied + 1e-9)
        self.assertTrue(lowest_unsatisfied == 2.0 or abs(sum(granted.values()) - total) < 1e-6)

    def test_a_part_goes_to_another_member_only_once_it_is_returned_or_has_expired(self) -> None:
        """If granted earlier, the part would be in force twice and the fleet would exceed the limit."""
        allocator = Allocator(TERMS, 1, -TERMS.ttl_us)
        first = allocator.report(report("a", 2.0), 0)
        self.assertAlmostEqual(first.parts["v"], 0.95)
        self.assertEqual(allocator.report(report("b", 2.0), 10 * MS).parts, {})  # everything is allocated
        reduced = allocator.report(report("a", 2.0, holding=first.number), 100 * MS)
        self.assertAlmostEqual(reduced.parts["v"], 0.475)  # b wants the same
        self.assertEqual(allocator.report(report("b", 2.0), 110 * MS).parts, {})  # a may not have received it
        allocator.report(report("a", 2.0, holding=reduced.number), 200 * MS)
        self.assertAlmostEqual(allocator.report(report("b", 2.0), 210 * MS).parts["v"], 0.475)
        # b stops reporting: its part is available once its grant has expired, and not before.
        held = allocator.report(report("a", 2.0, holding=reduced.number + 1), 1200 * MS)
        self.assertAlmostEqual(held.parts["v"], 0.475)
        regained = allocator.report(report("a", 2.0, holding=held.number), 2300 * MS)
        self.assertAlmostEqual(regained.parts["v"], 0.95)

    def test_a_new_allocator_grants_nothing_until_it_knows_its_predecessors_grants(self) -> None:
        allocator = Allocator(TERMS, 2, 0)
        self.assertEqual(allocator.report(report("a", 1.0), 10 * MS).parts, {})
        self.assertEqual(allocator.report(report("b", 0.0, part=0.9, holding=7), 20 * MS).parts, {})
        grant = allocator.report(report("c", 1.0), 30 * MS)  # all three have reported
        self.assertAlmostEqual(grant.parts["v"], 0.05)
        silent = Allocator(TERMS, 3, 0)
        self.assertEqual(silent.report(report("a", 1.0, token=2), 999 * MS).parts, {})
        self.assertAlmostEqual(silent.report(report("a", 1.0, token=3), 1000 * MS).parts["v"], 0.95)

    def test_a_grant_is_valid_from_its_reports_sending_and_a_late_or_older_one_is_ignored(self) -> None:
        holder = GrantHolder(TERMS)
        self.assertAlmostEqual(holder.part("v", 0), 0.05 / 3)
        self.assertTrue(holder.apply_grant(Grant(2, 5, {"v": 0.5}), 0, 100 * MS))
        self.assertAlmostEqual(holder.part("v", 899 * MS), 0.5 + 0.05 / 3)
        self.assertAlmostEqual(holder.part("v", 900 * MS), 0.05 / 3)
        for older in (Grant(1, 9, {"v": 0.9}), Grant(2, 5, {"v": 0.9})):
            self.assertFalse(holder.apply_grant(older, 850 * MS, 860 * MS))
        self.assertFalse(holder.apply_grant(Grant(2, 6, {"v": 0.9}), 0, 900 * MS))
        self.assertEqual(holder.report("a", {}, 900 * MS).parts, {})


class LimitsModelTest(unittest.TestCase):
    @settings(max_examples=8, deadline=None)
    @given(st.integers(0, 1 << 30), st.sampled_from([3, 7]), st.sampled_from([1000, 4000]))
    def test_under_faults_the_sum_of_all_parts_stays_within_the_limit(
        self, seed: int, members: int, swing_ms: int
    ) -> None:
        figures = LimitsModel(Scene(members=members, seed=seed, seconds=6.0, swing_ms=swing_ms)).run()
        self.assertLessEqual(figures.max_parts, 1.0 + 1e-9)
        self.assertEqual(figures.over_bound_windows, 0)

    def test_skewed_demand_uses_nine_tenths_of_the_limit_where_even_parts_use_a_fraction(self) -> None:
        figures = LimitsModel(Scene(members=40, seed=3, seconds=10.0, faults=False)).run()
        self.assertGreaterEqual(figures.use_ratio, 0.9)
        self.assertLess(figures.static_use_ratio, 0.3)

    def test_a_clock_far_beyond_the_drift_bound_is_detected(self) -> None:
        # Shows that the check can fail: a member with a very slow clock keeps a part that others get as well.
        model = LimitsModel(Scene(members=3, seed=7, seconds=8.0, swing_ms=2000, faults=False))
        model.rates = [0.05, 1.0, 1.0]
        model.cuts_at = {3000: (0, 5_000_000)}
        figures = model.run()
        self.assertGreater(figures.max_parts, 1.0)
        self.assertGreater(figures.over_bound_windows, 0)
