"""Upgrades of one gateway under all kinds of faults, for many seeds: checks that no volume exceeds its limit.

    python -m benchmarks.upgrade_sweep --runs 10 --parallel 3 [--case NAME] [--out FILE]

Prints one line of JSON for each run. Exit code 1 if a limit was exceeded, a process crashed or an answer was
missing.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from tests.upgrade_cases import CASES
from tests.upgrade_rig import SLACK_UNITS


def run_case(run: tuple[str, int]) -> dict[str, Any]:
    name, seed = run
    outcome = CASES[name](seed)
    held = outcome.lowest_level >= -SLACK_UNITS and not outcome.crashes and not outcome.violations
    result = asdict(outcome) | {"answers": sorted(answer.decode() for answer in outcome.answers)}
    return {"case": name, "seed": seed, "held": held} | result


def main() -> int:
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--runs", type=int, default=10, help="seeds for each case")
    options.add_argument("--parallel", type=int, default=3)
    options.add_argument("--case", choices=sorted(CASES), action="append")
    options.add_argument("--out", type=Path)
    chosen = options.parse_args()
    runs = [(name, seed) for name in chosen.case or CASES for seed in range(1, chosen.runs + 1)]
    held = 0
    with ProcessPoolExecutor(chosen.parallel) as pool:
        for result in pool.map(run_case, runs):
            held += result["held"]
            line = json.dumps(result)
            print(line, flush=True)
            if chosen.out:
                with chosen.out.open("a", encoding="utf-8") as file:
                    file.write(line + "\n")
    print(f"{held} of {len(runs)} runs held")
    return 0 if held == len(runs) else 1


if __name__ == "__main__":
    sys.exit(main())
