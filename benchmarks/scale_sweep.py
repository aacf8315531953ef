"""Runs `fleet scale` for several sizes or seeds and stores the results in one JSON file.

    python benchmarks/scale_sweep.py --sizes 100,300,1000,3000,7800 [--file docs/capacity/scale.json]
    python benchmarks/scale_sweep.py --seeds 1-20 --hollow 300 [--parallel 2]

Each run is one object of the file's array: the last line of `stackrouter fleet scale --json`, with
`purpose` (size or seed), `command`, the machine's cores, the Python version and the commit. A run that did
not finish has `failed` with the last line of its error output. A size above the fitted ones has `predicted`:
the prediction from the smaller sizes in the file, written before that size is run, and afterwards `compared`,
with the errors of the prediction.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from stackrouter.fleet.scale.prediction import LARGEST_FITTED, compare, predict_all

ROOT = Path(__file__).parent.parent
RUN_TIMEOUT_S = 330.0  # for one run
SIZE_PURPOSE = "size"  # purpose of the runs that predictions are based on
Entry = dict[str, Any]


class ScaleFile:
    """The array on disk; replaced atomically by a rename after each run."""

    def __init__(self, path: Path) -> None:
        self._path, self._lock = path, threading.Lock()
        self.entries: list[Entry] = json.loads(path.read_text(encoding="utf-8")) if path.exists() else []

    def put(self, entry: Entry) -> None:
        """Adds the entry unless it is in the array, and writes the file."""
        with self._lock:
            if not any(entry is known for known in self.entries):
                self.entries.append(entry)
            self._path.parent.mkdir(parents=True, exist_ok=True)
            part_path = self._path.with_suffix(".part")
            lines = ",\n".join(json.dumps(known, separators=(",", ":")) for known in self.entries)
            part_path.write_text(f"[\n{lines}\n]\n", encoding="utf-8")
            part_path.rename(self._path)

    def sizes(self) -> list[Entry]:
        """Runs of one size each that finished, without faults."""
        return [
            e for e in self.entries if e["purpose"] == SIZE_PURPOSE and "hollow" in e and not e.get("faults")
        ]


def machine() -> Entry:
    """Environment that the figures depend on."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "commit": commit.stdout.strip(),
    }


def run(purpose: str, options: list[str]) -> Entry:
    """One scale run in its own process."""
    command = ["fleet", "scale", *options, "--json"]
    entry: Entry = {"purpose": purpose, "command": " ".join(["stackrouter", *command]), **machine()}
    process = subprocess.Popen([sys.executable, "-m", "stackrouter.cli.main", *command],
                               stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)  # fmt: skip
    try:
        stdout, stderr = process.communicate(timeout=RUN_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.terminate()  # on SIGTERM it terminates its own children
        process.communicate()
        return entry | {"failed": f"did not end within {RUN_TIMEOUT_S:g} s"}
    if not stdout.strip():
        return entry | {"failed": stderr.strip().splitlines()[-1] if stderr.strip() else "said nothing"}
    return entry | json.loads(stdout.splitlines()[-1])


def run_sizes(file: ScaleFile, sizes: list[int], purpose: str, common: list[str]) -> bool:
    """Runs each size once; returns whether all checks passed."""
    all_passed = True
    for size in sizes:
        predictions = (
            predict_all(size, file.sizes()) if purpose == SIZE_PURPOSE and size > LARGEST_FITTED else []
        )
        if predictions:
            predicted = {p.quantity: asdict(p) for p in predictions}
            file.put({"purpose": "prediction", "at": size, **machine(), "predicted": predicted})
        entry = run(purpose, ["--hollow", str(size), *common])
        if "hollow" in entry and predictions:
            entry["compared"] = {p.quantity: asdict(compare(p, entry[p.quantity])) for p in predictions}
        file.put(entry)
        print_progress(entry)
        all_passed = all_passed and bool(entry.get("ok"))
    return all_passed


def run_seeds(file: ScaleFile, numbers: list[int], hollow: int, parallel: int, common: list[str]) -> bool:
    """Runs each seed once with faults; returns whether all checks passed."""

    def run_seed(seed: int) -> bool:
        entry = run("seed", ["--hollow", str(hollow), "--seed", str(seed), "--faults", "all", *common])
        entry["parallel"] = parallel
        file.put(entry)
        print_progress(entry)
        return bool(entry.get("ok"))

    with ThreadPoolExecutor(parallel) as threads:
        return all(list(threads.map(run_seed, numbers)))


def print_progress(entry: Entry) -> None:
    """Prints a progress line."""
    names = ("hollow", "seed", "changes", "in_force_ms_p99", "in_force_ms_max", "left_behind",
             "uncommitted_served", "control_cpu_ms_s", "log_entries_s", "late_ms_p99", "faults", "broken",
             "failed")  # fmt: skip
    print(" ".join(f"{name}={entry[name]}" for name in names if name in entry), flush=True)


def main() -> int:
    """Exit code 0: all checks of all runs passed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", help="comma-separated numbers of hollow gateways")
    parser.add_argument("--seeds", help="range FROM-TO of seeds, run with faults")
    parser.add_argument("--hollow", type=int, default=300, help="hollow gateways in the run of each seed")
    parser.add_argument("--parallel", type=int, default=1, help="concurrent seeds")
    parser.add_argument("--file", type=Path, default=ROOT / "docs/capacity/scale.json")
    parser.add_argument("--real", type=int, default=5)
    parser.add_argument("--control", type=int, default=8)
    parser.add_argument("--regions", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument(
        "--purpose", default=SIZE_PURPOSE, help="purpose of the --sizes runs; only `size` runs are predicted"
    )
    args = parser.parse_args()
    common = ["--real", str(args.real), "--control", str(args.control), "--regions", str(args.regions),
              "--seconds", str(args.seconds), "--nodes", str(args.nodes)]  # fmt: skip
    file = ScaleFile(args.file)
    all_passed = True
    if args.sizes:
        all_passed = run_sizes(file, [int(size) for size in args.sizes.split(",")], args.purpose, common)
    if args.seeds:
        first, _, last = args.seeds.partition("-")
        numbers = list(range(int(first), int(last or first) + 1))
        all_passed = run_seeds(file, numbers, args.hollow, args.parallel, common) and all_passed
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
