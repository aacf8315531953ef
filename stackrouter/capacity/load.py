"""The load on each role at the target size, and the program's constants that the figures depend on."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.controlplane.replica import ReplicaLimits
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.net.discovery import WATCH_WAIT_US

MAX_LOOP_HOLD_MS = (
    10.0  # longest time that applying a list or a policy may block the event loop (issue 39, part D)
)
LIMITS = ReplicaLimits()
RULES = HeartbeatRules(validity_us=2_000_000, max_drift_us=200_000)  # defaults of `control` (edge/edge.proto)
HEARTBEATS_S = 1e6 / RULES.heartbeat_every_us  # of one gateway
DISCOVERY_CALL_S = 0.13  # discovery's own time for a call that asks for changes (docs/design/large-fleet.md)
DISCOVERY_INTERVAL_S = WATCH_WAIT_US / 1e6
BUCKET_REFILL_S = (
    2.0  # refill time of a bucket with the settings of tests/gateway.py: 40 units at 20 a second
)
REQUEST_AIM_S = 0.4  # aim for a request's answer, with the same settings
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)
CLIENTS = targets.per_gateway(targets.CLIENT_CONNECTIONS)
NODE_REQUESTS_S = targets.REQUESTS_S / targets.NODES
GATEWAYS_PER_REPLICA = targets.GATEWAYS / targets.REPLICAS
