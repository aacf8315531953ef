"""The single place that decides whether something may be sent, repeated, opened, kept, taken or closed now.

It is consulted immediately before each system call, and again after every wait: for a connect, for an answer
to settle, for room in a full send buffer. The methods return None if the operation is allowed, else a
`Denial` with the reason. No I/O; the time is an argument. net.node_socket writes to nodes and
net.client_connection closes clients only if the gate allows it (tests/test_gate.py checks the imports and
the calls).

docs/design/send-gate.md gives the reason for each rule.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from rackseam.interface import NodeState

if TYPE_CHECKING:
    from stackrouter.core.model import Attempt, Node, Request

# At a planned stop the platform may kill the process once the longest deadline, counted as at most 3 s, and
# another 0.7 s have passed since SIGTERM.
KILL_AFTER_US: Final = 700_000
MAX_COUNTED_DEADLINE_US: Final = 3_000_000
# The process may be delayed this long between reading its clock and writing, so whatever must be finished
# before the kill is due this much earlier.
MAX_SCHEDULING_DELAY_US: Final = 150_000
# The process exits by itself this long before the kill, after the last answers have been written.
EXIT_MARGIN_US: Final = 50_000


class Denial(enum.Enum):
    """Why an operation is not allowed now. The values are names of counters (`denied.*`)."""

    ATTEMPT_OVER = "attempt_over"  # its outcome is known, or it was abandoned
    CLIENT_GONE = "client_gone"  # the client has been answered or has disconnected
    DEADLINE_PASSED = "deadline_passed"
    NODE_NOT_READY = "node_not_ready"  # draining or removed
    NODE_UNKNOWN = "node_unknown"
    NODE_MOVED = "node_moved"  # the connection leads to the node's previous address
    WRONG_SHARD = "wrong_shard"
    REPEAT_WINDOW_OVER = "repeat_window_over"  # an attempt may have run, and nodes may have forgotten its key
    ATTEMPTS_USED = "attempts_used"
    UNCLEAN = "unclean"  # the connection holds bytes that belong to no attempt
    STOPPING = "stopping"  # the answer could come after the kill at a planned stop
    CHARGE_EXPIRED = "charge_expired"  # its units of a shared limit were reserved too long ago
    ANSWER_OWED = "answer_owed"
    ANSWER_UNSENT = "answer_unsent"  # the system holds a part of it, for which the client has no room yet
    REQUEST_UNREAD = "request_unread"  # received bytes may be a request
    JUST_CONNECTED = "just_connected"  # a new client may be about to send a request


@dataclass(frozen=True, slots=True)
class ClientState:
    """The state of a client's connection. `answer_owed`: a request was read and its answer is not yet written
    whole; `unread`: bytes wait in the inbox or the socket; `just_connected`: it has only just connected and
    sent no request; `unsent`: the system holds answers for which the client has no room yet."""

    answer_owed: bool
    unread: bool
    just_connected: bool = False
    unsent: bool = False


class Gate:
    """The rules. The only state is the time of the kill at a planned stop.

    `charge_valid`: called with a request's charge and the time; whether the units reserved for the request
    may still be spent. It matters where other processes of this gateway draw on the same limits.
    """

    def __init__(self) -> None:
        self._kill_us: int | None = None
        self.charge_valid: Callable[[object, int], bool] = lambda charge, now_us: True

    # --- requests

    def stop(self, now_us: int, longest_deadline_us: int) -> None:
        """Called at SIGTERM: every later request is to be answered before the process may be killed."""
        self._kill_us = now_us + min(longest_deadline_us, MAX_COUNTED_DEADLINE_US) + KILL_AFTER_US

    def answer_by_us(self, deadline_us: int) -> int:
        """The time by which a request with this deadline has to be answered."""
        if self._kill_us is None:
            return deadline_us
        return min(deadline_us, self._kill_us - MAX_SCHEDULING_DELAY_US)

    def takes_no_more(self, now_us: int) -> bool:
        """Whether every request that arrives now is refused, as its answer could come after the kill."""
        return self._kill_us is not None and now_us >= self._kill_us - MAX_SCHEDULING_DELAY_US

    def must_exit(self, now_us: int) -> bool:
        """Whether the process has to exit now, to be gone before the kill."""
        return self._kill_us is not None and now_us >= self._kill_us - EXIT_MARGIN_US

    def may_take(self, deadline_us: int, now_us: int) -> Denial | None:
        """Whether a request that was read may be processed; if not, it is refused at once."""
        by_us = self.answer_by_us(deadline_us)
        if by_us > now_us:
            return None
        return Denial.DEADLINE_PASSED if by_us == deadline_us else Denial.STOPPING

    # --- attempts

    def may_repeat(self, request: Request, now_us: int) -> Denial | None:
        """Whether another attempt is safe: no earlier one may have run, or nodes still know the request's
        idempotency key."""
        if request.repeat_window_us is None:
            return None
        started_us = [attempt.sent_us for attempt in request.in_flight.values() if attempt.may_have_run]
        if request.first_run_us is not None:
            started_us.append(request.first_run_us)
        if not started_us or now_us < min(started_us) + request.repeat_window_us:
            return None
        return Denial.REPEAT_WINDOW_OVER

    def may_start(self, request: Request, node: Node | None, max_attempts: int, now_us: int) -> Denial | None:
        """Whether an attempt at this node may be started; `max_attempts`: of one request."""
        if request.answered:
            return Denial.CLIENT_GONE
        if node is None:
            return Denial.NODE_UNKNOWN
        if request.shard not in (-1, node.shard):
            return Denial.WRONG_SHARD
        if request.attempts >= max_attempts:
            return Denial.ATTEMPTS_USED
        if now_us >= request.deadline_us:
            return Denial.DEADLINE_PASSED
        return None

    def may_open(self, attempt: Attempt, now_us: int) -> Denial | None:
        """Whether a connection may be opened, or an idle one reused, for this attempt."""
        request = attempt.request
        if not attempt.live:
            return Denial.ATTEMPT_OVER
        if request.answered:
            return Denial.CLIENT_GONE
        if now_us >= attempt.deadline_us:
            return Denial.DEADLINE_PASSED
        if attempt.node.state is not NodeState.READY:
            return Denial.NODE_NOT_READY
        return self.may_repeat(request, now_us)

    def may_write(
        self, attempt: Attempt, address: tuple[str, int], begun: bool, client_hung_up: bool, now_us: int
    ) -> Denial | None:
        """Whether the attempt's next byte may be written to a connection that leads to `address`.

        `client_hung_up`: the client's connection is closed, even if the session has not noticed it yet.
        `begun`: the first byte has been written. During a drain a send counts from its first byte, so the
        node's state is checked only before that byte; a node starts a request at its last byte, so everything
        else is checked every time.
        """
        if client_hung_up:
            return Denial.CLIENT_GONE
        request = attempt.request
        needs_no_charge = request.units_spent or request.reservation is None
        if not needs_no_charge and not self.charge_valid(request.reservation, now_us):
            return Denial.CHARGE_EXPIRED
        if not begun:
            if attempt.address != address:
                return Denial.NODE_MOVED
            return self.may_open(attempt, now_us)
        if not attempt.live:
            return Denial.ATTEMPT_OVER
        if request.answered:
            return Denial.CLIENT_GONE
        if now_us >= attempt.deadline_us:
            return Denial.DEADLINE_PASSED
        return None if attempt.may_have_run else self.may_repeat(request, now_us)

    def stated_wait_us(self, attempt: Attempt, now_us: int) -> int:
        """The wait that is stated to the node: never more than the time that the client has left."""
        return max(0, min(attempt.deadline_us, attempt.request.deadline_us) - now_us)

    def may_keep(self, node: Node, clean: bool) -> Denial | None:
        """Whether a connection to a node may carry another attempt."""
        if not clean:
            return Denial.UNCLEAN
        return Denial.NODE_NOT_READY if node.state is NodeState.GONE else None

    # --- clients

    def may_close(self, client: ClientState) -> Denial | None:
        """Whether a client's connection may be closed in a planned way: because it is idle, to make room, or
        for a drain or a stop."""
        if client.answer_owed:
            return Denial.ANSWER_OWED
        if client.unread:
            return Denial.REQUEST_UNREAD
        if client.unsent:
            return Denial.ANSWER_UNSENT
        return Denial.JUST_CONNECTED if client.just_connected else None

    def may_break(self, client: ClientState) -> Denial | None:
        """Whether a client's connection may be closed although bytes are unread, because its stream cannot be
        parsed or it never completes a request. Requests that were read are answered first; what the system
        still holds follows, as the connection lingers."""
        return Denial.ANSWER_OWED if client.answer_owed else None
