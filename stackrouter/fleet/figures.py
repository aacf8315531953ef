"""The figures of a run of the fault harness and of a sweep over many seeds, and whether they hold. No I/O.

The names of the fields are those of the JSON that `fleet run --json` prints.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field, fields
from typing import Any, NamedTuple

from stackrouter.fleet.check import percentile
from stackrouter.fleet.options import HarnessOptions

SLACK_MS = 500  # beyond ttl and election: the bound that handoffs are held to
SAMPLE_MS = 20  # beyond the time between two actions: how much later a sample comes at most


class HandoffTime(NamedTuple):
    """How long a handoff took after a fault of this kind; `clean`: nothing else was wrong."""

    kind: str
    ms: float
    clean: bool


@dataclass(frozen=True, slots=True)
class HandoffFigures:
    """Handoffs while nothing but the holder's own fault was wrong are held to the bound; all are told of
    (`_any`)."""

    handoff_ms_p50: float | None
    handoff_ms_p99: float | None
    handoff_ms_max: float | None
    handoffs_clean: int
    handoff_ms_p99_any: float | None
    handoffs_any: int

    @classmethod
    def of(cls, handoffs: Sequence[HandoffTime]) -> HandoffFigures:
        clean = [handoff.ms for handoff in handoffs if handoff.clean]
        every = [handoff.ms for handoff in handoffs]
        return cls(
            handoff_ms_p50=percentile(clean, 0.5),
            handoff_ms_p99=percentile(clean, 0.99),
            handoff_ms_max=max(clean, default=None),
            handoffs_clean=len(clean),
            handoff_ms_p99_any=percentile(every, 0.99),
            handoffs_any=len(every),
        )


@dataclass(frozen=True, slots=True)
class SpanFigures:
    """Milliseconds. `split`: how long two versions were served under at once; `spread`: how long until the
    last member had come to a version."""

    split_ms_p50: float | None
    split_ms_p99: float | None
    split_ms_max: float | None
    spread_ms_p50: float | None
    spread_ms_p99: float | None
    spread_ms_max: float | None

    @classmethod
    def of(cls, splits: Sequence[float], spreads: Sequence[float]) -> SpanFigures:
        return cls(
            split_ms_p50=percentile(splits, 0.5),
            split_ms_p99=percentile(splits, 0.99),
            split_ms_max=max(splits, default=None),
            spread_ms_p50=percentile(spreads, 0.5),
            spread_ms_p99=percentile(spreads, 0.99),
            spread_ms_max=max(spreads, default=None),
        )


@dataclass(frozen=True, slots=True)
class PolicyFigures:
    """`committed` and `aborted`: changes by how they ended; `changes`: the same in the members' words;
    `splits_ms`, `spreads_ms`: one value a committed version."""

    uncommitted_served: int
    twins: int
    disagreed: int
    committed: int
    aborted: int
    changes: dict[str, int]
    samples: int
    splits_ms: list[float]
    spreads_ms: list[float]
    spans: SpanFigures

    def to_json(self) -> dict[str, Any]:
        told: dict[str, Any] = asdict(self)
        spans: dict[str, Any] = told.pop("spans")
        return told | spans


@dataclass(frozen=True, slots=True)
class RunFigures:
    """One harness. `runs`: how many seeds' faults it played; `faults`, `by_kind`: how many there were;
    `exits`: the members' exit codes; `requests`: what clients were told, empty without clients."""

    members: int
    seed: int
    runs: int
    failed: int
    overlaps: int
    belief_overlaps: int
    refused: int
    actions: int
    unfinished: int
    faults: int
    by_kind: dict[str, int]
    handoffs: list[HandoffTime]
    cpu_ms_s: list[float]
    cpu_steady_ms_s: list[float]
    rss_mib: list[float]
    log_entries_s: float | None
    elections: int
    discovery_calls_s: float
    exits: dict[str, int]
    requests: dict[str, float]
    times: HandoffFigures
    policy: PolicyFigures | None

    def to_json(self) -> dict[str, Any]:
        told: dict[str, Any] = asdict(self)
        del told["policy"]
        times: dict[str, Any] = told.pop("times")
        return told | times | (self.policy.to_json() if self.policy is not None else {})

    @classmethod
    def from_json(cls, told: Mapping[str, Any]) -> RunFigures:
        """What `to_json` gave. KeyError or TypeError: it is something else."""
        handoffs = [HandoffTime(kind, ms, clean) for kind, ms, clean in told["handoffs"]]
        policy = None
        if "committed" in told:
            policy = PolicyFigures(**_picked(PolicyFigures, told), spans=_spans(told))
        simple = _picked(RunFigures, told) | {"handoffs": handoffs}
        return cls(**simple, times=HandoffFigures(**_picked(HandoffFigures, told)), policy=policy)

    def holds(self) -> bool:
        """Whether nothing was broken in this run alone. Its handoffs are held to the bound only with those of
        other runs: its 99th percentile is its slowest."""
        policy = self.policy
        broken = self.overlaps + self.belief_overlaps + self.unfinished
        return not broken and (
            policy is None or not policy.uncommitted_served + policy.twins + policy.disagreed
        )


def _picked(kind: type, told: Mapping[str, Any]) -> dict[str, Any]:
    """The values of the fields that stand in the JSON under their own names."""
    apart = ("times", "policy", "spans")
    return {slot.name: told[slot.name] for slot in fields(kind) if slot.name not in apart}


def _spans(told: Mapping[str, Any]) -> SpanFigures:
    return SpanFigures(**_picked(SpanFigures, told))


@dataclass(slots=True)
class SweepFigures:
    """Many harnesses, each with a seed of its own: sums, and the seeds that did not hold.

    `harnesses`: how many were to be run; `harnesses_finished`: how many of them gave their figures with all
    of their members; the others are `harnesses_unfinished`. `failed`: harnesses without figures."""

    members: str
    seed: int
    harnesses: int
    keeps_policy: bool
    runs: int = 0
    failed: int = 0
    bad_seeds: list[str] = field(default_factory=list)
    each: list[RunFigures] = field(default_factory=list)
    finished: int = 0

    def add(self, one: RunFigures) -> None:
        """A harness has ended and given its figures."""
        self.each.append(one)
        self.runs += one.runs
        if sum(one.exits.values()) == one.members:
            self.finished += 1
        else:
            self.bad_seeds.append(f"{one.seed}: {sum(one.exits.values())} of {one.members} members ended")
        if not one.holds():
            self.bad_seeds.append(str(one.seed))

    def add_failed(self, seed: int, why: str) -> None:
        """A harness has ended without figures."""
        self.failed += 1
        self.bad_seeds.append(f"{seed}: {why}")

    @property
    def unfinished(self) -> int:
        return self.harnesses - self.finished

    def handoffs(self) -> list[HandoffTime]:
        return [handoff for one in self.each for handoff in one.handoffs]

    def policies(self) -> list[PolicyFigures]:
        return [one.policy for one in self.each if one.policy is not None]

    def to_json(self) -> dict[str, Any]:
        handoffs = self.handoffs()
        told: dict[str, Any] = {"members": self.members, "seed": self.seed, "runs": self.runs,
                                "failed": self.failed}  # fmt: skip
        for name in ("overlaps", "belief_overlaps", "refused", "actions", "unfinished", "faults"):
            told[name] = sum(getattr(one, name) for one in self.each)
        if self.keeps_policy:
            for name in ("uncommitted_served", "twins", "disagreed", "committed", "aborted", "samples"):
                told[name] = sum(getattr(policy, name) for policy in self.policies())
        told |= {
            "harnesses": self.harnesses,
            "harnesses_finished": self.finished,
            "harnesses_unfinished": self.unfinished,
            "by_kind": _summed(one.by_kind for one in self.each),
            "exits": _summed(one.exits for one in self.each),
            "bad_seeds": self.bad_seeds,
            "slow_seeds": [],
            "p99_by_kind": _p99_by_kind(handoffs),
            "cpu_ms_s": percentile([ms for one in self.each for ms in one.cpu_ms_s], 0.5),
            "rss_mib": percentile([mib for one in self.each for mib in one.rss_mib], 0.5),
        }
        told |= asdict(HandoffFigures.of(handoffs))
        if self.keeps_policy:
            policies = self.policies()
            splits = [ms for policy in policies for ms in policy.splits_ms]
            spreads = [ms for policy in policies for ms in policy.spreads_ms]
            told["changes"] = _summed(policy.changes for policy in policies)
            told |= asdict(SpanFigures.of(splits, spreads))
        return told


def _summed(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return dict(total)


def _p99_by_kind(handoffs: Sequence[HandoffTime]) -> dict[str, float | None]:
    """Of clean handoffs; None where all of a kind had something else wrong."""
    kinds = sorted({handoff.kind for handoff in handoffs})
    return {kind: percentile([h.ms for h in handoffs if h.clean and h.kind == kind], 0.99) for kind in kinds}


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the figures of a run or a sweep are held to, in milliseconds; `split_bound_ms` None: no policy is
    kept."""

    handoff_bound_ms: int
    split_bound_ms: float | None
    clocks_keep_drift: bool

    @classmethod
    def of(cls, options: HarnessOptions) -> Bounds:
        split = None
        if options.policy:
            # A member that has not heard of a version has stopped taking requests before anybody serves under
            # it; its clock and ours may differ by the drift, and a sample comes at most so much late.
            drift = 1 + options.drift_ms / options.ttl_ms
            split = options.touch_ms * drift + options.every_ms + SAMPLE_MS
        handoff = options.ttl_ms + options.election_ms + SLACK_MS
        return cls(handoff, split, "skew-beyond" not in options.kinds)

    def judged(self, told: dict[str, Any]) -> dict[str, Any]:
        """These figures with the bounds and with `ok`: whether they hold."""
        holds = not (told["overlaps"] or told["failed"] or told["unfinished"])
        holds = holds and not told.get("harnesses_unfinished")
        holds = holds and not (self.clocks_keep_drift and told["belief_overlaps"])
        bounds: dict[str, Any] = {}
        slow = False
        if self.split_bound_ms is not None:
            bounds["split_bound_ms"] = self.split_bound_ms
            holds = holds and not (told["uncommitted_served"] or told["twins"] or told["disagreed"])
            holds = holds and (told["split_ms_max"] or 0) <= self.split_bound_ms
        else:
            p99 = told["handoff_ms_p99"]
            slow = p99 is not None and p99 >= self.handoff_bound_ms
        return told | bounds | {"handoff_bound_ms": self.handoff_bound_ms, "ok": holds and not slow}
