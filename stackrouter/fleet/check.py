"""Checks the recorded history of a run for lease and policy violations. No I/O.

An *overlap* is an action that the receiver accepted although a later holder had acted before (a lower token
after a higher one), or an accepted action whose token another member has used. A *belief overlap* is an
action whose sender checked its clock and found its lease valid although a later holder had made that check
earlier. The receiver has to reject such an action, and none may occur while clock drift stays in bounds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

IMPAIRING = ("partition", "oneway", "stall", "kill", "delay", "drop")  # faults that can slow a handoff
LEASE_LOSING = ("partition", "stall", "kill")  # faults that make a holder lose its lease


@dataclass(frozen=True, slots=True)
class Action:
    """One action under a duty's lease, as the receiver recorded it. Times are nanoseconds of the machine's
    monotonic clock."""

    received_ns: int
    duty: str
    token: int
    incarnation: str  # `MEMBER#ID`, which identifies one process of the member
    checked_ns: int  # when the sender checked that its lease was valid
    accepted: bool

    @property
    def member(self) -> str:
        return self.incarnation.partition("#")[0]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that was injected at a member. Times are nanoseconds of the machine's monotonic clock."""

    begun_ns: int
    ended_ns: int
    kind: str
    member: str


@dataclass(frozen=True, slots=True)
class Handoff:
    """The time from a fault at the holder to the next holder's first accepted action. `clean`: no other
    impairing fault overlapped with it."""

    duty: str
    kind: str
    ms: float
    clean: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of what the history of actions shows; see the module's text for the two kinds of overlap."""

    overlaps: int
    belief_overlaps: int
    refused: int
    actions: int
    handoffs: tuple[Handoff, ...]
    unfinished: int  # faults at a holder after which neither a new holder nor the old one acted again


def check(actions: Sequence[Action], faults: Sequence[Fault]) -> Verdict:
    """Checks the actions of a run against the lease rules and measures its handoffs."""
    accepted = [a for a in sorted(actions, key=lambda a: a.received_ns) if a.accepted]
    handoffs, unfinished = _handoffs(accepted, faults)
    return Verdict(
        overlaps=_token_violations(accepted),
        belief_overlaps=_token_violations(sorted(actions, key=lambda a: a.checked_ns)),
        refused=sum(not a.accepted for a in actions),
        actions=len(actions),
        handoffs=tuple(handoffs),
        unfinished=unfinished,
    )


def _token_violations(actions: Sequence[Action]) -> int:
    """Counts actions whose token is lower than an earlier one, or was first used by another process."""
    highest: dict[str, int] = {}
    owner: dict[tuple[str, int], str] = {}
    count = 0
    for a in actions:
        foreign = owner.setdefault((a.duty, a.token), a.incarnation) != a.incarnation
        count += a.token < highest.get(a.duty, 0) or foreign
        highest[a.duty] = max(a.token, highest.get(a.duty, 0))
    return count


def _handoffs(accepted: Sequence[Action], faults: Sequence[Fault]) -> tuple[list[Handoff], int]:
    """The handoffs that faults caused, and how many faults at a holder were followed by no action."""
    found: list[Handoff] = []
    unfinished = 0
    for fault in faults:
        if fault.kind not in LEASE_LOSING:
            continue
        for duty in {a.duty for a in accepted}:
            of_duty = [a for a in accepted if a.duty == duty]
            before = [a for a in of_duty if a.received_ns <= fault.begun_ns]
            if not before or before[-1].member != fault.member:
                continue
            after = next(
                (a for a in of_duty if a.received_ns > fault.begun_ns and a.token > before[-1].token), None
            )
            if after is None:
                unfinished += not any(a.received_ns > fault.ended_ns for a in of_duty)
                continue
            kept = any(
                fault.ended_ns <= a.received_ns < after.received_ns and a.token == before[-1].token
                for a in of_duty
            )
            if kept:
                continue  # the holder survived this fault; a later one caused the handoff
            clean = not any(other is not fault and other.kind in IMPAIRING
                            and other.begun_ns < after.received_ns
                            and other.ended_ns > fault.begun_ns for other in faults)  # fmt: skip
            found.append(Handoff(duty, fault.kind, (after.received_ns - fault.begun_ns) / 1e6, clean))
    return found, unfinished


@dataclass(frozen=True, slots=True)
class VersionSample:
    """A sample: the policy version that a member would have served a request under at that time."""

    sampled_ns: int  # machine's monotonic clock
    version: int
    digest: str
    incarnation: str  # as in `Action`


@dataclass(frozen=True, slots=True)
class PolicyVerdict:
    """`uncommitted_served`: samples whose version was not committed with that digest; `splits_ms`: per
    committed version, from the first sample under it to the last sample under an older one; `spreads_ms`: per
    committed version, from the first sample under it to the first one of the last member that adopted it;
    `twins`: versions that two members hold with different content."""

    uncommitted_served: int
    splits_ms: tuple[float, ...]
    spreads_ms: tuple[float, ...]
    twins: int
    samples: int


def check_policy(
    samples: Sequence[VersionSample], ledgers: Sequence[Sequence[tuple[int, str]]]
) -> PolicyVerdict:
    """Checks the samples of a run. `ledgers`: the committed versions and digests of each status response."""
    committed: dict[int, str] = {}
    twins: set[int] = set()
    for ledger in ledgers:
        for number, digest in ledger:
            if committed.setdefault(number, digest) != digest:
                twins.add(number)
    ordered = sorted(samples, key=lambda s: s.sampled_ns)
    uncommitted = sum(s.version > 0 and committed.get(s.version) != s.digest for s in ordered)
    splits, spreads = [], []
    for number in sorted(committed):
        first_ns = next((s.sampled_ns for s in ordered if s.version >= number), None)
        if first_ns is None:
            continue
        older = [s.sampled_ns for s in ordered if s.sampled_ns > first_ns and s.version < number]
        splits.append((max(older) - first_ns) / 1e6 if older else 0.0)
        adopted_ns: dict[str, int] = {}
        for s in ordered:
            if s.version >= number:
                adopted_ns.setdefault(s.incarnation, s.sampled_ns)
        served_before = {s.incarnation for s in ordered if s.sampled_ns < first_ns}
        delays = [at - first_ns for incarnation, at in adopted_ns.items() if incarnation in served_before]
        spreads.append(max(delays, default=0) / 1e6)
    return PolicyVerdict(uncommitted, tuple(splits), tuple(spreads), len(twins), len(ordered))


def percentile(values: Sequence[float], part: float) -> float | None:
    """The value that the fraction `part` of the values does not exceed; None if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else None
