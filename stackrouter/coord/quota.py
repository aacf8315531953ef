"""Limits for the whole fleet: who may admit which part of a volume's rate. No I/O, time as an argument.

Whoever holds the duty `quota` (the allocator) hands out parts of each volume's limit as grants that lapse;
each member reports what it is asked for and gets a grant in answer.

- Every member has a floor without any grant: `floor / members` of the limit. The rest is handed out by
  demand, max-min fair: nobody gets more than it wants while another gets less than an even part.
- A grant counts at the member from when it *asked*, for `ttl - max_drift` of its clock, and at the
  allocator from when it *gave*, for `ttl` of its own: as for leases (lease.py), the member's ends first
  while clocks keep to the drift.
- A part is taken from a member by giving it less; what it had before counts as handed out until it reports
  the smaller grant as in force, or until the larger one has lapsed. Only then does another get it.
- A new allocator does not know what the last one gave. It hands out nothing but floors until every member
  has told what it has in force, or a whole `ttl` is over.

So the parts in force never add up to more than 1, whoever is cut off, stopped or killed: the fleet admits
at most `limit * time + burst`, as one gateway with one bucket would (a member that takes a smaller part
first lowers what its bucket holds to the smaller depth). A member that loses the allocator is back at its
floor within `ttl`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Parts = dict[str, float]  # by volume, the part of its limit, 0 to 1


@dataclass(frozen=True, slots=True)
class Terms:
    """`floor`: the part of each limit that is divided evenly and needs no grant; `headroom`: how much more
    than its demand a member is given, so that growth shows; `most_volumes`: those past it stay at even
    parts."""

    members: int
    ttl_us: int
    max_drift_us: int
    floor: float = 0.05
    headroom: float = 1.1
    most_volumes: int = 10_000

    @property
    def even(self) -> float:
        return self.floor / self.members


@dataclass(frozen=True, slots=True)
class Report:
    """What a member is asked for, by volume, in parts of the limit; `token` and `holding`: the allocator
    and number of the grant in force; `parts`: what that grants."""

    member: str
    wants: Mapping[str, float]
    token: int
    holding: int
    parts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Grant:
    """`number` grows with each grant of an allocator; `token`: the allocator's, from its lease."""

    token: int
    number: int
    parts: Mapping[str, float]


def fair(total: float, wants: Mapping[str, float]) -> Parts:
    """Max-min fair: `total` among those who want, nobody more than it wants; what nobody wants is left."""
    given: Parts = {}
    left = total
    for nth, (name, want) in enumerate(sorted(wants.items(), key=lambda item: item[1])):
        given[name] = min(want, left / (len(wants) - nth))
        left -= given[name]
    return given


@dataclass(slots=True)
class _Given:
    until: int
    parts: Mapping[str, float]


@dataclass(slots=True)
class _Known:
    """What the allocator knows of a member: its last report, and the grants that may be in force there."""

    wants: Mapping[str, float] = field(default_factory=dict)
    reported_at: int = 0
    given: dict[int, _Given] = field(default_factory=dict)

    def may_hold(self, volume: str, now: int) -> float:
        return max((g.parts.get(volume, 0.0) for g in self.given.values() if g.until > now), default=0.0)


class Allocator:
    def __init__(self, terms: Terms, token: int, now: int) -> None:
        self._terms, self._token, self._since = terms, token, now
        self._number = 0
        self._members: dict[str, _Known] = {}

    def report(self, report: Report, now: int) -> Grant:
        """The grant in answer to a report."""
        known = self._members.setdefault(report.member, _Known())
        known.wants = dict(list(report.wants.items())[: self._terms.most_volumes])
        known.reported_at = now
        if report.token == self._token:
            # Grants before the one in force there are gone, and so are those that lapsed.
            known.given = {n: g for n, g in known.given.items() if n >= report.holding and g.until > now}
        else:
            known.given.setdefault(0, _Given(now + self._terms.ttl_us, report.parts))
        self._forget(now)
        parts: Parts = {}
        if now - self._since >= self._terms.ttl_us or len(self._members) >= self._terms.members:
            parts = {v: part for v in known.wants if (part := self._part(report.member, v, now)) > 0.0}
        self._number += 1
        known.given[self._number] = _Given(now + self._terms.ttl_us, parts)
        return Grant(self._token, self._number, parts)

    def outstanding(self, volume: str, now: int) -> float:
        """What may be in force of the volume's limit beyond the floors."""
        return sum(known.may_hold(volume, now) for known in self._members.values())

    def _part(self, member: str, volume: str, now: int) -> float:
        terms = self._terms
        wants = {m: max(0.0, k.wants.get(volume, 0.0) * terms.headroom - terms.even)
                 for m, k in self._members.items() if volume in k.wants}  # fmt: skip
        others = sum(k.may_hold(volume, now) for m, k in self._members.items() if m != member)
        return max(0.0, min(fair(1.0 - terms.floor, wants)[member], 1.0 - terms.floor - others))

    def _forget(self, now: int) -> None:
        """A member unheard of for a ttl wants nothing, and holds nothing any more."""
        for name in [m for m, k in self._members.items() if now - k.reported_at >= 2 * self._terms.ttl_us]:
            del self._members[name]


class Holder:
    """A member's side: what part of each limit it may admit now."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._grant = Grant(0, 0, {})
        self._until = 0

    def report(self, member: str, wants: Mapping[str, float], now: int) -> Report:
        parts = self._grant.parts if now < self._until else {}
        return Report(member, wants, self._grant.token, self._grant.number, parts)

    def granted(self, grant: Grant, asked_at: int, now: int) -> bool:
        """Take the answer to the report made at `asked_at`; False: too late, or from an allocator that was
        followed by another, or older than the grant in force."""
        until = asked_at + self._terms.ttl_us - self._terms.max_drift_us
        if now >= until or (grant.token, grant.number) <= (self._grant.token, self._grant.number):
            return False
        self._grant, self._until = grant, until
        return True

    def part(self, volume: str, now: int) -> float:
        granted = self._grant.parts.get(volume, 0.0) if now < self._until else 0.0
        return self._terms.even + granted
