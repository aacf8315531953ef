"""How the decision module behaves where an even part of a volume's limit is less than one request. No I/O.

Simulated with rackseam.control itself, in virtual time, with settings like those of tests/gateway.py.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from rackseam.control import Controller
from rackseam.interface import (
    Action,
    Arrival,
    Fail,
    ListKind,
    ListUpdate,
    NodeEntry,
    Plan,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Timer,
)

LIMITED = Plan(limit_units_per_s=20.0, burst_units=40.0, tolerance_units=8.0)
FREE_PLAN, LIMITED_PLAN = 0, 1
SETTINGS = Settings(
    classes=(RequestClass(aim_us=400_000, deadline_us=3_000_000),),
    plans=(Plan(), LIMITED),
    seed=7,
    step_us=2_000,
    max_units=8.0,
    mean_units=2.0,
    max_attempts=4,
    may_cancel=True,
    answer_slack_us=8_000,
    ask_every_us=10_000_000,
    drain_grace_us=1_000_000,
    cold_share=0.2,
    cold_us=10_000_000,
    cold_bears_units=16.0,
    fall_us=1_000_000,
    tip_multiple=3.0,
    key_rest_us=100_000,
)
BUCKETS_FULL_US = 10_000_000  # after this time every bucket is full
GRACE_US = 3_000_000


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of one request: sent, or else refused or failed; microseconds after its arrival."""

    sent: bool
    after_us: int


def gateway_settings(gateways: int, position: int = 0) -> Settings:
    """The settings of the gateway at `position` of so many gateways."""
    return replace(SETTINGS, gateways=gateways, position=position, seed=position)


def simulate_request(gateways: int, units: float) -> RequestResult:
    """Submit one request of a limited volume to a gateway whose buckets are full. The volume's requests are
    spread over so many gateways, so each has an even part of its limit."""
    controller = Controller(gateway_settings(gateways))
    now_us = 50_000_000
    controller.handle(now_us, [ListUpdate(ListKind.FULL, (NodeEntry("n0", shard=0),))])
    now_us += BUCKETS_FULL_US
    arrived_us = now_us
    arrival = Arrival("r", 0, LIMITED_PLAN, "v", units, 0, gateways, "", GRACE_US)
    actions = controller.handle(now_us, [arrival])
    while (result := _result(actions, now_us - arrived_us)) is None:
        now_us += next(action.in_us for action in actions if isinstance(action, SetTimer))
        actions = controller.handle(now_us, [Timer("due")])
    return result


def _result(actions: list[Action], after_us: int) -> RequestResult | None:
    for action in actions:
        match action:
            case Send():
                return RequestResult(True, after_us)
            case Refuse() | Fail():
                return RequestResult(False, after_us)
    return None


def max_gateways(units: float, limit: int) -> int:
    """The highest number of gateways, up to `limit`, over which a volume can be spread and still be sent."""
    low, high = 1, limit
    while low < high:
        middle = (low + high + 1) // 2
        if simulate_request(middle, units).sent:
            low = middle
        else:
            high = middle - 1
    return low
