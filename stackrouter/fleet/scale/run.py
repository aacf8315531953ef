"""Runs one scale run, from the check of the machine limits to the verdict."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import gevent

from stackrouter.fleet.scale import admin_client
from stackrouter.fleet.scale.changes import Changes
from stackrouter.fleet.scale.faults import Faults
from stackrouter.fleet.scale.figures import Meters, Reading, ScaleFigures, figures
from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.judge import History, in_force_bound_ms, judge
from stackrouter.fleet.scale.layout import lay_out
from stackrouter.fleet.scale.limits import check_limits, machine_limits
from stackrouter.fleet.scale.observation import Observation, RealGateway
from stackrouter.fleet.scale.options import ScaleOptions
from stackrouter.fleet.scale.plan import (
    FaultStep,
    ListChange,
    PolicyChange,
    Restart,
    ScalePlan,
    Step,
    draw_plan,
)
from stackrouter.fleet.scale.processes import stop_all
from stackrouter.fleet.scale.reports import RestartGateway

WARM_UP_S = 1.0  # between all gateways being ready and the start of the measurement
SETTLE_POLL_S = 0.05
SHUTDOWN_TIMEOUT_S = 6.0  # for the final reports of the hollow gateways


class ScaleRun:
    """A single run; not reusable. `log_line` is called with each progress line."""

    def __init__(self, options: ScaleOptions, folder: Path, log_line: Callable[[str], None]) -> None:
        self._options, self._log_line = options, log_line
        self._plan: ScalePlan = draw_plan(options)
        self._layout = lay_out(options)
        self._observation = Observation()
        self._observation.history.gateways = self._layout.gateways
        self._folder = folder
        self._restarts = 0

    def run(self) -> ScaleFigures:
        """Run to the end. Raises ScaleLimitError if the machine lacks the resources, StartError if a process
        does not start."""
        check_limits(self._options, machine_limits())
        watchers: list[gevent.Greenlet[..., None]] = [gevent.spawn(self._observation.watch_lateness)]
        try:
            with Harness(self._options, self._layout, self._folder, self._observation.on_report) as harness:
                return self._run(harness, watchers)
        finally:
            gevent.killall(watchers)

    def _run(self, harness: Harness, watchers: list[gevent.Greenlet[..., None]]) -> ScaleFigures:
        observation, options = self._observation, self._options
        changes = Changes(harness, observation)
        faults = Faults(harness, observation, lambda: _leader(harness), changes.change_policy)
        started_at = time.monotonic()
        harness.start_replicas(lambda: _all_ready(harness))
        self._log_progress(started_at, f"{options.control} replicas are ready")
        observation.reals = [
            RealGateway(name, harness.admin_ports[name], observation.history) for name in harness.reals
        ]
        watchers += [gevent.spawn(observation.watch_reals), gevent.spawn(changes.watch_committed)]
        index = harness.discovery.index
        harness.start_gateways(
            lambda: observation.all_up_to_date(options.hollow, 0, index), observation.ready_summary
        )
        self._log_progress(started_at, f"{options.hollow} hollow and {options.real} real gateways are ready")
        gevent.sleep(WARM_UP_S)
        before = _reading(harness)
        for child in harness.children:
            child.measure(True)
        self._run_steps(harness, changes, faults)
        after = _reading(harness)
        for child in harness.children:
            child.measure(False)
        self._log_progress(
            started_at,
            f"{len(observation.history.changes)} changes, {sum(faults.counts.values())} faults",
        )
        for answer in changes.failure_answers:
            self._log_line(f"a change was not committed: {answer}")
        self._settle(harness, changes)
        self._collect_final_states(harness)
        self._log_progress(started_at, "all hollow gateways have stopped")
        verdict = judge(observation.history, options)
        for served in verdict.uncommitted:
            self._log_line(f"uncommitted: {served}; {_describe_version(observation.history, served.version)}")
        meters = Meters(
            [child.meter for child in harness.replicas.values()],
            [child.meter for child in harness.reals.values()],
            harness.baseline.meter,
        )
        return figures(options, len(self._layout.processes), self._restarts, verdict, before, after, meters,
                       faults.counts, observation.late_ms)  # fmt: skip

    def _run_steps(self, harness: Harness, changes: Changes, faults: Faults) -> None:
        """Run all steps at their times; return when the plan's time is over and the last step has ended."""
        steps = [
            gevent.spawn_later(step.at_us / 1e6, self._run_step, harness, changes, faults, step)
            for step in self._plan.steps
        ]
        gevent.sleep(self._plan.ends_us / 1e6)
        gevent.joinall(steps, raise_error=True)

    def _run_step(self, harness: Harness, changes: Changes, faults: Faults, step: Step) -> None:
        match step:
            case PolicyChange():
                changes.change_policy()
            case ListChange():
                changes.change_list(step.node)
            case Restart():
                self._restart(harness, step.gateway)
            case FaultStep():
                self._log_line(f"fault {step.kind}")
                faults.inject(step)

    def _restart(self, harness: Harness, number: int) -> None:
        processes = self._layout.processes
        placement = processes[number % len(processes)]
        name = placement.gateways[number // len(processes) % len(placement.gateways)]
        self._observation.begin_outages([name])
        harness.hollows[placement.name].send_order(RestartGateway(name))
        self._observation.end_outages([name])
        self._restarts += 1

    def _settle(self, harness: Harness, changes: Changes) -> None:
        """Wait until all gateways have the newest version and list, or until the time bound has passed."""
        deadline = time.monotonic() + in_force_bound_ms(self._options) / 1000
        index = harness.discovery.index
        while time.monotonic() < deadline:
            if self._observation.all_up_to_date(self._options.hollow, changes.newest_version, index):
                return
            gevent.sleep(SETTLE_POLL_S)

    def _collect_final_states(self, harness: Harness) -> None:
        """Record the state of the replicas, stop the hollow gateways and collect all final states."""
        history = self._observation.history
        for name in harness.replicas:
            self._observation.record_committed(
                admin_client.policy_versions(harness.replica_ports[name].admin) or []
            )
        history.active = max((status.active for status in _statuses(harness)), default=0)
        history.nodes_index = harness.discovery.index
        for real in self._observation.reals:
            real.poll()
        stop_all(list(harness.hollows.values()), SHUTDOWN_TIMEOUT_S)
        for child in harness.hollows.values():
            child.join(SHUTDOWN_TIMEOUT_S)
        self._observation.finish()

    def _log_progress(self, started_at: float, what: str) -> None:
        self._log_line(f"{time.monotonic() - started_at:6.1f} s  {what}")


def _describe_version(history: History, version: int) -> str:
    """The recorded data on a version, to diagnose a failed run."""
    submitted_at = [
        change.at for change in history.changes if (change.kind, change.number) == ("policy", version)
    ]
    return f"committed {history.committed.get(version)}, submitted at {submitted_at}, active {history.active}"


def _statuses(harness: Harness) -> list[admin_client.ReplicaStatus]:
    """The status of each replica that answers."""
    found = [harness.status(name) for name in harness.replicas]
    return [status for status in found if status is not None]


def _all_ready(harness: Harness) -> bool:
    statuses = _statuses(harness)
    return len(statuses) == len(harness.replicas) and all(status.ready for status in statuses)


def _leader(harness: Harness) -> str:
    """The leader according to the replica with the latest term, or an empty string if none is known."""
    return max(
        ((status.term, status.leader) for status in _statuses(harness) if status.leader), default=(0, "")
    )[1]


def _reading(harness: Harness) -> Reading:
    """The current counters, including those of killed replica processes."""
    statuses = [*_statuses(harness), *harness.killed_statuses]
    return Reading(
        at_s=time.monotonic(),
        log_entries=max((status.log_entries for status in statuses), default=0),
        control_bytes=sum(status.bytes_in + status.bytes_out for status in statuses),
        snapshots=sum(status.snapshots for status in statuses),
        real_bytes=harness.network.real_bytes(),
    )
