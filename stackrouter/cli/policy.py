"""`policy`: see and change what the whole fleet serves under, through any member's door."""

from __future__ import annotations

import socket
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from stackrouter.cli.shared import NOT_SO, AsJson, out, print_json
from stackrouter.config import address_of
from stackrouter.errors import DoorSaidNoError, DoorUnreachableError

if TYPE_CHECKING:
    from stackrouter.coord.calls import PolicyStatus

app = typer.Typer(no_args_is_help=True, help="The policy that the whole fleet serves under.")
ANSWER_S = 2.0

Door = Annotated[str, typer.Option(help="A member's door, address:port (GW_ADMIN there).", envvar="GW_ADMIN")]
Base = Annotated[int | None, typer.Option(min=0, help="The version this builds on; the newest unless given.")]


@app.command()
def status(door: Door, as_json: AsJson = False) -> None:
    """Which version is committed, and which each member serves under."""
    told = _status(door)
    if as_json:
        print_json(asdict(told))
        return
    out.print(f"newest version {told.version}; this member serves under {told.serving} "
              f"since {told.since_s:g} s, {'ready' if told.ready else 'not ready'}")  # fmt: skip
    for name, (version, for_s) in sorted(told.members.items()):
        out.print(f"  {name}: version {version} for {for_s} s")
    for name, report in sorted(told.replicas.items()):
        counts = ", ".join(f"{count} under version {version}" for version, count in report.by_version)
        told_of = counts or "none has told"
        out.print(f"  replica {name}: {report.gateways} gateways; {told_of}", soft_wrap=True)
        if report.behind:
            out.print(f"    behind: {', '.join(report.behind)}", soft_wrap=True)
    for number, digest, by in told.versions:
        out.print(f"  version {number}  {digest}  proposed by {by}")


@app.command()
def propose(
    file: Annotated[Path, typer.Argument(help="A file like GW_CONFIG's; its settings count.")],
    door: Door,
    base: Base = None,
) -> None:
    """Change the settings everywhere or nowhere. The file is read by the member, on its machine."""
    number = _status(door).version if base is None else base
    _change(door, f"policy propose {number} {file.resolve()}")


@app.command()
def rollback(door: Door, base: Base = None) -> None:
    """Go back to the version before the newest, as a new version."""
    number = _status(door).version if base is None else base
    _change(door, f"policy rollback {number}")


def _change(door: str, call: str) -> None:
    kind, told = call_door(door, call)
    print(told)
    raise typer.Exit(0 if kind == "SUCCESS" else NOT_SO)


def _status(door: str) -> PolicyStatus:
    """Checked as it is read: what answers there may be no member, or another version of one."""
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.coord.calls import PolicyStatus

    kind, told = call_door(door, "policy status")
    if kind != "SUCCESS":
        raise DoorSaidNoError(told, address=door)
    try:
        return TypeAdapter(PolicyStatus).validate_json(told)
    except ValidationError as error:
        raise DoorUnreachableError(f"no policy status: {error}", address=door) from None


def call_door(door: str, call: str) -> tuple[str, str]:
    """SUCCESS or FAILURE, and what was said."""
    try:
        with socket.create_connection(address_of(door, "--door"), ANSWER_S) as sock:
            sock.sendall(call.encode() + b"\n")
            line = sock.makefile("r", encoding="utf-8").readline()
    except OSError as error:
        raise DoorUnreachableError(error, key="--door", address=door) from None
    kind, _, told = line.strip().partition(" ")
    return kind, told
