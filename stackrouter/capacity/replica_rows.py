"""The rows of the whole fleet, and of one control replica of eight, with the leader among the voters."""

from __future__ import annotations

import math
from collections.abc import Sequence

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import (
    MIN_FIT_RUNS,
    Estimate,
    FigureGetter,
    estimate_at,
    estimate_by_slope,
    estimate_mesh,
    format_number,
)
from stackrouter.capacity.fit import fit
from stackrouter.capacity.load import GATEWAYS_PER_REPLICA, HEARTBEATS_S, LIMITS
from stackrouter.capacity.rows import BUILT, PARTLY, Mechanism, Row, computed, estimate_at_target, row
from stackrouter.capacity.scale import FullMeshRun, ScaleRun, with_faults
from stackrouter.capacity.slopes import Slopes

CORE_MS_S = 1000.0  # CPU time of one core


def fleet(runs: Sequence[ScaleRun]) -> list[Row]:
    """Time until a change is in force at every gateway, without and with faults."""
    in_force_ms, replaced_ms = targets.IN_FORCE_S * 1000, targets.REPLACEMENT_S * 1000
    any_run_state, any_run_missing = _mechanism_state(runs)
    with_faults_state, with_faults_missing = _mechanism_state(with_faults(runs))
    return [
        row(
            "a policy change in force everywhere, p99",
            estimate_at_target(runs, lambda r: r.in_force_ms_p99),
            "ms",
            BUILT,
            "",
            in_force_ms,
        ),
        row(
            "the longest", estimate_at_target(runs, lambda r: r.in_force_ms_max), "ms", BUILT, "", in_force_ms
        ),
        row(
            "the longest with faults, any run",
            _longest_with_faults(runs),
            "ms",
            with_faults_state,
            with_faults_missing,
            in_force_ms,
        ),
        row(
            "a change of the list at every gateway, p99",
            estimate_at_target(runs, lambda r: r.list_in_force_ms_p99),
            "ms",
            BUILT,
            "",
            replaced_ms,
        ),
        row(
            "the longest",
            estimate_at_target(runs, lambda r: r.list_in_force_ms_max),
            "ms",
            BUILT,
            "",
            replaced_ms,
        ),
        row(
            "two versions served under at once, the longest of any run",
            _highest_of_runs(runs, lambda r: r.two_versions_ms_max),
            "ms",
            any_run_state,
            any_run_missing,
        ),
        row(
            "gateways without the newest change at the end, any run",
            _highest_of_runs(runs, lambda r: float(r.left_behind)),
            "",
            any_run_state,
            any_run_missing,
            0.0,
        ),
        row(
            "versions served under before they were in force, any run",
            _highest_of_runs(runs, lambda r: float(r.uncommitted_served)),
            "",
            any_run_state,
            any_run_missing,
            0.0,
        ),
    ]


def _mechanism_state(runs: Sequence[ScaleRun]) -> tuple[Mechanism, str]:
    """The state of the mechanism in these runs, and the checks that failed with the sizes of the runs."""
    broken = [run for run in runs if not run.ok]
    if not broken:
        return BUILT, ""
    kinds = sorted({kind for run in broken for kind in run.broken})
    sizes = ", ".join(f"{size:,}" for size in sorted({run.hollow for run in broken}))
    return PARTLY, f"{len(broken)} of {len(runs)} runs did not hold, at {sizes} hollow: {', '.join(kinds)}"


def full_mesh(runs: Sequence[FullMeshRun]) -> list[Row]:
    """The cost of the previous design, in which every gateway is a member of the Raft group."""
    gateways = targets.GATEWAYS
    return [
        row("log entries", estimate_mesh(runs, lambda r: r.log_entries_s, gateways), "a second", BUILT),
        row("CPU of a member, median", estimate_mesh(runs, lambda r: r.cpu_median, gateways), "ms/s", BUILT),
        row(
            "CPU of the busiest member", estimate_mesh(runs, lambda r: r.cpu_highest, gateways), "ms/s", BUILT
        ),
    ]


def max_members(runs: Sequence[FullMeshRun]) -> float | None:
    """Number of members at which the busiest one needs a whole core, by the line over the runs.

    None if there are too few runs or the line does not rise."""
    points = [(run.members, run.cpu_highest) for run in runs if run.cpu_highest is not None]
    if len(points) < MIN_FIT_RUNS:
        return None
    fitted = fit([members for members, _ in points], [cpu for _, cpu in points])
    return (CORE_MS_S - fitted.intercept) / fitted.slope if fitted.slope > 0 else None


def _longest_with_faults(runs: Sequence[ScaleRun]) -> Estimate | None:
    return _highest_of_runs(with_faults(runs), lambda r: r.in_force_ms_max)


def _highest_of_runs(runs: Sequence[ScaleRun], get_figure: FigureGetter) -> Estimate | None:
    """The highest figure of all runs; the source names the run."""
    figures = [(value, run) for run in runs if (value := get_figure(run)) is not None]
    if not figures:
        return None
    value, run = max(figures, key=lambda figure: figure[0])
    kind = "with" if run.faults else "without"
    return Estimate(
        value, f"of {len(figures)} runs; {run.gateways:,} gateways {kind} faults, seed {run.seed}"
    )


def replica(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    """One control replica of eight, and the leader among the voters."""
    changes_s = targets.rate_s(targets.POLICY_CHANGES_DAY)
    restarts_s = targets.rate_s(targets.RESTARTS_DAY) / targets.REPLICAS
    barriers_s = 1e6 / LIMITS.barrier_interval_us
    heartbeat_cpu = estimate_at(slopes, "replica.heartbeats.cpu", GATEWAYS_PER_REPLICA)
    return [
        row(
            "gateways",
            computed(GATEWAYS_PER_REPLICA, "7,800 / 8"),
            "",
            BUILT,
            "",
            float(LIMITS.most_gateways),
            "",
        ),
        row(
            "gateways with one replica gone",
            computed(targets.GATEWAYS / (targets.REPLICAS - 1), "7,800 / 7"),
            "",
            BUILT,
            "",
            float(LIMITS.most_gateways),
            "",
        ),
        row(
            "replicas that have to live for all gateways to be served",
            computed(math.ceil(targets.GATEWAYS / LIMITS.most_gateways), "7,800 / 2,000"),
            "",
            BUILT,
            "",
            float(targets.REPLICAS),
            "",
        ),
        row(
            "heartbeats answered",
            computed(GATEWAYS_PER_REPLICA * HEARTBEATS_S, "gateways / 450 ms"),
            "a second",
            BUILT,
        ),
        row("CPU for them, state machine and codec", heartbeat_cpu, "ms/s", BUILT),
        row(
            "their bytes, both ways, without TCP's",
            estimate_at(slopes, "replica.heartbeats.bytes", GATEWAYS_PER_REPLICA),
            "KiB/s",
            BUILT,
        ),
        row(
            "whole process, CPU",
            estimate_at_target(runs, lambda r: r.control_cpu_ms_s),
            "ms/s",
            BUILT,
            "",
            1000.0,
            "ms/s",
        ),
        row(
            "the busiest of all replicas, the leader among them, CPU",
            estimate_at_target(runs, lambda r: r.control_cpu_ms_s_max),
            "ms/s",
            BUILT,
            "",
            1000.0,
            "ms/s",
        ),
        row("whole process, memory", estimate_at_target(runs, lambda r: r.control_rss_mib), "MiB", BUILT),
        row(
            "whole process, bytes both ways",
            estimate_at_target(runs, lambda r: r.control_bytes_s),
            "B/s",
            BUILT,
        ),
        row(
            "objects for its gateways",
            estimate_at(slopes, "replica.memory.gateways", GATEWAYS_PER_REPLICA),
            "MiB",
            BUILT,
        ),
        row(
            "log entries, all replicas",
            estimate_at_target(runs, lambda r: r.log_entries_s),
            "a second",
            BUILT,
        ),
        row(
            "log entries at most, five voters",
            computed(targets.VOTERS * barriers_s, "one barrier each 100 ms a voter"),
            "a second",
            BUILT,
        ),
        row(
            f"policy changes, {format_number(changes_s)} a second",
            estimate_by_slope(slopes, "replica.changes.cpu", changes_s),
            "ms/s",
            BUILT,
        ),
        row(
            "their bytes to all its gateways",
            estimate_by_slope(slopes, "replica.changes.bytes", changes_s),
            "KiB/s",
            BUILT,
        ),
        row(
            f"gateways that restart, {format_number(restarts_s)} a second",
            estimate_by_slope(slopes, "replica.restarts.cpu", restarts_s),
            "ms/s",
            PARTLY,
            "a snapshot is dropped when nobody waits for one, so each restart encodes the list again",
        ),
        row(
            "making a snapshot of 17,000 nodes",
            estimate_at(slopes, "replica.snapshot.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "start of a replica that observes, from such a snapshot",
            estimate_at(slopes, "replica.start.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "a lost zone as one change, CPU for all its gateways",
            estimate_at(slopes, "replica.node_changes.cpu", 1_545),
            "ms",
            BUILT,
        ),
        row(
            "that change to one gateway",
            estimate_at(slopes, "replica.node_changes.bytes", 1_545),
            "KiB",
            BUILT,
        ),
        row("retained changes", computed(LIMITS.max_log_bytes / (1 << 20), "its limit"), "MiB", BUILT),
        row(
            "bytes that wait for one slow gateway",
            computed(LIMITS.max_queued_bytes / (1 << 20), "its limit"),
            "MiB",
            BUILT,
        ),
    ]
