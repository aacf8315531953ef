"""What fronts, core and net hand one another: requests, attempts, replies and results."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from rackseam.interface import NodeState, Outcome
from stackrouter.core.wheel import Timer


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Result:
    """The one final answer to a request. `value` is what the front's node side made of the node's answer."""

    verdict: Verdict
    value: Any = None
    pause_us: int = 0
    lease: object = None  # of the memory that a large value takes, given back with the last reference


@dataclass(frozen=True, slots=True)
class Reply:
    """How a node answered an attempt. `exact`: to the letter, so that its connection can carry the next."""

    outcome: Outcome
    value: Any = None
    used_percent: int | None = None
    elsewhere_units: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)
    exact: bool = False
    lease: object = None


@dataclass(frozen=True, slots=True)
class Step:
    """Bytes for a node. `effective`: once they are written whole, the request may have run."""

    data: bytes
    effective: bool


class Inbox(Protocol):
    """Received bytes that wait to be parsed."""

    def __len__(self) -> int: ...

    def peek(self, start: int, length: int) -> bytes: ...

    def skip(self, length: int) -> None: ...


class Exchange(Protocol):
    """One attempt's talk with a node, made by a front for each attempt."""

    needs: int  # bytes that what comes takes at least, as far as that is known

    def start(self, wait_us: int, fresh: bool) -> Step:
        """The first bytes; `fresh`: the first on this connection."""

    def received(self, inbox: Inbox) -> Step | Reply | None:
        """What follows from the bytes so far: more bytes to write, the end, or nothing yet."""


@dataclass(slots=True, eq=False)
class Request:
    """A client's request in the core's terms. `deadline_us` is when its client gives up."""

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
    wire: str  # which of the fronts' node wires carries it: connections are not shared between them
    repeat: bool = False
    write: bool = False
    port: int = 0  # the node port of that wire; 0: the one discovery gives
    # Kept by the engine alone:
    repeat_us: int | None = (
        None  # for so long after the first attempt that may have run another may; None: ever
    )
    ran_us: int | None = None  # when the first that has ended and may have run was sent
    id: str = ""
    attempts: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    answered: bool = False
    backstop: Timer | None = None

    def may_run(self, now_us: int) -> bool:
        """Whether one more attempt does no harm: none may have run, or its idempotency key is still known."""
        if self.repeat_us is None:
            return True
        ran = [a.sent_us for a in self.out.values() if a.may_have_run]
        if self.ran_us is not None:
            ran.append(self.ran_us)
        return not ran or now_us < min(ran) + self.repeat_us


@dataclass(slots=True, eq=False)
class Node:
    name: str
    address: tuple[str, int]
    shard: int
    state: NodeState

    @property
    def ready(self) -> bool:
        return self.state is NodeState.READY


@dataclass(slots=True, eq=False)
class Attempt:
    """`live` until its outcome is known; `may_have_run` once an effective step was written whole."""

    request: Request
    number: int
    node: Node
    sent_us: int
    deadline_us: int
    live: bool = True
    may_have_run: bool = False
    timeout: Timer | None = None

    def may_write(self, now_us: int) -> bool:
        """Guards the first byte: while it connected the list may have changed, the client may have gone (also
        where an attempt may not be cancelled), or the time in which a repeat does no harm may have passed."""
        r = self.request
        return self.live and not r.answered and self.node.ready and r.may_run(now_us)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.node.address
        return host, self.request.port or port


class Transport(Protocol):
    """Carries attempts to nodes; each ends by one call of the engine's `ended`, unless given up before."""

    def start(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> None:
        """End the attempt's connection now, before anything further is sent."""

    def close_idle(self, node: str) -> None: ...
