"""`fleet run`: several gateways on this machine, faults between them, and whether their history holds."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal

import typer

from stackrouter.cli import scale, soak
from stackrouter.cli.shared import NOT_SO, AsJson, bar, out, print_json
from stackrouter.errors import OptionError

app = typer.Typer(no_args_is_help=True, help="Several gateways, with faults between them.")
app.command("scale")(scale.scale)
app.command("soak")(soak.soak)

FEWEST, MOST = 1, 64  # as many as the operator's file names peers


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
    touch_ms: Annotated[
        int, typer.Option(min=100, max=60_000, help="How long an answered heartbeat is valid.")
    ] = 1000,
    after_ms: Annotated[
        int, typer.Option(min=100, max=60_000, help="From a version's commit to its activation.")
    ] = 1500,
    every_ms: Annotated[
        int, typer.Option(min=1, max=60_000, help="From one action of a member to its next.")
    ] = 40,
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
    from stackrouter.fleet.figures import Bounds
    from stackrouter.fleet.options import HarnessOptions
    from stackrouter.fleet.run import run as play
    from stackrouter.fleet.schedule import DEFAULT, KINDS
    from stackrouter.fleet.sweep import sweep

    named = {"all": DEFAULT, "none": ()}.get(nemesis, tuple(nemesis.split(",")))
    for kind in named:
        if kind not in KINDS:
            raise OptionError(f"must be of {', '.join(KINDS)}, all or none, not {kind!r}", key="--nemesis")
    count = _count(members, seed)
    if not 0 <= 2 * drift_ms < ttl_ms:
        what = f"must be less than half of the ttl ({ttl_ms}), not {drift_ms}"
        raise OptionError(what, key="--drift-ms")
    if after_ms <= touch_ms:
        raise OptionError(f"must be more than --touch-ms ({touch_ms}), not {after_ms}", key="--after-ms")
    settings = HarnessOptions(count, seed, seconds, named, ttl_ms, drift_ms, election_ms, work_ms,
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
        with bar("runs", len(seeds)) as shown:
            told = sweep(options, members, seeds, parallel, settings.policy, shown.at).to_json()
    else:
        told = play(settings, logs, rounds).to_json()
    figures = Bounds.of(settings).judged(told)
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
