"""Accepts client connections, keeps them within their limits, and ends them at a drain or a stop."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable

import gevent
from gevent import socket

from stackrouter.core.counters import Counters
from stackrouter.core.gate import Gate
from stackrouter.core.memory import MemoryAccount
from stackrouter.net.client_connection import NEW_CONNECTION_GRACE_S, Connection
from stackrouter.net.client_socket import ClientSocket
from stackrouter.net.listen_socket import listen_at
from stackrouter.net.session import INBOX_BYTES, ClientTimeouts, Session
from stackrouter.net.socket_errors import AcceptError, accept_error
from stackrouter.ops.drain import Drain, refuses_pipelined

BACKLOG = 1024
MAX_REJECTED_LINGERING = 8  # lingering clients beyond the cap; they use reserved descriptors
SWEEP_S = 0.2  # interval between checks of all connections
# Above this fraction of the cap inactive connections are closed early, so clients hold no more themselves ...
EARLY_CLOSE_FRACTION = 0.45
MIN_INACTIVE_S = 0.02  # ... but not before this long after an answer
ROOM_POLL_S = 0.02
MAX_ROOM_WAIT_S = 0.5  # how long a new client waits for room before it gets the busy reply
ACCEPT_RETRY_S = 0.05
MAX_STOP_ACCEPT_FAILURES = 100  # failed accepts at a stop while clients in the backlog are let in


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

    def leave(self, at_exit: bool = False) -> bool:
        """At a stop: end connections on which nothing is owed and no request is on its way.

        `at_exit`: also those on which a request is on its way, since none is taken any more. Returns whether
        any connection is still open.
        """
        for connection in list(self.connections):
            if at_exit:
                connection.end_at_exit()
            elif connection.quiescent():
                connection.end()
        return bool(self.lingering or self.connections)

    def refuses_pipelined(self) -> bool:
        """Whether a request that arrives while an answer is owed on its connection is refused now."""
        now = time.monotonic()
        return any(refuses_pipelined(now, since) for since in (self.stopping_since, self.drain.since))

    def idle(self) -> bool:
        """Whether all requests taken are answered, and none is half read or unread."""
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
            (self._lingering_and_delivered() or next(iter(self.lingering))).close()

    def _lingering_and_delivered(self) -> Connection | None:
        """The connection that lingers longest of those whose clients have got all answers."""
        return next((connection for connection in self.lingering if connection.delivery.complete()), None)

    def _relieve_pressure(self) -> None:
        """Stay below the cap: clients that keep connections after a request would leave none to others."""
        while len(self.connections) > self.max_clients * EARLY_CLOSE_FRACTION and self._make_room():
            pass

    def _make_room(self, at_once: bool = False) -> bool:
        """End the longest inactive connection that may be ended; return whether there was one.

        `at_once`: a descriptor is needed now, so a lingering connection, whose client has seen its end, is
        closed; else the inactive connection itself is closed at once: its last answer was sent long ago.
        """
        if at_once and (ended := self._lingering_and_delivered()) is not None:
            ended.close()
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
                if connection.linger_over(now):
                    connection.close()
            if self.drain.since is not None:
                self.close_drained()
