"""`fleet soak`: real gateways under random, overlapping faults, judged by what others saw of them."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Annotated

import typer

from stackrouter.cli.shared import NOT_SO, AsJson, out
from stackrouter.errors import OptionError


def soak(
    gateways: Annotated[int, typer.Option(min=1, max=64)] = 24,
    nodes: Annotated[int, typer.Option(min=1, max=300)] = 60,
    seed: int = 1,
    seconds: Annotated[float, typer.Option(min=0.5, max=3600, help="How long faults come.")] = 20.0,
    faults: Annotated[str, typer.Option(help="Kinds of faults, by commas; all, or none.")] = "all",
    requests: Annotated[float, typer.Option(min=0.1, max=500, help="A second, at each gateway.")] = 20.0,
    planted: Annotated[str, typer.Option(hidden=True)] = "",
    logs: Annotated[Path | None, typer.Option(help="Keep files and logs in this folder.")] = None,
    as_json: AsJson = False,
) -> None:
    """Exit code 0: no rule broken, all requests answered, no crash; 1: not so. The last line is JSON."""
    from stackrouter.soak.options import KINDS, SoakOptions
    from stackrouter.soak.run import Soak

    named = {"all": KINDS, "none": ()}.get(faults, tuple(faults.split(",")))
    for kind in named:
        if kind not in KINDS:
            raise OptionError(f"must be of {', '.join(KINDS)}, all or none, not {kind!r}", key="--faults")
    # SIGTERM as Ctrl-C: the processes that were started are ended on the way out.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    result = Soak(SoakOptions(gateways, nodes, seed, seconds, named, requests, planted), logs).play()
    if not as_json:
        for name, value in result.as_json().items():
            out.print(f"{name:>14}  {value}", soft_wrap=True, markup=False)
    print(json.dumps(result.as_json()), flush=True)
    raise typer.Exit(0 if result.ok else NOT_SO)
