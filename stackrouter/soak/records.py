"""Records of clients, nodes and agents, from which a soak is checked. Times are monotonic seconds."""

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
    LEFT = "left"  # the client disconnected before the response
    BROKEN = "broken"  # the connection ended without a complete response
    INCOMPLETE = "incomplete"  # a value began and did not come whole
    SILENT = "silent"  # no response within half a second after the client's deadline
    KILLED = "killed"  # like `broken` or `silent`, but excused by a SIGKILL of the gateway


@dataclass(slots=True)
class Arrival:
    """An attempt as a node received it. `first_at`, `last_at`: times of its first and last byte;
    `remaining_s`: the time until the deadline that its field `d` gives."""

    node: str
    address: str
    first_at: float
    last_at: float
    remaining_s: float
    is_open: Callable[[], bool]  # whether the gateway has left its connection open
    ended_at: float | None = None  # when it was answered or its connection ended
    ran: bool = False
    concurrent_with: str = ""  # node of an earlier attempt still in progress on an open connection
    spoilt_by_node: bool = False  # its node reset the connection, so that the answer could not be completed
    cut_off_at: float | None = None  # when the gateway closed its connection within a value that was arriving


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, including its resend on a new connection."""

    id: str
    gateway: int
    request_class: str
    sent_at: float
    deadline_s: float
    ending: Ending = Ending.OPEN
    ended_at: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    sent_again: bool = False  # its client had left, and sent it again at `sent_at`


@dataclass(frozen=True, slots=True)
class Life:
    """Lifetime of one gateway process. `ended_at`: exit after SIGTERM, without a SIGKILL."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None
    ended_at: float | None = None
    killed_at: float | None = None


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice to an agent that a node drains or was removed. `notified_at`: when it counts as delivered to
    the gateway of a healthy agent; `late_by_s`: the most that a slow agent adds."""

    node: str
    address: str
    notified_at: float
    until: float  # the node is up again from this time on
    late_by_s: float


class Lateness:
    """Scheduling delay of this process, by which times that it recorded may be late."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=20_000)

    def add(self, at: float, late_s: float) -> None:
        """Records a delay that was measured at this time."""
        self._samples.append((at, late_s))

    def around(self, at: float, span_s: float = 0.5) -> float:
        """The largest delay in seconds within `span_s` of that time."""
        return max((late for when, late in self._samples if abs(when - at) <= span_s), default=0.0)

    def p99_ms(self) -> float:
        """99th percentile of the recorded delays in milliseconds; 0.0 without samples."""
        ordered = sorted(late for _, late in self._samples)
        return round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1) if ordered else 0.0


@dataclass(slots=True)
class Records:
    """All records of a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    lives: dict[int, list[Life]] = field(default_factory=dict)
    notices: dict[int, list[Notice]] = field(default_factory=dict)  # by gateway
    half_requests_unanswered: int = 0  # stalled half requests that got no response in time
    lateness: Lateness = field(default_factory=Lateness)
    unix_offset_s: float = 0.0  # Unix time minus monotonic time, to match times in logs
