"""What the decision module does where an even part of a volume's limit is less than a request. No I/O.

Played with rackseam.control itself, in virtual time, under settings like those of tests/gateway.py.
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
FILLED_US = 10_000_000  # after this long any bucket is full
GRACE_US = 3_000_000


@dataclass(frozen=True, slots=True)
class Ending:
    """What became of one request: whether it was sent, else refused; microseconds after it came."""

    sent: bool
    after_us: int


def with_gateways(gateways: int, position: int = 0) -> Settings:
    """The settings of one of so many gateways."""
    return replace(SETTINGS, gateways=gateways, position=position, seed=position)


def ask_once(gateways: int, units: float) -> Ending:
    """A gateway that has been up for long is asked for one request of a limited volume, whose requests are
    spread over so many gateways: each has an even part of its limit."""
    controller = Controller(with_gateways(gateways))
    now = 50_000_000
    controller.handle(now, [ListUpdate(ListKind.FULL, (NodeEntry("n0", shard=0),))])
    now += FILLED_US
    came = now
    arrival = Arrival("r", 0, LIMITED_PLAN, "v", units, 0, gateways, "", GRACE_US)
    actions = controller.handle(now, [arrival])
    while (ending := _ending(actions, now - came)) is None:
        now += next(action.in_us for action in actions if isinstance(action, SetTimer))
        actions = controller.handle(now, [Timer("due")])
    return ending


def _ending(actions: list[Action], after_us: int) -> Ending | None:
    for action in actions:
        match action:
            case Send():
                return Ending(True, after_us)
            case Refuse() | Fail():
                return Ending(False, after_us)
    return None


def most_gateways(units: float, of: int) -> int:
    """Over how many gateways, `of` at most, a volume may be spread and its requests still be sent."""
    least, most = 1, of
    while least < most:
        middle = (least + most + 1) // 2
        if ask_once(middle, units).sent:
            least = middle
        else:
            most = middle - 1
    return least
