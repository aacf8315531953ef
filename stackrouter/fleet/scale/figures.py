"""The result of a scale run, printed as its last line: costs measured between two readings, and the
verdict."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from statistics import fmean

from stackrouter.fleet.scale.judge import ScaleVerdict
from stackrouter.fleet.scale.measure import ProcessMeter, lateness_p99
from stackrouter.fleet.scale.options import ScaleOptions


@dataclass(frozen=True, slots=True)
class Reading:
    """Counters at one moment. `log_entries` counts entries of the replicated log. Bytes are summed over both
    directions: `control_bytes` between all replicas and their gateways, `real_bytes` between all real
    gateways and the replicas."""

    at_s: float
    log_entries: int
    control_bytes: int
    snapshots: int
    real_bytes: int


@dataclass(frozen=True, slots=True)
class Meters:
    """CPU and memory use of the processes between the two readings."""

    replicas: list[ProcessMeter]
    reals: list[ProcessMeter]
    baseline: ProcessMeter


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """The JSON object of a run. Units: milliseconds, milliseconds of CPU per second, MiB, bytes per second.
    `control_*` is the mean per replica, `_max` the highest. `gateway_*` is the mean per real gateway minus
    the cost of the baseline (a gateway without a control plane in the same run); `_whole` is the mean without
    that deduction."""

    hollow: int
    real: int
    control: int
    regions: int
    seed: int
    seconds: float
    nodes: int
    touch_ms: int
    after_ms: int
    processes: int
    changes: int
    restarts: int
    in_force_ms_p50: float | None
    in_force_ms_p99: float | None
    in_force_ms_max: float | None
    in_force_bound_ms: float
    list_in_force_ms_p99: float | None
    list_in_force_ms_max: float | None
    never_in_force: int
    left_behind: int
    uncommitted_served: int
    two_versions_ms_max: float
    two_versions_bound_ms: float
    gateway_cpu_ms_s: float
    gateway_cpu_ms_s_whole: float
    gateway_rss_mib: float
    gateway_rss_mib_whole: float
    gateway_bytes_s: float
    control_cpu_ms_s: float
    control_cpu_ms_s_max: float
    control_rss_mib: float
    control_rss_mib_max: float
    control_bytes_s: float
    log_entries_s: float
    snapshots: int
    faults: int
    faults_by_kind: dict[str, int]
    late_ms_p99: int | None
    broken: tuple[str, ...]
    ok: bool


def figures(options: ScaleOptions, processes: int, restarts: int, verdict: ScaleVerdict,
            before: Reading, after: Reading, meters: Meters, faults: Counter[str],
            late_ms: Counter[int]) -> ScaleFigures:  # fmt: skip
    """Compute the figures of a run from its readings, meters and verdict."""
    seconds = max(0.1, after.at_s - before.at_s)
    real_cpu = fmean(m.cpu_ms_s for m in meters.reals)
    real_rss = fmean(m.rss_mib for m in meters.reals)
    control_cpu = [m.cpu_ms_s for m in meters.replicas]
    control_rss = [m.rss_mib for m in meters.replicas]
    control_bytes = (after.control_bytes - before.control_bytes) / seconds / options.control
    return ScaleFigures(
        hollow=options.hollow,
        real=options.real,
        control=options.control,
        regions=options.regions,
        seed=options.seed,
        seconds=round(seconds, 1),
        nodes=options.nodes,
        touch_ms=options.touch_ms,
        after_ms=options.after_ms,
        processes=processes,
        changes=verdict.changes,
        restarts=restarts,
        in_force_ms_p50=rounded(verdict.in_force_ms_p50),
        in_force_ms_p99=rounded(verdict.in_force_ms_p99),
        in_force_ms_max=rounded(verdict.in_force_ms_max),
        in_force_bound_ms=verdict.in_force_bound_ms,
        list_in_force_ms_p99=rounded(verdict.list_in_force_ms_p99),
        list_in_force_ms_max=rounded(verdict.list_in_force_ms_max),
        never_in_force=verdict.never_in_force,
        left_behind=verdict.left_behind,
        uncommitted_served=verdict.uncommitted_served,
        two_versions_ms_max=round(verdict.two_versions_ms_max, 1),
        two_versions_bound_ms=verdict.two_versions_bound_ms,
        gateway_cpu_ms_s=round(real_cpu - meters.baseline.cpu_ms_s, 2),
        gateway_cpu_ms_s_whole=round(real_cpu, 2),
        gateway_rss_mib=round(real_rss - meters.baseline.rss_mib, 1),
        gateway_rss_mib_whole=round(real_rss, 1),
        gateway_bytes_s=round((after.real_bytes - before.real_bytes) / seconds / options.real, 1),
        control_cpu_ms_s=round(fmean(control_cpu), 1),
        control_cpu_ms_s_max=round(max(control_cpu), 1),
        control_rss_mib=round(fmean(control_rss), 1),
        control_rss_mib_max=round(max(control_rss), 1),
        control_bytes_s=round(control_bytes, 1),
        log_entries_s=round((after.log_entries - before.log_entries) / seconds, 2),
        snapshots=after.snapshots - before.snapshots,
        faults=sum(faults.values()),
        faults_by_kind=dict(sorted(faults.items())),
        late_ms_p99=lateness_p99(late_ms),
        broken=verdict.broken,
        ok=not verdict.broken,
    )


def rounded(value: float | None) -> float | None:
    """Round to one decimal place; None is returned as is."""
    return None if value is None else round(value, 1)
