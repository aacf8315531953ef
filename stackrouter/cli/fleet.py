"""`fleet run`: several gateways on this machine with faults between them; checks the recorded history."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal

import typer

from stackrouter.cli import scale, soak
from stackrouter.cli.shared import EXIT_CHECK_FAILED, AsJson, out, print_json, progress_bar
from stackrouter.errors import OptionError

app = typer.Typer(no_args_is_help=True, help="Several gateways, with faults between them.")
app.command("scale")(scale.scale)
app.command("soak")(soak.soak)

MIN_MEMBERS, MAX_MEMBERS = 1, 64  # the operator's file takes at most 64 peers


@app.callback()
def root() -> None:
    """Run gateway processes on loopback; all of them are terminated at the end."""


@app.command("run")
def run(
    members: Annotated[str, typer.Option(help="Number of members; 3-7: derived from the seed.")] = "5",
    nemesis: Annotated[str, typer.Option(help="Comma-separated kinds of faults; all, or none.")] = "all",
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=0.5, max=3600, help="Duration of the faults.")] = 6.0,
    check: Annotated[
        Literal["lease", "policy"], typer.Option(help="The property to check the history for.")
    ] = "lease",
    ttl_ms: Annotated[int, typer.Option(min=200, max=60_000)] = 800,
    drift_ms: Annotated[int, typer.Option(min=0, help="Maximum clock drift within one ttl.")] = 80,
    election_ms: Annotated[int, typer.Option(min=100, max=10_000)] = 400,
    work_ms: Annotated[
        int, typer.Option(min=0, max=10_000, help="Delay from a member's check of its lease to its action.")
    ] = 8,
    touch_ms: Annotated[
        int, typer.Option(min=100, max=60_000, help="Validity of an answered heartbeat.")
    ] = 1000,
    after_ms: Annotated[
        int, typer.Option(min=100, max=60_000, help="Delay from a version's commit to its activation.")
    ] = 1500,
    every_ms: Annotated[
        int, typer.Option(min=1, max=60_000, help="Interval between the actions of a member.")
    ] = 40,
    load: Annotated[
        float,
        typer.Option(min=0, max=2, help="Offered load of the clients, as a share of the nodes' capacity."),
    ] = 0.0,
    unfenced: Annotated[
        bool, typer.Option(help="Planted fault: the receiver ignores fencing tokens.")
    ] = False,
    runs: Annotated[int, typer.Option(min=1, help="Number of seeds to run, starting at --seed.")] = 1,
    rounds: Annotated[
        int,
        typer.Option(
            min=1, max=100, help="Number of seeds whose faults are run in turn on the same members."
        ),
    ] = 1,
    parallel: Annotated[int, typer.Option(min=1, max=64, help="Concurrent runs.")] = 1,
    logs: Annotated[Path | None, typer.Option(help="Keep the members' logs in this folder.")] = None,
    as_json: AsJson = False,
) -> None:
    """Exit code 0: the history satisfies the check; 1: it does not."""
    from stackrouter.fleet.figures import Bounds
    from stackrouter.fleet.options import HarnessOptions
    from stackrouter.fleet.run import run as run_harness
    from stackrouter.fleet.schedule import DEFAULT_KINDS, KINDS
    from stackrouter.fleet.sweep import sweep

    fault_kinds = {"all": DEFAULT_KINDS, "none": ()}.get(nemesis, tuple(nemesis.split(",")))
    for kind in fault_kinds:
        if kind not in KINDS:
            raise OptionError(f"must be among {', '.join(KINDS)}, all or none, not {kind!r}", key="--nemesis")
    count = _member_count(members, seed)
    if not 0 <= 2 * drift_ms < ttl_ms:
        reason = f"must be less than half of the ttl ({ttl_ms}), not {drift_ms}"
        raise OptionError(reason, key="--drift-ms")
    if after_ms <= touch_ms:
        raise OptionError(f"must be more than --touch-ms ({touch_ms}), not {after_ms}", key="--after-ms")
    settings = HarnessOptions(count, seed, seconds, fault_kinds, ttl_ms, drift_ms, election_ms, work_ms,
                              policy=check == "policy", touch_ms=touch_ms, after_ms=after_ms,
                              every_ms=every_ms, load=load, fenced=not unfenced)  # fmt: skip
    if runs > rounds:
        options = ["--members", members, "--nemesis", nemesis, "--seconds", str(seconds), "--check", check,
                   "--ttl-ms", str(ttl_ms), "--drift-ms", str(drift_ms), "--election-ms", str(election_ms),
                   "--work-ms", str(work_ms), "--touch-ms", str(touch_ms), "--after-ms", str(after_ms),
                   "--every-ms", str(every_ms), "--rounds", str(rounds), "--load", str(load),
                   *(["--unfenced"] if unfenced else []),
                   *(["--logs", str(logs)] if logs else [])]  # fmt: skip
        seeds = range(seed, seed + runs, rounds)
        with progress_bar("runs", len(seeds)) as progress:
            result = sweep(options, members, seeds, parallel, settings.policy, progress.update).to_json()
    else:
        result = run_harness(settings, logs, rounds).to_json()
    figures = Bounds.of(settings).with_verdict(result)
    if as_json:
        print_json(figures)
    else:
        for name, value in figures.items():
            out.print(f"{name:>20}  {value}", soft_wrap=True)
    raise typer.Exit(0 if figures["ok"] else EXIT_CHECK_FAILED)


def _member_count(members: str, seed: int) -> int:
    """Number of members: the given one, or one of a range such as 3-7, chosen by the seed."""
    match = re.fullmatch(r"(\d+)(?:-(\d+))?", members)
    lowest, highest = (int(match[1]), int(match[2] or match[1])) if match else (0, 0)
    if not MIN_MEMBERS <= lowest <= highest <= MAX_MEMBERS:
        reason = f"must be {MIN_MEMBERS} to {MAX_MEMBERS}, or a range such as 3-7, not {members!r}"
        raise OptionError(reason, key="--members")
    return lowest + seed % (highest - lowest + 1)
