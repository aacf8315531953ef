"""Drives a member's policy state machine: heartbeats, activations, and taking a version's settings here."""

from __future__ import annotations

import logging
from collections.abc import Callable

from stackrouter.coord.log_lines import log, log_event
from stackrouter.coord.policy import PolicyStateMachine, Rules, Version
from stackrouter.coord.port import Activate, Answered, Coordination, Present
from stackrouter.core.counters import Counters
from stackrouter.errors import ConfigError, PolicyTakeError, tell


class PolicyDriver:
    """`state`: which version is committed, active and served under here. `clock`: microseconds, as
    `policy.py` asks of it."""

    def __init__(self, member: str, store: Coordination, rules: Rules, take: Callable[[str], None],
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`take` makes a version's settings hold here, or raises a ConfigError or a ValueError."""
        self.state = PolicyStateMachine(rules)
        self._member, self._store, self._take = member, store, take
        self._counters, self._clock = counters, clock

    def holds_back(self) -> bool:
        """Whether no new request may be taken now: this member cannot know what policy is in force."""
        return not self.state.serves(self._clock())

    def not_ready(self) -> str:
        """Why this member's door may not say yes; empty: it may."""
        if self.state.ready(self._clock()):
            return ""
        failed = self.state.failed
        return f"policy {failed} cannot be taken here" if failed else "out of touch with the fleet"

    def answered(self, event: Answered, now: int) -> None:
        """The store answered a command, of this part or of another."""
        self.state.heartbeat_answered(event.number, event.accepted, now)

    def version_committed(self, version: Version, now: int) -> None:
        """The ledger holds this version as committed."""
        log_event("policy.committed", version=version.number, digest=version.digest[:12], by=version.by)
        self.state.version_committed(version, now)

    def version_activated(self, number: int) -> None:
        """The ledger holds the activation of this version."""
        self.state.version_activated(number)

    def tick(self) -> None:
        """Say that this member is here, and take the version whose time has come."""
        now = self._clock()
        if self.state.heartbeat_due(now):
            self._send_heartbeat(now)
        if (number := self.state.activation_due(now)) is not None:
            self._store.ask(Activate(self._member, number))
        if (version := self.state.next_version()) is not None:
            self._take_version(version, now)

    def next_at(self) -> int:
        """When `tick` has something to do at the latest."""
        return self.state.next_at()

    def _send_heartbeat(self, now: int) -> None:
        served_s = (now - self.state.since) // 1_000_000
        number = self._store.ask(Present(self._member, self.state.serving.number, served_s))
        self.state.heartbeat_sent(number, now)

    def _take_version(self, version: Version, now: int) -> None:
        try:
            self._take(version.body)
        except (ConfigError, ValueError) as error:  # checked where it was proposed, it may not fit here
            self._counters.add("policy.failed")
            tell(log, PolicyTakeError(error), f"policy.failed version={version.number}", logging.ERROR)
            self.state.version_taken(version, now, False)
            return
        self._counters.add("policy.taken")
        log_event("policy.taken", version=version.number, digest=version.digest[:12])
        self.state.version_taken(version, now, True)
