"""The `stackrouter` command. A subcommand imports the packages it needs only when it runs."""

from __future__ import annotations

import sys
from importlib.metadata import version
from typing import Annotated

import typer

from stackrouter.cli import bench, checks, control, demo, explain, fleet, model, policy, report, trace
from stackrouter.errors import StackrouterError

app = typer.Typer(name="stackrouter", no_args_is_help=True, rich_markup_mode=None,
                  context_settings={"help_option_names": ["-h", "--help"]},
                  help="A storage gateway and the tools to operate and inspect it.")  # fmt: skip
app.command("serve")(checks.serve)
app.command("check")(checks.check)
app.command("explain")(explain.explain)
app.command("demo")(demo.demo)
app.add_typer(fleet.app, name="fleet")
app.add_typer(policy.app, name="policy")
app.add_typer(control.app, name="control")
app.add_typer(model.app, name="model")
app.add_typer(trace.app, name="trace")
app.add_typer(report.app, name="report")
app.add_typer(bench.app, name="bench")


def _version(requested: bool) -> None:
    if requested:
        print(f"stackrouter {version('stackrouter')}")
        raise typer.Exit


@app.callback()
def root(
    _version: Annotated[
        bool, typer.Option("--version", callback=_version, is_eager=True, help="Print the version and exit.")
    ] = False,
) -> None:
    """Exit codes: 0 success, 1 a check failed, 2 bad usage or input."""


def main() -> None:
    """Entry point: prints an error of the program as one line and exits with code 2."""
    try:
        app()
    except StackrouterError as error:
        print(f"stackrouter: {error.one_line()}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(0)


if __name__ == "__main__":
    main()
