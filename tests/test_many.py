"""Budget of a cold node, summed over many gateways of which each knows only its own requests."""

from __future__ import annotations

from dataclasses import replace

from rackseam.interface import ListKind, ListUpdate, Outcome, Send
from tests.gateway import MS, SETTINGS, Gateway, S, node_entry

GATEWAYS = 130


def start_cold(answered: bool, restart: bool = False) -> tuple[list[tuple[int, float]], int]:
    """(time, units) sent to a node that starts while many gateways hold requests for it, and its start."""
    gateways = [
        Gateway(replace(SETTINGS, gateways=GATEWAYS, position=i, seed=i), nodes=0) for i in range(GATEWAYS)
    ]
    started_at = gateways[0].now
    for gateway in gateways:
        for n in range(4):
            gateway.arrive(volume=f"v{n}", units=2.0, time_left_us=3 * S)
        gateway.handle(ListUpdate(ListKind.FULL, (node_entry("n0", 0, launched_us=started_at),)))
    sends: list[tuple[int, float]] = []
    served = 0
    for step in range(80):
        for i, gateway in enumerate(gateways):
            gateway.wait(100 * MS)
            gateway.arrive(units=2.0)
            sends += [(t, 2.0) for t, a in gateway.log if isinstance(a, Send)]
            new = [a for _, a in gateway.log if isinstance(a, Send)]
            gateway.log.clear()
            for send in new:
                served += 1
                gateway.answer(send.request, Outcome.DONE if answered else Outcome.TIMEOUT, closed=True)
            if restart and step == 10 and i % 2:
                gateways[i] = Gateway(gateway.controller.settings, nodes=0, now=gateway.now)
                gateways[i].handle(ListUpdate(ListKind.FULL, (node_entry("n0", 0, launched_us=started_at),)))
    return sends, started_at


def test_first_sends_of_all_gateways_together_keep_to_the_budget_of_a_cold_node() -> None:
    """Guards against a first send of every gateway at once.

    130 of them overloaded a node that had just started.
    """
    for restart in (False, True):
        sends, started_at = start_cold(answered=False, restart=restart)
        assert len(sends) > GATEWAYS / 2  # turns rotate, so that no gateway is starved
        for at, _ in sends:
            age = max(0, at - started_at) / SETTINGS.cold_us
            budget = SETTINGS.cold_bears_units * (1 + (1 / SETTINGS.cold_share - 1) * age)
            assert sum(u for t, u in sends if at - SETTINGS.fall_us < t <= at) <= budget


def start_cold_for_few(outcome: Outcome, late_steps: int = 0) -> tuple[list[int], int]:
    """Send times of requests of 2 units to a new node for which 8 of 40 gateways have work, and its start.

    Every other gateway learns of the start `late_steps` steps of 100 ms after the rest. What it sends to the
    node until then is not counted.
    """
    settings = replace(SETTINGS, gateways=40, fall_us=3 * S, cold_us=16 * S, cold_bears_units=14.0)
    gateways = [Gateway(replace(settings, position=i, seed=i), nodes=40) for i in range(40)]
    sends: list[int] = []
    informed_at: dict[int, int] = {}
    started_at = gateways[0].now + 6 * S
    for step in range(110):
        for i, gateway in enumerate(gateways):
            gateway.wait(100 * MS)
            if step == 60 + late_steps * (i // 5 % 2):
                informed_at[i] = gateway.now
                gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n0", 0, launched_us=started_at),)))
            for k in range(8):
                # More requests arrive for the cold node than are admitted.
                if (shard := (i + 5 * k) % 40) == 0 or step % 10 == k:
                    gateway.arrive(volume=f"v{k}", shard=shard, units=2.0, time_left_us=S)
            while out := [(t, a) for t, a in gateway.log if isinstance(a, Send)]:
                gateway.log.clear()
                for t, a in out:  # an answer may admit the next request
                    new = a.node == "n0" and t > started_at
                    sends += [t] * (new and t >= informed_at.get(i, t + 1))
                    gateway.answer(a.request, outcome if new else Outcome.DONE, node=a.node, closed=True)
            gateway.log.clear()
    return sends, started_at


def test_a_cold_node_gets_work_though_few_of_many_gateways_have_any_for_it() -> None:
    """Guards against a budget split among all gateways where only some have work.

    With an equal part for each of forty, eight gateways sent 50 units in 3 s instead of 180.
    """
    sends, started_at = start_cold_for_few(Outcome.DONE)
    assert 2.0 * sum(t < started_at + 3 * S for t in sends) > 100.0


def served_after_restart(restarted: bool) -> float:
    """Units served by a cold node within 2 s, from 3 s after its start on, when every gateway may restart."""
    settings = replace(SETTINGS, gateways=180, fall_us=3 * S, cold_us=16 * S, cold_bears_units=15.0)
    started_at, units = 0, 0.0
    gateways = [Gateway(replace(settings, position=20 * i, seed=i), nodes=90) for i in range(8)]
    for step in range(110):
        for i, gateway in enumerate(gateways):
            gateway.wait(100 * MS)
            if step == 60:
                started_at = gateway.now
                gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n0", 0, launched_us=started_at),)))
            if step == 90 and restarted:
                gateway = gateways[i] = Gateway(gateway.controller.settings, nodes=90, now=gateway.now)
                gateway.handle(ListUpdate(ListKind.DELTA, (node_entry("n0", 0, launched_us=started_at),)))
            gateway.arrive(volume=f"v{step % 4}", shard=0 if step % 4 == 0 else 1 + (i + step) % 6, units=2.0)
            while out := [a for _, a in gateway.log if isinstance(a, Send)]:
                gateway.log.clear()
                for a in out:
                    units += 2.0 * (a.node == "n0" and step >= 90)
                    gateway.answer(a.request, node=a.node, closed=True)
            gateway.log.clear()
    return units


def test_gateways_that_have_just_started_do_not_wait_for_turns_of_the_whole_fleet() -> None:
    """Guards against a new process that counts all 180 gateways as contenders.

    With that none had a turn at a cold node within its first seconds.
    """
    assert served_after_restart(True) >= 0.25 * served_after_restart(False)


def test_few_gateways_together_keep_to_the_budget_of_a_cold_node_that_serves_nothing() -> None:
    """Guards against a budget that counts what the node served before its restart."""
    for outcome, late_steps in ((Outcome.TIMEOUT, 0), (Outcome.FULL, 0), (Outcome.TIMEOUT, 15)):
        sends, started_at = start_cold_for_few(outcome, late_steps)
        assert sends
        for at in sends:
            budget = 14.0 * (1 + (1 / 0.2 - 1) * max(0, at - 3 * S - started_at) / (16 * S))
            assert 2.0 * sum(at - 3 * S < t <= at for t in sends) <= budget
