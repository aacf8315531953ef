"""One gateway's part in the fleet: drives the lease keepers and the watch duty on an adapter. The only module
of the package, beside the adapters, that knows greenlets and clocks.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as Flag

from stackrouter.coord.lease import Action, Ask, Begin, End, LeaseKeeper, Timing
from stackrouter.coord.policy import PolicyStateMachine, Rules
from stackrouter.coord.port import (
    Activate,
    ActiveSeen,
    Answered,
    Command,
    Coordination,
    Event,
    LeaseSeen,
    ListingSeen,
    PolicySeen,
    Present,
    Publish,
    Release,
    TermSeen,
)
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.core.counters import Counters
from stackrouter.errors import ConfigError, PolicyTakeError, defect, tell
from stackrouter.net.discovery import Discovery

log = logging.getLogger(__name__)

WATCH, QUOTA = "watch", "quota"
DUTIES = (WATCH, QUOTA)
LONGEST_WAIT_S = 0.2


def boottime_us(rate: float = 1.0) -> int:
    """A clock that counts on while the machine is suspended, which CLOCK_MONOTONIC does not: a lease must not
    outlive a suspension. `rate`: for drills, how fast it seems to run."""
    return int(time.clock_gettime_ns(time.CLOCK_BOOTTIME) * rate) // 1000


def _say(event: str, **fields: object) -> None:
    """A line that reads alike as text, and has its fields apart as JSON."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    log.info("%s %s", event, text, extra=fields)


class Member:
    def __init__(self, name: str, store: Coordination, timing: Timing, stale_us: int, counters: Counters,
                 clock: Callable[[], int] = boottime_us, duties: Sequence[str] = DUTIES) -> None:  # fmt: skip
        # Another life under the same name must not pass for this one.
        self.name, self.life = name, f"{name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}"
        self.store, self.counters, self.clock = store, counters, clock
        now = clock()
        self.keepers = {d: LeaseKeeper(d, self.life, timing, now, store.store_expires) for d in duties}
        self.follower = Follower(stale_us)
        self.term = TermSeen(0, "")
        self.policy_state: PolicyStateMachine | None = None  # None: each member serves under its own file
        self._take_policy: Callable[[str], None] = lambda text: None
        self._waiting: dict[int, AsyncResult[str]] = {}  # by number, who waits for an answer
        self._discovery: Discovery | None = None
        self._subscribers: list[Callable[[Event], None]] = []
        self._published = -1  # number of the last publish, for its refusal
        self._due = Flag()
        self._async: Any = gevent.get_hub().loop.async_()
        self._async.start(self._due.set)
        self._stopping = False

    def start(self) -> None:
        self.store.start(self._async.send)
        gevent.spawn(self._run)

    def join(self, discovery: Discovery) -> None:
        """Let the fleet's watcher ask discovery for this gateway."""
        self._discovery = discovery
        discovery.fleet = self

    def subscribe(self, heard: Callable[[Event], None]) -> None:
        """Have every event of the store told, in order, before this member acts on it."""
        self._subscribers.append(heard)

    def keep_policy(self, rules: Rules, take: Callable[[str], None]) -> None:
        """Serve under the fleet's policy. `take` makes a version's settings hold here, or raises."""
        self.policy_state, self._take_policy = PolicyStateMachine(rules), take

    def holds_back(self) -> bool:
        """Whether no new request may be taken now: this member cannot know what policy is in force."""
        return self.policy_state is not None and not self.policy_state.serves(self.clock())

    def not_ready(self) -> str:
        """Why this member's door may not say yes; empty: it may."""
        if self.policy_state is None or self.policy_state.ready(self.clock()):
            return ""
        failed = self.policy_state.failed
        return f"policy {failed} cannot be taken here" if failed else "out of touch with the fleet"

    def ask_and_wait(self, command: Command, within_s: float) -> str | None:
        """Why a command was refused; empty: it took hold; None: not known within this time."""
        waiting = self._waiting[self.store.ask(command)] = AsyncResult()
        try:
            return waiting.get(timeout=within_s)
        except gevent.Timeout:
            return None
        finally:
            self._waiting = {n: w for n, w in self._waiting.items() if w is not waiting}

    def acting(self, duty: str) -> int | None:
        """The token to act under now, None: do not. To be asked right before each action of the duty."""
        return self.keepers[duty].acting(self.clock())

    def leave(self) -> None:
        """Give back what is held, so that the next holder need not wait, and want nothing more."""
        for keeper in self.keepers.values():
            keeper.wanted = False
            self._do(keeper, keeper.tick(self.clock()))

    def close(self) -> None:
        self.leave()
        self._stopping = True
        self.store.close()

    # What discovery asks of the fleet (net.discovery.Fleet).

    def wait_s(self) -> float:
        """How long discovery need not be asked by this gateway; 0: it is to ask now."""
        now = self.clock()
        if self.follower.role(now, self.acting(WATCH) is not None) is not Role.FOLLOW:
            return 0.0
        stale_at = self.follower.stale_at()
        return LONGEST_WAIT_S if stale_at is None else min(LONGEST_WAIT_S, max(0.01, (stale_at - now) / 1e6))

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered this gateway's own call."""
        self.follower.asked(int(listing["index"]))
        token = self.acting(WATCH)
        if token is not None:
            self._published = self.store.ask(Publish(WATCH, self.life, token, base, listing))
            self.counters.add("coord.published")

    # The loop.

    def _run(self) -> None:
        while not self._stopping:
            self._due.clear()
            try:
                for event in self.store.events():
                    for subscriber in self._subscribers:
                        subscriber(event)
                    self._heard(event)
                for keeper in self.keepers.values():
                    self._do(keeper, keeper.tick(self.clock()))
                if self.policy_state is not None:
                    self._steer(self.policy_state)
            except Exception:  # coordination must never end the gateway: without it, it serves as it did
                self.counters.add("errors.coord")
                defect(log, "coordination")
                gevent.sleep(0.1)
            times = [at for k in self.keepers.values() if (at := k.next_at()) is not None]
            times += [self.policy_state.next_at()] if self.policy_state is not None else []
            left = (min(times) - self.clock()) / 1e6 if times else LONGEST_WAIT_S
            self._due.wait(min(LONGEST_WAIT_S, max(0.001, left)))

    def _heard(self, event: Event) -> None:
        now = self.clock()
        match event:
            case Answered():
                if event.number == self._published and not event.accepted:
                    self._refused(event.why)
                for keeper in self.keepers.values():
                    self._do(keeper, keeper.answered(event, now))
                if self.policy_state is not None:
                    self.policy_state.heartbeat_answered(event.number, event.accepted, now)
                if (waiting := self._waiting.get(event.number)) is not None:
                    waiting.set(event.why)
            case ActiveSeen() if self.policy_state is not None:
                self.policy_state.version_activated(event.number)
            case PolicySeen() if self.policy_state is not None:
                version = event.version
                _say("policy.committed", version=version.number, digest=version.digest[:12], by=version.by)
                self.policy_state.version_committed(version, now)
            case LeaseSeen() if event.lease.duty in self.keepers:
                keeper = self.keepers[event.lease.duty]
                self._do(keeper, keeper.saw(event.lease, now))
            case ListingSeen():
                self._listed(now, event)
            case TermSeen():
                self.term = event
                self.counters.add("coord.terms")
                _say("coord.term", term=event.term, leader=event.leader or "nobody")

    def _steer(self, policy_state: PolicyStateMachine) -> None:
        """Say that this member is here, and take the version whose time has come."""
        now = self.clock()
        if policy_state.heartbeat_due(now):
            for_s = (now - policy_state.since) // 1_000_000
            policy_state.heartbeat_sent(
                self.store.ask(Present(self.name, policy_state.serving.number, for_s)), now
            )
        if (number := policy_state.activation_due(now)) is not None:
            self.store.ask(Activate(self.name, number))
        if (version := policy_state.next_version()) is None:
            return
        try:
            self._take_policy(version.body)
        except (ConfigError, ValueError) as error:  # checked where it was proposed, it may not fit here
            self.counters.add("policy.failed")
            tell(log, PolicyTakeError(error), f"policy.failed version={version.number}", logging.ERROR)
            policy_state.version_taken(version, now, False)
            return
        self.counters.add("policy.taken")
        _say("policy.taken", version=version.number, digest=version.digest[:12])
        policy_state.version_taken(version, now, True)

    def _listed(self, now: int, event: ListingSeen) -> None:
        if self._discovery is None or self.acting(WATCH) == event.token:
            return  # our own
        listing = event.listing
        verdict = self.follower.takes(now, event.token, event.base, int(listing["index"]))
        if verdict is Verdict.GAP and (whole := self.store.listing()) is not None:
            token, listing = whole  # what it builds on was missed: the ledger holds the whole list
            verdict = self.follower.takes(now, token, None, int(listing["index"]))
        if verdict is not Verdict.TAKE:
            return
        self.counters.add("coord.listings")
        self._discovery.follow(listing)

    def _refused(self, why: str) -> None:
        """The fleet did not take what this watcher published: the whole list has to come first, or it is
        over."""
        self.counters.add("coord.publish_refused")
        _say("coord.publish refused", why=why)
        if why in ("gap", "older") and self._discovery is not None:
            self._discovery.move(self._discovery.address)  # the watch under way would tell of changes alone

    def _do(self, keeper: LeaseKeeper, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Ask():
                    self.counters.add("coord.asks")
                    now = self.clock()  # before the ask: the holder's time counts from here
                    number = self.store.ask(action.command)
                    if not isinstance(action.command, Release):
                        keeper.numbered(number, now)
                case Begin():
                    self.counters.add("coord.leases_begun")
                    _say("coord.lease begin", duty=action.duty, token=action.token)
                case End():
                    self.counters.add(f"coord.leases_{action.why}")
                    _say("coord.lease end", duty=action.duty, token=action.token, why=action.why)
