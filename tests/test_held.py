"""Requests that the decision module cannot send: how long it holds them, and retries by their clients."""

from __future__ import annotations

import unittest

from rackseam.interface import Outcome, Refuse
from tests.gateway import LIMITED_PLAN, MS, Gateway


class Held(unittest.TestCase):
    def test_a_request_never_sent_is_refused_at_its_aim_or_before_half_of_its_time(self) -> None:
        for grace_ms, held_ms in ((2_000, 400), (600, 288)):
            gateway = Gateway()
            gateway.arrive(shard=9, name="a", time_left_us=grace_ms * MS)
            gateway.wait((held_ms - 1) * MS)
            self.assertEqual(gateway.final_answers("a"), [])
            gateway.wait(2 * MS)
            self.assertEqual(gateway.final_answers("a"), [Refuse("a", 0)])

    def test_a_retry_past_the_aim_of_its_first_try_is_sent_at_once_or_refused(self) -> None:
        gateway = Gateway()
        gateway.arrive(shard=9, key="p", name="first", time_left_us=2_000 * MS)
        gateway.wait(500 * MS)
        self.assertEqual(gateway.final_answers("first"), [Refuse("first", 0)])
        gateway.arrive(shard=9, key="p", name="next", time_left_us=1_495 * MS)
        gateway.arrive(shard=9, key="q", name="other", time_left_us=1_495 * MS)
        gateway.wait(2 * MS)
        self.assertEqual(
            (gateway.final_answers("next"), gateway.final_answers("other")), ([Refuse("next", 0)], [])
        )

    def test_a_request_with_a_short_deadline_is_not_taken_for_a_retry(self) -> None:
        gateway = Gateway()
        for i in range(8):  # fills the node
            gateway.arrive(name=f"first{i}")
        gateway.arrive(name="short", key="p", time_left_us=100 * MS)
        gateway.wait(20 * MS)
        gateway.answer("first0")
        self.assertEqual(gateway.sends()[-1].request, "short")

    def test_unserved_requests_are_remembered_until_their_deadline_only(self) -> None:
        gateway = Gateway()
        for i in range(200):
            gateway.arrive(shard=9, key=f"p{i}", time_left_us=2_000 * MS)
            gateway.wait(50 * MS)
        self.assertLess(len(gateway.controller.expected_retries), 50)
        gateway.wait(3_000 * MS)
        gateway.arrive(key="p")
        self.assertFalse(gateway.controller.expected_retries or gateway.controller.retry_expiries)

    def test_an_attempt_in_flight_at_half_of_the_time_is_waited_for(self) -> None:
        for outcome, finals in ((Outcome.CONNECT_FAILED, [Refuse("a", 0)]), (Outcome.FULL, [])):
            gateway = Gateway()
            gateway.arrive(name="a", time_left_us=2_000 * MS)
            gateway.wait(999 * MS)
            gateway.answer("a", outcome)
            self.assertEqual(gateway.final_answers("a"), finals)

    def test_a_retry_does_not_take_capacity_from_requests_that_can_be_in_time(self) -> None:
        gateway = Gateway()
        gateway.arrive(shard=9, key="p", time_left_us=1_000 * MS)
        gateway.wait(410 * MS)  # refused
        for i in range(8):  # fills the node
            gateway.arrive(name=f"first{i}")
        self.assertEqual(len(gateway.sends()), 4)
        gateway.arrive(key="p", name="next", time_left_us=590 * MS)
        gateway.wait(2 * MS)
        self.assertEqual(gateway.final_answers("next"), [Refuse("next", 0)])
        gateway.arrive(name="last")
        for i in range(4):
            gateway.answer(f"first{i}")
        self.assertEqual([s.request for s in gateway.sends()[4:]], ["first4", "first5", "first6", "first7"])
        for i in range(4, 8):
            gateway.answer(f"first{i}")
        self.assertEqual([s.request for s in gateway.sends()[8:]], ["last"])

    def test_a_head_whose_tokens_are_about_to_suffice_is_held_longer(self) -> None:
        gateway = Gateway()
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="a")  # its tokens suffice after 200 ms
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="b")  # its own 600 ms later
        gateway.wait(210 * MS)
        gateway.answer("a")
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="c")
        gateway.wait(410 * MS)
        self.assertEqual((gateway.final_answers("b"), gateway.final_answers("c")), ([], [Refuse("c", 0)]))
        gateway.wait(200 * MS)
        self.assertIn("b", gateway.attempts)
