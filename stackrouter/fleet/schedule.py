"""Draws the faults and policy changes of one run from a seed. No I/O: the same seed and arguments give the
same schedule.

A target is a role (`holder:watch`, `leader`) or a member number. Roles are resolved when the step starts,
because the holder of a duty depends on the run. Times are microseconds from the start of the faults.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# Kinds of faults, with the range of their duration as a multiple of the ttl.
SPANS = {
    "partition": (1.2, 2.5),  # no traffic between the target and the others, in either direction
    "oneway": (1.2, 2.5),  # what the target sends is lost; what is sent to it arrives
    "delay": (0.5, 2.0),  # every chunk on its links is delayed
    "drop": (0.5, 2.0),  # chunks on its links are lost: resent late, or the connection is reset
    "stall": (1.1, 2.5),  # SIGSTOP for longer than its lease, then SIGCONT
    "kill": (0.2, 1.5),  # SIGKILL, then a restart after this time
    "handoff": (0.2, 0.8),  # the holder is killed, then another member during the handoff of the duty
    "join": (1.2, 2.0),  # the last member starts for the first time while the group's leader is stopped
}
CLOCKS = ("skew", "skew-beyond")  # lease clock rates differ, within or beyond the drift bound
KINDS = (*SPANS, *CLOCKS)
DEFAULT_KINDS = tuple(kind for kind in KINDS if kind != "skew-beyond")


@dataclass(frozen=True, slots=True)
class Step:
    """One fault of a schedule."""

    at_us: int
    kind: str
    target: str
    duration_us: int


# The kinds of policy changes and their relative weights.
CHANGE_WEIGHTS = {
    "propose": 4,  # through one member's admin socket
    "rollback": 2,
    "race": 2,  # through two members' admin sockets at once, on the same base version
    "kill": 2,  # the member that is asked to propose is killed shortly after the call
    "cut": 2,  # the member that is asked is partitioned from all others for a while
}


@dataclass(frozen=True, slots=True)
class Change:
    """One policy change. `member` is asked; in a race `other` is asked at the same time."""

    at_us: int
    kind: str
    member: int
    other: int
    after_us: int  # kill: delay from the call to the kill; cut: duration of the cut


def draw_changes(seed: int, members: int, seconds: float, ttl_us: int, faults: bool) -> tuple[Change, ...]:
    """Policy changes of one run, 1.2 to 2.5 ttl apart. `faults`: include kinds that add a fault."""
    kinds = {kind: weight for kind, weight in CHANGE_WEIGHTS.items() if faults or kind not in ("kill", "cut")}
    rng = Random(f"{seed}/{members}/changes")
    changes, at_us = [], 0.1 * ttl_us
    while at_us < seconds * 1e6:
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        member, other = rng.sample(range(members), 2) if members > 1 else (0, 0)
        after_us = rng.uniform(0, 60_000) if kind == "kill" else rng.uniform(1.0, 2.0) * ttl_us
        changes.append(Change(round(at_us), kind, member, other, round(after_us)))
        at_us += rng.uniform(1.2, 2.5) * ttl_us
    return tuple(changes)


@dataclass(frozen=True, slots=True)
class Schedule:
    """The faults of one run."""

    steps: tuple[Step, ...]
    clock_ppm: tuple[int, ...]  # per member: by how many parts per million its lease clock runs fast
    late: int | None  # the member that is started later, by a `join` step


def draw(seed: int, members: int, kinds: Sequence[str], seconds: float, ttl_us: int, drift_us: int,
         duties: Sequence[str]) -> Schedule:  # fmt: skip
    """Draws the schedule of a run. `drift_us`: the permitted clock drift over one ttl."""
    rng = Random(f"{seed}/{members}")
    drift_ratio = drift_us / ttl_us
    ppm = [0] * members
    if "skew" in kinds:
        # The slowest clock runs at 1 - drift_ratio of the fastest or more, as coord/lease.py requires.
        max_skew = drift_ratio / (2 - drift_ratio)
        ppm = [round(1e6 * rng.uniform(-max_skew, max_skew)) for _ in range(members)]
    if "skew-beyond" in kinds:
        ppm = [round(1e6 * (-3 * drift_ratio if i % 2 else 3 * drift_ratio)) for i in range(members)]
    steps: list[Step] = []
    at_us, end_us = 0.2 * ttl_us, seconds * 1e6
    late = None
    if "join" in kinds and rng.random() < 0.3:
        late = members - 1
        steps.append(Step(round(at_us), "join", "leader", round(rng.uniform(*SPANS["join"]) * ttl_us)))
        at_us += 1.5 * ttl_us
    drawn_kinds = [kind for kind in kinds if kind in SPANS and kind != "join"]
    while drawn_kinds and at_us < end_us:
        kind = rng.choice(drawn_kinds)
        span_us = rng.uniform(*SPANS[kind]) * ttl_us
        target = f"holder:{rng.choice(duties)}" if rng.random() < 0.6 else \
            rng.choice(["leader", str(rng.randrange(members))])  # fmt: skip
        if kind == "handoff":
            target = f"holder:{rng.choice(duties)}"
            steps.append(Step(round(at_us), "kill", target, round(span_us)))
            later_us = at_us + rng.uniform(0.5, 1.3) * ttl_us
            steps.append(Step(round(later_us), "kill", str(rng.randrange(members)), round(span_us)))
            span_us += later_us - at_us
        else:
            steps.append(Step(round(at_us), kind, target, round(span_us)))
        # The next fault begins after this one has ended, or overlaps with it.
        at_us += (
            span_us * rng.uniform(0.4, 1.0)
            if rng.random() < 0.3
            else span_us + rng.uniform(0.3, 1.0) * ttl_us
        )
    return Schedule(tuple(sorted(steps, key=lambda s: s.at_us)), tuple(ppm), late)
