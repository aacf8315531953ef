"""Listener of a control replica: runs a `ReplicaStateMachine` on the connections of gateways.

Data written in one iteration (turn) of the event loop is sent at its end, with one system call per
connection. Connections have no greenlets: a replica has more than a thousand, each with little traffic.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import gevent

from stackrouter.controlplane.codec import MAX_TO_REPLICA_BYTES, FrameDecoder
from stackrouter.controlplane.connection import READ, Connection
from stackrouter.controlplane.frames_pb2 import RejectReason
from stackrouter.controlplane.replica import (
    Close,
    ReloadState,
    ReplicaAction,
    ReplicaStateMachine,
    StartBarrier,
    Write,
)
from stackrouter.coord.port import ServingReport
from stackrouter.core.counters import Counters
from stackrouter.errors import FrameError, log_error, log_unexpected
from stackrouter.net.listen_socket import listen_at

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTS_PER_TURN = 64
ACCEPT_PAUSE_S = 0.05  # after accept failed, for example without free descriptors
MAX_LINGERING = 128  # finished connections whose peers may still read the reason
FLUSHES_PER_TURN = 8  # rounds of sending before other events are handled


@dataclass(slots=True)
class _Session:
    """An accepted connection."""

    connection: Connection
    decoder: FrameDecoder
    address: str


@dataclass(frozen=True, slots=True)
class ServerFigures:
    """Traffic of a server. `connections`: open now; byte counts are since the start."""

    connections: int
    bytes_in: int
    bytes_out: int


class ControlServer:
    """Serves gateways on a listening socket. `start_barrier` submits a read barrier, `reload_state` requests
    the state; the results go to the state machine through `call`."""

    def __init__(self, machine: ReplicaStateMachine, address: tuple[str, int], clock: Callable[[], int],
                 counters: Counters, start_barrier: Callable[[int, ServingReport], None],
                 reload_state: Callable[[], None]) -> None:  # fmt: skip
        self.machine, self.counters, self._clock = machine, counters, clock
        self._start_barrier, self._reload_state = start_barrier, reload_state
        self._loop: Any = gevent.get_hub().loop
        listening = listen_at(address, BACKLOG)
        self._listening = socket.socket(fileno=listening.detach())
        self._listening.setblocking(False)
        self.address: tuple[str, int] = self._listening.getsockname()
        self._accepting = self._loop.io(self._listening.fileno(), READ)
        self._accept_retry = self._loop.timer(ACCEPT_PAUSE_S)
        self._timer = self._loop.timer(0)
        self._timer_at = 0  # when the timer fires
        self._readers: dict[int, _Session] = {}
        self._unsent: set[int] = set()  # readers with data written since the last turn
        self._lingering: list[Connection] = []
        self._last_reader = 0
        self._turn_due = self._stopped = False
        self._closed_bytes_in = self._closed_bytes_out = 0

    def start(self) -> None:
        """Start accepting connections."""
        self._accepting.start(self._accept)
        self._wake()

    def stop(self) -> None:
        """Stop accepting and reject all readers. Returns immediately; connections may linger."""
        self._accepting.stop()
        self._accept_retry.stop()
        self._listening.close()
        self.call(self.machine.shut_down)
        self._stopped = True

    def idle(self) -> bool:
        """Whether all connections have ended."""
        return not self._readers and not any(connection.open for connection in self._lingering)

    def call(self, method: Callable[..., list[ReplicaAction]], *arguments: object) -> None:
        """Call a method of the state machine with the time as last argument, and carry out its actions."""
        self._carry_out(method(*arguments, self._clock()))
        self._schedule()

    def figures(self) -> ServerFigures:
        """Open connections, and traffic since the start."""
        connections = [reader.connection for reader in self._readers.values()]
        bytes_in = self._closed_bytes_in + sum(c.bytes_in for c in connections)
        bytes_out = self._closed_bytes_out + sum(c.bytes_out for c in connections)
        return ServerFigures(len(connections), bytes_in, bytes_out)

    # Events of sockets.

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                sock, peer = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno != errno.ECONNABORTED:  # such as no free descriptors: try again later
                    self.counters.add("control.accept_failed")
                    self._accepting.stop()
                    self._accept_retry.start(self._accepting.start, self._accept)
                return
            self._add_connection(sock, "{}:{}".format(*peer))

    def _add_connection(self, sock: socket.socket, peer: str) -> None:
        self._last_reader += 1
        reader = self._last_reader
        connection = Connection(sock, partial(self._received, reader), partial(self._disconnected, reader),
                                partial(self._progressed, reader))  # fmt: skip
        self._readers[reader] = _Session(connection, FrameDecoder(MAX_TO_REPLICA_BYTES), peer)
        self.counters.add("control.connections")
        self.call(self.machine.accepted, reader)

    def _received(self, reader: int, data: bytes) -> None:
        session = self._readers[reader]
        try:
            frames = session.decoder.feed(data)
        except FrameError as error:
            self.counters.add("control.bad_frames")
            log_error(log, type(error)(error.what, address=session.address), "control plane")
            self.call(self.machine.unreadable, reader, error)
            return
        now = self._clock()
        for frame in frames:
            if actions := self.machine.received(reader, frame, now):
                self._carry_out(actions)
        self._schedule()

    def _disconnected(self, reader: int, why: str) -> None:
        self._forget(reader)
        self.counters.add("control.disconnects")
        self.call(self.machine.disconnected, reader)

    def _progressed(self, reader: int) -> None:
        self.call(self.machine.unsent_bytes_changed, reader, self._readers[reader].connection.queued_bytes)

    # Actions of the state machine.

    def _carry_out(self, actions: list[ReplicaAction]) -> None:
        """Carry out actions; written data is queued until the end of the turn."""
        for action in actions:
            match action:
                case Write():
                    if (session := self._readers.get(action.reader)) is not None:
                        session.connection.send(action.data)
                        self._unsent.add(action.reader)
                case Close():
                    self._close(action)
                case StartBarrier():
                    self._start_barrier(action.barrier, action.report)
                case ReloadState():
                    self._reload_state()

    def _close(self, action: Close) -> None:
        if (session := self._readers.get(action.reader)) is None:
            return
        session.connection.finish()
        self._forget(action.reader)
        reason = RejectReason.Name(action.reason).lower()
        self.counters.add(f"control.rejected_{reason}")
        log.info("control.closed address=%s reason=%s: %s", session.address, reason, action.detail)
        self._lingering = [connection for connection in self._lingering if connection.open]
        if len(self._lingering) < MAX_LINGERING:
            self._lingering.append(session.connection)
        else:
            session.connection.close()

    def _forget(self, reader: int) -> None:
        session = self._readers.pop(reader)
        self._unsent.discard(reader)
        self._closed_bytes_in += session.connection.bytes_in
        self._closed_bytes_out += session.connection.bytes_out

    def _schedule(self) -> None:
        """Schedule a turn when there is data to send or the state machine's next tick is due."""
        if self._unsent:
            self._wake()
        elif not self._turn_due and self.machine.next_at() < self._timer_at:
            self._set_timer()

    def _wake(self) -> None:
        if not self._turn_due and not self._stopped:
            self._turn_due = True
            self._loop.run_callback(self._turn)

    def _set_timer(self) -> None:
        self._timer_at = self.machine.next_at()
        delay_s = (self._timer_at - self._clock()) / 1e6
        if delay_s <= 0:
            self._wake()
            return
        self._timer.stop()
        self._timer = self._loop.timer(delay_s)
        self._timer.start(self._wake)

    def _turn(self) -> None:
        self._turn_due = False
        try:
            self._carry_out(self.machine.tick(self._clock()))
            self._send()
        except Exception:  # keep serving; a gateway that misses a change notices it by its heartbeats
            self.counters.add("errors.control")
            log_unexpected(log, "control plane")
        if self._unsent:
            self._wake()
        else:
            self._set_timer()

    def _send(self) -> None:
        """Send written data, and data that the state machine writes in response to the progress."""
        for _ in range(FLUSHES_PER_TURN):
            unsent, self._unsent = self._unsent, set()
            if not unsent:
                return
            now = self._clock()
            for reader in unsent:
                if (session := self._readers.get(reader)) is None:
                    continue
                session.connection.flush()
                if reader in self._readers and (
                    actions := self.machine.unsent_bytes_changed(reader, session.connection.queued_bytes, now)
                ):
                    self._carry_out(actions)
