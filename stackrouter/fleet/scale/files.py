"""Configuration files for the processes of a scale run."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from stackrouter.fleet.scale.layout import RealPlace, ReplicaPlace
from stackrouter.fleet.scale.options import ELECTION_MS, LEASE_DRIFT_MS, LEASE_MS, ScaleOptions
from stackrouter.standins.discovery import Entry, entry
from stackrouter.standins.fleet import ZONES, Scene, settings

USUAL_RATE = 50.0
SHARDS = 4
THIRD_OCTETS = 250  # node addresses 127.x.0.1 to 127.x.249.1, then the next x
MEMORY_MB, SOCKETS = 192, 1024
NODE_PORT = 9  # nothing listens here: a scale run sends no requests


@dataclass(frozen=True, slots=True)
class ReplicaPorts:
    """The ports on which a replica listens for gateways, for other voters and for admin calls."""

    observed: int
    peer: int
    admin: int


@dataclass(frozen=True, slots=True)
class Reach:
    """A replica and the address at which a particular process connects to it."""

    name: str
    address: str
    region: str


def drift_ms(options: ScaleOptions) -> int:
    """The maximum drift between two clocks while a heartbeat is valid, in milliseconds."""
    return options.touch_ms * LEASE_DRIFT_MS // LEASE_MS


def voter_file(options: ScaleOptions, place: ReplicaPlace, ports: ReplicaPorts,
               peers: Iterable[tuple[Reach, str]], folder: str, discovery: str) -> str:  # fmt: skip
    """The configuration of a voting replica. `peers`: all voters with their listening addresses, and the
    address at which this one dials each (empty: the listening address)."""
    lines = [
        f'  peer {{ name: "{peer.name}" address: "{peer.address}"{_dial(dial)} }}' for peer, dial in peers
    ]
    return f"""coordination {{ enabled: true member: "{place.name}" folder: "{folder}" ttl_ms: {LEASE_MS}
  max_drift_ms: {LEASE_DRIFT_MS} election_ms: {ELECTION_MS}
  policy {{ enabled: true touch_ms: {options.touch_ms} after_ms: {options.after_ms} }}
{chr(10).join(lines)}
}}
control {{ {_control(options, place.region)}
  listen: "127.0.0.1:{ports.observed}" admin: "127.0.0.1:{ports.admin}" discovery: "{discovery}" }}
"""


def observing_replica_file(options: ScaleOptions, place: ReplicaPlace, ports: ReplicaPorts,
                           voters: Iterable[Reach]) -> str:  # fmt: skip
    """The configuration of a non-voting replica, which observes the voters."""
    return f"""control {{ {_control(options, place.region)} name: "{place.name}"
  listen: "127.0.0.1:{ports.observed}" admin: "127.0.0.1:{ports.admin}"
{_replicas(voters)} }}
"""


def gateway_file(options: ScaleOptions, place: RealPlace, replicas: Iterable[Reach]) -> str:
    """The control plane configuration of a real gateway, which observes the replicas."""
    return f"control {{ enabled: true {_control(options, place.region)}\n{_replicas(replicas)} }}\n"


def gateway_config(options: ScaleOptions, name: str, position: int, port: int, admin: int, discovery: str,
                   known: dict[str, Any]) -> str:  # fmt: skip
    """The content of the GW_CONFIG file of a real gateway."""
    config = {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": discovery, "admin": f"127.0.0.1:{admin}",
        "seed": f"{options.seed * 64 + position:x}", "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": known, "settings": fleet_settings(options) | {"Position": position},
    }  # fmt: skip
    return json.dumps(config)


def fleet_settings(options: ScaleOptions, variant: int = 0) -> dict[str, Any]:
    """The settings of the whole fleet; each variant gives different settings."""
    scene = Scene(gateways=options.hollow + options.real, nodes=SHARDS, seed=options.seed)
    values = settings(scene, USUAL_RATE)
    if variant:
        values["Caps"]["MaxAttempts"] = 1 + variant % 5
        values["Caps"]["MaxOpen"] = 4000 + variant
    return values


def policy_file(options: ScaleOptions, variant: int) -> str:
    """The content of a policy file to propose."""
    return json.dumps({"settings": fleet_settings(options, variant)})


def storage_nodes(count: int) -> list[Entry]:
    """The list of storage nodes. None of them exists: a scale run sends no requests."""
    return [
        entry(f"s-{i + 1}", f"127.{1 + i // THIRD_OCTETS}.{i % THIRD_OCTETS}.1:{NODE_PORT}", i % SHARDS,
              ZONES[i % len(ZONES)], "std")
        for i in range(count)
    ]  # fmt: skip


def _control(options: ScaleOptions, region: str) -> str:
    return f'region: "{region}" touch_ms: {options.touch_ms} max_drift_ms: {drift_ms(options)}'


def _replicas(replicas: Iterable[Reach]) -> str:
    return "\n".join(
        f'  replica {{ name: "{replica.name}" address: "{replica.address}" region: "{replica.region}" }}'
        for replica in replicas
    )


def _dial(address: str) -> str:
    return f' dial: "{address}"' if address else ""
