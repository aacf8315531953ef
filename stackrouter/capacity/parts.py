"""Where an even part over 7,800 gateways is below one request: limits by volume, and a cold node's budget."""

from __future__ import annotations

import math
from dataclasses import dataclass

from rackseam.slow_start import CONTENDERS_WINDOW_US, MIN_COLD_SHARE, TURNS_BUDGET_FRACTION
from stackrouter.capacity import targets
from stackrouter.capacity.estimate import format_number
from stackrouter.capacity.even_parts import LIMITED, SETTINGS, max_gateways, simulate_request
from stackrouter.capacity.load import NODE_REQUESTS_S, REQUESTS_S


@dataclass(frozen=True, slots=True)
class PartRow:
    """One line of the table: the even part, and the result of the rule."""

    what: str
    part: str
    rule: str


def rows() -> list[PartRow]:
    """Rows computed from the settings or simulated with the decision module; no time is measured."""
    return [*_limits(), *_cold()]


def _limits() -> list[PartRow]:
    gateways = targets.GATEWAYS
    mean, largest = SETTINGS.mean_units, SETTINGS.max_units
    result = simulate_request(gateways, mean)
    outcome = (
        "sent" if result.sent else f"refused after {result.after_us / 1000:.0f} ms, and so is every later one"
    )
    return [
        PartRow(
            f"a volume's limit ({format_number(LIMITED.limit_units_per_s)} units/s, burst "
            f"{format_number(LIMITED.burst_units)}, tolerance {format_number(LIMITED.tolerance_units)}), "
            f"spread over all {gateways:,} gateways",
            f"{format_number(LIMITED.limit_units_per_s / gateways)} units/s, burst "
            f"{format_number(LIMITED.burst_units / gateways)} units: below one request "
            f"of {format_number(mean)}",
            f"a request of {format_number(mean)} units is {outcome}",
        ),
        PartRow(
            f"the same volume, requests of {format_number(mean)} units (the mean)",
            "1 / gateways that its clients use (`hosts`)",
            f"sent as long as these are {max_gateways(mean, gateways)} or fewer; beyond, none ever is",
        ),
        PartRow(
            f"the same volume, requests of {format_number(largest)} units (the largest)",
            "the same",
            f"sent as long as these are {max_gateways(largest, gateways)} or fewer",
        ),
    ]


def requested_part() -> float:
    """Part of all nodes for which a gateway gets a request within the time that the module remembers one."""
    requests_per_node = REQUESTS_S * CONTENDERS_WINDOW_US / 1e6 / targets.NODES
    return 1 - math.exp(-requests_per_node)


def cold_turns() -> float:
    """Turns of one mean request each, over all gateways, from a node's start until it counts as warm."""
    pace = TURNS_BUDGET_FRACTION * SETTINGS.cold_bears_units / (SETTINGS.mean_units * SETTINGS.fall_us)
    growth = (1 / max(SETTINGS.cold_share, MIN_COLD_SHARE) - 1) / SETTINGS.cold_us
    return pace * SETTINGS.cold_us * (1 + growth * SETTINGS.cold_us / 2)


def _cold() -> list[PartRow]:
    contenders = requested_part() * targets.GATEWAYS
    even_units = max(
        SETTINGS.cold_bears_units / targets.GATEWAYS,
        SETTINGS.cold_bears_units * TURNS_BUDGET_FRACTION / contenders,
    )
    wanted_requests = NODE_REQUESTS_S * SETTINGS.cold_us / 1e6
    return [
        PartRow(
            f"a cold node's budget ({format_number(SETTINGS.cold_bears_units)} units a second at its start, "
            f"cold for {SETTINGS.cold_us / 1e6:.0f} s)",
            f"{format_number(even_units)} units a gateway, with {format_number(contenders)} gateways "
            "that have work for it: below one request",
            f"turns of one request: {format_number(cold_turns())} for all gateways together while it is "
            f"cold, where {format_number(wanted_requests)} requests are asked for it in that time; a gateway "
            "whose first was answered goes on",
        )
    ]
