"""A model of limits for the whole fleet: members with buckets, reports and grants that are late or lost,
clocks that run at different rates, members and allocators that fail. No sockets; the real `coord.quota`
decides.

Time goes in steps of 5 ms. Each member admits what it is asked for as far as its bucket goes, as the
gateway's own does: rate and depth are its part of the limit's. Beside it runs the static rule, where each
member has an even part, on the same demand.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from stackrouter.coord.quota import Allocator, Grant, Holder, Report, Terms

STEP_US = 5000
REPORT_PART = 8  # reports a ttl
WINDOW_US = 1_000_000
VOLUME = "v"
FAULTS_S = 0.25


@dataclass(frozen=True, slots=True)
class Scene:
    """`swing_ms`: how often the demand moves to another member; `faults`: cuts, stops and killed
    allocators."""

    members: int = 40
    seed: int = 1
    seconds: float = 20.0
    limit: float = 400.0  # units a second
    burst: float = 40.0
    ttl_ms: int = 1000
    drift_ms: int = 100
    swing_ms: int = 5000
    skew: float = 0.9  # of the demand comes to one member
    demand: float = 1.5  # times the limit
    faults: bool = True


@dataclass(slots=True)
class Figures:
    """`over_bound_windows`: windows in which more was admitted than limit * time + burst."""

    windows: int = 0
    over_bound_windows: int = 0
    max_over_ratio: float = 0.0  # of what the bound allows
    max_parts: float = 0.0  # most that all members' parts in force came to at once: 1 is the whole limit
    use_ratio: float = 0.0
    static_use_ratio: float = 0.0
    faults: int = 0


class _Bucket:
    def __init__(self, limit: float, burst: float) -> None:
        self._limit, self._burst = limit, burst
        self._tokens, self._part = 0.0, 0.0

    def admit(self, wanted: float, part: float) -> float:
        """What of `wanted` units is admitted in this step under this part."""
        self._part = part
        self._tokens = min(self._tokens + self._limit * part * STEP_US / 1e6, self._burst * part)
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def lower(self, part: float) -> None:
        """Taken before a smaller part is reported as in force: what the bucket holds is part of the limit,
        too."""
        self._tokens = min(self._tokens, self._burst * part)


@dataclass(slots=True)
class _Post:
    at: int
    member: int
    asked_at: int  # by the member's clock
    what: Report | Grant


class LimitsModel:
    def __init__(self, scene: Scene) -> None:
        self.scene, self.rng = scene, Random(f"limits {scene.seed}")
        within = scene.drift_ms / scene.ttl_ms
        half = within / (2 - within)
        n = scene.members
        self.rates = [1 + self.rng.uniform(-half, half) for _ in range(n)]
        self.terms = Terms(n, scene.ttl_ms * 1000, scene.drift_ms * 1000)
        self.holders = [Holder(self.terms) for _ in range(n)]
        self.buckets = [_Bucket(scene.limit, scene.burst) for _ in range(n)]
        self.static = [_Bucket(scene.limit, scene.burst) for _ in range(n)]
        self.asked = [0.0] * n  # units since the last report
        self.mail: list[_Post] = []
        self.cut = [0] * n  # cut off until then
        self.cuts_at: dict[int, tuple[int, int]] = {}  # by ms: which member is cut off, for how many us
        self.allocator: Allocator | None = Allocator(self.terms, 1, 0)
        self.token, self.back_at, self.stopped_until = 1, 0, 0
        self.figures = Figures()
        self.admitted: deque[float] = deque(maxlen=WINDOW_US // STEP_US)

    def run(self) -> Figures:
        s, f = self.scene, self.figures
        steps = round(s.seconds * 1e6 / STEP_US)
        total = static_total = could = 0.0
        busy = 0
        for step in range(steps):
            now = step * STEP_US
            if now % (s.swing_ms * 1000) == 0:
                busy = self.rng.randrange(s.members)
            if s.faults and self.rng.random() < FAULTS_S * STEP_US / 1e6:
                self._fail(now)
            if now // 1000 in self.cuts_at:
                member, span = self.cuts_at[now // 1000]
                self.cut[member] = now + span
            self._serve_mail(now)
            admitted = static = wanted_now = parts = 0.0
            for i in range(s.members):
                share = s.skew if i == busy else (1 - s.skew) / (s.members - 1)
                wanted = s.limit * s.demand * share * STEP_US / 1e6
                self.asked[i] += wanted
                wanted_now += wanted
                part = self.holders[i].part(VOLUME, self._clock(i, now))
                admitted += self.buckets[i].admit(wanted, part)
                parts += part
                static += self.static[i].admit(wanted, 1 / s.members)
                if (step + i) % (s.ttl_ms * 1000 // REPORT_PART // STEP_US) == 0:
                    self._report(i, now)
            if (
                now >= 2000 * s.ttl_ms
            ):  # what is left unused at the start, before there are grants, is no matter of skew
                total, static_total, could = total + admitted, static_total + static, could + wanted_now
            f.max_parts = max(f.max_parts, parts)
            self.admitted.append(admitted)
            if len(self.admitted) == self.admitted.maxlen and step % 10 == 0:
                bound = s.limit * WINDOW_US / 1e6 + s.burst
                f.windows += 1
                ratio = sum(self.admitted) / bound
                f.over_bound_windows += ratio > 1 + 1e-9
                f.max_over_ratio = max(f.max_over_ratio, ratio)
        could = min(could, s.limit * (s.seconds - 2 * s.ttl_ms / 1000))
        f.use_ratio, f.static_use_ratio = total / could, static_total / could
        return f

    def _clock(self, i: int, now: int) -> int:
        return int(now * self.rates[i])

    def _fail(self, now: int) -> None:
        self.figures.faults += 1
        span = self.rng.randint(500_000, 2_500_000)
        kind = self.rng.choice(("cut", "half", "kill", "stop"))
        if kind == "cut":
            self.cut[self.rng.randrange(self.scene.members)] = now + span
        elif kind == "half":
            for i in range(0, self.scene.members, 2):
                self.cut[i] = now + span
        elif kind == "kill":
            self.allocator, self.back_at = None, now + span
        else:  # it stands still: what was on its way to it waits
            self.stopped_until = now + span

    def _serve_mail(self, now: int) -> None:
        if self.allocator is None and now >= self.back_at:
            self.token += 1
            self.allocator = Allocator(self.terms, self.token, now)
        stopped = now < self.stopped_until
        due, self.mail = [p for p in self.mail if p.at <= now], [p for p in self.mail if p.at > now]
        for post in due:
            i = post.member
            if self.cut[i] > now:
                continue
            if isinstance(post.what, Grant):
                mine = self._clock(i, now)
                if self.holders[i].granted(post.what, post.asked_at, mine):
                    self.buckets[i].lower(self.holders[i].part(VOLUME, mine))
            elif stopped:
                self.mail.append(_Post(self.stopped_until, i, post.asked_at, post.what))
            elif self.allocator is not None:
                self._send(now, i, post.asked_at, self.allocator.report(post.what, now))

    def _report(self, i: int, now: int) -> None:
        per_s = self.asked[i] * 1000 * REPORT_PART / self.scene.ttl_ms
        self.asked[i] = 0.0
        mine = self._clock(i, now)
        report = self.holders[i].report(f"m{i}", {VOLUME: per_s / self.scene.limit}, mine)
        self._send(now, i, mine, report)

    def _send(self, now: int, i: int, asked_at: int, what: Report | Grant) -> None:
        if self.cut[i] <= now and self.rng.random() > 0.02:
            self.mail.append(_Post(now + self.rng.randint(1000, 60_000), i, asked_at, what))


def play(scene: Scene) -> Figures:
    return LimitsModel(scene).run()
