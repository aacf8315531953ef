"""One gateway under three times what its nodes bear: what cannot be served is told so at once."""

from __future__ import annotations

import heapq
import random
import statistics
import unittest
from dataclasses import replace

from rackseam.control import Controller
from rackseam.interface import (
    Action,
    Answer,
    Arrival,
    Event,
    ListKind,
    ListUpdate,
    NodeEntry,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    Timer,
)
from tests.gateway import LIMITED_PLAN, MS, READ, SETTINGS, Gateway, S

NODES, SERVICE_US, OVERLOAD, LASTS_US = 8, 50 * MS, 3.0, 6 * S
SETTLED_US = 1 * S  # a short burst may wait; what comes later stands behind a standing queue
TARGET_MEDIAN_US = 100 * MS


class Overload:
    """Nodes that serve one request at a time, and clients that ask for `OVERLOAD` times what they bear."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.controller = Controller(replace(SETTINGS, classes=(READ,), seed=seed, cold_us=0))
        self.events: list[tuple[int, int, Event]] = []
        self.asked: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.free_at = [0] * NODES
        self.refused_after: list[int] = []
        self.in_time = 0
        self.made = 0

    def at(self, when: int, event: Event) -> None:
        self.made += 1
        heapq.heappush(self.events, (when, self.made, event))

    def play(self) -> None:
        self.at(0, ListUpdate(ListKind.FULL, tuple(NodeEntry(f"n{i}", shard=i) for i in range(NODES))))
        now = 0
        while now < LASTS_US:
            now += 1 + int(self.random.expovariate(NODES * OVERLOAD / SERVICE_US))
            request = f"r{len(self.asked)}"
            self.asked[request] = now
            volume = f"v{self.random.randrange(16)}"
            shard = self.random.randrange(NODES)
            self.at(now, Arrival(request, 0, 0, volume, 2.0, shard, 1, request, READ.deadline_us))
        while self.events:
            when, _, event = heapq.heappop(self.events)
            for action in self.controller.handle(when, [event]):
                self.carry_out(when, action)

    def carry_out(self, now: int, action: Action) -> None:
        match action:
            case SetTimer(tag, in_us):
                self.at(now + max(1, in_us), Timer(tag))
            case Refuse(request) if self.asked[request] >= SETTLED_US:
                self.refused_after.append(now - self.asked[request])
            case Send(request, node, _):
                number = self.attempts.get(request, 0)
                self.attempts[request] = number + 1
                place = int(node[1:])
                self.free_at[place] = max(self.free_at[place], now) + SERVICE_US
                done_at = self.free_at[place]
                self.in_time += done_at - self.asked[request] <= READ.aim_us
                answer = Answer(request, number, node, Outcome.DONE, True, done_at - now)
                self.at(done_at, answer)


class OverloadTest(unittest.TestCase):
    def test_refusals_come_at_once_while_an_overload_stands(self) -> None:
        """Guards against a refusal that comes only when the request's time is over."""
        overload = Overload(seed=1)
        overload.play()
        self.assertTrue(overload.refused_after)
        self.assertLess(statistics.median(overload.refused_after), TARGET_MEDIAN_US)

    def test_what_the_nodes_can_serve_in_time_still_is(self) -> None:
        """Guards against refusals that leave nodes idle: as many are in time as the nodes serve meanwhile."""
        for seed in range(3):
            overload = Overload(seed)
            overload.play()
            self.assertGreaterEqual(overload.in_time, NODES * LASTS_US // SERVICE_US)

    def test_what_stands_behind_tokens_that_are_spoken_for_is_refused_at_once(self) -> None:
        """Guards against a wait for tokens that others before it will take."""
        g = Gateway()
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="a")  # 600 ms of the limit's rate each
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="b")
        g.ask(plan=LIMITED_PLAN, units=3.0, gateways=4, name="c")
        self.assertEqual((g.finals("b"), g.finals("c")), ([], [Refuse("c", 0)]))


if __name__ == "__main__":
    unittest.main()
