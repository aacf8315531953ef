"""The pool of connections to storage nodes: one attempt at a time on each, idle ones kept for reuse."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

import gevent
from gevent import GreenletExit

from rackseam.interface import Outcome
from stackrouter.core.answer_stream import MAX_BUFFERED_BYTES, AnswerStream
from stackrouter.core.attempt_progress import Phase
from stackrouter.core.counters import Counters
from stackrouter.core.gate import Denial, Gate
from stackrouter.core.memory import MAX_USUAL_ANSWER_BYTES, AnswerMemory, MemoryLease
from stackrouter.core.model import Attempt, Exchange, Reply, Step
from stackrouter.core.violations import ViolationLog
from stackrouter.errors import NodeSocketsError, log_error, log_unexpected
from stackrouter.net.node_socket import DeniedError, NodeSocket
from stackrouter.net.reuse import Reuse
from stackrouter.net.ring import INITIAL_BYTES, Ring
from stackrouter.net.socket_errors import connect_failed_locally

log = logging.getLogger(__name__)

FRAMING_BYTES = 4 * 1024  # room for what follows a value: its end, figures on use and a load report
PASS_ON_INBOX_BYTES = 16 * 1024  # inbox of an answer that is too long to be stored whole
PASS_ON_BYTES = PASS_ON_INBOX_BYTES + MAX_BUFFERED_BYTES + PASS_ON_INBOX_BYTES  # the last is being written
MEMORY_POLL_S = 0.05  # an answer that waits for memory is checked for being passed on instead
EXPIRY_POLL_S = 0.01  # after an attempt's time, until the engine has decided what follows
# Stray bytes may follow right behind an answer, so nothing is written to its connection for this long.
STRAY_BYTES_WAIT_S = 0.002
IDLE_REUSE_FRACTION = 0.4  # fraction of the node's keep-alive time for which an idle connection is reused
IDLE_SWEEP_S = 0.5  # interval between checks of idle connections


def _now_us() -> int:
    return time.monotonic_ns() // 1000


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a node. `wire`: its protocol; `used_at`: when last used, in monotonic seconds;
    `leases`: memory for the answer that is being read, as far as it is larger than the initial inbox."""

    sock: NodeSocket
    wire: str
    inbox: Ring = field(default_factory=lambda: Ring(INITIAL_BYTES))
    used_at: float = 0.0
    leases: tuple[MemoryLease, ...] = ()


class Pool:
    """Carries out attempts at nodes over new or kept connections."""

    def __init__(self, max_sockets: int, memory: AnswerMemory, connect_timeout_us: int, keepalive_us: int,
                 counters: Counters, attempt_ended: Callable[[Attempt, Reply], None],
                 gate: Gate | None = None, violations: ViolationLog | None = None) -> None:  # fmt: skip
        """`memory`: for answers; what does not fit waits, unread, in its socket. `attempt_ended`: called with
        each reply; `gate`: asked before every write; `violations`: records what was written when."""
        self.gate, self.violations = gate or Gate(), violations
        self.max_sockets, self.counters, self.attempt_ended = max_sockets, counters, attempt_ended
        self.connect_timeout_s, self.idle_s = (
            connect_timeout_us / 1e6,
            keepalive_us / 1e6 * IDLE_REUSE_FRACTION,
        )
        self.written: Callable[[Attempt], None] | None = None  # called once an attempt is fully written
        # Called when an answer is too long to be stored: begins to pass it on; None: it must be stored.
        self.pass_on: Callable[[Attempt], AnswerStream | None] = lambda attempt: None
        self.memory, self.reuse = memory, Reuse()
        self._idle: dict[str, deque[Connection]] = {}
        self._count = 0  # sockets held, idle or not
        self._busy: dict[Attempt, tuple[gevent.Greenlet[..., None], Connection | None]] = {}
        gevent.spawn(self._sweep)

    # --- called by the engine; nothing here blocks

    def start(self, attempt: Attempt) -> None:
        self._busy[attempt] = (gevent.spawn(self._run, attempt), None)

    def abort(self, attempt: Attempt) -> None:
        greenlet, connection = self._busy.pop(attempt, (None, None))
        if connection is not None:
            self._close(connection)
        if greenlet is not None:
            greenlet.kill(block=False)

    def close_idle(self, node: str) -> None:
        for connection in self._idle.pop(node, ()):
            self._close(connection)

    def close_all_idle(self) -> None:
        for node in list(self._idle):
            self.close_idle(node)

    # --- an attempt

    def _run(self, attempt: Attempt) -> None:
        try:
            reply = self._exchange(attempt)
        except GreenletExit:
            return
        except Exception:
            self.counters.add("errors.attempt")
            log_unexpected(log, f"attempt at {attempt.node.name}")
            reply = Reply(Outcome.RESET if attempt.may_have_run else Outcome.MOOT)
        _, connection = self._busy.pop(attempt, (None, None))
        if connection is not None:
            self._close(connection)
        self.attempt_ended(attempt, reply)

    def _exchange(self, attempt: Attempt) -> Reply:
        try:
            connection, is_new = self._take_idle(attempt), False
            if connection is None:
                opened, is_new = self._connect(attempt), True
                if isinstance(opened, Outcome):
                    return Reply(opened)
                connection = opened
        except DeniedError as denied:
            return self._denied_reply(denied.denial)
        began, idle_s = time.monotonic(), None
        if not is_new:
            idle_s = began - connection.used_at
        try:
            reply = self._run_exchange(attempt, connection, is_new)
        except DeniedError as denied:
            # Enforces the drain rule: the node began to drain, was removed or moved while this waited.
            self.counters.add("attempts.not_written")
            if not denied.begun and not attempt.may_have_run:
                self._keep_idle(attempt, connection)
            return self._denied_reply(denied.denial, attempt.may_have_run)
        except OSError:
            if attempt.may_have_run:
                if attempt in self._busy:  # else it was cancelled here and not reset by the node
                    self.reuse.record_use(idle_s, True, began)
                return Reply(Outcome.RESET)
            # That an old connection had ended says nothing about the node.
            return Reply(Outcome.CONNECT_FAILED if is_new else Outcome.MOOT)
        self.reuse.record_use(idle_s, False, began)
        if attempt.stream is None or reply.outcome is Outcome.DONE:
            attempt.progress.phase = Phase.COMPLETE
        if connection.leases:
            reply = replace(reply, lease=connection.leases)
        if reply.exact and not len(connection.inbox):
            connection.inbox.release()
            connection.leases = ()
            self._keep_idle(attempt, connection)
        else:
            self.counters.add("nodes.spoilt")
        return reply

    def _denied_reply(self, denial: Denial, may_have_run: bool = False) -> Reply:
        self.counters.add(f"denied.{denial.value}")
        return Reply(Outcome.RESET if may_have_run else Outcome.MOOT, denial=denial.value)

    def _run_exchange(self, attempt: Attempt, connection: Connection, is_new: bool) -> Reply:
        """Run the attempt's exchange with the node. OSError, DeniedError: it was aborted."""
        exchange = attempt.request.exchange()
        wait_us = self.gate.stated_wait_us(attempt, _now_us())
        step: Step | Reply | None = exchange.start(wait_us, is_new)
        while not isinstance(step, Reply):
            if attempt.stream is not None:
                return self._pass_on(attempt, connection, exchange, attempt.stream)
            if step is not None:
                self._write(attempt, connection, step, wait_us)
            elif not connection.inbox.room or exchange.min_inbox_bytes > connection.inbox.bound:
                if not self._extend_inbox(attempt, connection, exchange):
                    self.counters.add("nodes.over_memory")
                    return Reply(Outcome.ERROR)
                continue
            elif not self._read_some(attempt, connection):
                continue
            step = exchange.received(connection.inbox)
            if step is None:
                attempt.progress.record_received(len(connection.inbox), exchange.value_bytes, _now_us())
        return step

    def _read_some(self, attempt: Attempt, connection: Connection) -> bool:
        """Read once into the inbox; False: nothing has come before the time of the attempt, whose answer has
        begun, was over. ConnectionResetError: the node has closed the connection."""
        if attempt.progress.phase is Phase.ANSWER_BEGUN:
            left_s = (attempt.deadline_us - _now_us()) / 1e6
            count = connection.sock.read_within(connection.inbox, max(EXPIRY_POLL_S, left_s))
            if count is None:
                return False
        else:
            count = connection.sock.read(connection.inbox)
        if not count:
            raise ConnectionResetError("node closed the connection")
        return True

    def _extend_inbox(self, attempt: Attempt, connection: Connection, exchange: Exchange) -> bool:
        """Make room for more of an answer, or begin to pass it on; False: no answer may be that large.

        If the exchange needs no more than the inbox can hold already, the answer's size is not known. A long
        value is stored whole only where requests behind it would be lost with it.
        """
        bound, min_bytes = connection.inbox.bound, exchange.min_inbox_bytes
        if min_bytes > bound:
            extended = min_bytes + FRAMING_BYTES
        elif bound < MAX_USUAL_ANSWER_BYTES:
            extended = MAX_USUAL_ANSWER_BYTES
        else:
            return False
        if extended > MAX_USUAL_ANSWER_BYTES and exchange.value_bytes is not None:
            if min_bytes > exchange.value_bytes + FRAMING_BYTES:
                return False  # not the value is that long, but what follows it
            fits = extended <= self.memory.large.max_bytes
            if not fits or not attempt.request.has_requests_behind():
                return self.pass_on(attempt) is not None
        lease = self._wait_for_memory(attempt, extended - bound)
        if lease is None:
            return attempt.stream is not None
        connection.leases += (lease,)
        connection.inbox.reserve(extended)
        return True

    def _wait_for_memory(self, attempt: Attempt, size: int) -> MemoryLease | None:
        """Wait for memory for an answer; None: no answer may be that large, or it is passed on meanwhile."""
        account = self.memory.account(size)
        attempt.progress.paused_here = True
        while size <= account.max_bytes and attempt.stream is None:
            lease = account.try_lease(size)
            if lease is not None:
                attempt.progress.resume(_now_us())
                return lease
            account.wait_until_freed(MEMORY_POLL_S)
        return None

    def _pass_on(self, attempt: Attempt, connection: Connection, exchange: Exchange,
                 stream: AnswerStream) -> Reply:  # fmt: skip
        """Move the value to its client as it comes, and return the reply once the answer is whole."""
        inbox, progress = connection.inbox, attempt.progress
        if progress.paused_here:
            progress.resume(_now_us())
        self._lease_pass_on_inbox(connection)
        stream.lease = connection.leases
        exchange.pass_on(inbox)
        while True:
            while part := exchange.next_part(inbox, stream.room):
                stream.put(part)
            step = exchange.received(inbox)
            if isinstance(step, Reply):
                return step
            if not stream.room:
                self._wait_for_client(attempt, stream)
                continue
            if not inbox.room:
                return Reply(Outcome.ERROR)  # more follows the value than belongs to an answer
            held = len(inbox)
            if not connection.sock.read(inbox):
                raise ConnectionResetError("node closed the connection")
            received_bytes = progress.received_bytes + len(inbox) - held
            progress.record_received(received_bytes, exchange.value_bytes, _now_us())

    def _lease_pass_on_inbox(self, connection: Connection) -> None:
        """Extend a small inbox if memory is free; a value also passes through a small one, only slower."""
        if connection.inbox.bound < PASS_ON_INBOX_BYTES:
            lease = self.memory.large.try_lease(PASS_ON_BYTES)
            if lease is not None:
                connection.leases += (lease,)
                connection.inbox.reserve(PASS_ON_INBOX_BYTES)

    def _wait_for_client(self, attempt: Attempt, stream: AnswerStream) -> None:
        """Wait, without reading from the node, until the client has taken more of the value."""
        attempt.progress.paused_here = True
        stream.wait_for_room()
        attempt.progress.resume(_now_us())

    def _write(self, attempt: Attempt, connection: Connection, step: Step, wait_us: int) -> None:
        attempt.progress.phase = Phase.WRITING
        connection.sock.write(attempt, step.data, partial(self._first_byte, attempt, step))
        if not step.may_run:
            return
        attempt.may_have_run = True
        attempt.progress.phase = Phase.WRITTEN
        if self.violations is not None:
            self.violations.written(attempt, wait_us, _now_us())
        if self.written is not None:
            self.written(attempt)

    def _first_byte(self, attempt: Attempt, step: Step, at_us: int) -> None:
        if step.may_run and self.violations is not None:
            self.violations.first_byte(attempt, at_us)

    # --- connections

    def _take_idle(self, attempt: Attempt) -> Connection | None:
        """A kept connection for the attempt, if there is one.

        Prefers the most recently used one whose last answer is `STRAY_BYTES_WAIT_S` old; else waits for the
        one that reaches this age first.
        """
        idle = self._idle.get(attempt.node.name) or deque()
        same = [c for c in idle if c.wire == attempt.request.wire]
        settled = time.monotonic() - STRAY_BYTES_WAIT_S
        for connection in sorted(same, key=lambda c: (c.used_at > settled, abs(c.used_at - settled))):
            if connection not in idle:
                continue  # taken during a wait
            idle.remove(connection)
            self._busy[attempt] = (self._busy[attempt][0], connection)
            if connection.used_at > settled:
                gevent.sleep(max(0.0, connection.used_at + STRAY_BYTES_WAIT_S - time.monotonic()))
                if attempt not in self._busy:
                    raise GreenletExit  # cancelled, and the connection closed, during the wait
            unused_s = time.monotonic() - connection.used_at
            usable = unused_s < self.idle_s and self.reuse.trusted(unused_s)
            if usable and connection.sock.address == attempt.address and connection.sock.nothing_to_read():
                return connection
            self._busy[attempt] = (self._busy[attempt][0], None)
            self._close(connection)
        return None

    def _connect(self, attempt: Attempt) -> Connection | Outcome:
        """Open a new connection, or return the outcome; MOOT: it failed for a reason other than the node."""
        attempt.progress.phase = Phase.CONNECTING
        denial = self.gate.may_open(attempt, _now_us())
        if denial is not None:
            raise DeniedError(denial, begun=False)
        try:
            if self._count >= self.max_sockets and not self._close_oldest_idle():
                raise OSError("all sockets for nodes are in use")
            sock = NodeSocket(self.gate, _now_us)
        except OSError as error:
            self.counters.add("nodes.over_sockets")
            log_error(log, NodeSocketsError(error, address=attempt.node.name), "attempt")
            return Outcome.MOOT
        connection = Connection(sock, attempt.request.wire)
        self._count += 1
        self._busy[attempt] = (self._busy[attempt][0], connection)
        try:
            sock.connect(attempt.address, self.connect_timeout_s)
        except OSError as error:
            if connect_failed_locally(error):
                self.counters.add("nodes.connect_failed_locally")
                return Outcome.MOOT
            self.counters.add("nodes.connect_failed")
            return Outcome.CONNECT_FAILED
        self.counters.add("nodes.connected")
        return connection

    def _keep_idle(self, attempt: Attempt, connection: Connection) -> None:
        if self._busy.pop(attempt, None) is None:
            return  # cancelled, and so closed, in the meantime
        if self.gate.may_keep(attempt.node, clean=not len(connection.inbox)) is not None:
            self._close(connection)
            return
        connection.used_at = time.monotonic()
        self._idle.setdefault(attempt.node.name, deque()).append(connection)

    def held(self) -> int:
        """The number of open sockets, idle or not."""
        return self._count

    def _close(self, connection: Connection) -> None:
        self._count -= 1
        connection.sock.end()

    def _close_oldest_idle(self) -> bool:
        held = [(c[0].used_at, name) for name, c in self._idle.items() if c]
        if not held:
            return False
        self._close(self._idle[min(held)[1]].popleft())
        return True

    def _sweep(self) -> None:
        """Close idle connections well before the node does, and those that it has closed."""
        while True:
            gevent.sleep(IDLE_SWEEP_S)
            oldest = time.monotonic() - self.idle_s
            for name, idle in list(self._idle.items()):
                if not idle:
                    del self._idle[name]  # node ids come and go for as long as the program runs
                for connection in [c for c in idle if c.used_at < oldest or not c.sock.nothing_to_read()]:
                    idle.remove(connection)
                    self._close(connection)
