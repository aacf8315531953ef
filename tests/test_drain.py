"""The drain state, without sockets: the answer to PING, and which client connections may be closed when."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from stackrouter.ops.drain import NEW_CONNECTION_GRACE_S, Drain

times = st.floats(min_value=0.0, max_value=1e6, allow_nan=False)


class DrainTest(unittest.TestCase):
    def test_ping_is_negative_from_standby_to_active(self) -> None:
        drain = Drain()
        self.assertTrue(drain.serving)
        self.assertTrue(drain.standby(10.0))
        self.assertFalse(drain.standby(11.0))  # a repeated call keeps the time of the first
        self.assertEqual((drain.serving, drain.since), (False, 10.0))
        self.assertTrue(drain.active())
        self.assertFalse(drain.active())
        self.assertTrue(drain.serving)

    def test_a_new_connection_has_time_for_its_first_request(self) -> None:
        drain = Drain()
        drain.standby(10.0)
        self.assertFalse(drain.should_close(10.1, owed=False, readable=False, asked=False, active_at=10.05))
        self.assertTrue(
            drain.should_close(
                10.06 + NEW_CONNECTION_GRACE_S, owed=False, readable=False, asked=False, active_at=10.05
            )
        )
        # One that was idle long before the standby has the same time, counted from the standby.
        self.assertFalse(drain.should_close(10.01, owed=False, readable=False, asked=False, active_at=1.0))

    @given(times, times, st.booleans(), st.booleans(), st.booleans(), times)
    def test_no_connection_with_an_owed_answer_or_unread_bytes_is_closed(
        self, since: float, now: float, owed: bool, readable: bool, asked: bool, active_at: float
    ) -> None:
        drain = Drain()
        self.assertFalse(
            drain.should_close(now, owed=owed, readable=readable, asked=asked, active_at=active_at)
        )
        drain.standby(since)
        closes = drain.should_close(now, owed=owed, readable=readable, asked=asked, active_at=active_at)
        if owed or readable:
            self.assertFalse(closes)
        elif asked:
            self.assertTrue(closes)
        drain.active()
        self.assertFalse(
            drain.should_close(now, owed=owed, readable=readable, asked=asked, active_at=active_at)
        )
