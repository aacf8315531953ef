"""The planned size and the budgets that apply at it (issue 39). Constants only."""

from __future__ import annotations

GATEWAYS = 7_800
NODES = 17_000
CLIENT_CONNECTIONS = 53_000_000
REQUESTS_S = 11_000_000
NODE_REPLACEMENTS_DAY = 32
REPLACEMENT_S = 9.0  # limit for each replacement
REGIONS = 5
ZONES = 11
POLICY_CHANGES_DAY = 4_200
IN_FORCE_S = 7.0  # limit until a policy change is in force everywhere
MACHINE_FAILURES_DAY = 42
RESTARTS_DAY = 3_200

CPU_MS_S = 13.0  # control's part of a gateway: 1.3% of a core
MEMORY_MB = 128.0
BYTES_S = 16 * 1024.0
REPLICAS = 8  # machines reserved for control
VOTERS = 5

DAY_S = 86_400.0


def per_gateway(total: float) -> float:
    return total / GATEWAYS


def rate_s(per_day: float) -> float:
    return per_day / DAY_S
