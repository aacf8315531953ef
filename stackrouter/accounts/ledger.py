"""Ledger of one node: charges the waiting time of its requests to volumes.

The rule is serial cost sharing (Moulin and Shenker, Econometrica 60, 1992) with the plans' usual rates as the
first step. Work within its volume's usual rate is *usual*, the rest is *excess*. A virtual queue of the node
serves only the usual work. The time that a request would have waited there is charged by FIFO overlap to the
usual work ahead of it; waiting time beyond that is charged to the volumes that sent excess work to the node.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from stackrouter.accounts.split import RequestState, Split
from stackrouter.accounts.stalls import Stalls

FOREIGN_GAIN = 0.05  # weight of one report in the moving average of other gateways' share of a node's work
SERVICE_AVERAGE_REQUESTS = 200.0  # requests over which a node's service time per unit is averaged
QUIET_DELAY_US = 2_000_000  # a node counts as quiet this long after its last excess
MAX_QUIET_WAIT_US = 50_000.0  # cap of one wait in the average of quiet times: rare long waits are not usual
STALE_REQUEST_US = 30_000_000  # older open requests are dropped: the trace does not contain their end
MAX_CAUSES = 512  # volumes with excess at one node
QUIET_AVERAGE_REQUESTS = 2000.0  # requests over which the usual wait is averaged
EXCESS_DECAY_US = 3_500_000.0  # time in which excess work decays to 1/e
MIN_EXCESS_UNITS = 4.0  # less excess at a node explains no waiting time
MAX_DEPARTURES = 24  # recent departures kept to determine when a core took a request
MIN_OVERTAKING_SHARE = 0.03  # share of departures that must overtake another request to assume two cores
MIN_FURTHER_SHARE = 0.25  # share of departures overtaking n - 1 that must overtake n to assume n + 1 cores
MAX_CORES = 64
MIN_DEPARTURES = 40.0  # departures before the number of cores is estimated
CORE_ESTIMATE_INTERVAL = 16  # departures between two estimates of the number of cores


ELSEWHERE = "(elsewhere)"  # stands for volumes that only other gateways know


class Charge(NamedTuple):
    """Microseconds that a request waited because of `volume`; "": the node itself, None: unknown cause."""

    volume: str | None
    us: float


class ServiceRate:
    """Mean service time per unit, by class, over about the last SERVICE_AVERAGE_REQUESTS requests."""

    def __init__(self) -> None:
        self._us: dict[int, float] = {}
        self._units: dict[int, float] = {}

    def learn(self, request_class: int, units: float, us: float) -> None:
        keep = 1 - 1 / SERVICE_AVERAGE_REQUESTS
        self._us[request_class] = self._us.get(request_class, 0.0) * keep + us
        self._units[request_class] = self._units.get(request_class, 0.0) * keep + units

    def expected_us(self, request_class: int, units: float) -> float:
        known = self._units.get(request_class, 0.0)
        return self._us[request_class] / known * units if known else 0.0


class NodeBaseline(NamedTuple):
    """Behaviour of a node while no volume exceeds its usual rate."""

    wait_us: float
    requests: float  # number of requests that it was learned from
    rate: ServiceRate
    cores: int


@dataclass(slots=True)
class Entry:
    """A request in order of arrival. Once closed, it waits until all requests before it are closed."""

    request: RequestState
    home: Ledger  # where it is queued; an attempt may go to another node after a list change
    closed_at: int = 0
    split: Split | None = None
    causes: tuple[tuple[str, float], ...] = ()  # excess units at the node when it was closed


class Service:
    """Estimates when a core took a request, by the order of departures; a node is a multi-core FIFO."""

    def __init__(self) -> None:
        self.arrivals: dict[RequestState, int] = {}
        self._departures: deque[tuple[int, int]] = deque(maxlen=MAX_DEPARTURES)  # departed at, had arrived at
        self._overtaken = [0.0] * (MAX_CORES + 1)
        self._departure_weight = 0.0
        self.min_cores = self.cores = 1  # as estimated so far
        self._departure_count = 0

    def _estimate_cores(self) -> int:
        """A request that departs while n that arrived earlier are still there implies n + 1 cores."""
        if self._departure_weight < MIN_DEPARTURES:
            return self.min_cores
        cores, before, part = 1, self._departure_weight, MIN_OVERTAKING_SHARE
        for n in range(1, MAX_CORES):
            if self._overtaken[n] < part * before:
                break
            cores, before, part = n + 1, self._overtaken[n], MIN_FURTHER_SHARE
        return cores

    def arrived(self, request: RequestState, at: int) -> None:
        self.arrivals[request] = at

    def departed(self, request: RequestState, at: int) -> int:
        """The attempt has ended, served or not. Returns when a core must have taken it."""
        arrived = self.arrivals.pop(request, at)
        ahead = sum(1 for other in self.arrivals.values() if other < arrived)
        self._departure_weight = self._departure_weight * 0.998 + 1
        for n in range(1, MAX_CORES):
            self._overtaken[n] = self._overtaken[n] * 0.998 + (ahead >= n)
            if ahead < n and self._overtaken[n] < 1e-3:
                break
        self._departure_count += 1
        if not self._departure_count % CORE_ESTIMATE_INTERVAL:
            self.cores = self._estimate_cores()
        free, began = self.cores - ahead, arrived
        if free > 0:
            for departed, other_arrived in reversed(self._departures):  # latest first
                if other_arrived <= arrived:
                    free -= 1
                    if not free:
                        began = max(arrived, min(at, departed))
                        break
        self._departures.append((at, arrived))
        return began


@dataclass(slots=True)
class VirtualQueue:
    """The node as if it had only the usual work: a FIFO with several cores, fed in order of arrival."""

    free: list[float] = field(default_factory=lambda: [0.0])
    recent: deque[tuple[float, float, str]] = field(default_factory=deque)  # began, ended, volume

    def wait(self, at: float, cores: int) -> float:
        """Microseconds that work arriving at `at` waits for a core."""
        while len(self.free) < cores:
            self.free.append(0.0)
        return max(0.0, min(self.free) - at)

    def take(self, at: float, wait: float, us: float, volume: str) -> None:
        core = self.free.index(min(self.free))
        self.free[core] = at + wait + us
        self.recent.append((at + wait, at + wait + us, volume))

    def ahead(self, at: float, wait: float) -> Iterator[tuple[str, float]]:
        """Volume and core time of the work done during the `wait` microseconds from `at` on."""
        while self.recent and self.recent[0][1] <= at:
            self.recent.popleft()
        for began, ended, volume in self.recent:
            overlap = min(ended, at + wait) - max(began, at)
            if overlap > 0:
                yield volume, overlap


class Ledger:
    """Requests, excess and learned behaviour of one node."""

    def __init__(self, baseline: NodeBaseline | None = None) -> None:
        self.service, self.virtual, self.rate, self.stalls = (
            Service(),
            VirtualQueue(),
            ServiceRate(),
            Stalls(),
        )
        self.waiting: deque[Entry] = deque()
        self.usual_wait_us = 0.0  # mean waiting time while there is no excess
        self._quiet_requests = 0.0
        if baseline is not None:
            self.usual_wait_us, self._quiet_requests = baseline.wait_us, baseline.requests
            self.rate = baseline.rate
            self.service.min_cores = self.service.cores = baseline.cores
        # Share of the node's work that other gateways send; stays 0 where all gateways are observed.
        self.foreign_share = 0.0
        self._uncharged_us = 0.0
        self._last_excess_at = -1 << 60  # last time with excess
        self._excess: dict[str, tuple[float, int]] = {}

    def baseline(self) -> NodeBaseline:
        return NodeBaseline(self.usual_wait_us, self._quiet_requests, self.rate, self.service.cores)

    # --- attempts at the node

    def arrived(self, request: RequestState, at: int) -> None:
        self.stalls.arrived(at, not self.service.arrivals)
        self.service.arrived(request, at)

    def departed(self, request: RequestState, at: int, served: bool) -> int:
        """An attempt has ended. Returns the estimated time at which a core took it."""
        if request not in self.service.arrivals:
            return at
        began = self.service.departed(request, at)
        if served:
            expected = self.rate.expected_us(request.request_class, request.units)
            self.stalls.finished(at, at - began - expected if expected else 0.0, expected)
            if request.write:
                self.stalls.write_finished(request.volume, request.units)
        return began

    # --- excess

    def add_excess(self, volume: str, units: float, at: int) -> None:
        if volume not in self._excess and len(self._excess) >= MAX_CAUSES:
            self.causes(at)  # drops volumes whose excess has decayed
            if len(self._excess) >= MAX_CAUSES:
                return
        self._excess[volume] = (self._excess_of(volume, at) + units, at)

    def report_elsewhere(self, volume: str, units: float, at: int) -> None:
        """A volume exceeds its usual rate through other gateways, as reported: counted as excess here."""
        if units > self._excess_of(volume, at):
            self._excess.pop(volume, None)
            self.add_excess(volume, units, at)

    def report_inflight(self, inflight: float) -> None:
        """The node reported its requests in flight: ours, ours reported late, and those of other gateways."""
        foreign = max(0.0, inflight - len(self.service.arrivals))
        part = foreign / (foreign + len(self.service.arrivals) + 1)
        self.foreign_share += (part - self.foreign_share) * FOREIGN_GAIN

    def _excess_of(self, volume: str, at: int) -> float:
        units, since = self._excess.get(volume, (0.0, at))
        return units * math.exp((since - at) / EXCESS_DECAY_US)

    def causes(self, at: int) -> tuple[tuple[str, float], ...]:
        """Volumes that recently sent excess, with the units left after decay."""
        now = [(volume, self._excess_of(volume, at)) for volume in self._excess]
        for volume, units in now:
            if units < 0.01:
                del self._excess[volume]
        return tuple((volume, units) for volume, units in now if units >= 0.01)

    # --- settlement

    def settle(self, now: int) -> Iterator[tuple[RequestState, Split, list[Charge]]]:
        """Yield each closed request whose predecessors are all closed, with charges for its waiting time."""
        while self.waiting:
            entry = self.waiting[0]
            if entry.split is None:
                if now - entry.request.taken_at < STALE_REQUEST_US:
                    return
                self.service.arrivals.pop(entry.request, None)
                self.waiting.popleft()
                continue
            self.waiting.popleft()
            yield entry.request, entry.split, self._charge(entry, entry.split)

    def _charge(self, entry: Entry, split: Split) -> list[Charge]:
        request, cores = entry.request, self.service.cores
        expected_us = self.rate.expected_us(request.request_class, request.units)
        service_us = float(request.service_us) or expected_us
        waited = float(split.room + split.node + split.lost)
        # A request that was never served would have needed the expected service time.
        own = 0.0 if request.service_us else min(waited, expected_us)
        waited -= own
        charges = [Charge(request.volume, own)] if own else []
        deferred, stalled = self._stalled(request.taken_at, entry.closed_at - split.served, waited)
        charges += deferred
        waited -= sum(c.us for c in deferred)
        at = request.taken_at  # the usual work alone would not have waited for tokens
        ahead = self.virtual.wait(at, cores)
        total = sum(units for _, units in entry.causes)
        usual = waited
        if total < MIN_EXCESS_UNITS:
            if request.taken_at - self._last_excess_at > QUIET_DELAY_US:
                self._learn_quiet_wait(waited, request)
        else:
            self._last_excess_at = max(self._last_excess_at, request.taken_at)
            # Only the running sum is charged, so that over- and underestimates cancel out. A stall caused by
            # deferred writes also delays the requests in service.
            self._uncharged_us += (
                waited
                - self.usual_wait_us
                + (service_us - expected_us if request.service_us and expected_us else 0.0)
            )
            excess_wait = max(0.0, min(self._uncharged_us, waited))
            self._uncharged_us -= excess_wait
            usual -= excess_wait
            charges += [Charge(v, excess_wait * units / total) for v, units in entry.causes]
        pause = min(usual, stalled)
        if pause > 0:
            charges.append(Charge("", pause))
        charges += self._charge_usual(usual - pause, at, ahead, cores)
        part = 1 - request.excess_units / request.units if request.units else 1.0
        if part > 0 and service_us:
            self.virtual.take(at, ahead, service_us * part, request.volume)
        return charges

    def _stalled(self, begin: int, end: int, waited: float) -> tuple[list[Charge], float]:
        """Parts of a wait that are due to deferred writes, by volume, and to the node's own pauses."""
        writers: dict[str, float] = {}
        remaining, pauses = waited, 0.0
        for stall, overlap in self.stalls.overlapping(begin, end):
            us = min(remaining, float(overlap))
            remaining -= us
            pauses += us
            for volume, part in stall.writers:
                writers[volume] = writers.get(volume, 0.0) + us * part
                pauses -= us * part
        return [Charge(v, us) for v, us in writers.items()], pauses

    def _learn_quiet_wait(self, waited: float, request: RequestState) -> None:
        self._quiet_requests = min(QUIET_AVERAGE_REQUESTS, self._quiet_requests + 1)
        self.usual_wait_us += (min(waited, MAX_QUIET_WAIT_US) - self.usual_wait_us) / self._quiet_requests
        if request.service_us:
            self.rate.learn(request.request_class, request.units, request.service_us)

    def _charge_usual(self, waited: float, at: float, ahead: float, cores: int) -> list[Charge]:
        """Charge the usual wait to the usual work ahead, and the unexplained rest to no volume."""
        if waited <= 0:
            return []
        explained = min(waited, ahead)
        rest = waited - explained
        charges = [Charge(None, rest * (1 - self.foreign_share))] if rest > 0 else []
        if rest > 0 and self.foreign_share:
            charges.append(Charge(ELSEWHERE, rest * self.foreign_share))
        if explained > 0:
            scale = explained / ahead / cores
            charges += [Charge(v, us * scale) for v, us in self.virtual.ahead(at, ahead)]
        return charges
