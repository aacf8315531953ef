"""Starts the members, the links between them and the receiver of their actions; plays a schedule of faults
and changes on them, and checks their history."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import gevent

from stackrouter.coord.member import DUTIES
from stackrouter.errors import StartError
from stackrouter.fleet.backend import Backend
from stackrouter.fleet.check import PolicyVerdict, Verdict, check, check_policy
from stackrouter.fleet.cost import CostMeter
from stackrouter.fleet.faults import FaultInjector
from stackrouter.fleet.links import LinkMesh
from stackrouter.fleet.member_files import MemberFiles, member_places
from stackrouter.fleet.member_logs import Leadership, latest_leadership
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.policy_changes import PolicyChanges
from stackrouter.fleet.ports import Ports
from stackrouter.fleet.processes import MemberProcesses
from stackrouter.fleet.raft_log import last_index
from stackrouter.fleet.receiver import Receiver
from stackrouter.fleet.schedule import Schedule, draw, draw_changes

START_S = 20.0
START_MEMBER_S = 0.5  # and so much more for each member: all of them start at once
SETTLE_S = 8.0  # at the end, for whoever has to take over
POLL_S = 0.02


class Harness:
    """Use as a context: on the way out everything that was started ends, and `exits` holds the members' exit
    codes. `log_entries_s`: of the last round, None where the journals could not be read; `elections`: terms
    that began while faults and changes came; `took_s`: how long `run` took."""

    def __init__(self, options: HarnessOptions, folder: Path) -> None:
        self.options, self.folder = options, folder
        self.schedule = self._draw(options.seed)
        self._ports = Ports()
        self.receiver = Receiver(options.fenced)
        self.backend = Backend(options)
        self.places = member_places(options.members, self._ports, folder)
        self.names = [place.name for place in self.places]
        self.links = LinkMesh(
            [place.address for place in self.places], bool(options.kinds), Random(options.seed)
        )
        self._files = MemberFiles(options, self.places, self.backend, self.links, self.receiver.address,
                                  self.schedule.clock_ppm)  # fmt: skip
        self.processes = MemberProcesses(self.places)
        self.meter = CostMeter(self.processes)
        self.injector = FaultInjector(self.processes, self.links, self.meter, self.receiver.holder,
                                      self._leader, self.schedule.late)  # fmt: skip
        self.policy_changes = PolicyChanges(self.processes, self.injector, folder)
        self.exits: list[int] = []
        self.log_entries_s: float | None = None
        self.elections = 0
        self.took_s = 0.0

    def __enter__(self) -> Harness:
        try:
            for i in range(self.options.members):
                self._files.write(i)
                if i != self.injector.late:
                    self.processes.start(i)
            within_s = START_S + START_MEMBER_S * self.options.members
            self.wait_until(self._all_duties_taken, within_s, "no duty was taken")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.backend.stop_clients()
        self.exits += self.processes.stop_all()
        self.links.close()
        self.receiver.close()
        self._ports.close()
        self.backend.stop()

    def run(self, rounds: int = 1) -> Verdict:
        """Do what the schedule says and let the fleet settle, then what the next seed's says; check the
        history."""
        began = time.monotonic()
        if self.options.load:
            if self.options.policy:
                self.wait_until(self.policy_changes.agreed, SETTLE_S, "the members have no valid heartbeat")
            self.backend.start_clients([place.client_port for place in self.places])
        for nth in range(rounds):
            if nth:
                self.schedule = self._draw(self.options.seed + nth)
            self._play(self.options.seed + nth)
        self.took_s = time.monotonic() - began
        return check(self.receiver.actions, self.injector.faults)

    def check_policy(self) -> PolicyVerdict:
        """What the history of the versions that were served under shows."""
        return check_policy(self.receiver.served, self.policy_changes.ledgers)

    def leadership(self) -> Leadership:
        """The latest term with a leader that any member's log tells of."""
        return latest_leadership(place.log for place in self.places)

    def log_index(self) -> int:
        """How many entries the group's log has had; 0: no journal could be read."""
        return max(last_index(place.journal) for place in self.places)

    def wait_until(self, so: Callable[[], bool], within_s: float, otherwise: str, fatal: bool = True) -> bool:
        """Whether it came so in time. If it is fatal that it did not, or that a member ends: StartError."""
        until = time.monotonic() + within_s
        while not so():
            if fatal and (ended := self.processes.ended()) is not None:
                raise StartError(ended)
            if time.monotonic() > until:
                if fatal:
                    raise StartError(otherwise)
                return False
            gevent.sleep(POLL_S)
        return True

    def _draw(self, seed: int) -> Schedule:
        options = self.options
        return draw(seed, options.members, options.kinds, options.seconds, options.ttl_ms * 1000,
                    options.drift_ms * 1000, DUTIES)  # fmt: skip

    def _leader(self) -> str | None:
        return self.leadership().leader or None

    def _all_duties_taken(self) -> bool:
        return all(self.receiver.holder(duty) for duty in DUTIES)

    def _play(self, seed: int) -> None:
        """One round: the schedule's faults and the seed's changes, then time to settle."""
        options = self.options
        steps: list[gevent.Greenlet[..., None]] = [
            gevent.spawn_later(step.at_us / 1e6, self.injector.apply, step) for step in self.schedule.steps
        ]
        if options.policy:
            drawn = draw_changes(
                seed, options.members, options.seconds, options.ttl_ms * 1000, bool(options.kinds)
            )
            steps += [
                gevent.spawn_later(change.at_us / 1e6, self.policy_changes.make, change) for change in drawn
            ]
        self._measure_for(options.seconds)
        gevent.joinall(steps, raise_error=True)
        for i in self.processes.programs:
            self.meter.measure(i)
        self._settle()

    def _measure_for(self, seconds: float) -> None:
        """Let so much time pass, and note what it cost and how the log grew."""
        began, entries, term = time.monotonic(), self.log_index(), self.leadership().term
        self.meter.begin_steady()
        gevent.sleep(seconds)
        if entries and (now := self.log_index()):
            self.log_entries_s = (now - entries) / (time.monotonic() - began)
        self.elections += self.leadership().term - term
        self.meter.end_steady()

    def _settle(self) -> None:
        """Wait until all duties are acted under and all members serve under one version; not for ever."""
        healed = time.monotonic_ns()
        self.wait_until(
            lambda: all(self.receiver.acted_since(duty, healed) for duty in DUTIES),
            SETTLE_S,
            "the duties were not taken up again after the faults",
            fatal=False,
        )
        if self.options.policy:
            agreed = self.wait_until(self.policy_changes.agreed, SETTLE_S, "no agreement", fatal=False)
            self.policy_changes.disagreed += not agreed
