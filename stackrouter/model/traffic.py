"""Volumes and their clients' requests, drawn from a seed before the run begins.

Every volume has its own random stream, and so has the noise: leaving the noise out does not change the rest
of the traffic.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from rackseam.interface import Effect, Plan, RequestClass, Settings

BASIC, PRIORITY = 0, 1
READ, WRITE = 0, 1
MEAN_UNITS = 2.05
MAX_UNITS = 8
WORK_US = (18_000, 20_000)  # of one core of speed 1, for a request of mean size
WORK_CV = (0.6, 0.7)
NODE_UNITS_PER_S = 192.0  # approximate capacity of a node with two cores
LOAD = 0.3  # of the nodes' capacity, asked for by all volumes together
NEIGHBOUR_LOAD = 0.6  # a burst shows well on a node that others use for this part of its usual load
VOLUMES_PER_NODE = 1.2
BURST_S = 1.4  # depth of the limit's bucket, in seconds at the limit's rate


class Noisy(Enum):
    """Kind of the volume that bursts, if any."""

    NONE = "none"
    BASIC = "basic"
    PRIORITY = "priority"
    WRITES = "writes"


# Rate that the burst adds, in multiples of the volume's usual rate. `basic` exceeds its limit.
BURST_TIMES = {Noisy.BASIC: 12.0, Noisy.PRIORITY: 8.0, Noisy.WRITES: 7.0}


@dataclass(frozen=True, slots=True)
class Volume:
    """A simulated volume. `gateways`: positions of those that receive its requests."""

    name: str
    plan: int
    gateways: tuple[int, ...]
    shards: tuple[int, ...]
    units_per_s: float
    write_share: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One client request. `at`: in us; `work_us`: time on a core of speed 1, known only to the node;
    `excess`: part of the noisy volume's burst.
    """

    at: int
    gateway: int
    volume: Volume
    request_class: int
    units: int
    shard: int
    work_us: int
    excess: bool


@dataclass(frozen=True, slots=True)
class Traffic:
    """The settings, volumes and requests of one run."""

    settings: Settings
    volumes: tuple[Volume, ...]
    noisy: Volume | None
    arrivals: tuple[Arrival, ...]


def volume_count(nodes: int) -> int:
    return max(5, round(nodes * VOLUMES_PER_NODE))


def settings_for(gateways: int, nodes: int, seed: int) -> Settings:
    """Settings with classes and plans, sized so that all volumes together cause `LOAD`."""
    volumes = volume_count(nodes)
    usual = NODE_UNITS_PER_S * LOAD * nodes / (volumes * 1.4)  # two in five volumes have twice the usual rate
    return Settings(
        classes=(
            RequestClass(400_000, 2_000_000, Effect.SAFE, worth=3.0, late_worth=0.2),
            RequestClass(400_000, 3_000_000, Effect.KEYED, "cell", 3_000_000, worth=2.0, late_worth=0.1,
                         writes=True),
        ),
        plans=(
            Plan(1.0, 0.5 * usual, 6 * usual, 6 * usual * BURST_S, MAX_UNITS, usual, 0.96),
            Plan(3.0, 0.8 * 2 * usual, 0.0, 0.0, 0.0, 2 * usual, 0.9),
        ),
        gateways=gateways, seed=seed, step_us=2000, max_units=MAX_UNITS, mean_units=MEAN_UNITS,
        meter_us=1_000_000, max_attempts=3, may_cancel=True, answer_slack_us=8000, drain_grace_us=250_000,
        cold_share=0.17, cold_us=16_000_000, cold_bears_units=42.0, fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip


def _volumes(rng: random.Random, settings: Settings, gateways: int, nodes: int) -> list[Volume]:
    drawn, next_shard = [], 0
    for i in range(volume_count(nodes)):
        plan = PRIORITY if i % 5 in (1, 3) else BASIC
        shard_count = min(nodes, rng.randint(1, 3) + (plan == PRIORITY))
        # Assigned in rotation, so that no node is overloaded by chance.
        shards = [(next_shard + j) % nodes for j in range(shard_count)]
        next_shard += shard_count
        hosts = rng.sample(range(gateways), min(gateways, rng.randint(1, 3)))
        rate = settings.plans[plan].usual_units_per_s * rng.uniform(0.7, 1.3)
        drawn.append(Volume(f"{rng.getrandbits(64):016x}", plan, tuple(hosts), tuple(shards), rate, 0.35))
    return drawn


def _with_neighbours(candidates: list[Volume], volumes: list[Volume], nodes: int) -> Volume:
    """The volume whose nodes carry a load of other volumes nearest to `NEIGHBOUR_LOAD`."""
    load = [0.0] * nodes
    for v in volumes:
        for shard in v.shards:
            load[shard] += v.units_per_s / len(v.shards)

    def distance(v: Volume) -> float:
        others = (sum(load[shard] for shard in v.shards) - v.units_per_s) / len(v.shards)
        return abs(others - NEIGHBOUR_LOAD * LOAD * NODE_UNITS_PER_S)

    return min(candidates, key=distance)


def _units(rng: random.Random) -> int:
    return min(MAX_UNITS, 1 + int(rng.expovariate(1 / 1.53)))


def _work_us(rng: random.Random, request_class: int, units: int) -> int:
    mean, cv = WORK_US[request_class] * units / MEAN_UNITS, WORK_CV[request_class]
    sigma = math.sqrt(math.log(1 + cv * cv))
    return max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))


def _arrivals(rng: random.Random, v: Volume, units_per_s: float, begin_us: int, end_us: int,
              write_share: float, excess: bool) -> Iterator[Arrival]:  # fmt: skip
    at = float(begin_us)
    while True:
        at += rng.expovariate(units_per_s / MEAN_UNITS) * 1e6
        if at >= end_us:
            return
        units, request_class = _units(rng), WRITE if rng.random() < write_share else READ
        yield Arrival(int(at), rng.choice(v.gateways), v, request_class, units, rng.choice(v.shards),
                  _work_us(rng, request_class, units), excess)  # fmt: skip


def draw(seed: int, noisy: Noisy, with_noise: bool, gateways: int, nodes: int, length_us: int) -> Traffic:
    """Draw the traffic of one run, by time. `with_noise`: include the noisy volume's excess."""
    rng = random.Random(f"fleet {seed}")
    settings = settings_for(gateways, nodes, seed)
    volumes = _volumes(rng, settings, gateways, nodes)
    arrivals = [
        arrival
        for i, v in enumerate(volumes)
        for arrival in _arrivals(
            random.Random(f"volume {seed} {i}"), v, v.units_per_s, 0, length_us, v.write_share, False
        )
    ]
    noisy_volume = None
    if noisy is not Noisy.NONE:
        rng = random.Random(f"noise {seed} {noisy.value}")
        plan = BASIC if noisy is Noisy.BASIC else PRIORITY
        fewest = min(len(v.shards) for v in volumes if v.plan == plan)
        candidates = [v for v in volumes if v.plan == plan and len(v.shards) == fewest]
        # A burst bounded by a limit affects others only if they use the same nodes.
        noisy_volume = (
            _with_neighbours(candidates, volumes, nodes) if plan == BASIC else rng.choice(candidates)
        )
        begin = rng.uniform(0.15, 0.25) * length_us
        end = begin + rng.uniform(0.5, 0.6) * length_us
        rate = noisy_volume.units_per_s * BURST_TIMES[noisy]
        share = 1.0 if noisy is Noisy.WRITES else noisy_volume.write_share
        if with_noise:
            arrivals += _arrivals(rng, noisy_volume, rate, int(begin), int(end), share, True)
    return Traffic(
        settings, tuple(volumes), noisy_volume, tuple(sorted(arrivals, key=lambda arrival: arrival.at))
    )
