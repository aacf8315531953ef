"""CPU a request and peak memory of a gateway on sockets, this tree against another of the project.

    python benchmarks/cost_against.py --other ../older-tree [--repeats 5] [--seconds 4]

The trees take turns, each measurement in processes of its own; ratios are of the same repeat.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).parent.parent
MEASURE = "import json, sys, cost; print(json.dumps(cost.measure('', float(sys.argv[1]), 1.0)))"


def measure(tree: Path, seconds: float) -> tuple[float, float]:
    """Milliseconds of CPU a request, and MiB at most."""
    paths = os.pathsep.join([str(tree), str(tree / "benchmarks")])
    done = subprocess.run(
        [sys.executable, "-c", MEASURE, str(seconds)],
        cwd=tree, env={**os.environ, "PYTHONPATH": paths}, capture_output=True, text=True, check=True,
    )  # fmt: skip
    cpu_ms, memory_mib = json.loads(done.stdout.splitlines()[-1])
    return cpu_ms, memory_mib


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    ratios, more, ours = [], [], []
    for repeat in range(args.repeats):
        order = (HERE, args.other) if repeat % 2 else (args.other, HERE)
        seen = {tree: measure(tree.resolve(), args.seconds) for tree in order}
        ratios.append(seen[HERE][0] / seen[args.other][0])
        more.append(seen[HERE][1] - seen[args.other][1])
        ours.append(seen[HERE][0])
    print(
        f"{statistics.median(ours):.3f} ms a request, ratio {statistics.median(ratios):.3f} "
        f"({min(ratios):.3f} to {max(ratios):.3f}), {statistics.median(more):+.2f} MiB"
    )


if __name__ == "__main__":
    main()
