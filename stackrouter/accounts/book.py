"""Sums up closed requests and their charges in bounded memory, for any number of volumes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from stackrouter.accounts.ledger import ELSEWHERE, Charge
from stackrouter.accounts.sketch import TopSums
from stackrouter.accounts.split import RequestState, Split

DEFAULT_PAIRS = 4096
MAX_NODES = 256
MAX_SLOTS = 240  # of the timeline; when all are in use, each two neighbours are merged
INITIAL_SLOT_US = 250_000
MAX_SLOT_CAUSES = 12  # causes tracked separately in one slot
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 2
NODE = ""  # volume of charges to the node itself
OTHER_CAUSES = "others"


@dataclass(slots=True)
class Slot:
    """An interval of the timeline. Sums in microseconds; `node_wait`: waiting time of requests by node."""

    parts: list[int] = field(default_factory=lambda: [0] * len(Split._fields))
    requests: int = 0
    causes: Counter[str] = field(default_factory=Counter)
    node_wait: Counter[str] = field(default_factory=Counter)

    def merge(self, other: Slot) -> None:
        self.parts = [a + b for a, b in zip(self.parts, other.parts, strict=True)]
        self.requests += other.requests
        for cause, us in other.causes.items():
            self.add_cause(cause, us)
        self.node_wait.update(other.node_wait)

    def add_cause(self, cause: str, us: float) -> None:
        known = cause in self.causes or len(self.causes) < MAX_SLOT_CAUSES
        self.causes[cause if known else OTHER_CAUSES] += round(us)


class TimeLine:
    """Covers the whole time with a bounded number of slots, whose length grows with it."""

    def __init__(self) -> None:
        self.slot_us, self.begin = INITIAL_SLOT_US, -1
        self.slots: list[Slot] = []

    def at(self, when: int) -> Slot:
        """The slot of a time. Times before the first one seen belong to the first slot."""
        if self.begin < 0:
            self.begin = when
        while (index := max(0, when - self.begin) // self.slot_us) >= MAX_SLOTS:
            self._merge_neighbours()
        while len(self.slots) <= index:
            self.slots.append(Slot())
        return self.slots[index]

    def _merge_neighbours(self) -> None:
        self.slot_us *= 2
        for i in range(1, len(self.slots), 2):
            self.slots[i - 1].merge(self.slots[i])
        self.slots = self.slots[::2]


@dataclass(slots=True)
class Group:
    """All requests of one plan and class: sums of the latency parts, and the distribution of latencies."""

    parts: list[int] = field(default_factory=lambda: [0] * len(Split._fields))
    requests: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS))


class Book:
    """Sums of charges. `add_closed` can be passed to `Accounts` as `on_closed`."""

    def __init__(self, pairs: int = DEFAULT_PAIRS) -> None:
        self.causes: TopSums[tuple[str, int]] = TopSums(max(64, pairs // 4))  # (volume, plan)
        self.pairs: TopSums[tuple[str, str, str]] = TopSums(pairs)  # (waiter, cause, node)
        self.waiters: TopSums[str] = TopSums(max(64, pairs // 4))  # latency, by volume
        self.nodes: TopSums[str] = TopSums(MAX_NODES)  # time charged to the nodes themselves
        self.groups: dict[tuple[int, int], Group] = {}
        self.line = TimeLine()
        self.requests = 0
        self.node_us = self.unattributed_us = self.elsewhere_us = self.own_us = 0.0
        self._plans: dict[str, int] = {}

    def add_closed(self, at: int, request: RequestState, split: Split, charges: list[Charge]) -> None:
        self.requests += 1
        latency = sum(split)
        self.waiters.add(request.volume, latency)
        group = self.groups.get((request.plan, request.request_class))
        if group is None:
            group = self.groups[request.plan, request.request_class] = Group()
        group.requests += 1
        group.latency.record_value(max(1, min(MAX_LATENCY_US, latency)))
        slot = self.line.at(at)
        slot.requests += 1
        for i, us in enumerate(split):
            group.parts[i] += us
            slot.parts[i] += us
        slot.node_wait[request.node] += split.room + split.node + split.lost
        if len(self._plans) < self.causes.capacity:
            self._plans.setdefault(request.volume, request.plan)
        for charge in charges:
            if charge.us > 0:
                self._charge(request, slot, charge.volume, charge.us)

    def _charge(self, request: RequestState, slot: Slot, volume: str | None, us: float) -> None:
        if volume is None:
            self.unattributed_us += us
        elif volume == NODE:
            self.node_us += us
            self.nodes.add(request.node, us)
        elif volume == ELSEWHERE:
            self.elsewhere_us += us
        elif volume == request.volume:
            self.own_us += us
        else:
            self.causes.add((volume, self._plans.get(volume, -1)), us)
            self.pairs.add((request.volume, volume, request.node), us)
            slot.add_cause(volume, us)

    def figures(self, plans: list[str], classes: list[str], most: int = 50) -> dict[str, Any]:
        """All sums as plain values, for JSON and templates. `most`: rows of each table."""

        def plan(i: int) -> str:
            return plans[i] if 0 <= i < len(plans) else ""

        def name(i: int) -> str:
            return classes[i] if 0 <= i < len(classes) else str(i)

        return {
            "requests": self.requests,
            "causes": [{"volume": v, "plan": plan(p), "delay_us": round(s.us)}
                       for (v, p), s in self.causes.largest(most)],
            "pairs": [{"waiter": w, "cause": c, "node": n, "delay_us": round(s.us)}
                      for (w, c, n), s in self.pairs.largest(4 * most)],
            "nodes": [{"node": n, "delay_us": round(s.us)} for n, s in self.nodes.largest(most)],
            "waiters": [{"volume": v, "plan": plan(self._plans.get(v, -1)), "latency_us": round(s.us)}
                        for v, s in self.waiters.largest(most)],
            "groups": [{"plan": plan(p), "class": name(c), "requests": g.requests,
                        **{f"{part}_us": us for part, us in zip(Split._fields, g.parts, strict=True)},
                        **{f"p{q:g}_us": g.latency.get_value_at_percentile(q) for q in (50, 90, 99, 99.9)}}
                       for (p, c), g in sorted(self.groups.items())],
            "node_us": round(self.node_us),
            "own_us": round(self.own_us),
            "elsewhere_us": round(self.elsewhere_us),
            "unattributed_us": round(self.unattributed_us),
            "sketch_error_us": round(max(self.pairs.error, self.causes.error)),
        }  # fmt: skip

    def timeline(self) -> dict[str, Any]:
        """The timeline as columns; `seconds`: time since the first closed request."""
        line = self.line
        return {
            "slot_us": line.slot_us,
            "seconds": [round(i * line.slot_us / 1e6, 3) for i in range(len(line.slots))],
            "requests": [s.requests for s in line.slots],
            "parts": {part: [s.parts[i] for s in line.slots] for i, part in enumerate(Split._fields)},
            "causes": [{c: round(us) for c, us in s.causes.items()} for s in line.slots],
            "nodes": [{n: round(us) for n, us in s.node_wait.items()} for s in line.slots],
        }
