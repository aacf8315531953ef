"""Test driver for one `Controller`: passes events in, records the actions, with a clock set by the test."""

from __future__ import annotations

from dataclasses import replace

from rackseam.control import Controller
from rackseam.interface import (
    Action,
    Answer,
    Arrival,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    NodeEntry,
    NodeState,
    Outcome,
    Plan,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Timer,
)

MS = 1_000
S = 1_000_000

READ = RequestClass(aim_us=400 * MS, deadline_us=3 * S, effect=Effect.SAFE)
KEYED = RequestClass(aim_us=600 * MS, deadline_us=3 * S, effect=Effect.KEYED, group="cell", key_ttl_us=2 * S)
UNSAFE = RequestClass(aim_us=600 * MS, deadline_us=3 * S, effect=Effect.UNSAFE)
ORDERED = replace(KEYED, ordered=True)
READ_CLASS, KEYED_CLASS, UNSAFE_CLASS, ORDERED_CLASS = range(4)

FREE = Plan(weight=1.0)
HEAVY = Plan(weight=3.0)
RESERVED = Plan(weight=1.0, reserve_units_per_s=10.0)
LIMITED = Plan(weight=1.0, limit_units_per_s=20.0, burst_units=40.0, tolerance_units=8.0)
FREE_PLAN, HEAVY_PLAN, RESERVED_PLAN, LIMITED_PLAN = range(4)

SETTINGS = Settings(
    classes=(READ, KEYED, UNSAFE, ORDERED),
    plans=(FREE, HEAVY, RESERVED, LIMITED),
    gateways=1,
    seed=7,
    step_us=2 * MS,
    max_units=8.0,
    mean_units=2.0,
    max_attempts=4,
    may_cancel=True,
    answer_slack_us=8 * MS,
    ask_every_us=10 * S,
    drain_grace_us=S,
    cold_share=0.2,
    cold_us=10 * S,
    cold_bears_units=16.0,
    fall_us=S,
    tip_multiple=3.0,
    key_rest_us=100 * MS,
)


class Gateway:
    """Drives one Controller: delivers its timers and records all of its actions."""

    def __init__(self, settings: Settings = SETTINGS, nodes: int = 1, now: int = 50 * S) -> None:
        self.controller = Controller(settings)
        self.now = now
        self.timers: list[tuple[int, str]] = []
        self.log: list[tuple[int, Action]] = []
        self.attempts: dict[str, int] = {}
        self.request_count = 0
        entries = tuple(NodeEntry(f"n{i}", shard=i) for i in range(nodes))
        self.handle(ListUpdate(ListKind.CACHED, entries))
        self.handle(ListUpdate(ListKind.FULL, entries))

    def handle(self, *events: Event) -> list[Action]:
        """Pass one batch of events; the actions other than timers."""
        actions = self.controller.handle(self.now, events)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.in_us, action.tag))
            elif isinstance(action, Send):
                self.attempts[action.request] = self.attempts.get(action.request, 0) + 1
        return [a for a in actions if not isinstance(a, SetTimer)]

    def wait(self, us: int) -> list[Action]:
        """Advance the clock and deliver timers when due; the actions taken meanwhile."""
        end, actions = self.now + us, []
        while self.timers and min(self.timers)[0] <= end:
            when, tag = min(self.timers)
            self.timers.remove((when, tag))
            self.now = max(self.now, when)
            actions += self.handle(Timer(tag))
        self.now = end
        return actions

    def arrive(self, volume: str = "v", request_class: int = READ_CLASS, plan: int = FREE_PLAN,
               units: float = 2.0, shard: int = 0, key: str = "", gateways: int = 1,
               time_left_us: int = 3 * S, name: str = "") -> list[Action]:  # fmt: skip
        """Pass the arrival of one request, named "r1", "r2" ... by default."""
        self.request_count += 1
        request = name or f"r{self.request_count}"
        return self.handle(
            Arrival(request, request_class, plan, volume, units, shard, gateways, key, time_left_us)
        )

    def answer(self, request: str, outcome: Outcome = Outcome.DONE, node: str = "n0", rtt_us: int = 20 * MS,
               closed: bool | None = None, elsewhere: float = 0.0,
               report: dict[str, float] | None = None,
               attempt: int | None = None) -> list[Action]:  # fmt: skip
        """End an attempt of the request, the latest one by default."""
        number = self.attempts[request] - 1 if attempt is None else attempt
        return self.handle(Answer(
            request, number, node, outcome, outcome is Outcome.DONE if closed is None else closed, rtt_us,
            elsewhere, 0, report or {},
        ))  # fmt: skip

    def sends(self) -> list[Send]:
        return [action for _, action in self.log if isinstance(action, Send)]

    def final_answers(self, request: str) -> list[Action]:
        return [
            action
            for _, action in self.log
            if isinstance(action, Refuse | Fail) and action.request == request
        ]


def sent_requests(actions: list[Action]) -> list[str]:
    return [action.request for action in actions if isinstance(action, Send)]


def node_entry(node: str, shard: int, state: NodeState = NodeState.READY, launched_us: int = 0) -> NodeEntry:
    return NodeEntry(node, shard, state, launched_us=launched_us)
