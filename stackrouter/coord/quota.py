"""Fleet-wide limits: which part of a volume's rate each member may admit. No I/O, time is an argument.

The holder of the duty `quota` (the allocator) distributes parts of each volume's limit as grants that expire;
each member reports its demand and gets a grant in answer.

- Every member has a floor without any grant: `floor / members` of the limit. The rest is allocated by demand,
  max-min fair: no member gets more than it wants while another gets less than an even part.
- A grant is valid at the member for `ttl - max_drift` of its clock from when it *sent* its report, and at the
  allocator for `ttl` of its own clock from when it *issued* the grant: as for leases (lease.py), the member's
  validity ends first as long as clocks stay within the drift bound.
- A member's part is reduced by granting it less; the previous part counts as allocated until the member
  reports the smaller grant as in force, or the larger one has expired. Only then is it given to another.
- A new allocator does not know its predecessor's grants. It grants nothing beyond the floors until every
  member has reported what it has in force, or a whole `ttl` has passed.

So the parts in force never add up to more than 1, whichever members are partitioned, stopped or killed: the
fleet admits at most `limit * time + burst`, like one gateway with one token bucket (a member whose part gets
smaller first reduces its bucket's content to the smaller depth). A member that loses the allocator is back at
its floor within `ttl`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Parts = dict[str, float]  # by volume: the part of its limit, 0 to 1


@dataclass(frozen=True, slots=True)
class QuotaParameters:
    """Parameters of the allocation.

    `floor`: the part of each limit that is divided evenly and needs no grant; `headroom`: factor on a
    member's demand, so that growing demand becomes visible; `max_volumes`: further volumes stay at even
    parts.
    """

    members: int
    ttl_us: int
    max_drift_us: int
    floor: float = 0.05
    headroom: float = 1.1
    max_volumes: int = 10_000

    @property
    def floor_per_member(self) -> float:
        """The part of each limit that a member has without a grant."""
        return self.floor / self.members


@dataclass(frozen=True, slots=True)
class Report:
    """A member's report. `wants`: demand by volume, in parts of the limit; `token` and `holding`: allocator
    token and number of the grant in force; `parts`: what that grants."""

    member: str
    wants: Mapping[str, float]
    token: int
    holding: int
    parts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a report. `number` grows with each grant of an allocator; `token`: from the allocator's
    lease."""

    token: int
    number: int
    parts: Mapping[str, float]


def max_min_fair(total: float, wants: Mapping[str, float]) -> Parts:
    """Divide `total` max-min fairly: none gets more than it wants, and what none wants remains."""
    granted: Parts = {}
    remaining = total
    for position, (name, want) in enumerate(sorted(wants.items(), key=lambda item: item[1])):
        granted[name] = min(want, remaining / (len(wants) - position))
        remaining -= granted[name]
    return granted


@dataclass(slots=True)
class _IssuedGrant:
    """A grant as the allocator counts it. `until`: when it has expired on the allocator's clock."""

    until: int
    parts: Mapping[str, float]


@dataclass(slots=True)
class _MemberRecord:
    """The allocator's record of a member: its last report, and the grants that may be in force there."""

    wants: Mapping[str, float] = field(default_factory=dict)
    reported_at: int = 0
    granted: dict[int, _IssuedGrant] = field(default_factory=dict)

    def max_part(self, volume: str, now: int) -> float:
        """The largest part of the volume's limit that any unexpired grant gives the member."""
        return max((g.parts.get(volume, 0.0) for g in self.granted.values() if g.until > now), default=0.0)


class Allocator:
    """Answers members' reports with grants. `token`: of this allocator's lease."""

    def __init__(self, terms: QuotaParameters, token: int, now: int) -> None:
        self._terms, self._token, self._since = terms, token, now
        self._number = 0
        self._members: dict[str, _MemberRecord] = {}

    def report(self, report: Report, now: int) -> Grant:
        """Process a member's report and return its grant."""
        record = self._members.setdefault(report.member, _MemberRecord())
        record.wants = dict(list(report.wants.items())[: self._terms.max_volumes])
        record.reported_at = now
        if report.token == self._token:
            # Drop grants older than the one in force at the member, and expired ones.
            record.granted = {
                n: g for n, g in record.granted.items() if n >= report.holding and g.until > now
            }
        else:
            record.granted.setdefault(0, _IssuedGrant(now + self._terms.ttl_us, report.parts))
        self._drop_silent_members(now)
        parts: Parts = {}
        if now - self._since >= self._terms.ttl_us or len(self._members) >= self._terms.members:
            parts = {v: part for v in record.wants if (part := self._part(report.member, v, now)) > 0.0}
        self._number += 1
        record.granted[self._number] = _IssuedGrant(now + self._terms.ttl_us, parts)
        return Grant(self._token, self._number, parts)

    def outstanding(self, volume: str, now: int) -> float:
        """The sum of the parts that may be in force beyond the floors."""
        return sum(record.max_part(volume, now) for record in self._members.values())

    def _part(self, member: str, volume: str, now: int) -> float:
        terms = self._terms
        wants = {m: max(0.0, k.wants.get(volume, 0.0) * terms.headroom - terms.floor_per_member)
                 for m, k in self._members.items() if volume in k.wants}  # fmt: skip
        others = sum(k.max_part(volume, now) for m, k in self._members.items() if m != member)
        return max(0.0, min(max_min_fair(1.0 - terms.floor, wants)[member], 1.0 - terms.floor - others))

    def _drop_silent_members(self, now: int) -> None:
        """Drop members that have not reported for two ttls: their grants have expired."""
        for name in [m for m, k in self._members.items() if now - k.reported_at >= 2 * self._terms.ttl_us]:
            del self._members[name]


class GrantHolder:
    """The member's side: which part of each limit it may admit now."""

    def __init__(self, terms: QuotaParameters) -> None:
        self._terms = terms
        self._grant = Grant(0, 0, {})
        self._until = 0

    def report(self, member: str, wants: Mapping[str, float], now: int) -> Report:
        """The report to send, with the grant in force."""
        parts = self._grant.parts if now < self._until else {}
        return Report(member, wants, self._grant.token, self._grant.number, parts)

    def apply_grant(self, grant: Grant, sent_at: int, now: int) -> bool:
        """Apply the answer to the report that was sent at `sent_at`. False: it came too late, is from a
        superseded allocator, or is older than the grant in force."""
        until = sent_at + self._terms.ttl_us - self._terms.max_drift_us
        if now >= until or (grant.token, grant.number) <= (self._grant.token, self._grant.number):
            return False
        self._grant, self._until = grant, until
        return True

    def part(self, volume: str, now: int) -> float:
        """The part of the volume's limit that this member may admit now."""
        granted = self._grant.parts.get(volume, 0.0) if now < self._until else 0.0
        return self._terms.floor_per_member + granted
