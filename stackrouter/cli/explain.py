"""`explain`: what an error's code means and what to do."""

from __future__ import annotations

from typing import Annotated

import typer

from stackrouter.cli.shared import AsJson, out, print_json
from stackrouter.errors import TABLE, CodeError, page


def explain(
    code: Annotated[
        str, typer.Argument(help="As an error's line begins: SR-...; all codes without it.")
    ] = "",
    whole: Annotated[
        bool, typer.Option("--page", help="The operators' page of all errors, as Markdown.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Say what an error means and what can be done."""
    if whole:
        print(page(), end="")
        return
    wanted = code.upper().rstrip(":")
    if wanted and wanted not in TABLE:
        raise CodeError(f"no error has the code {code!r}")
    found = {name: {"means": TABLE[name].means(), "do": TABLE[name].do} for name in sorted(TABLE)}
    if wanted:
        found = {wanted: found[wanted]}
    if as_json:
        print_json(found)
        return
    for name, entry in found.items():
        out.print(name if wanted else f"{name}  {entry['means']}", soft_wrap=True)
        if wanted:
            out.print(f"  {entry['means']}\n  What to do: {entry['do']}", soft_wrap=True)
