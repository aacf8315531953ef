"""Where a replica's state and the answers to its read barriers come from: the ledger, or another replica."""

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

MOST_BARRIERS = 16  # heartbeats to another replica that may still be answered


class Source(Protocol):
    """What a `ControlServer` asks for; the answers go to its state machine."""

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        """Have it confirmed that the state here includes all that was committed before now."""

    def reload_state(self) -> None:
        """Have the whole state loaded."""


class LedgerSource:
    """A voting replica's source: what the ledger applies, and read barriers through the log."""

    def __init__(self, name: str, store: Raft) -> None:
        self._name, self._store = name, store
        self.server: ControlServer | None = None
        self._history_missing = False
        self._asked: tuple[int, int] | None = None  # number of the command under way, and its barrier

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        self._asked = self._store.ask(Barrier(self._name, report)), barrier

    def reload_state(self) -> None:
        self._store.request_state()

    def heard(self, event: Event) -> None:
        """An event of the store, in order."""
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
                self._store.request_state()  # a group that has no history yet is given one by its leader

    def begin_history(self) -> None:
        """Give the group's history its identity, if it has none; repeated until it has."""
        if self._history_missing:
            self._store.ask(BeginHistory(self._name, uuid.uuid4().hex))

    def _load(self, server: ControlServer, event: StateReplaced) -> None:
        self._history_missing = not event.state.position.history
        if not self._history_missing:
            server.call(server.machine.loaded, ReplicatedState.of(event.state))

    def _commit(self, server: ControlServer, number: int, change: Change) -> None:
        if number:
            server.call(server.machine.committed, number, delta_from(change))

    def _answered(self, server: ControlServer, event: Answered) -> None:
        if self._asked is None or event.number != self._asked[0]:
            return
        barrier, self._asked = self._asked[1], None
        if event.accepted and event.position is not None:
            server.call(server.machine.barrier_confirmed, barrier, event.position)
        else:
            server.call(server.machine.barrier_failed, barrier)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A barrier, and the heartbeat to the other replica that confirms it."""

    barrier: int
    sequence: int


class NoSink:
    """A replica serves no requests: nothing is taken."""

    def take_policy(self, body: str) -> None:
        """Nothing to do."""

    def take_nodes(self, piece: object) -> None:
        """Nothing to do."""


class ReplicaSource:
    """A source for a replica that does not vote: what it observes at another replica, whose heartbeat answers
    confirm the barriers here. A heartbeat is sent for each barrier, after it was started."""

    def __init__(self) -> None:
        self.server: ControlServer | None = None
        self.client: ObserverClient | None = None
        self._asked: deque[_Asked] = deque(maxlen=MOST_BARRIERS)
        self._state: ReplicatedState | None = None

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        assert self.client is not None and self.server is not None
        self.client.observer.relayed = report
        sequence = self.client.heartbeat()
        if sequence:
            self._asked.append(_Asked(barrier, sequence))
        else:
            self._fail_soon(barrier)

    def reload_state(self) -> None:
        """Nothing is missed: the state came whole with the connection, which a gap would have ended."""

    def state_loaded(self, state: ReplicatedState) -> None:
        assert self.server is not None
        self.server.call(self.server.machine.loaded, state)

    def change_received(self, number: int, delta: Delta) -> None:
        assert self.server is not None
        self.server.call(self.server.machine.committed, number, delta)

    def heartbeat_confirmed(self, sequence: int, position: LogPosition) -> None:
        assert self.server is not None
        confirmed = 0
        while self._asked and self._asked[0].sequence <= sequence:
            confirmed = self._asked.popleft().barrier
        if confirmed:
            self.server.call(self.server.machine.barrier_confirmed, confirmed, position)

    def disconnected(self) -> None:
        if self._asked:
            self._fail_soon(self._asked[-1].barrier)
        self._asked.clear()

    def _fail_soon(self, barrier: int) -> None:
        """Not within the call that has started it: the state machine is still at it."""
        assert self.server is not None
        gevent.get_hub().loop.run_callback(self.server.call, self.server.machine.barrier_failed, barrier)
