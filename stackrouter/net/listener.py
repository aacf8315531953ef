"""Client connections: a listener, and for each connection a reader, a writer and a ring for each of them.

What the bytes mean is a front's matter: it gives each connection a session.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import select
import time
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent import GreenletExit, socket
from gevent.event import Event

from stackrouter.core.counters import Counters
from stackrouter.core.model import Inbox
from stackrouter.errors import defect
from stackrouter.net.door import listen_at
from stackrouter.net.ring import Ring
from stackrouter.ops.drain import Drain

log = logging.getLogger(__name__)

BACKLOG = 1024
INBOX = 160 * 1024  # a value of 64 KiB in a command with its other parts
OUTBOX = 64 * 1024
STALL_S = 10.0  # an answer nobody reads may stand still this long
LINGER_S = 0.5  # after a farewell, what still comes is read this long so that the client can get it
LINGER_BYTES = 512 * 1024  # ... and no more than this
SWEEP_S = 0.2  # how often connections are looked over
YOUNG_S = 0.1  # a new connection may be about to send its request: it is not closed for another's sake
PRESSED_PART = (
    0.45  # past this part of the cap, the inactive are closed sooner: clients hold no more of their own
)
REST_S = 0.02  # ... but not before this long after an answer
ROOM_STEP_S = 0.02
ROOM_S = 0.5  # how long a new client waits for room before it is told to come again
EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
EXHAUSTED_REST_S = 0.05


class MalformedError(Exception):
    """The stream cannot be followed any further: `farewell` is sent and the connection closed."""

    def __init__(self, farewell: bytes = b"") -> None:
        super().__init__(farewell)
        self.farewell = farewell


@dataclass(frozen=True, slots=True)
class Patience:
    """How long a client may take; past it the connection is closed."""

    request_s: (
        float  # from connecting to its first whole request, and from a later one's first byte to its last
    )
    idle_s: float  # between requests


class Session(Protocol):
    """A front's side of one client connection."""

    def received(self, inbox: Inbox) -> None:
        """Take whole requests out of the inbox; raises MalformedError."""

    def output(self) -> bytes:
        """The next bytes for the client; empty when there are none now."""

    def pending(self) -> int:
        """Requests taken whose answers have not been handed to `output`."""

    def full(self) -> bool:
        """No more is read until answers have left."""

    def gone(self) -> None:
        """The client went away."""


class Connection:
    def __init__(self, sock: socket.socket, listener: Listener) -> None:
        self.sock, self.listener = sock, listener
        self.inbox, self.outbox = Ring(INBOX), Ring(OUTBOX)
        self.active_at = self.half_since = time.monotonic()
        self.ending = self.closed = self._half = self._asked = False
        self._wake, self._room = Event(), Event()
        # Weak: what is closed is freed at once, and not only when the garbage is looked through.
        this = weakref.ref(self)

        def wake() -> None:
            if (connection := this()) is not None:
                connection.wake()

        self.session = listener.session(wake)
        # The writer comes with the first answer: many connections never ask anything.
        self._greenlets = [gevent.spawn(self._guard, self._read)]

    def answered(self) -> bool:
        return not self.session.pending() and not len(self.outbox)

    def idle(self) -> bool:
        return self.answered() and not len(self.inbox)

    def stalled(self, now: float) -> bool:
        """Guards against clients that never send or finish a request, or never read an answer."""
        patience = self.listener.patience
        if len(self.outbox):
            return now - self.active_at > STALL_S
        if not self._asked or (len(self.inbox) and not self.session.full()):
            return not self.ending and now - self.half_since > patience.request_s
        return self.idle() and now - self.active_at > patience.idle_s and not self._readable()

    def spare(self, now: float) -> bool:
        """May be closed to make room: nothing is owed on it, and nothing is about to be asked."""
        young = not self._asked and now - self.active_at <= YOUNG_S
        return self.answered() and not young and not self._readable()

    def drained(self, now: float) -> bool:
        """Closed now for a drain: nothing is owed on it and nothing is on its way (see ops.drain)."""
        drain = self.listener.drain
        if drain.since is None or self.ending:
            return False
        owed = not self.answered()
        return drain.closes(now, owed=owed, readable=not owed and (len(self.inbox) > 0 or self._readable()),
                            asked=self._asked, active_at=self.active_at)  # fmt: skip

    def _readable(self) -> bool:
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.listener.forget(self)
        self.session.gone()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for greenlet in self._greenlets:
            if greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)

    def _guard(self, work: Callable[[], None]) -> None:
        """One bad connection never ends the program."""
        try:
            work()
        except (OSError, GreenletExit):
            pass
        except Exception:
            self.listener.counters.add("errors.connection")
            defect(log, "client connection")
        self.close()

    def _read(self) -> None:
        while not self.closed:
            if self.session.full():
                # Backpressure: what the client sends meanwhile stays in its socket.
                self._room.clear()
                self._room.wait()
            elif not self.inbox.receive(self.sock):
                return
            held = len(self.inbox)
            try:
                self.session.received(self.inbox)
            except MalformedError as error:
                self.listener.counters.add("clients.malformed")
                self._farewell(error.farewell)
                return
            self._active()
            taken = len(self.inbox) < held
            if taken or (self._asked and not self._half):  # a request was taken, or a later one has begun
                self.half_since = self.active_at
            self._asked = self._asked or taken
            self._half = len(self.inbox) > 0

    def _farewell(self, data: bytes) -> None:
        """What was taken before is answered first; then the reason, then the end."""
        self.ending = True
        with gevent.Timeout(STALL_S, TimeoutError()):
            while self.session.pending() or len(self.outbox):
                self._room.clear()
                self._room.wait()
            self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_WR)
        # Closing with unread bytes would reset the connection and lose the reason.
        with gevent.Timeout(LINGER_S, TimeoutError()):
            rest = LINGER_BYTES
            while rest > 0 and (more := self.sock.recv(65536)):
                rest -= len(more)

    def _write(self) -> None:
        rest = memoryview(b"")
        while not self.closed:
            self._wake.clear()
            while rest or (rest := memoryview(self.session.output())):
                rest = rest[self.outbox.put(rest) :]
                if not self.outbox.room:
                    break
            self._room.set()
            if len(self.outbox):
                self.outbox.send(self.sock)
                self._active()
                continue
            if self.listener.stopping and not self.ending and self.idle():
                return
            if self.drained(time.monotonic()):  # the end follows the last answer at once
                self.listener.counters.add("clients.drained")
                return
            self._wake.wait()

    def wake(self) -> None:
        self._wake.set()
        if len(self._greenlets) == 1 and not self.closed:
            self._greenlets.append(gevent.spawn(self._guard, self._write))

    def _active(self) -> None:
        self.active_at = time.monotonic()
        self.listener.active(self)


class Listener:
    def __init__(self, address: tuple[str, int], most: int, counters: Counters,
                 session: Callable[[Callable[[], None]], Session], patience: Patience,
                 busy: bytes, inherited: int | None = None, drain: Drain | None = None) -> None:  # fmt: skip
        """`inherited`: a listening socket's descriptor, used instead of binding `address`; else ListenError.

        At an upgrade the platform holds the clients' socket and both processes share it: binding the address
        again would fail, and a socket of our own would shut the old process's door.
        """
        self.most, self.counters, self.session = most, counters, session
        self.patience, self.busy = patience, busy
        self.connections: dict[Connection, None] = {}  # the longest inactive first
        self._full_at = 0.0  # since when no client could be let in
        self.stopping = False
        self.drain = drain or Drain()
        self._sock = listen_at(address, BACKLOG, inherited)
        self.address = self._sock.getsockname()
        self._greenlets = [gevent.spawn(self._accept), gevent.spawn(self._sweep)]

    def stop(self) -> None:
        """Take no new connection, close those between requests; the others close with their last answer."""
        self.stopping = True
        for greenlet in self._greenlets:
            greenlet.kill()
        with contextlib.suppress(OSError):
            self._sock.setblocking(False)
            while True:  # whoever the system has let in already may have sent a request
                self._admit(self._sock.accept()[0])
                gevent.sleep(0)  # sockets that were closed are given back in the event loop's turn
        self._sock.close()
        for connection in list(self.connections):
            connection.wake()

    def close_drained(self) -> None:
        """Close what a drain lets go now: at standby, and on each sweep while it lasts."""
        now = time.monotonic()
        for connection in [c for c in self.connections if c.drained(now)]:
            self.counters.add("clients.drained")
            connection.close()

    def idle(self) -> bool:
        """All that was taken is answered; half a request does not count as taken."""
        return all(connection.answered() for connection in self.connections)

    def forget(self, connection: Connection) -> None:
        self.connections.pop(connection, None)

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
                if error.errno in EXHAUSTED:
                    self._make_room()
                    gevent.sleep(EXHAUSTED_REST_S)
                continue
            self._admit(sock)
            self._relieve()
            gevent.sleep(0)  # a burst of clients must not keep those before them from being read

    def _wait_for_room(self) -> None:
        """At the cap the next client waits to be let in until one can be closed that nothing is owed to.

        Once that has lasted, those who wait are let in to be told to come again.
        """
        while len(self.connections) >= self.most and not self._make_room():
            self._full_at = self._full_at or time.monotonic()
            if time.monotonic() - self._full_at > ROOM_S:
                return
            gevent.sleep(ROOM_STEP_S)
        self._full_at = 0.0

    def _admit(self, sock: socket.socket) -> None:
        try:
            if len(self.connections) >= self.most and not self._make_room():
                # The system has let the client in, so its request counts as taken: it is told.
                self.counters.add("clients.over_sockets")
                sock.setblocking(False)
                sock.send(self.busy)
                sock.close()
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[Connection(sock, self)] = None
            self.counters.add("clients.connected")
        except OSError:
            self.counters.add("errors.accept")
            sock.close()

    def _relieve(self) -> None:
        """Guards the clients' own bound: who asks and keeps its connection leaves others none."""
        while len(self.connections) > self.most * PRESSED_PART and self._make_room():
            pass

    def _make_room(self) -> bool:
        """Close the longest inactive that may be."""
        now = time.monotonic()
        for connection in self.connections:
            if now - connection.active_at <= REST_S:
                break
            if connection.spare(now):
                self.counters.add("clients.closed_for_room")
                connection.close()
                return True
        return False

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            self._relieve()
            now = time.monotonic()
            for connection in [c for c in self.connections if c.stalled(now)]:
                self.counters.add("clients.stalled")
                connection.close()
            if self.drain.since is not None:
                self.close_drained()
