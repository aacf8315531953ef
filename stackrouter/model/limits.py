"""Simulates fleet-wide limits: members with token buckets, delayed and lost reports and grants, clocks at
different rates, failures of members and allocators. No sockets; the real `coord.quota` decides.

Time advances in steps of 5 ms. Each member admits requests from its token bucket, as a gateway does: the
bucket has the member's part of the limit's rate and depth. On the same demand, a static rule that gives each
member an even part is simulated for comparison.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from stackrouter.coord.quota import Allocator, Grant, GrantHolder, QuotaParameters, Report

STEP_US = 5000
REPORTS_PER_TTL = 8
WINDOW_US = 1_000_000
VOLUME = "v"
FAULTS_PER_S = 0.25


@dataclass(frozen=True, slots=True)
class Scene:
    """Parameters of a run. `swing_ms`: how often the peak demand moves to another member; `faults`: whether
    members are cut off, and allocators stopped and killed."""

    members: int = 40
    seed: int = 1
    seconds: float = 20.0
    limit: float = 400.0  # units/s
    burst: float = 40.0
    ttl_ms: int = 1000
    drift_ms: int = 100
    swing_ms: int = 5000
    skew: float = 0.9  # share of the demand at one member
    demand: float = 1.5  # multiple of the limit
    faults: bool = True


@dataclass(slots=True)
class Figures:
    """Result of a run. `over_bound_windows`: windows in which more was admitted than limit * time + burst."""

    windows: int = 0
    over_bound_windows: int = 0
    max_over_ratio: float = 0.0  # units admitted in a window, relative to the bound
    max_parts: float = 0.0  # maximum sum of the members' parts in force; 1 is the whole limit
    use_ratio: float = 0.0
    static_use_ratio: float = 0.0
    faults: int = 0


class _Bucket:
    def __init__(self, limit: float, burst: float) -> None:
        self._limit, self._burst = limit, burst
        self._tokens, self._part = 0.0, 0.0

    def admit(self, wanted: float, part: float) -> float:
        """Units of `wanted` that are admitted in this step with this part of the limit."""
        self._part = part
        self._tokens = min(self._tokens + self._limit * part * STEP_US / 1e6, self._burst * part)
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def shrink(self, part: float) -> None:
        """Cap the tokens; needed before a smaller part is reported as in force, because the tokens held count
        toward the limit too."""
        self._tokens = min(self._tokens, self._burst * part)


@dataclass(slots=True)
class _Message:
    """A report or grant in transit, delivered at `at`."""

    at: int
    member: int
    asked_at: int  # when its report was made, by the member's clock
    payload: Report | Grant


class LimitsModel:
    """Runs one scene; all times in us."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.rng = scene, Random(f"limits {scene.seed}")
        within = scene.drift_ms / scene.ttl_ms
        half = within / (2 - within)
        members = scene.members
        self.rates = [1 + self.rng.uniform(-half, half) for _ in range(members)]
        self.terms = QuotaParameters(members, scene.ttl_ms * 1000, scene.drift_ms * 1000)
        self.holders = [GrantHolder(self.terms) for _ in range(members)]
        self.buckets = [_Bucket(scene.limit, scene.burst) for _ in range(members)]
        self.static = [_Bucket(scene.limit, scene.burst) for _ in range(members)]
        self.demand_units = [0.0] * members  # units of demand since the last report
        self.in_transit: list[_Message] = []
        self.cut_until = [0] * members  # time until which the member is cut off
        self.cuts_at: dict[
            int, tuple[int, int]
        ] = {}  # by time in ms: the member that is cut off, and for how many us
        self.allocator: Allocator | None = Allocator(self.terms, 1, 0)
        self.token, self.restart_at, self.stopped_until = 1, 0, 0
        self.figures = Figures()
        self.admitted: deque[float] = deque(maxlen=WINDOW_US // STEP_US)

    def run(self) -> Figures:
        scene, figures = self.scene, self.figures
        steps = round(scene.seconds * 1e6 / STEP_US)
        total = static_total = possible = 0.0
        peak_member = 0
        for step in range(steps):
            now = step * STEP_US
            if now % (scene.swing_ms * 1000) == 0:
                peak_member = self.rng.randrange(scene.members)
            if scene.faults and self.rng.random() < FAULTS_PER_S * STEP_US / 1e6:
                self._inject_fault(now)
            if now // 1000 in self.cuts_at:
                member, span = self.cuts_at[now // 1000]
                self.cut_until[member] = now + span
            self._deliver(now)
            admitted = static = wanted_now = parts = 0.0
            for i in range(scene.members):
                share = scene.skew if i == peak_member else (1 - scene.skew) / (scene.members - 1)
                wanted = scene.limit * scene.demand * share * STEP_US / 1e6
                self.demand_units[i] += wanted
                wanted_now += wanted
                part = self.holders[i].part(VOLUME, self._clock(i, now))
                admitted += self.buckets[i].admit(wanted, part)
                parts += part
                static += self.static[i].admit(wanted, 1 / scene.members)
                if (step + i) % (scene.ttl_ms * 1000 // REPORTS_PER_TTL // STEP_US) == 0:
                    self._report(i, now)
            if now >= 2000 * scene.ttl_ms:  # before the first grants, unused tokens are not caused by skew
                total, static_total, possible = total + admitted, static_total + static, possible + wanted_now
            figures.max_parts = max(figures.max_parts, parts)
            self.admitted.append(admitted)
            if len(self.admitted) == self.admitted.maxlen and step % 10 == 0:
                bound = scene.limit * WINDOW_US / 1e6 + scene.burst
                figures.windows += 1
                ratio = sum(self.admitted) / bound
                figures.over_bound_windows += ratio > 1 + 1e-9
                figures.max_over_ratio = max(figures.max_over_ratio, ratio)
        possible = min(possible, scene.limit * (scene.seconds - 2 * scene.ttl_ms / 1000))
        figures.use_ratio, figures.static_use_ratio = total / possible, static_total / possible
        return figures

    def _clock(self, i: int, now: int) -> int:
        return int(now * self.rates[i])

    def _inject_fault(self, now: int) -> None:
        self.figures.faults += 1
        span = self.rng.randint(500_000, 2_500_000)
        kind = self.rng.choice(("cut", "half", "kill", "stop"))
        if kind == "cut":
            self.cut_until[self.rng.randrange(self.scene.members)] = now + span
        elif kind == "half":
            for i in range(0, self.scene.members, 2):
                self.cut_until[i] = now + span
        elif kind == "kill":
            self.allocator, self.restart_at = None, now + span
        else:  # the allocator is stopped; messages to it wait
            self.stopped_until = now + span

    def _deliver(self, now: int) -> None:
        if self.allocator is None and now >= self.restart_at:
            self.token += 1
            self.allocator = Allocator(self.terms, self.token, now)
        stopped = now < self.stopped_until
        due, self.in_transit = (
            [m for m in self.in_transit if m.at <= now],
            [m for m in self.in_transit if m.at > now],
        )
        for message in due:
            i = message.member
            if self.cut_until[i] > now:
                continue
            if isinstance(message.payload, Grant):
                member_now = self._clock(i, now)
                if self.holders[i].apply_grant(message.payload, message.asked_at, member_now):
                    self.buckets[i].shrink(self.holders[i].part(VOLUME, member_now))
            elif stopped:
                self.in_transit.append(_Message(self.stopped_until, i, message.asked_at, message.payload))
            elif self.allocator is not None:
                self._send(now, i, message.asked_at, self.allocator.report(message.payload, now))

    def _report(self, i: int, now: int) -> None:
        per_s = self.demand_units[i] * 1000 * REPORTS_PER_TTL / self.scene.ttl_ms
        self.demand_units[i] = 0.0
        member_now = self._clock(i, now)
        report = self.holders[i].report(f"m{i}", {VOLUME: per_s / self.scene.limit}, member_now)
        self._send(now, i, member_now, report)

    def _send(self, now: int, i: int, asked_at: int, payload: Report | Grant) -> None:
        if self.cut_until[i] <= now and self.rng.random() > 0.02:
            self.in_transit.append(_Message(now + self.rng.randint(1000, 60_000), i, asked_at, payload))


def simulate(scene: Scene) -> Figures:
    return LimitsModel(scene).run()
