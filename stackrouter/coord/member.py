"""A gateway as a member of the fleet: runs the lease, policy and watch drivers on one adapter.

The drivers use only the store and a clock; apart from the adapters and `waiting_commands`, only this module
uses greenlets.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event as Flag

from stackrouter.coord.lease import Timing
from stackrouter.coord.lease_driver import LeaseDriver
from stackrouter.coord.log_lines import log, log_event
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine
from stackrouter.coord.policy_driver import PolicyDriver
from stackrouter.coord.port import (
    ActiveSeen,
    Answered,
    Command,
    Coordination,
    Event,
    LeaseSeen,
    ListingSeen,
    PolicySeen,
    TermSeen,
)
from stackrouter.coord.waiting_commands import WaitingCommands
from stackrouter.coord.watch_driver import WatchDriver
from stackrouter.core.counters import Counters
from stackrouter.errors import log_unexpected
from stackrouter.net.discovery import Discovery

WATCH, QUOTA = "watch", "quota"
DUTIES = (WATCH, QUOTA)
MAX_WAIT_S = 0.2
MIN_WAIT_S = 0.001
DEFECT_PAUSE_S = 0.1


def boottime_us(rate: float = 1.0) -> int:
    """A clock in microseconds that keeps counting while the machine is suspended, which CLOCK_MONOTONIC does
    not: a lease must not outlive a suspension. `rate`: simulated clock rate, for drills."""
    return int(time.clock_gettime_ns(time.CLOCK_BOOTTIME) * rate) // 1000


class Member:
    """One member of the fleet. `incarnation`: `name` with a suffix unique to this process; `term`: term and
    leader as last reported; `duties`: those that this member may hold, `watch` among them."""

    def __init__(self, name: str, store: Coordination, timing: Timing, stale_us: int, counters: Counters,
                 clock: Callable[[], int] = boottime_us, duties: Sequence[str] = DUTIES) -> None:  # fmt: skip
        """`stale_us`: how long the holder of `watch` may be silent; `clock`: microseconds."""
        # An earlier process with the same name must not be mistaken for this one.
        self.name, self.incarnation = name, f"{name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}"
        self.store, self.counters, self.clock = store, counters, clock
        self.term = TermSeen(0, "")
        self._leases = LeaseDriver(duties, self.incarnation, store, timing, counters, clock)
        self._watch = WatchDriver(WATCH, self.incarnation, store, self._leases, stale_us, counters, clock)
        self._policy: PolicyDriver | None = None  # None: each member serves under its own policy file
        self._commands = WaitingCommands(store)
        self._subscribers: list[Callable[[Event], None]] = []
        self._wake_event = Flag()
        self._async_watcher: Any = gevent.get_hub().loop.async_()
        self._async_watcher.start(self._wake_event.set)
        self._stopping = False

    def start(self) -> None:
        """Start the store and the member's loop."""
        self.store.start(self._async_watcher.send)
        gevent.spawn(self._run)

    def join(self, discovery: Discovery) -> None:
        """Let the fleet's watcher query discovery on behalf of this gateway."""
        self._watch.join(discovery)
        discovery.fleet = self

    def subscribe(self, handler: Callable[[Event], None]) -> None:
        """Call `handler` with every event of the store, in order, before this member processes it."""
        self._subscribers.append(handler)

    def keep_policy(self, rules: HeartbeatRules, take: Callable[[str], None]) -> None:
        """Serve under the fleet's policy. `take` applies a version's settings here, or raises."""
        self._policy = PolicyDriver(self.name, self.store, rules, take, self.counters, self.clock)

    @property
    def policy_state(self) -> PolicyStateMachine | None:
        """The state of the fleet's policy on this member; None: `keep_policy` was not called."""
        return None if self._policy is None else self._policy.state

    def refuses_requests(self) -> bool:
        """Whether new requests must be refused now: this member cannot know which policy is in force."""
        return self._policy is not None and self._policy.refuses_requests()

    def not_ready(self) -> str:
        """Why this member is not ready, for the admin socket; empty: it is ready."""
        return "" if self._policy is None else self._policy.not_ready()

    def ask_and_wait(self, command: Command, within_s: float) -> str | None:
        """Submit a command and wait up to `within_s` seconds. Returns why it was refused; empty: it was
        applied; None: no answer within that time."""
        return self._commands.ask_and_wait(command, within_s)

    def fencing_token(self, duty: str) -> int | None:
        """The token to act under now; None: do not act. To be called right before each action of the duty."""
        return self._leases.fencing_token(duty)

    def leave(self) -> None:
        """Release all held duties, so that the next holder need not wait, and request none again."""
        self._leases.leave()

    def close(self) -> None:
        """Release all duties and stop the loop and the store."""
        self.leave()
        self._stopping = True
        self.store.close()

    # Implements net.discovery.Fleet.

    def wait_s(self) -> float:
        """How long this gateway need not query discovery; 0: query it now."""
        return self._watch.wait_s()

    def listing_received(self, base: int | None, listing: dict[str, Any]) -> None:
        """Process discovery's answer to this gateway's own call."""
        self._watch.listing_received(base, listing)

    # The member's loop.

    def _run(self) -> None:
        while not self._stopping:
            self._wake_event.clear()
            try:
                self._step()
            except Exception:  # a fault in coordination must not stop the gateway, which can serve without it
                self.counters.add("errors.coord")
                log_unexpected(log, "coordination")
                gevent.sleep(DEFECT_PAUSE_S)
            self._wake_event.wait(self._pause_s())

    def _step(self) -> None:
        for event in self.store.events():
            for subscriber in self._subscribers:
                subscriber(event)
            self._dispatch(event)
        self._leases.tick()
        if self._policy is not None:
            self._policy.tick()

    def _pause_s(self) -> float:
        """How long to wait for an event until something is due."""
        times = [at for at in (self._leases.next_at(),) if at is not None]
        if self._policy is not None:
            times.append(self._policy.next_at())
        left_s = (min(times) - self.clock()) / 1e6 if times else MAX_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, left_s))

    def _dispatch(self, event: Event) -> None:
        now = self.clock()
        match event:
            case Answered():
                self._answered(event, now)
            case LeaseSeen():
                self._leases.lease_seen(event.lease, now)
            case ListingSeen():
                self._watch.listing_seen(event, now)
            case PolicySeen() if self._policy is not None:
                self._policy.version_committed(event.version, now)
            case ActiveSeen() if self._policy is not None:
                self._policy.version_activated(event.number)
            case TermSeen():
                self.term = event
                self.counters.add("coord.terms")
                log_event("coord.term", term=event.term, leader=event.leader or "nobody")

    def _answered(self, event: Answered, now: int) -> None:
        self._watch.answered(event)
        self._leases.answered(event, now)
        if self._policy is not None:
            self._policy.answered(event, now)
        self._commands.answered(event)
