"""Faults drawn from a seed: the same seed and options give the same faults. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from stackrouter.soak.options import SoakOptions

FIRST_S: Final = 1.0  # faults begin so long after the clients
# How often each kind comes, a second in a run of 24 gateways, and how long it lasts.
_EVERY_S: Final = {
    "holds": 0.12, "drains": 0.7, "hangs": 1.2, "resets": 0.5, "silence": 1.5, "slowness": 2.0,
    "history": 2.5, "term": 1.6, "kill": 2.5, "hup": 2.5, "leavers": 0.4,
}  # fmt: skip
_LENGTH_S: Final = {
    "holds": (0.02, 0.14), "drains": (0.5, 4.0), "hangs": (0.5, 3.0), "silence": (0.3, 6.0),
    "slowness": (1.0, 6.0), "kill": (0.2, 1.5), "term": (0.1, 1.0), "leavers": (0.3, 1.0),
}  # fmt: skip
_AT_NODES: Final = frozenset({"drains", "hangs", "resets"})
USUAL_GATEWAYS: Final = 24
LEAST_SHARE: Final = 0.5  # a small run gets more faults for each of its gateways


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """`target`: the number of a node or gateway; `amount`: a length in seconds, or of the kind's own."""

    at_s: float
    kind: str
    target: int
    amount: float = 0.0


def draw(options: SoakOptions) -> list[Fault]:
    """All faults of a run, by time."""
    faults: list[Fault] = []
    share = max(LEAST_SHARE, options.gateways / USUAL_GATEWAYS)
    for kind in options.faults:
        if kind not in _EVERY_S:
            continue  # it holds for a whole process (`process_faults`), or clients play it all along
        rng = random.Random(f"{options.seed} {kind}")
        count = options.nodes if kind in _AT_NODES else options.gateways
        at = FIRST_S + rng.expovariate(share / _EVERY_S[kind])
        while at < options.seconds:
            amount = rng.uniform(*_LENGTH_S[kind]) if kind in _LENGTH_S else rng.random()
            faults.append(Fault(at, kind, rng.randrange(count), amount))
            at += rng.expovariate(share / _EVERY_S[kind])
    return sorted(faults)


@dataclass(frozen=True, slots=True)
class ProcessFaults:
    """What one gateway process meets for as long as it lives."""

    seed: int
    failing_share: float  # of its system calls on sockets
    wall_step_s: float


def process_faults(options: SoakOptions, gateway: int, life: int) -> ProcessFaults:
    """For the `life`-th process of a gateway."""
    rng = random.Random(f"{options.seed} process {gateway} {life}")
    share = rng.choice((0.0, 0.02, 0.08)) if "syscalls" in options.faults else 0.0
    step = rng.choice((0.0, -3600.0, -3.0, 3.0, 3600.0)) if "clock" in options.faults else 0.0
    return ProcessFaults(rng.randrange(1 << 30), share, step)
