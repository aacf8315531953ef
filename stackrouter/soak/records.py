"""What clients, nodes and discovery saw: what a soak is judged by. Times are monotonic seconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client went away before its answer
    BROKEN = "broken"  # the connection ended without a whole answer
    SILENT = "silent"  # no answer by the client's time and half a second more
    KILLED = "killed"  # as `broken` or `silent`, by a SIGKILL that excuses it


@dataclass(slots=True)
class Arrival:
    """An attempt at a node. `first_at`, `last_at`: its first and last byte; `told_s`: what `d` said."""

    node: str
    address: str
    first_at: float
    last_at: float
    told_s: float
    is_open: Callable[[], bool]  # its connection has not been ended by the gateway
    ended_at: float | None = None  # answered, or its connection ended
    ran: bool = False
    beside: str = ""  # the node of an attempt that was still out on an open connection


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, its resend on a new connection included."""

    id: str
    gateway: int
    request_class: str
    sent_at: float
    deadline_s: float
    ending: Ending = Ending.OPEN
    ended_at: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Life:
    """One process of a gateway, and what was done to it; `ended_at`: it ended by itself."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None
    ended_at: float | None = None
    killed_at: float | None = None


@dataclass(frozen=True, slots=True)
class Notice:
    """An agent was told that a node drains or is gone. `had_at`: from when on it counts as told to a sound
    agent's gateway; `late_by_s`: what a slow agent adds at most."""

    node: str
    address: str
    had_at: float
    until: float  # up again from then on
    late_by_s: float


class Lateness:
    """How late this process itself ran: what it timed then may be late by as much."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=20_000)

    def add(self, at: float, late_s: float) -> None:
        self._samples.append((at, late_s))

    def around(self, at: float, span_s: float = 0.5) -> float:
        """The most within `span_s` of that time."""
        return max((late for when, late in self._samples if abs(when - at) <= span_s), default=0.0)

    def p99_ms(self) -> float:
        ordered = sorted(late for _, late in self._samples)
        return round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1) if ordered else 0.0


@dataclass(slots=True)
class Records:
    """All of a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    lives: dict[int, list[Life]] = field(default_factory=dict)
    notices: dict[int, list[Notice]] = field(default_factory=dict)  # by gateway
    half_clients_unheard: int = 0  # clients with half a request that heard nothing in their time
    lateness: Lateness = field(default_factory=Lateness)
    unix_offset_s: float = 0.0  # Unix time less monotonic time: logs have the former
