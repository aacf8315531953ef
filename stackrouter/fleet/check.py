"""What the history of a run shows. No I/O.

An *overlap* is an action that the receiving side took although a later holder had been there (a lower token
after a higher one), or under a token that another member has acted under. A *belief overlap* is an action
whose sender looked at its clock, saw its lease in force, and yet a later holder had looked before it: the
receiving side has to refuse it, and within the stated drift there may be none.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

IMPAIRING = ("partition", "oneway", "stall", "kill", "delay", "drop")
LOSES = ("partition", "stall", "kill")  # what makes a holder lose its duty


@dataclass(frozen=True, slots=True)
class Action:
    """One action of a duty as its receiver got it. Times are nanoseconds of the machine's monotonic clock."""

    at: int
    duty: str
    token: int
    life: str  # the member, `#`, and which of its lives
    looked_at: int
    accepted: bool

    @property
    def member(self) -> str:
        return self.life.partition("#")[0]


@dataclass(frozen=True, slots=True)
class Fault:
    at: int
    until: int
    kind: str
    member: str


@dataclass(frozen=True, slots=True)
class Handoff:
    """From a fault of the holder to the first action taken from the next one. `clean`: nothing else was
    wrong."""

    duty: str
    kind: str
    ms: float
    clean: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    overlaps: int
    belief_overlaps: int
    refused: int
    actions: int
    handoffs: tuple[Handoff, ...]
    unfinished: int  # the holder's fault was never followed by another's action, nor by its own


def check(actions: Sequence[Action], faults: Sequence[Fault]) -> Verdict:
    taken = [a for a in sorted(actions, key=lambda a: a.at) if a.accepted]
    handoffs, unfinished = _handoffs(taken, faults)
    return Verdict(
        overlaps=_crossings(taken),
        belief_overlaps=_crossings(sorted(actions, key=lambda a: a.looked_at)),
        refused=sum(not a.accepted for a in actions),
        actions=len(actions),
        handoffs=tuple(handoffs),
        unfinished=unfinished,
    )


def _crossings(actions: Sequence[Action]) -> int:
    """Actions, in this order, whose token is lower than one before, or another member's."""
    highest: dict[str, int] = {}
    owner: dict[tuple[str, int], str] = {}
    count = 0
    for a in actions:
        foreign = owner.setdefault((a.duty, a.token), a.life) != a.life
        count += a.token < highest.get(a.duty, 0) or foreign
        highest[a.duty] = max(a.token, highest.get(a.duty, 0))
    return count


def _handoffs(taken: Sequence[Action], faults: Sequence[Fault]) -> tuple[list[Handoff], int]:
    found: list[Handoff] = []
    unfinished = 0
    for fault in faults:
        if fault.kind not in LOSES:
            continue
        for duty in {a.duty for a in taken}:
            mine = [a for a in taken if a.duty == duty]
            before = [a for a in mine if a.at <= fault.at]
            if not before or before[-1].member != fault.member:
                continue
            after = next((a for a in mine if a.at > fault.at and a.token > before[-1].token), None)
            if after is None:
                unfinished += not any(a.at > fault.until for a in mine)
                continue
            kept = any(fault.until <= a.at < after.at and a.token == before[-1].token for a in mine)
            if kept:
                continue  # it came through: what took the duty from it came later
            clean = not any(other is not fault and other.kind in IMPAIRING and other.at < after.at
                            and other.until > fault.at for other in faults)  # fmt: skip
            found.append(Handoff(duty, fault.kind, (after.at - fault.at) / 1e6, clean))
    return found, unfinished


@dataclass(frozen=True, slots=True)
class Served:
    """A member would have served a request under this version then."""

    at: int
    version: int
    digest: str
    life: str


@dataclass(frozen=True, slots=True)
class PolicyVerdict:
    """`splits_ms`: by committed version, from the first member that served under it to the last time that any
    served under an older one; `spread_ms`: to the last member's first time under it, of those that came to
    it; `twins`: versions that two members hold with different content."""

    uncommitted_served: int
    splits_ms: tuple[float, ...]
    spreads_ms: tuple[float, ...]
    twins: int
    samples: int


def check_policy(samples: Sequence[Served], ledgers: Sequence[Sequence[tuple[int, str]]]) -> PolicyVerdict:
    """`ledgers`: the committed versions and digests, as each member told them whenever it was asked."""
    committed: dict[int, str] = {}
    twins: set[int] = set()
    for ledger in ledgers:
        for number, digest in ledger:
            if committed.setdefault(number, digest) != digest:
                twins.add(number)
    ordered = sorted(samples, key=lambda s: s.at)
    wrong = sum(s.version > 0 and committed.get(s.version) != s.digest for s in ordered)
    splits, spreads = [], []
    for number in sorted(committed):
        first = next((s.at for s in ordered if s.version >= number), None)
        if first is None:
            continue
        older = [s.at for s in ordered if s.at > first and s.version < number]
        splits.append((max(older) - first) / 1e6 if older else 0.0)
        came: dict[str, int] = {}
        for s in ordered:
            if s.version >= number:
                came.setdefault(s.life, s.at)
        served_before = {s.life for s in ordered if s.at < first}
        late = [at - first for life, at in came.items() if life in served_before]
        spreads.append(max(late, default=0) / 1e6)
    return PolicyVerdict(wrong, tuple(splits), tuple(spreads), len(twins), len(ordered))


def percentile(values: Sequence[float], part: float) -> float | None:
    """The value that `part` of them do not exceed; None of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else None
