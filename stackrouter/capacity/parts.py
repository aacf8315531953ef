"""Where a 7,800th part is less than one request: limits by volume, and cold nodes' budget."""

from __future__ import annotations

import math
from dataclasses import dataclass

from rackseam.slow_start import CONTENDERS_MEMORY_US, LEAST_COLD_SHARE, TURNS_PART
from stackrouter.capacity import targets
from stackrouter.capacity.estimate import number
from stackrouter.capacity.even_parts import LIMITED, SETTINGS, ask_once, most_gateways
from stackrouter.capacity.load import NODE_REQUESTS_S, REQUESTS_S


@dataclass(frozen=True, slots=True)
class PartRow:
    """One line: the even part, and what the rule gives."""

    what: str
    part: str
    rule: str


def rows() -> list[PartRow]:
    """Reckoned from the settings, or played with the decision module; no measurement of time in it."""
    return [*_limits(), *_cold()]


def _limits() -> list[PartRow]:
    gateways = targets.GATEWAYS
    mean, largest = SETTINGS.mean_units, SETTINGS.max_units
    ending = ask_once(gateways, mean)
    told = (
        "sent" if ending.sent else f"refused after {ending.after_us / 1000:.0f} ms, and so is every later one"
    )
    return [
        PartRow(
            f"a volume's limit ({number(LIMITED.limit_units_per_s)} units/s, burst "
            f"{number(LIMITED.burst_units)}, tolerance {number(LIMITED.tolerance_units)}), spread over all "
            f"{gateways:,} gateways",
            f"{number(LIMITED.limit_units_per_s / gateways)} units/s, burst "
            f"{number(LIMITED.burst_units / gateways)} units: below one request of {number(mean)}",
            f"a request of {number(mean)} units is {told}",
        ),
        PartRow(
            f"the same volume, requests of {number(mean)} units (the mean)",
            "1 / gateways that its clients use (`hosts`)",
            f"sent as long as these are {most_gateways(mean, gateways)} or fewer; beyond, none ever is",
        ),
        PartRow(
            f"the same volume, requests of {number(largest)} units (the largest)",
            "the same",
            f"sent as long as these are {most_gateways(largest, gateways)} or fewer",
        ),
    ]


def asked_part() -> float:
    """Part of all nodes for which one gateway is asked within the module's memory of it."""
    asked = REQUESTS_S * CONTENDERS_MEMORY_US / 1e6 / targets.NODES
    return 1 - math.exp(-asked)


def cold_turns() -> float:
    """Turns of one mean request, all gateways together, from a node's start until it counts as warm."""
    pace = TURNS_PART * SETTINGS.cold_bears_units / (SETTINGS.mean_units * SETTINGS.fall_us)
    growth = (1 / max(SETTINGS.cold_share, LEAST_COLD_SHARE) - 1) / SETTINGS.cold_us
    return pace * SETTINGS.cold_us * (1 + growth * SETTINGS.cold_us / 2)


def _cold() -> list[PartRow]:
    contenders = asked_part() * targets.GATEWAYS
    even = max(
        SETTINGS.cold_bears_units / targets.GATEWAYS, SETTINGS.cold_bears_units * TURNS_PART / contenders
    )
    wanted = NODE_REQUESTS_S * SETTINGS.cold_us / 1e6
    return [
        PartRow(
            f"a cold node's budget ({number(SETTINGS.cold_bears_units)} units a second at its start, cold "
            f"for {SETTINGS.cold_us / 1e6:.0f} s)",
            f"{number(even)} units a gateway, with {number(contenders)} gateways that have work for it: "
            "below one request",
            f"turns of one request: {number(cold_turns())} for all gateways together while it is cold, where "
            f"{number(wanted)} requests are asked for it in that time; a gateway whose first was answered "
            "goes on",
        )
    ]
