"""Runs the fault harness once and computes the figures of the run."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path

from stackrouter.errors import StartError
from stackrouter.fleet.check import Verdict
from stackrouter.fleet.figures import HandoffFigures, HandoffTime, PolicyFigures, RunFigures, SpanFigures
from stackrouter.fleet.harness import Harness
from stackrouter.fleet.options import HarnessOptions

MIN_RUN_S = 0.1  # keeps the rate of calls finite


def run(options: HarnessOptions, logs: Path | None, rounds: int) -> RunFigures:
    """Runs `rounds` schedules with consecutive seeds on the same members. `logs`: a folder in which to keep
    the members' files and logs. Raises StartError if the members do not start."""
    with tempfile.TemporaryDirectory(prefix="stackrouter-fleet-") as scratch:
        folder = Path(scratch)
        if logs is not None:
            folder = logs / f"seed-{options.seed}"
            folder.mkdir(parents=True, exist_ok=True)
        try:
            harness = Harness(options, folder)
            with harness:
                verdict = harness.run(rounds)
        except StartError as error:
            raise StartError(f"seed {options.seed}: {error}") from None
        return run_figures(harness, verdict, rounds)


def run_figures(harness: Harness, verdict: Verdict, rounds: int) -> RunFigures:
    """Computes the figures of a harness that has ended."""
    kinds = Counter(fault.kind for fault in harness.injector.faults)
    handoffs = [HandoffTime(h.kind, round(h.ms, 1), h.clean) for h in verdict.handoffs]
    cost, entries_s = harness.meter.cost, harness.log_entries_s
    calls_s = harness.backend.discovery.calls / max(MIN_RUN_S, harness.took_s)
    return RunFigures(
        members=harness.options.members,
        seed=harness.options.seed,
        runs=rounds,
        failed=0,
        overlaps=verdict.overlaps,
        belief_overlaps=verdict.belief_overlaps,
        refused=verdict.refused,
        actions=verdict.actions,
        unfinished=verdict.unfinished,
        faults=sum(kinds.values()),
        by_kind=dict(kinds),
        handoffs=handoffs,
        cpu_ms_s=[round(ms, 1) for ms in cost.cpu_ms_s],
        cpu_steady_ms_s=[round(ms, 1) for ms in cost.cpu_steady_ms_s],
        rss_mib=[round(mib, 1) for mib in cost.rss_mib],
        log_entries_s=None if entries_s is None else round(entries_s, 1),
        elections=harness.elections,
        discovery_calls_s=round(calls_s, 2),
        exits=dict(Counter(str(code) for code in harness.exits)),
        requests=_requests(harness),
        times=HandoffFigures.of(handoffs),
        policy=_policy(harness) if harness.options.policy else None,
    )


def _requests(harness: Harness) -> dict[str, float]:
    """The clients' responses by verdict; `slowest_ms` covers the last 500 responses of each volume."""
    if harness.backend.clients is None:
        return {}
    results = list(harness.backend.clients.results.values())
    verdicts = sum((result.verdicts for result in results), Counter[str]())
    slowest_s = max(max(result.recent, default=0.0) for result in results)
    return dict(verdicts) | {"slowest_ms": round(1000 * slowest_s, 1)}


def _policy(harness: Harness) -> PolicyFigures:
    verdict, changes = harness.check_policy(), harness.policy_changes
    committed = len({number for ledger in changes.ledgers for number, _ in ledger})
    return PolicyFigures(
        uncommitted_served=verdict.uncommitted_served,
        twins=verdict.twins,
        disagreed=changes.disagreed,
        committed=committed,
        aborted=sum(changes.outcomes.values()) - committed,
        changes=dict(changes.outcomes),
        samples=verdict.samples,
        splits_ms=[round(ms, 1) for ms in verdict.splits_ms],
        spreads_ms=[round(ms, 1) for ms in verdict.spreads_ms],
        spans=SpanFigures.of(verdict.splits_ms, verdict.spreads_ms),
    )
