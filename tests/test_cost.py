"""CPU cost and memory of the decision module, measured by counts of calls and objects instead of time."""

from __future__ import annotations

import sys
from dataclasses import replace
from types import FrameType

from rackseam.interface import Answer, Arrival, ListKind, ListUpdate, NodeState, Outcome, Send
from tests.gateway import FREE_PLAN, LIMITED_PLAN, MS, READ_CLASS, SETTINGS, Gateway, S, node_entry


def calls_per_event(nodes: int, gateways: int, volumes: int) -> float:
    gateway = Gateway(replace(SETTINGS, gateways=gateways), nodes=nodes)
    for i in range(volumes):
        gateway.arrive(volume=f"old{i}", shard=i % nodes)
    for send in (done := gateway.sends()):
        gateway.answer(send.request, node=send.node)
        done += [new for new in gateway.sends()[len(done) :]]
    count = 0

    def count_call(_frame: FrameType, event: str, _arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    gateway.wait(4 * S)
    sys.setprofile(count_call)
    for i in range(100):
        name = f"x{i}"
        arrival = Arrival(name, READ_CLASS, FREE_PLAN, f"v{i % 5}", 2.0, i % 3 - 1, gateways, "", 3 * S)
        sent = [a for a in gateway.controller.handle(gateway.now, [arrival]) if isinstance(a, Send)]
        for send in sent:
            gateway.controller.handle(
                gateway.now, [Answer(send.request, 0, send.node, Outcome.DONE, True, 20 * MS)]
            )
        gateway.now += 20 * MS
    sys.setprofile(None)
    return count / 200


def test_work_per_event_does_not_grow_with_the_fleet() -> None:
    small, large = calls_per_event(4, 4, 20), calls_per_event(400, 400, 2_000)
    assert large < 1.3 * small


def test_gone_nodes_idle_volumes_and_finished_requests_are_dropped() -> None:
    gateway = Gateway(nodes=2)
    for i in range(300):
        gateway.arrive(volume=f"v{i}", plan=LIMITED_PLAN if i % 2 else FREE_PLAN, name=f"a{i}")
        if f"a{i}" in gateway.attempts:
            gateway.answer(f"a{i}")
        gateway.wait(500 * MS)
    assert len(gateway.controller.volumes) < 30
    assert len(gateway.controller.requests) < 10
    assert len(gateway.controller.scheduled) < 60
    for i in range(50):
        gateway.handle(
            ListUpdate(ListKind.DELTA, (node_entry(f"m{i}", 1), node_entry(f"m{i - 1}", 1, NodeState.GONE)))
        )
    assert len(gateway.controller.nodes) < 6
    assert len(gateway.controller.shards[1].nodes) < 6
