"""CPU per request and memory of a gateway on sockets, with accounts or a trace compared with neither.

    python benchmarks/cost.py [--seconds 5] [--repeats 4]

One gateway, three fast stand-in nodes, constant traffic. The configurations alternate within each repeat, so
that other load on the machine affects all of them; a ratio compares measurements of the same repeat.
"""

from __future__ import annotations

import argparse
import os
import statistics
import tempfile
from pathlib import Path

import gevent

from stackrouter.standins.fleet import Scene, StandinFleet
from stackrouter.standins.node import NodeBehavior

FAST_NODE = NodeBehavior(cores=4, unit_s=0.001, deferred_share=0.0, pause_every_s=None)
EDGE_BY_KIND = {
    "off": "",
    "file, all off": 'accounts { enabled: false } trace { enabled: false file: "x" }',
    "accounts": "accounts { enabled: true }",
    "trace": 'trace { enabled: true file: "FOLDER/{gateway}.trace" }',
}


def cpu_s(pid: int) -> float:
    """User and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_kib(pid: int) -> int:
    """Peak resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1])


def measure(edge: str, seconds: float, load: float) -> tuple[float, float]:
    """Milliseconds of CPU per request, and peak memory in MiB."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(1, 3, 1, load, "none", edge=edge.replace("FOLDER", folder))
        with StandinFleet(scene, Path(folder), FAST_NODE) as fleet:
            clients, pid = fleet.start_clients(), fleet.processes[0].pid
            gevent.sleep(1.0)

            def request_count() -> int:
                return sum(volume_results.verdicts.total() for volume_results in clients.results.values())

            first_count, first_cpu_s = request_count(), cpu_s(pid)
            gevent.sleep(seconds)
            return 1000 * (cpu_s(pid) - first_cpu_s) / (request_count() - first_count), peak_kib(pid) / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--repeats", type=int, default=4)
    parser.add_argument("--load", type=float, default=1.0)
    args = parser.parse_args()
    rows_by_kind: dict[str, list[tuple[float, float]]] = {kind: [] for kind in EDGE_BY_KIND}
    for repeat in range(args.repeats):
        order = list(EDGE_BY_KIND.items())
        for kind, edge in order if repeat % 2 else reversed(order):
            rows_by_kind[kind].append(measure(edge, args.seconds, args.load))
    baseline = rows_by_kind["off"]
    for kind, rows in rows_by_kind.items():
        ratios = sorted(cpu / base for (cpu, _), (base, _) in zip(rows, baseline, strict=True))
        extra_mib = statistics.median(mib - base for (_, mib), (_, base) in zip(rows, baseline, strict=True))
        print(f"{kind:14} {statistics.median(cpu for cpu, _ in rows):.3f} ms per request, ratio "
              f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}), "
              f"{extra_mib:+.1f} MiB", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
