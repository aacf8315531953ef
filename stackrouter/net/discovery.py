"""Watches the list of storage nodes over HTTP; membership.call_scheduler decides when to call and for what.

Each call runs in a greenlet of its own. A call that has timed out is kept open beside the next ones for a
while: discovery may be slow, and its answer counts if no other has arrived since.
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
    log_error,
    log_unexpected,
)
from stackrouter.membership.call_scheduler import AnswerVerdict, Call, CallScheduler, CallTiming
from stackrouter.membership.listing import Listing, NodeList
from stackrouter.net.list_applier import ListApplier, ListHandler, yield_to_event_loop
from stackrouter.net.list_call import Address, ListConnection, monotonic_us, remaining_s

log = logging.getLogger(__name__)

# How long a watch may stay silent; short, since a change counts as known 2 s after it.
WATCH_WAIT_US = 2_000_000
# Where lists are polled: how long an answer may take before the call is abandoned. Long, because a call that
# is abandoned while queued behind those of many gateways costs discovery as much as an answered one.
CALL_ANSWER_US = 2_500_000
WATCH_ANSWER_US = 1_200_000  # after a watch's wait: discovery holds the call by then, so it is not queued
MIN_ANSWER_US = 800_000  # lower limit when earlier calls have used up the time allowed for news
RETRY_US = 100_000  # pause after a failed call: within the 200 ms in which a watch has to be reopened
MAX_RETRY_US = 1_000_000  # longest pause after failed calls, which have waited already or cost little
# Where lists are pushed, the agent on this machine answers at once and at no cost. After an outage a drain
# that the agent has counts as known, and is binding within the drain grace (250 ms). A call and a pause take
# 80 ms, which leaves 150 ms for delays of the process.
AGENT_CALL_ANSWER_US, AGENT_RETRY_US = 50_000, 30_000
AGENT_WATCH_ANSWER_US = AGENT_CALL_ANSWER_US  # after a watch's wait, since an outage may end just then
AGENT_BODY_US = 40_000  # for the rest of an answer: a long list on a busy machine is slow
# How long a timed-out call may still be answered, beside the calls after it. Every second call to the agent
# is cancelled when it times out, so that few are open.
LATE_ANSWER_US = (5_000_000,)
AGENT_LATE_ANSWER_US = (2_500_000, 0, 200_000, 0, 800_000, 0, 200_000, 0)
MAX_OPEN_CALLS = 8
# Where lists are pushed, what the agent has is binding from the first moment of a new process. The list that
# the process was started with is held back for this long, waiting for the agent's first answer: the drain
# grace and its slack. An agent that responds has answered by then; a silent one has learned nothing new.
START_HOLD_S = 0.3
AGENT_MAX_REFUSED_RETRY_US = 500_000  # the agent serves this gateway alone, so retries delay no other
# Calls per second that all refused gateways together make when they retry: calls beyond discovery's capacity
# are refused late, and each delays all others by the time it takes.
RETRY_CALLS_PER_S = 10.0
MAX_LOGGED_NODES = 8  # node names in one log line
MAX_REFUSED_RETRY_US = 5_200_000  # a change counts as known 6 s after discovery had it, received or not


def call_timing(gateways: int, pushed: bool = False) -> CallTiming:
    """The time limits for a fleet of `gateways`.

    Refused gateways retry at `RETRY_CALLS_PER_S` calls per second on average, all together: each pause is
    drawn between half of the longest and the longest.
    """
    interval_us = round(gateways / RETRY_CALLS_PER_S * 1e6 * 4 / 3)
    refused_retry_us = min(MAX_REFUSED_RETRY_US, max(RETRY_US, interval_us))
    refused = refused_retry_us, MAX_REFUSED_RETRY_US
    if pushed:
        agent = (
            AGENT_WATCH_ANSWER_US,
            AGENT_CALL_ANSWER_US,
            AGENT_CALL_ANSWER_US,
            AGENT_BODY_US,
            AGENT_RETRY_US,
            AGENT_RETRY_US,
        )
        return CallTiming(
            WATCH_WAIT_US,
            *agent,
            AGENT_RETRY_US,
            AGENT_MAX_REFUSED_RETRY_US,
            AGENT_LATE_ANSWER_US,
            pushed=True,
        )
    return CallTiming(
        WATCH_WAIT_US,
        WATCH_ANSWER_US,
        CALL_ANSWER_US,
        MIN_ANSWER_US,
        0,
        RETRY_US,
        MAX_RETRY_US,
        *refused,
        LATE_ANSWER_US,
    )


class Fleet(Protocol):
    """The other gateways, one of which calls discovery for all (coord.member).

    Without it each gateway calls for itself.
    """

    def wait_s(self) -> float:
        """How long this gateway need not call discovery, in seconds; 0: it has to call now."""

    def listing_received(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered with the changes since version `base`; None: with the whole list."""


@dataclass(frozen=True, slots=True)
class _AnswerBegan:
    """The answer to a call has begun."""

    call: Call


@dataclass(frozen=True, slots=True)
class _CallEnded:
    """A call has ended with an answer's JSON or an exception."""

    call: Call
    outcome: Any


@dataclass(frozen=True, slots=True)
class _AddressChanged:
    """Discovery has a new address."""


class Discovery:
    """Watches the list of one discovery service and passes it to the engine.

    `pushed`: an agent on this machine has the list, and what it has counts as known; else lists are polled.
    """

    def __init__(self, address: Address, listing: Listing, counters: Counters, handler: ListHandler,
                 known: int | None = None, seed: int = 0, gateways: int = 1,
                 pushed: bool = False) -> None:  # fmt: skip
        """`known`: the version of the list that the process was started with."""
        self.address, self.listing, self.counters, self.pushed = address, listing, counters, pushed
        self.lists = ListApplier(handler)
        self.scheduler = CallScheduler(call_timing(gateways, pushed), random.Random(seed), known)
        self._last_full_size = 0  # nodes in the last whole list
        self._failures = 0  # consecutive failed calls
        self._idle_connection: ListConnection | None = None
        self._events: SimpleQueue[_AnswerBegan | _CallEnded | _AddressChanged] = SimpleQueue()
        self._open_calls: dict[Call, gevent.Greenlet[..., None]] = {}  # timed-out calls, then the last
        self._startup_list: NodeList | None = None  # while it is held back
        self._address_changed = Event()
        self.fleet: Fleet | None = None

    def start_with(self, known: NodeList) -> None:
        """Serve from the list that the process was started with.

        Where lists are pushed, not before the agent had a chance to report what has changed since.
        """
        if not self.pushed or not known.entries:
            self._apply_first_list(known)
            return
        self._startup_list = known
        gevent.spawn_later(START_HOLD_S, self._serve_startup_list)

    def _serve_startup_list(self) -> None:
        if self._startup_list is not None:
            self.counters.add("discovery.silent_at_start")
            error = SilentError("it may be out of date", address="{}:{}".format(*self.address))
            log_error(log, error, "serving by the list of the start")
            known, self._startup_list = self._startup_list, None
            self._apply_first_list(known)

    def _apply_first_list(self, known: NodeList) -> None:
        self.lists.apply(ListKind.CACHED, known.version, known.entries, known.addresses)

    def apply_relayed(self, raw: dict[str, Any]) -> None:
        """Apply a list that another gateway received from discovery and relayed."""
        read = self.listing.read(raw, monotonic_us(), yield_to_event_loop)
        if self.scheduler.accept_relayed(read.version):
            self._apply(read)

    def refetch(self) -> None:
        """Make the next call fetch the whole list."""
        self.scheduler.refetch()

    def change_address(self, address: Address) -> None:
        """Use a new address: cancel all open calls and fetch the whole list at once."""
        self.address = address
        self.scheduler.address_changed(monotonic_us())
        self._address_changed.set()
        self._events.put(_AddressChanged())
        self._cancel_all_calls()
        self._close_idle_connection()

    def run(self) -> None:
        """Make call after call; never returns."""
        while True:
            if (due_us := self.scheduler.due_us) is not None and (left_us := due_us - monotonic_us()) > 0:
                self._wait_until_due(left_us / 1e6)
                continue
            fleet = self.fleet
            if fleet is not None and self.scheduler.index is not None and (pause_s := fleet.wait_s()) > 0:
                self._address_changed.clear()
                self._address_changed.wait(pause_s)
                continue
            call = self.scheduler.begin(monotonic_us())
            self._open_calls[call] = gevent.spawn(self._run_call, call)
            self._wait_for_call(call)

    def _wait_until_due(self, length_s: float) -> None:
        """Sleep for `length_s`, or until a late answer arrives or the address changes."""
        try:
            event = self._events.get(timeout=length_s)
        except Empty:
            return
        if isinstance(event, _CallEnded):
            self._call_ended(event)

    # --- a call

    def _run_call(self, call: Call) -> None:
        """Make the call and report its end; runs in a greenlet of its own."""
        try:
            outcome = self._request(call)
        except Exception as error:  # whatever discovery sends, the gateway keeps the list it has
            outcome = error
        self._events.put(_CallEnded(call, outcome))

    def _request(self, call: Call) -> Any:
        """Send the call and return the answer's JSON."""
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_us // 1000}"
        connection, self._idle_connection = self._idle_connection, None
        if connection is not None and not connection.nothing_to_read():
            connection.close()
            connection = None
        if connection is None:
            connection = ListConnection(self.address, call.late_until_us)
        kept = False
        try:
            path = f"/v1/endpoints{query}"
            body, kept = connection.get(
                path, call.late_until_us, lambda: self._events.put(_AnswerBegan(call))
            )
        finally:
            kept = kept and self._idle_connection is None and connection.address == self.address
            if kept:
                self._idle_connection = connection
            else:
                connection.close()
        return json.loads(body)

    def _wait_for_call(self, call: Call) -> None:
        """Wait until the call has ended, has timed out or is void."""
        until_us = call.until_us
        while True:
            try:
                event = self._events.get(timeout=remaining_s(until_us))
            except (Empty, TimeoutError):
                self._call_timed_out(call)
                return
            match event:
                case _AnswerBegan(begun) if begun is call:
                    until_us = self.scheduler.answer_began(call, monotonic_us())
                case _CallEnded(ended):
                    taken = self._call_ended(event)
                    if ended is call:
                        return
                    if taken:  # the late answer to another call: this call is void
                        self._cancel_call(call)
                        return
                case _AddressChanged() if self.scheduler.due_us is not None:
                    return

    def _call_timed_out(self, call: Call) -> None:
        if call.late_until_us <= monotonic_us():
            self._cancel_call(call)
        while len(self._open_calls) > MAX_OPEN_CALLS:
            self._cancel_call(next(iter(self._open_calls)))
        if self.scheduler.failed(call, monotonic_us(), silent=True):
            self._count_failure(TimeoutError())

    def _call_ended(self, event: _CallEnded) -> bool:
        """Process the end of a call; return whether its answer was accepted."""
        call, outcome = event.call, event.outcome
        self._open_calls.pop(call, None)
        if isinstance(outcome, Exception):
            self._call_failed(call, outcome)
            return False
        came_at_us = monotonic_us()
        try:
            read = self.listing.read(outcome, came_at_us, yield_to_event_loop)
        except Exception as error:
            self._call_failed(call, error)
            return False
        try:
            return self._accept_answer(call, outcome, read)
        except Exception:  # a defect of this program: keep watching
            self.counters.add("errors.discovery")
            log_unexpected(log, "applying a list from discovery")
            return True

    def _call_failed(self, call: Call, error: Exception) -> None:
        if isinstance(error, TurnedAwayError):
            self.counters.add("discovery.refused")
            log_error(log, error, level=logging.INFO)
            self.scheduler.refused(call, monotonic_us())
        elif self.scheduler.failed(call, monotonic_us()):
            self._count_failure(error)

    def _count_failure(self, error: Exception) -> None:
        self.counters.add("discovery.failed")
        self._failures += 1
        if not self._failures & (self._failures - 1):  # log 1, 2, 4, ...: an outage must not fill the log
            log_error(log, _as_discovery_error(error, self.address), f"discovery, {self._failures} in a row")

    def _cancel_call(self, call: Call) -> None:
        greenlet = self._open_calls.pop(call, None)
        if greenlet is not None:
            greenlet.kill(block=False)

    def _cancel_all_calls(self) -> None:
        for call in list(self._open_calls):
            self._cancel_call(call)

    def _close_idle_connection(self) -> None:
        if self._idle_connection is not None:
            self._idle_connection.close()
            self._idle_connection = None

    # --- an answer

    def _accept_answer(self, call: Call, raw: dict[str, Any], read: NodeList) -> bool:
        now = monotonic_us()
        verdict = self.scheduler.answered(call, now, read.version, read.whole, bool(read.entries))
        if verdict is AnswerVerdict.VOID:
            return False  # another answer came since, or discovery's address changed
        if now > call.until_us:
            self.counters.add("discovery.late")
        if verdict is AnswerVerdict.ACCEPT:
            self._apply(read)
        self.counters.add("discovery.answers")
        self._failures = 0
        if self.fleet is not None:
            self.fleet.listing_received(None if read.whole else call.index, raw)
        return True

    def _apply(self, read: NodeList) -> None:
        self._report_anomalies(read)
        if self._startup_list is not None:
            known, self._startup_list = self._startup_list, None
            read = read if read.whole else known.with_changes(read)
        if read.entries:
            stopping = [entry.node for entry in read.entries if entry.state is not NodeState.READY]
            log.info(
                "list version %d%s: %d nodes, not ready: %s", read.version, " (whole)" if read.whole else "",
                len(read.entries), " ".join(stopping[:MAX_LOGGED_NODES]) or "none",
            )  # fmt: skip
        if read.whole or read.entries:
            self.lists.apply(read.kind, read.version, read.entries, read.addresses)

    def _report_anomalies(self, read: NodeList) -> None:
        """Log and count anomalies of a list.

        The list is applied all the same: a node reported as removed must get no new work.
        """
        nodes, version = len(read.addresses), read.version
        if nodes < len(read.entries):
            self.counters.add("discovery.named_twice")
            log_error(
                log,
                NamedTwiceError(f"version {version} names nodes twice, the last entry counts"),
                "discovery",
            )
        if read.whole and nodes * 2 < self._last_full_size:
            self.counters.add("discovery.shrunk")
            log_error(
                log,
                ShrunkError(f"version {version} names {nodes} nodes, {self._last_full_size} before"),
                "discovery",
            )
        self._last_full_size = nodes if read.whole else self._last_full_size


def _as_discovery_error(error: Exception, address: Address) -> DiscoveryError:
    """The error to log for a call that failed with `error`."""
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
