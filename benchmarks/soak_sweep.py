"""Runs `stackrouter fleet soak` for many seeds, a few at a time; writes one line of JSON for each.

    python benchmarks/soak_sweep.py --first 1 --runs 50 --parallel 3 --out sweep.jsonl [-- OPTIONS]

Exit code 1 if a seed failed. Each soak runs in its own process tree of about 25 processes.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


def run_soak(seed: int, logs: Path | None, options: list[str]) -> dict[str, object]:
    """Runs one soak and returns the JSON of its last line."""
    command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "soak", "--seed", str(seed), "--json"]
    if logs is not None:
        command += ["--logs", str(logs / str(seed))]
    completed = subprocess.run([*command, *options], capture_output=True, text=True, check=False)
    lines = completed.stdout.strip().splitlines()
    result = json.loads(lines[-1]) if lines else {"seed": seed, "crashes": [completed.stderr[-400:]]}
    return {**result, "exit": completed.returncode}


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--runs", type=int, default=50)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--logs", type=Path, help="folder with a subfolder of logs for each seed")
    parser.add_argument("options", nargs="*")
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.runs)
    failed = 0
    with ThreadPoolExecutor(args.parallel) as pool, args.out.open("a", encoding="utf-8") as file:
        for result in pool.map(lambda seed: run_soak(seed, args.logs, args.options), seeds):
            failed += bool(result["exit"])
            file.write(json.dumps(result) + "\n")
            file.flush()
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
