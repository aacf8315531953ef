"""The seven rules, by each gateway alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rackseam.interface import Fail, ListKind, ListUpdate, NodeState, Outcome, Refuse, Send, Subscribe
from tests.gateway import (
    KEYED_CLASS,
    LIMITED_PLAN,
    MS,
    ORDERED_CLASS,
    SETTINGS,
    UNSAFE_CLASS,
    Gateway,
    S,
    entry,
    sent,
)


@pytest.mark.parametrize("cls", range(4))
def test_a_silent_node_still_gets_one_final_answer_in_time(cls: int) -> None:
    g = Gateway()
    g.ask(cls=cls, key="k", name="a")
    start = g.now
    g.wait(4 * S)
    finals = [(t, a) for t, a in g.log if isinstance(a, Refuse | Fail)]
    assert len(finals) == 1
    assert finals[0][0] <= start + 3 * S + SETTINGS.answer_slack_us


def test_a_request_for_an_unknown_shard_is_held_for_the_list_or_answered() -> None:
    g = Gateway()
    assert g.ask(shard=9, name="a") == []
    assert g.ask(shard=10, name="b") == []
    assert sent(g.do(ListUpdate(ListKind.DELTA, (entry("n9", 9),)))) == ["a"]
    g.wait(4 * S)
    assert g.finals("b") == [Refuse("b", 0)]


def test_nothing_goes_out_after_the_final_answer() -> None:
    g = Gateway()
    g.ask(name="a")
    g.wait(3 * S)
    assert len(g.finals("a")) == 1
    g.answer("a", Outcome.TIMEOUT, closed=True)
    g.wait(3 * S)
    assert len(g.sends()) == 1


def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated_nor_refused() -> None:
    for outcome in (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.UNKNOWN):
        g = Gateway()
        g.ask(cls=UNSAFE_CLASS, name="a")
        g.answer("a", outcome)
        g.wait(4 * S)
        assert g.finals("a") == [Fail("a")]
        assert len(g.sends()) == 1


def test_an_unsafe_request_proved_not_to_have_run_is_tried_again() -> None:
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
        g = Gateway()
        g.ask(cls=UNSAFE_CLASS, name="a")
        g.answer("a", outcome)
        g.wait(3 * S - 10 * MS)
        assert len(g.sends()) >= 2


def test_attempts_stay_within_the_stated_most() -> None:
    g = Gateway()
    g.ask(name="a")
    for _ in range(20):
        if g.attempts["a"] <= 4 and not g.finals("a"):
            g.answer("a", Outcome.FULL, attempt=g.attempts["a"] - 1)
            g.wait(100 * MS)
    assert g.attempts["a"] == 4
    assert len(g.finals("a")) == 1


def test_a_keyed_request_is_not_resent_after_the_memory_of_its_group() -> None:
    g = Gateway()
    g.ask(cls=KEYED_CLASS, name="a")
    g.wait(1_900 * MS)
    g.answer("a", Outcome.RESET)
    g.wait(200 * MS)  # the node rests after the reset until the memory is over
    g.wait(2 * S)
    late = [t for t, a in g.log if isinstance(a, Send)][1:]
    assert all(t < 50 * S + 2 * S for t in late)
    assert g.finals("a") == [Fail("a")]


def test_a_keyed_repeat_stays_within_its_group() -> None:
    g = Gateway(nodes=2)
    g.ask(cls=KEYED_CLASS, shard=-1, name="a")
    first = g.sends()[0].node
    g.answer("a", Outcome.ERROR, node=first)
    g.wait(S)
    assert {s.node for s in g.sends()} == {first}
    assert len(g.sends()) == 2


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_nothing_new_goes_to_a_draining_or_gone_node(state: NodeState) -> None:
    g = Gateway()
    g.do(ListUpdate(ListKind.DELTA, (entry("n0", 0, state),)))
    assert sent(g.ask()) == []
    assert sent(g.do(ListUpdate(ListKind.DELTA, (entry("n0b", 0),)))) == ["r1"]


def test_a_node_missing_from_a_full_list_is_gone() -> None:
    g = Gateway(nodes=2)
    g.do(ListUpdate(ListKind.FULL, (entry("n1", 1),)))
    assert sent(g.ask(shard=0)) == []


def test_the_asked_for_list_is_subscribed_and_renewed_after_failures() -> None:
    g = Gateway(replace(SETTINGS, list_on_request=True), nodes=0)
    assert [a for _, a in g.log if isinstance(a, Subscribe)]
    gaps = []
    for _ in range(6):
        g.do(ListUpdate(ListKind.FAILED))
        before = g.now
        while not any(isinstance(a, Subscribe) for a in g.wait(10 * MS)):
            assert g.now - before <= SETTINGS.ask_every_us
        gaps.append(g.now - before)
    assert gaps[-1] > 2 * gaps[0]


def cold_sends(answered: bool, age_us: int) -> list[int]:
    """When requests of 2 units went to a cold node that bears 16 from two gateways."""
    g = Gateway(replace(SETTINGS, gateways=2), nodes=0)
    g.do(ListUpdate(ListKind.FULL, (entry("n0", 0, launched_us=g.now - age_us),)))
    for _ in range(60):
        g.ask(volume="v", units=2.0)
        for s in g.sends():
            g.answer(s.request, Outcome.DONE if answered else Outcome.FULL, attempt=g.attempts[s.request] - 1)
        g.wait(25 * MS)
    return [t for t, a in g.log if isinstance(a, Send)]


def test_a_cold_node_that_turns_work_away_gets_an_even_part_of_what_it_bears() -> None:
    sends = cold_sends(answered=False, age_us=0)
    for start in sends:
        assert 2.0 * sum(start <= t < start + S for t in sends) <= 8.0 * 1.5
    assert len(sends) >= 4


def test_a_cold_node_bears_more_with_age_and_by_what_it_serves() -> None:
    fresh = len(cold_sends(answered=False, age_us=0))
    assert len(cold_sends(answered=False, age_us=8 * S)) > fresh
    assert len(cold_sends(answered=True, age_us=0)) > fresh


def test_requests_of_one_key_run_singly_in_order_and_rest_after_an_unknown_end() -> None:
    g = Gateway()
    assert sent(g.ask(cls=ORDERED_CLASS, key="k", name="a")) == ["a"]
    assert sent(g.ask(cls=ORDERED_CLASS, key="k", name="b")) == []
    assert sent(g.ask(cls=ORDERED_CLASS, key="k", name="c")) == []
    assert sent(g.ask(cls=ORDERED_CLASS, key="other", name="d")) == ["d"]
    assert sent(g.answer("a")) == ["b"]
    g.wait(50 * MS)
    g.answer("b", Outcome.CANCELLED, closed=True)
    t = g.now
    g.wait(200 * MS)
    c = [when for when, a in g.log if isinstance(a, Send) and a.request == "c"]
    assert c and c[0] >= t + SETTINGS.key_rest_us


def test_a_key_waits_for_the_outcome_of_a_request_already_failed() -> None:
    g = Gateway()
    g.ask(cls=ORDERED_CLASS, key="k", name="a", grace_us=500 * MS)
    g.wait(450 * MS)
    g.ask(cls=ORDERED_CLASS, key="k", name="b")
    g.wait(100 * MS)
    assert g.finals("a") == [Fail("a")]
    assert "b" not in sent([a for _, a in g.log])
    g.answer("a", Outcome.TIMEOUT, closed=True)
    assert "b" not in sent([a for _, a in g.log])


def test_a_new_request_of_a_resting_key_waits_too() -> None:
    g = Gateway()
    g.ask(cls=ORDERED_CLASS, key="k", name="a")
    g.answer("a", Outcome.RESET, closed=True)
    t = g.now
    g.ask(cls=ORDERED_CLASS, key="k", name="b")
    g.wait(2 * S)
    b = [when for when, a in g.log if isinstance(a, Send) and a.request == "b"]
    assert b and b[0] >= t + SETTINGS.key_rest_us


def test_further_attempts_stay_within_the_budget_of_the_window() -> None:
    g = Gateway(replace(SETTINGS, resend_free=2, resend_ratio=0.1, resend_span_us=2 * S, max_attempts=9))
    taken: list[int] = []
    for _ in range(60):
        taken.append(g.now)
        g.ask(units=1.0)
        for request, n in list(g.attempts.items()):
            g.answer(request, Outcome.FULL, attempt=n - 1)
        g.wait(60 * MS)
    seen: set[str] = set()
    further = []
    for t, a in g.log:
        if isinstance(a, Send):
            if a.request in seen:
                further.append(t)
            seen.add(a.request)
    assert further
    for t in further:
        made = sum(t - 2 * S < u <= t for u in further)
        assert made <= 2 + 0.1 * sum(t - 2 * S < u <= t for u in taken)


def test_one_gateway_keeps_to_its_part_of_the_limit_from_its_start() -> None:
    g = Gateway()
    start = g.now
    for _ in range(200):
        g.ask(plan=LIMITED_PLAN, units=4.0, gateways=2)
        for request, n in list(g.attempts.items()):
            g.answer(request, attempt=n - 1)
        g.wait(20 * MS)
    units = 0.0
    for t, a in g.log:
        if isinstance(a, Send):
            units += 4.0
            assert units <= 8.0 + 10.0 * (t - start) / S + 1e-3
    assert units > 30


def test_a_request_larger_than_a_part_of_the_burst_leaves_within_the_tolerance() -> None:
    g = Gateway()
    g.ask(plan=LIMITED_PLAN, units=12.0, gateways=4, name="a")  # part of the burst: 10; of the tolerance: 2
    g.wait(2_500 * MS)  # refused at its aim, while the bucket fills on
    assert g.finals("a") == [Refuse("a", 0)]
    assert sent(g.ask(plan=LIMITED_PLAN, units=12.0, gateways=4, name="b")) == ["b"]
    g = Gateway()
    for name in ("a", "b"):
        g.ask(plan=LIMITED_PLAN, units=13.0, gateways=4, name=name)
        g.wait(4 * S)
        assert g.finals(name) == [Refuse(name, 0)]


def test_a_cold_node_that_is_full_costs_one_alarm_not_ever_more() -> None:
    g = Gateway(replace(SETTINGS, gateways=2), nodes=0)
    g.do(ListUpdate(ListKind.FULL, (entry("n0", 0, launched_us=g.now), entry("n1", 1, launched_us=g.now))))
    for i in range(30):
        g.ask(shard=i % 3 - 1)
        for request, n in list(g.attempts.items()):
            g.answer(request, attempt=n - 1, node=g.sends()[-1].node)
    g.wait(3 * S)
    assert len(g.controller.scheduled) < 100
