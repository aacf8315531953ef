"""Drives a member's lease clients: one for each duty that it may hold."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stackrouter.coord.lease import Action, Ask, Begin, End, LeaseClient, Timing
from stackrouter.coord.log_lines import log_event
from stackrouter.coord.port import Answered, Coordination, Lease, Release
from stackrouter.core.counters import Counters


class LeaseDriver:
    """Hands the lease clients' commands to the store and tells them what came of it. `clock`: microseconds,
    as `lease.py` asks of it."""

    def __init__(self, duties: Sequence[str], life: str, store: Coordination, timing: Timing,
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`life`: a name that no other life of this member has."""
        self._store, self._counters, self._clock = store, counters, clock
        now = clock()
        self._clients = {duty: LeaseClient(duty, life, timing, now, store.store_expires) for duty in duties}

    def acting(self, duty: str) -> int | None:
        """The token to act under now, None: do not. To be asked right before each action of the duty."""
        return self._clients[duty].acting(self._clock())

    def leave(self) -> None:
        """Give back what is held, so that the next holder need not wait, and want nothing more."""
        for client in self._clients.values():
            client.wanted = False
        self.tick()

    def answered(self, event: Answered, now: int) -> None:
        """The store answered a command, of this part or of another."""
        for client in self._clients.values():
            self._do(client, client.answered(event, now))

    def lease_seen(self, lease: Lease, now: int) -> None:
        """The ledger's record of a duty has changed."""
        if (client := self._clients.get(lease.duty)) is not None:
            self._do(client, client.saw(lease, now))

    def tick(self) -> None:
        """Whatever is due by now."""
        for client in self._clients.values():
            self._do(client, client.tick(self._clock()))

    def next_at(self) -> int | None:
        """When `tick` has something to do at the latest; None: only after the next event."""
        times = [at for client in self._clients.values() if (at := client.next_at()) is not None]
        return min(times, default=None)

    def _do(self, client: LeaseClient, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Ask():
                    self._counters.add("coord.asks")
                    now = self._clock()  # before the ask: the holder's time counts from here
                    number = self._store.ask(action.command)
                    if not isinstance(action.command, Release):
                        client.numbered(number, now)
                case Begin():
                    self._counters.add("coord.leases_begun")
                    log_event("coord.lease begin", duty=action.duty, token=action.token)
                case End():
                    self._counters.add(f"coord.leases_{action.why}")
                    log_event("coord.lease end", duty=action.duty, token=action.token, why=action.why)
