"""The rules that each gateway has to keep on its own.

They cover final answers, repeats, the node list, cold nodes, ordered keys, the resend budget and limits.
"""

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
    node_entry,
    sent_requests,
)


@pytest.mark.parametrize("request_class", range(4))
def test_a_request_at_a_silent_node_gets_one_final_answer_in_time(request_class: int) -> None:
    gateway = Gateway()
    gateway.arrive(request_class=request_class, key="k", name="a")
    start = gateway.now
    gateway.wait(4 * S)
    final_answers = [(t, a) for t, a in gateway.log if isinstance(a, Refuse | Fail)]
    assert len(final_answers) == 1
    assert final_answers[0][0] <= start + 3 * S + SETTINGS.answer_slack_us


def test_a_request_for_an_unknown_shard_waits_for_the_list_or_is_refused() -> None:
    gateway = Gateway()
    assert gateway.arrive(shard=9, name="a") == []
    assert gateway.arrive(shard=10, name="b") == []
    assert sent_requests(gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n9", 9),)))) == ["a"]
    gateway.wait(4 * S)
    assert gateway.final_answers("b") == [Refuse("b", 0)]


def test_no_attempt_is_sent_after_the_final_answer() -> None:
    gateway = Gateway()
    gateway.arrive(name="a")
    gateway.wait(3 * S)
    assert len(gateway.final_answers("a")) == 1
    gateway.answer("a", Outcome.TIMEOUT, closed=True)
    gateway.wait(3 * S)
    assert len(gateway.sends()) == 1


def test_an_unsafe_request_that_may_have_run_fails_without_repeat_or_refusal() -> None:
    for outcome in (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.UNKNOWN):
        gateway = Gateway()
        gateway.arrive(request_class=UNSAFE_CLASS, name="a")
        gateway.answer("a", outcome)
        gateway.wait(4 * S)
        assert gateway.final_answers("a") == [Fail("a")]
        assert len(gateway.sends()) == 1


def test_an_unsafe_request_that_did_not_run_is_sent_again() -> None:
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
        gateway = Gateway()
        gateway.arrive(request_class=UNSAFE_CLASS, name="a")
        gateway.answer("a", outcome)
        gateway.wait(3 * S - 10 * MS)
        assert len(gateway.sends()) >= 2


def test_attempts_stay_within_max_attempts() -> None:
    gateway = Gateway()
    gateway.arrive(name="a")
    for _ in range(20):
        if gateway.attempts["a"] <= 4 and not gateway.final_answers("a"):
            gateway.answer("a", Outcome.FULL, attempt=gateway.attempts["a"] - 1)
            gateway.wait(100 * MS)
    assert gateway.attempts["a"] == 4
    assert len(gateway.final_answers("a")) == 1


def test_a_keyed_request_is_not_resent_after_its_key_has_expired() -> None:
    gateway = Gateway()
    gateway.arrive(request_class=KEYED_CLASS, name="a")
    gateway.wait(1_900 * MS)
    gateway.answer("a", Outcome.RESET)
    gateway.wait(200 * MS)  # the node is paused after the reset until the key has expired
    gateway.wait(2 * S)
    resends = [t for t, a in gateway.log if isinstance(a, Send)][1:]
    assert all(t < 50 * S + 2 * S for t in resends)
    assert gateway.final_answers("a") == [Fail("a")]


def test_a_keyed_repeat_stays_within_its_group() -> None:
    gateway = Gateway(nodes=2)
    gateway.arrive(request_class=KEYED_CLASS, shard=-1, name="a")
    first = gateway.sends()[0].node
    gateway.answer("a", Outcome.ERROR, node=first)
    gateway.wait(S)
    assert {send.node for send in gateway.sends()} == {first}
    assert len(gateway.sends()) == 2


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_no_request_goes_to_a_draining_or_gone_node(state: NodeState) -> None:
    gateway = Gateway()
    gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n0", 0, state),)))
    assert sent_requests(gateway.arrive()) == []
    assert sent_requests(gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n0b", 0),)))) == ["r1"]


def test_a_node_missing_from_a_full_list_gets_no_request() -> None:
    gateway = Gateway(nodes=2)
    gateway.handle(ListUpdate(ListKind.FULL, (node_entry("n1", 1),)))
    assert sent_requests(gateway.arrive(shard=0)) == []


def test_a_list_on_request_is_subscribed_again_after_failures_at_growing_intervals() -> None:
    gateway = Gateway(replace(SETTINGS, list_on_request=True), nodes=0)
    assert [a for _, a in gateway.log if isinstance(a, Subscribe)]
    waits = []
    for _ in range(6):
        gateway.handle(ListUpdate(ListKind.FAILED))
        failed_at = gateway.now
        while not any(isinstance(a, Subscribe) for a in gateway.wait(10 * MS)):
            assert gateway.now - failed_at <= SETTINGS.ask_every_us
        waits.append(gateway.now - failed_at)
    assert waits[-1] > 2 * waits[0]


def cold_sends(answered: bool, age_us: int) -> list[int]:
    """Send times of requests of 2 units to a cold node whose budget for two gateways is 16 units."""
    gateway = Gateway(replace(SETTINGS, gateways=2), nodes=0)
    gateway.handle(ListUpdate(ListKind.FULL, (node_entry("n0", 0, launched_us=gateway.now - age_us),)))
    for _ in range(60):
        gateway.arrive(volume="v", units=2.0)
        for send in gateway.sends():
            gateway.answer(
                send.request,
                Outcome.DONE if answered else Outcome.FULL,
                attempt=gateway.attempts[send.request] - 1,
            )
        gateway.wait(25 * MS)
    return [t for t, a in gateway.log if isinstance(a, Send)]


def test_a_cold_node_that_rejects_work_gets_an_equal_share_of_its_budget() -> None:
    sends = cold_sends(answered=False, age_us=0)
    for start in sends:
        assert 2.0 * sum(start <= t < start + S for t in sends) <= 8.0 * 1.5
    assert len(sends) >= 4


def test_a_cold_node_gets_more_with_age_and_when_it_answers() -> None:
    young = len(cold_sends(answered=False, age_us=0))
    assert len(cold_sends(answered=False, age_us=8 * S)) > young
    assert len(cold_sends(answered=True, age_us=0)) > young


def test_requests_of_one_key_run_one_at_a_time_in_order_and_pause_after_an_unknown_end() -> None:
    gateway = Gateway()
    assert sent_requests(gateway.arrive(request_class=ORDERED_CLASS, key="k", name="a")) == ["a"]
    assert sent_requests(gateway.arrive(request_class=ORDERED_CLASS, key="k", name="b")) == []
    assert sent_requests(gateway.arrive(request_class=ORDERED_CLASS, key="k", name="c")) == []
    assert sent_requests(gateway.arrive(request_class=ORDERED_CLASS, key="other", name="d")) == ["d"]
    assert sent_requests(gateway.answer("a")) == ["b"]
    gateway.wait(50 * MS)
    gateway.answer("b", Outcome.CANCELLED, closed=True)
    ended_at = gateway.now
    gateway.wait(200 * MS)
    c = [when for when, a in gateway.log if isinstance(a, Send) and a.request == "c"]
    assert c and c[0] >= ended_at + SETTINGS.key_rest_us


def test_a_key_waits_for_the_outcome_of_a_request_that_has_failed() -> None:
    gateway = Gateway()
    gateway.arrive(request_class=ORDERED_CLASS, key="k", name="a", time_left_us=500 * MS)
    gateway.wait(450 * MS)
    gateway.arrive(request_class=ORDERED_CLASS, key="k", name="b")
    gateway.wait(100 * MS)
    assert gateway.final_answers("a") == [Fail("a")]
    assert "b" not in sent_requests([a for _, a in gateway.log])
    gateway.answer("a", Outcome.TIMEOUT, closed=True)
    assert "b" not in sent_requests([a for _, a in gateway.log])


def test_a_new_request_of_a_paused_key_waits() -> None:
    gateway = Gateway()
    gateway.arrive(request_class=ORDERED_CLASS, key="k", name="a")
    gateway.answer("a", Outcome.RESET, closed=True)
    ended_at = gateway.now
    gateway.arrive(request_class=ORDERED_CLASS, key="k", name="b")
    gateway.wait(2 * S)
    b = [when for when, a in gateway.log if isinstance(a, Send) and a.request == "b"]
    assert b and b[0] >= ended_at + SETTINGS.key_rest_us


def test_resends_stay_within_the_budget_of_the_window() -> None:
    gateway = Gateway(
        replace(SETTINGS, resend_free=2, resend_ratio=0.1, resend_span_us=2 * S, max_attempts=9)
    )
    arrivals: list[int] = []
    for _ in range(60):
        arrivals.append(gateway.now)
        gateway.arrive(units=1.0)
        for request, n in list(gateway.attempts.items()):
            gateway.answer(request, Outcome.FULL, attempt=n - 1)
        gateway.wait(60 * MS)
    seen: set[str] = set()
    resends = []
    for t, a in gateway.log:
        if isinstance(a, Send):
            if a.request in seen:
                resends.append(t)
            seen.add(a.request)
    assert resends
    for t in resends:
        resent = sum(t - 2 * S < u <= t for u in resends)
        assert resent <= 2 + 0.1 * sum(t - 2 * S < u <= t for u in arrivals)


def test_one_gateway_keeps_to_its_part_of_the_limit_from_its_start() -> None:
    gateway = Gateway()
    start = gateway.now
    for _ in range(200):
        gateway.arrive(plan=LIMITED_PLAN, units=4.0, gateways=2)
        for request, n in list(gateway.attempts.items()):
            gateway.answer(request, attempt=n - 1)
        gateway.wait(20 * MS)
    units = 0.0
    for t, a in gateway.log:
        if isinstance(a, Send):
            units += 4.0
            assert units <= 8.0 + 10.0 * (t - start) / S + 1e-3
    assert units > 30


def test_a_request_larger_than_the_part_of_the_burst_is_sent_within_the_tolerance() -> None:
    gateway = Gateway()
    # The gateway's part of the burst is 10 units, that of the tolerance 2 units.
    gateway.arrive(plan=LIMITED_PLAN, units=12.0, gateways=4, name="a")
    gateway.wait(2_500 * MS)  # refused at its aim, while the bucket continues to fill
    assert gateway.final_answers("a") == [Refuse("a", 0)]
    assert sent_requests(gateway.arrive(plan=LIMITED_PLAN, units=12.0, gateways=4, name="b")) == ["b"]
    gateway = Gateway()
    for name in ("a", "b"):
        gateway.arrive(plan=LIMITED_PLAN, units=13.0, gateways=4, name=name)
        gateway.wait(4 * S)
        assert gateway.final_answers(name) == [Refuse(name, 0)]


def test_rechecks_of_a_full_cold_node_do_not_accumulate() -> None:
    gateway = Gateway(replace(SETTINGS, gateways=2), nodes=0)
    gateway.handle(
        ListUpdate(
            ListKind.FULL,
            (node_entry("n0", 0, launched_us=gateway.now), node_entry("n1", 1, launched_us=gateway.now)),
        )
    )
    for i in range(30):
        gateway.arrive(shard=i % 3 - 1)
        for request, n in list(gateway.attempts.items()):
            gateway.answer(request, attempt=n - 1, node=gateway.sends()[-1].node)
    gateway.wait(3 * S)
    assert len(gateway.controller.scheduled) < 100
