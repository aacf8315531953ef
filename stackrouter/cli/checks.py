"""`serve` runs a gateway; `check` validates an operator's file."""

from __future__ import annotations

import dataclasses
import os
import sys
from pathlib import Path
from typing import Annotated, Literal

import typer

from stackrouter.cli.shared import AsJson, print_json
from stackrouter.errors import ConfigError


def serve(
    config: Annotated[Path, typer.Argument(help="The platform's JSON file, as in GW_CONFIG.")],
    edge: Annotated[Path | None, typer.Option(help="The operator's file, as in GW_EDGE.")] = None,
    log_format: Annotated[
        Literal["text", "json"] | None, typer.Option(help="Format of the log lines.")
    ] = None,
) -> None:
    """Run one gateway, like `python -m stackrouter`."""
    os.environ["GW_CONFIG"] = str(config)
    if edge is not None:
        os.environ["GW_EDGE"] = str(edge)
    if log_format is not None:
        os.environ["GW_LOG_FORMAT"] = log_format
    os.execv(sys.executable, [sys.executable, "-m", "stackrouter"])


def check(
    file: Annotated[Path, typer.Argument(help="An operator's file, such as deploy/edge.txtpb.")],
    config: Annotated[
        Path | None,
        typer.Option(help="The platform's JSON file, to check names of classes and plans against."),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Validate an operator's file and list what it enables."""
    from stackrouter.config import load
    from stackrouter.edge.load import load as load_edge
    from stackrouter.fronts.sftp.config import settings

    try:
        edge = load_edge(file)
        if config is not None:
            settings(load({"GW_CONFIG": str(config)}), edge.sftp)
    except ConfigError as error:
        if not as_json:
            raise
        print_json({"ok": False, **error.fields()})
        raise typer.Exit(2) from None
    enabled_parts = [
        part
        for part in ("sftp", "accounts", "trace", "coordination", "control")
        if getattr(edge, part).enabled
    ]
    if edge.control.listen:
        enabled_parts.append("control replica")
    if as_json:
        print_json({"ok": True, "on": enabled_parts, "edge": dataclasses.asdict(edge)})
        return
    print(f"{file}: valid; enabled: {', '.join(enabled_parts) or 'nothing'}; log: {edge.log.format}")
