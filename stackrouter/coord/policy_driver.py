"""Drives a member's policy state machine: heartbeats, activations, and applying a version's settings."""

from __future__ import annotations

import logging
from collections.abc import Callable

from stackrouter.coord.log_lines import log, log_event
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine, Version
from stackrouter.coord.port import Activate, Answered, Coordination, Present
from stackrouter.core.counters import Counters
from stackrouter.errors import ConfigError, PolicyTakeError, log_error


class PolicyDriver:
    """`state`: which version is committed, active and served under here. `clock`: microseconds, with the
    properties that `policy.py` requires."""

    def __init__(self, member: str, store: Coordination, rules: HeartbeatRules, take: Callable[[str], None],
                 counters: Counters, clock: Callable[[], int]) -> None:  # fmt: skip
        """`take` applies a version's settings here, or raises a ConfigError or a ValueError."""
        self.state = PolicyStateMachine(rules)
        self._member, self._store, self._apply = member, store, take
        self._counters, self._clock = counters, clock

    def refuses_requests(self) -> bool:
        """Whether new requests must be refused now: this member cannot know which policy is in force."""
        return not self.state.serves(self._clock())

    def not_ready(self) -> str:
        """Why this member is not ready, for the admin socket; empty: it is ready."""
        if self.state.ready(self._clock()):
            return ""
        failed = self.state.failed
        return f"policy {failed} cannot be applied here" if failed else "no valid heartbeat from the fleet"

    def answered(self, event: Answered, now: int) -> None:
        """Process an answer of the store; the command may be another component's."""
        self.state.heartbeat_answered(event.number, event.accepted, now)

    def version_committed(self, version: Version, now: int) -> None:
        """Process the commit of a version."""
        log_event("policy.committed", version=version.number, digest=version.digest[:12], by=version.by)
        self.state.version_committed(version, now)

    def version_activated(self, number: int) -> None:
        """Process the activation of a version."""
        self.state.version_activated(number)

    def tick(self) -> None:
        """Send a heartbeat, request an activation and apply a version, each if due."""
        now = self._clock()
        if self.state.heartbeat_due(now):
            self._send_heartbeat(now)
        if (number := self.state.activation_due(now)) is not None:
            self._store.submit(Activate(self._member, number))
        if (version := self.state.next_version()) is not None:
            self._apply_version(version, now)

    def next_at(self) -> int:
        """When `tick` has to be called next at the latest."""
        return self.state.next_at()

    def _send_heartbeat(self, now: int) -> None:
        served_s = (now - self.state.since) // 1_000_000
        number = self._store.submit(Present(self._member, self.state.serving.number, served_s))
        self.state.heartbeat_sent(number, now)

    def _apply_version(self, version: Version, now: int) -> None:
        try:
            self._apply(version.body)
        except (ConfigError, ValueError) as error:  # validated where it was proposed, but may not fit here
            self._counters.add("policy.failed")
            log_error(log, PolicyTakeError(error), f"policy.failed version={version.number}", logging.ERROR)
            self.state.version_applied(version, now, False)
            return
        self._counters.add("policy.taken")
        log_event("policy.taken", version=version.number, digest=version.digest[:12])
        self.state.version_applied(version, now, True)
