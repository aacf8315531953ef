"""The replicated state machine of the fleet: leases, the list of storage nodes, the log. No I/O, no clock.

All members apply the same commands in the same order and so have the same state. Nothing here depends on
time: a lease expires by its holder's own clock, and a member that takes over has observed its mark unchanged
for a whole ttl (see lease.py), so clocks that disagree on the time do no harm.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, fields, replace
from typing import Any

from stackrouter.coord.policy import Version
from stackrouter.coord.port import (
    NOBODY,
    Acquire,
    Activate,
    ActiveSeen,
    Append,
    Barrier,
    BeginHistory,
    Command,
    EntrySeen,
    Event,
    HistoryBegun,
    Lease,
    LeaseSeen,
    LedgerState,
    ListingSeen,
    LogPosition,
    PolicySeen,
    Present,
    Propose,
    Publish,
    Release,
    Renew,
    ServingReport,
)

MAX_DUTIES = 64  # bounds the memory that a peer with invented duty names can use
MAX_ENTRIES = 1024  # of the log: the latest are kept
MAX_NODES = 20_000
MAX_VERSIONS = 8  # of the policy: the newest are kept, for members that rejoin and for rollbacks
MAX_POLICY_SIZE = 256 * 1024
MAX_MEMBERS = 64
MAX_REPORTS = 64  # of replicas: the latest are kept
MAX_REPORT_ITEMS = 16  # versions and names in one report
MAX_IDENTITY_CHARS = 64


@dataclass(slots=True)
class Listings:
    """Discovery's whole list of storage nodes, assembled from what the watchers published."""

    token: int = 0
    index: int = -1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)

    def refusal(self, command: Publish) -> str:
        """Why this listing cannot be applied; empty: it can."""
        if command.token < self.token:
            return "token"
        if command.base is not None and (self.index < 0 or command.base > self.index):
            return "gap"  # the changes in between are missing: the whole list is needed first
        if command.base is not None and int(command.listing["index"]) < self.index:
            return "older"  # a whole list is always accepted: discovery may have restarted
        count = len(command.listing["endpoints"]) + (len(self.items) if command.base is not None else 0)
        return "size" if count > MAX_NODES else ""

    def take(self, command: Publish) -> None:
        """Apply a listing that `refusal` accepts."""
        if command.base is None:
            self.items = {}
        for item in command.listing["endpoints"]:
            self.items[item["name"]] = item
        removed = [name for name, item in self.items.items() if item["status"] == "removed"]
        if command.base is None or len(removed) * 2 > len(self.items):
            # Removed nodes stay in the list for members that lag behind, but bounded: they are dropped with
            # the next whole list, or once they make up more than half of the list.
            for name in removed:
                del self.items[name]
        self.token, self.index = command.token, int(command.listing["index"])

    def whole(self) -> dict[str, Any] | None:
        """The list as discovery's JSON; None: none was published."""
        if self.index < 0:
            return None
        return {"index": self.index, "snapshot": True, "endpoints": list(self.items.values())}


@dataclass(slots=True)
class Ledger:
    """The replicated state. The Raft library pickles it into its dumps: fields must not be renamed."""

    leases: dict[str, Lease] = field(default_factory=dict)
    listings: Listings = field(default_factory=Listings)
    entries: deque[EntrySeen] = field(default_factory=lambda: deque(maxlen=MAX_ENTRIES))
    index: int = 0  # of the last entry of the log
    policies: list[Version] = field(default_factory=list)  # the newest last
    active: int = 0  # number of the newest activated version
    present: dict[str, tuple[int, int]] = field(default_factory=dict)  # by member: version, seconds under it
    history: str = ""  # identity of the group's history; empty: not begun yet, and changes are not numbered
    number: int = 0  # of the last change (policy committed, version activated, nodes listed) of the history
    reports: dict[str, ServingReport] = field(default_factory=dict)  # by replica, the newest last

    def __setstate__(self, state: tuple[None, dict[str, Any]]) -> None:
        """Fields that a dump of an older release lacks get their initial values."""
        for name, value in (_slot_values(Ledger()) | state[1]).items():
            setattr(self, name, value)

    def apply(self, command: Command) -> tuple[str, list[Event]]:
        """Apply a command. Returns why it was refused (empty: it was applied) and the resulting events."""
        match command:
            case Acquire():
                return self._acquire(command)
            case Renew() | Release():
                return self._renew_or_release(command)
            case Publish():
                return self._publish(command)
            case Propose():
                return self._propose(command)
            case Activate():
                if not self.active < command.number <= self.version():
                    return "active", []  # another member's request was applied first
                if all(version.number != command.number for version in self.policies):
                    return (
                        "gone",
                        [],
                    )  # superseded and no longer retained: a starting member could not learn it
                self.active = command.number
                return "", [ActiveSeen(command.number, self._next_number())]
            case Present():
                if command.member not in self.present and len(self.present) >= MAX_MEMBERS:
                    return "size", []
                self.present[command.member] = command.serving, command.for_s
                return "", []
            case Append():
                self.index += 1
                entry = EntrySeen(self.index, command.kind, command.member, command.body)
                self.entries.append(entry)
                return "", [entry]
            case BeginHistory():
                return self._begin_history(command)
            case Barrier():
                return self._barrier(command), []

    def position(self) -> LogPosition:
        """The position of the last numbered change."""
        return LogPosition(self.history, self.number)

    def state(self) -> LedgerState:
        """The current state, as observers need it."""
        nodes = tuple(self.listings.items.values())
        return LedgerState(self.position(), tuple(self.policies), self.active, self.listings.index, nodes)

    def _next_number(self) -> int:
        """Return the number of a change that was just applied; 0 until a history was begun. Counting starts
        only then so that members agree that loaded dumps of an older release, taken at different entries."""
        if self.history:
            self.number += 1
        return self.number

    def _begin_history(self, command: BeginHistory) -> tuple[str, list[Event]]:
        if self.history:
            return "history", []
        if not 0 < len(command.identity) <= MAX_IDENTITY_CHARS:
            return "size", []
        self.history = command.identity
        return "", [HistoryBegun(command.identity)]

    def _barrier(self, command: Barrier) -> str:
        report = command.report
        if max(len(report.by_version), len(report.behind)) > MAX_REPORT_ITEMS:
            return "size"
        self.reports.pop(command.member, None)
        self.reports[command.member] = report
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]
        return ""

    def version(self) -> int:
        """The number of the newest committed version; 0: none."""
        return self.policies[-1].number if self.policies else 0

    def _propose(self, command: Propose) -> tuple[str, list[Event]]:
        if command.base != self.version():
            return (
                "base",
                [],
            )  # another change was committed first: the proposer has to see it before trying again
        if len(command.body) > MAX_POLICY_SIZE:
            return "size", []
        version = Version(command.base + 1, command.digest, command.body, command.after_us, command.member)
        self.policies = retained_versions([*self.policies, version], self.active)
        return "", [PolicySeen(version, self._next_number())]

    def lease(self, duty: str) -> Lease:
        return self.leases.get(duty) or Lease(duty)

    def _acquire(self, command: Acquire) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if command.duty not in self.leases and len(self.leases) >= MAX_DUTIES:
            return "size", []
        if lease.mark != command.over:  # checked for a free duty too: a delayed Acquire must not take effect
            return "held", []
        return "", self._set_lease(Lease(command.duty, command.member, lease.token + 1))

    def _renew_or_release(self, command: Renew | Release) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if (lease.holder, lease.token) != (command.member, command.token):
            return "token", []
        if isinstance(command, Release):
            return "", self._set_lease(replace(lease, holder=NOBODY, seq=lease.seq + 1))
        return "", self._set_lease(replace(lease, seq=lease.seq + 1))

    def _publish(self, command: Publish) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if (lease.holder, lease.token) != (command.member, command.token):
            return "token", []
        if reason := self.listings.refusal(command):
            return reason, []
        self.listings.take(command)
        return "", [ListingSeen(command.token, command.base, command.listing, self._next_number())]

    def _set_lease(self, lease: Lease) -> list[Event]:
        self.leases[lease.duty] = lease
        return [LeaseSeen(lease)]


def retained_versions(versions: list[Version], active: int) -> list[Version]:
    """The newest versions and the active one, which every starting member has to learn."""
    if len(versions) <= MAX_VERSIONS:
        return versions
    oldest = next(version for version in versions if version.number != active)
    return [version for version in versions if version is not oldest]


def _slot_values(ledger: Ledger) -> dict[str, Any]:
    return {slot.name: getattr(ledger, slot.name) for slot in fields(ledger)}
