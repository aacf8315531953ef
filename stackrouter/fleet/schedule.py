"""What goes wrong in one run, drawn from a seed. No I/O: the same seed and arguments give the same schedule.

Targets are named by part (`holder:watch`, `leader`) or by number, and looked up when their time has come: who
holds a duty then depends on the run. Times are microseconds from the start of the faults.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# kind: what happens to its target, and for how long in parts of a ttl (from, to)
SPANS = {
    "partition": (1.2, 2.5),  # no byte between it and the others, either way
    "oneway": (1.2, 2.5),  # what it sends does not arrive; what is sent to it does
    "delay": (0.5, 2.0),  # every piece on its links comes later
    "drop": (0.5, 2.0),  # its links lose pieces: held back as by resending, or the connection is reset
    "stall": (1.1, 2.5),  # SIGSTOP, longer than its lease; SIGCONT
    "kill": (0.2, 1.5),  # SIGKILL; started again after so long
    "handoff": (0.2, 0.8),  # the holder is killed, and another member while the duty changes hands
    "join": (1.2, 2.0),  # the last member starts for the first time while the group's leader is stopped
}
CLOCKS = ("skew", "skew-beyond")  # the members' lease clocks run at different rates, within the bound or not
KINDS = (*SPANS, *CLOCKS)
DEFAULT = tuple(kind for kind in KINDS if kind != "skew-beyond")


@dataclass(frozen=True, slots=True)
class Step:
    at_us: int
    kind: str
    target: str
    for_us: int


# How a change of policy is made.
CHANGES = {
    "propose": 4,  # through one member's door
    "rollback": 2,
    "race": 2,  # through two doors at once, on the same base
    "kill": 2,  # whoever is asked to propose is killed a moment later
    "cut": 2,  # whoever is asked is cut off from all others, and back later
}


@dataclass(frozen=True, slots=True)
class Change:
    at_us: int
    kind: str
    member: int
    other: int
    after_us: int  # kill: how long after the ask; cut: how long it lasts


def draw_changes(seed: int, members: int, seconds: float, ttl_us: int, faults: bool) -> tuple[Change, ...]:
    """Changes of policy through one run, some two ttl apart. `faults`: with whoever is asked failing, too."""
    kinds = {kind: weight for kind, weight in CHANGES.items() if faults or kind not in ("kill", "cut")}
    rng = Random(f"{seed}/{members}/changes")
    made, at = [], 0.1 * ttl_us
    while at < seconds * 1e6:
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        member, other = rng.sample(range(members), 2) if members > 1 else (0, 0)
        after = rng.uniform(0, 60_000) if kind == "kill" else rng.uniform(1.0, 2.0) * ttl_us
        made.append(Change(round(at), kind, member, other, round(after)))
        at += rng.uniform(1.2, 2.5) * ttl_us
    return tuple(made)


@dataclass(frozen=True, slots=True)
class Schedule:
    steps: tuple[Step, ...]
    clock_ppm: tuple[int, ...]  # by member: how much faster its lease clock runs
    late: int | None  # the member that is not started with the others


def draw(seed: int, members: int, kinds: Sequence[str], seconds: float, ttl_us: int, drift_us: int,
         duties: Sequence[str]) -> Schedule:  # fmt: skip
    rng = Random(f"{seed}/{members}")
    within = drift_us / ttl_us
    ppm = [0] * members
    if "skew" in kinds:
        # The slowest to the fastest is at most 1 - within, as lease.bears asks.
        half = within / (2 - within)
        ppm = [round(1e6 * rng.uniform(-half, half)) for _ in range(members)]
    if "skew-beyond" in kinds:
        ppm = [round(1e6 * (-3 * within if i % 2 else 3 * within)) for i in range(members)]
    steps: list[Step] = []
    at, end = 0.2 * ttl_us, seconds * 1e6
    late = None
    if "join" in kinds and rng.random() < 0.3:
        late = members - 1
        steps.append(Step(round(at), "join", "leader", round(rng.uniform(*SPANS["join"]) * ttl_us)))
        at += 1.5 * ttl_us
    acting = [kind for kind in kinds if kind in SPANS and kind != "join"]
    while acting and at < end:
        kind = rng.choice(acting)
        span = rng.uniform(*SPANS[kind]) * ttl_us
        target = f"holder:{rng.choice(duties)}" if rng.random() < 0.6 else \
            rng.choice(["leader", str(rng.randrange(members))])  # fmt: skip
        if kind == "handoff":
            target = f"holder:{rng.choice(duties)}"
            steps.append(Step(round(at), "kill", target, round(span)))
            later = at + rng.uniform(0.5, 1.3) * ttl_us
            steps.append(Step(round(later), "kill", str(rng.randrange(members)), round(span)))
            span += later - at
        else:
            steps.append(Step(round(at), kind, target, round(span)))
        # The next begins after this one, or while it lasts.
        at += span * rng.uniform(0.4, 1.0) if rng.random() < 0.3 else span + rng.uniform(0.3, 1.0) * ttl_us
    return Schedule(tuple(sorted(steps, key=lambda s: s.at_us)), tuple(ppm), late)
