"""What one scale run is asked for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

Planted = Literal["", "dropped-delta", "early-version"]

MOST_VOTERS = 5  # further replicas observe a voter and serve gateways, but do not vote
LEASE_MS, LEASE_DRIFT_MS = 3000, 300  # a duty's lease among the voters, and how far clocks part meanwhile
ELECTION_MS = 800
DRIFT_PART = LEASE_DRIFT_MS / LEASE_MS  # how far two clocks may move apart, in parts of the time that passes


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """Sizes are counts of processes or gateways; `touch_ms` is the validity of a heartbeat and `after_ms` the
    delay from a version's commit to its activation, both in milliseconds."""

    hollow: int = 100
    real: int = 3
    control: int = 3
    regions: int = 3
    seed: int = 1
    seconds: float = 20.0
    faults: bool = False
    nodes: int = 1000
    touch_ms: int = 2400
    after_ms: int = 3000
    processes: int = 0  # that hold the hollow gateways; 0: as many as are needed
    planted: Planted = ""  # for tests of the run itself: what is made to go wrong

    @property
    def voters(self) -> int:
        """How many of the replicas vote: an odd number, at most MOST_VOTERS."""
        most = min(MOST_VOTERS, self.control)
        return most if most % 2 else most - 1

    @property
    def validity_ms(self) -> float:
        """How long an answered heartbeat counts by any clock within the drift."""
        return self.touch_ms * (1 + DRIFT_PART)


def hollow_processes(options: ScaleOptions, gateways_each: int = 200) -> int:
    """How many processes hold the hollow gateways: each belongs to one region, and all regions have as
    many."""
    if options.processes:
        return min(options.hollow, max(options.processes, options.regions))
    each_region = -(-options.hollow // (options.regions * gateways_each))
    return min(options.hollow, options.regions * max(1, each_region))
