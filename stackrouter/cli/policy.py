"""`policy`: reads and changes the policy of the whole fleet through the admin port of any member."""

from __future__ import annotations

import socket
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from stackrouter.cli.shared import EXIT_CHECK_FAILED, AsJson, out, print_json
from stackrouter.config import address_of
from stackrouter.errors import DoorSaidNoError, DoorUnreachableError

if TYPE_CHECKING:
    from stackrouter.coord.calls import PolicyStatus

app = typer.Typer(no_args_is_help=True, help="The policy in force in the whole fleet.")
ANSWER_TIMEOUT_S = 2.0

AdminAddress = Annotated[
    str, typer.Option(help="A member's admin address, address:port (its GW_ADMIN).", envvar="GW_ADMIN")
]
BaseVersion = Annotated[
    int | None, typer.Option(min=0, help="The version the change is based on; the newest by default.")
]


@app.command()
def status(door: AdminAddress, as_json: AsJson = False) -> None:
    """Print the committed version and the version each member has in force."""
    answer = _fetch_status(door)
    if as_json:
        print_json(asdict(answer))
        return
    out.print(f"newest version {answer.version}; this member has version {answer.serving} "
              f"in force for {answer.since_s:g} s, {'ready' if answer.ready else 'not ready'}")  # fmt: skip
    for name, (version, seconds) in sorted(answer.members.items()):
        out.print(f"  {name}: version {version} for {seconds} s")
    for name, report in sorted(answer.replicas.items()):
        counts = ", ".join(f"{count} under version {version}" for version, count in report.by_version)
        by_version = counts or "no report yet"
        out.print(f"  replica {name}: {report.gateways} gateways; {by_version}", soft_wrap=True)
        if report.behind:
            out.print(f"    behind: {', '.join(report.behind)}", soft_wrap=True)
    for number, digest, proposer in answer.versions:
        out.print(f"  version {number}  {digest}  proposed by {proposer}")


@app.command()
def propose(
    file: Annotated[Path, typer.Argument(help="A file as in GW_CONFIG, with the new settings.")],
    door: AdminAddress,
    base: BaseVersion = None,
) -> None:
    """Change the settings on all members or on none. The member reads the file from its own disk."""
    number = _fetch_status(door).version if base is None else base
    _send_change(door, f"policy propose {number} {file.resolve()}")


@app.command()
def rollback(door: AdminAddress, base: BaseVersion = None) -> None:
    """Restore the version before the newest as a new version."""
    number = _fetch_status(door).version if base is None else base
    _send_change(door, f"policy rollback {number}")


def _send_change(door: str, command: str) -> None:
    outcome, answer = call_admin(door, command)
    print(answer)
    raise typer.Exit(0 if outcome == "SUCCESS" else EXIT_CHECK_FAILED)


def _fetch_status(door: str) -> PolicyStatus:
    """Reads and validates the status: the peer may be no member, or run another version of the software."""
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.coord.calls import PolicyStatus

    outcome, answer = call_admin(door, "policy status")
    if outcome != "SUCCESS":
        raise DoorSaidNoError(answer, address=door)
    try:
        return TypeAdapter(PolicyStatus).validate_json(answer)
    except ValidationError as error:
        raise DoorUnreachableError(f"no policy status: {error}", address=door) from None


def call_admin(door: str, command: str) -> tuple[str, str]:
    """Sends one admin command; returns SUCCESS or FAILURE and the rest of the answer.

    Raises DoorUnreachableError if the address cannot be reached."""
    try:
        with socket.create_connection(address_of(door, "--door"), ANSWER_TIMEOUT_S) as sock:
            sock.sendall(command.encode() + b"\n")
            line = sock.makefile("r", encoding="utf-8").readline()
    except OSError as error:
        raise DoorUnreachableError(error, key="--door", address=door) from None
    outcome, _, answer = line.strip().partition(" ")
    return outcome, answer
