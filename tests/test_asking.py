"""The schedule of calls to discovery: from any state changes are fetched before they count as known."""

from __future__ import annotations

import random
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from stackrouter.membership.call_scheduler import (
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
# What discovery does with a call: changes, nothing until the wait ends, the whole list slowly, half an answer
# and then nothing, silence, 503 at once or late, a reset, an answer that is not a list.
CALL_KINDS = ("news", "quiet", "slow", "half", "silent", "503", "late503", "reset", "garbled")
ANSWER_AFTER_US = {
    "news": 5 * MS,
    "slow": 2 * S,
    "503": 3 * MS,
    "late503": 2 * S,
    "reset": 20 * MS,
    "garbled": 5 * MS,
}


def play_call(scheduler: CallScheduler, now: int, kind: str, move_after: int | None) -> int:
    """Play one call and check the schedule after it; return the time at which the next one may begin.

    `move_after`: a SIGHUP changes the address this long after the call began, or in the pause after it.
    """
    due = scheduler.due_us
    assert due is not None
    call = scheduler.begin(now := max(now, due))
    answer_after = ANSWER_AFTER_US.get(kind, call.until_us - now)
    end = now + (call.wait_us if kind == "quiet" else min(answer_after, call.until_us - now))
    if kind == "slow" and answer_after >= call.until_us - now:
        kind = "silent"  # for an agent that answers at once
    if kind == "half":
        end = max(end, scheduler.answer_began(call, now + 5 * MS))
        assert end <= call.until_us + scheduler.timing.body_us
    if move_after is not None and now + move_after < end:
        scheduler.address_changed(now + move_after)
        assert scheduler.due_us == now + move_after
        # Answers from the old address are ignored.
        assert scheduler.answered(call, end, 99) is AnswerVerdict.VOID and not scheduler.failed(call, end)
        assert scheduler.index is None
        return now + move_after
    index_before = scheduler.index
    if kind in ("503", "late503"):
        scheduler.refused(call, end)
        assert scheduler.index == index_before, "a refusal is not silence: ask for changes only"
    elif kind in ("news", "quiet", "slow"):
        version = (call.index or 0) + (kind != "quiet")
        assert scheduler.answered(call, end, version) is AnswerVerdict.ACCEPT
        if scheduler.due_us != end:  # a pause: only after immediate answers, and within a watch's 200 ms
            assert (
                end - now < IMMEDIATE_ANSWER_US and scheduler._immediate_answers > MAX_IMMEDIATE_ANSWERS
            ), "the watch must continue at once"
            assert scheduler.due_us is not None and end < scheduler.due_us <= end + IMMEDIATE_ANSWER_PAUSE_US
    else:
        assert scheduler.failed(call, end)
        assert scheduler.index is None, "after silence it is unknown what was missed"
    if move_after is not None and scheduler.due_us is not None and end < scheduler.due_us:
        scheduler.address_changed(end)
        assert (scheduler.due_us, scheduler.index) == (end, None)
    assert scheduler.due_us is not None
    # Whatever this call missed, it began to miss at `now` at the earliest.
    in_time = scheduler.due_us <= now + LATEST_CALL_START_US
    assert in_time or kind == "late503", (kind, scheduler.due_us - now)
    assert scheduler.due_us <= end + LATEST_CALL_START_US
    return end


def fail_call(scheduler: CallScheduler, now: int, kind: str) -> int:
    """Play one call that fails in this way; return the time at which it has failed."""
    call = scheduler.begin(now := max(now, scheduler.due_us or 0))
    if kind == "silent":
        scheduler.failed(call, call.until_us)
        return call.until_us
    if kind == "slow":  # the answer begins in time and is never complete
        end = scheduler.answer_began(call, call.until_us - 1)
        scheduler.failed(call, end)
        return end
    end = min(now + 5 * MS, call.until_us)
    if kind == "refused":
        scheduler.refused(call, end)
    else:
        scheduler.failed(call, end)
    return end


class CallScheduling(unittest.TestCase):
    @given(
        st.integers(0, 2**31),
        st.sampled_from((1, 5, 40, 200)),
        st.sampled_from((None, 7)),
        st.lists(st.sampled_from(("quiet", "silent", "slow", "reset", "refused")), max_size=12),
        st.integers(0, 6 * S),
        st.lists(st.sampled_from(("reset", "refused", "refused", "silent", "slow")), max_size=4),
        st.none() | st.integers(0, 3),
    )
    @example(0, 200, 7, ["refused"], 0, ["refused", "silent"], None)  # 6.91 s
    def test_changes_arrive_in_time_whatever_calls_failed_or_were_refused(
        self, seed: int, gateways: int, known: int | None, earlier: list[str], change_after: int,
        later: list[str], move_after_call: int | None,
    ) -> None:  # fmt: skip
        """End to end, where lists are polled: after a change that discovery has, and while it can be reached,
        two more calls may fail, one of them by silence, or three that are refused or reset at once."""
        scheduler, now, begun = CallScheduler(call_timing(gateways), random.Random(seed), known), 0, 0
        for kind in earlier:
            if kind == "quiet":
                call = scheduler.begin(begun := max(now, scheduler.due_us or 0))
                scheduler.answered(call, now := begun + call.wait_us, 7)
            else:
                begun = max(now, scheduler.due_us or 0)
                now = fail_call(scheduler, now, kind)
        # The change comes during the last call or in the pause after it.
        change = min(begun + change_after, scheduler.due_us or now)
        slow = [kind for kind in later if kind in ("silent", "slow")][:1]
        quick = [kind for kind in later if kind not in ("silent", "slow")][: 2 - len(slow) if slow else 3]
        for n, kind in enumerate(quick[:1] + slow + quick[1:]):
            now = fail_call(scheduler, now, kind)
            if n == move_after_call:
                scheduler.address_changed(now)
        call = scheduler.begin(now := max(now, scheduler.due_us or 0))
        scheduler.answered(call, now + 5 * MS, 8)
        # A call that was open at the change and failed may have begun a full call time before it.
        self.assertLessEqual(now + 5 * MS, max(change, begun) + KNOWN_AFTER_US)

    @given(
        st.integers(0, 2**31),
        st.sampled_from((1, 5, 40, 200)),
        st.lists(st.sampled_from(("reset", "refused", "silent", "slow")), max_size=4),
        st.integers(0, 30),
    )
    def test_agent_that_fails_or_refuses_is_called_again_soon(
        self, seed: int, gateways: int, later: list[str], refusals: int
    ) -> None:
        """Guards against pauses of up to 5.2 s after an agent's refusals, growing with each one, and in a
        fleet of 200 this long from the first."""
        scheduler, now = CallScheduler(call_timing(gateways, pushed=True), random.Random(seed), 7), 0
        for _ in range(refusals):
            now = fail_call(scheduler, now, "refused")
        change = now
        for kind in later:
            now = fail_call(scheduler, now, kind)
        call = scheduler.begin(now := max(now, scheduler.due_us or 0))
        scheduler.answered(call, now + 5 * MS, 8)
        self.assertLess(now + 5 * MS, change + KNOWN_AFTER_US)

    @given(st.integers(0, 2**31), st.sampled_from((1, 3, 40, 200)), st.booleans(), st.sampled_from((None, 7)),
           st.lists(st.tuples(st.sampled_from(CALL_KINDS), st.none() | st.integers(0, 5 * S)),
                    max_size=40))  # fmt: skip
    def test_next_call_starts_in_time_from_any_state(
        self, seed: int, gateways: int, pushed: bool, known: int | None, steps: list[tuple[str, int | None]]
    ) -> None:
        scheduler, now = CallScheduler(call_timing(gateways, pushed), random.Random(seed), known), 0
        self.assertEqual(scheduler.due_us, 0, "the first call must start at once")
        for kind, move_after in steps:
            now = play_call(scheduler, now, kind, move_after)
            self.assertLessEqual(scheduler.latest_next_call_us(), now + LATEST_CALL_START_US)

    @given(st.integers(0, 2**31), st.integers(0, 4 * S), st.sampled_from((1, 40, 200)))
    def test_whole_list_is_fetched_in_time_after_an_outage_of_8_s(
        self, seed: int, outage_after: int, gateways: int
    ) -> None:
        scheduler = CallScheduler(call_timing(gateways), random.Random(seed), 7)
        outage_ends, now = outage_after + 8 * S, 0
        while now <= outage_ends:
            now = play_call(scheduler, now, "silent" if now >= outage_after else "quiet", None)
        due = scheduler.due_us
        assert due is not None
        self.assertIsNone(scheduler.index)
        self.assertLess(due, outage_ends + KNOWN_AFTER_US)
        self.assertEqual(play_call(scheduler, now, "news", None), max(now, due) + ANSWER_AFTER_US["news"])

    @given(st.integers(0, 2**31), st.integers(0, 4 * S), st.booleans(), st.integers(0, 3 * S))
    def test_agent_outage_is_over_within_the_drain_grace(
        self, seed: int, outage_after: int, restart: bool, outage_us: int
    ) -> None:
        """A call made while the agent is silent is never answered. Guards against waiting 2.5 s for it: a
        drain that counted as known at the end of the outage arrived 1.4 s late, after 25 sends."""
        scheduler = CallScheduler(call_timing(200, pushed=True), random.Random(seed), 7)
        outage_us, now = outage_us + 3 * S, 0
        outage_ends = outage_after + outage_us
        while (due := scheduler.due_us or 0) <= outage_ends:
            if restart and outage_after <= now < outage_ends - outage_us // 2:
                scheduler, restart = (
                    CallScheduler(call_timing(200, pushed=True), random.Random(seed + 1), 7),
                    False,
                )
                scheduler.due_us = now  # a new process calls at its own first moment
            now = play_call(scheduler, now, "silent" if now + 2 * S >= outage_after else "quiet", None)
        self.assertLess(
            due, outage_ends + 110 * MS, "150 ms of the grace must be left for delays of the process"
        )
        self.assertEqual(scheduler.begin(due).wait_us, 0)

    def test_relayed_list_is_applied_only_over_a_current_list(self) -> None:
        scheduler = CallScheduler(call_timing(3), random.Random(1), 7)
        call = scheduler.begin(0)
        self.assertTrue(scheduler.accept_relayed(12))
        self.assertIs(scheduler.answered(call, MS, 9), AnswerVerdict.OLDER)
        self.assertEqual(scheduler.index, 12)
        scheduler.failed(scheduler.begin(MS), 2 * MS)
        self.assertFalse(scheduler.accept_relayed(13))

    def test_answer_of_another_history_is_accepted_and_the_whole_list_fetched(self) -> None:
        """Another replica of discovery took over: its versions are not comparable with the previous ones."""
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
                    scheduler = CallScheduler(call_timing(3, pushed), random.Random(1), 1000)
                    call = scheduler.begin(0)
                    self.assertIs(scheduler.answered(call, S, version, whole, news), AnswerVerdict.ACCEPT)
                    self.assertEqual(scheduler.index, index)

    @given(
        st.integers(0, 2**31),
        st.integers(2_200 * MS, 8 * S),  # longer than the watch that the outage cut off
        st.sampled_from((5, 40, 60, 150, 190, 300, 700, 1_200, 2_000)),
    )
    def test_delay_after_an_outage_is_proportional_to_the_agents_latency(
        self, seed: int, outage_us: int, latency_ms: int
    ) -> None:
        """Guards against keeping only a call that began in the outage: for 2.5 s no other call stayed open
        long enough for its answer."""
        scheduler, now, latency = (
            CallScheduler(call_timing(3, pushed=True), random.Random(seed), 7),
            0,
            latency_ms * MS,
        )
        scheduler.answered(scheduler.begin(0), MS, 7)
        answered_at, max_kept = None, 0
        kept: list[Call] = []
        while answered_at is None:
            call = scheduler.begin(now := scheduler.due_us or 0)
            kept = [k for k in kept if k.late_until_us > now]
            max_kept = max(max_kept, len(kept))
            if now >= outage_us and now + latency <= call.late_until_us:
                answered_at = now + latency
            kept.append(call)
            scheduler.failed(call, call.until_us, silent=True)
        self.assertLessEqual(answered_at - outage_us, 80 * MS + 4 * latency + (latency > 50 * MS) * 160 * MS)
        self.assertLess(max_kept, MAX_OPEN_CALLS)

    def test_late_watch_is_followed_by_a_call_for_changes_then_for_the_whole_list(self) -> None:
        scheduler = CallScheduler(call_timing(3, pushed=True), random.Random(1), 7)
        scheduler.answered(scheduler.begin(0), MS, 7)
        watch = scheduler.begin(MS)
        self.assertEqual(watch.wait_us, 2 * S)
        scheduler.failed(watch, watch.until_us, silent=True)
        again = scheduler.begin(scheduler.due_us or 0)
        self.assertEqual((again.index, again.wait_us), (7, 0))
        self.assertLess(again.begun_us, MS + 2 * S + 100 * MS, "an outage may have ended with the wait")
        scheduler.failed(again, again.until_us, silent=True)
        self.assertIsNone(scheduler.begin(scheduler.due_us or 0).index)

    def test_discovery_whose_versions_never_settle_is_called_with_a_pause(self) -> None:
        """Guards against a busy loop of calls: discovery was called 13,334 times in 9 s."""
        for pushed in (False, True):
            scheduler, now, calls = CallScheduler(call_timing(3, pushed), random.Random(1), 1000), 0, 0
            while now < 9 * S:
                call = scheduler.begin(now)
                calls += 1
                scheduler.answered(call, now + MS, calls % 7, whole=bool(calls % 2), news=True)
                assert scheduler.due_us is not None
                self.assertLessEqual(scheduler.due_us - now - MS, IMMEDIATE_ANSWER_PAUSE_US)
                now = max(now + MS, scheduler.due_us)
            self.assertLess(calls, 9 * 30)

    def test_late_answer_is_accepted_unless_superseded(self) -> None:
        for pushed in (False, True):
            scheduler = CallScheduler(call_timing(3, pushed), random.Random(1), 7)
            late = scheduler.begin(0)
            self.assertTrue(scheduler.failed(late, late.until_us))
            beside = scheduler.begin(scheduler.due_us or 0)
            self.assertIs(
                scheduler.answered(late, beside.begun_us + 5 * MS, 8, news=True), AnswerVerdict.ACCEPT
            )
            self.assertEqual((scheduler.index, scheduler.due_us), (8, beside.begun_us + 5 * MS))
            self.assertIs(scheduler.answered(beside, beside.begun_us + 9 * MS, 7), AnswerVerdict.VOID)
            self.assertFalse(scheduler.failed(beside, beside.until_us))
            late = scheduler.begin(scheduler.due_us or 0)
            scheduler.failed(late, late.until_us)
            scheduler.address_changed(late.until_us)
            self.assertIs(scheduler.answered(late, late.until_us + MS, 9), AnswerVerdict.VOID)
            self.assertIsNone(scheduler.index)


if __name__ == "__main__":
    unittest.main()
