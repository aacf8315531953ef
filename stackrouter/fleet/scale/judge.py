"""From the history of a scale run to its figures and its verdict. No I/O.

All times are nanoseconds of the machine's monotonic clock, which all processes of a run share. A change is
*in force* at a gateway once the gateway has taken it; what is told is the time from the moment at which the
change was handed in (a policy: to a replica's admin socket; the list: to discovery) until then, over all
gateways and changes. A gateway that could not be reached meanwhile (its process was gone, its region was
cut off) counts from the moment at which it could be reached again.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from stackrouter.fleet.check import percentile
from stackrouter.fleet.scale.options import DRIFT_PART, ELECTION_MS, ScaleOptions

IN_FORCE_MS = 7000.0  # stated for the fleet
SILENCE_MS = 3000.0  # after so long without an answer to its heartbeats a gateway gives its replica up
CONNECT_AGAIN_MS = 1000.0  # backoff, connection and snapshot of a gateway that goes to another replica
ELECTIONS = 2  # the first one may end with a split vote
MOST_EXAMPLES = 5
DIGEST_LETTERS = 12  # of a digest, as admin sockets and logs tell it

ChangeKind = Literal["policy", "list"]


@dataclass(frozen=True, slots=True)
class Change:
    """`number`: the version of a policy, or discovery's index of a list. `at`: when it was handed in."""

    kind: ChangeKind
    number: int
    digest: str
    at: int


@dataclass(frozen=True, slots=True)
class Taken:
    """A gateway has taken this version or list. `digest`: empty where the gateway does not tell it, here and
    below."""

    gateway: str
    kind: ChangeKind
    number: int
    digest: str
    at: int


@dataclass(frozen=True, slots=True)
class Served:
    """A gateway took requests under this version from `since` to `until`, when it was last seen to."""

    gateway: str
    version: int
    digest: str
    since: int
    until: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A gateway could not be reached by any replica that reaches the others."""

    gateway: str
    since: int
    until: int


@dataclass(frozen=True, slots=True)
class FinalState:
    """What a gateway has at the end."""

    gateway: str
    version: int
    digest: str
    nodes_index: int


@dataclass(slots=True)
class History:
    """`active`: the newest version that is active at the end, `nodes_index`: the newest list, as the
    replicas and discovery tell; `committed`: all versions with their digests that any replica ever told
    of."""

    gateways: Sequence[str] = ()
    changes: list[Change] = field(default_factory=list)
    committed: dict[int, str] = field(default_factory=dict)
    active: int = 0
    nodes_index: int = 0
    taken: list[Taken] = field(default_factory=list)
    served: list[Served] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    final: list[FinalState] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ScaleVerdict:
    """`broken`: which of the conditions does not hold; empty: all do. Times in milliseconds."""

    changes: int
    in_force_ms_p50: float | None
    in_force_ms_p99: float | None
    in_force_ms_max: float | None
    list_in_force_ms_p99: float | None
    list_in_force_ms_max: float | None
    in_force_bound_ms: float
    never_in_force: int
    left_behind: int
    uncommitted_served: int
    two_versions_ms_max: float
    two_versions_bound_ms: float
    broken: tuple[str, ...]
    uncommitted: tuple[Served, ...]  # some of those that are counted as uncommitted_served


def in_force_bound_ms(options: ScaleOptions) -> float:
    """How long a change may take. Without faults the stated time. With faults, a change may be handed in just
    before a replica fails: a leader has to be elected (twice, where the first vote is split), and a gateway
    gives a silent replica up only after a while, and goes to another one."""
    if not options.faults:
        return IN_FORCE_MS
    return IN_FORCE_MS + ELECTIONS * ELECTION_MS + SILENCE_MS + CONNECT_AGAIN_MS


def judge(history: History, options: ScaleOptions) -> ScaleVerdict:
    """The figures of a run, and which conditions it breaks."""
    policy_ms, policy_never = _in_force(history, "policy")
    list_ms, list_never = _in_force(history, "list")
    every = [*policy_ms, *list_ms]
    bound = in_force_bound_ms(options)
    two_versions, two_bound = _two_versions_ms(history), options.validity_ms
    left, wrong = _left_behind(history), _uncommitted(history, options)
    uncommitted = len(wrong)
    broken = {
        "changes": not history.changes,
        "left_behind": left > 0,
        "uncommitted_served": uncommitted > 0,
        "in_force": max(every, default=0.0) > bound or policy_never + list_never > 0,
        "two_versions": two_versions > two_bound,
    }
    return ScaleVerdict(
        changes=len(history.changes),
        in_force_ms_p50=percentile(policy_ms, 0.5),
        in_force_ms_p99=percentile(policy_ms, 0.99),
        in_force_ms_max=max(policy_ms, default=None),
        list_in_force_ms_p99=percentile(list_ms, 0.99),
        list_in_force_ms_max=max(list_ms, default=None),
        in_force_bound_ms=bound,
        never_in_force=policy_never + list_never,
        left_behind=left,
        uncommitted_served=uncommitted,
        two_versions_ms_max=two_versions,
        two_versions_bound_ms=two_bound,
        broken=tuple(name for name, is_broken in broken.items() if is_broken),
        uncommitted=tuple(wrong[:MOST_EXAMPLES]),
    )


def _in_force(history: History, kind: ChangeKind) -> tuple[list[float], int]:
    """Milliseconds till each change of this kind was in force at each gateway, and how often it never was."""
    changes = [change for change in history.changes if change.kind == kind]
    taken = _first_taken(t for t in history.taken if t.kind == kind)
    outages: dict[str, list[Outage]] = defaultdict(list)
    for outage in history.outages:
        outages[outage.gateway].append(outage)
    times: list[float] = []
    never = 0
    for gateway in history.gateways:
        numbers, moments = taken.get(gateway, ([], []))
        for change in changes:
            place = bisect_left(numbers, change.number)
            if place == len(numbers):
                never += 1
                continue
            at = moments[place]
            since = _reachable_since(change.at, at, outages.get(gateway, ()))
            times.append(max(0, at - since) / 1e6)
    return times, never


def _first_taken(taken: Iterable[Taken]) -> dict[str, tuple[list[int], list[int]]]:
    """By gateway: numbers in ascending order, and when a number at least as high was first taken."""
    found: dict[str, tuple[list[int], list[int]]] = {}
    for t in sorted(taken, key=lambda t: t.at):
        numbers, moments = found.setdefault(t.gateway, ([], []))
        if not numbers or t.number > numbers[-1]:
            numbers.append(t.number)
            moments.append(t.at)
    return found


def _reachable_since(handed_in: int, taken: int, outages: Iterable[Outage]) -> int:
    """From when on the gateway had no excuse."""
    within = [o.until for o in outages if o.since < taken and o.until > handed_in]
    return min(taken, max([handed_in, *within]))


def _two_versions_ms(history: History) -> float:
    """The longest time from the first gateway that served under a version to the last that any served under
    an older one."""
    longest = 0
    for number in history.committed:
        first = min((s.since for s in history.served if s.version >= number), default=None)
        if first is None:
            continue
        last = max((s.until for s in history.served if s.version < number), default=first)
        longest = max(longest, last - first)
    return longest / 1e6


def _uncommitted(history: History, options: ScaleOptions) -> list[Served]:
    """The times that a gateway served under a version with other content than was committed, under one that
    is not active, or before it can have been active: the delay after its commit, by the fastest clock
    allowed."""
    delay = round(options.after_ms * 1e6 * (1 - DRIFT_PART))
    handed_in = {change.number: change.at for change in history.changes if change.kind == "policy"}

    def wrong(served: Served) -> bool:
        if served.version == 0:
            return False  # each gateway's own file: no policy was ever committed
        if served.version not in history.committed or served.version > history.active:
            return True
        if served.digest and not _same(served.digest, history.committed[served.version]):
            return True
        at = handed_in.get(served.version)
        return at is not None and served.since < at + delay

    return [served for served in history.served if wrong(served)]


def _left_behind(history: History) -> int:
    """Gateways that have not the newest policy and the newest list at the end, or told nothing."""
    final = {state.gateway: state for state in history.final}
    newest = max(history.committed, default=0)
    digest = history.committed.get(newest, "")

    def behind(gateway: str) -> bool:
        state = final.get(gateway)
        if state is None or state.nodes_index < history.nodes_index:
            return True
        return state.version != newest or (bool(state.digest) and not _same(state.digest, digest))

    return sum(behind(gateway) for gateway in history.gateways)


def _same(one: str, other: str) -> bool:
    """Whether two digests agree, as far as admin sockets tell them."""
    return one[:DIGEST_LETTERS] == other[:DIGEST_LETTERS]
