"""Many seeds, each in a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass

from stackrouter.fleet.figures import RunFigures, SweepFigures

BAD_INPUT = 2  # the exit code of a run that could not be made (cli.shared)


@dataclass(frozen=True, slots=True)
class SeedEnd:
    """How the process of one seed ended: its figures, or why it gave none."""

    seed: int
    figures: RunFigures | None
    why: str = ""


def sweep(options: Sequence[str], members: str, seeds: Sequence[int], parallel: int, keeps_policy: bool,
          progress: Callable[[int], None]) -> SweepFigures:  # fmt: skip
    """`fleet run` with these options for each seed, `parallel` at a time. `progress` is told how many have
    ended."""
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
    """One seed's run, to its end."""
    command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "run", "--json", *options]
    # Its output is read while it runs: a pipe that nobody reads would hold up a run that has much to say.
    done = subprocess.run([*command, "--seed", str(seed)], text=True, capture_output=True, check=False)
    return read_end(seed, done.returncode, done.stdout, done.stderr)


def read_end(seed: int, code: int, told: str, said: str) -> SeedEnd:
    """What the process of a seed left: exit code, standard output, standard error."""
    lines = said.strip().splitlines()
    if code == BAD_INPUT or not told.strip():
        return SeedEnd(seed, None, lines[-1] if lines else "ended")
    try:
        return SeedEnd(seed, RunFigures.from_json(json.loads(told)))
    except (ValueError, KeyError, TypeError) as error:
        return SeedEnd(seed, None, f"ended with code {code} and no figures: {error!r}")
