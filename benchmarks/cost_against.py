"""CPU per request and peak memory of a gateway on sockets, compared with another source tree.

    python benchmarks/cost_against.py --other ../older-tree [--repeats 5] [--seconds 4]

The trees alternate, each measurement in its own processes; a ratio compares measurements of the same repeat.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

THIS_TREE = Path(__file__).parent.parent
MEASURE_CODE = "import json, sys, cost; print(json.dumps(cost.measure('', float(sys.argv[1]), 1.0)))"


def measure(tree: Path, seconds: float) -> tuple[float, float]:
    """Milliseconds of CPU per request, and peak memory in MiB."""
    paths = os.pathsep.join([str(tree), str(tree / "benchmarks")])
    completed = subprocess.run(
        [sys.executable, "-c", MEASURE_CODE, str(seconds)],
        cwd=tree, env={**os.environ, "PYTHONPATH": paths}, capture_output=True, text=True, check=True,
    )  # fmt: skip
    cpu_ms, memory_mib = json.loads(completed.stdout.splitlines()[-1])
    return cpu_ms, memory_mib


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, required=True)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    ratios, extra_mib, this_cpu_ms = [], [], []
    for repeat in range(args.repeats):
        order = (THIS_TREE, args.other) if repeat % 2 else (args.other, THIS_TREE)
        measured = {tree: measure(tree.resolve(), args.seconds) for tree in order}
        ratios.append(measured[THIS_TREE][0] / measured[args.other][0])
        extra_mib.append(measured[THIS_TREE][1] - measured[args.other][1])
        this_cpu_ms.append(measured[THIS_TREE][0])
    print(
        f"{statistics.median(this_cpu_ms):.3f} ms per request, ratio {statistics.median(ratios):.3f} "
        f"({min(ratios):.3f} to {max(ratios):.3f}), {statistics.median(extra_mib):+.2f} MiB"
    )


if __name__ == "__main__":
    main()
