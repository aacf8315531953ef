"""Figures of a run of the fault harness and of a sweep over many seeds, and the checks on them. No I/O.

The field names are those of the JSON that `fleet run --json` prints.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field, fields
from typing import Any, NamedTuple

from stackrouter.fleet.check import percentile
from stackrouter.fleet.options import HarnessOptions

HANDOFF_SLACK_MS = 500  # handoffs may take the ttl, the election timeout and this much more
SAMPLE_SLACK_MS = 20  # a sample is at most this much later than the interval between two actions


class HandoffTime(NamedTuple):
    """How long a handoff took after a fault of this kind; `clean`: no other impairing fault overlapped."""

    kind: str
    ms: float
    clean: bool


@dataclass(frozen=True, slots=True)
class HandoffFigures:
    """Clean handoffs, which are checked against the bound, and all handoffs (`_any`), for information."""

    handoff_ms_p50: float | None
    handoff_ms_p99: float | None
    handoff_ms_max: float | None
    handoffs_clean: int
    handoff_ms_p99_any: float | None
    handoffs_any: int

    @classmethod
    def of(cls, handoffs: Sequence[HandoffTime]) -> HandoffFigures:
        clean_ms = [handoff.ms for handoff in handoffs if handoff.clean]
        all_ms = [handoff.ms for handoff in handoffs]
        return cls(
            handoff_ms_p50=percentile(clean_ms, 0.5),
            handoff_ms_p99=percentile(clean_ms, 0.99),
            handoff_ms_max=max(clean_ms, default=None),
            handoffs_clean=len(clean_ms),
            handoff_ms_p99_any=percentile(all_ms, 0.99),
            handoffs_any=len(all_ms),
        )


@dataclass(frozen=True, slots=True)
class SpanFigures:
    """Milliseconds. `split`: how long members served under two versions at once; `spread`: how long until the
    last member had adopted a version."""

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
    """`committed` and `aborted`: numbers of changes by result; `changes`: the same by the outcome that the
    members reported; `splits_ms`, `spreads_ms`: one value per committed version."""

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
        values: dict[str, Any] = asdict(self)
        spans: dict[str, Any] = values.pop("spans")
        return values | spans


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Figures of one harness. `runs`: how many seeds' schedules it ran; `faults`, `by_kind`: numbers of
    injected faults; `exits`: the members' exit codes; `requests`: the clients' responses by verdict, empty
    without clients."""

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
        values: dict[str, Any] = asdict(self)
        del values["policy"]
        times: dict[str, Any] = values.pop("times")
        return values | times | (self.policy.to_json() if self.policy is not None else {})

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> RunFigures:
        """Reads the result of `to_json`. Raises KeyError or TypeError if `values` has another shape."""
        handoffs = [HandoffTime(kind, ms, clean) for kind, ms, clean in values["handoffs"]]
        policy = None
        if "committed" in values:
            policy = PolicyFigures(**_picked(PolicyFigures, values), spans=_spans(values))
        simple = _picked(RunFigures, values) | {"handoffs": handoffs}
        return cls(**simple, times=HandoffFigures(**_picked(HandoffFigures, values)), policy=policy)

    def holds(self) -> bool:
        """Whether this run on its own broke no rule. Its handoffs are checked against the bound only together
        with those of other runs: with so few of them the 99th percentile is the slowest."""
        policy = self.policy
        violations = self.overlaps + self.belief_overlaps + self.unfinished
        return not violations and (
            policy is None or not policy.uncommitted_served + policy.twins + policy.disagreed
        )


def _picked(kind: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """The values of the fields that the JSON holds under their own names."""
    nested = ("times", "policy", "spans")
    return {slot.name: values[slot.name] for slot in fields(kind) if slot.name not in nested}


def _spans(values: Mapping[str, Any]) -> SpanFigures:
    return SpanFigures(**_picked(SpanFigures, values))


@dataclass(slots=True)
class SweepFigures:
    """Figures of many harnesses, each with its own seed: sums, and the seeds that failed the checks.

    `harnesses`: how many were to run; `harnesses_finished`: how many of them returned figures that account
    for all their members; the others are `harnesses_unfinished`. `failed`: harnesses without figures."""

    members: str
    seed: int
    harnesses: int
    keeps_policy: bool
    runs: int = 0
    failed: int = 0
    bad_seeds: list[str] = field(default_factory=list)
    each: list[RunFigures] = field(default_factory=list)
    finished: int = 0

    def add(self, run: RunFigures) -> None:
        """Adds the figures of a harness that has ended."""
        self.each.append(run)
        self.runs += run.runs
        if sum(run.exits.values()) == run.members:
            self.finished += 1
        else:
            self.bad_seeds.append(f"{run.seed}: {sum(run.exits.values())} of {run.members} members ended")
        if not run.holds():
            self.bad_seeds.append(str(run.seed))

    def add_failed(self, seed: int, why: str) -> None:
        """Records a harness that ended without figures."""
        self.failed += 1
        self.bad_seeds.append(f"{seed}: {why}")

    @property
    def unfinished(self) -> int:
        return self.harnesses - self.finished

    def handoffs(self) -> list[HandoffTime]:
        return [handoff for run in self.each for handoff in run.handoffs]

    def policies(self) -> list[PolicyFigures]:
        return [run.policy for run in self.each if run.policy is not None]

    def to_json(self) -> dict[str, Any]:
        handoffs = self.handoffs()
        values: dict[str, Any] = {"members": self.members, "seed": self.seed, "runs": self.runs,
                                "failed": self.failed}  # fmt: skip
        for name in ("overlaps", "belief_overlaps", "refused", "actions", "unfinished", "faults"):
            values[name] = sum(getattr(run, name) for run in self.each)
        if self.keeps_policy:
            for name in ("uncommitted_served", "twins", "disagreed", "committed", "aborted", "samples"):
                values[name] = sum(getattr(policy, name) for policy in self.policies())
        values |= {
            "harnesses": self.harnesses,
            "harnesses_finished": self.finished,
            "harnesses_unfinished": self.unfinished,
            "by_kind": _summed(run.by_kind for run in self.each),
            "exits": _summed(run.exits for run in self.each),
            "bad_seeds": self.bad_seeds,
            "slow_seeds": [],
            "p99_by_kind": _p99_by_kind(handoffs),
            "cpu_ms_s": percentile([ms for run in self.each for ms in run.cpu_ms_s], 0.5),
            "rss_mib": percentile([mib for run in self.each for mib in run.rss_mib], 0.5),
        }
        values |= asdict(HandoffFigures.of(handoffs))
        if self.keeps_policy:
            policies = self.policies()
            splits = [ms for policy in policies for ms in policy.splits_ms]
            spreads = [ms for policy in policies for ms in policy.spreads_ms]
            values["changes"] = _summed(policy.changes for policy in policies)
            values |= asdict(SpanFigures.of(splits, spreads))
        return values


def _summed(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return dict(total)


def _p99_by_kind(handoffs: Sequence[HandoffTime]) -> dict[str, float | None]:
    """99th percentile of the clean handoffs by kind of fault; None for a kind without clean handoffs."""
    kinds = sorted({handoff.kind for handoff in handoffs})
    return {kind: percentile([h.ms for h in handoffs if h.clean and h.kind == kind], 0.99) for kind in kinds}


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on the figures of a run or a sweep, in milliseconds. `split_bound_ms`: None if no policy is
    managed; `clocks_keep_drift`: the members' clocks keep within the drift bound."""

    handoff_bound_ms: int
    split_bound_ms: float | None
    clocks_keep_drift: bool

    @classmethod
    def of(cls, options: HarnessOptions) -> Bounds:
        split_ms = None
        if options.policy:
            # A member that has not received a version stops accepting requests before any member serves under
            # it. Its clock may differ from this one by the drift, and a sample may be late by the two terms
            # that are added.
            drift_factor = 1 + options.drift_ms / options.ttl_ms
            split_ms = options.touch_ms * drift_factor + options.every_ms + SAMPLE_SLACK_MS
        handoff_ms = options.ttl_ms + options.election_ms + HANDOFF_SLACK_MS
        return cls(handoff_ms, split_ms, "skew-beyond" not in options.kinds)

    def with_verdict(self, values: dict[str, Any]) -> dict[str, Any]:
        """These figures with the bounds added, and `ok`: whether they keep to the bounds."""
        holds = not (values["overlaps"] or values["failed"] or values["unfinished"])
        holds = holds and not values.get("harnesses_unfinished")
        holds = holds and not (self.clocks_keep_drift and values["belief_overlaps"])
        bounds: dict[str, Any] = {}
        slow = False
        if self.split_bound_ms is not None:
            bounds["split_bound_ms"] = self.split_bound_ms
            holds = holds and not (values["uncommitted_served"] or values["twins"] or values["disagreed"])
            holds = holds and (values["split_ms_max"] or 0) <= self.split_bound_ms
        else:
            p99 = values["handoff_ms_p99"]
            slow = p99 is not None and p99 >= self.handoff_bound_ms
        return values | bounds | {"handoff_bound_ms": self.handoff_bound_ms, "ok": holds and not slow}
