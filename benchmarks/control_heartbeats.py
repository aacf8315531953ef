"""CPU and bytes of a heartbeat at a control replica, over loopback:

    python benchmarks/control_heartbeats.py --gateways 1114

The listener and its state machine run in this process with a simulated quorum: each barrier is confirmed
after `--barrier-ms`. The gateways are `ObserverClient`s in a child process. The last line is JSON:
heartbeats per second, this process's CPU and bytes per heartbeat, and the lateness of this process's timers.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from functools import partial
from random import Random

import gevent

from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.observer import GatewayIdentity, TakeNodes
from stackrouter.controlplane.process_metrics import Lateness, cpu_ms, rss_mib
from stackrouter.controlplane.replica import ReplicaLimits, ReplicaStateMachine
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.coord.member import boottime_us
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.port import LogPosition, ServingReport
from stackrouter.core.counters import Counters

POSITION = LogPosition("benchmark", 1)
RULES = HeartbeatRules(validity_us=2_000_000, max_drift_us=200_000)
SETTLE_TIME_S = 3.0


class NullSink:
    """Ignores policies and lists."""

    def take_policy(self, body: str) -> None:
        """Ignores the policy."""

    def take_nodes(self, piece: TakeNodes) -> None:
        """Ignores the list."""


def serve(gateways: int, seconds: float, barrier_ms: float) -> dict[str, float]:
    """Serves the child's gateways for `seconds` and returns the figures."""
    server: ControlServer

    def start_barrier(barrier: int, report: ServingReport) -> None:
        confirm = partial(server.call, machine.barrier_confirmed, barrier, POSITION)
        gevent.spawn_later(barrier_ms / 1000, confirm)

    machine = ReplicaStateMachine("replica", ReplicaLimits())
    server = ControlServer(machine, ("127.0.0.1", 0), boottime_us, Counters(), start_barrier, lambda: None)
    server.call(machine.loaded, ReplicatedState(POSITION, [], 0, -1, {}))
    server.start()
    lateness = Lateness()
    lateness.start()
    command = [sys.executable, __file__, "--connect", str(server.address[1]), "--gateways", str(gateways)]
    child = subprocess.Popen([*command, "--seconds", str(seconds + SETTLE_TIME_S)])
    while machine.serving_report().gateways < gateways:
        gevent.sleep(0.05)
    gevent.sleep(SETTLE_TIME_S)
    started_s, used_cpu_ms, heartbeats = time.monotonic(), cpu_ms(), machine.counts.heartbeats
    start_figures = server.figures()
    gevent.sleep(seconds)
    elapsed_s, heartbeats, used_cpu_ms = (
        time.monotonic() - started_s,
        machine.counts.heartbeats - heartbeats,
        cpu_ms() - used_cpu_ms,
    )
    end_figures = server.figures()
    child.terminate()
    child.wait()
    return {
        "gateways": gateways,
        "heartbeats_s": round(heartbeats / elapsed_s, 1),
        "cpu_ms_s": round(used_cpu_ms / elapsed_s, 1),
        "cpu_us_heartbeat": round(1000 * used_cpu_ms / max(1, heartbeats), 1),
        "bytes_heartbeat_in": round((end_figures.bytes_in - start_figures.bytes_in) / max(1, heartbeats), 1),
        "bytes_heartbeat_out": round(
            (end_figures.bytes_out - start_figures.bytes_out) / max(1, heartbeats), 1
        ),
        "rss_mib": rss_mib(),
        "late_ms_p99": lateness.percentile_ms(0.99),
        "cores": os.cpu_count() or 0,
    }


def connect(port: int, gateways: int, seconds: float) -> None:
    """The child process: connects the gateways and runs until it is terminated."""
    replica = ReplicaAddress("replica", f"127.0.0.1:{port}", "r")
    for number in range(gateways):
        identity = GatewayIdentity(f"g{number}", f"g{number}#1", "r")
        client = ObserverClient(identity, [replica], RULES, NullSink(), Random(number))
        gevent.spawn_later(Random(number).random(), client.start)
    gevent.sleep(seconds + 60)


def main() -> None:
    """Parses the arguments, runs one side and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--barrier-ms", type=float, default=50.0)
    parser.add_argument("--connect", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.connect:
        connect(args.connect, args.gateways, args.seconds)
    else:
        print(json.dumps(serve(args.gateways, args.seconds, args.barrier_ms)))


if __name__ == "__main__":
    main()
