"""The measurements of `stackrouter bench capacity`: sizes, repeats and series of each."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from stackrouter.capacity import targets
from stackrouter.capacity.measure import cold, connections, lists, nodes, replica, requests

Task = Callable[[int], dict[str, float]]


@dataclass(frozen=True, slots=True)
class Quantity:
    """One series of a measurement; `name` is its key in the task's result."""

    name: str
    what: str
    unit: str


@dataclass(frozen=True, slots=True)
class Measurement:
    """`task` runs `repeats` times at each of `sizes`, each time in its own process.

    `fixed`: conditions that are equal at all sizes."""

    name: str
    role: str
    against: str
    sizes: tuple[int, ...]
    repeats: int
    task: Task
    quantities: tuple[Quantity, ...]
    fixed: Mapping[str, int | float | str] = field(default_factory=dict)


NODE_SIZES = (60, 1_000, 4_000, targets.NODES)
GATEWAY_SIZES = (100, 300, 1_000, 2_000)
CLIENT_SIZES = (200, 800, 1_600, 3_000)
RATE_SIZES = (50, 100, 200, 400)

MEASUREMENTS = (
    Measurement(
        "lists", "gateway", "nodes", NODE_SIZES, 2, lists.whole_list,
        (
            Quantity("gateway.list.bytes", "the whole list as discovery tells it", "KiB"),
            Quantity("gateway.list.whole_cpu", "taking the whole list, CPU", "ms"),
            Quantity("gateway.list.longest_hold", "longest answer to PING while it is taken", "ms"),
            Quantity("gateway.memory.nodes", "memory of the whole process with the list", "MiB"),
            Quantity("gateway.memory.list", "memory that the list adds", "MiB"),
        ),
        {"process": "python -m stackrouter, loopback", "gateways": targets.GATEWAYS},
    ),
    Measurement(
        "changes", "gateway", "nodes", NODE_SIZES, 2, lists.changed_entry,
        (
            Quantity("gateway.list.change_cpu", "taking one changed entry, CPU", "ms"),
            Quantity("gateway.list.change_hold", "longest hold by one changed entry", "ms"),
        ),
        {"process": "engine and decision module, no sockets", "gateways": targets.GATEWAYS,
         "changes": lists.CHANGES},
    ),
    Measurement(
        "requests by nodes", "gateway", "nodes", NODE_SIZES, 2, requests.against_nodes,
        (Quantity("gateway.request.cpu_nodes", "a request without sockets, CPU", "us"),),
        {"process": "engine and decision module, no sockets", "volumes": requests.VOLUMES,
         "requests": requests.REQUESTS},
    ),
    Measurement(
        "requests by volumes", "gateway", "volumes", (500, 2_000, 8_000, 32_000), 2, requests.against_volumes,
        (
            Quantity("gateway.request.cpu_volumes", "a request without sockets, CPU", "us"),
            Quantity("gateway.memory.volumes", "memory that remembered volumes add", "MiB"),
        ),
        {"process": "engine and decision module, no sockets", "nodes": requests.NODES,
         "requests": requests.REQUESTS},
    ),
    Measurement(
        "idle clients", "gateway", "client connections", CLIENT_SIZES, 1, connections.idle,
        (
            Quantity("gateway.memory.clients_idle", "memory that idle connections add", "MiB"),
            Quantity("gateway.clients.keep_cpu", "a PING each 1.8 s on each, CPU", "ms/s"),
            Quantity("gateway.request.cpu_clients", "a request on sockets beside them, CPU", "us"),
        ),
        {"process": "python -m stackrouter, loopback", "nodes": connections.NODES,
         "requests_s": connections.RATE_S, "ping_every_s": connections.PING_EVERY_S},
    ),
    Measurement(
        "busy clients", "gateway", "client connections", CLIENT_SIZES, 1, connections.busy,
        (Quantity("gateway.memory.clients_busy", "memory that connections with an open request add", "MiB"),),
        {"process": "python -m stackrouter, loopback", "nodes": 0},
    ),
    Measurement(
        "load, kept", "gateway", "requests a second", RATE_SIZES, 1, connections.rate_kept,
        (Quantity("gateway.request.cpu_rate_kept", "requests on kept node connections, CPU", "ms/s"),),
        {"process": "python -m stackrouter, loopback", "nodes": connections.NODES,
         "clients": connections.CLIENT_CONNECTIONS},
    ),
    Measurement(
        "load, new", "gateway", "requests a second", RATE_SIZES, 1, connections.rate_new,
        (Quantity("gateway.request.cpu_rate_new", "each request on a new node connection, CPU", "ms/s"),),
        {"process": "python -m stackrouter, loopback", "nodes": connections.NODES,
         "clients": connections.CLIENT_CONNECTIONS},
    ),
    Measurement(
        "cold nodes", "storage node", "gateways", (40, 400, 2_000, targets.GATEWAYS), 1, cold.first_sends,
        (Quantity("module.cold.first_send", "from a node's start to a gateway's first attempt there", "s"),),
        {"process": "decision module in virtual time", "requests_s": cold.REQUESTS_S,
         "positions": cold.POSITIONS, "longest_s": cold.MAX_WAIT_S},
    ),
    Measurement(
        "replica by gateways", "control replica", "gateways", GATEWAY_SIZES, 2, replica.heartbeats,
        (
            Quantity("replica.heartbeats.cpu", "answering all heartbeats, CPU", "ms/s"),
            Quantity("replica.heartbeats.bytes", "heartbeats and answers, both ways", "KiB/s"),
            Quantity("replica.heartbeats.barriers", "read barriers, each a log entry", "entries/s"),
        ),
        {"process": "state machine and codec, no sockets", "heartbeat_every_ms": replica.HEARTBEAT_MS},
    ),
    Measurement(
        "replica's memory", "control replica", "gateways", GATEWAY_SIZES, 1, replica.memory,
        (Quantity("replica.memory.gateways", "objects kept for connected gateways", "MiB"),),
        {"process": "state machine and codec, no sockets"},
    ),
    Measurement(
        "replica by changes", "control replica", "policy changes a second", (1, 2, 5, 10), 2, replica.changes,
        (
            Quantity("replica.changes.cpu", "passing policy changes on, CPU", "ms/s"),
            Quantity("replica.changes.bytes", "policy changes to all its gateways", "KiB/s"),
        ),
        {"process": "state machine and codec, no sockets", "gateways": replica.GATEWAYS,
         "policy_bytes": replica.POLICY_BYTES},
    ),
    Measurement(
        "replica by entries", "control replica", "changed nodes", (1, 150, 500, 1_545), 2,
        replica.node_changes,
        (
            Quantity("replica.node_changes.cpu", "passing one change of the list on, CPU", "ms"),
            Quantity("replica.node_changes.bytes", "that change to one gateway", "KiB"),
        ),
        {"process": "state machine and codec, no sockets", "gateways": replica.GATEWAYS},
    ),
    Measurement(
        "replica by restarts", "control replica", "restarts a second", (1, 2, 5, 10), 2, replica.restarts,
        (Quantity("replica.restarts.cpu", "snapshots for gateways that restart, CPU", "ms/s"),),
        {"process": "state machine and codec, no sockets", "gateways": replica.GATEWAYS,
         "nodes": targets.NODES},
    ),
    Measurement(
        "snapshots", "control replica", "nodes", NODE_SIZES, 2, replica.snapshot,
        (
            Quantity("replica.snapshot.cpu", "making a snapshot, CPU", "ms"),
            Quantity("replica.snapshot.bytes", "a snapshot on the wire", "KiB"),
            Quantity("replica.start.cpu", "a replica that observes starts from a snapshot, CPU", "ms"),
            Quantity("gateway.snapshot.cpu", "reading a snapshot at a gateway, CPU", "ms"),
            Quantity("gateway.snapshot.hold", "longest single part of that", "ms"),
        ),
        {"process": "state machine and codec, no sockets"},
    ),
    Measurement(
        "reuse by nodes", "storage node", "nodes", NODE_SIZES, 1, nodes.against_nodes,
        (
            Quantity("node.reuse.share_nodes", "attempts that find a kept connection", "%"),
            Quantity("node.connections.held", "connections to nodes that a gateway holds", "connections"),
        ),
        {"process": "model", "requests_s": nodes.REQUESTS_S, "service_s": nodes.SERVICE_S,
         "keepalive_s": nodes.KEEPALIVE_S},
    ),
    Measurement(
        "reuse by rate", "storage node", "requests a second", (141, 470, 1_410, 4_700, 14_100), 1,
        nodes.against_rate,
        (Quantity("node.reuse.share_rate", "attempts that find a kept connection", "%"),),
        {"process": "model", "nodes": targets.NODES, "service_s": nodes.SERVICE_S,
         "keepalive_s": nodes.KEEPALIVE_S},
    ),
)  # fmt: skip


def find_measurement(name: str) -> Measurement:
    """The measurement of this name; StopIteration if there is none."""
    return next(m for m in MEASUREMENTS if m.name == name)
