"""Computes the figures and the verdict of a scale run from its history. No I/O.

All times are nanoseconds of the machine's monotonic clock, which all processes of a run share. A change is
*in force* at a gateway once the gateway has applied it. The time to be in force is measured over all gateways
and changes, from the submission of the change (a policy: to a replica's admin socket; the list: to
discovery). For a gateway that was unreachable in between (its process was killed, its region was
partitioned), it is measured from the moment at which the gateway became reachable again.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from stackrouter.fleet.check import percentile
from stackrouter.fleet.scale.options import CLOCK_DRIFT_RATIO, ELECTION_MS, ScaleOptions

IN_FORCE_BOUND_MS = 7000.0  # the stated target for the fleet
REPLICA_SILENCE_MS = 3000.0  # without heartbeat answers for so long, a gateway abandons its replica
RECONNECT_MS = 1000.0  # backoff, connection and snapshot when a gateway moves to another replica
MAX_ELECTIONS = 2  # the first one may end with a split vote
MAX_EXAMPLES = 5
DIGEST_PREFIX_CHARS = 12  # admin sockets and logs shorten digests to this length

ChangeKind = Literal["policy", "list"]


@dataclass(frozen=True, slots=True)
class Change:
    """`number`: the version of a policy, or discovery's index of a list. `at`: time of submission."""

    kind: ChangeKind
    number: int
    digest: str
    at: int


@dataclass(frozen=True, slots=True)
class Taken:
    """A gateway has applied this version or list. `digest`, here and below, is empty if the gateway does not
    report it."""

    gateway: str
    kind: ChangeKind
    number: int
    digest: str
    at: int


@dataclass(frozen=True, slots=True)
class Served:
    """A gateway served requests under this version from `since` to `until`, the last observation of it."""

    gateway: str
    version: int
    digest: str
    since: int
    until: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A gateway was unreachable for every replica that could reach the other gateways."""

    gateway: str
    since: int
    until: int


@dataclass(frozen=True, slots=True)
class FinalState:
    """The policy version and node list that a gateway has at the end of the run."""

    gateway: str
    version: int
    digest: str
    nodes_index: int


@dataclass(slots=True)
class History:
    """All events of a run. `active` is the newest version that the replicas report as active at the end,
    `nodes_index` the newest list in discovery; `committed` holds the digest of each version that any replica
    reported as committed."""

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
    """`broken` names the conditions that do not hold; empty if all hold. Times in milliseconds."""

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
    uncommitted: tuple[Served, ...]  # examples of those counted in uncommitted_served


def in_force_bound_ms(options: ScaleOptions) -> float:
    """The maximum time for a change to be in force, in milliseconds: without faults, the stated target. With
    faults, a change may be submitted just before a replica fails. A leader then has to be elected (twice if
    the first vote is split), and a gateway abandons a silent replica only after REPLICA_SILENCE_MS and has to
    connect to another one."""
    if not options.faults:
        return IN_FORCE_BOUND_MS
    return IN_FORCE_BOUND_MS + MAX_ELECTIONS * ELECTION_MS + REPLICA_SILENCE_MS + RECONNECT_MS


def judge(history: History, options: ScaleOptions) -> ScaleVerdict:
    """Compute the figures of a run and the conditions that it violates."""
    policy_ms, policy_never_in_force = _in_force_times(history, "policy")
    list_ms, list_never_in_force = _in_force_times(history, "list")
    all_ms = [*policy_ms, *list_ms]
    bound = in_force_bound_ms(options)
    two_versions, two_versions_bound = _two_versions_ms(history), options.heartbeat_validity_ms
    left, wrong = _count_left_behind(history), _uncommitted_served(history, options)
    uncommitted = len(wrong)
    broken = {
        "changes": not history.changes,
        "left_behind": left > 0,
        "uncommitted_served": uncommitted > 0,
        "in_force": max(all_ms, default=0.0) > bound or policy_never_in_force + list_never_in_force > 0,
        "two_versions": two_versions > two_versions_bound,
    }
    return ScaleVerdict(
        changes=len(history.changes),
        in_force_ms_p50=percentile(policy_ms, 0.5),
        in_force_ms_p99=percentile(policy_ms, 0.99),
        in_force_ms_max=max(policy_ms, default=None),
        list_in_force_ms_p99=percentile(list_ms, 0.99),
        list_in_force_ms_max=max(list_ms, default=None),
        in_force_bound_ms=bound,
        never_in_force=policy_never_in_force + list_never_in_force,
        left_behind=left,
        uncommitted_served=uncommitted,
        two_versions_ms_max=two_versions,
        two_versions_bound_ms=two_versions_bound,
        broken=tuple(name for name, is_broken in broken.items() if is_broken),
        uncommitted=tuple(wrong[:MAX_EXAMPLES]),
    )


def _in_force_times(history: History, kind: ChangeKind) -> tuple[list[float], int]:
    """Milliseconds until each change of this kind was in force, one per change and gateway, and the number of
    pairs where it never was."""
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
            position = bisect_left(numbers, change.number)
            if position == len(numbers):
                never += 1
                continue
            at = moments[position]
            since = _reachable_since(change.at, at, outages.get(gateway, ()))
            times.append(max(0, at - since) / 1e6)
    return times, never


def _first_taken(taken: Iterable[Taken]) -> dict[str, tuple[list[int], list[int]]]:
    """By gateway: ascending numbers, and the times at which each was first reached or exceeded."""
    found: dict[str, tuple[list[int], list[int]]] = {}
    for event in sorted(taken, key=lambda event: event.at):
        numbers, moments = found.setdefault(event.gateway, ([], []))
        if not numbers or event.number > numbers[-1]:
            numbers.append(event.number)
            moments.append(event.at)
    return found


def _reachable_since(submitted_at: int, taken: int, outages: Iterable[Outage]) -> int:
    """The submission time, or the end of the last outage of the gateway between submission and application if
    that is later."""
    within = [o.until for o in outages if o.since < taken and o.until > submitted_at]
    return min(taken, max([submitted_at, *within]))


def _two_versions_ms(history: History) -> float:
    """The longest time, over all versions, from the first gateway serving under it or a newer one to the last
    gateway serving under an older one."""
    longest = 0
    for number in history.committed:
        first = min((s.since for s in history.served if s.version >= number), default=None)
        if first is None:
            continue
        last = max((s.until for s in history.served if s.version < number), default=first)
        longest = max(longest, last - first)
    return longest / 1e6


def _uncommitted_served(history: History, options: ScaleOptions) -> list[Served]:
    """The intervals in which a gateway served under a version with other content than was committed, under a
    version that is not active, or before it could be active: the activation delay as the fastest allowed
    clock measures it."""
    delay = round(options.after_ms * 1e6 * (1 - CLOCK_DRIFT_RATIO))
    submitted_at = {change.number: change.at for change in history.changes if change.kind == "policy"}

    def wrong(served: Served) -> bool:
        if served.version == 0:
            return False  # the settings in the gateway's own file, before any policy
        if served.version not in history.committed or served.version > history.active:
            return True
        if served.digest and not _digests_match(served.digest, history.committed[served.version]):
            return True
        at = submitted_at.get(served.version)
        return at is not None and served.since < at + delay

    return [served for served in history.served if wrong(served)]


def _count_left_behind(history: History) -> int:
    """The number of gateways without the newest policy or list at the end, or without a final report."""
    final = {state.gateway: state for state in history.final}
    newest = max(history.committed, default=0)
    digest = history.committed.get(newest, "")

    def behind(gateway: str) -> bool:
        state = final.get(gateway)
        if state is None or state.nodes_index < history.nodes_index:
            return True
        return state.version != newest or (bool(state.digest) and not _digests_match(state.digest, digest))

    return sum(behind(gateway) for gateway in history.gateways)


def _digests_match(one: str, other: str) -> bool:
    """Whether two digests agree in the prefix that admin sockets report."""
    return one[:DIGEST_PREFIX_CHARS] == other[:DIGEST_PREFIX_CHARS]
