"""`control`: run a replica of the control plane, and read its state."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from stackrouter.cli.policy import Door, call_door
from stackrouter.cli.shared import AsJson, out, print_json
from stackrouter.errors import DoorSaidNoError, DoorUnreachableError

if TYPE_CHECKING:
    from stackrouter.controlplane.status import ControlStatus, GatewayStatus

app = typer.Typer(no_args_is_help=True, help="The control plane apart from the gateways.")


@app.command()
def serve(
    file: Annotated[Path, typer.Argument(help="The operator's file of this replica.")],
) -> None:
    """Run one control replica."""
    os.execv(sys.executable, [sys.executable, "-m", "stackrouter.controlplane.process", str(file)])


@app.command()
def status(door: Door, as_json: AsJson = False) -> None:
    """The state of a replica (who leads, what its gateways serve under, what it costs), or of a gateway that
    observes one."""
    told = _status(door)
    if as_json:
        print_json(asdict(told))
        return
    for line in _gateway_lines(told) if told.role == "gateway" else _replica_lines(told):
        out.print(line, soft_wrap=True)


def _replica_lines(told: Any) -> list[str]:
    counts = ", ".join(f"{count} under version {version}" for version, count in sorted(told.serving.items()))
    return [
        f"replica {told.replica} ({told.role}), {'ready' if told.ready else 'not ready'}; "
        f"leader {told.leader or 'not known'}, term {told.term}",
        f"  change {told.position} of history {told.history[:12] or 'none'}, policy {told.active} active",
        f"  {told.gateways} gateways; {counts or 'none has told'}",
        *([f"  behind: {', '.join(told.behind)}"] if told.behind else []),
        f"  {told.snapshots} snapshots begun, {told.snapshots_waiting} wait; {told.resumed} resumed, "
        f"{told.rejected} rejected",
        f"  {told.heartbeats} heartbeats, {told.barriers} barriers ({told.barriers_failed} failed), "
        f"{told.log_entries} log entries, {told.changes} changes",
        f"  {told.bytes_in} bytes in, {told.bytes_out} bytes out; in {told.uptime_s:g} s: {told.cpu_ms} ms "
        f"CPU; {told.rss_mib:g} MiB; late by {told.late_ms:g} ms at most",
    ]


def _gateway_lines(told: Any) -> list[str]:
    return [
        f"gateway {told.gateway}, replica {told.replica or 'none'}, heartbeat "
        f"{'valid' if told.heartbeat_valid else 'not valid'}",
        f"  change {told.position} of history {told.history[:12] or 'none'}, serving version {told.serving} "
        f"since {told.since_s:g} s",
        f"  list {told.nodes_index}, {'from the control plane' if told.follows else 'asks discovery itself'}",
        f"  {told.bytes_in} bytes in, {told.bytes_out} bytes out; {told.connections} connections, "
        f"{told.hangups} ended here",
    ]


def _status(door: str) -> ControlStatus | GatewayStatus:
    """Checked as it is read: what answers there may be neither, or another version of one."""
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.controlplane.status import ControlStatus, GatewayStatus

    kind, told = call_door(door, "control status")
    if kind != "SUCCESS":
        raise DoorSaidNoError(told, address=door)
    try:
        adapter: TypeAdapter[ControlStatus | GatewayStatus] = TypeAdapter(ControlStatus | GatewayStatus)
        return adapter.validate_json(told)
    except ValidationError as error:
        raise DoorUnreachableError(f"no control status: {error}", address=door) from None
