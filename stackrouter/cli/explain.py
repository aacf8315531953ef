"""`explain`: the meaning of an error code and the remedy."""

from __future__ import annotations

from typing import Annotated

import typer

from stackrouter.cli.shared import AsJson, out, print_json
from stackrouter.errors import TABLE, CodeError, page


def explain(
    code: Annotated[
        str,
        typer.Argument(help="The code at the start of an error line, SR-...; lists all codes if omitted."),
    ] = "",
    as_page: Annotated[
        bool, typer.Option("--page", help="Print the operators' page of all errors as Markdown.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Print what an error code means and what to do."""
    if as_page:
        print(page(), end="")
        return
    requested = code.upper().rstrip(":")
    if requested and requested not in TABLE:
        raise CodeError(f"unknown error code {code!r}")
    entries = {name: {"means": TABLE[name].means(), "do": TABLE[name].do} for name in sorted(TABLE)}
    if requested:
        entries = {requested: entries[requested]}
    if as_json:
        print_json(entries)
        return
    for name, entry in entries.items():
        out.print(name if requested else f"{name}  {entry['means']}", soft_wrap=True)
        if requested:
            out.print(f"  {entry['means']}\n  What to do: {entry['do']}", soft_wrap=True)
