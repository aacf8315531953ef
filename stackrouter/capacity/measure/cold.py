"""Measures how long a gateway's decision module waits for its turn at a cold node, by number of gateways.

The settings are those of tests/gateway.py except for the number of gateways. The number of nodes grows with
the gateways in the target's ratio (17,000 to 7,800). Every gateway gets 1,410 requests a second over all
nodes, and always has work for the cold one. Time is virtual.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from rackseam.control import Controller
from rackseam.interface import (
    Answer,
    Arrival,
    Event,
    ListKind,
    ListUpdate,
    NodeEntry,
    Outcome,
    Send,
    SetTimer,
    Settings,
    Timer,
)
from stackrouter.capacity import targets
from stackrouter.capacity.even_parts import SETTINGS, gateway_settings

STEP_US = 100_000
WARM_UP_STEPS = 50
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)
POSITIONS = 2  # number of gateways that are simulated, spread over all positions
COLD_NODE = "cold"
# The node counts as warm after this time, so no gateway waits longer.
MAX_WAIT_S = (SETTINGS.cold_us + 2 * SETTINGS.fall_us) / 1e6


@dataclass
class SimulatedGateway:
    """One decision module whose attempts are answered at once; attempts at the cold node are recorded."""

    settings: Settings
    nodes: int
    now_us: int = 50_000_000
    request_count: int = 0
    cold_outcome: Outcome = Outcome.DONE
    cold_sends: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.settings.position)
        self._controller = Controller(self.settings)
        self._timer_us: int | None = None
        entries = tuple(NodeEntry(f"n{i}", shard=i) for i in range(1, self.nodes))
        self.handle(ListUpdate(ListKind.FULL, entries))

    def handle(self, *events: Event) -> None:
        pending: list[Event] = list(events)
        while pending:
            actions = self._controller.handle(self.now_us, pending)
            pending = []
            for action in actions:
                match action:
                    case SetTimer(_, in_us):
                        self._timer_us = self.now_us + in_us
                    case Send(request, node, _) if node == COLD_NODE:
                        self.cold_sends.append(self.now_us)
                        pending.append(Answer(request, 0, COLD_NODE, self.cold_outcome, True, 20_000))
                    case Send(request, node, _):
                        pending.append(Answer(request, 0, node, Outcome.DONE, True, 20_000))

    def step(self, shards: list[int]) -> None:
        """Advance time by one step, during which one request arrives for each of these shards."""
        end_us = self.now_us + STEP_US
        for index, shard in enumerate(shards):
            self.now_us = end_us - STEP_US + STEP_US * (index + 1) // (len(shards) + 1)
            self._fire_due_timer()
            self.request_count += 1
            self.handle(Arrival(f"r{self.request_count}", 0, 0, "v", 2.0, shard, 1, "", 3_000_000))
        self.now_us = end_us
        self._fire_due_timer()

    def _fire_due_timer(self) -> None:
        if self._timer_us is not None and self._timer_us <= self.now_us:
            self._timer_us = None
            self.handle(Timer("due"))


def first_sends(gateways: int) -> dict[str, float]:
    """Mean seconds from a node's start to a gateway's first attempt there, over `POSITIONS` gateways."""
    nodes = max(4, round(gateways * targets.NODES / targets.GATEWAYS))
    waits: list[float] = []
    for index in range(POSITIONS):
        settings = gateway_settings(gateways, position=(2 * index + 1) * gateways // (2 * POSITIONS))
        gateway = SimulatedGateway(settings, nodes)
        rng = random.Random(index)
        for _ in range(WARM_UP_STEPS):
            gateway.step(_shards(rng, nodes))
        started_us = gateway.now_us
        gateway.handle(ListUpdate(ListKind.DELTA, (NodeEntry(COLD_NODE, shard=0, launched_us=started_us),)))
        for _ in range(round(MAX_WAIT_S * 1e6) // STEP_US):
            gateway.step([0, *_shards(rng, nodes)])
        if gateway.cold_sends:
            waits.append((gateway.cold_sends[0] - started_us) / 1e6)
    waits += [MAX_WAIT_S] * (POSITIONS - len(waits))
    return {"module.cold.first_send": sum(waits) / POSITIONS}


def _shards(rng: random.Random, nodes: int) -> list[int]:
    return [rng.randrange(nodes) for _ in range(round(REQUESTS_S * STEP_US / 1e6))]
