"""Drives a member's discovery queries: one member queries for all, the others follow what it publishes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stackrouter.coord.lease_driver import LeaseDriver
from stackrouter.coord.log_lines import log_event
from stackrouter.coord.port import Answered, Coordination, ListingSeen, Publish
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.core.counters import Counters
from stackrouter.net.discovery import Discovery

MAX_WAIT_S = 0.2
MIN_WAIT_S = 0.01


class WatchDriver:
    """Connects this gateway's discovery with the fleet: publishes its answers or follows published ones."""

    def __init__(self, duty: str, incarnation: str, store: Coordination, leases: LeaseDriver, stale_us: int,
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`duty`: its holder queries discovery; `stale_us`: how long the holder may be silent."""
        self._duty, self._incarnation, self._store, self._leases = duty, incarnation, store, leases
        self._counters, self._clock = counters, clock
        self._follower = Follower(stale_us)
        self._discovery: Discovery | None = None
        self._published = -1  # command number of the last Publish, to recognise its refusal

    def join(self, discovery: Discovery) -> None:
        """Pass followed listings to this gateway's discovery."""
        self._discovery = discovery

    def wait_s(self) -> float:
        """How long this gateway need not query discovery; 0: query it now."""
        now = self._clock()
        is_watcher = self._leases.fencing_token(self._duty) is not None
        if self._follower.role(now, is_watcher) is not Role.FOLLOW:
            return 0.0
        stale_at = self._follower.stale_at()
        if stale_at is None:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, (stale_at - now) / 1e6))

    def listing_received(self, base: int | None, listing: dict[str, Any]) -> None:
        """Process discovery's answer to this gateway's own call."""
        self._follower.queried(int(listing["index"]))
        token = self._leases.fencing_token(self._duty)
        if token is not None:
            self._published = self._store.submit(Publish(self._duty, self._incarnation, token, base, listing))
            self._counters.add("coord.published")

    def answered(self, event: Answered) -> None:
        """Process an answer of the store; the command may be another component's."""
        if event.number == self._published and not event.accepted:
            self._refused(event.why)

    def listing_seen(self, event: ListingSeen, now: int) -> None:
        """Process a listing that the holder of the duty published."""
        if self._discovery is None or self._leases.fencing_token(self._duty) == event.token:
            return  # published by this member
        listing = event.listing
        verdict = self._follower.verdict_on(now, event.token, event.base, int(listing["index"]))
        if verdict is Verdict.GAP and (whole := self._store.listing()) is not None:
            token, listing = whole  # its base was missed: the ledger has the whole list
            verdict = self._follower.verdict_on(now, token, None, int(listing["index"]))
        if verdict is not Verdict.APPLY:
            return
        self._counters.add("coord.listings")
        self._discovery.apply_relayed(listing)

    def _refused(self, why: str) -> None:
        """Process the refusal of this watcher's Publish: either the whole list is needed first, or its lease
        has ended."""
        self._counters.add("coord.publish_refused")
        log_event("coord.publish refused", why=why)
        if why in ("gap", "older") and self._discovery is not None:
            # Restart the watch: it would return only changes.
            self._discovery.change_address(self._discovery.address)
