"""`model run` simulates a fleet once; `model limits` simulates fleet-wide limits."""

from __future__ import annotations

import dataclasses
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated

import typer

from stackrouter.cli.shared import EXIT_CHECK_FAILED, print_json, progress_bar
from stackrouter.errors import OptionError, OutputError

app = typer.Typer(no_args_is_help=True, help="Discrete-event simulation of a fleet, without sockets.")


@app.callback()
def group() -> None:
    """Discrete-event simulation of a fleet, without sockets."""


@app.command()
def run(
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    noisy: Annotated[
        str, typer.Option(help="Which volume bursts: basic, priority, writes or none.")
    ] = "none",
    without_noise: Annotated[bool, typer.Option(help="The same traffic without the burst.")] = False,
    gateways: Annotated[int, typer.Option(min=1, max=64)] = 3,
    nodes: Annotated[int, typer.Option(min=1, max=512)] = 9,
    seconds: Annotated[
        float, typer.Option(min=0.1, max=3600, help="Length of the run in simulated time.")
    ] = 15.0,
    trace: Annotated[Path | None, typer.Option(help="Write the trace of all gateways to this file.")] = None,
) -> None:
    """Run the simulation once and print one line of JSON."""
    from stackrouter.model.fleet import simulate
    from stackrouter.model.recording import recorders
    from stackrouter.model.traffic import Noisy

    try:
        noisy_kind = Noisy(noisy)
    except ValueError:
        reason = f"must be one of {', '.join(n.value for n in Noisy)}, not {noisy!r}"
        raise OptionError(reason, key="--noisy") from None
    length_us = round(seconds * 1e6)
    started_s = time.perf_counter()
    with ExitStack() as stack:
        progress = stack.enter_context(progress_bar("model", length_us))
        subscribers = []
        if trace is not None:
            try:
                subscribers = stack.enter_context(recorders(trace, gateways, nodes, seed))
            except OSError as error:
                raise OutputError(error.strerror, key="--trace", file=trace) from None
        outcomes = simulate(
            seed, noisy_kind, not without_noise, gateways, nodes, length_us, subscribers, progress.update
        )
    print_json({**dataclasses.asdict(outcomes), "wall_s": round(time.perf_counter() - started_s, 3)})


@app.command()
def limits(
    members: Annotated[
        str, typer.Option(help="Comma-separated fleet sizes; the seed selects one of them.")
    ] = "3,5,7,40",
    seed: int = 1,
    runs: Annotated[
        int, typer.Option(min=1, max=100_000, help="Number of seeds to run, starting at --seed.")
    ] = 1,
    seconds: Annotated[
        float, typer.Option(min=3, max=3600, help="Length of each run in simulated time.")
    ] = 10.0,
    swing_ms: Annotated[
        int, typer.Option(min=5, help="Interval at which the demand moves to another member.")
    ] = 5000,
    faults: Annotated[
        bool, typer.Option(help="Inject network cuts and stopped and killed allocators.")
    ] = True,
) -> None:
    """Compare fleet-wide limits with an even static split on the same skewed demand, as one line of JSON."""
    from concurrent.futures import ProcessPoolExecutor

    from stackrouter.model.limits import Scene, simulate

    if not all(part.isdigit() and 2 <= int(part) <= 200 for part in members.split(",")):
        raise OptionError(f"must be comma-separated numbers from 2 to 200, not {members!r}", key="--members")
    sizes = [int(part) for part in members.split(",")]
    scenes = [Scene(sizes[s % len(sizes)], s, seconds, swing_ms=swing_ms, faults=faults)
              for s in range(seed, seed + runs)]  # fmt: skip
    with progress_bar("model", runs) as progress, ProcessPoolExecutor() as pool:
        results = []
        for figures in pool.map(simulate, scenes, chunksize=4):
            results.append(figures)
            progress.update(len(results))
    use_ratios = sorted(f.use_ratio for f in results)
    ok = not any(f.over_bound_windows for f in results) and max(f.max_parts for f in results) <= 1 + 1e-9
    print_json({
        "runs": runs, "members": sizes, "windows": sum(f.windows for f in results),
        "over_bound_windows": sum(f.over_bound_windows for f in results),
        "max_over_ratio": round(max(f.max_over_ratio for f in results), 4),
        "max_parts": round(max(f.max_parts for f in results), 6),
        "use_ratio": round(sum(use_ratios) / runs, 4), "use_ratio_least": round(use_ratios[0], 4),
        "static_use_ratio": round(sum(f.static_use_ratio for f in results) / runs, 4),
        "faults": sum(f.faults for f in results), "ok": ok,
    })  # fmt: skip
    raise typer.Exit(0 if ok else EXIT_CHECK_FAILED)
