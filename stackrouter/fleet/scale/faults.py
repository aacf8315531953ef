"""Injects the faults of a scale run and reverts each one after its duration."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable

import gevent

from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.observation import Observation
from stackrouter.fleet.scale.plan import FaultStep
from stackrouter.fleet.scale.processes import Child
from stackrouter.fleet.scale.slow_reader import hold_unread_connection

RESTART_TIMEOUT_S = 10.0  # for a restarted process to report its state
POLL_S = 0.02


class Faults:
    """`leader` returns the name of the current leader, or an empty string if unknown; `change_policy` submits
    a change and returns once it is committed or abandoned."""

    def __init__(self, harness: Harness, observation: Observation, leader: Callable[[], str],
                 change_policy: Callable[[], None]) -> None:  # fmt: skip
        self._harness, self._observation = harness, observation
        self._leader, self._change_policy = leader, change_policy
        self.counts: Counter[str] = Counter()

    def inject(self, fault: FaultStep) -> None:
        """Start the fault, wait for its duration, and revert it."""
        duration_s = fault.duration_us / 1e6
        replica = self._replica(fault.target)
        match fault.kind:
            case "replica-kill":
                self._kill(replica, duration_s)
            case "replica-stop":
                replica.send_signal(signal.SIGSTOP)
                gevent.sleep(duration_s)
                replica.send_signal(signal.SIGCONT)
            case "leader-kill":
                self._change_policy()
                gevent.sleep(fault.delay_us / 1e6)
                self._kill(self._harness.replicas.get(self._leader(), replica), duration_s)
            case "region-cut":
                self._partition_region(fault.target, duration_s)
            case "process-gone":
                self._kill_hollow_process(fault.target, duration_s)
            case "slow-reader":
                hold_unread_connection(
                    ("127.0.0.1", self._harness.replica_ports[replica.name].observed), duration_s
                )
            case "empty-disk":
                self._kill(replica, duration_s, wipe_disk=True)
        self.counts[fault.kind] += 1

    def _replica(self, target: int) -> Child:
        replicas = list(self._harness.replicas.values())
        return replicas[target % len(replicas)]

    def _kill(self, replica: Child, duration_s: float, wipe_disk: bool = False) -> None:
        self._harness.kill_replica(replica.name)
        if wipe_disk:
            self._harness.wipe_disk(replica.name)
        gevent.sleep(duration_s)
        replica.start()

    def _partition_region(self, target: int, duration_s: float) -> None:
        layout = self._harness.layout
        region = layout.regions[target % len(layout.regions)]
        gateways = layout.gateways_in(region)
        self._harness.network.cut(region, True)
        self._observation.begin_outages(gateways)
        gevent.sleep(duration_s)
        self._harness.network.cut(region, False)
        self._observation.end_outages(gateways)

    def _kill_hollow_process(self, target: int, duration_s: float) -> None:
        processes = self._harness.layout.processes
        placement = processes[target % len(processes)]
        process = self._harness.hollows[placement.name]
        process.kill()
        process.join(RESTART_TIMEOUT_S)
        self._observation.states.pop(placement.name, None)
        self._observation.begin_outages(list(placement.gateways))
        gevent.sleep(duration_s)
        process.start()
        deadline = time.monotonic() + RESTART_TIMEOUT_S
        while placement.name not in self._observation.states and time.monotonic() < deadline:
            gevent.sleep(POLL_S)
        self._observation.end_outages(list(placement.gateways))
