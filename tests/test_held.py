"""What the module does with requests it cannot send."""

from __future__ import annotations

import unittest

from rackseam.interface import Outcome, Refuse
from tests.gateway import LIMITED_PLAN, MS, Gateway


class Held(unittest.TestCase):
    def test_a_request_never_sent_is_refused_at_its_aim_or_before_half_of_its_time(self) -> None:
        for grace, held in ((2_000, 400), (600, 288)):
            g = Gateway()
            g.ask(shard=9, name="a", grace_us=grace * MS)
            g.wait((held - 1) * MS)
            self.assertEqual(g.finals("a"), [])
            g.wait(2 * MS)
            self.assertEqual(g.finals("a"), [Refuse("a", 0)])

    def test_a_next_try_past_its_aim_is_sent_at_once_or_refused(self) -> None:
        g = Gateway()
        g.ask(shard=9, key="p", name="first", grace_us=2_000 * MS)
        g.wait(500 * MS)
        self.assertEqual(g.finals("first"), [Refuse("first", 0)])
        g.ask(shard=9, key="p", name="next", grace_us=1_495 * MS)
        g.ask(shard=9, key="q", name="other", grace_us=1_495 * MS)
        g.wait(2 * MS)
        self.assertEqual((g.finals("next"), g.finals("other")), ([Refuse("next", 0)], []))

    def test_a_client_with_little_time_is_no_next_try(self) -> None:
        g = Gateway()
        for i in range(8):  # fills the node
            g.ask(name=f"first{i}")
        g.ask(name="short", key="p", grace_us=100 * MS)
        g.wait(20 * MS)
        g.answer("first0")
        self.assertEqual(g.sends()[-1].request, "short")

    def test_what_was_not_served_is_remembered_for_its_time_only(self) -> None:
        g = Gateway()
        for i in range(200):
            g.ask(shard=9, key=f"p{i}", grace_us=2_000 * MS)
            g.wait(50 * MS)
        self.assertLess(len(g.controller.expected_retries), 50)
        g.wait(3_000 * MS)
        g.ask(key="p")
        self.assertFalse(g.controller.expected_retries or g.controller.retry_expiries)

    def test_an_attempt_that_is_out_at_half_of_the_time_is_waited_for(self) -> None:
        for outcome, finals in ((Outcome.CONNECT_FAILED, [Refuse("a", 0)]), (Outcome.FULL, [])):
            g = Gateway()
            g.ask(name="a", grace_us=2_000 * MS)
            g.wait(999 * MS)
            g.answer("a", outcome)
            self.assertEqual(g.finals("a"), finals)

    def test_a_next_try_does_not_take_the_room_of_requests_that_can_be_in_time(self) -> None:
        g = Gateway()
        g.ask(shard=9, key="p", grace_us=1_000 * MS)
        g.wait(410 * MS)  # refused
        for i in range(8):  # fills the node
            g.ask(name=f"first{i}")
        self.assertEqual(len(g.sends()), 4)
        g.ask(key="p", name="next", grace_us=590 * MS)
        g.wait(2 * MS)
        self.assertEqual(g.finals("next"), [Refuse("next", 0)])
        g.ask(name="last")
        for i in range(4):
            g.answer(f"first{i}")
        self.assertEqual([s.request for s in g.sends()[4:]], ["first4", "first5", "first6", "first7"])
        for i in range(4, 8):
            g.answer(f"first{i}")
        self.assertEqual([s.request for s in g.sends()[8:]], ["last"])

    def test_a_head_whose_tokens_are_about_to_suffice_is_held_on(self) -> None:
        g = Gateway()
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="a")  # its tokens suffice after 200 ms
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="b")  # its own 600 ms later
        g.wait(210 * MS)
        g.answer("a")
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="c")
        g.wait(410 * MS)
        self.assertEqual((g.finals("b"), g.finals("c")), ([], [Refuse("c", 0)]))
        g.wait(200 * MS)
        self.assertIn("b", g.attempts)
