"""Calls to admin sockets: one line there, one line back. A call that is not answered in time says nothing."""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from typing import Any

from gevent import socket

CALL_S = 1.5
SUCCESS = "SUCCESS "


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A committed version of the policy, as a replica tells of it. `digest`: its first letters."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class Proposed:
    """How a change ended: `number` is the committed version, 0 if it is not known to be committed; then
    `why` is what was answered."""

    number: int
    digest: str
    why: str


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a replica tells of itself; counts are since its start. `log_entries`: applied entries of the
    group's log, 0 in a replica that does not vote."""

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
    """What a real gateway tells of its part in the control plane. `since_s`: how long it has served under
    this version."""

    serving: int
    since_s: float
    heartbeat_valid: bool
    nodes_index: int


GATEWAY_FIELDS = fields(GatewayStatus)
STATUS_FIELDS = fields(ReplicaStatus)


def call(port: int, line: str) -> str:
    """The answer's line; empty: none came."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=CALL_S) as sock:
            sock.sendall(line.encode() + b"\n")
            return str(sock.makefile("r", encoding="utf-8").readline()).strip()
    except OSError:
        return ""


def call_json(port: int, line: str) -> dict[str, Any] | None:
    """The object in the answer; None: there was no such answer."""
    answer = call(port, line)
    if not answer.startswith(SUCCESS + "{"):
        return None
    told: dict[str, Any] = json.loads(answer.removeprefix(SUCCESS))
    return told


def policy_versions(port: int) -> list[KnownVersion] | None:
    """The committed versions that a replica holds, oldest first; None: it did not say."""
    told = call_json(port, "policy status")
    if told is None:
        return None
    return [KnownVersion(number, digest) for number, digest, _ in told["versions"]]


def propose(port: int, base: int, file: str) -> Proposed:
    """Hand in a change of the policy on top of the version `base`."""
    answer = call(port, f"policy propose {base} {file}")
    if not answer.startswith(SUCCESS):
        return Proposed(0, "", answer or "no answer")
    words = dict(word.split("=", 1) for word in answer.split() if "=" in word)
    return Proposed(int(words["version"]), words["digest"], "")


def replica_status(port: int) -> ReplicaStatus | None:
    """None: it did not say."""
    told = call_json(port, "control status")
    return (
        None if told is None else ReplicaStatus(**{field.name: told[field.name] for field in STATUS_FIELDS})
    )


def gateway_status(port: int) -> GatewayStatus | None:
    """None: it did not say."""
    told = call_json(port, "control status")
    return (
        None if told is None else GatewayStatus(**{field.name: told[field.name] for field in GATEWAY_FIELDS})
    )
