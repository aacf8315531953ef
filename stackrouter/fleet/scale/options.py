"""Options of a scale run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

Planted = Literal["", "dropped-delta", "early-version"]

MAX_VOTERS = 5  # further replicas observe a voter and serve gateways without voting
LEASE_MS, LEASE_DRIFT_MS = 3000, 300  # lease of a duty among the voters, and maximum clock drift during it
ELECTION_MS = 800
CLOCK_DRIFT_RATIO = LEASE_DRIFT_MS / LEASE_MS  # maximum drift between two clocks per elapsed time


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """`hollow`, `real`, `control` and `processes` are counts of gateways or processes. `touch_ms` is the
    validity of a heartbeat and `after_ms` the delay between commit and activation of a version, both in
    milliseconds."""

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
    processes: int = 0  # for the hollow gateways; 0: as many as needed
    planted: Planted = ""  # a deliberate fault, to test that a run detects it

    @property
    def voters(self) -> int:
        """The number of voting replicas: odd, at most MAX_VOTERS."""
        voters = min(MAX_VOTERS, self.control)
        return voters if voters % 2 else voters - 1

    @property
    def heartbeat_validity_ms(self) -> float:
        """The validity of an answered heartbeat in milliseconds, measured by the slowest clock within the
        drift."""
        return self.touch_ms * (1 + CLOCK_DRIFT_RATIO)


def hollow_processes(options: ScaleOptions, gateways_per_process: int = 200) -> int:
    """How many processes hold the hollow gateways: each belongs to one region, and all regions have as
    many."""
    if options.processes:
        return min(options.hollow, max(options.processes, options.regions))
    processes_per_region = -(-options.hollow // (options.regions * gateways_per_process))
    return min(options.hollow, options.regions * max(1, processes_per_region))
