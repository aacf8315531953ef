"""The files of whole runs: docs/capacity/scale.json (`fleet scale`) and full-mesh.json (`fleet run`).

Each is an array of the last lines that the runs print with --json; scale.json also has entries for runs that
did not end. Only the keys that the page uses are read, others are ignored. A missing file means no runs.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, TypeVar

from annotated_types import Ge
from pydantic import TypeAdapter, ValidationError

from stackrouter.errors import CapacityFileError

Count = Annotated[int, Ge(0)]
SIZE_PURPOSE = "size"  # purpose of the runs from which larger sizes are predicted


@dataclass(frozen=True, slots=True)
class ScaleRun:
    """One run of `stackrouter fleet scale`, in milliseconds, milliseconds of CPU a second, MiB and bytes a
    second. Replica figures are the mean over all replicas; gateway figures the mean over the real gateways,
    for the control plane's part alone."""

    hollow: Count
    real: Count
    control: Count
    changes: Count
    left_behind: Count
    uncommitted_served: Count
    two_versions_ms_max: float
    gateway_cpu_ms_s: float
    gateway_rss_mib: float
    gateway_bytes_s: float
    control_cpu_ms_s: float
    control_rss_mib: float
    control_bytes_s: float
    log_entries_s: float
    snapshots: Count
    faults: Count
    in_force_ms_p50: float | None = None
    in_force_ms_p99: float | None = None
    in_force_ms_max: float | None = None
    list_in_force_ms_p99: float | None = None
    list_in_force_ms_max: float | None = None
    late_ms_p99: float | None = None
    regions: int = 1
    seed: int = 0
    seconds: float = 0.0
    nodes: int = 0
    restarts: int = 0
    never_in_force: int = 0
    control_cpu_ms_s_max: float | None = None
    control_rss_mib_max: float | None = None
    faults_by_kind: dict[str, int] = field(default_factory=dict)
    broken: tuple[str, ...] = ()
    ok: bool = True
    purpose: str = SIZE_PURPOSE

    @property
    def gateways(self) -> int:
        return self.hollow + self.real

    @property
    def gateways_a_replica(self) -> float:
        return self.gateways / max(1, self.control)


@dataclass(frozen=True, slots=True)
class FailedRun:
    """A scale run that did not end: its command and the reason given."""

    command: str
    failed: str


@dataclass(frozen=True, slots=True)
class ScaleRuns:
    """The entries of scale.json. Predictions written there before a run are ignored: the page computes its
    own from the runs."""

    runs: tuple[ScaleRun, ...] = ()
    failed: tuple[FailedRun, ...] = ()


@dataclass(frozen=True, slots=True)
class FullMeshRun:
    """One run of `stackrouter fleet run`: every gateway is a member of the Raft group. CPU in milliseconds a
    second of each member over its life; `cpu_steady_ms_s` leaves out its start, if the run has it."""

    members: int
    failed: int = 0
    unfinished: int = 0
    ok: bool = True
    cpu_ms_s: tuple[float, ...] = ()
    cpu_steady_ms_s: tuple[float, ...] = ()
    rss_mib: tuple[float, ...] = ()
    spread_ms_p99: float | None = None
    spread_ms_max: float | None = None
    committed: int = 0
    aborted: int = 0
    log_entries_s: float | None = None
    elections: int = 0
    every_ms: int = 0
    ttl_ms: int = 0
    touch_ms: int = 0

    @property
    def cpu_median(self) -> float | None:
        """Median over the members, without their start if the run has that figure."""
        return _median(self.cpu_steady_ms_s or self.cpu_ms_s)

    @property
    def cpu_highest(self) -> float | None:
        """CPU of the busiest member, which is the leader."""
        return max(self.cpu_steady_ms_s or self.cpu_ms_s, default=None)

    @property
    def rss_median(self) -> float | None:
        return _median(self.rss_mib)


def _median(values: Sequence[float]) -> float | None:
    return statistics.median(values) if values else None


Value = TypeVar("Value")


def read_scale(path: Path) -> ScaleRuns:
    """Read the runs of scale.json; CapacityFileError names the file and the invalid key."""
    entries: tuple[dict[str, Any], ...] = _read(path, TypeAdapter(tuple[dict[str, Any], ...]), ())
    runs: list[ScaleRun] = []
    failed: list[FailedRun] = []
    for index, entry in enumerate(entries):
        if "hollow" in entry:
            runs.append(_validate(path, TypeAdapter(ScaleRun), entry, index))
        elif "failed" in entry:
            failed.append(_validate(path, TypeAdapter(FailedRun), entry, index))
    return ScaleRuns(tuple(runs), tuple(failed))


def read_full_mesh(path: Path) -> tuple[FullMeshRun, ...]:
    """Read the runs of full-mesh.json; CapacityFileError names the file and the invalid key."""
    return _read(path, TypeAdapter(tuple[FullMeshRun, ...]), ())


def _read(path: Path, adapter: TypeAdapter[Value], default: Value) -> Value:
    if not path.exists():
        return default
    try:
        return adapter.validate_json(path.read_bytes())
    except OSError as error:
        raise CapacityFileError(error.strerror, file=path) from None
    except ValidationError as error:
        raise _file_error(path, error) from None


def _validate(path: Path, adapter: TypeAdapter[Value], entry: dict[str, Any], index: int) -> Value:
    try:
        return adapter.validate_python(entry)
    except ValidationError as error:
        raise _file_error(path, error, str(index)) from None


def _file_error(path: Path, error: ValidationError, *prefix: str) -> CapacityFileError:
    first = error.errors()[0]
    key = ".".join([*prefix, *(str(part) for part in first["loc"])])
    return CapacityFileError(first["msg"], file=path, key=key)


def without_faults(runs: Sequence[ScaleRun]) -> list[ScaleRun]:
    """The runs without faults made for a size, sorted by size; the last run if a size has several."""
    sizes = {
        (run.gateways, run.control): run for run in runs if not run.faults and run.purpose == SIZE_PURPOSE
    }
    return [run for _, run in sorted(sizes.items())]


@dataclass(frozen=True, slots=True)
class RunGroup:
    """Runs of one purpose and size, over several seeds or with faults: sums, and the highest of each time."""

    purpose: str
    hollow: int
    control: int
    runs: int
    faults: int
    changes: int
    in_force_ms_max: float | None
    never_in_force: int
    two_versions_ms_max: float
    left_behind: int
    uncommitted_served: int
    not_held: tuple[str, ...]


def group_runs(runs: Sequence[ScaleRun]) -> list[RunGroup]:
    """The runs with faults and those with other purposes, grouped by purpose, size and replicas."""
    runs_by_key: dict[tuple[str, int, int, bool], list[ScaleRun]] = {}
    for run in runs:
        if run.faults or run.purpose != SIZE_PURPOSE:
            runs_by_key.setdefault((run.purpose, run.hollow, run.control, run.faults > 0), []).append(run)
    return [_group(key, runs_by_key[key]) for key in sorted(runs_by_key)]


def _group(key: tuple[str, int, int, bool], runs: Sequence[ScaleRun]) -> RunGroup:
    purpose, hollow, control, _ = key
    times = [run.in_force_ms_max for run in runs if run.in_force_ms_max is not None]
    not_held = tuple(f"seed {run.seed}: {', '.join(run.broken)}" for run in runs if not run.ok)
    return RunGroup(
        purpose,
        hollow,
        control,
        len(runs),
        sum(run.faults for run in runs),
        sum(run.changes for run in runs),
        max(times, default=None),
        sum(run.never_in_force for run in runs),
        max(run.two_versions_ms_max for run in runs),
        sum(run.left_behind for run in runs),
        sum(run.uncommitted_served for run in runs),
        not_held,
    )


def with_faults(runs: Sequence[ScaleRun]) -> list[ScaleRun]:
    """The runs with faults, sorted by size and seed."""
    return sorted((run for run in runs if run.faults), key=lambda run: (run.gateways, run.seed))
