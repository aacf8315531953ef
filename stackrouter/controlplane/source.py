"""Sources of a replica's state and its barrier results: the ledger, or another replica."""

from __future__ import annotations

import uuid
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import gevent

from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.conversion import Change, delta_from
from stackrouter.controlplane.frames_pb2 import Delta
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.coord.port import (
    ActiveSeen,
    Answered,
    Barrier,
    BeginHistory,
    Event,
    HistoryBegun,
    ListingSeen,
    LogPosition,
    PolicySeen,
    ServingReport,
    StateReplaced,
    TermSeen,
)
from stackrouter.coord.raft import Raft

MAX_PENDING_BARRIERS = 16  # outstanding heartbeats to another replica


class Source(Protocol):
    """Serves requests of a `ControlServer`; the results go to its state machine."""

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        """Start a read barrier; its result confirms that the state includes everything committed before."""

    def reload_state(self) -> None:
        """Request the whole state."""


class LedgerSource:
    """Source of a voting replica: changes applied by the ledger, and read barriers through the log."""

    def __init__(self, name: str, store: Raft) -> None:
        self._name, self._store = name, store
        self.server: ControlServer | None = None
        self._history_missing = False
        self._in_flight: tuple[int, int] | None = None  # number of the Barrier command, and its barrier

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        self._in_flight = self._store.submit(Barrier(self._name, report)), barrier

    def reload_state(self) -> None:
        self._store.request_state()

    def handle_event(self, event: Event) -> None:
        """Handle an event of the store; events come in order."""
        server = self.server
        assert server is not None
        match event:
            case StateReplaced():
                self._load(server, event)
            case HistoryBegun():
                self._store.request_state()
            case PolicySeen():
                self._commit(server, event.change, event)
            case ActiveSeen():
                self._commit(server, event.change, event)
            case ListingSeen():
                self._commit(server, event.number, event)
            case Answered():
                self._answered(server, event)
            case TermSeen() if event.leader == self._name:
                self._store.request_state()  # the leader gives a group without a history its identity

    def begin_history(self) -> None:
        """Propose an identity for the group's history if it has none; the caller repeats this."""
        if self._history_missing:
            self._store.submit(BeginHistory(self._name, uuid.uuid4().hex))

    def _load(self, server: ControlServer, event: StateReplaced) -> None:
        self._history_missing = not event.state.position.history
        if not self._history_missing:
            server.call(server.machine.loaded, ReplicatedState.of(event.state))

    def _commit(self, server: ControlServer, number: int, change: Change) -> None:
        if number:
            server.call(server.machine.committed, number, delta_from(change))

    def _answered(self, server: ControlServer, event: Answered) -> None:
        if self._in_flight is None or event.number != self._in_flight[0]:
            return
        barrier, self._in_flight = self._in_flight[1], None
        if event.accepted and event.position is not None:
            server.call(server.machine.barrier_confirmed, barrier, event.position)
        else:
            server.call(server.machine.barrier_failed, barrier)


@dataclass(frozen=True, slots=True)
class _PendingBarrier:
    """A barrier, and the heartbeat to the other replica that confirms it."""

    barrier: int
    sequence: int


class NoSink:
    """A sink that ignores everything: a replica serves no requests."""

    def take_policy(self, body: str) -> None:
        """Nothing to do."""

    def take_nodes(self, piece: object) -> None:
        """Nothing to do."""


class ReplicaSource:
    """Source of a non-voting replica: the state it observes at another replica, whose heartbeat answers
    confirm the barriers here. For each barrier a heartbeat is sent after the barrier was started."""

    def __init__(self) -> None:
        self.server: ControlServer | None = None
        self.client: ObserverClient | None = None
        self._pending_barriers: deque[_PendingBarrier] = deque(maxlen=MAX_PENDING_BARRIERS)
        self._state: ReplicatedState | None = None

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        assert self.client is not None and self.server is not None
        self.client.observer.relayed = report
        sequence = self.client.heartbeat()
        if sequence:
            self._pending_barriers.append(_PendingBarrier(barrier, sequence))
        else:
            self._fail_soon(barrier)

    def reload_state(self) -> None:
        """Not needed: the connection delivers the whole state first, and a gap would have ended it."""

    def state_loaded(self, state: ReplicatedState) -> None:
        assert self.server is not None
        self.server.call(self.server.machine.loaded, state)

    def change_received(self, number: int, delta: Delta) -> None:
        assert self.server is not None
        self.server.call(self.server.machine.committed, number, delta)

    def heartbeat_confirmed(self, sequence: int, position: LogPosition) -> None:
        assert self.server is not None
        confirmed = 0
        while self._pending_barriers and self._pending_barriers[0].sequence <= sequence:
            confirmed = self._pending_barriers.popleft().barrier
        if confirmed:
            self.server.call(self.server.machine.barrier_confirmed, confirmed, position)

    def disconnected(self) -> None:
        if self._pending_barriers:
            self._fail_soon(self._pending_barriers[-1].barrier)
        self._pending_barriers.clear()

    def _fail_soon(self, barrier: int) -> None:
        """Report the failure later: the state machine has not returned from starting the barrier."""
        assert self.server is not None
        gevent.get_hub().loop.run_callback(self.server.call, self.server.machine.barrier_failed, barrier)
