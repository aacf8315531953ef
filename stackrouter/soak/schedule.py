"""Draws faults from a seed: the same seed and options give the same faults. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from stackrouter.soak.options import SoakOptions

FIRST_FAULT_S: Final = 1.0  # faults begin this long after the clients
# Mean interval in seconds between faults of each kind in a run of 24 gateways, and their duration.
_MEAN_INTERVAL_S: Final = {
    "holds": 0.12, "drains": 0.7, "hangs": 1.2, "resets": 0.5, "silence": 1.5, "slowness": 2.0,
    "history": 2.5, "term": 1.6, "kill": 2.5, "hup": 2.5, "leavers": 0.4,
}  # fmt: skip
_DURATION_S: Final = {
    "holds": (0.02, 0.14), "drains": (0.5, 4.0), "hangs": (0.5, 3.0), "silence": (0.3, 6.0),
    "slowness": (1.0, 6.0), "kill": (0.2, 1.5), "term": (0.1, 1.0), "leavers": (0.3, 1.0),
}  # fmt: skip
_NODE_KINDS: Final = frozenset({"drains", "hangs", "resets"})
REFERENCE_GATEWAYS: Final = 24
MIN_SCALE: Final = 0.5  # small runs get more faults per gateway


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """`target`: the index of a node or gateway; `amount`: a duration in seconds or, for kinds without one, a
    fraction."""

    at_s: float
    kind: str
    target: int
    amount: float = 0.0


def draw(options: SoakOptions) -> list[Fault]:
    """Draws all faults of a run, sorted by time."""
    faults: list[Fault] = []
    scale = max(MIN_SCALE, options.gateways / REFERENCE_GATEWAYS)
    for kind in options.faults:
        if kind not in _MEAN_INTERVAL_S:
            continue  # applies to a whole process (`process_faults`), or to the clients throughout the run
        rng = random.Random(f"{options.seed} {kind}")
        count = options.nodes if kind in _NODE_KINDS else options.gateways
        at_s = FIRST_FAULT_S + rng.expovariate(scale / _MEAN_INTERVAL_S[kind])
        while at_s < options.seconds:
            amount = rng.uniform(*_DURATION_S[kind]) if kind in _DURATION_S else rng.random()
            faults.append(Fault(at_s, kind, rng.randrange(count), amount))
            at_s += rng.expovariate(scale / _MEAN_INTERVAL_S[kind])
    return sorted(faults)


@dataclass(frozen=True, slots=True)
class ProcessFaults:
    """Faults of one gateway process over its whole lifetime."""

    seed: int
    failing_share: float  # ratio of its socket system calls that fail
    wall_step_s: float


def process_faults(options: SoakOptions, gateway: int, incarnation: int) -> ProcessFaults:
    """Draws the faults of the `incarnation`-th process of a gateway."""
    rng = random.Random(f"{options.seed} process {gateway} {incarnation}")
    share = rng.choice((0.0, 0.02, 0.08)) if "syscalls" in options.faults else 0.0
    step = rng.choice((0.0, -3600.0, -3.0, 3.0, 3600.0)) if "clock" in options.faults else 0.0
    return ProcessFaults(rng.randrange(1 << 30), share, step)
