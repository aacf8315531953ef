"""Events at the target size: machines, zones, regions or all processes of a kind fail and recover."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, estimate_at, format_number
from stackrouter.capacity.load import GATEWAYS_PER_REPLICA, LIMITS, RULES
from stackrouter.capacity.rows import NOT_MEASURED, estimate_at_target
from stackrouter.capacity.scale import ScaleRun
from stackrouter.capacity.slopes import Slopes
from stackrouter.controlplane.observer import ObserverTimes

OBSERVER_TIMES = ObserverTimes()
RACK_MACHINES = 40  # machines; the operators give no rack size
ELECTION_MS = 800  # `coordination.election_ms` unless set
ZONE_GATEWAYS = targets.GATEWAYS / targets.ZONES
ZONE_NODES = targets.NODES / targets.ZONES
REGION_GATEWAYS = targets.GATEWAYS / targets.REGIONS
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """One line of the table of events; all formatted."""

    what: str
    sent: str
    by: str
    settled: str
    bounded: str


@dataclass(frozen=True, slots=True)
class Quorum:
    """What remains after so many regions are lost."""

    regions_lost: int
    voters: int
    quorum: bool
    replicas: str
    gateways_a_replica: str


def events(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Event]:
    """All events listed in issue 39."""
    snapshot = estimate_at(slopes, "replica.snapshot.bytes", targets.NODES)
    zone_delta = estimate_at(slopes, "replica.node_changes.bytes", 1_545)
    list_ms = estimate_at_target(runs, lambda run: run.list_in_force_ms_max)
    return [
        _machine(snapshot),
        _restarts(snapshot),
        _rack(snapshot, list_ms),
        _zone_lost(zone_delta, list_ms),
        _zone_back(snapshot),
        _region_cut(),
        _region_back(snapshot),
        _all_gateways(snapshot),
        _all_replicas(),
    ]


def quorums() -> list[Quorum]:
    """Rows by regions lost. Five voters, one in each region, and three more replicas in three of them."""
    rows = []
    for lost in range(targets.REGIONS - 1):
        voters = targets.VOTERS - lost
        others = targets.REPLICAS - targets.VOTERS
        min_replicas, max_replicas = voters + max(0, others - lost), voters + min(others, voters)
        gateways = REGION_GATEWAYS * (targets.REGIONS - lost)
        rows.append(
            Quorum(
                lost, voters, 2 * voters > targets.VOTERS, _format_range(min_replicas, max_replicas),
                _format_range(round(gateways / max_replicas), round(gateways / min_replicas)),
            )
        )  # fmt: skip
    return rows


def delivery_s(snapshot: Estimate | None, gateways: float, replicas: float) -> float | None:
    """Seconds until so many gateways have their snapshots at the replicas' rate limit. None if unmeasured."""
    if snapshot is None:
        return None
    return gateways / replicas * snapshot.value * 1024 / LIMITS.snapshot_bytes_s


def _format_range(low: float, high: float) -> str:
    return f"{low:,}" if low == high else f"{low:,} to {high:,}"


def _format_value(value: float | None, unit: str) -> str:
    return NOT_MEASURED if value is None else f"{format_number(value)} {unit}"


def _format_estimate(estimate: Estimate | None, unit: str, multiplier: float = 1.0) -> str:
    return NOT_MEASURED if estimate is None else f"{format_number(estimate.value * multiplier)} {unit}"


SNAPSHOT_RATE = (
    f"{LIMITS.max_snapshot_transfers} snapshots at a time and {LIMITS.snapshot_bytes_s // MIB} MiB/s "
    "of them a replica"
)
BACKOFF = (
    f"full-jitter backoff from {OBSERVER_TIMES.backoff_base_us / 1e6} to "
    f"{OBSERVER_TIMES.backoff_max_us / 1e6:.0f} s a gateway"
)


def _machine(snapshot: Estimate | None) -> Event:
    return Event(
        f"one gateway's machine ({targets.MACHINE_FAILURES_DAY} machines a day)",
        f"Hello, one snapshot ({_format_estimate(snapshot, 'KiB')})",
        "its replica",
        f"{_format_value(delivery_s(snapshot, 1, 1), 's')} at the replica's pace, then one heartbeat",
        SNAPSHOT_RATE,
    )


def _restarts(snapshot: Estimate | None) -> Event:
    rate_s = targets.rate_s(targets.RESTARTS_DAY)
    return Event(
        f"{targets.RESTARTS_DAY:,} restarts a day, one each {1 / rate_s:.0f} s",
        f"a snapshot each: {_format_estimate(snapshot, 'KiB/s', rate_s)} of the whole fleet",
        "eight replicas",
        "each as one machine",
        SNAPSHOT_RATE,
    )


def _rack(snapshot: Estimate | None, list_ms: Estimate | None) -> Event:
    return Event(
        f"a rack of {RACK_MACHINES} gateways or nodes (a size of our own)",
        f"{RACK_MACHINES} snapshots once they are back, or one change of {RACK_MACHINES} entries",
        "eight replicas",
        f"snapshots {_format_value(delivery_s(snapshot, RACK_MACHINES, targets.REPLICAS), 's')}; "
        f"a change of the list {_format_estimate(list_ms, 'ms')} to the last gateway",
        SNAPSHOT_RATE,
    )


def _zone_lost(delta: Estimate | None, list_ms: Estimate | None) -> Event:
    remaining = (targets.GATEWAYS - ZONE_GATEWAYS) / targets.REPLICAS
    total_mib = None if delta is None else delta.value * remaining / 1024
    return Event(
        f"a zone lost: {format_number(ZONE_GATEWAYS)} gateways and {format_number(ZONE_NODES)} nodes at once",
        f"one change of {format_number(ZONE_NODES)} entries, {_format_estimate(delta, 'KiB')} a gateway, "
        f"{_format_value(total_mib, 'MiB')} a replica",
        "the voter that asks discovery, through the log; then every replica",
        f"{_format_estimate(list_ms, 'ms')} to the last gateway for a small change; one of this size at this "
        f"number of gateways: {NOT_MEASURED}",
        f"a reader with over {LIMITS.max_queued_bytes // MIB} MiB waiting is cut and resumes; a change over "
        f"{LIMITS.max_delta_bytes // 1024} KiB is sent as a snapshot",
    )


def _zone_back(snapshot: Estimate | None) -> Event:
    return Event(
        f"the zone back: {format_number(ZONE_GATEWAYS)} gateways start, "
        f"{format_number(ZONE_NODES)} nodes come up cold",
        f"{format_number(ZONE_GATEWAYS)} snapshots, one change of {format_number(ZONE_NODES)} entries",
        "the replicas of its region, by rendezvous hashing",
        f"snapshots {_format_value(delivery_s(snapshot, ZONE_GATEWAYS, targets.REPLICAS), 's')} "
        "over eight replicas, "
        f"{_format_value(delivery_s(snapshot, ZONE_GATEWAYS, 1), 's')} if one has them all; "
        "nodes: see the even parts",
        f"{SNAPSHOT_RATE}; {BACKOFF}",
    )


def _region_cut() -> Event:
    validity_s = (RULES.validity_us - RULES.max_drift_us) / 1e6
    return Event(
        f"a region cut off for an hour: {format_number(REGION_GATEWAYS)} gateways",
        f"heartbeats without answers; after {OBSERVER_TIMES.silence_timeout_us / 1e6:.0f} s each gateway "
        "hangs up and tries the next",
        "its gateways",
        f"`refuse`: no new request {validity_s} s after the last answered heartbeat was sent, for the whole "
        "hour; `serve`: on under the last version",
        BACKOFF,
    )


def _region_back(snapshot: Estimate | None) -> Event:
    missed_changes = targets.rate_s(targets.POLICY_CHANGES_DAY) * 3600
    resume_kib = LIMITS.max_resume_bytes // 1024
    return Event(
        f"the region back after an hour and {format_number(missed_changes)} policy changes",
        f"what was missed: up to {resume_kib} KiB as changes, more as a snapshot: "
        f"{format_number(REGION_GATEWAYS)} of them",
        "its own one or two replicas, once they have caught up",
        f"{_format_value(delivery_s(snapshot, REGION_GATEWAYS, 2), 's')} with two replicas, "
        f"{_format_value(delivery_s(snapshot, REGION_GATEWAYS, 1), 's')} with one",
        f"{SNAPSHOT_RATE}; {BACKOFF}; {LIMITS.most_gateways:,} gateways a replica",
    )


def _all_gateways(snapshot: Estimate | None) -> Event:
    return Event(
        "all gateways restarted",
        f"{targets.GATEWAYS:,} snapshots, {format_number(GATEWAYS_PER_REPLICA)} a replica",
        "eight replicas",
        f"{_format_value(delivery_s(snapshot, targets.GATEWAYS, targets.REPLICAS), 's')} "
        "after the last one is up",
        f"{SNAPSHOT_RATE}; {BACKOFF}",
    )


def _all_replicas() -> Event:
    max_s = (2 * ELECTION_MS / 1000) + OBSERVER_TIMES.backoff_max_us / 1e6
    return Event(
        "all control replicas restarted",
        f"{targets.GATEWAYS:,} Hellos; who has the newest number gets no snapshot, all others one",
        "the gateways, then eight replicas",
        f"the replicas' start, an election ({ELECTION_MS} ms, drawn anew if the vote splits) and backoff: "
        f"about {format_number(max_s)} s after the start; as a whole {NOT_MEASURED}. "
        "Meanwhile as a cut-off region",
        BACKOFF,
    )
