"""What happens at the target when machines, zones, regions or all processes of a kind fail and come back."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, at, number
from stackrouter.capacity.load import LIMITS, PER_REPLICA, RULES
from stackrouter.capacity.rows import NOT_MEASURED, at_target
from stackrouter.capacity.scale import ScaleRun
from stackrouter.capacity.slopes import Slopes
from stackrouter.controlplane.observer import ObserverTimes

TIMES = ObserverTimes()
RACK = 40  # machines; the operators state no size
ELECTION_MS = 800  # `coordination.election_ms` unless set
ZONE_GATEWAYS = targets.GATEWAYS / targets.ZONES
ZONE_NODES = targets.NODES / targets.ZONES
REGION_GATEWAYS = targets.GATEWAYS / targets.REGIONS
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """One line of the table of events."""

    what: str
    sent: str
    by: str
    settled: str
    bounded: str


@dataclass(frozen=True, slots=True)
class Quorum:
    """What so many lost regions leave."""

    regions_lost: int
    voters: int
    quorum: bool
    replicas: str
    gateways_a_replica: str


def events(slopes: Slopes, runs: Sequence[ScaleRun]) -> list[Event]:
    """All events of issue 39."""
    snapshot = at(slopes, "replica.snapshot.bytes", targets.NODES)
    zone_delta = at(slopes, "replica.node_changes.bytes", 1_545)
    list_ms = at_target(runs, lambda run: run.list_in_force_ms_max)
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
    """Five voters, one a region, and three replicas more in three of the regions."""
    table = []
    for lost in range(targets.REGIONS - 1):
        voters = targets.VOTERS - lost
        others = targets.REPLICAS - targets.VOTERS
        fewest, most = voters + max(0, others - lost), voters + min(others, voters)
        gateways = REGION_GATEWAYS * (targets.REGIONS - lost)
        table.append(
            Quorum(
                lost, voters, 2 * voters > targets.VOTERS, _span(fewest, most),
                _span(round(gateways / most), round(gateways / fewest)),
            )
        )  # fmt: skip
    return table


def herd_s(snapshot: Estimate | None, gateways: float, replicas: float) -> float | None:
    """Seconds until so many gateways have their snapshots, at the replicas' pace."""
    if snapshot is None:
        return None
    return gateways / replicas * snapshot.value * 1024 / LIMITS.snapshot_bytes_s


def _span(least: float, most: float) -> str:
    return f"{least:,}" if least == most else f"{least:,} to {most:,}"


def _told(value: float | None, unit: str) -> str:
    return NOT_MEASURED if value is None else f"{number(value)} {unit}"


def _of(estimate: Estimate | None, unit: str, by: float = 1.0) -> str:
    return NOT_MEASURED if estimate is None else f"{number(estimate.value * by)} {unit}"


PACE = (
    f"{LIMITS.snapshots_at_once} snapshots at a time and {LIMITS.snapshot_bytes_s // MIB} MiB/s "
    "of them a replica"
)
JITTER = f"full-jitter backoff from {TIMES.backoff_base / 1e6} to {TIMES.backoff_most / 1e6:.0f} s a gateway"


def _machine(snapshot: Estimate | None) -> Event:
    return Event(
        f"one gateway's machine ({targets.MACHINE_FAILURES_DAY} machines a day)",
        f"Hello, one snapshot ({_of(snapshot, 'KiB')})",
        "its replica",
        f"{_told(herd_s(snapshot, 1, 1), 's')} at the replica's pace, then one heartbeat",
        PACE,
    )


def _restarts(snapshot: Estimate | None) -> Event:
    rate_s = targets.rate_s(targets.RESTARTS_DAY)
    return Event(
        f"{targets.RESTARTS_DAY:,} restarts a day, one each {1 / rate_s:.0f} s",
        f"a snapshot each: {_of(snapshot, 'KiB/s', rate_s)} of the whole fleet",
        "eight replicas",
        "each as one machine",
        PACE,
    )


def _rack(snapshot: Estimate | None, list_ms: Estimate | None) -> Event:
    return Event(
        f"a rack of {RACK} gateways or nodes (a size of our own)",
        f"{RACK} snapshots once they are back, or one change of {RACK} entries",
        "eight replicas",
        f"snapshots {_told(herd_s(snapshot, RACK, targets.REPLICAS), 's')}; a change of the list "
        f"{_of(list_ms, 'ms')} to the last gateway",
        PACE,
    )


def _zone_lost(delta: Estimate | None, list_ms: Estimate | None) -> Event:
    left = (targets.GATEWAYS - ZONE_GATEWAYS) / targets.REPLICAS
    total = None if delta is None else delta.value * left / 1024
    return Event(
        f"a zone lost: {number(ZONE_GATEWAYS)} gateways and {number(ZONE_NODES)} nodes at once",
        f"one change of {number(ZONE_NODES)} entries, {_of(delta, 'KiB')} a gateway, "
        f"{_told(total, 'MiB')} a replica",
        "the voter that asks discovery, through the log; then every replica",
        f"{_of(list_ms, 'ms')} to the last gateway for a small change; one of this size at this number "
        f"of gateways: {NOT_MEASURED}",
        f"a reader with over {LIMITS.most_queued_bytes // MIB} MiB waiting is cut and resumes; a change over "
        f"{LIMITS.most_delta_bytes // 1024} KiB is sent as a snapshot",
    )


def _zone_back(snapshot: Estimate | None) -> Event:
    return Event(
        f"the zone back: {number(ZONE_GATEWAYS)} gateways start, {number(ZONE_NODES)} nodes come up cold",
        f"{number(ZONE_GATEWAYS)} snapshots, one change of {number(ZONE_NODES)} entries",
        "the replicas of its region, by rendezvous hashing",
        f"snapshots {_told(herd_s(snapshot, ZONE_GATEWAYS, targets.REPLICAS), 's')} over eight replicas, "
        f"{_told(herd_s(snapshot, ZONE_GATEWAYS, 1), 's')} if one has them all; nodes: see the even parts",
        f"{PACE}; {JITTER}",
    )


def _region_cut() -> Event:
    valid_s = (RULES.validity_us - RULES.max_drift_us) / 1e6
    return Event(
        f"a region cut off for an hour: {number(REGION_GATEWAYS)} gateways",
        f"heartbeats without answers; after {TIMES.silence / 1e6:.0f} s each gateway hangs up and tries "
        "the next",
        "its gateways",
        f"`refuse`: no new request {valid_s} s after the last answered heartbeat was sent, for the whole "
        "hour; `serve`: on under the last version",
        JITTER,
    )


def _region_back(snapshot: Estimate | None) -> Event:
    missed = targets.rate_s(targets.POLICY_CHANGES_DAY) * 3600
    resume_kib = LIMITS.most_resume_bytes // 1024
    return Event(
        f"the region back after an hour and {number(missed)} policy changes",
        f"what was missed: up to {resume_kib} KiB as changes, more as a snapshot: "
        f"{number(REGION_GATEWAYS)} of them",
        "its own one or two replicas, once they have caught up",
        f"{_told(herd_s(snapshot, REGION_GATEWAYS, 2), 's')} with two replicas, "
        f"{_told(herd_s(snapshot, REGION_GATEWAYS, 1), 's')} with one",
        f"{PACE}; {JITTER}; {LIMITS.most_gateways:,} gateways a replica",
    )


def _all_gateways(snapshot: Estimate | None) -> Event:
    return Event(
        "all gateways restarted",
        f"{targets.GATEWAYS:,} snapshots, {number(PER_REPLICA)} a replica",
        "eight replicas",
        f"{_told(herd_s(snapshot, targets.GATEWAYS, targets.REPLICAS), 's')} after the last one is up",
        f"{PACE}; {JITTER}",
    )


def _all_replicas() -> Event:
    most_s = (2 * ELECTION_MS / 1000) + TIMES.backoff_most / 1e6
    return Event(
        "all control replicas restarted",
        f"{targets.GATEWAYS:,} Hellos; who has the newest number gets no snapshot, all others one",
        "the gateways, then eight replicas",
        f"the replicas' start, an election ({ELECTION_MS} ms, drawn anew if the vote splits) and backoff: "
        f"about {number(most_s)} s after the start; as a whole {NOT_MEASURED}. Meanwhile as a cut-off region",
        JITTER,
    )
