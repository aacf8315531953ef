"""The load at the target on each role, and the constants of the program that its figures follow from."""

from __future__ import annotations

from stackrouter.capacity import targets
from stackrouter.controlplane.replica import ReplicaLimits
from stackrouter.coord.policy import Rules
from stackrouter.net.discovery import WAIT_US

HOLD_MS = 10.0  # the longest that taking a list or a policy may hold the loop (issue 39, part D)
LIMITS = ReplicaLimits()
RULES = Rules(validity_us=2_000_000, max_drift_us=200_000)  # `control` unless set (edge/edge.proto)
HEARTBEATS_S = 1e6 / RULES.heartbeat_every_us  # a gateway
CALL_S = 0.13  # of discovery's time for a call that asks for changes (docs/design/large-fleet.md)
ASK_EVERY_S = WAIT_US / 1e6
REFILL_S = 2.0  # a bucket of the settings in tests/gateway.py is full again: 40 units at 20 a second
AIM_S = 0.4  # within which a request is to be answered, same settings
REQUESTS_S = targets.per_gateway(targets.REQUESTS_S)
CLIENTS = targets.per_gateway(targets.CLIENT_CONNECTIONS)
NODE_REQUESTS_S = targets.REQUESTS_S / targets.NODES
PER_REPLICA = targets.GATEWAYS / targets.REPLICAS
