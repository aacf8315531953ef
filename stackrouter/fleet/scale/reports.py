"""What a process of hollow gateways and the harness tell each other: one JSON object a line, each of one
type.

A line's `type` names the dataclass, its other keys are the fields. All times are nanoseconds of the
monotonic clock.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, fields
from typing import Any

from stackrouter.fleet.scale.judge import FinalState, Served, Taken


@dataclass(frozen=True, slots=True)
class HollowState:
    """How the gateways of a process are at the moment. `ready`: with a valid heartbeat, under the newest
    active version that they know; `version` and `nodes_index`: what all of them have at least."""

    gateways: int
    ready: int
    version: int
    nodes_index: int


@dataclass(frozen=True, slots=True)
class HollowEnd:
    """The last line of a process. `late_ms`: how often its loop was woken so many milliseconds late."""

    late_ms: dict[str, int]


@dataclass(frozen=True, slots=True)
class RestartGateway:
    """To a process: this gateway ends without a word, and starts anew with nothing."""

    gateway: str


@dataclass(frozen=True, slots=True)
class EndHollow:
    """To a process: tell the final states, then end."""


Report = Taken | Served | FinalState | HollowState | HollowEnd
Order = RestartGateway | EndHollow
TYPES: dict[str, type[Any]] = {
    cls.__name__: cls
    for cls in (Taken, Served, FinalState, HollowState, HollowEnd, RestartGateway, EndHollow)
}

FIELDS = {cls: {field.name for field in fields(cls)} for cls in TYPES.values()}


def to_line(message: Report | Order) -> str:
    """Without the end of line."""
    return json.dumps({"type": type(message).__name__, **asdict(message)}, separators=(",", ":"))


def from_line(line: str) -> Report | Order | None:
    """None: not a line of ours (a library's own output, a line that a kill cut off)."""
    try:
        raw = json.loads(line)
    except ValueError:
        return None
    cls = TYPES.get(raw.pop("type", "")) if isinstance(raw, dict) else None
    if cls is None or raw.keys() != FIELDS[cls]:
        return None
    message: Report | Order = cls(**raw)
    return message
