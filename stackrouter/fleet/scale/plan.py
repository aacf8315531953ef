"""What happens in one scale run, drawn from its seed. No I/O: the same options give the same plan.

Times are microseconds from the moment at which all gateways are served. Changes and restarts come at random
(Poisson) at ten times the rates that are stated for the fleet a day; changes concern the whole fleet whatever
its size, restarts come in proportion to the gateways.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from stackrouter.fleet.scale.options import ScaleOptions

DAY_S = 86_400
HURRY = 10  # times the stated rates
POLICY_CHANGES_A_DAY = 4200
LIST_CHANGES_A_DAY = 32
RESTARTS_A_DAY = 3200
RESTARTS_GATEWAYS = 7800  # the number of gateways that RESTARTS_A_DAY is stated for
LEAST_POLICY_CHANGES, LEAST_LIST_CHANGES, LEAST_RESTARTS = 2, 1, 1

# How long a fault lasts, in parts of a heartbeat's validity (from, to).
SPANS = {
    "replica-kill": (0.3, 0.8),  # SIGKILL; started again after so long
    "replica-stop": (1.2, 1.5),  # SIGSTOP, longer than a heartbeat counts; SIGCONT
    "leader-kill": (0.3, 0.8),  # a version is committed, and its leader killed before it is activated
    "region-cut": (1.2, 1.6),  # a region's gateways and replicas reach no other region
    "process-gone": (0.2, 0.6),  # all hollow gateways of one process at once; back after so long
    "slow-reader": (0.8, 1.2),  # a connection that says Hello and heartbeats, and never reads
    "empty-disk": (0.3, 0.8),  # a replica is killed and starts again with nothing on its disk
}
KINDS = tuple(SPANS)
SETTLE_PARTS = 1.5  # between two faults, in parts of a heartbeat's validity
FIRST_FAULT_PARTS = 0.2


@dataclass(frozen=True, slots=True)
class PolicyChange:
    at_us: int


@dataclass(frozen=True, slots=True)
class ListChange:
    """One storage node drains, or is up again."""

    at_us: int
    node: int


@dataclass(frozen=True, slots=True)
class Restart:
    """A hollow gateway ends without a word and starts anew, with nothing."""

    at_us: int
    gateway: int


@dataclass(frozen=True, slots=True)
class FaultStep:
    """`target`: a number that whoever carries it out takes modulo the things there are (replicas, regions,
    processes); `delay_us`: of leader-kill, from the version's commit to the kill."""

    at_us: int
    kind: str
    target: int
    for_us: int
    delay_us: int = 0


Step = PolicyChange | ListChange | Restart | FaultStep


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """All steps, in the order of their times. `ends_us`: when the last of them has ended."""

    steps: tuple[Step, ...]
    ends_us: int

    def of(self, kind: type[Step]) -> list[Step]:
        return [step for step in self.steps if isinstance(step, kind)]


def draw(options: ScaleOptions) -> ScalePlan:
    """The plan of a run with these options."""
    # The changes are the same at all sizes, so that what sizes cost can be compared.
    rng = Random(f"{options.seed}/changes")
    steps: list[Step] = [
        PolicyChange(at) for at in _times(rng, options, POLICY_CHANGES_A_DAY, LEAST_POLICY_CHANGES)
    ]
    for at in _times(rng, options, LIST_CHANGES_A_DAY, LEAST_LIST_CHANGES):
        steps.append(ListChange(at, rng.randrange(options.nodes)))
    rng = Random(f"{options.seed}/{options.hollow}/restarts")
    scaled = RESTARTS_A_DAY * options.hollow / RESTARTS_GATEWAYS
    for at in _times(rng, options, scaled, LEAST_RESTARTS):
        steps.append(Restart(at, rng.randrange(options.hollow)))
    rng = Random(f"{options.seed}/{options.control}/{options.regions}/faults")
    faults = _faults(rng, options) if options.faults else []
    steps += faults
    ends_us = max(
        [round(options.seconds * 1e6), *(fault.at_us + fault.for_us + fault.delay_us for fault in faults)]
    )
    return ScalePlan(tuple(sorted(steps, key=lambda step: step.at_us)), ends_us)


def clock_rate(rng: Random, drift_part: float) -> float:
    """How fast a gateway's clock runs: the slowest and the fastest move apart by at most `drift_part`."""
    half = drift_part / (2 - drift_part)
    return 1 + rng.uniform(-half, half)


def _times(rng: Random, options: ScaleOptions, a_day: float, least: int) -> list[int]:
    """Moments at ten times this daily rate, `least` of them at least."""
    every_us = 1e6 * DAY_S / (HURRY * a_day)
    until_us = options.seconds * 1e6
    times: list[int] = []
    at = rng.expovariate(1 / every_us)
    while at < until_us:
        times.append(round(at))
        at += rng.expovariate(1 / every_us)
    while len(times) < least:
        times.append(round(rng.uniform(0, until_us)))
    return sorted(times)


def _faults(rng: Random, options: ScaleOptions) -> list[FaultStep]:
    """As many kinds as the time allows, one after the other, in an order drawn from the seed; one at
    least."""
    validity_us = options.touch_ms * 1000
    kinds = list(KINDS)
    rng.shuffle(kinds)
    faults: list[FaultStep] = []
    at = FIRST_FAULT_PARTS * validity_us
    for kind in kinds:
        for_us = round(rng.uniform(*SPANS[kind]) * validity_us)
        delay_us = round(rng.uniform(0, 0.9) * options.after_ms * 1000) if kind == "leader-kill" else 0
        if faults and at + delay_us + for_us > options.seconds * 1e6:
            continue
        faults.append(FaultStep(round(at), kind, rng.randrange(1 << 16), for_us, delay_us))
        at += delay_us + for_us + SETTLE_PARTS * validity_us
    return faults
