"""One clock for silence: from any state the news is asked for again before what was missed counts as told."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from stackrouter.membership.asking import (
    IMMEDIATE_ANSWER_PAUSE_US,
    IMMEDIATE_ANSWER_US,
    KNOWN_AFTER_US,
    LATEST_CALL_START_US,
    MAX_IMMEDIATE_ANSWERS,
    AnswerVerdict,
    Call,
    CallScheduler,
)
from stackrouter.net.discovery import MAX_OPEN_CALLS, call_timing

MS, S = 1_000, 1_000_000
# What discovery does with a call: news, nothing until the wait is over, the whole list slowly, half an answer
# and then nothing, silence, 503 at once or late, a reset, an answer that is no list.
WAYS = ("news", "quiet", "slow", "half", "silent", "503", "late503", "reset", "garbled")
LATE = {"news": 5 * MS, "slow": 2 * S, "503": 3 * MS, "late503": 2 * S, "reset": 20 * MS, "garbled": 5 * MS}


def play(asking: CallScheduler, now: int, way: str, move_at: int | None) -> int:
    """One call and what comes of it; returns the time at which the next one may begin. `move_at`: a SIGHUP so
    long after the call began, or while it is rested."""
    due = asking.due_us
    assert due is not None
    call = asking.begin(now := max(now, due))
    late = LATE.get(way, call.until_us - now)
    end = now + (call.wait_us if way == "quiet" else min(late, call.until_us - now))
    if way == "slow" and late >= call.until_us - now:
        way = "silent"  # for an agent that answers at once
    if way == "half":
        end = max(end, asking.answer_began(call, now + 5 * MS))
        assert end <= call.until_us + asking.timing.body_us
    if move_at is not None and now + move_at < end:
        asking.address_changed(now + move_at)
        assert asking.due_us == now + move_at
        # What the old address still says means nothing.
        assert asking.answered(call, end, 99) is AnswerVerdict.VOID and not asking.failed(call, end)
        assert asking.index is None
        return now + move_at
    before = asking.index
    if way in ("503", "late503"):
        asking.refused(call, end)
        assert asking.index == before, "turned away is no silence: changes only"
    elif way in ("news", "quiet", "slow"):
        version = (call.index or 0) + (way != "quiet")
        assert asking.answered(call, end, version) is AnswerVerdict.TAKE
        if asking.due_us != end:  # a rest, only behind answers that came at once, and within a watch's 200 ms
            assert (
                end - now < IMMEDIATE_ANSWER_US and asking._immediate_answers > MAX_IMMEDIATE_ANSWERS
            ), "the watch goes on at once"
            assert asking.due_us is not None and end < asking.due_us <= end + IMMEDIATE_ANSWER_PAUSE_US
    else:
        assert asking.failed(call, end)
        assert asking.index is None, "after silence nobody knows what was missed"
    if move_at is not None and asking.due_us is not None and end < asking.due_us:
        asking.address_changed(end)
        assert (asking.due_us, asking.index) == (end, None)
    assert asking.due_us is not None
    # The clock: whatever this call missed, it began to miss at `now` at the earliest.
    in_time = asking.due_us <= now + LATEST_CALL_START_US
    assert in_time or way == "late503", (way, asking.due_us - now)
    assert asking.due_us <= end + LATEST_CALL_START_US
    return end


def failing(asking: CallScheduler, now: int, way: str) -> int:
    """One call that fails this way; returns when it had."""
    call = asking.begin(now := max(now, asking.due_us or 0))
    if way == "silent":
        asking.failed(call, call.until_us)
        return call.until_us
    if way == "slow":  # it begins in time and is never whole
        end = asking.answer_began(call, call.until_us - 1)
        asking.failed(call, end)
        return end
    end = min(now + 5 * MS, call.until_us)
    if way == "refused":
        asking.refused(call, end)
    else:
        asking.failed(call, end)
    return end


class Clock(unittest.TestCase):
    @given(
        st.integers(0, 2**31),
        st.sampled_from((1, 5, 40, 200)),
        st.sampled_from((None, 7)),
        st.lists(st.sampled_from(("quiet", "silent", "slow", "reset", "refused")), max_size=12),
        st.integers(0, 6 * S),
        st.lists(st.sampled_from(("reset", "refused", "refused", "silent", "slow")), max_size=4),
        st.none() | st.integers(0, 3),
    )
    def test_news_is_had_within_the_clock_whatever_calls_failed_or_were_refused(
        self, seed: int, gateways: int, known: int | None, before: list[str], into: int, after: list[str],
        address_changed: int | None,
    ) -> None:  # fmt: skip
        """End to end, where lists are asked for: from a change on, that discovery has and can be reached for,
        two more calls may fail, one of them by silence, or three that are answered at once by a no."""
        asking, now, begun = CallScheduler(call_timing(gateways), random.Random(seed), known), 0, 0
        for way in before:
            if way == "quiet":
                call = asking.begin(begun := max(now, asking.due_us or 0))
                asking.answered(call, now := begun + call.wait_us, 7)
            else:
                begun = max(now, asking.due_us or 0)
                now = failing(asking, now, way)
        # The change comes while the last call is under way, or in the rest behind it.
        change = min(begun + into, asking.due_us or now)
        slow = [way for way in after if way in ("silent", "slow")][:1]
        quick = [way for way in after if way not in ("silent", "slow")][: 2 - len(slow) if slow else 3]
        for n, way in enumerate(quick[:1] + slow + quick[1:]):
            now = failing(asking, now, way)
            if n == address_changed:
                asking.address_changed(now)
        call = asking.begin(now := max(now, asking.due_us or 0))
        asking.answered(call, now + 5 * MS, 8)
        # What was under way at the change and failed may have begun a whole call before it.
        self.assertLessEqual(now + 5 * MS, max(change, begun) + KNOWN_AFTER_US)

    @given(
        st.integers(0, 2**31),
        st.sampled_from((1, 5, 40, 200)),
        st.lists(st.sampled_from(("reset", "refused", "silent", "slow")), max_size=4),
        st.integers(0, 30),
    )
    def test_an_agent_that_fails_or_refuses_is_asked_again_at_once(
        self, seed: int, gateways: int, after: list[str], refusals: int
    ) -> None:
        """One that refused was asked again after up to 5.2 s, ever rarer, in a fleet of 200 also at first."""
        asking, now = CallScheduler(call_timing(gateways, pushed=True), random.Random(seed), 7), 0
        for _ in range(refusals):
            now = failing(asking, now, "refused")
        change = now
        for way in after:
            now = failing(asking, now, way)
        call = asking.begin(now := max(now, asking.due_us or 0))
        asking.answered(call, now + 5 * MS, 8)
        self.assertLess(now + 5 * MS, change + KNOWN_AFTER_US)

    @given(st.integers(0, 2**31), st.sampled_from((1, 3, 40, 200)), st.booleans(), st.sampled_from((None, 7)),
           st.lists(st.tuples(st.sampled_from(WAYS), st.none() | st.integers(0, 5 * S)),
                    max_size=40))  # fmt: skip
    def test_from_any_state_the_news_is_asked_for_in_time(
        self, seed: int, gateways: int, pushed: bool, known: int | None, story: list[tuple[str, int | None]]
    ) -> None:
        asking, now = CallScheduler(call_timing(gateways, pushed), random.Random(seed), known), 0
        self.assertEqual(asking.due_us, 0, "the first call goes at once")
        for way, move_at in story:
            now = play(asking, now, way, move_at)
            self.assertLessEqual(asking.latest_next_call_us(), now + LATEST_CALL_START_US)

    @given(st.integers(0, 2**31), st.integers(0, 4 * S), st.sampled_from((1, 40, 200)))
    def test_after_an_outage_of_8_s_the_whole_list_is_asked_for_within_the_clock(
        self, seed: int, into: int, gateways: int
    ) -> None:
        asking = CallScheduler(call_timing(gateways), random.Random(seed), 7)
        over, now = into + 8 * S, 0
        while now <= over:
            now = play(asking, now, "silent" if now >= into else "quiet", None)
        due = asking.due_us
        assert due is not None
        self.assertIsNone(asking.index)
        self.assertLess(due, over + KNOWN_AFTER_US)
        self.assertEqual(play(asking, now, "news", None), max(now, due) + LATE["news"])

    @given(st.integers(0, 2**31), st.integers(0, 4 * S), st.booleans(), st.integers(0, 3 * S))
    def test_where_lists_are_pushed_an_outage_is_over_within_the_drain_grace(
        self, seed: int, into: int, restart: bool, length: int
    ) -> None:
        """A call made while the agent was silent is never answered: it was waited for 2.5 s, and a drain that
        counted as told at the end of the outage was heard 1.4 s late (herd+mass, 25 sends)."""
        asking = CallScheduler(call_timing(200, pushed=True), random.Random(seed), 7)
        length, now = length + 3 * S, 0
        over = into + length
        while (due := asking.due_us or 0) <= over:
            if restart and into <= now < over - length // 2:
                asking, restart = (
                    CallScheduler(call_timing(200, pushed=True), random.Random(seed + 1), 7),
                    False,
                )
                asking.due_us = now  # a new process asks at its own first moment
            now = play(asking, now, "silent" if now + 2 * S >= into else "quiet", None)
        self.assertLess(due, over + 110 * MS, "150 ms of the grace are left for a process that is held up")
        self.assertEqual(asking.begin(due).wait_us, 0)

    def test_what_another_gateway_hands_on_is_taken_only_over_a_list_that_counts(self) -> None:
        asking = CallScheduler(call_timing(3), random.Random(1), 7)
        call = asking.begin(0)
        self.assertTrue(asking.accept_relayed(12))
        self.assertIs(asking.answered(call, MS, 9), AnswerVerdict.OLDER)
        self.assertEqual(asking.index, 12)
        asking.failed(asking.begin(MS), 2 * MS)
        self.assertFalse(asking.accept_relayed(13))

    def test_an_answer_of_another_history_is_taken_and_the_whole_list_asked_for(self) -> None:
        """Another copy of discovery took over: its numbers mean nothing beside those of the one before."""
        for version, whole, news, index in (
            (5, True, True, 5),
            (5, False, True, None),
            (5, False, False, None),
            (1000, False, True, None),  # the same number with other content
            (1000, False, False, 1000),
            (1000, True, True, 1000),
            (9000, True, True, 9000),
            (9000, False, True, 9000),
        ):
            for pushed in (False, True):
                with self.subTest(version=version, whole=whole, news=news, pushed=pushed):
                    asking = CallScheduler(call_timing(3, pushed), random.Random(1), 1000)
                    call = asking.begin(0)
                    self.assertIs(asking.answered(call, S, version, whole, news), AnswerVerdict.TAKE)
                    self.assertEqual(asking.index, index)

    @given(
        st.integers(0, 2**31),
        st.integers(2_200 * MS, 8 * S),  # past the watch that the outage cut off
        st.sampled_from((5, 40, 60, 150, 190, 300, 700, 1_200, 2_000)),
    )
    def test_an_agent_that_is_slow_after_an_outage_is_heard_in_proportion(
        self, seed: int, length: int, latency_ms: int
    ) -> None:
        """One call was kept, which had begun in the outage: for 2.5 s no other lived long enough."""
        asking, now, latency = (
            CallScheduler(call_timing(3, pushed=True), random.Random(seed), 7),
            0,
            latency_ms * MS,
        )
        asking.answered(asking.begin(0), MS, 7)
        answer_began, most = None, 0
        kept: list[Call] = []
        while answer_began is None:
            call = asking.begin(now := asking.due_us or 0)
            kept = [k for k in kept if k.late_until_us > now]
            most = max(most, len(kept))
            if now >= length and now + latency <= call.late_until_us:
                answer_began = now + latency
            kept.append(call)
            asking.failed(call, call.until_us, silent=True)
        self.assertLessEqual(answer_began - length, 80 * MS + 4 * latency + (latency > 50 * MS) * 160 * MS)
        self.assertLess(most, MAX_OPEN_CALLS)

    def test_a_late_watch_is_followed_by_a_call_for_changes_and_only_then_for_the_whole_list(self) -> None:
        asking = CallScheduler(call_timing(3, pushed=True), random.Random(1), 7)
        asking.answered(asking.begin(0), MS, 7)
        watch = asking.begin(MS)
        self.assertEqual(watch.wait_us, 2 * S)
        asking.failed(watch, watch.until_us, silent=True)
        again = asking.begin(asking.due_us or 0)
        self.assertEqual((again.index, again.wait_us), (7, 0))
        self.assertLess(again.begun_us, MS + 2 * S + 100 * MS, "an outage may have ended with its wait")
        asking.failed(again, again.until_us, silent=True)
        self.assertIsNone(asking.begin(asking.due_us or 0).index)

    def test_a_discovery_whose_numbers_never_settle_is_asked_with_a_pause(self) -> None:
        """It was asked 13,334 times in 9 s."""
        for pushed in (False, True):
            asking, now, calls = CallScheduler(call_timing(3, pushed), random.Random(1), 1000), 0, 0
            while now < 9 * S:
                call = asking.begin(now)
                calls += 1
                asking.answered(call, now + MS, calls % 7, whole=bool(calls % 2), news=True)
                assert asking.due_us is not None
                self.assertLessEqual(asking.due_us - now - MS, IMMEDIATE_ANSWER_PAUSE_US)
                now = max(now + MS, asking.due_us)
            self.assertLess(calls, 9 * 30)

    def test_a_late_answer_counts_unless_another_came_or_discovery_moved_since(self) -> None:
        for pushed in (False, True):
            asking = CallScheduler(call_timing(3, pushed), random.Random(1), 7)
            late = asking.begin(0)
            self.assertTrue(asking.failed(late, late.until_us))
            beside = asking.begin(asking.due_us or 0)
            self.assertIs(asking.answered(late, beside.begun_us + 5 * MS, 8, news=True), AnswerVerdict.TAKE)
            self.assertEqual((asking.index, asking.due_us), (8, beside.begun_us + 5 * MS))
            self.assertIs(asking.answered(beside, beside.begun_us + 9 * MS, 7), AnswerVerdict.VOID)
            self.assertFalse(asking.failed(beside, beside.until_us))
            late = asking.begin(asking.due_us or 0)
            asking.failed(late, late.until_us)
            asking.address_changed(late.until_us)
            self.assertIs(asking.answered(late, late.until_us + MS, 9), AnswerVerdict.VOID)
            self.assertIsNone(asking.index)


if __name__ == "__main__":
    unittest.main()
