"""Splits one request's latency into parts whose sum is the latency to the microsecond.

tokens   waiting in the gateway while the head of its volume's queue lacked tokens
room     waiting in the gateway for anything else: capacity at the node, a connection, its turn
node     at the node, before a core took the request
served   at the node after that, including the network time in both directions
lost     in attempts that were not served, from the send to the outcome
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Split(NamedTuple):
    """The parts of a latency, in microseconds."""

    tokens: int = 0
    room: int = 0
    node: int = 0
    served: int = 0
    lost: int = 0


@dataclass(slots=True)
class TokenWait:
    """Total time for which the head of one volume's queue at one shard has lacked tokens."""

    done_us: int = 0
    began_at: int = 0
    ends_at: int = 0

    def held(self, now: int, until: int) -> None:
        """The head lacks tokens until `until` by current knowledge; this replaces the previous estimate."""
        self.done_us, self.began_at, self.ends_at = self.total(now), now, until

    def total(self, now: int) -> int:
        """Microseconds up to `now`."""
        return self.done_us + max(0, min(now, self.ends_at) - self.began_at)


@dataclass(slots=True, eq=False)
class RequestState:
    """What is known of one request so far.

    `phase_since`: when its current phase began; `open_attempt`: number of the attempt under way, or -1.
    """

    gateway: int
    volume: str
    plan: int
    request_class: int
    units: float
    shard: int
    write: bool
    taken_at: int
    token_wait: TokenWait
    excess_units: float = 0.0
    phase_since: int = 0
    token_wait_before_us: int = 0
    open_attempt: int = -1
    sends: int = 0
    node: str = ""
    written_at: int = 0
    tokens: int = 0
    room: int = 0
    queued: int = 0
    served: int = 0
    lost: int = 0
    service_us: int = 0  # service time of the successful attempt; 0: none was served
    over: bool = False

    def __post_init__(self) -> None:
        self.phase_since, self.token_wait_before_us = self.taken_at, self.token_wait.total(self.taken_at)

    def _add_gateway_wait(self, at: int) -> None:
        waited = at - self.phase_since
        tokens = min(waited, self.token_wait.total(at) - self.token_wait_before_us)
        self.tokens += tokens
        self.room += waited - tokens
        self.phase_since = at

    def sent(self, at: int, number: int, node: str) -> None:
        if self.open_attempt >= 0:  # the trace does not contain the end of the previous attempt
            self.lost += at - self.phase_since
            self.phase_since = at
        else:
            self._add_gateway_wait(at)
        self.open_attempt, self.node, self.written_at = number, node, 0
        self.sends += 1

    def written(self, at: int) -> None:
        if self.open_attempt >= 0 and not self.written_at:
            self.written_at = at

    def ended(self, at: int, served: bool, began_at: int) -> None:
        """The attempt has ended. `began_at`: estimated time at which a core of the node took it."""
        if self.open_attempt < 0:
            return
        if served:
            written = min(max(self.written_at, self.phase_since), at)
            began = min(max(began_at, written), at)
            self.room += written - self.phase_since
            self.queued += began - written
            self.served += at - began
            self.service_us = at - began
        else:
            self.lost += at - self.phase_since
        self.phase_since, self.open_attempt = at, -1
        self.token_wait_before_us = self.token_wait.total(at)

    def closed(self, at: int) -> Split:
        """The request is answered, or its client has disconnected. Returns the parts of its latency."""
        if self.open_attempt >= 0:
            self.lost += at - self.phase_since
            self.phase_since = at
        else:
            self._add_gateway_wait(at)
        self.over = True
        return Split(self.tokens, self.room, self.queued, self.served, self.lost)
