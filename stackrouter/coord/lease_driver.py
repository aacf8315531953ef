"""Drives a member's lease clients, one for each duty that it may hold."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stackrouter.coord.lease import Action, Begin, End, LeaseClient, Submit, Timing
from stackrouter.coord.log_lines import log_event
from stackrouter.coord.port import Answered, Coordination, Lease, Release
from stackrouter.core.counters import Counters


class LeaseDriver:
    """Submits the lease clients' commands to the store and passes the answers back. `clock`: microseconds,
    with the properties that `lease.py` requires."""

    def __init__(self, duties: Sequence[str], incarnation: str, store: Coordination, timing: Timing,
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`incarnation`: a name unique to this process of the member."""
        self._store, self._counters, self._clock = store, counters, clock
        now = clock()
        self._clients = {
            duty: LeaseClient(duty, incarnation, timing, now, store.store_expires) for duty in duties
        }

    def fencing_token(self, duty: str) -> int | None:
        """The token to act under now; None: do not act. To be called right before each action of the duty."""
        return self._clients[duty].fencing_token(self._clock())

    def leave(self) -> None:
        """Release all held duties, so that the next holder need not wait, and request none again."""
        for client in self._clients.values():
            client.wanted = False
        self.tick()

    def answered(self, event: Answered, now: int) -> None:
        """Process an answer of the store; the command may be another component's."""
        for client in self._clients.values():
            self._carry_out(client, client.answered(event, now))

    def lease_seen(self, lease: Lease, now: int) -> None:
        """Process a changed record of a duty."""
        if (client := self._clients.get(lease.duty)) is not None:
            self._carry_out(client, client.lease_seen(lease, now))

    def tick(self) -> None:
        """Carry out the actions that are due."""
        for client in self._clients.values():
            self._carry_out(client, client.tick(self._clock()))

    def next_at(self) -> int | None:
        """When `tick` has to be called next at the latest; None: not before the next event."""
        times = [at for client in self._clients.values() if (at := client.next_at()) is not None]
        return min(times, default=None)

    def _carry_out(self, client: LeaseClient, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Submit():
                    self._counters.add("coord.asks")
                    now = self._clock()  # before the request is sent: the lease is measured from here
                    number = self._store.submit(action.command)
                    if not isinstance(action.command, Release):
                        client.command_sent(number, now)
                case Begin():
                    self._counters.add("coord.leases_begun")
                    log_event("coord.lease begin", duty=action.duty, token=action.token)
                case End():
                    self._counters.add(f"coord.leases_{action.why}")
                    log_event("coord.lease end", duty=action.duty, token=action.token, why=action.why)
