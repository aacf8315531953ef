"""Status reports of replicas and gateways on their admin sockets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """A replica's answer to `control status`, as JSON. Counts are since the start; `serving`: gateways by
    version; `behind`: some of the gateways under an older version than the active one; `log_entries`: applied
    entries of the group's log (0 in a non-voting replica); `late_ms`: how late timers ran in the last minute.
    """

    replica: str
    role: str  # voter, observer
    leader: str
    term: int
    ready: bool
    history: str
    position: int
    active: int
    gateways: int
    serving: dict[int, int]
    behind: tuple[str, ...]
    bytes_in: int
    bytes_out: int
    heartbeats: int
    answers: int
    snapshots: int
    snapshots_waiting: int
    resumed: int
    rejected: int
    barriers: int
    barriers_failed: int
    changes: int
    log_entries: int
    uptime_s: float
    cpu_ms: int
    rss_mib: float
    late_ms: float  # the maximum
    late_ms_p99: float


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """A gateway's answer to `control status`, as JSON. Counts are since the start; `nodes_index`: discovery's
    version of the last list applied; `follows`: whether the list is taken from the control plane now."""

    gateway: str
    role: str  # gateway
    replica: str
    history: str
    position: int
    serving: int
    since_s: float
    heartbeat_valid: bool
    nodes_index: int
    follows: bool
    bytes_in: int
    bytes_out: int
    frames_in: int
    frames_out: int
    connections: int
    hangups: int
