"""Shared by the commands: exit codes, consoles, JSON output and progress bars."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn

AsJson = Annotated[bool, typer.Option("--json", help="Print one line of JSON instead of text.")]
EXIT_OK, EXIT_CHECK_FAILED, EXIT_BAD_INPUT = 0, 1, 2

out = Console(highlight=False)
err = Console(stderr=True, highlight=False)


def print_json(values: Any) -> None:
    """Writes the values to standard output as one line of compact JSON."""
    json.dump(values, sys.stdout, separators=(",", ":"))
    sys.stdout.write("\n")


class ProgressBar:
    """Progress from 0 to `total`; shown only on a terminal."""

    def __init__(self, progress: Progress, description: str, total: float) -> None:
        self._progress, self._task = progress, progress.add_task(description, total=total)

    def update(self, done: float) -> None:
        self._progress.update(self._task, completed=done)


@contextmanager
def progress_bar(description: str, total: float) -> Iterator[ProgressBar]:
    """A progress bar on standard error; disabled unless that is a terminal."""
    columns = TextColumn("{task.description}"), BarColumn(), TaskProgressColumn(), TimeElapsedColumn()
    with Progress(*columns, console=err, transient=True, disable=not err.is_terminal) as progress:
        yield ProgressBar(progress, description, total)
