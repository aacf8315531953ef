"""When a member may serve under which version of the fleet's policy. No I/O, time as an argument.

A version is a committed entry of the replicated ledger: the whole settings, their digest, and the delay
`after_us`. It is activated by a second entry, which any voting member requests once the delay has passed
since it learned of the version. Four rules:

- A member serves under a version only once its ledger holds both entries. A version whose second entry is
  never committed is never served under.
- A heartbeat is *valid* for `validity_us - max_drift_us` from the moment it was sent, once its answer shows
  that everything committed before it was sent is known here. Without a valid heartbeat a member cannot know
  which version is in force: its admin socket reports not ready and, if `refuse` is set, it accepts no new
  request.
- A member that starts applies the newest active version, and serves only after its first answered heartbeat.
- `after_us` is longer than `validity_us`: a member that has not learned of a version has stopped before the
  version can be activated.

Members with a valid heartbeat see the activation within a heartbeat or two. A member that is partitioned at
that time serves under the older version for at most `validity_us`, so two versions may be served under at
once for that long (by other clocks, longer by the drift).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

OWN = 0  # version number of the member's own file, before any policy was committed


@dataclass(frozen=True, slots=True)
class Version:
    """A committed version of the policy. `body`: the settings as JSON; `by`: the member that proposed it."""

    number: int
    digest: str
    body: str
    after_us: int
    by: str = ""


@dataclass(frozen=True, slots=True)
class HeartbeatRules:
    """`validity_us`: how long an answered heartbeat is valid, from when it was sent; `max_drift_us`: the part
    of that left unused to allow for clock drift; `refuse`: accept no new requests without a valid heartbeat.
    """

    validity_us: int
    max_drift_us: int
    refuse: bool = True

    @property
    def heartbeat_every_us(self) -> int:
        """Interval between heartbeats: a quarter of their usable validity."""
        return (self.validity_us - self.max_drift_us) // 4


@dataclass(slots=True)
class PolicyStateMachine:
    """One member's view of the policy: which version is committed, active and served under here."""

    rules: HeartbeatRules
    serving: Version = field(default_factory=lambda: Version(OWN, "", "", 0))
    since: int = 0  # when it was applied here
    failed: int = 0  # number of a version that could not be applied here: no request is served under it
    _active: int = OWN  # the newest version whose activation entry was seen
    # By number, committed and not in force here: when its delay ends, and the version.
    _pending: dict[int, tuple[int, Version]] = field(default_factory=dict)
    _next_activation_at: int = 0  # earliest time of the next activation request
    _valid_until: int | None = None  # end of the newest answered heartbeat's validity; None: none answered
    _sent: dict[int, int] = field(default_factory=dict)
    _next_heartbeat_at: int = 0

    def heartbeat_due(self, now: int) -> bool:
        """Whether to send a heartbeat now; if so, schedules the next one."""
        if now < self._next_heartbeat_at:
            return False
        self._next_heartbeat_at = now + self.rules.heartbeat_every_us
        return True

    def heartbeat_sent(self, number: int, now: int) -> None:
        self._sent = {n: at for n, at in self._sent.items() if now - at < self.rules.validity_us}
        self._sent[number] = now

    def heartbeat_answered(self, number: int, accepted: bool, now: int) -> None:
        sent_at = self._sent.pop(number, None)
        if sent_at is not None and accepted:
            valid_until = sent_at + self.rules.validity_us - self.rules.max_drift_us
            if now < valid_until:
                self._valid_until = max(valid_until, self._valid_until or 0)

    def version_committed(self, version: Version, now: int) -> None:
        """Process the commit of a version."""
        if version.number > max(self.serving.number, *self._pending, OWN):
            self._pending[version.number] = (now + version.after_us, version)

    def version_activated(self, number: int) -> None:
        """Process the activation of a version."""
        self._active = max(self._active, number)

    def activation_due(self, now: int) -> int | None:
        """The number of the version whose activation is to be requested now, if any."""
        due = [n for n, (at, _) in self._pending.items() if at <= now and n > self._active]
        if not due or now < self._next_activation_at:
            return None
        self._next_activation_at = now + self.rules.heartbeat_every_us
        return max(due)

    def next_version(self) -> Version | None:
        """The version to apply now, if any; the newest of several. Report the result to `version_applied`."""
        due = [n for n in self._pending if n <= self._active]
        versions = [self._pending.pop(n)[1] for n in sorted(due)]
        return versions[-1] if versions else None

    def version_applied(self, version: Version, now: int, succeeded: bool) -> None:
        if succeeded:
            self.serving, self.since, self.failed = version, now, 0
        else:
            self.failed = version.number

    def begin_history(self) -> None:
        """Reset for a new history of the group, which numbers its versions from the start. The version served
        under stays until one of the new history is applied; heartbeats answered in the old one are void."""
        self.serving, self.failed = replace(self.serving, number=OWN), 0
        self._pending, self._active, self._next_activation_at = {}, OWN, 0
        self._valid_until = None

    def heartbeat_valid(self, now: int) -> bool:
        return self._valid_until is not None and now < self._valid_until

    def ready(self, now: int) -> bool:
        """Whether the admin socket may report ready: the fleet's active version is known and applied here."""
        return self.heartbeat_valid(now) and not self.failed and self.serving.number >= self._active

    def serves(self, now: int) -> bool:
        """Whether new requests are accepted."""
        return self._valid_until is not None and (self.ready(now) or not self.rules.refuse)

    def next_at(self) -> int:
        """When this state machine has to be driven next at the latest."""
        times = [
            self._next_heartbeat_at,
            *(max(at, self._next_activation_at) for at, _ in self._pending.values()),
        ]
        return min([*times, self._valid_until] if self._valid_until is not None else times)
