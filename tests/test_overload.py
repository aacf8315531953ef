"""One gateway under three times the load that its nodes can serve refuses excess requests at once."""

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

NODES, SERVICE_US, OVERLOAD, DURATION_US = 8, 50 * MS, 3.0, 6 * S
SETTLED_US = 1 * S  # a short burst may wait; requests that arrive later find a persistent queue
TARGET_MEDIAN_US = 100 * MS


class Overload:
    """Nodes that serve one request at a time, and clients that send `OVERLOAD` times what they can serve."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.controller = Controller(replace(SETTINGS, classes=(READ,), seed=seed, cold_us=0))
        self.events: list[tuple[int, int, Event]] = []
        self.arrived_at: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.free_at = [0] * NODES
        self.refused_after: list[int] = []
        self.in_time = 0
        self.event_count = 0

    def schedule(self, when: int, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, event))

    def run(self) -> None:
        self.schedule(0, ListUpdate(ListKind.FULL, tuple(NodeEntry(f"n{i}", shard=i) for i in range(NODES))))
        now = 0
        while now < DURATION_US:
            now += 1 + int(self.random.expovariate(NODES * OVERLOAD / SERVICE_US))
            request = f"r{len(self.arrived_at)}"
            self.arrived_at[request] = now
            volume = f"v{self.random.randrange(16)}"
            shard = self.random.randrange(NODES)
            self.schedule(now, Arrival(request, 0, 0, volume, 2.0, shard, 1, request, READ.deadline_us))
        while self.events:
            when, _, event = heapq.heappop(self.events)
            for action in self.controller.handle(when, [event]):
                self.carry_out(when, action)

    def carry_out(self, now: int, action: Action) -> None:
        match action:
            case SetTimer(tag, in_us):
                self.schedule(now + max(1, in_us), Timer(tag))
            case Refuse(request) if self.arrived_at[request] >= SETTLED_US:
                self.refused_after.append(now - self.arrived_at[request])
            case Send(request, node, _):
                number = self.attempts.get(request, 0)
                self.attempts[request] = number + 1
                index = int(node[1:])
                self.free_at[index] = max(self.free_at[index], now) + SERVICE_US
                done_at = self.free_at[index]
                self.in_time += done_at - self.arrived_at[request] <= READ.aim_us
                answer = Answer(request, number, node, Outcome.DONE, True, done_at - now)
                self.schedule(done_at, answer)


class OverloadTest(unittest.TestCase):
    def test_refusals_come_at_once_during_a_lasting_overload(self) -> None:
        """Guards against refusals that come only at the request's deadline."""
        overload = Overload(seed=1)
        overload.run()
        self.assertTrue(overload.refused_after)
        self.assertLess(statistics.median(overload.refused_after), TARGET_MEDIAN_US)

    def test_refusals_do_not_reduce_the_requests_served_in_time(self) -> None:
        """Guards against refusals that leave nodes idle: as many requests are in time as nodes can serve."""
        for seed in range(3):
            overload = Overload(seed)
            overload.run()
            self.assertGreaterEqual(overload.in_time, NODES * DURATION_US // SERVICE_US)

    def test_a_request_behind_others_that_need_the_next_tokens_is_refused_at_once(self) -> None:
        """Guards against a wait for tokens that requests ahead of it will use."""
        gateway = Gateway()
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="a")  # 600 ms of the limit's rate each
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="b")
        gateway.arrive(plan=LIMITED_PLAN, units=3.0, gateways=4, name="c")
        self.assertEqual((gateway.final_answers("b"), gateway.final_answers("c")), ([], [Refuse("c", 0)]))


if __name__ == "__main__":
    unittest.main()
