"""The embedded adapter: the gateways form a Raft group among themselves, through PySyncObj.

The library elects, replicates, keeps its journal on disk and compacts it; what is replicated is
`ledger.Ledger`. It runs in a thread of its own, with sockets and timers of its own: the gateway's greenlets
hand commands in through its queue, and hear of what was applied through `events` after `wake`.

Guards round the library, each for what was seen on the fault rig or read in its documentation:

- a bind that fails would be tried without a pause, so it is looked at before;
- a command's answer may never come when a connection breaks, so nothing here waits for one;
- entries are sent in batches, once a heartbeat. Sent with each command, two are under way at once to a
  follower whose log has branched off, and the refusal of the later one undoes what the refusal of the
  earlier one found out: the group commits nothing for as long as commands come (8 s and more on the rig);
- a peer that connects anew ends its older connection here, whose late bytes would be taken for new ones.
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
from stackrouter.errors import StoreError, defect, tell

log = logging.getLogger(__name__)

# Ticks an election timeout: the library looks at its deadlines once a tick, and members whose deadlines fall
# into the same one split the vote.
TICKS = 30
BIND_S = 0.5  # between attempts to take the address: at an upgrade the old process still has it
HEARTBEATS = 16  # in an election timeout
# Heartbeats that every member waits for at least (the library asks for more than three). Timeouts are drawn
# from there on: the wider they lie apart, the fewer elections end with a split vote.
SHORTEST = 3.2
COMPACT_ENTRIES = 2000
BATCH = 1 << 20  # what a follower lacks comes in one piece: a part would shorten its log for a while
MOST_QUEUED = 1000
MOST_EVENTS = 10_000  # not yet fetched by the gateway: past it the oldest go, and are counted
WHY = {FAIL_REASON.QUEUE_FULL: "queue full", FAIL_REASON.MISSING_LEADER: "no leader",
       FAIL_REASON.DISCARDED: "discarded"}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Peer:
    """`dial`: where this member reaches it, if not at its address: a tunnel, a translated address."""

    name: str
    address: str
    dial: str = ""


class _DialedNode(TCPNode):  # type: ignore[misc]
    """A peer whose address names it to all, and is not where this member connects to."""

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
        """The first message names the peer; an older connection of it, cut or half dead, ends with that."""
        node = self._nodeAddrToNode.get(message) if isinstance(message, str) else None
        old = self._connections.get(node) if node is not None else None
        super()._onIncomingMessageReceived(conn, message)
        if old is not None and old is not conn:
            old.setOnMessageReceivedCallback(lambda message: None)
            old.disconnect()


@dataclass(frozen=True, slots=True)
class _Applied:
    """What a command gave when it was applied here. It stays in this process."""

    why: str
    lease: Lease | None = None
    position: LogPosition | None = None


class _Group(SyncObj):  # type: ignore[misc]
    def __init__(self, node: TCPNode, others: Sequence[TCPNode], conf: SyncObjConf,
                 applied: Callable[[list[Event]], None]) -> None:  # fmt: skip
        self._applied = applied  # set before the library notes which attributes are not replicated
        self._told: Ledger | None = None  # whose changes were told from the beginning on
        super().__init__(node, others, conf, transportClass=_Transport)
        self.ledger = self._told = Ledger()  # ... and this after: it goes into snapshots
        # A member that starts listens for a leader first: standing for election before it has been reached by
        # the one there is would depose that one, for the library asks for no vote beforehand.
        self._SyncObj__raftElectionDeadline += conf.raftMaxTimeout

    @replicated  # type: ignore[misc]
    def commit(self, command: Command) -> _Applied:
        self.tell_replaced()
        why, events = self.ledger.apply(command)
        if events:
            self._applied(events)
        if isinstance(command, Barrier):
            return _Applied(why, position=self.ledger.position())
        duty = getattr(command, "duty", "")
        return _Applied(why, self.ledger.lease(duty) if duty else None)

    def tell_replaced(self) -> None:
        """Tell all that is known, if a snapshot came in the place of its commands: before any command that
        is applied after it."""
        if self.ledger is self._told:
            return
        ledger = self._told = self.ledger
        self._applied([LeaseSeen(lease) for lease in ledger.leases.values()])
        self._applied([PolicySeen(version) for version in ledger.policies])
        self._applied([ActiveSeen(ledger.active)])
        self._applied([StateReplaced(ledger.state())])


class Raft:
    """The port on PySyncObj. `folder`: for the journal, which has to outlive the process: a member that
    forgot its vote could vote twice in a term."""

    store_expires = False

    def __init__(self, me: Peer, peers: Sequence[Peer], election_us: int, folder: Path) -> None:
        self._me, self._peers = me, [peer for peer in peers if peer.address != me.address]
        election_s = election_us / 1e6
        self._tick_s = election_s / TICKS
        name = me.address.replace(":", "_")
        folder.mkdir(parents=True, exist_ok=True)
        beat_s = election_s / HEARTBEATS
        self._conf = SyncObjConf(
            autoTick=False, appendEntriesUseBatch=True, appendEntriesBatchSizeBytes=BATCH, useFork=False,
            raftMinTimeout=SHORTEST * beat_s, raftMaxTimeout=election_s, appendEntriesPeriod=beat_s,
            leaderFallbackTimeout=2 * election_s, connectionTimeout=2 * election_s,
            connectionRetryTime=election_s / 4, commandsWaitLeader=False, commandsQueueSize=MOST_QUEUED,
            bindAddress=me.dial or me.address, maxBindRetries=1, journalFile=str(folder / f"{name}.journal"),
            fullDumpFile=str(folder / f"{name}.dump"), logCompactionMinEntries=COMPACT_ENTRIES,
        )  # fmt: skip
        self._conf.validate()
        self._group: _Group | None = None
        self._events: deque[Event] = deque(maxlen=MOST_EVENTS)
        self._term = TermSeen(0, NOBODY)
        self._asked = 0
        self._state_wanted = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="coord-raft", daemon=True)
        self._wake: Callable[[], None] = lambda: None

    def start(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._thread.start()

    def ask(self, command: Command) -> int:
        self._asked += 1
        number, group = self._asked, self._group
        if group is None:
            self._hear([Answered(number, False, None, "not bound yet")])
        else:
            group.commit(command, callback=partial(self._answer, number))
        return number

    def events(self) -> list[Event]:
        heard: list[Event] = []
        with contextlib.suppress(IndexError):
            while True:
                heard.append(self._events.popleft())
        return heard

    def listing(self) -> tuple[int, dict[str, Any]] | None:
        ledger = self._group.ledger if self._group is not None else Ledger()
        whole = ledger.listings.whole()
        return None if whole is None else (ledger.listings.token, whole)

    def policies(self) -> list[Version]:
        return list(self._group.ledger.policies) if self._group is not None else []

    def present(self) -> dict[str, tuple[int, int]]:
        return dict(self._group.ledger.present) if self._group is not None else {}

    def request_state(self) -> None:
        """Have the whole state told as a StateReplaced, in order with all other events."""
        self._state_wanted.set()

    def reports(self) -> dict[str, ServingReport]:
        """By replica, what its gateways served under at its last barrier."""
        return dict(self._group.ledger.reports) if self._group is not None else {}

    def applied(self) -> int:
        """How many entries of the log were applied, since the group began."""
        return int(self._group.raftLastApplied) if self._group is not None else 0

    def members(self) -> list[MemberView]:
        group = self._group
        up = {node.id for node in group.otherNodes if group.isNodeConnected(node)} if group else set()
        others = [MemberView(p.name, p.address, p.address in up) for p in self._peers]
        return [MemberView(self._me.name, self._me.address, group is not None), *others]

    def close(self) -> None:
        self._closing.set()
        if self._thread.ident is not None:
            self._thread.join(timeout=1.0)

    def _hear(self, events: list[Event]) -> None:
        self._events.extend(events)
        self._wake()

    def _answer(self, number: int, result: _Applied | None, failure: int) -> None:
        if failure != FAIL_REASON.SUCCESS or result is None:
            self._hear([Answered(number, False, None, WHY.get(failure, UNKNOWN))])
        else:
            self._hear([Answered(number, not result.why, result.lease, result.why, result.position)])

    def _run(self) -> None:
        while not self._closing.is_set():
            if self._group is None and not self._bind():
                self._closing.wait(BIND_S)
                continue
            assert self._group is not None
            try:
                self._group.doTick(self._tick_s)
                self._group.tell_replaced()
                if self._state_wanted.is_set():
                    self._state_wanted.clear()
                    self._hear([StateReplaced(self._group.ledger.state())])
                self._look()
            except Exception:  # a peer that sends what cannot be read must not end the member
                defect(log, "coordination")
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
            self._group = _Group(TCPNode(self._me.address), others, self._conf, self._hear)
        except Exception as error:
            tell(log, StoreError(error, address=self._conf.bindAddress), "coordination")
            return False
        return True

    def _look(self) -> None:
        """Say who leads in which term, whenever that changes."""
        assert self._group is not None
        leader = self._group._getLeader()
        name = NOBODY
        if leader is not None:
            names = {p.address: p.name for p in (self._me, *self._peers)}
            name = names.get(leader.id, leader.id)
        seen = TermSeen(self._group.raftCurrentTerm, name)
        if seen != self._term:
            self._term = seen
            self._hear([seen])
