"""Data types of the decision module: settings, input events and output actions.

The decisions themselves are in control.py. Inconsistent settings and requests with an invalid size raise a
ValueError that names the field. All times are in microseconds; a request's size is in units.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed more than once.

    SAFE: repeating it has no effect. KEYED: nodes of one group (`RequestClass.group`) recognise a repeat by
    its key for `RequestClass.key_ttl_us`. UNSAFE: it must not be executed twice.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt ended.

    ERROR: the node answered with an error. FULL: the node rejected the attempt as overloaded. MOOT: the
    gateway never started the attempt. UNKNOWN: an outcome code that this version does not know.
    """

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    UNKNOWN = "unknown"


def _check(instance: object, positive: str, non_negative: str) -> None:
    """Raise a ValueError for the first field that is not finite or below its minimum; None is accepted.

    `positive` and `non_negative` are field names separated by spaces.
    """
    for names, minimum in ((positive, "above 0"), (non_negative, "0 or more")):
        for name in names.split():
            value = getattr(instance, name)
            if value is None:
                continue
            if not math.isfinite(value) or value < 0 or (value == 0 and minimum == "above 0"):
                raise ValueError(f"{name}: must be finite and {minimum}, not {value}")


class NodeState(Enum):
    """State of a node in the node list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a list update contains.

    DELTA: changed entries only. FULL: all nodes. CACHED: all nodes as of an earlier list. FAILED: the list
    could not be fetched.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request. `aim_us`: target latency; `deadline_us`: latest time for the final answer.

    `group`: the nodes among which a keyed request may be repeated: "all", those of one "zone", or else those
    of one shard. `ordered`: requests with the same key run one at a time, in order of arrival. `worth` and
    `late_worth`: value of an answer within the aim, and the part of it that a later answer still has.
    """

    aim_us: int
    deadline_us: int
    effect: Effect = Effect.SAFE
    group: str = "all"
    key_ttl_us: int = 0
    ordered: bool = False
    streaming: bool = False
    worth: float = 1.0
    late_worth: float = 0.0
    writes: bool = False

    def __post_init__(self) -> None:
        _check(self, "aim_us deadline_us", "key_ttl_us worth late_worth")


@dataclass(frozen=True, slots=True)
class Plan:
    """Service terms of a volume. Each figure is for one volume over all gateways and nodes; 0: none.

    `weight`: its share when a node is overloaded; `reserve_units_per_s`: rate served ahead of other volumes.
    `limit_units_per_s` with `burst_units`: a token bucket, which `tolerance_units` allows to be overdrawn.
    """

    weight: float = 1.0
    reserve_units_per_s: float = 0.0
    limit_units_per_s: float = 0.0
    burst_units: float = 0.0
    tolerance_units: float = 0.0
    usual_units_per_s: float = 0.0
    price: float = 1.0

    def __post_init__(self) -> None:
        _check(self, "weight", "reserve_units_per_s limit_units_per_s burst_units tolerance_units "
               "usual_units_per_s price")  # fmt: skip


@dataclass(frozen=True, slots=True)
class Settings:
    """Start settings of one gateway's decision module.

    `position`: index of this gateway among `gateways`. `step_us`: resolution of the batch clock.
    `max_units`, `mean_units`: largest and mean request size. `may_*`: actions that the gateway supports.
    `list_on_request`: the node list is sent only after a Subscribe; `ask_every_us`: longest time between two
    of them. A node is cold for `cold_us` after its start, when it has `cold_share` of its capacity and
    accepts `cold_bears_units` within any `fall_us`. `key_rest_us`: pause of an ordered key after an attempt
    that may still be running. Attempts after the first within `resend_span_us` are limited to `resend_free`
    plus `resend_ratio` of the requests; None: no such limit.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateways: int = 1
    position: int = 0
    seed: int = 0
    zone: int = 0
    step_us: int = 1000
    max_units: float = 1.0
    mean_units: float = 1.0
    meter_us: int = 0
    says_elsewhere: bool = False
    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    list_on_request: bool = False
    answer_slack_us: int = 0
    ask_every_us: int = 0
    drain_grace_us: int = 0
    cold_share: float = 1.0
    cold_us: int = 0
    cold_bears_units: float = 0.0
    fall_us: int = 0
    tip_multiple: float = 1.0
    key_rest_us: int = 0
    resend_free: float | None = None
    resend_ratio: float | None = None
    resend_span_us: int = 0
    retry_after_most_us: int = 0  # longest retry delay sent to a client; 0: none is sent

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.plans:
            raise ValueError("plans: at least one is needed")
        if self.gateways < 1 or not 0 <= self.position < self.gateways:
            raise ValueError("position: must lie within gateways")
        _check(self, "max_units mean_units max_attempts", "step_us meter_us answer_slack_us ask_every_us "
               "drain_grace_us cold_share cold_us cold_bears_units fall_us tip_multiple key_rest_us "
               "resend_free resend_ratio resend_span_us retry_after_most_us")  # fmt: skip


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the node list. `launched_us`: time of its start; 0: long ago."""

    node: str
    shard: int
    state: NodeState = NodeState.READY
    zone: int = 0
    kind: int = 0
    rating: float = 1.0
    launched_us: int = 0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A change to the node list."""

    kind: ListKind
    nodes: tuple[NodeEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client request; shard -1 is a new object that any node may take.

    `gateways`: number of gateways that share the volume; `time_left_us`: time until the request's deadline.
    """

    request: str
    request_class: int
    plan: int
    volume: str
    units: float
    shard: int
    gateways: int
    key: str
    time_left_us: int
    repeat: bool = False
    write: bool = False

    def __post_init__(self) -> None:
        _check(self, "", "units")


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of one attempt; `closed`: the request has been answered, by this attempt or before it.

    `elsewhere_units`: units of the volume that the node served for other gateways. `use_percent_plus_one`:
    the node's load in percent plus 1; 0: not reported.
    """

    request: str
    attempt: int
    node: str
    outcome: Outcome
    closed: bool
    rtt_us: int = 0
    elsewhere_units: float = 0.0
    use_percent_plus_one: int = 0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Began:
    """A streamed answer has started: attempt time-outs and the client deadline no longer apply."""

    request: str
    attempt: int
    node: str
    rtt_us: int = 0


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client no longer wants the request."""

    request: str


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by `SetTimer` has fired."""

    tag: str


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a `Probe`."""

    node: str
    outcome: Outcome
    rtt_us: int = 0
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """The tokens available under a volume's limit have changed; an empty volume: those of all volumes."""

    volume: str = ""
    plan: int = -1


@dataclass(frozen=True, slots=True)
class ProcessesChanged:
    """`process_count` processes of this gateway are serving; `rank` is the index of this one, from 0."""

    process_count: int
    rank: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway, sent by its `Message`."""

    sender: int
    payload: bytes


Event = (
    ListUpdate
    | Arrival
    | Answer
    | Began
    | Withdrawn
    | Timer
    | ProbeResult
    | PeerMessage
    | LimitsChanged
    | ProcessesChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; time-out 0: until the client gives up.

    `spends`: tokens of the volume's limit were spent on the request with this decision.
    """

    request: str
    node: str
    timeout_us: int = 0
    spends: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client that a retry does no harm; `pause_us`: delay to ask for, 0: none.

    `lacks_limit`: the request waited for tokens of its volume's limit.
    """

    request: str
    pause_us: int = 0
    lacks_limit: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client that the request failed and may have been executed."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `Timer` with this tag after `in_us`."""

    tag: str
    in_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for updates of the node list."""

    want: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the node list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a node without a client request; answered by a `ProbeResult`."""

    node: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connections to a node."""

    node: str


@dataclass(frozen=True, slots=True)
class Message:
    """A message of at most 256 bytes to one gateway, or to all with -1."""

    to: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the gateway's log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | FetchList | Probe | Disconnect | Message | Log
