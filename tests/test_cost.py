"""Cost and memory: by counting calls and objects, not by a clock."""

from __future__ import annotations

import sys
from dataclasses import replace
from types import FrameType

from rackseam.interface import Answer, Arrival, ListKind, ListUpdate, NodeState, Outcome, Send
from tests.gateway import FREE_PLAN, LIMITED_PLAN, MS, READ_CLASS, SETTINGS, Gateway, S, entry


def calls_per_event(nodes: int, gateways: int, volumes: int) -> float:
    g = Gateway(replace(SETTINGS, gateways=gateways), nodes=nodes)
    for i in range(volumes):
        g.ask(volume=f"old{i}", shard=i % nodes)
    for s in (done := g.sends()):
        g.answer(s.request, node=s.node)
        done += [new for new in g.sends()[len(done) :]]
    count = 0

    def tick(_frame: FrameType, event: str, _arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    g.wait(4 * S)
    sys.setprofile(tick)
    for i in range(100):
        name = f"x{i}"
        arrival = Arrival(name, READ_CLASS, FREE_PLAN, f"v{i % 5}", 2.0, i % 3 - 1, gateways, "", 3 * S)
        sent = [a for a in g.controller.handle(g.now, [arrival]) if isinstance(a, Send)]
        for s in sent:
            g.controller.handle(g.now, [Answer(s.request, 0, s.node, Outcome.DONE, True, 20 * MS)])
        g.now += 20 * MS
    sys.setprofile(None)
    return count / 200


def test_work_per_event_does_not_grow_with_the_fleet() -> None:
    small, large = calls_per_event(4, 4, 20), calls_per_event(400, 400, 2_000)
    assert large < 1.3 * small


def test_gone_nodes_idle_volumes_and_finished_requests_are_dropped() -> None:
    g = Gateway(nodes=2)
    for i in range(300):
        g.ask(volume=f"v{i}", plan=LIMITED_PLAN if i % 2 else FREE_PLAN, name=f"a{i}")
        if f"a{i}" in g.attempts:
            g.answer(f"a{i}")
        g.wait(500 * MS)
    assert len(g.controller.volumes) < 30
    assert len(g.controller.requests) < 10
    assert len(g.controller.scheduled) < 60
    for i in range(50):
        g.do(ListUpdate(ListKind.DELTA, (entry(f"m{i}", 1), entry(f"m{i - 1}", 1, NodeState.GONE))))
    assert len(g.controller.nodes) < 6
    assert len(g.controller.shards[1].nodes) < 6
