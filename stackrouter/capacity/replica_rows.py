"""The rows of one control replica of eight, of the leader among the voters, and of the fleet as a whole."""

from __future__ import annotations

import math
from collections.abc import Sequence

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import LEAST_RUNS, Estimate, Pick, at, number, of_mesh, slope_of
from stackrouter.capacity.fit import fit
from stackrouter.capacity.load import HEARTBEATS_S, LIMITS, PER_REPLICA
from stackrouter.capacity.rows import BUILT, PARTLY, Mechanism, Row, at_target, reckoned, row
from stackrouter.capacity.scale import FullMeshRun, ScaleRun, with_faults
from stackrouter.capacity.slopes import Slopes

CORE_MS_S = 1000.0  # of CPU that one core has


def fleet(runs: Sequence[ScaleRun]) -> list[Row]:
    """Time until a change is in force at every gateway, without faults and with them."""
    in_force_ms, replaced_ms = targets.IN_FORCE_S * 1000, targets.REPLACEMENT_S * 1000
    any_run, lacks_any = _held(runs)
    faulty, lacks_faulty = _held(with_faults(runs))
    return [
        row(
            "a policy change in force everywhere, p99",
            at_target(runs, lambda r: r.in_force_ms_p99),
            "ms",
            BUILT,
            "",
            in_force_ms,
        ),
        row("the longest", at_target(runs, lambda r: r.in_force_ms_max), "ms", BUILT, "", in_force_ms),
        row(
            "the longest with faults, any run",
            _worst_with_faults(runs),
            "ms",
            faulty,
            lacks_faulty,
            in_force_ms,
        ),
        row(
            "a change of the list at every gateway, p99",
            at_target(runs, lambda r: r.list_in_force_ms_p99),
            "ms",
            BUILT,
            "",
            replaced_ms,
        ),
        row("the longest", at_target(runs, lambda r: r.list_in_force_ms_max), "ms", BUILT, "", replaced_ms),
        row(
            "two versions served under at once, the longest of any run",
            _longest_of_any(runs, lambda r: r.two_versions_ms_max),
            "ms",
            any_run,
            lacks_any,
        ),
        row(
            "gateways without the newest change at the end, any run",
            _longest_of_any(runs, lambda r: float(r.left_behind)),
            "",
            any_run,
            lacks_any,
            0.0,
        ),
        row(
            "versions served under before they were in force, any run",
            _longest_of_any(runs, lambda r: float(r.uncommitted_served)),
            "",
            any_run,
            lacks_any,
            0.0,
        ),
    ]


def _held(runs: Sequence[ScaleRun]) -> tuple[Mechanism, str]:
    """Whether the mechanism held in all of these runs; if not, what did not hold and where."""
    broken = [run for run in runs if not run.ok]
    if not broken:
        return BUILT, ""
    kinds = sorted({kind for run in broken for kind in run.broken})
    sizes = ", ".join(f"{size:,}" for size in sorted({run.hollow for run in broken}))
    return PARTLY, f"{len(broken)} of {len(runs)} runs did not hold, at {sizes} hollow: {', '.join(kinds)}"


def full_mesh(runs: Sequence[FullMeshRun]) -> list[Row]:
    """What the design before would cost if every gateway were a member of the Raft group."""
    gateways = targets.GATEWAYS
    return [
        row("log entries", of_mesh(runs, lambda r: r.log_entries_s, gateways), "a second", BUILT),
        row("CPU of a member, median", of_mesh(runs, lambda r: r.cpu_median, gateways), "ms/s", BUILT),
        row("CPU of the busiest member", of_mesh(runs, lambda r: r.cpu_highest, gateways), "ms/s", BUILT),
    ]


def most_members(runs: Sequence[FullMeshRun]) -> float | None:
    """With how many members the busiest one needs a whole core, by the line over the runs."""
    points = [(run.members, run.cpu_highest) for run in runs if run.cpu_highest is not None]
    if len(points) < LEAST_RUNS:
        return None
    found = fit([members for members, _ in points], [cpu for _, cpu in points])
    return (CORE_MS_S - found.intercept) / found.slope if found.slope > 0 else None


def _worst_with_faults(runs: Sequence[ScaleRun]) -> Estimate | None:
    return _longest_of_any(with_faults(runs), lambda r: r.in_force_ms_max)


def _longest_of_any(runs: Sequence[ScaleRun], pick: Pick) -> Estimate | None:
    """The highest figure of all runs, and which run has it."""
    told = [(value, run) for run in runs if (value := pick(run)) is not None]
    if not told:
        return None
    value, run = max(told, key=lambda one: one[0])
    kind = "with" if run.faults else "without"
    return Estimate(value, f"of {len(told)} runs; {run.gateways:,} gateways {kind} faults, seed {run.seed}")


def replica(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Row]:
    """One control replica of eight, and the leader among the voters."""
    changes_s = targets.rate_s(targets.POLICY_CHANGES_DAY)
    restarts_s = targets.rate_s(targets.RESTARTS_DAY) / targets.REPLICAS
    barriers_s = 1e6 / LIMITS.barrier_interval_us
    beats = at(slopes, "replica.heartbeats.cpu", PER_REPLICA)
    return [
        row("gateways", reckoned(PER_REPLICA, "7,800 / 8"), "", BUILT, "", float(LIMITS.most_gateways), ""),
        row(
            "gateways with one replica gone",
            reckoned(targets.GATEWAYS / (targets.REPLICAS - 1), "7,800 / 7"),
            "",
            BUILT,
            "",
            float(LIMITS.most_gateways),
            "",
        ),
        row(
            "replicas that have to live for all gateways to be served",
            reckoned(math.ceil(targets.GATEWAYS / LIMITS.most_gateways), "7,800 / 2,000"),
            "",
            BUILT,
            "",
            float(targets.REPLICAS),
            "",
        ),
        row(
            "heartbeats answered",
            reckoned(PER_REPLICA * HEARTBEATS_S, "gateways / 450 ms"),
            "a second",
            BUILT,
        ),
        row("CPU for them, state machine and codec", beats, "ms/s", BUILT),
        row(
            "their bytes, both ways, without TCP's",
            at(slopes, "replica.heartbeats.bytes", PER_REPLICA),
            "KiB/s",
            BUILT,
        ),
        row(
            "whole process, CPU",
            at_target(runs, lambda r: r.control_cpu_ms_s),
            "ms/s",
            BUILT,
            "",
            1000.0,
            "ms/s",
        ),
        row(
            "the busiest of all replicas, the leader among them, CPU",
            at_target(runs, lambda r: r.control_cpu_ms_s_max),
            "ms/s",
            BUILT,
            "",
            1000.0,
            "ms/s",
        ),
        row("whole process, memory", at_target(runs, lambda r: r.control_rss_mib), "MiB", BUILT),
        row("whole process, bytes both ways", at_target(runs, lambda r: r.control_bytes_s), "B/s", BUILT),
        row("objects for its gateways", at(slopes, "replica.memory.gateways", PER_REPLICA), "MiB", BUILT),
        row("log entries, all replicas", at_target(runs, lambda r: r.log_entries_s), "a second", BUILT),
        row(
            "log entries at most, five voters",
            reckoned(targets.VOTERS * barriers_s, "one barrier each 100 ms a voter"),
            "a second",
            BUILT,
        ),
        row(
            f"policy changes, {number(changes_s)} a second",
            slope_of(slopes, "replica.changes.cpu", changes_s),
            "ms/s",
            BUILT,
        ),
        row(
            "their bytes to all its gateways",
            slope_of(slopes, "replica.changes.bytes", changes_s),
            "KiB/s",
            BUILT,
        ),
        row(
            f"gateways that restart, {number(restarts_s)} a second",
            slope_of(slopes, "replica.restarts.cpu", restarts_s),
            "ms/s",
            PARTLY,
            "a snapshot is dropped when nobody waits for one, so each restart encodes the list again",
        ),
        row(
            "making a snapshot of 17,000 nodes",
            at(slopes, "replica.snapshot.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "start of a replica that observes, from such a snapshot",
            at(slopes, "replica.start.cpu", targets.NODES),
            "ms",
            BUILT,
        ),
        row(
            "a lost zone as one change, CPU for all its gateways",
            at(slopes, "replica.node_changes.cpu", 1_545),
            "ms",
            BUILT,
        ),
        row("that change to one gateway", at(slopes, "replica.node_changes.bytes", 1_545), "KiB", BUILT),
        row("retained changes", reckoned(LIMITS.most_log_bytes / (1 << 20), "its limit"), "MiB", BUILT),
        row(
            "bytes that wait for one slow gateway",
            reckoned(LIMITS.most_queued_bytes / (1 << 20), "its limit"),
            "MiB",
            BUILT,
        ),
    ]
