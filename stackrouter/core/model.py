"""Types that fronts, core and net exchange: requests, attempts, replies and results."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from rackseam.buckets import Buckets, LimitPart
from rackseam.interface import Event, NodeState, Outcome, Settings
from stackrouter.core.answer_stream import AnswerStream
from stackrouter.core.attempt_progress import AttemptProgress
from stackrouter.core.wheel import Timer


class Verdict(Enum):
    """How a request ended for its client. The values are names of counters (`requests.*`)."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Result:
    """The final answer to a request. `value` is the node's answer as parsed by the front's `Exchange`."""

    verdict: Verdict
    value: Any = None
    pause_us: int = 0
    lease: object = None  # on the memory of the value; released when its last reference goes


@dataclass(frozen=True, slots=True)
class Reply:
    """How a node answered an attempt. `exact`: it followed the protocol exactly, so that its connection can
    be reused."""

    outcome: Outcome
    value: Any = None
    used_percent: int | None = None
    elsewhere_units: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)
    exact: bool = False
    lease: object = None
    denial: str = ""  # why the gate did not allow the send


@dataclass(frozen=True, slots=True)
class Step:
    """Bytes to write to a node. `may_run`: once all of them are written, the request may have run."""

    data: bytes
    may_run: bool


class Inbox(Protocol):
    """Buffer of received bytes that are not parsed yet."""

    def __len__(self) -> int: ...

    def peek(self, start: int, length: int) -> bytes: ...

    def skip(self, length: int) -> None: ...


class Exchange(Protocol):
    """The protocol exchange of one attempt with a node; a front creates one for each attempt."""

    min_inbox_bytes: int  # minimum size of the incoming answer in bytes, as far as it is known
    value_bytes: int | None  # length of the value that is arriving; None: unknown, or it cannot be passed on

    def start(self, wait_us: int, fresh: bool) -> Step:
        """Returns the first bytes to write; `fresh`: nothing was sent on this connection before."""

    def received(self, inbox: Inbox) -> Step | Reply | None:
        """Parses what has arrived: returns more bytes to write, the final reply, or None to wait for more.

        After `pass_on` the value of the reply is the part that `next_part` has not returned.
        """

    def pass_on(self, inbox: Inbox) -> None:
        """Begins to take the value out in parts; `value_bytes` must be known."""

    def next_part(self, inbox: Inbox, max_bytes: int) -> bytes:
        """Takes the next bytes of the value out of the inbox; empty if there are none, or only the last ones,
        which belong to the reply."""


def assume_connected() -> bool:
    """Default for `Request.client_hung_up` where there is no connection to inspect: never left."""
    return False


def take_pipelined() -> bool:
    """Default for `Session.refuses_pipelined` where there is no connection: requests are never refused."""
    return False


def nothing_behind() -> bool:
    """Default for `Request.has_requests_behind` where each answer stands for itself."""
    return False


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, independent of its protocol. `deadline_us`: when its client stops waiting."""

    request_class: int
    plan: int
    volume: str
    units: float
    shard: int
    gateways: int
    key: str
    deadline_us: int
    exchange: Callable[[], Exchange]
    answer: Callable[[Result], None]
    wire: str  # the node protocol that carries it; protocols do not share connections
    repeat: bool = False
    write: bool = False
    port: int = 0  # the node port of that protocol; 0: the port given by discovery
    trace_id: str = ""  # the id under which the client knows the request
    body_bytes: int = 0  # size of what is passed on to nodes, as far as it depends on the client
    client_hung_up: Callable[[], bool] = assume_connected  # whether its connection is closed now
    # Begins to answer with a value that is still arriving; called instead of `answer`, after which no other
    # answer follows. None: the front cannot do that.
    begin_answer: Callable[[AnswerStream], None] | None = None
    # Whether more of its connection has been read behind it: that could not be answered any more if its value
    # broke off after it had been begun.
    has_requests_behind: Callable[[], bool] = nothing_behind
    # Set by the engine only:
    # How long after the first attempt that may have run another may be sent; None: without limit.
    repeat_window_us: int | None = None
    first_run_us: int | None = None  # when the first attempt that has ended and may have run was sent
    units_spent: bool = False  # a node has received it, which spends its units of the volume's limit
    reservation: object = None  # the reservation of its units in a limit shared by processes
    memory: object = None  # the lease on the memory of its body
    id_claimed: bool = False  # no other request with its `trace_id` may run
    id: str = ""
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # attempts in flight, by number
    answered: bool = False
    client_gone_us: int | None = None  # when its client disconnected without waiting for the answer
    backstop: Timer | None = None
    attempt_log: list[str] = field(default_factory=list)  # its failed attempts, for the log


@dataclass(slots=True, eq=False)
class Node:
    """A node as discovery last listed it."""

    name: str
    address: tuple[str, int]
    shard: int
    state: NodeState
    unready_since_us: int = 0  # when the gateway learned that it is draining or gone

    def update_state(self, state: NodeState, now_us: int) -> None:
        """Takes over the state from discovery's list."""
        if state is not NodeState.READY and self.state is NodeState.READY:
            self.unready_since_us = now_us
        self.state = state


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at a node. `live`: its outcome is not known yet; `may_have_run`: a step with
    `may_run` was written whole; `stream`: its value, once that is being passed on."""

    request: Request
    number: int
    node: Node
    sent_us: int
    deadline_us: int
    live: bool = True
    may_have_run: bool = False
    timeout: Timer | None = None
    progress: AttemptProgress = field(default_factory=AttemptProgress)
    stream: AnswerStream | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.node.address
        return host, self.request.port or port


class SharedLimits(Buckets, Protocol):
    """Limits shared by several processes of this gateway; used by the engine's loop only."""

    settings: Settings

    def set_claim_callback(self, callback: Callable[[LimitPart, float, int], None]) -> None:
        """Registers a callback for claims of other processes: limit part, units (below 0: returned), time."""

    def reservation(self, now: int) -> object:
        """Returns the reservation of the request whose units have just been reserved in the buckets."""

    def may_spend(self, charge: object, now: int) -> bool:
        """Whether a request with this reservation may still be sent to a node."""

    def scan_processes(self, now: int) -> None:
        """Called before a batch of events: checks which other processes serve."""

    def exchange_claims(self, now: int) -> bool:
        """Called after a batch: claims the units that are needed. Returns whether `events` has more to
        handle."""

    def events(self) -> Sequence[Event]:
        """Changes to report to the decision module."""


class Transport(Protocol):
    """Sends attempts to nodes and records their progress. Each ends with one call of `Engine.attempt_ended`,
    unless aborted first."""

    def start(self, attempt: Attempt) -> None: ...

    def abort(self, attempt: Attempt) -> None:
        """Closes the attempt's connection at once, before anything more is sent."""

    def close_idle(self, node: str) -> None: ...
