"""The embedded adapter: the gateways form a Raft group among themselves, using PySyncObj.

The library does leader election, replication, and the journal on disk with its compaction; the replicated
state machine is `ledger.Ledger`. It runs in a thread of its own, with its own sockets and timers: the
gateway's greenlets submit commands through its queue, and read the resulting events from `events` after
`wake`.

Workarounds for the library, each for a fault seen on the fault-injection rig or read in its documentation:

- the library would retry a failed bind without a pause, so the address is tested first;
- a command's answer may never come when a connection breaks, so nothing here waits for one;
- entries are sent in batches, once per heartbeat. If they were sent with each command, two messages would be
  in flight to a follower whose log has diverged, and its rejection of the later one would reset the progress
  made with the earlier one: the group commits nothing as long as commands arrive (8 s and more on the rig);
- when a peer reconnects, its older connection here is closed: bytes that arrive late on it would be taken for
  new ones.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, replicated
from pysyncobj.node import TCPNode
from pysyncobj.transport import TCPTransport

from stackrouter.coord.ledger import Ledger
from stackrouter.coord.policy import Version
from stackrouter.coord.port import (
    NOBODY,
    UNKNOWN,
    ActiveSeen,
    Answered,
    Barrier,
    Command,
    Event,
    Lease,
    LeaseSeen,
    LogPosition,
    MemberView,
    PolicySeen,
    ServingReport,
    StateReplaced,
    TermSeen,
)
from stackrouter.errors import StoreError, log_error, log_unexpected

log = logging.getLogger(__name__)

# The library checks its deadlines once per tick; members whose deadlines fall into the same tick split the
# vote.
TICKS_PER_ELECTION_TIMEOUT = 30
BIND_RETRY_S = 0.5  # the old process still holds the address during an upgrade
HEARTBEATS_PER_ELECTION_TIMEOUT = 16
# Lower bound of the random election timeout (the library requires more than three heartbeats). The wider the
# range, the fewer elections end with a split vote.
MIN_TIMEOUT_HEARTBEATS = 3.2
COMPACT_ENTRIES = 2000
BATCH_BYTES = 1 << 20  # large enough for all missing entries: a partial batch truncates the log for a while
MAX_QUEUED_COMMANDS = 1000
MAX_EVENTS = 10_000  # not yet fetched by the gateway: past it the oldest are dropped
FAILURE_REASONS = {FAIL_REASON.QUEUE_FULL: "queue full", FAIL_REASON.MISSING_LEADER: "no leader",
                   FAIL_REASON.DISCARDED: "discarded"}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Peer:
    """A member of the group. `dial`: the address to connect to if it differs from `address`, for example
    through a tunnel or address translation."""

    name: str
    address: str
    dial: str = ""


class _DialedNode(TCPNode):  # type: ignore[misc]
    """A peer that is identified by its address but may be connected to at another one."""

    def __init__(self, peer: Peer) -> None:
        super().__init__(peer.address)
        host, _, port = (peer.dial or peer.address).rpartition(":")
        self._dial = host, int(port)

    @property
    def ip(self) -> str:
        return self._dial[0]

    @property
    def port(self) -> int:
        return self._dial[1]


class _Transport(TCPTransport):  # type: ignore[misc]
    def _onIncomingMessageReceived(self, conn: Any, message: Any) -> None:  # noqa: N802
        """The first message identifies the peer: close an older, possibly half-open connection of it."""
        node = self._nodeAddrToNode.get(message) if isinstance(message, str) else None
        previous = self._connections.get(node) if node is not None else None
        super()._onIncomingMessageReceived(conn, message)
        if previous is not None and previous is not conn:
            previous.setOnMessageReceivedCallback(lambda message: None)
            previous.disconnect()


@dataclass(frozen=True, slots=True)
class _Applied:
    """The result of applying a command on this member. It is not replicated."""

    why: str
    lease: Lease | None = None
    position: LogPosition | None = None


class _Group(SyncObj):  # type: ignore[misc]
    def __init__(self, node: TCPNode, others: Sequence[TCPNode], conf: SyncObjConf,
                 applied: Callable[[list[Event]], None]) -> None:  # fmt: skip
        self._applied = applied  # before super().__init__: not replicated
        self._reported: Ledger | None = None  # the ledger whose changes have all been reported
        super().__init__(node, others, conf, transportClass=_Transport)
        self.ledger = self._reported = Ledger()  # after super().__init__: `ledger` is part of snapshots
        # A starting member first listens for a leader: if it stood for election before the current leader has
        # reached it, it would depose that leader, because the library has no pre-vote.
        self._SyncObj__raftElectionDeadline += conf.raftMaxTimeout

    @replicated  # type: ignore[misc]
    def commit(self, command: Command) -> _Applied:
        self.report_replaced_state()
        why, events = self.ledger.apply(command)
        if events:
            self._applied(events)
        if isinstance(command, Barrier):
            return _Applied(why, position=self.ledger.position())
        duty = getattr(command, "duty", "")
        return _Applied(why, self.ledger.lease(duty) if duty else None)

    def report_replaced_state(self) -> None:
        """Report the whole state if the library loaded a snapshot in place of the commands in it. Called
        before any command that is applied after the snapshot."""
        if self.ledger is self._reported:
            return
        ledger = self._reported = self.ledger
        self._applied([LeaseSeen(lease) for lease in ledger.leases.values()])
        self._applied([PolicySeen(version) for version in ledger.policies])
        self._applied([ActiveSeen(ledger.active)])
        self._applied([StateReplaced(ledger.state())])


class Raft:
    """The coordination port on PySyncObj. `folder`: for the journal, which has to survive a restart: a member
    that lost its vote could vote twice in one term."""

    store_expires = False

    def __init__(self, local: Peer, peers: Sequence[Peer], election_us: int, folder: Path) -> None:
        self._local, self._peers = local, [peer for peer in peers if peer.address != local.address]
        election_s = election_us / 1e6
        self._tick_s = election_s / TICKS_PER_ELECTION_TIMEOUT
        name = local.address.replace(":", "_")
        folder.mkdir(parents=True, exist_ok=True)
        heartbeat_s = election_s / HEARTBEATS_PER_ELECTION_TIMEOUT
        self._conf = SyncObjConf(
            autoTick=False, appendEntriesUseBatch=True, appendEntriesBatchSizeBytes=BATCH_BYTES,
            useFork=False, raftMinTimeout=MIN_TIMEOUT_HEARTBEATS * heartbeat_s, raftMaxTimeout=election_s,
            appendEntriesPeriod=heartbeat_s, leaderFallbackTimeout=2 * election_s,
            connectionTimeout=2 * election_s, connectionRetryTime=election_s / 4, commandsWaitLeader=False,
            commandsQueueSize=MAX_QUEUED_COMMANDS, bindAddress=local.dial or local.address, maxBindRetries=1,
            journalFile=str(folder / f"{name}.journal"), fullDumpFile=str(folder / f"{name}.dump"),
            logCompactionMinEntries=COMPACT_ENTRIES,
        )  # fmt: skip
        self._conf.validate()
        self._group: _Group | None = None
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._term = TermSeen(0, NOBODY)
        self._last_number = 0
        self._state_wanted = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="coord-raft", daemon=True)
        self._wake: Callable[[], None] = lambda: None

    def start(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._thread.start()

    def submit(self, command: Command) -> int:
        self._last_number += 1
        number, group = self._last_number, self._group
        if group is None:
            self._emit([Answered(number, False, None, "not bound yet")])
        else:
            group.commit(command, callback=partial(self._answer, number))
        return number

    def events(self) -> list[Event]:
        events: list[Event] = []
        with contextlib.suppress(IndexError):
            while True:
                events.append(self._events.popleft())
        return events

    def listing(self) -> tuple[int, dict[str, Any]] | None:
        ledger = self._group.ledger if self._group is not None else Ledger()
        whole = ledger.listings.whole()
        return None if whole is None else (ledger.listings.token, whole)

    def policies(self) -> list[Version]:
        return list(self._group.ledger.policies) if self._group is not None else []

    def present(self) -> dict[str, tuple[int, int]]:
        return dict(self._group.ledger.present) if self._group is not None else {}

    def request_state(self) -> None:
        """Request a StateReplaced event with the whole state, ordered with all other events."""
        self._state_wanted.set()

    def reports(self) -> dict[str, ServingReport]:
        """By replica, which versions its gateways served under at its last barrier."""
        return dict(self._group.ledger.reports) if self._group is not None else {}

    def applied(self) -> int:
        """The number of log entries applied since the group was created."""
        return int(self._group.raftLastApplied) if self._group is not None else 0

    def members(self) -> list[MemberView]:
        group = self._group
        connected = {node.id for node in group.otherNodes if group.isNodeConnected(node)} if group else set()
        others = [MemberView(p.name, p.address, p.address in connected) for p in self._peers]
        return [MemberView(self._local.name, self._local.address, group is not None), *others]

    def close(self) -> None:
        self._closing.set()
        if self._thread.ident is not None:
            self._thread.join(timeout=1.0)

    def _emit(self, events: list[Event]) -> None:
        self._events.extend(events)
        self._wake()

    def _answer(self, number: int, result: _Applied | None, failure: int) -> None:
        if failure != FAIL_REASON.SUCCESS or result is None:
            self._emit([Answered(number, False, None, FAILURE_REASONS.get(failure, UNKNOWN))])
        else:
            self._emit([Answered(number, not result.why, result.lease, result.why, result.position)])

    def _run(self) -> None:
        while not self._closing.is_set():
            if self._group is None and not self._bind():
                self._closing.wait(BIND_RETRY_S)
                continue
            assert self._group is not None
            try:
                self._group.doTick(self._tick_s)
                self._group.report_replaced_state()
                if self._state_wanted.is_set():
                    self._state_wanted.clear()
                    self._emit([StateReplaced(self._group.ledger.state())])
                self._check_leader()
            except Exception:  # malformed data from a peer must not stop the member
                log_unexpected(log, "coordination")
                self._closing.wait(self._tick_s)
        if self._group is not None:
            self._group._doDestroy()

    def _bind(self) -> bool:
        host, _, port = str(self._conf.bindAddress).rpartition(":")
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((host, int(port)))
            others = [_DialedNode(peer) for peer in self._peers]
            self._group = _Group(TCPNode(self._local.address), others, self._conf, self._emit)
        except Exception as error:
            log_error(log, StoreError(error, address=self._conf.bindAddress), "coordination")
            return False
        return True

    def _check_leader(self) -> None:
        """Emit a TermSeen event when the term or the leader has changed."""
        assert self._group is not None
        leader = self._group._getLeader()
        name = NOBODY
        if leader is not None:
            names = {p.address: p.name for p in (self._local, *self._peers)}
            name = names.get(leader.id, leader.id)
        current = TermSeen(self._group.raftCurrentTerm, name)
        if current != self._term:
            self._term = current
            self._emit([current])
