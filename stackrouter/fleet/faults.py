"""Injects the faults of a schedule into the members of a harness."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

import gevent

from stackrouter.fleet.check import Fault
from stackrouter.fleet.cost import CostMeter
from stackrouter.fleet.links import LinkMesh
from stackrouter.fleet.processes import MemberProcesses
from stackrouter.fleet.schedule import Step


class FaultInjector:
    """`faults`: the injected faults, in the order in which they ended; `late`: the member that joins after
    the others, until it has been started."""

    def __init__(self, processes: MemberProcesses, links: LinkMesh, meter: CostMeter,
                 holder: Callable[[str], str | None], leader: Callable[[], str | None],
                 late: int | None) -> None:  # fmt: skip
        """`holder` returns the current holder of a duty, `leader` the current leader of the group."""
        self.faults: list[Fault] = []
        self.late = late
        self._processes, self._links, self._meter = processes, links, meter
        self._holder, self._leader = holder, leader

    def apply(self, step: Step) -> None:
        """Injects one fault and returns once it has ended."""
        i = self._find(step.target)
        if step.kind == "join" and self.late is not None:
            self._processes.start(self.late)
            self.late = None
        if i is None or not self._processes.is_up(i):
            return
        begun_ns = time.monotonic_ns()
        self._fail(i, step.kind, step.duration_us / 1e6)
        kind = "stall" if step.kind == "join" else step.kind
        self.faults.append(Fault(begun_ns, time.monotonic_ns(), kind, self._processes.places[i].name))

    def _fail(self, i: int, kind: str, duration_s: float) -> None:
        match kind:
            case "stall" | "join":
                self._processes.signal(i, signal.SIGSTOP)
                gevent.sleep(duration_s)
                self._processes.signal(i, signal.SIGCONT)
            case "kill":
                self._meter.measure(i)
                self._processes.down.add(i)  # a second kill before the restart would start it twice
                self._processes.kill(i)
                gevent.sleep(duration_s)
                self._processes.start(i)
                self._processes.down.discard(i)
            case _:
                self._links.impair(i, kind, True)
                gevent.sleep(duration_s)
                self._links.impair(i, kind, False)

    def _find(self, target: str) -> int | None:
        """Resolves a step's target to the member that it refers to at this moment."""
        if target.isdigit():
            return int(target)
        name = self._leader() if target == "leader" else self._holder(target.partition(":")[2])
        names = [place.name for place in self._processes.places]
        return names.index(name) if name in names else None
