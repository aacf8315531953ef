"""Drives a member's part in asking discovery: one asks for all, the others follow what it published."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stackrouter.coord.lease_driver import LeaseDriver
from stackrouter.coord.log_lines import log_event
from stackrouter.coord.port import Answered, Coordination, ListingSeen, Publish
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.core.counters import Counters
from stackrouter.net.discovery import Discovery

LONGEST_WAIT_S = 0.2
SHORTEST_WAIT_S = 0.01


class WatchDriver:
    """What discovery asks of the fleet (`net.discovery.Fleet`), and what the fleet tells of discovery."""

    def __init__(self, duty: str, life: str, store: Coordination, leases: LeaseDriver, stale_us: int,
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`duty`: whose holder asks discovery; `stale_us`: how long it may be unheard of."""
        self._duty, self._life, self._store, self._leases = duty, life, store, leases
        self._counters, self._clock = counters, clock
        self._follower = Follower(stale_us)
        self._discovery: Discovery | None = None
        self._published = -1  # number of the last publish, for its refusal

    def join(self, discovery: Discovery) -> None:
        """Follow with this gateway's discovery."""
        self._discovery = discovery

    def wait_s(self) -> float:
        """How long discovery need not be asked by this gateway; 0: it is to ask now."""
        now = self._clock()
        acting = self._leases.acting(self._duty) is not None
        if self._follower.role(now, acting) is not Role.FOLLOW:
            return 0.0
        stale_at = self._follower.stale_at()
        if stale_at is None:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, (stale_at - now) / 1e6))

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered this gateway's own call."""
        self._follower.asked(int(listing["index"]))
        token = self._leases.acting(self._duty)
        if token is not None:
            self._published = self._store.ask(Publish(self._duty, self._life, token, base, listing))
            self._counters.add("coord.published")

    def answered(self, event: Answered) -> None:
        """The store answered a command, of this part or of another."""
        if event.number == self._published and not event.accepted:
            self._refused(event.why)

    def listing_seen(self, event: ListingSeen, now: int) -> None:
        """The holder of the duty published what discovery told it."""
        if self._discovery is None or self._leases.acting(self._duty) == event.token:
            return  # our own
        listing = event.listing
        verdict = self._follower.takes(now, event.token, event.base, int(listing["index"]))
        if verdict is Verdict.GAP and (whole := self._store.listing()) is not None:
            token, listing = whole  # what it builds on was missed: the ledger holds the whole list
            verdict = self._follower.takes(now, token, None, int(listing["index"]))
        if verdict is not Verdict.TAKE:
            return
        self._counters.add("coord.listings")
        self._discovery.follow(listing)

    def _refused(self, why: str) -> None:
        """The fleet did not take what this watcher published: the whole list has to come first, or it is
        over."""
        self._counters.add("coord.publish_refused")
        log_event("coord.publish refused", why=why)
        if why in ("gap", "older") and self._discovery is not None:
            self._discovery.move(self._discovery.address)  # the watch under way would tell of changes alone
