"""Starts the members, the links between them and the receiver of their actions, runs a schedule of faults and
policy changes against them, and checks the recorded history."""

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
START_PER_MEMBER_S = 0.5  # added to START_S for each member, since all of them start at once
SETTLE_S = 8.0  # after a round, for pending takeovers to complete
POLL_S = 0.02


class Harness:
    """A context manager: on exit everything that it started is stopped, and `exits` holds the members' exit
    codes. `log_entries_s`: log entries per second in the last round, None if the journals could not be read;
    `elections`: terms that began during the phases of faults and changes; `took_s`: duration of `run`."""

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
            timeout_s = START_S + START_PER_MEMBER_S * self.options.members
            self.wait_until(self._all_duties_held, timeout_s, "not every duty has a holder")
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
        """Runs one schedule per round, with consecutive seeds, letting the fleet settle after each; then
        checks the history."""
        began_s = time.monotonic()
        if self.options.load:
            if self.options.policy:
                self.wait_until(
                    self.policy_changes.agreed,
                    SETTLE_S,
                    "not all members are ready under the same policy version",
                )
            self.backend.start_clients([place.client_port for place in self.places])
        for i in range(rounds):
            if i:
                self.schedule = self._draw(self.options.seed + i)
            self._run_round(self.options.seed + i)
        self.took_s = time.monotonic() - began_s
        return check(self.receiver.actions, self.injector.faults)

    def check_policy(self) -> PolicyVerdict:
        """Checks the history of the policy versions that the members served under."""
        return check_policy(self.receiver.served, self.policy_changes.ledgers)

    def leadership(self) -> Leadership:
        """The latest term with a leader that any member's log reports."""
        return latest_leadership(place.log for place in self.places)

    def log_index(self) -> int:
        """The highest index in the group's log; 0 if no journal could be read."""
        return max(last_index(place.journal) for place in self.places)

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float, error: str, fatal: bool = True
    ) -> bool:
        """Waits for the condition and returns whether it held in time. With `fatal`, raises StartError with
        the text `error` on a timeout, and also when a member ends."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if fatal and (ended := self.processes.ended()) is not None:
                raise StartError(ended)
            if time.monotonic() > deadline:
                if fatal:
                    raise StartError(error)
                return False
            gevent.sleep(POLL_S)
        return True

    def _draw(self, seed: int) -> Schedule:
        options = self.options
        return draw(seed, options.members, options.kinds, options.seconds, options.ttl_ms * 1000,
                    options.drift_ms * 1000, DUTIES)  # fmt: skip

    def _leader(self) -> str | None:
        return self.leadership().leader or None

    def _all_duties_held(self) -> bool:
        return all(self.receiver.holder(duty) for duty in DUTIES)

    def _run_round(self, seed: int) -> None:
        """Runs one round: the schedule's faults and the seed's policy changes, then lets the fleet settle."""
        options = self.options
        tasks: list[gevent.Greenlet[..., None]] = [
            gevent.spawn_later(step.at_us / 1e6, self.injector.apply, step) for step in self.schedule.steps
        ]
        if options.policy:
            drawn = draw_changes(
                seed, options.members, options.seconds, options.ttl_ms * 1000, bool(options.kinds)
            )
            tasks += [
                gevent.spawn_later(change.at_us / 1e6, self.policy_changes.make, change) for change in drawn
            ]
        self._measure_for(options.seconds)
        gevent.joinall(tasks, raise_error=True)
        for i in self.processes.programs:
            self.meter.measure(i)
        self._settle()

    def _measure_for(self, seconds: float) -> None:
        """Waits `seconds` and records CPU cost, log growth and elections over that time."""
        began_s, first_index, term = time.monotonic(), self.log_index(), self.leadership().term
        self.meter.begin_steady()
        gevent.sleep(seconds)
        if first_index and (final_index := self.log_index()):
            self.log_entries_s = (final_index - first_index) / (time.monotonic() - began_s)
        self.elections += self.leadership().term - term
        self.meter.end_steady()

    def _settle(self) -> None:
        """Waits up to SETTLE_S for an action under every duty, then for all members to agree on a version."""
        healed_ns = time.monotonic_ns()
        self.wait_until(
            lambda: all(self.receiver.acted_since(duty, healed_ns) for duty in DUTIES),
            SETTLE_S,
            "no action under some duty after the faults ended",
            fatal=False,
        )
        if self.options.policy:
            agreed = self.wait_until(self.policy_changes.agreed, SETTLE_S, "no agreement", fatal=False)
            self.policy_changes.disagreed += not agreed
