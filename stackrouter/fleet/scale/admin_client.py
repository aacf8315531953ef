"""Client for admin sockets: one request line, one answer line. A call that times out or fails returns an
empty answer instead of raising."""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from typing import Any

from gevent import socket

CALL_TIMEOUT_S = 1.5
SUCCESS = "SUCCESS "


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A committed version of the policy, as reported by a replica. `digest` is a prefix of the full
    digest."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class Proposed:
    """The result of proposing a change. `number` is the committed version, or 0 if the change is not known to
    be committed; `why` then holds the answer."""

    number: int
    digest: str
    why: str


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status that a replica reports. Counters start at zero with its process. `log_entries`: applied
    entries of the replicated log, 0 in a non-voting replica."""

    leader: str
    term: int
    ready: bool
    active: int
    gateways: int
    bytes_in: int
    bytes_out: int
    snapshots: int
    log_entries: int


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """The control plane status that a real gateway reports. `since_s`: how long it has served under the
    policy version `serving`."""

    serving: int
    since_s: float
    heartbeat_valid: bool
    nodes_index: int


GATEWAY_FIELDS = fields(GatewayStatus)
REPLICA_FIELDS = fields(ReplicaStatus)


def call(port: int, line: str) -> str:
    """Send one line and return the answer line, or an empty string if there was none."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=CALL_TIMEOUT_S) as sock:
            sock.sendall(line.encode() + b"\n")
            return str(sock.makefile("r", encoding="utf-8").readline()).strip()
    except OSError:
        return ""


def call_json(port: int, line: str) -> dict[str, Any] | None:
    """The JSON object in a successful answer, or None if the call failed."""
    answer = call(port, line)
    if not answer.startswith(SUCCESS + "{"):
        return None
    result: dict[str, Any] = json.loads(answer.removeprefix(SUCCESS))
    return result


def policy_versions(port: int) -> list[KnownVersion] | None:
    """The committed versions that a replica knows, oldest first, or None if it did not answer."""
    status = call_json(port, "policy status")
    if status is None:
        return None
    return [KnownVersion(number, digest) for number, digest, _ in status["versions"]]


def propose(port: int, base: int, file: str) -> Proposed:
    """Propose the policy in `file` as the successor of the version `base`."""
    answer = call(port, f"policy propose {base} {file}")
    if not answer.startswith(SUCCESS):
        return Proposed(0, "", answer or "no answer")
    words = dict(word.split("=", 1) for word in answer.split() if "=" in word)
    return Proposed(int(words["version"]), words["digest"], "")


def replica_status(port: int) -> ReplicaStatus | None:
    """The status of a replica, or None if it did not answer."""
    status = call_json(port, "control status")
    return (
        None
        if status is None
        else ReplicaStatus(**{field.name: status[field.name] for field in REPLICA_FIELDS})
    )


def gateway_status(port: int) -> GatewayStatus | None:
    """The status of a real gateway, or None if it did not answer."""
    status = call_json(port, "control status")
    return (
        None
        if status is None
        else GatewayStatus(**{field.name: status[field.name] for field in GATEWAY_FIELDS})
    )
