"""Carries out the faults of a scale run, each from its beginning to its end."""

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
from stackrouter.fleet.scale.slow_reader import read_nothing

BACK_S = 10.0  # a process that was started again has said something by then
POLL_S = 0.02


class Faults:
    """`leader`: the replica that leads, as far as it is known; `change_policy`: hands a change in and returns
    once it is known how that ended."""

    def __init__(self, harness: Harness, observation: Observation, leader: Callable[[], str],
                 change_policy: Callable[[], None]) -> None:  # fmt: skip
        self._harness, self._observation = harness, observation
        self._leader, self._change_policy = leader, change_policy
        self.done: Counter[str] = Counter()

    def carry_out(self, fault: FaultStep) -> None:
        """Begin it, wait, end it."""
        for_s = fault.for_us / 1e6
        replica = self._replica(fault.target)
        match fault.kind:
            case "replica-kill":
                self._kill(replica, for_s)
            case "replica-stop":
                replica.send_signal(signal.SIGSTOP)
                gevent.sleep(for_s)
                replica.send_signal(signal.SIGCONT)
            case "leader-kill":
                self._change_policy()
                gevent.sleep(fault.delay_us / 1e6)
                self._kill(self._harness.replicas.get(self._leader(), replica), for_s)
            case "region-cut":
                self._cut_off(fault.target, for_s)
            case "process-gone":
                self._end_hollow(fault.target, for_s)
            case "slow-reader":
                read_nothing(("127.0.0.1", self._harness.replica_ports[replica.name].observed), for_s)
            case "empty-disk":
                self._kill(replica, for_s, empty_disk=True)
        self.done[fault.kind] += 1

    def _replica(self, target: int) -> Child:
        replicas = list(self._harness.replicas.values())
        return replicas[target % len(replicas)]

    def _kill(self, replica: Child, for_s: float, empty_disk: bool = False) -> None:
        self._harness.kill_replica(replica.name)
        if empty_disk:
            self._harness.empty_disk(replica.name)
        gevent.sleep(for_s)
        replica.start()

    def _cut_off(self, target: int, for_s: float) -> None:
        layout = self._harness.layout
        region = layout.regions[target % len(layout.regions)]
        gateways = layout.gateways_in(region)
        self._harness.network.cut(region, True)
        self._observation.out_of_reach(gateways)
        gevent.sleep(for_s)
        self._harness.network.cut(region, False)
        self._observation.in_reach(gateways)

    def _end_hollow(self, target: int, for_s: float) -> None:
        places = self._harness.layout.processes
        place = places[target % len(places)]
        process = self._harness.hollows[place.name]
        process.kill()
        process.join(BACK_S)
        self._observation.states.pop(place.name, None)
        self._observation.out_of_reach(list(place.gateways))
        gevent.sleep(for_s)
        process.start()
        until = time.monotonic() + BACK_S
        while place.name not in self._observation.states and time.monotonic() < until:
            gevent.sleep(POLL_S)
        self._observation.in_reach(list(place.gateways))
