"""How long a gateway's decision module waits for its turn at a cold node, by the number of gateways.

The settings are those of tests/gateway.py but for the number of gateways. Nodes grow with the gateways as at
the target (17,000 to 7,800). Every gateway is asked for 1,410 requests a second over all nodes, and has work
for the cold one all the time. Time is virtual.
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
from stackrouter.capacity.even_parts import SETTINGS, with_gateways

STEP_US = 100_000
WARM_UP_STEPS = 50
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)
POSITIONS = 2  # gateways that are played, of all
COLD = "cold"
LONGEST_S = (SETTINGS.cold_us + 2 * SETTINGS.fall_us) / 1e6  # no gateway waits longer: it counts as warm


@dataclass
class OneGateway:
    """One decision module that answers each attempt at once, but for those at the cold node."""

    settings: Settings
    nodes: int
    now: int = 50_000_000
    made: int = 0
    cold_outcome: Outcome = Outcome.DONE
    cold_sends: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.settings.position)
        self._controller = Controller(self.settings)
        self._timer: int | None = None
        entries = tuple(NodeEntry(f"n{i}", shard=i) for i in range(1, self.nodes))
        self.handle(ListUpdate(ListKind.FULL, entries))

    def handle(self, *events: Event) -> None:
        pending: list[Event] = list(events)
        while pending:
            actions = self._controller.handle(self.now, pending)
            pending = []
            for action in actions:
                match action:
                    case SetTimer(_, in_us):
                        self._timer = self.now + in_us
                    case Send(request, node, _) if node == COLD:
                        self.cold_sends.append(self.now)
                        pending.append(Answer(request, 0, COLD, self.cold_outcome, True, 20_000))
                    case Send(request, node, _):
                        pending.append(Answer(request, 0, node, Outcome.DONE, True, 20_000))

    def step(self, shards: list[int]) -> None:
        """Let one step pass, in which requests come for these shards."""
        until = self.now + STEP_US
        for place, shard in enumerate(shards):
            self.now = until - STEP_US + STEP_US * (place + 1) // (len(shards) + 1)
            self._ring()
            self.made += 1
            self.handle(Arrival(f"r{self.made}", 0, 0, "v", 2.0, shard, 1, "", 3_000_000))
        self.now = until
        self._ring()

    def _ring(self) -> None:
        if self._timer is not None and self._timer <= self.now:
            self._timer = None
            self.handle(Timer("due"))


def first_sends(gateways: int) -> dict[str, float]:
    """Seconds from a node's start to a gateway's first attempt there, the mean of `POSITIONS` gateways."""
    nodes = max(4, round(gateways * targets.NODES / targets.GATEWAYS))
    waits: list[float] = []
    for nth in range(POSITIONS):
        settings = with_gateways(gateways, position=(2 * nth + 1) * gateways // (2 * POSITIONS))
        one = OneGateway(settings, nodes)
        rng = random.Random(nth)
        for _ in range(WARM_UP_STEPS):
            one.step(_shards(rng, nodes))
        born = one.now
        one.handle(ListUpdate(ListKind.DELTA, (NodeEntry(COLD, shard=0, launched_us=born),)))
        for _ in range(round(LONGEST_S * 1e6) // STEP_US):
            one.step([0, *_shards(rng, nodes)])
        if one.cold_sends:
            waits.append((one.cold_sends[0] - born) / 1e6)
    waits += [LONGEST_S] * (POSITIONS - len(waits))
    return {"module.cold.first_send": sum(waits) / POSITIONS}


def _shards(rng: random.Random, nodes: int) -> list[int]:
    return [rng.randrange(nodes) for _ in range(round(REQUESTS_S * STEP_US / 1e6))]
