"""One gateway's part in the fleet: joins the lease clients, the policy and the watch on one adapter.

The drivers know the store and a clock; this module alone, beside the adapters and `waiting_commands`, knows
greenlets.
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
from stackrouter.coord.policy import PolicyStateMachine, Rules
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
from stackrouter.errors import defect
from stackrouter.net.discovery import Discovery

WATCH, QUOTA = "watch", "quota"
DUTIES = (WATCH, QUOTA)
LONGEST_WAIT_S = 0.2
SHORTEST_WAIT_S = 0.001
DEFECT_PAUSE_S = 0.1


def boottime_us(rate: float = 1.0) -> int:
    """A clock that counts on while the machine is suspended, which CLOCK_MONOTONIC does not: a lease must not
    outlive a suspension. Microseconds. `rate`: for drills, how fast it seems to run."""
    return int(time.clock_gettime_ns(time.CLOCK_BOOTTIME) * rate) // 1000


class Member:
    """`life`: a name that no other process has had under the same `name`; `term`: who leads, as last heard;
    `duties`: those that this member may hold, `watch` among them."""

    def __init__(self, name: str, store: Coordination, timing: Timing, stale_us: int, counters: Counters,
                 clock: Callable[[], int] = boottime_us, duties: Sequence[str] = DUTIES) -> None:  # fmt: skip
        """`stale_us`: how long the holder of `watch` may be unheard of; `clock`: microseconds."""
        # Another life under the same name must not pass for this one.
        self.name, self.life = name, f"{name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}"
        self.store, self.counters, self.clock = store, counters, clock
        self.term = TermSeen(0, "")
        self._leases = LeaseDriver(duties, self.life, store, timing, counters, clock)
        self._watch = WatchDriver(WATCH, self.life, store, self._leases, stale_us, counters, clock)
        self._policy: PolicyDriver | None = None  # None: each member serves under its own file
        self._commands = WaitingCommands(store)
        self._subscribers: list[Callable[[Event], None]] = []
        self._due = Flag()
        self._async: Any = gevent.get_hub().loop.async_()
        self._async.start(self._due.set)
        self._stopping = False

    def start(self) -> None:
        """Take part from now on."""
        self.store.start(self._async.send)
        gevent.spawn(self._run)

    def join(self, discovery: Discovery) -> None:
        """Let the fleet's watcher ask discovery for this gateway."""
        self._watch.join(discovery)
        discovery.fleet = self

    def subscribe(self, heard: Callable[[Event], None]) -> None:
        """Have every event of the store told, in order, before this member acts on it."""
        self._subscribers.append(heard)

    def keep_policy(self, rules: Rules, take: Callable[[str], None]) -> None:
        """Serve under the fleet's policy. `take` makes a version's settings hold here, or raises."""
        self._policy = PolicyDriver(self.name, self.store, rules, take, self.counters, self.clock)

    @property
    def policy_state(self) -> PolicyStateMachine | None:
        """Which version is served under here; None: no policy is kept."""
        return None if self._policy is None else self._policy.state

    def holds_back(self) -> bool:
        """Whether no new request may be taken now: this member cannot know what policy is in force."""
        return self._policy is not None and self._policy.holds_back()

    def not_ready(self) -> str:
        """Why this member's door may not say yes; empty: it may."""
        return "" if self._policy is None else self._policy.not_ready()

    def ask_and_wait(self, command: Command, within_s: float) -> str | None:
        """Why a command was refused; empty: it took hold; None: not known within this time."""
        return self._commands.ask_and_wait(command, within_s)

    def acting(self, duty: str) -> int | None:
        """The token to act under now, None: do not. To be asked right before each action of the duty."""
        return self._leases.acting(duty)

    def leave(self) -> None:
        """Give back what is held, so that the next holder need not wait, and want nothing more."""
        self._leases.leave()

    def close(self) -> None:
        """Leave, and take no further part."""
        self.leave()
        self._stopping = True
        self.store.close()

    # What discovery asks of the fleet (net.discovery.Fleet).

    def wait_s(self) -> float:
        """How long discovery need not be asked by this gateway; 0: it is to ask now."""
        return self._watch.wait_s()

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered this gateway's own call."""
        self._watch.told(base, listing)

    # The loop.

    def _run(self) -> None:
        while not self._stopping:
            self._due.clear()
            try:
                self._step()
            except Exception:  # coordination must never end the gateway: without it, it serves as it did
                self.counters.add("errors.coord")
                defect(log, "coordination")
                gevent.sleep(DEFECT_PAUSE_S)
            self._due.wait(self._pause_s())

    def _step(self) -> None:
        for event in self.store.events():
            for subscriber in self._subscribers:
                subscriber(event)
            self._heard(event)
        self._leases.tick()
        if self._policy is not None:
            self._policy.tick()

    def _pause_s(self) -> float:
        """How long nothing is due, unless an event comes."""
        times = [at for at in (self._leases.next_at(),) if at is not None]
        if self._policy is not None:
            times.append(self._policy.next_at())
        left_s = (min(times) - self.clock()) / 1e6 if times else LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, left_s))

    def _heard(self, event: Event) -> None:
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
