"""The fleet's state, as every member holds it: leases, the list of storage nodes, the log. No I/O, no clock.

All members apply the same commands in the same order and so hold the same state. Nothing here depends on
time: a lease ends in its holder's own clock, and who takes over has watched its mark stand still (see
lease.py), so clocks that disagree on what time it is do no harm.
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

MOST_DUTIES = 64  # a peer that makes up duties must not fill the memory
MOST_ENTRIES = 1024  # of the log, the latest stay
MOST_NODES = 20_000
MOST_VERSIONS = 8  # of the policy, the newest stay: for members that come back, and to go back to
MOST_BODY = 256 * 1024
MOST_MEMBERS = 64
MOST_REPORTS = 64  # of replicas: the latest stay
MOST_REPORTED = 16  # versions and names in one report
MOST_IDENTITY = 64  # characters


@dataclass(slots=True)
class Listings:
    """Discovery's list, whole, put together from what the watchers published."""

    token: int = 0
    index: int = -1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)

    def refusal(self, command: Publish) -> str:
        """Why this may not be taken; empty: it may."""
        if command.token < self.token:
            return "token"
        if command.base is not None and (self.index < 0 or command.base > self.index):
            return "gap"  # changes in between are not known: the whole list has to come first
        if command.base is not None and int(command.listing["index"]) < self.index:
            return "older"  # a whole list always counts: discovery may have begun anew
        count = len(command.listing["endpoints"]) + (len(self.items) if command.base is not None else 0)
        return "size" if count > MOST_NODES else ""

    def take(self, command: Publish) -> None:
        if command.base is None:
            self.items = {}
        for item in command.listing["endpoints"]:
            self.items[item["name"]] = item
        gone = [name for name, item in self.items.items() if item["status"] == "removed"]
        if command.base is None or len(gone) * 2 > len(self.items):
            # One that was removed stays to be told to those who come late, but not without end.
            for name in gone:
                del self.items[name]
        self.token, self.index = command.token, int(command.listing["index"])

    def whole(self) -> dict[str, Any] | None:
        if self.index < 0:
            return None
        return {"index": self.index, "snapshot": True, "endpoints": list(self.items.values())}


@dataclass(slots=True)
class Ledger:
    leases: dict[str, Lease] = field(default_factory=dict)
    listings: Listings = field(default_factory=Listings)
    entries: deque[EntrySeen] = field(default_factory=lambda: deque(maxlen=MOST_ENTRIES))
    index: int = 0  # of the last entry of the log
    policies: list[Version] = field(default_factory=list)  # the newest last
    active: int = 0  # the newest version that holds
    present: dict[str, tuple[int, int]] = field(default_factory=dict)  # by member: version, seconds under it
    history: str = ""  # identity of the group's history; empty: none was begun, and changes are not numbered
    number: int = 0  # of the last change (policy committed, version activated, nodes listed) of the history
    reports: dict[str, ServingReport] = field(default_factory=dict)  # by replica, the newest last

    def __setstate__(self, state: tuple[None, dict[str, Any]]) -> None:
        """A dump of an older release lacks the newer fields: they begin as in a new ledger."""
        for name, value in (_slots(Ledger()) | state[1]).items():
            setattr(self, name, value)

    def apply(self, command: Command) -> tuple[str, list[Event]]:
        """Why it was refused (empty: it took hold), and what there is to see."""
        match command:
            case Acquire():
                return self._acquire(command)
            case Renew() | Release():
                return self._keep(command)
            case Publish():
                return self._publish(command)
            case Propose():
                return self._propose(command)
            case Activate():
                if not self.active < command.number <= self.version():
                    return "active", []  # another member asked first
                if all(version.number != command.number for version in self.policies):
                    return "gone", []  # so many came after it that nobody who starts could learn it
                self.active = command.number
                return "", [ActiveSeen(command.number, self._count())]
            case Present():
                if command.member not in self.present and len(self.present) >= MOST_MEMBERS:
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
        """Where the numbered changes stand."""
        return LogPosition(self.history, self.number)

    def state(self) -> LedgerState:
        """What observers have to know, as of now."""
        nodes = tuple(self.listings.items.values())
        return LedgerState(self.position(), tuple(self.policies), self.active, self.listings.index, nodes)

    def _count(self) -> int:
        """The number of a change that has just taken hold; 0 as long as no history was begun. Members that
        loaded dumps of an older release, taken at different entries, thus count alike."""
        if self.history:
            self.number += 1
        return self.number

    def _begin_history(self, command: BeginHistory) -> tuple[str, list[Event]]:
        if self.history:
            return "history", []
        if not 0 < len(command.identity) <= MOST_IDENTITY:
            return "size", []
        self.history = command.identity
        return "", [HistoryBegun(command.identity)]

    def _barrier(self, command: Barrier) -> str:
        report = command.report
        if max(len(report.by_version), len(report.behind)) > MOST_REPORTED:
            return "size"
        self.reports.pop(command.member, None)
        self.reports[command.member] = report
        while len(self.reports) > MOST_REPORTS:
            del self.reports[next(iter(self.reports))]
        return ""

    def version(self) -> int:
        """The number of the newest version; 0: none was committed."""
        return self.policies[-1].number if self.policies else 0

    def _propose(self, command: Propose) -> tuple[str, list[Event]]:
        if command.base != self.version():
            return "base", []  # another change came first: whoever proposes has to look at it
        if len(command.body) > MOST_BODY:
            return "size", []
        version = Version(command.base + 1, command.digest, command.body, command.after_us, command.member)
        self.policies = retained([*self.policies, version], self.active)
        return "", [PolicySeen(version, self._count())]

    def lease(self, duty: str) -> Lease:
        return self.leases.get(duty) or Lease(duty)

    def _acquire(self, command: Acquire) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if command.duty not in self.leases and len(self.leases) >= MOST_DUTIES:
            return "size", []
        if lease.mark != command.over:  # also of a free duty: an ask that comes late takes nothing
            return "held", []
        return "", self._set(Lease(command.duty, command.member, lease.token + 1))

    def _keep(self, command: Renew | Release) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if (lease.holder, lease.token) != (command.member, command.token):
            return "token", []
        if isinstance(command, Release):
            return "", self._set(replace(lease, holder=NOBODY, seq=lease.seq + 1))
        return "", self._set(replace(lease, seq=lease.seq + 1))

    def _publish(self, command: Publish) -> tuple[str, list[Event]]:
        lease = self.lease(command.duty)
        if (lease.holder, lease.token) != (command.member, command.token):
            return "token", []
        if why := self.listings.refusal(command):
            return why, []
        self.listings.take(command)
        return "", [ListingSeen(command.token, command.base, command.listing, self._count())]

    def _set(self, lease: Lease) -> list[Event]:
        self.leases[lease.duty] = lease
        return [LeaseSeen(lease)]


def retained(versions: list[Version], active: int) -> list[Version]:
    """The newest versions, and the active one, which everyone who starts has to be told."""
    if len(versions) <= MOST_VERSIONS:
        return versions
    oldest = next(version for version in versions if version.number != active)
    return [version for version in versions if version is not oldest]


def _slots(ledger: Ledger) -> dict[str, Any]:
    return {slot.name: getattr(ledger, slot.name) for slot in fields(ledger)}
