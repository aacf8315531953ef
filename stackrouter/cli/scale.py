"""`fleet scale`: thousands of hollow gateways beside real ones, control replicas, changes and faults."""

from __future__ import annotations

import signal
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Literal

import typer

from stackrouter.cli.shared import EXIT_CHECK_FAILED, AsJson, err, out, print_json
from stackrouter.errors import OptionError


def scale(
    hollow: Annotated[
        int, typer.Option(min=1, max=20_000, help="Hollow gateways: control-plane clients only.")
    ] = 100,
    real: Annotated[int, typer.Option(min=1, max=20, help="Real gateway processes.")] = 3,
    control: Annotated[int, typer.Option(min=1, max=16, help="Control replicas; at most 5 vote.")] = 3,
    regions: Annotated[int, typer.Option(min=1, max=16)] = 3,
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=0.5, max=3600, help="Duration of the changes.")] = 20.0,
    faults: Annotated[Literal["none", "all"], typer.Option(help="Kinds of faults.")] = "none",
    nodes: Annotated[int, typer.Option(min=1, max=20_000, help="Storage nodes in the list.")] = 1000,
    touch_ms: Annotated[
        int, typer.Option(min=200, max=60_000, help="Validity of an answered heartbeat.")
    ] = 2400,
    after_ms: Annotated[
        int, typer.Option(min=200, max=60_000, help="Delay from a version's commit to its activation.")
    ] = 3000,
    processes: Annotated[
        int, typer.Option(min=0, max=200, help="Processes for the hollow gateways; 0: as many as needed.")
    ] = 0,
    planted: Annotated[Literal["", "dropped-delta", "early-version"], typer.Option(hidden=True)] = "",
    logs: Annotated[Path | None, typer.Option(help="Keep files and logs in this folder.")] = None,
    as_json: AsJson = False,
) -> None:
    """Exit code 0: all checks hold; 1: a check failed."""
    from stackrouter.fleet.scale.options import ScaleOptions
    from stackrouter.fleet.scale.run import ScaleRun

    if after_ms <= touch_ms:
        raise OptionError(f"must be more than --touch-ms ({touch_ms}), not {after_ms}", key="--after-ms")
    options = ScaleOptions(hollow, real, control, regions, seed, seconds, faults == "all", nodes, touch_ms,
                           after_ms, processes, planted)  # fmt: skip
    # Handle SIGTERM like Ctrl-C, so that the child processes are terminated on exit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="stackrouter-scale-") as scratch:
        folder = logs or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        figures = ScaleRun(options, folder, lambda line: err.print(line, soft_wrap=True)).run()
    if as_json:
        print_json(asdict(figures))
    else:
        for name, value in asdict(figures).items():
            out.print(f"{name:>24}  {value}", soft_wrap=True)
    raise typer.Exit(0 if figures.ok else EXIT_CHECK_FAILED)
