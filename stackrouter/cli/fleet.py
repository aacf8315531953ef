"""`fleet run`: several gateways on this machine, faults between them, and whether their history holds."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

import typer

from stackrouter.cli import scale
from stackrouter.cli.shared import BAD_INPUT, NOT_SO, AsJson, bar, out, print_json
from stackrouter.errors import OptionError, StartError

if TYPE_CHECKING:
    from stackrouter.fleet.check import Verdict
    from stackrouter.fleet.rig import Rig

app = typer.Typer(no_args_is_help=True, help="Several gateways, with faults between them.")
app.command("scale")(scale.scale)

BROKEN = ("overlaps", "belief_overlaps", "unfinished", "uncommitted_served", "twins", "disagreed")
FEWEST, MOST = 1, 15
SLACK_MS = 500  # beyond ttl and election: the bound that handoffs are held to
TOUCH_MS, SAMPLE_MS = 1000, 60  # fleet.rig's touch; its members say every 40 ms what they serve under
Handoffs = list[tuple[str, float, bool]]  # the fault's kind, milliseconds, whether nothing else was wrong


@app.callback()
def root() -> None:
    """Processes of the program on loopback; every one that was started is ended."""


@app.command("run")
def run(
    members: Annotated[str, typer.Option(help="How many; 3-7: drawn from the seed.")] = "5",
    nemesis: Annotated[str, typer.Option(help="Kinds of faults, by commas; all, or none.")] = "all",
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=0.5, max=3600, help="How long faults come.")] = 6.0,
    check: Annotated[
        Literal["lease", "policy"], typer.Option(help="What the history is checked for.")
    ] = "lease",
    ttl_ms: Annotated[int, typer.Option(min=200, max=60_000)] = 800,
    drift_ms: Annotated[int, typer.Option(min=0, help="How far clocks may move apart in a ttl.")] = 80,
    election_ms: Annotated[int, typer.Option(min=100, max=10_000)] = 400,
    work_ms: Annotated[
        int, typer.Option(min=0, max=10_000, help="From a member's look at its lease to its action.")
    ] = 8,
    load: Annotated[
        float, typer.Option(min=0, max=2, help="Clients that ask for this part of what the nodes bear.")
    ] = 0.0,
    unfenced: Annotated[
        bool, typer.Option(help="Plant a fault: the receiving side looks at no token.")
    ] = False,
    runs: Annotated[int, typer.Option(min=1, help="So many seeds, from this one on.")] = 1,
    rounds: Annotated[
        int,
        typer.Option(min=1, max=100, help="So many seeds' faults, one after the other, on the same members."),
    ] = 1,
    parallel: Annotated[int, typer.Option(min=1, max=64, help="Runs at a time.")] = 1,
    logs: Annotated[Path | None, typer.Option(help="Keep the members' logs in this folder.")] = None,
    as_json: AsJson = False,
) -> None:
    """Exit code 0: the history holds; 1: it does not."""
    from stackrouter.fleet.schedule import DEFAULT, KINDS

    named = {"all": DEFAULT, "none": ()}.get(nemesis, tuple(nemesis.split(",")))
    for kind in named:
        if kind not in KINDS:
            raise OptionError(f"must be of {', '.join(KINDS)}, all or none, not {kind!r}", key="--nemesis")
    count = _count(members, seed)
    if not 0 <= 2 * drift_ms < ttl_ms:
        what = f"must be less than half of the ttl ({ttl_ms}), not {drift_ms}"
        raise OptionError(what, key="--drift-ms")
    if runs > rounds:
        options = ["--members", members, "--nemesis", nemesis, "--seconds", str(seconds), "--check", check,
                   "--ttl-ms", str(ttl_ms), "--drift-ms", str(drift_ms), "--election-ms", str(election_ms),
                   "--work-ms", str(work_ms), "--rounds", str(rounds), "--load", str(load),
                   *(["--unfenced"] if unfenced else []),
                   *(["--logs", str(logs)] if logs else [])]  # fmt: skip
        figures = _many(options, range(seed, seed + runs, rounds), parallel)
    else:
        from stackrouter.fleet.rig import Setup

        setup = Setup(count, seed, seconds, named, ttl_ms, drift_ms, election_ms, work_ms,
                      policy=check == "policy", load=load, fenced=not unfenced)  # fmt: skip
        figures = _one(setup, logs, rounds)
    bound = ttl_ms + election_ms + SLACK_MS
    within_drift = "skew-beyond" not in named
    holds = not (figures["overlaps"] or figures["failed"] or figures["unfinished"])
    holds = holds and not (within_drift and figures["belief_overlaps"])
    if check == "policy":
        # A member that has not heard of a version has stopped taking requests before anybody serves under it;
        # its clock and ours may differ by the drift, and a sample comes at most so much late.
        split_bound = TOUCH_MS * (1 + drift_ms / ttl_ms) + SAMPLE_MS
        figures["split_bound_ms"] = split_bound
        holds = holds and not (figures["uncommitted_served"] or figures["twins"] or figures["disagreed"])
        holds = holds and (figures["split_ms_max"] or 0) <= split_bound
    p99 = figures["handoff_ms_p99"]
    slow = check == "lease" and p99 is not None and p99 >= bound
    figures |= {"handoff_bound_ms": bound, "ok": holds and not slow}
    if as_json:
        print_json(figures)
    else:
        for name, value in figures.items():
            out.print(f"{name:>20}  {value}", soft_wrap=True)
    raise typer.Exit(0 if figures["ok"] else NOT_SO)


def _count(members: str, seed: int) -> int:
    found = re.fullmatch(r"(\d+)(?:-(\d+))?", members)
    least, most = (int(found[1]), int(found[2] or found[1])) if found else (0, 0)
    if not FEWEST <= least <= most <= MOST:
        what = f"must be {FEWEST} to {MOST}, or a span such as 3-7, not {members!r}"
        raise OptionError(what, key="--members")
    return least + seed % (most - least + 1)


def _one(setup: Any, logs: Path | None, rounds: int) -> dict[str, Any]:
    from stackrouter.fleet.rig import Rig

    with tempfile.TemporaryDirectory(prefix="stackrouter-fleet-") as scratch:
        folder = Path(scratch)
        if logs is not None:
            folder = logs / f"seed-{setup.seed}"
            folder.mkdir(parents=True, exist_ok=True)
        try:
            rig = Rig(setup, folder)
            with rig:
                verdict = rig.run(rounds)
        except StartError as error:
            raise StartError(f"seed {setup.seed}: {error}") from None
        return _figures(rig, verdict) | {"runs": rounds}


def _figures(rig: Rig, verdict: Verdict) -> dict[str, Any]:
    kinds = Counter(f.kind for f in rig.faults)
    handoffs: Handoffs = [(h.kind, round(h.ms, 1), h.clean) for h in verdict.handoffs]
    calls_s = rig.discovery.calls / max(0.1, rig.took_s)
    return {
        "members": rig.setup.members, "seed": rig.setup.seed, "runs": 1, "failed": 0,
        "overlaps": verdict.overlaps, "belief_overlaps": verdict.belief_overlaps,
        "refused": verdict.refused, "actions": verdict.actions, "unfinished": verdict.unfinished,
        "faults": sum(kinds.values()), "by_kind": dict(kinds), "handoffs": handoffs,
        "cpu_ms_s": [round(v, 1) for v in rig.load.cpu_ms_s],
        "rss_mib": [round(v, 1) for v in rig.load.rss_mib],
        "discovery_calls_s": round(calls_s, 2),
        "exits": dict(Counter(str(code) for code in rig.exits)), "requests": _requests(rig),
    } | _times(handoffs) | (_policy(rig) if rig.setup.policy else {})  # fmt: skip


def _requests(rig: Rig) -> dict[str, Any]:
    """What the clients were told; `slowest_ms` of the last 500 answers of each volume."""
    if rig.clients is None:
        return {}
    told = list(rig.clients.told.values())
    verdicts = sum((t.verdicts for t in told), Counter[str]())
    return dict(verdicts) | {"slowest_ms": round(1000 * max(max(t.recent, default=0.0) for t in told), 1)}


def _policy(rig: Rig) -> dict[str, Any]:
    verdict = rig.policy()
    committed = len({number for ledger in rig.ledgers for number, _ in ledger})
    return {
        "uncommitted_served": verdict.uncommitted_served, "twins": verdict.twins, "disagreed": rig.disagreed,
        "committed": committed, "aborted": sum(rig.changes.values()) - committed,
        "changes": dict(rig.changes), "samples": verdict.samples,
        "splits_ms": [round(ms, 1) for ms in verdict.splits_ms],
        "spreads_ms": [round(ms, 1) for ms in verdict.spreads_ms],
    } | _spans([*verdict.splits_ms], [*verdict.spreads_ms])  # fmt: skip


def _spans(splits: list[float], spreads: list[float]) -> dict[str, Any]:
    """How long two versions were served under at once; how long until the last member had come to a
    version."""
    from stackrouter.fleet.check import percentile

    told: dict[str, Any] = {}
    for name, values in (("split", splits), ("spread", spreads)):
        told |= {f"{name}_ms_p50": percentile(values, 0.5), f"{name}_ms_p99": percentile(values, 0.99),
                 f"{name}_ms_max": max(values, default=None)}  # fmt: skip
    return told


def _times(handoffs: Handoffs) -> dict[str, Any]:
    """Handoffs while nothing but the holder's own fault was wrong are held to the bound; all are told of."""
    from stackrouter.fleet.check import percentile

    clean = [ms for _, ms, is_clean in handoffs if is_clean]
    every = [ms for _, ms, _ in handoffs]
    return {
        "handoff_ms_p50": percentile(clean, 0.5), "handoff_ms_p99": percentile(clean, 0.99),
        "handoff_ms_max": max(clean, default=None), "handoffs_clean": len(clean),
        "handoff_ms_p99_any": percentile(every, 0.99), "handoffs_any": len(every),
    }  # fmt: skip


def _many(options: list[str], seeds: range, parallel: int) -> dict[str, Any]:
    """Each seed in a process of its own, `parallel` at a time; sums, and the seeds that did not hold."""
    left, running = list(seeds), dict[int, subprocess.Popen[str]]()
    total: dict[str, Any] = {"members": options[1], "seed": seeds[0], "runs": 0, "failed": 0}
    sums: tuple[str, ...] = ("overlaps", "belief_overlaps", "refused", "actions", "unfinished", "faults")
    sums += (
        ("uncommitted_served", "twins", "disagreed", "committed", "aborted", "samples")
        if "policy" in options
        else ()
    )
    total |= dict.fromkeys(sums, 0)
    spans: dict[str, list[float]] = {"splits_ms": [], "spreads_ms": []}
    changes: Counter[str] = Counter()
    kinds: Counter[str] = Counter()
    exits: Counter[str] = Counter()
    handoffs: Handoffs = []
    bad: list[str] = []
    slow: list[str] = []
    load: dict[str, list[float]] = {"cpu_ms_s": [], "rss_mib": []}
    command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "run", "--json", *options]
    with bar("runs", len(seeds)) as shown:
        while left or running:
            while left and len(running) < parallel:
                seed = left.pop(0)
                running[seed] = subprocess.Popen([*command, "--seed", str(seed)], text=True,
                                                 stdout=subprocess.PIPE, stderr=subprocess.PIPE)  # fmt: skip
            time.sleep(0.02)
            for seed in [s for s, p in running.items() if p.poll() is not None]:
                program = running.pop(seed)
                told, said = program.communicate()
                shown.at(len(seeds) - len(left) - len(running))
                if program.returncode == BAD_INPUT or not told.strip():
                    total["failed"] += 1
                    bad.append(f"{seed}: {said.strip().splitlines()[-1] if said.strip() else 'ended'}")
                    continue
                one = json.loads(told)
                total["runs"] += one["runs"]
                for name in sums:
                    total[name] += one[name]
                kinds.update(one["by_kind"])
                exits.update(one["exits"])
                handoffs += [(kind, ms, clean) for kind, ms, clean in one["handoffs"]]
                for name, values in load.items():
                    values += one[name]
                for name, values in spans.items():
                    values += one.get(name, ())
                changes.update(one.get("changes", {}))
                # A single run's percentile is its slowest handoff: only the sum of all runs is held to the
                # bound.
                if any(one.get(name) for name in BROKEN):
                    bad.append(str(seed))
    from stackrouter.fleet.check import percentile

    medians = {name: percentile(values, 0.5) for name, values in load.items()}
    by_kind = {kind: percentile([ms for k, ms, c in handoffs if c and k == kind], 0.99)
            for kind in sorted({k for k, _, _ in handoffs})}  # fmt: skip
    seeds_told: dict[str, Any] = {
        "by_kind": dict(kinds),
        "exits": dict(exits),
        "bad_seeds": bad,
        "slow_seeds": slow,
    }
    return (
        total
        | seeds_told
        | {"p99_by_kind": by_kind, **medians}
        | _times(handoffs)
        | (
            {"changes": dict(changes), **_spans(**{n.removesuffix("_ms"): v for n, v in spans.items()})}
            if "policy" in options
            else {}
        )
    )
