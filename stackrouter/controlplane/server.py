"""The listener of a control replica: gateways' connections round a `ReplicaStateMachine`.

What is written in one turn of the event loop goes out in one system call a connection, at the end of the
turn. A connection has no greenlet of its own: a replica has more than a thousand of them, and each says
little.
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

from stackrouter.controlplane.codec import MOST_TO_REPLICA, FrameDecoder
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
from stackrouter.errors import FrameError, defect, tell
from stackrouter.net.door import listen_at

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTS_A_TURN = 64
ACCEPT_PAUSE_S = 0.05  # after the system refused one more connection
MOST_LINGERING = 128  # that were ended and may still read why
FLUSHES_A_TURN = 8  # rounds of sending before others are heard again


@dataclass(slots=True)
class _Reader:
    """One accepted connection."""

    connection: Connection
    decoder: FrameDecoder
    address: str


@dataclass(frozen=True, slots=True)
class ServerFigures:
    """`connections`: open now; the others since the start."""

    connections: int
    bytes_in: int
    bytes_out: int


class ControlServer:
    """`start_barrier` hands in a read barrier, `reload_state` asks for the state; what comes of them goes to
    the state machine through `call`."""

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
        self._accept_again = self._loop.timer(ACCEPT_PAUSE_S)
        self._alarm = self._loop.timer(0)
        self._alarm_at = 0  # when it goes off
        self._readers: dict[int, _Reader] = {}
        self._unsent: set[int] = set()  # readers that were written to since the last turn
        self._lingering: list[Connection] = []
        self._last_reader = 0
        self._turn_due = self._stopped = False
        self._ended_bytes_in = self._ended_bytes_out = 0

    def start(self) -> None:
        """Take connections."""
        self._accepting.start(self._accept)
        self._wake()

    def stop(self) -> None:
        """Take no more connections, and send away those there are. Returns at once: they may linger."""
        self._accepting.stop()
        self._accept_again.stop()
        self._listening.close()
        self.call(self.machine.shut_down)
        self._stopped = True

    def idle(self) -> bool:
        """Whether all connections have ended."""
        return not self._readers and not any(connection.open for connection in self._lingering)

    def call(self, method: Callable[..., list[ReplicaAction]], *arguments: object) -> None:
        """Call a method of the state machine, with the time as its last argument, and do what it returns."""
        self._carry_out(method(*arguments, self._clock()))
        self._schedule()

    def figures(self) -> ServerFigures:
        """What the connections have carried."""
        connections = [reader.connection for reader in self._readers.values()]
        bytes_in = self._ended_bytes_in + sum(c.bytes_in for c in connections)
        bytes_out = self._ended_bytes_out + sum(c.bytes_out for c in connections)
        return ServerFigures(len(connections), bytes_in, bytes_out)

    # What is heard.

    def _accept(self) -> None:
        for _ in range(ACCEPTS_A_TURN):
            try:
                sock, peer = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno != errno.ECONNABORTED:  # no descriptors: try again when some may be free
                    self.counters.add("control.accept_failed")
                    self._accepting.stop()
                    self._accept_again.start(self._accepting.start, self._accept)
                return
            self._take(sock, "{}:{}".format(*peer))

    def _take(self, sock: socket.socket, peer: str) -> None:
        self._last_reader += 1
        reader = self._last_reader
        connection = Connection(sock, partial(self._received, reader), partial(self._disconnected, reader),
                                partial(self._progressed, reader))  # fmt: skip
        self._readers[reader] = _Reader(connection, FrameDecoder(MOST_TO_REPLICA), peer)
        self.counters.add("control.connections")
        self.call(self.machine.accepted, reader)

    def _received(self, reader: int, data: bytes) -> None:
        known = self._readers[reader]
        try:
            frames = known.decoder.feed(data)
        except FrameError as error:
            self.counters.add("control.bad_frames")
            tell(log, type(error)(error.what, address=known.address), "control plane")
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
        self.call(self.machine.queued, reader, self._readers[reader].connection.queued)

    # What is to be done.

    def _carry_out(self, actions: list[ReplicaAction]) -> None:
        """Writes are queued until the end of the turn."""
        for action in actions:
            match action:
                case Write():
                    if (known := self._readers.get(action.reader)) is not None:
                        known.connection.send(action.data)
                        self._unsent.add(action.reader)
                case Close():
                    self._close(action)
                case StartBarrier():
                    self._start_barrier(action.barrier, action.report)
                case ReloadState():
                    self._reload_state()

    def _close(self, action: Close) -> None:
        if (known := self._readers.get(action.reader)) is None:
            return
        known.connection.finish()
        self._forget(action.reader)
        reason = RejectReason.Name(action.reason).lower()
        self.counters.add(f"control.rejected_{reason}")
        log.info("control.closed address=%s reason=%s: %s", known.address, reason, action.detail)
        self._lingering = [connection for connection in self._lingering if connection.open]
        if len(self._lingering) < MOST_LINGERING:
            self._lingering.append(known.connection)
        else:
            known.connection.close()

    def _forget(self, reader: int) -> None:
        known = self._readers.pop(reader)
        self._unsent.discard(reader)
        self._ended_bytes_in += known.connection.bytes_in
        self._ended_bytes_out += known.connection.bytes_out

    def _schedule(self) -> None:
        """See to it that a turn comes when there is something to send, or when the state machine is due."""
        if self._unsent:
            self._wake()
        elif not self._turn_due and self.machine.next_at() < self._alarm_at:
            self._set_alarm()

    def _wake(self) -> None:
        if not self._turn_due and not self._stopped:
            self._turn_due = True
            self._loop.run_callback(self._turn)

    def _set_alarm(self) -> None:
        self._alarm_at = self.machine.next_at()
        left_s = (self._alarm_at - self._clock()) / 1e6
        if left_s <= 0:
            self._wake()
            return
        self._alarm.stop()
        self._alarm = self._loop.timer(left_s)
        self._alarm.start(self._wake)

    def _turn(self) -> None:
        self._turn_due = False
        try:
            self._carry_out(self.machine.tick(self._clock()))
            self._send()
        except Exception:  # the replica goes on; what a gateway lacks it notices by its heartbeats
            self.counters.add("errors.control")
            defect(log, "control plane")
        if self._unsent:
            self._wake()
        else:
            self._set_alarm()

    def _send(self) -> None:
        """Send what was written, and what the state machine writes once that is out."""
        for _ in range(FLUSHES_A_TURN):
            unsent, self._unsent = self._unsent, set()
            if not unsent:
                return
            now = self._clock()
            for reader in unsent:
                if (known := self._readers.get(reader)) is None:
                    continue
                known.connection.flush()
                if reader in self._readers and (
                    actions := self.machine.queued(reader, known.connection.queued, now)
                ):
                    self._carry_out(actions)
