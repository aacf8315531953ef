"""The list of storage nodes, watched over HTTP. When what is asked is decided in membership.asking.

Each call runs in a greenlet of its own. One that has fallen silent is kept beside the next ones for a while:
discovery may be slow, and its answer counts if no other has come since.
"""

from __future__ import annotations

import json
import logging
import random
from dataclasses import dataclass
from typing import Any, Protocol

import gevent
from gevent.event import Event
from gevent.queue import Empty, SimpleQueue

from rackseam.interface import ListKind, NodeState
from stackrouter.core.counters import Counters
from stackrouter.errors import (
    DiscoveryError,
    NamedTwiceError,
    NoListError,
    ShrunkError,
    SilentError,
    TurnedAwayError,
    UnreachableError,
    defect,
    tell,
)
from stackrouter.membership.asking import Asking, Call, Pace, Verdict
from stackrouter.membership.listing import Listing, NodeList
from stackrouter.net.list_call import Address, ListConnection, left_s, monotonic_us
from stackrouter.net.list_taker import ListTaker, Told, let_others_run

log = logging.getLogger(__name__)

WAIT_US = 2_000_000  # how long a watch may stay silent. Short: what is told is taken as known 2 s after it
# Where lists are asked for: how long an answer may take before the connection is given up. Long: a call that
# waits its turn behind those of many and is given up costs discovery as much as one that is answered.
ANSWER_US = 2_500_000
WATCH_US = 1_200_000  # ... after a watch's wait: discovery holds it then, and it waits behind none
LEAST_US = 800_000  # ... and at least, where calls before it have used up the time that news may take
LOST_US = 100_000  # rest after a failed call: within the 200 ms in which a watch goes on
LOST_MOST_US = 1_000_000  # ... which has already waited, or costs little
# Where lists are pushed, the agent on this machine answers at once and at no cost. After an outage a drain
# that it has counts as told, and binds within the drain grace (250 ms). A call and a rest take 80 ms, so that
# 150 ms are left in which the process may be held up.
AGENT_US, AGENT_LOST_US = 50_000, 30_000
AGENT_WATCH_US = AGENT_US  # a watch's answer after its wait: an outage may end just then
AGENT_BODY_US = 40_000  # the rest of an answer; a long list on a busy machine comes late
# How long a silent call may still be answered, beside the calls after it. Each other call to the agent ends
# when it falls silent, so that few are under way.
LATE_US = (5_000_000,)
AGENT_LATE_US = (2_500_000, 0, 200_000, 0, 800_000, 0, 200_000, 0)
UNDER_WAY_MOST = 8
# Where lists are pushed, what the agent has binds from the first moment of a new process. So long the list
# that the process was started with is held back for the agent's first answer: the drain grace and its slack, by
# the end of which an agent that answers has done so; one that is silent has learned nothing since.
START_HOLD_S = 0.3
AGENT_REFUSED_MOST_US = 500_000  # the agent serves this gateway alone: who comes again delays nobody
# Calls a second that all gateways together make when they come back after being turned away: what is asked
# beyond discovery's pace is turned away late, and delays all others by a turn.
CALLS_S = 10.0
NAMED_MOST = 8  # nodes that one log line names
REFUSED_MOST_US = 5_200_000  # what discovery has counts as told 6 s later, heard or not


def pace(gateways: int, pushed: bool = False) -> Pace:
    """As many gateways as there are come back after being turned away, on the mean, `CALLS_S` calls a second
    together: waits are drawn between half of the longest and the longest."""
    apart_us = round(gateways / CALLS_S * 1e6 * 4 / 3)
    refused_us = min(REFUSED_MOST_US, max(LOST_US, apart_us))
    turned_away = refused_us, REFUSED_MOST_US
    if pushed:
        agent = AGENT_WATCH_US, AGENT_US, AGENT_US, AGENT_BODY_US, AGENT_LOST_US, AGENT_LOST_US
        return Pace(WAIT_US, *agent, AGENT_LOST_US, AGENT_REFUSED_MOST_US, AGENT_LATE_US, pushed=True)
    return Pace(WAIT_US, WATCH_US, ANSWER_US, LEAST_US, 0, LOST_US, LOST_MOST_US, *turned_away, LATE_US)


class Fleet(Protocol):
    """Other gateways, one of which asks discovery for all (coord.member); without it each asks for itself."""

    def wait_s(self) -> float:
        """How long this gateway need not ask; 0: it is to ask now."""

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered: what changed after version `base`, None: the whole list."""


@dataclass(frozen=True, slots=True)
class _Heard:
    """The answer to a call has begun."""

    call: Call


@dataclass(frozen=True, slots=True)
class _Ended:
    """A call has ended: with an answer's JSON or an error."""

    call: Call
    outcome: Any


@dataclass(frozen=True, slots=True)
class _Moved:
    """Discovery is elsewhere."""


class Discovery:
    """Watches the list of one discovery and hands what it says to the engine.

    `pushed`: an agent on this machine has the list, and what it has counts as told; else lists are asked for.
    """

    def __init__(self, address: Address, listing: Listing, counters: Counters, told: Told,
                 known: int | None = None, seed: int = 0, gateways: int = 1,
                 pushed: bool = False) -> None:  # fmt: skip
        """`known`: the version of the list that the process was started with."""
        self.address, self.listing, self.counters, self.pushed = address, listing, counters, pushed
        self.lists = ListTaker(told)
        self.asking = Asking(pace(gateways, pushed), random.Random(seed), known)
        self._size = 0  # nodes in the last whole list
        self._failures = 0  # in a row
        self._idle: ListConnection | None = None
        self._events: SimpleQueue[_Heard | _Ended | _Moved] = SimpleQueue()
        self._under_way: dict[Call, gevent.Greenlet[..., None]] = {}  # the last call, silent ones before it
        self._first: NodeList | None = None  # the list of the start, while it is held back
        self._moved = Event()
        self.fleet: Fleet | None = None

    def start_with(self, known: NodeList) -> None:
        """Serve by the list that the process was started with; where lists are pushed, not before the agent
        had a chance to say what has changed since."""
        if not self.pushed or not known.entries:
            self._take_first(known)
            return
        self._first = known
        gevent.spawn_later(START_HOLD_S, self._release_first)

    def _release_first(self) -> None:
        if self._first is not None:
            self.counters.add("discovery.silent_at_start")
            error = SilentError("it may be out of date", address="{}:{}".format(*self.address))
            tell(log, error, "serving by the list of the start")
            known, self._first = self._first, None
            self._take_first(known)

    def _take_first(self, known: NodeList) -> None:
        self.lists.take(ListKind.CACHED, known.version, known.entries, known.addresses)

    def follow(self, raw: dict[str, Any]) -> None:
        """Another gateway hands on what discovery told it."""
        read = self.listing.read(raw, monotonic_us(), let_others_run)
        if self.asking.follows(read.version):
            self._take(read)

    def refetch(self) -> None:
        """The next call asks for the whole list."""
        self.asking.refetch()

    def move(self, address: Address) -> None:
        """Ask there from now on: what is under way is given up and the whole list fetched at once."""
        self.address = address
        self.asking.moved(monotonic_us())
        self._moved.set()
        self._events.put(_Moved())
        self._give_up_all()
        self._hang_up()

    def run(self) -> None:
        """Ask on, call after call; never returns."""
        while True:
            if (due_us := self.asking.due_us) is not None and (left_us := due_us - monotonic_us()) > 0:
                self._rest(left_us / 1e6)
                continue
            fleet = self.fleet
            if fleet is not None and self.asking.index is not None and (pause_s := fleet.wait_s()) > 0:
                self._moved.clear()
                self._moved.wait(pause_s)
                continue
            call = self.asking.begin(monotonic_us())
            self._under_way[call] = gevent.spawn(self._perform, call)
            self._await(call)

    def _rest(self, length_s: float) -> None:
        """Until then, an answer that comes late, or a move."""
        try:
            event = self._events.get(timeout=length_s)
        except Empty:
            return
        if isinstance(event, _Ended):
            self._ended(event)

    # --- a call

    def _perform(self, call: Call) -> None:
        """In a greenlet of its own."""
        try:
            outcome = self._make(call)
        except Exception as error:  # whatever it sends, the gateway goes on with the list it has
            outcome = error
        self._events.put(_Ended(call, outcome))

    def _make(self, call: Call) -> Any:
        """The answer's JSON."""
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_us // 1000}"
        connection, self._idle = self._idle, None
        if connection is not None and not connection.quiet():
            connection.close()
            connection = None
        if connection is None:
            connection = ListConnection(self.address, call.late_until_us)
        kept = False
        try:
            path = f"/v1/endpoints{query}"
            body, kept = connection.get(path, call.late_until_us, lambda: self._events.put(_Heard(call)))
        finally:
            kept = kept and self._idle is None and connection.address == self.address
            if kept:
                self._idle = connection
            else:
                connection.close()
        return json.loads(body)

    def _await(self, call: Call) -> None:
        """Until the call has ended, has fallen silent or is void."""
        until_us = call.until_us
        while True:
            try:
                event = self._events.get(timeout=left_s(until_us))
            except (Empty, TimeoutError):
                self._fell_silent(call)
                return
            match event:
                case _Heard(heard) if heard is call:
                    until_us = self.asking.heard(call, monotonic_us())
                case _Ended(ended):
                    taken = self._ended(event)
                    if ended is call:
                        return
                    if taken:  # a late answer: this call is void
                        self._give_up(call)
                        return
                case _Moved() if self.asking.due_us is not None:
                    return

    def _fell_silent(self, call: Call) -> None:
        if call.late_until_us <= monotonic_us():
            self._give_up(call)
        while len(self._under_way) > UNDER_WAY_MOST:
            self._give_up(next(iter(self._under_way)))
        if self.asking.failed(call, monotonic_us(), silent=True):
            self._count_failure(TimeoutError())

    def _ended(self, event: _Ended) -> bool:
        """Whether the answer counted."""
        call, outcome = event.call, event.outcome
        self._under_way.pop(call, None)
        if isinstance(outcome, Exception):
            self._failed(call, outcome)
            return False
        came_at_us = monotonic_us()
        try:
            read = self.listing.read(outcome, came_at_us, let_others_run)
        except Exception as error:
            self._failed(call, error)
            return False
        try:
            return self._answered(call, outcome, read)
        except Exception:  # no fault of discovery's, and no reason to watch no more
            self.counters.add("errors.discovery")
            defect(log, "a list that was told")
            return True

    def _failed(self, call: Call, error: Exception) -> None:
        if isinstance(error, TurnedAwayError):
            self.counters.add("discovery.refused")
            tell(log, error, level=logging.INFO)
            self.asking.refused(call, monotonic_us())
        elif self.asking.failed(call, monotonic_us()):
            self._count_failure(error)

    def _count_failure(self, error: Exception) -> None:
        self.counters.add("discovery.failed")
        self._failures += 1
        if not self._failures & (self._failures - 1):  # 1, 2, 4, ...: an outage must not fill the log
            tell(log, _what(error, self.address), f"discovery, {self._failures} in a row")

    def _give_up(self, call: Call) -> None:
        greenlet = self._under_way.pop(call, None)
        if greenlet is not None:
            greenlet.kill(block=False)

    def _give_up_all(self) -> None:
        for call in list(self._under_way):
            self._give_up(call)

    def _hang_up(self) -> None:
        if self._idle is not None:
            self._idle.close()
            self._idle = None

    # --- an answer

    def _answered(self, call: Call, raw: dict[str, Any], read: NodeList) -> bool:
        now = monotonic_us()
        verdict = self.asking.answered(call, now, read.version, read.whole, bool(read.entries))
        if verdict is Verdict.VOID:
            return False  # another answer has come since, or from where discovery no longer is
        if now > call.until_us:
            self.counters.add("discovery.late")
        if verdict is Verdict.TAKE:
            self._take(read)
        self.counters.add("discovery.answers")
        self._failures = 0
        if self.fleet is not None:
            self.fleet.told(None if read.whole else call.index, raw)
        return True

    def _take(self, read: NodeList) -> None:
        self._doubt(read)
        if self._first is not None:
            known, self._first = self._first, None
            read = read if read.whole else known.changed_by(read)
        if read.entries:
            stopping = [entry.node for entry in read.entries if entry.state is not NodeState.READY]
            log.info(
                "list version %d%s: %d nodes, not ready: %s", read.version, " (whole)" if read.whole else "",
                len(read.entries), " ".join(stopping[:NAMED_MOST]) or "none",
            )  # fmt: skip
        if read.whole or read.entries:
            self.lists.take(read.kind, read.version, read.entries, read.addresses)

    def _doubt(self, read: NodeList) -> None:
        """What is odd is said, counted and believed: a node told to be gone must get nothing new."""
        nodes, version = len(read.addresses), read.version
        if nodes < len(read.entries):
            self.counters.add("discovery.named_twice")
            tell(
                log,
                NamedTwiceError(f"version {version} names nodes twice, the last entry counts"),
                "discovery",
            )
        if read.whole and nodes * 2 < self._size:
            self.counters.add("discovery.shrunk")
            tell(log, ShrunkError(f"version {version} names {nodes} nodes, {self._size} before"), "discovery")
        self._size = nodes if read.whole else self._size


def _what(error: Exception, address: Address) -> DiscoveryError:
    """What went wrong with a call, in the operators' words."""
    place = "{}:{}".format(*address)
    match error:
        case DiscoveryError():
            return error
        case TimeoutError():
            return SilentError("discovery is silent", address=place)
        case OSError():
            return UnreachableError(error, address=place)
        case _:
            return NoListError(f"{type(error).__name__}: {error}", address=place)
