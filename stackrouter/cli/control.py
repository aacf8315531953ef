"""`control`: runs a replica of the control plane and reads its state."""

from __future__ import annotations

import os
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from stackrouter.cli.policy import AdminAddress, call_admin
from stackrouter.cli.shared import AsJson, out, print_json
from stackrouter.errors import DoorSaidNoError, DoorUnreachableError

if TYPE_CHECKING:
    from stackrouter.controlplane.status import ControlStatus, GatewayStatus

app = typer.Typer(no_args_is_help=True, help="Replicas of the control plane that run outside the gateways.")


@app.command()
def serve(
    file: Annotated[Path, typer.Argument(help="The operator's file of this replica.")],
) -> None:
    """Run one control replica."""
    os.execv(sys.executable, [sys.executable, "-m", "stackrouter.controlplane.process", str(file)])


@app.command()
def status(door: AdminAddress, as_json: AsJson = False) -> None:
    """Print the state of a replica (leader, versions its gateways have in force, costs) or of a gateway that
    observes one."""
    answer = _fetch_status(door)
    if as_json:
        print_json(asdict(answer))
        return
    for line in _gateway_lines(answer) if answer.role == "gateway" else _replica_lines(answer):
        out.print(line, soft_wrap=True)


def _replica_lines(answer: Any) -> list[str]:
    counts = ", ".join(
        f"{count} under version {version}" for version, count in sorted(answer.serving.items())
    )
    return [
        f"replica {answer.replica} ({answer.role}), {'ready' if answer.ready else 'not ready'}; "
        f"leader {answer.leader or 'unknown'}, term {answer.term}",
        f"  change {answer.position} of history {answer.history[:12] or 'none'}, policy "
        f"{answer.active} active",
        f"  {answer.gateways} gateways; {counts or 'no report yet'}",
        *([f"  behind: {', '.join(answer.behind)}"] if answer.behind else []),
        f"  {answer.snapshots} snapshots begun, {answer.snapshots_waiting} waiting; "
        f"{answer.resumed} resumed, {answer.rejected} rejected",
        f"  {answer.heartbeats} heartbeats, {answer.barriers} barriers ({answer.barriers_failed} failed), "
        f"{answer.log_entries} log entries, {answer.changes} changes",
        f"  {answer.bytes_in} bytes in, {answer.bytes_out} bytes out; in {answer.uptime_s:g} s: "
        f"{answer.cpu_ms} ms CPU; {answer.rss_mib:g} MiB; timers late by at most {answer.late_ms:g} ms",
    ]


def _gateway_lines(answer: Any) -> list[str]:
    return [
        f"gateway {answer.gateway}, replica {answer.replica or 'none'}, heartbeat "
        f"{'valid' if answer.heartbeat_valid else 'not valid'}",
        f"  change {answer.position} of history {answer.history[:12] or 'none'}, serving version "
        f"{answer.serving} for {answer.since_s:g} s",
        f"  list {answer.nodes_index}, {'from the control plane' if answer.follows else 'from discovery'}",
        f"  {answer.bytes_in} bytes in, {answer.bytes_out} bytes out; {answer.connections} connections, "
        f"{answer.hangups} closed by this gateway",
    ]


def _fetch_status(door: str) -> ControlStatus | GatewayStatus:
    """Reads and validates the status: the peer may be neither, or run another version of the software."""
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.controlplane.status import ControlStatus, GatewayStatus

    outcome, answer = call_admin(door, "control status")
    if outcome != "SUCCESS":
        raise DoorSaidNoError(answer, address=door)
    try:
        adapter: TypeAdapter[ControlStatus | GatewayStatus] = TypeAdapter(ControlStatus | GatewayStatus)
        return adapter.validate_json(answer)
    except ValidationError as error:
        raise DoorUnreachableError(f"no control status: {error}", address=door) from None
