"""`fleet soak`: real gateways under random, overlapping faults, checked against what their peers observed."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Annotated

import typer

from stackrouter.cli.shared import EXIT_CHECK_FAILED, AsJson, out
from stackrouter.errors import OptionError


def soak(
    gateways: Annotated[int, typer.Option(min=1, max=64)] = 24,
    nodes: Annotated[int, typer.Option(min=1, max=300)] = 60,
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=0.5, max=3600, help="Duration of the faults.")] = 20.0,
    faults: Annotated[str, typer.Option(help="Comma-separated kinds of faults; all, or none.")] = "all",
    requests: Annotated[
        float, typer.Option(min=0.1, max=500, help="Requests per second at each gateway.")
    ] = 20.0,
    planted: Annotated[str, typer.Option(hidden=True)] = "",
    logs: Annotated[Path | None, typer.Option(help="Keep files and logs in this folder.")] = None,
    as_json: AsJson = False,
) -> None:
    """Exit code 0: no rule broken, all requests answered, no crash; 1: otherwise. The last line is JSON."""
    from stackrouter.soak.options import KINDS, SoakOptions
    from stackrouter.soak.run import Soak

    fault_kinds = {"all": KINDS, "none": ()}.get(faults, tuple(faults.split(",")))
    for kind in fault_kinds:
        if kind not in KINDS:
            raise OptionError(f"must be among {', '.join(KINDS)}, all or none, not {kind!r}", key="--faults")
    # Handle SIGTERM like Ctrl-C, so that the child processes are terminated on exit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    result = Soak(SoakOptions(gateways, nodes, seed, seconds, fault_kinds, requests, planted), logs).run()
    if not as_json:
        for name, value in result.as_json().items():
            out.print(f"{name:>14}  {value}", soft_wrap=True, markup=False)
    print(json.dumps(result.as_json()), flush=True)
    raise typer.Exit(0 if result.ok else EXIT_CHECK_FAILED)
