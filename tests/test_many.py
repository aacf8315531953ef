"""Sums over many gateways, each of which sees only its own part."""

from __future__ import annotations

from dataclasses import replace

from rackseam.interface import ListKind, ListUpdate, Outcome, Send
from tests.gateway import MS, SETTINGS, Gateway, S, entry

GATEWAYS = 130


def start_cold(answered: bool, restart: bool = False) -> tuple[list[tuple[int, float]], int]:
    """A node comes up while every one of many gateways holds requests for it; when which units went there."""
    gateways = [
        Gateway(replace(SETTINGS, gateways=GATEWAYS, position=i, seed=i), nodes=0) for i in range(GATEWAYS)
    ]
    born = gateways[0].now
    for g in gateways:
        for n in range(4):
            g.ask(volume=f"v{n}", units=2.0, grace_us=3 * S)
        g.do(ListUpdate(ListKind.FULL, (entry("n0", 0, launched_us=born),)))
    sends: list[tuple[int, float]] = []
    served = 0
    for step in range(80):
        for i, g in enumerate(gateways):
            g.wait(100 * MS)
            g.ask(units=2.0)
            sends += [(t, 2.0) for t, a in g.log if isinstance(a, Send)]
            new = [a for _, a in g.log if isinstance(a, Send)]
            g.log.clear()
            for s in new:
                served += 1
                g.answer(s.request, Outcome.DONE if answered else Outcome.TIMEOUT, closed=True)
            if restart and step == 10 and i % 2:
                gateways[i] = Gateway(g.controller.s, nodes=0, now=g.now)
                gateways[i].do(ListUpdate(ListKind.FULL, (entry("n0", 0, launched_us=born),)))
    return sends, born


def test_first_sends_of_all_gateways_together_keep_to_what_a_cold_node_bears() -> None:
    """Each gateway may have one out, and 130 such first sends at once pushed successors over."""
    for restart in (False, True):
        sends, born = start_cold(answered=False, restart=restart)
        assert len(sends) > GATEWAYS / 2  # nobody is starved: turns go round
        for at, _ in sends:
            age = max(0, at - born) / SETTINGS.cold_us
            bears = SETTINGS.cold_bears_units * (1 + (1 / SETTINGS.cold_share - 1) * age)
            assert sum(u for t, u in sends if at - SETTINGS.fall_us < t <= at) <= bears


def start_cold_for_few(outcome: Outcome, late_steps: int = 0) -> tuple[list[int], int]:
    """When requests of 2 units went to a new node for which 8 of 40 gateways have work, as for any other.

    Every other gateway hears of it so many steps of 100 ms after the rest; what it sends there until then is
    no fault of its own, and not counted.
    """
    settings = replace(SETTINGS, gateways=40, fall_us=3 * S, cold_us=16 * S, cold_bears_units=14.0)
    gateways = [Gateway(replace(settings, position=i, seed=i), nodes=40) for i in range(40)]
    sends: list[int] = []
    told: dict[int, int] = {}
    born = gateways[0].now + 6 * S
    for step in range(110):
        for i, g in enumerate(gateways):
            g.wait(100 * MS)
            if step == 60 + late_steps * (i // 5 % 2):
                told[i] = g.now
                g.do(ListUpdate(ListKind.DELTA, (entry("n0", 0, launched_us=born),)))
            for k in range(8):
                # A cold node's work is asked for more often than it is let through.
                if (shard := (i + 5 * k) % 40) == 0 or step % 10 == k:
                    g.ask(volume=f"v{k}", shard=shard, units=2.0, grace_us=S)
            while out := [(t, a) for t, a in g.log if isinstance(a, Send)]:
                g.log.clear()
                for t, a in out:  # an answer may let the next one out
                    new = a.node == "n0" and t > born
                    sends += [t] * (new and t >= told.get(i, t + 1))
                    g.answer(a.request, outcome if new else Outcome.DONE, node=a.node, closed=True)
            g.log.clear()
    return sends, born


def test_a_cold_node_gets_work_though_few_of_many_gateways_have_any_for_it() -> None:
    """An even part for forty is a trickle where eight have work: 50 units in 3 s, where 180 were served."""
    sends, born = start_cold_for_few(Outcome.DONE)
    assert 2.0 * sum(t < born + 3 * S for t in sends) > 100.0


def served_after_restart(restarted: bool) -> float:
    """Units that a cold node serves within 2 s of the restart of every gateway, 3 s after its own start."""
    settings = replace(SETTINGS, gateways=180, fall_us=3 * S, cold_us=16 * S, cold_bears_units=15.0)
    born, units = 0, 0.0
    gateways = [Gateway(replace(settings, position=20 * i, seed=i), nodes=90) for i in range(8)]
    for step in range(110):
        for i, g in enumerate(gateways):
            g.wait(100 * MS)
            if step == 60:
                born = g.now
                g.do(ListUpdate(ListKind.DELTA, (entry("n0", 0, launched_us=born),)))
            if step == 90 and restarted:
                g = gateways[i] = Gateway(g.controller.s, nodes=90, now=g.now)
                g.do(ListUpdate(ListKind.DELTA, (entry("n0", 0, launched_us=born),)))
            g.ask(volume=f"v{step % 4}", shard=0 if step % 4 == 0 else 1 + (i + step) % 6, units=2.0)
            while out := [a for _, a in g.log if isinstance(a, Send)]:
                g.log.clear()
                for a in out:
                    units += 2.0 * (a.node == "n0" and step >= 90)
                    g.answer(a.request, node=a.node, closed=True)
            g.log.clear()
    return units


def test_gateways_that_have_just_started_do_not_wait_for_turns_of_the_whole_fleet() -> None:
    """Each counted all 180 as rivals at first: none had a turn at a cold node within its first seconds."""
    assert served_after_restart(True) >= 0.25 * served_after_restart(False)


def test_few_gateways_together_keep_to_what_an_unanswering_cold_node_bears() -> None:
    """Also where the node has restarted: what it served before says nothing of what it bears now."""
    for outcome, late_steps in ((Outcome.TIMEOUT, 0), (Outcome.FULL, 0), (Outcome.TIMEOUT, 15)):
        sends, born = start_cold_for_few(outcome, late_steps)
        assert sends
        for at in sends:
            bears = 14.0 * (1 + (1 / 0.2 - 1) * max(0, at - 3 * S - born) / (16 * S))
            assert 2.0 * sum(at - 3 * S < t <= at for t in sends) <= bears
