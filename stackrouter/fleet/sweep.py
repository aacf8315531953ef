"""Runs the fault harness for many seeds, each in its own process."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass

from stackrouter.fleet.figures import RunFigures, SweepFigures

BAD_INPUT = 2  # exit code of a run that could not be started (cli.shared)


@dataclass(frozen=True, slots=True)
class SeedEnd:
    """How the process of one seed ended: its figures, or the reason why it gave none."""

    seed: int
    figures: RunFigures | None
    why: str = ""


def sweep(options: Sequence[str], members: str, seeds: Sequence[int], parallel: int, keeps_policy: bool,
          progress: Callable[[int], None]) -> SweepFigures:  # fmt: skip
    """Runs `fleet run` with these options for each seed, `parallel` at a time. `progress` is called with the
    number of runs that have ended."""
    total = SweepFigures(members, seeds[0], len(seeds), keeps_policy)
    with ThreadPoolExecutor(max_workers=parallel) as pool:
        ends = [pool.submit(run_seed, options, seed) for seed in seeds]
        for ended, future in enumerate(as_completed(ends), start=1):
            end = future.result()
            if end.figures is not None:
                total.add(end.figures)
            else:
                total.add_failed(end.seed, end.why)
            progress(ended)
    return total


def run_seed(options: Sequence[str], seed: int) -> SeedEnd:
    """Runs one seed and waits for it to end."""
    command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "run", "--json", *options]
    # The output is read while the process runs: a full pipe would block a run with much output.
    completed = subprocess.run([*command, "--seed", str(seed)], text=True, capture_output=True, check=False)
    return read_end(seed, completed.returncode, completed.stdout, completed.stderr)


def read_end(seed: int, code: int, output: str, errors: str) -> SeedEnd:
    """Interprets the exit code, standard output and standard error of the process of one seed."""
    lines = errors.strip().splitlines()
    if code == BAD_INPUT or not output.strip():
        return SeedEnd(seed, None, lines[-1] if lines else "ended")
    try:
        return SeedEnd(seed, RunFigures.from_json(json.loads(output)))
    except (ValueError, KeyError, TypeError) as error:
        return SeedEnd(seed, None, f"ended with code {code} and no figures: {error!r}")
