"""What commands share: errors of input, JSON out, progress."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn

AsJson = Annotated[bool, typer.Option("--json", help="One line of JSON instead of text.")]
OK, NOT_SO, BAD_INPUT = 0, 1, 2

out = Console(highlight=False)
err = Console(stderr=True, highlight=False)


def print_json(values: Any) -> None:
    json.dump(values, sys.stdout, separators=(",", ":"))
    sys.stdout.write("\n")


class Bar:
    """Progress from 0 to `total`, on a terminal alone."""

    def __init__(self, progress: Progress, what: str, total: float) -> None:
        self._progress, self._task = progress, progress.add_task(what, total=total)

    def at(self, done: float) -> None:
        self._progress.update(self._task, completed=done)


@contextmanager
def bar(what: str, total: float) -> Iterator[Bar]:
    columns = TextColumn("{task.description}"), BarColumn(), TaskProgressColumn(), TimeElapsedColumn()
    with Progress(*columns, console=err, transient=True, disable=not err.is_terminal) as progress:
        yield Bar(progress, what, total)
