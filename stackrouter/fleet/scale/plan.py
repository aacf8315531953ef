"""Generates the schedule of a scale run from its seed. No I/O: the same options give the same plan.

Times are microseconds from the moment at which all gateways are ready. Changes and restarts are Poisson
processes at ten times the daily rates that are stated for the fleet. The rate of changes does not depend on
the number of gateways; the rate of restarts is proportional to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from stackrouter.fleet.scale.options import ScaleOptions

DAY_S = 86_400
RATE_FACTOR = 10  # multiplies the stated rates
POLICY_CHANGES_PER_DAY = 4200
LIST_CHANGES_PER_DAY = 32
RESTARTS_PER_DAY = 3200
RESTARTS_REFERENCE_GATEWAYS = 7800  # fleet size for which RESTARTS_PER_DAY is stated
MIN_POLICY_CHANGES, MIN_LIST_CHANGES, MIN_RESTARTS = 2, 1, 1

# Range of the duration of a fault, as a multiple of the heartbeat validity.
FAULT_DURATIONS = {
    "replica-kill": (0.3, 0.8),  # SIGKILL; restarted after the duration
    "replica-stop": (1.2, 1.5),  # SIGSTOP for longer than a heartbeat is valid, then SIGCONT
    "leader-kill": (0.3, 0.8),  # the leader is killed between commit and activation of a version
    "region-cut": (1.2, 1.6),  # a region is partitioned from all others
    "process-gone": (0.2, 0.6),  # a process of hollow gateways is killed and restarted
    "slow-reader": (0.8, 1.2),  # a connection that sends Hello and heartbeats but never reads
    "empty-disk": (0.3, 0.8),  # a replica is killed, and restarted with an empty disk
}
FAULT_KINDS = tuple(FAULT_DURATIONS)
SETTLE_RATIO = 1.5  # pause between two faults, as a multiple of the heartbeat validity
FIRST_FAULT_RATIO = 0.2  # time of the first fault, as a multiple of the heartbeat validity


@dataclass(frozen=True, slots=True)
class PolicyChange:
    at_us: int


@dataclass(frozen=True, slots=True)
class ListChange:
    """One storage node starts draining, or stops draining."""

    at_us: int
    node: int


@dataclass(frozen=True, slots=True)
class Restart:
    """A hollow gateway disconnects without notice and starts again with no state."""

    at_us: int
    gateway: int


@dataclass(frozen=True, slots=True)
class FaultStep:
    """`target` selects a replica, region or process, modulo their number. `delay_us`, used by leader-kill
    only, is the time from the commit of a version to the kill."""

    at_us: int
    kind: str
    target: int
    duration_us: int
    delay_us: int = 0


Step = PolicyChange | ListChange | Restart | FaultStep


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """All steps, ordered by time. `ends_us`: when the run and its last fault have ended."""

    steps: tuple[Step, ...]
    ends_us: int

    def of(self, kind: type[Step]) -> list[Step]:
        return [step for step in self.steps if isinstance(step, kind)]


def draw_plan(options: ScaleOptions) -> ScalePlan:
    """Generate the plan of a run."""
    # The changes do not depend on the size of the fleet, so that the costs of different sizes are comparable.
    rng = Random(f"{options.seed}/changes")
    steps: list[Step] = [
        PolicyChange(at) for at in _random_times(rng, options, POLICY_CHANGES_PER_DAY, MIN_POLICY_CHANGES)
    ]
    for at in _random_times(rng, options, LIST_CHANGES_PER_DAY, MIN_LIST_CHANGES):
        steps.append(ListChange(at, rng.randrange(options.nodes)))
    rng = Random(f"{options.seed}/{options.hollow}/restarts")
    restarts_per_day = RESTARTS_PER_DAY * options.hollow / RESTARTS_REFERENCE_GATEWAYS
    for at in _random_times(rng, options, restarts_per_day, MIN_RESTARTS):
        steps.append(Restart(at, rng.randrange(options.hollow)))
    rng = Random(f"{options.seed}/{options.control}/{options.regions}/faults")
    faults = _draw_faults(rng, options) if options.faults else []
    steps += faults
    ends_us = max(
        [
            round(options.seconds * 1e6),
            *(fault.at_us + fault.duration_us + fault.delay_us for fault in faults),
        ]
    )
    return ScalePlan(tuple(sorted(steps, key=lambda step: step.at_us)), ends_us)


def clock_rate(rng: Random, drift_ratio: float) -> float:
    """A random clock rate; the slowest and the fastest clock drift apart by at most `drift_ratio`."""
    half = drift_ratio / (2 - drift_ratio)
    return 1 + rng.uniform(-half, half)


def _random_times(rng: Random, options: ScaleOptions, per_day: float, min_count: int) -> list[int]:
    """Random times at ten times this daily rate, at least `min_count` of them."""
    mean_interval_us = 1e6 * DAY_S / (RATE_FACTOR * per_day)
    end_us = options.seconds * 1e6
    times: list[int] = []
    at = rng.expovariate(1 / mean_interval_us)
    while at < end_us:
        times.append(round(at))
        at += rng.expovariate(1 / mean_interval_us)
    while len(times) < min_count:
        times.append(round(rng.uniform(0, end_us)))
    return sorted(times)


def _draw_faults(rng: Random, options: ScaleOptions) -> list[FaultStep]:
    """At least one fault, and as many kinds as fit into the run, one after the other in random order."""
    validity_us = options.touch_ms * 1000
    kinds = list(FAULT_KINDS)
    rng.shuffle(kinds)
    faults: list[FaultStep] = []
    at = FIRST_FAULT_RATIO * validity_us
    for kind in kinds:
        duration_us = round(rng.uniform(*FAULT_DURATIONS[kind]) * validity_us)
        delay_us = round(rng.uniform(0, 0.9) * options.after_ms * 1000) if kind == "leader-kill" else 0
        if faults and at + delay_us + duration_us > options.seconds * 1e6:
            continue
        faults.append(FaultStep(round(at), kind, rng.randrange(1 << 16), duration_us, delay_us))
        at += delay_us + duration_us + SETTLE_RATIO * validity_us
    return faults
