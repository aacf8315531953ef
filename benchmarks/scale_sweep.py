"""Scale runs of several sizes, and of several seeds, into one JSON file.

python benchmarks/scale_sweep.py --sizes 100,300,1000,3000,7800 [--file docs/capacity/scale.json] python
benchmarks/scale_sweep.py --seeds 1-20 --hollow 300 [--parallel 2]

Each run is one object of the file's array: the last line of `stackrouter fleet scale --json`, with
`purpose` (size or seed), `command`, the machine's cores, the Python version and the commit. A run that did
not end has `failed` and what was said. A size beyond those that are fitted has `predicted`: what the
smaller sizes in the file predict, written before that size is run, and afterwards `compared`, with the
prediction's errors.
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
LIMIT_S = 330.0  # of one run
SIZE = "size"  # purpose of the runs that others are predicted from
Entry = dict[str, Any]


class ScaleFile:
    """The array on disk; written anew, by a rename, after each run."""

    def __init__(self, path: Path) -> None:
        self._path, self._lock = path, threading.Lock()
        self.entries: list[Entry] = json.loads(path.read_text(encoding="utf-8")) if path.exists() else []

    def put(self, entry: Entry) -> None:
        """Add it, or write it again."""
        with self._lock:
            if not any(entry is known for known in self.entries):
                self.entries.append(entry)
            self._path.parent.mkdir(parents=True, exist_ok=True)
            part = self._path.with_suffix(".part")
            lines = ",\n".join(json.dumps(known, separators=(",", ":")) for known in self.entries)
            part.write_text(f"[\n{lines}\n]\n", encoding="utf-8")
            part.rename(self._path)

    def sizes(self) -> list[Entry]:
        """Runs of one size each that ended, without faults."""
        return [e for e in self.entries if e["purpose"] == SIZE and "hollow" in e and not e.get("faults")]


def machine() -> Entry:
    """What the figures depend on beside the program."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "commit": commit.stdout.strip(),
    }


def run(purpose: str, options: list[str]) -> Entry:
    """One scale run in a process of its own."""
    command = ["fleet", "scale", *options, "--json"]
    entry: Entry = {"purpose": purpose, "command": " ".join(["stackrouter", *command]), **machine()}
    process = subprocess.Popen([sys.executable, "-m", "stackrouter.cli.main", *command],
                               stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)  # fmt: skip
    try:
        told, said = process.communicate(timeout=LIMIT_S)
    except subprocess.TimeoutExpired:
        process.terminate()  # it ends what it has started
        process.communicate()
        return entry | {"failed": f"did not end within {LIMIT_S:g} s"}
    if not told.strip():
        return entry | {"failed": said.strip().splitlines()[-1] if said.strip() else "said nothing"}
    return entry | json.loads(told.splitlines()[-1])


def sweep(file: ScaleFile, sizes: list[int], purpose: str, common: list[str]) -> bool:
    """Each size once; whether all hold."""
    holds = True
    for size in sizes:
        predictions = predict_all(size, file.sizes()) if purpose == SIZE and size > LARGEST_FITTED else []
        if predictions:
            predicted = {p.quantity: asdict(p) for p in predictions}
            file.put({"purpose": "prediction", "at": size, **machine(), "predicted": predicted})
        entry = run(purpose, ["--hollow", str(size), *common])
        if "hollow" in entry and predictions:
            entry["compared"] = {p.quantity: asdict(compare(p, entry[p.quantity])) for p in predictions}
        file.put(entry)
        show(entry)
        holds = holds and bool(entry.get("ok"))
    return holds


def seeds(file: ScaleFile, numbers: list[int], hollow: int, parallel: int, common: list[str]) -> bool:
    """Each seed once with faults; whether all hold."""

    def one(seed: int) -> bool:
        entry = run("seed", ["--hollow", str(hollow), "--seed", str(seed), "--faults", "all", *common])
        entry["parallel"] = parallel
        file.put(entry)
        show(entry)
        return bool(entry.get("ok"))

    with ThreadPoolExecutor(parallel) as threads:
        return all(list(threads.map(one, numbers)))


def show(entry: Entry) -> None:
    """A line for whoever waits."""
    names = ("hollow", "seed", "changes", "in_force_ms_p99", "in_force_ms_max", "left_behind",
             "uncommitted_served", "control_cpu_ms_s", "log_entries_s", "late_ms_p99", "faults", "broken",
             "failed")  # fmt: skip
    print(" ".join(f"{name}={entry[name]}" for name in names if name in entry), flush=True)


def main() -> int:
    """Exit code 0: all runs hold."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", help="hollow gateways, by commas")
    parser.add_argument("--seeds", help="FROM-TO, with faults")
    parser.add_argument("--hollow", type=int, default=300, help="hollow gateways of each seed's run")
    parser.add_argument("--parallel", type=int, default=1, help="seeds at a time")
    parser.add_argument("--file", type=Path, default=ROOT / "docs/capacity/scale.json")
    parser.add_argument("--real", type=int, default=5)
    parser.add_argument("--control", type=int, default=8)
    parser.add_argument("--regions", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument(
        "--purpose", default=SIZE, help="of the runs of --sizes; predictions are made of `size`"
    )
    asked = parser.parse_args()
    common = ["--real", str(asked.real), "--control", str(asked.control), "--regions", str(asked.regions),
              "--seconds", str(asked.seconds), "--nodes", str(asked.nodes)]  # fmt: skip
    file = ScaleFile(asked.file)
    holds = True
    if asked.sizes:
        holds = sweep(file, [int(size) for size in asked.sizes.split(",")], asked.purpose, common)
    if asked.seeds:
        first, _, last = asked.seeds.partition("-")
        numbers = list(range(int(first), int(last or first) + 1))
        holds = seeds(file, numbers, asked.hollow, asked.parallel, common) and holds
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
