"""One scale run, from the look at the machine to the verdict."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import gevent

from stackrouter.fleet.scale import doors
from stackrouter.fleet.scale.changes import Changes
from stackrouter.fleet.scale.faults import Faults
from stackrouter.fleet.scale.figures import Meters, Reading, ScaleFigures, figures
from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.judge import History, in_force_bound_ms, judge
from stackrouter.fleet.scale.layout import lay_out
from stackrouter.fleet.scale.limits import machine_limits, refuse_beyond
from stackrouter.fleet.scale.observation import Observation, RealGateway
from stackrouter.fleet.scale.options import ScaleOptions
from stackrouter.fleet.scale.plan import FaultStep, ListChange, PolicyChange, Restart, ScalePlan, Step, draw
from stackrouter.fleet.scale.processes import end_all
from stackrouter.fleet.scale.reports import RestartGateway

WARM_UP_S = 1.0  # served by all, and not yet measured
SETTLE_POLL_S = 0.05
END_S = 6.0  # for the last words of the hollow gateways


class ScaleRun:
    """Use once. `said` is called with a line on each step of the run."""

    def __init__(self, options: ScaleOptions, folder: Path, said: Callable[[str], None]) -> None:
        self._options, self._said = options, said
        self._plan: ScalePlan = draw(options)
        self._layout = lay_out(options)
        self._observation = Observation()
        self._observation.history.gateways = self._layout.gateways
        self._folder = folder
        self._restarts = 0

    def run(self) -> ScaleFigures:
        """ScaleLimitError: the machine does not bear it; StartError: something did not start."""
        refuse_beyond(self._options, machine_limits())
        watchers: list[gevent.Greenlet[..., None]] = [gevent.spawn(self._observation.watch_lateness)]
        try:
            with Harness(self._options, self._layout, self._folder, self._observation.heard) as harness:
                return self._run(harness, watchers)
        finally:
            gevent.killall(watchers)

    def _run(self, harness: Harness, watchers: list[gevent.Greenlet[..., None]]) -> ScaleFigures:
        observation, options = self._observation, self._options
        changes = Changes(harness, observation)
        faults = Faults(harness, observation, lambda: _leader(harness), changes.change_policy)
        began = time.monotonic()
        harness.start_replicas(lambda: _all_serve(harness))
        self._say(began, f"{options.control} replicas serve")
        observation.reals = [
            RealGateway(name, harness.admin_ports[name], observation.history) for name in harness.reals
        ]
        watchers += [gevent.spawn(observation.watch_reals), gevent.spawn(changes.watch_committed)]
        index = harness.discovery.index
        harness.start_gateways(lambda: observation.all_have(options.hollow, 0, index), observation.how_far)
        self._say(began, f"{options.hollow} hollow and {options.real} real gateways are served")
        gevent.sleep(WARM_UP_S)
        before = _reading(harness)
        for child in harness.children:
            child.measure(True)
        self._play(harness, changes, faults)
        after = _reading(harness)
        for child in harness.children:
            child.measure(False)
        self._say(began, f"{len(observation.history.changes)} changes, {sum(faults.done.values())} faults")
        for why in changes.refused:
            self._said(f"a change was not committed: {why}")
        self._settle(harness, changes)
        self._end(harness)
        self._say(began, "all have ended")
        verdict = judge(observation.history, options)
        for served in verdict.uncommitted:
            self._said(f"uncommitted: {served}; {_told_of(observation.history, served.version)}")
        meters = Meters(
            [child.meter for child in harness.replicas.values()],
            [child.meter for child in harness.reals.values()],
            harness.baseline.meter,
        )
        return figures(options, len(self._layout.processes), self._restarts, verdict, before, after, meters,
                       faults.done, observation.late_ms)  # fmt: skip

    def _play(self, harness: Harness, changes: Changes, faults: Faults) -> None:
        """All steps, each at its time; returns when the last has ended and the time is over."""
        steps = [
            gevent.spawn_later(step.at_us / 1e6, self._do, harness, changes, faults, step)
            for step in self._plan.steps
        ]
        gevent.sleep(self._plan.ends_us / 1e6)
        gevent.joinall(steps, raise_error=True)

    def _do(self, harness: Harness, changes: Changes, faults: Faults, step: Step) -> None:
        match step:
            case PolicyChange():
                changes.change_policy()
            case ListChange():
                changes.change_list(step.node)
            case Restart():
                self._restart(harness, step.gateway)
            case FaultStep():
                self._said(f"fault {step.kind}")
                faults.carry_out(step)

    def _restart(self, harness: Harness, number: int) -> None:
        places = self._layout.processes
        place = places[number % len(places)]
        name = place.gateways[number // len(places) % len(place.gateways)]
        self._observation.out_of_reach([name])
        harness.hollows[place.name].order(RestartGateway(name))
        self._observation.in_reach([name])
        self._restarts += 1

    def _settle(self, harness: Harness, changes: Changes) -> None:
        """Wait until all gateways have the newest of all, or should have had it."""
        until = time.monotonic() + in_force_bound_ms(self._options) / 1000
        index = harness.discovery.index
        while time.monotonic() < until:
            if self._observation.all_have(self._options.hollow, changes.newest, index):
                return
            gevent.sleep(SETTLE_POLL_S)

    def _end(self, harness: Harness) -> None:
        """Have the gateways tell what they have, and take down what the replicas hold."""
        history = self._observation.history
        for name in harness.replicas:
            self._observation.committed(doors.policy_versions(harness.replica_ports[name].admin) or [])
        history.active = max((status.active for status in _statuses(harness)), default=0)
        history.nodes_index = harness.discovery.index
        for real in self._observation.reals:
            real.look()
        end_all(list(harness.hollows.values()), END_S)
        for child in harness.hollows.values():
            child.join(END_S)
        self._observation.finish()

    def _say(self, began: float, what: str) -> None:
        self._said(f"{time.monotonic() - began:6.1f} s  {what}")


def _told_of(history: History, version: int) -> str:
    """What is known of a version, for whoever looks into a run that does not hold."""
    handed_in = [
        change.at for change in history.changes if (change.kind, change.number) == ("policy", version)
    ]
    return f"committed {history.committed.get(version)}, handed in {handed_in}, active {history.active}"


def _statuses(harness: Harness) -> list[doors.ReplicaStatus]:
    """Of all replicas that answer."""
    found = [harness.status(name) for name in harness.replicas]
    return [status for status in found if status is not None]


def _all_serve(harness: Harness) -> bool:
    statuses = _statuses(harness)
    return len(statuses) == len(harness.replicas) and all(status.ready for status in statuses)


def _leader(harness: Harness) -> str:
    """The replica that leads, as the one in the latest term tells; empty: none is known."""
    return max(
        ((status.term, status.leader) for status in _statuses(harness) if status.leader), default=(0, "")
    )[1]


def _reading(harness: Harness) -> Reading:
    """Counters now, with those of replicas that were killed."""
    statuses = [*_statuses(harness), *harness.ended]
    return Reading(
        at_s=time.monotonic(),
        log_entries=max((status.log_entries for status in statuses), default=0),
        control_bytes=sum(status.bytes_in + status.bytes_out for status in statuses),
        snapshots=sum(status.snapshots for status in statuses),
        real_bytes=harness.network.real_bytes(),
    )
