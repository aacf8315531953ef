"""Client connections: the listener, and for each connection a reader and a writer with a ring buffer each.

The protocol is up to a front, which provides a session for each connection.
"""

from __future__ import annotations

import contextlib
import logging
import time
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent import GreenletExit, socket
from gevent.event import Event

from stackrouter.core.counters import Counters
from stackrouter.core.gate import ClientState, Gate
from stackrouter.core.memory import MemoryAccount, MemoryLease
from stackrouter.core.model import Inbox
from stackrouter.errors import log_unexpected
from stackrouter.net.client_socket import ClientSocket
from stackrouter.net.listen_socket import listen_at
from stackrouter.net.ring import INITIAL_BYTES, Ring
from stackrouter.net.socket_errors import AcceptError, accept_error
from stackrouter.ops.drain import Drain, refuses_pipelined

log = logging.getLogger(__name__)

BACKLOG = 1024
INBOX_BYTES = 160 * 1024  # a value of 64 KiB in a command with its other parts
OUTBOX_BYTES = 4 * 1024  # collects short answers; what is longer is written without a copy
MAX_MEMORY_WAIT_S = 0.5  # how long a client with a large request waits for memory to read it
WRITE_STALL_S = 10.0  # how long an answer may make no progress because the client does not read
# Lingering close: after sending has been shut down, what still arrives is discarded within these limits.
LINGER_S = 0.5
LINGER_BYTES = 512 * 1024
MAX_REJECTED_LINGERING = 8  # lingering clients beyond the cap; they use reserved descriptors
# How often a paused client is checked for a hangup: 0.1 s after it left, no new work may start for it.
HANGUP_POLL_S = 0.04
# A partial request may be about to be completed, so its connection is not closed yet to make room.
PARTIAL_REQUEST_GRACE_S = 0.5
SWEEP_S = 0.2  # interval between checks of all connections
# A new connection may be about to send its first request, so it is not closed yet to make room.
NEW_CONNECTION_GRACE_S = 0.1
# Above this fraction of the cap inactive connections are closed early, so clients hold no more themselves ...
EARLY_CLOSE_FRACTION = 0.45
MIN_INACTIVE_S = 0.02  # ... but not before this long after an answer
ROOM_POLL_S = 0.02
MAX_ROOM_WAIT_S = 0.5  # how long a new client waits for room before it gets the busy reply
ACCEPT_RETRY_S = 0.05
MAX_STOP_ACCEPT_FAILURES = 100  # failed accepts at a stop while clients in the backlog are let in


class MalformedError(Exception):
    """The stream cannot be parsed any further: `final_reply` is sent and the connection closed."""

    def __init__(self, final_reply: bytes = b"") -> None:
        super().__init__(final_reply)
        self.final_reply = final_reply


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Time limits for a client; its connection is closed when one is exceeded.

    `request_s`: from connecting to the first complete request, and from the first byte of a later request to
    its last; `idle_s`: between requests.
    """

    request_s: float
    idle_s: float


class Session(Protocol):
    """A front's side of one client connection."""

    # Set by the connection: whether the client has closed, even if not yet read.
    client_hung_up: Callable[[], bool]
    # Set by the connection: whether a request behind one that is not answered yet is refused at once.
    refuses_pipelined: Callable[[], bool]
    # Minimum size in bytes of the request that `received` found incomplete; not more than the inbox holds:
    # unknown.
    min_inbox_bytes: int

    def received(self, inbox: Inbox) -> None:
        """Take complete requests out of the inbox. MalformedError: the stream cannot be parsed."""

    def output(self) -> bytes:
        """The next bytes for the client; empty if there are none now."""

    def pending(self) -> int:
        """The number of requests taken whose answers `output` has not returned yet."""

    def full(self) -> bool:
        """Whether reading has to pause until answers have been sent."""

    def on_disconnect(self) -> None:
        """The client has disconnected."""


class Connection:
    """One client connection: its socket, ring buffers, session, and reader and writer greenlets."""

    def __init__(self, sock: ClientSocket, listener: Listener) -> None:
        self._sock, self.listener = sock, listener
        self.inbox, self.outbox = Ring(INITIAL_BYTES), Ring(OUTBOX_BYTES)
        self._inbox_leases: tuple[MemoryLease, ...] = ()  # for the part of the inbox over INITIAL_BYTES
        self._unsent = memoryview(b"")  # the rest of an answer that is not in the outbox yet
        self.active_at = self.request_since = time.monotonic()
        self.ending = self.closed = self._partial = self._requested = self._input_paused = False
        self.lingering_since: float | None = None  # when sending was shut down; no requests are taken after
        self._discarded = 0
        self._wake, self._output_progress = Event(), Event()
        # Weak, so that a closed connection is freed at once and not only by the cyclic garbage collector.
        self_ref = weakref.ref(self)

        def wake() -> None:
            if (connection := self_ref()) is not None:
                connection.wake()

        self.session = listener.session(wake)
        self.session.client_hung_up = sock.hung_up
        self.session.refuses_pipelined = listener.refuses_pipelined
        # The writer is started with the first answer: many connections never send a request.
        self._greenlets = [gevent.spawn(self._guard, self._read)]

    def _writing(self) -> bool:
        """Whether an answer has been begun and not yet been written whole."""
        return bool(len(self.outbox) or self._unsent)

    def answered(self) -> bool:
        return not self.session.pending() and not self._writing()

    def settled(self) -> bool:
        """Every request taken has its answer, and no complete request is queued behind paused reading."""
        return self.answered() and not self._input_paused

    def idle(self) -> bool:
        return self.settled() and not len(self.inbox)

    def quiescent(self) -> bool:
        """No answer is owed, and the socket holds nothing that may be a request."""
        return self.settled() and not self._sock.readable()

    def stalled(self, now: float) -> bool:
        """Whether a limit is exceeded: for clients that never send or finish a request or read an answer."""
        timeouts = self.listener.timeouts
        if self._writing():
            return now - self.active_at > WRITE_STALL_S
        if not self.settled():
            return False  # requests taken are answered first, whatever partial one follows
        if not self._requested or len(self.inbox):
            return not self.ending and now - self.request_since > timeouts.request_s
        return self.idle() and now - self.active_at > timeouts.idle_s and not self._sock.readable()

    def closable_for_room(self, now: float) -> bool:
        """Whether it may be closed to make room: no answer is owed and no request is about to arrive."""
        partial_counts = now - self.active_at <= PARTIAL_REQUEST_GRACE_S
        return not self.ending and self.listener.gate.may_close(self._state(now, partial_counts)) is None

    def drained(self, now: float) -> bool:
        """Whether a drain closes it now: no answer is owed and nothing is on its way (see ops.drain)."""
        drain = self.listener.drain
        if drain.since is None or self.ending:
            return False
        owed = not self.settled()
        readable = not owed and (len(self.inbox) > 0 or self._sock.readable())
        return drain.should_close(now, owed=owed, readable=readable,
                                  asked=self._requested, active_at=self.active_at)  # fmt: skip

    def _is_new(self, now: float) -> bool:
        return not self._requested and now - self.active_at <= NEW_CONNECTION_GRACE_S

    def _state(self, now: float, partial_counts: bool = True) -> ClientState:
        """The state that the gate decides by. `partial_counts`: count a partial request as unread bytes."""
        owed = not self.settled()
        unread = not owed and ((partial_counts and len(self.inbox) > 0) or self._sock.readable())
        return ClientState(owed, unread, self._is_new(now))

    def finish(self) -> None:
        """At a stop: end the connection once no answer is owed and nothing is on its way."""
        if not self.ending:
            self.end()

    def end(self, planned: bool = True) -> None:
        """End the connection with a lingering close, if the gate allows it.

        `planned`: not while received bytes are unread; else the stream cannot be parsed, or the client never
        completes a request.

        Sending is shut down, and what still arrives is discarded until the client closes too. Closing with
        unread bytes would reset the connection, and the last answer could be lost with it. A request that
        crosses the close is never taken: its client sees the end without an answer and sends it again.
        """
        if self.closed or self.lingering_since is not None:
            return
        now, gate = time.monotonic(), self.listener.gate
        denial = gate.may_close(self._state(now)) if planned else gate.may_break(self._state(now))
        if denial is not None:
            self.listener.counters.add(f"denied.close_{denial.value}")
            return
        self.lingering_since = now
        self.ending = True
        self.session.on_disconnect()
        try:
            self._sock.end_sending()
        except OSError:
            self.close()
            return
        self.listener.linger(self)
        self._output_progress.set()

    def close(self) -> None:
        """Close both directions at once."""
        if self.closed:
            return
        self.closed = True
        self.listener.forget(self)
        self.session.on_disconnect()
        self._sock.close()
        for greenlet in self._greenlets:
            if greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)

    def _guard(self, work: Callable[[], None]) -> None:
        """Run a greenlet's work; a defect in one connection never ends the program."""
        try:
            work()
        except (OSError, GreenletExit):
            pass
        except Exception:
            self.listener.counters.add("errors.connection")
            log_unexpected(log, "client connection")
        else:
            if work == self._write and self.lingering_since is not None:
                return  # the reader closes it
        self.close()

    def _read(self) -> None:
        while not self.closed:
            self._input_paused = self.session.full()
            if self._input_paused:
                # Backpressure: what the client sends meanwhile stays in the socket.
                if not self._wait_for_output(lambda: not self.session.full()):
                    return
                self._wake.set()  # the writer may have seen all answered while reading was still paused
            elif not self.inbox.room or self.session.min_inbox_bytes > self.inbox.bound:
                if self.inbox.bound >= INBOX_BYTES:
                    return self._end_with_reply(b"")  # larger than any valid request
                if not self._extend_inbox():
                    return
                continue
            elif not self._sock.read(self.inbox):
                return
            if self.lingering_since is not None:
                return self._discard()
            held = len(self.inbox)
            try:
                self.session.received(self.inbox)
            except MalformedError as error:
                self.listener.counters.add("clients.malformed")
                return self._end_with_reply(error.final_reply)
            if not len(self.inbox):
                self.inbox.release()
                self._inbox_leases = ()
            self._touch()
            taken = len(self.inbox) < held
            if taken or (self._requested and not self._partial):  # a request was taken, or a later one began
                self.request_since = self.active_at
            self._requested = self._requested or taken
            self._partial = len(self.inbox) > 0

    def _extend_inbox(self) -> bool:
        """Extend the inbox for a request that it cannot hold.

        False: there was no memory for it in `MAX_MEMORY_WAIT_S`, and the connection has been ended with the
        busy reply; or the client has disconnected.
        """
        known = self.session.min_inbox_bytes
        bound = min(known, INBOX_BYTES) if known > self.inbox.bound else INBOX_BYTES
        lease = self._wait_for_memory(bound - self.inbox.bound)
        if lease is not None:
            self._inbox_leases += (lease,)
            self.inbox.reserve(bound)
        elif self.lingering_since is not None:
            self._discard()
        elif not self._sock.hung_up():
            self.listener.counters.add("clients.over_memory")
            self._end_with_reply(self.listener.busy)
        return lease is not None

    def _wait_for_memory(self, size: int) -> MemoryLease | None:
        """Wait without reading for `size` bytes of memory; None: there were none in time, or the connection
        has ended meanwhile."""
        memory, until = self.listener.memory, time.monotonic() + MAX_MEMORY_WAIT_S
        while (lease := memory.try_lease(size)) is None:
            memory.wait_until_freed(HANGUP_POLL_S)
            ended = self.lingering_since is not None or self._sock.hung_up()
            if ended or time.monotonic() > until:
                return None
        return lease

    def _wait_for_output(self, enough: Callable[[], bool]) -> bool:
        """Wait without reading until enough answers have been sent; False: the client has disconnected."""
        while not enough() and self.lingering_since is None:
            self._output_progress.clear()
            self._output_progress.wait(HANGUP_POLL_S)
            if self._sock.hung_up():
                self.listener.counters.add("clients.gone_unread")
                return False
        return True

    def _end_with_reply(self, data: bytes) -> None:
        """Answer the requests taken before, send `data`, then end the connection."""
        self.ending = True
        if not self._wait_for_output(self.answered):
            return
        if self.lingering_since is None:
            with gevent.Timeout(WRITE_STALL_S, TimeoutError()):
                self._sock.write_all(data)
            self.end(planned=False)
        self._discard()

    def _discard(self) -> None:
        """Read and drop what arrives after sending has been shut down."""
        while not self.closed and self._discarded <= LINGER_BYTES:
            self._discarded += len(self.inbox)
            self.inbox.skip(len(self.inbox))
            self.inbox.release()
            self._inbox_leases = ()
            if not self._sock.read(self.inbox):
                return

    def _write(self) -> None:
        while not self.closed:
            self._wake.clear()
            self._fill_outbox()
            self._output_progress.set()
            if self._writing():
                self._write_some()
                self._touch()
                continue
            if self.listener.stopping_since is not None:
                self.finish()
            if self.drained(time.monotonic()):  # end right after the last answer
                self.listener.counters.add("clients.drained")
                self.end()
            if self.lingering_since is not None:
                return
            self._wake.wait()

    def _fill_outbox(self) -> None:
        """Collect answers in the outbox, so that short ones are written together."""
        while self._unsent or (unsent := memoryview(self.session.output())):
            if not self._unsent:
                self._unsent = unsent
            self._unsent = self._unsent[self.outbox.put(self._unsent) :]
            if not self.outbox.room:
                return

    def _write_some(self) -> None:
        """Write once: from the outbox, or what is longer than the outbox as it is."""
        if len(self._unsent) > OUTBOX_BYTES and not len(self.outbox):
            self._unsent = self._unsent[self._sock.write_part(self._unsent) :]
        else:
            self._sock.write(self.outbox)

    def wake(self) -> None:
        self._wake.set()
        if len(self._greenlets) == 1 and not self.closed and self.lingering_since is None:
            self._greenlets.append(gevent.spawn(self._guard, self._write))

    def _touch(self) -> None:
        self.active_at = time.monotonic()
        self.listener.active(self)


class Listener:
    """Accepts client connections up to a cap, keeps them within their limits and ends them at a stop."""

    def __init__(self, address: tuple[str, int], max_clients: int, counters: Counters,
                 session: Callable[[Callable[[], None]], Session], timeouts: ClientTimeouts,
                 busy: bytes, inherited: int | None = None, drain: Drain | None = None,
                 gate: Gate | None = None, memory: MemoryAccount | None = None) -> None:  # fmt: skip
        """`session`: makes a session, given a function that wakes the writer.
        `busy`: reply to clients over the cap, or over the memory. `inherited`: descriptor of a listening
        socket, used instead of binding `address`. `memory`: for requests while they are read, as far as they
        are longer than INITIAL_BYTES. ListenError: the address cannot be bound.

        At an upgrade the platform holds the listening socket and both processes share it: binding the address
        again would fail, and a new socket would stop the old process from accepting clients.
        """
        self.max_clients, self.counters, self.session = max_clients, counters, session
        self.timeouts, self.busy = timeouts, busy
        self.connections: dict[Connection, None] = {}  # longest inactive first
        self.lingering: dict[Connection, None] = {}  # ended here but not yet by the client; oldest first
        self._full_since = 0.0  # since when no client could be accepted; 0: not full
        self.stopping_since: float | None = None
        self.drain, self.gate = drain or Drain(), gate or Gate()
        self.memory = memory or MemoryAccount(max_clients * INBOX_BYTES)
        self._inherited = inherited is not None
        self._sock = listen_at(address, BACKLOG, inherited)
        self.address = self._sock.getsockname()
        self._greenlets = [gevent.spawn(self._accept), gevent.spawn(self._sweep)]

    def stop(self) -> None:
        """Accept no more connections and end idle ones; the others end with their last answer."""
        self.stopping_since = time.monotonic()
        self._greenlets[0].kill()
        self._sock.setblocking(False)
        tries = MAX_STOP_ACCEPT_FAILURES
        while tries:  # clients in the backlog may have sent a request already
            try:
                self._admit(self._sock.accept()[0])
            except OSError as error:
                kind = accept_error(error)
                if kind in (AcceptError.EMPTY, AcceptError.BROKEN):
                    break  # no greenlet runs between this empty accept and the close
                tries -= 1
                if kind is AcceptError.EXHAUSTED:
                    self._make_room(at_once=True)
            gevent.sleep(0)  # closed sockets are released by the event loop
        if self._inherited:
            # Closing it would drop this process's locks on it, by which the other processes see that this one
            # still serves (sharing.presence): leave it open until the process ends.
            self._sock.detach()
        else:
            self._sock.close()
        self._finish()
        gevent.spawn_later(NEW_CONNECTION_GRACE_S, self._finish)  # new clients may be about to send

    def _finish(self) -> None:
        for connection in list(self.connections):
            connection.finish()

    def close_drained(self) -> None:
        """Close the connections that the drain allows now: at standby, and on each sweep during the drain."""
        now = time.monotonic()
        for connection in [c for c in self.connections if c.drained(now)]:
            self.counters.add("clients.drained")
            connection.end()

    def leave(self, also_unread: bool = False) -> bool:
        """At the exit: end connections on which no answer is owed, partial requests or not.

        `also_unread`: also those with bytes to read, since nothing is taken any more. Returns whether any
        connection is still open.
        """
        for connection in list(self.connections):
            if connection.settled() if also_unread else connection.quiescent():
                connection.end(planned=False)
        return bool(self.lingering or self.connections)

    def refuses_pipelined(self) -> bool:
        """Whether a request that arrives while an answer is owed on its connection is refused now."""
        now = time.monotonic()
        return any(refuses_pipelined(now, since) for since in (self.stopping_since, self.drain.since))

    def idle(self) -> bool:
        """Whether all requests taken are answered and nothing is unread; partial requests do not count."""
        return all(connection.quiescent() for connection in self.connections)

    def linger(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.lingering[connection] = None

    def forget(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        self.lingering.pop(connection, None)

    def active(self, connection: Connection) -> None:
        if self.connections.pop(connection, connection) is None:
            self.connections[connection] = None

    def _accept(self) -> None:
        while True:
            self._wait_for_room()
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                self.counters.add("errors.accept")
                kind = accept_error(error)
                if kind is AcceptError.EXHAUSTED:
                    self._make_room(at_once=True)
                # Whatever is wrong with the listening socket, accepted clients are served.
                gevent.sleep(0 if kind is AcceptError.TRANSIENT else ACCEPT_RETRY_S)
                continue
            self._admit(sock)
            self._relieve_pressure()
            gevent.sleep(0)  # a burst of clients must not delay reading from earlier ones

    def _wait_for_room(self) -> None:
        """At the cap, wait until a connection to which no answer is owed can be closed.

        After `MAX_ROOM_WAIT_S` waiting clients are accepted nevertheless, to get the busy reply.
        """
        while self._full() and not self._make_room(at_once=True):
            self._full_since = self._full_since or time.monotonic()
            if time.monotonic() - self._full_since > MAX_ROOM_WAIT_S:
                return
            gevent.sleep(ROOM_POLL_S)
        self._full_since = 0.0

    def _full(self) -> bool:
        return self.held() >= self.max_clients

    def held(self) -> int:
        """The number of client sockets in use."""
        return len(self.connections) + len(self.lingering)

    def _admit(self, sock: socket.socket) -> None:
        try:
            over = self._full() and not self._make_room(at_once=True)
            client = ClientSocket(sock)
            connection = Connection(client, self)
        except OSError:
            self.counters.add("errors.accept")
            sock.close()
            return
        self.connections[connection] = None
        if not over:
            self.counters.add("clients.connected")
            return
        # The system has accepted the client, so its request counts as taken and is owed a reply. The request
        # may still be on its way; closing before it arrives would reset the connection and lose the reply.
        self.counters.add("clients.over_sockets")
        with contextlib.suppress(OSError):
            client.write_all(self.busy)
        connection.end(planned=False)
        while (
            len(self.connections) + len(self.lingering) > self.max_clients + MAX_REJECTED_LINGERING
            and self.lingering
        ):
            next(iter(self.lingering)).close()

    def _relieve_pressure(self) -> None:
        """Stay below the cap: clients that keep connections after a request would leave none to others."""
        while len(self.connections) > self.max_clients * EARLY_CLOSE_FRACTION and self._make_room():
            pass

    def _make_room(self, at_once: bool = False) -> bool:
        """End the longest inactive connection that may be ended; return whether there was one.

        `at_once`: a descriptor is needed now, so a lingering connection, whose client has seen its end, is
        closed; else the inactive connection itself is closed at once: its last answer was sent long ago.
        """
        if at_once and self.lingering:
            next(iter(self.lingering)).close()
            return True
        at = time.monotonic()
        for connection in self.connections:
            if at - connection.active_at <= MIN_INACTIVE_S:
                break
            if connection.closable_for_room(at):
                self.counters.add("clients.closed_for_room")
                if at_once:
                    connection.close()
                else:
                    connection.end(planned=False)
                return True
        return False

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self._relieve_pressure()
            now = time.monotonic()
            for connection in [c for c in self.connections if c.stalled(now)]:
                self.counters.add("clients.stalled")
                if connection.answered():
                    connection.end(planned=False)
                else:
                    connection.close()  # the client never reads its answer
            for connection in list(self.lingering):
                if now - (connection.lingering_since or now) > LINGER_S:
                    connection.close()
            if self.drain.since is not None:
                self.close_drained()
