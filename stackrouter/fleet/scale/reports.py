"""Messages between the harness and the processes of hollow gateways, one JSON object per line.

The key `type` names the dataclass of a message; the other keys are its fields. All times are nanoseconds of
the monotonic clock.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, fields
from typing import Any

from stackrouter.fleet.scale.judge import FinalState, Served, Taken


@dataclass(frozen=True, slots=True)
class HollowState:
    """The current state of the gateways of a process. `ready` counts gateways with a valid heartbeat that
    serve under the newest active version they know. `version` and `nodes_index` are the lowest of all
    gateways."""

    gateways: int
    ready: int
    version: int
    nodes_index: int


@dataclass(frozen=True, slots=True)
class HollowEnd:
    """The last report of a process. `late_ms`: number of wakes of its loop by lateness in milliseconds."""

    late_ms: dict[str, int]


@dataclass(frozen=True, slots=True)
class RestartGateway:
    """Order to a process: disconnect this gateway without notice and restart it with no state."""

    gateway: str


@dataclass(frozen=True, slots=True)
class EndHollow:
    """Order to a process: report the final states, then exit."""


Report = Taken | Served | FinalState | HollowState | HollowEnd
Order = RestartGateway | EndHollow
MESSAGE_TYPES: dict[str, type[Any]] = {
    cls.__name__: cls
    for cls in (Taken, Served, FinalState, HollowState, HollowEnd, RestartGateway, EndHollow)
}

FIELD_NAMES = {cls: {field.name for field in fields(cls)} for cls in MESSAGE_TYPES.values()}


def to_line(message: Report | Order) -> str:
    """Serialize a message, without a trailing newline."""
    return json.dumps({"type": type(message).__name__, **asdict(message)}, separators=(",", ":"))


def from_line(line: str) -> Report | Order | None:
    """Parse a message. Returns None for other lines, such as output of a library or a line truncated by a
    kill."""
    try:
        raw = json.loads(line)
    except ValueError:
        return None
    cls = MESSAGE_TYPES.get(raw.pop("type", "")) if isinstance(raw, dict) else None
    if cls is None or raw.keys() != FIELD_NAMES[cls]:
        return None
    message: Report | Order = cls(**raw)
    return message
