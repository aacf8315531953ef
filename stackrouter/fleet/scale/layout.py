"""Assigns the replicas and gateways of a scale run to regions and processes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.fleet.scale.options import ScaleOptions, hollow_processes

BASELINE = "baseline"  # a gateway without a control plane, the reference for the cost of real ones


@dataclass(frozen=True, slots=True)
class ReplicaPlace:
    name: str
    region: str
    votes: bool


@dataclass(frozen=True, slots=True)
class RealPlace:
    name: str
    region: str


@dataclass(frozen=True, slots=True)
class HollowPlace:
    """A process and the names of the hollow gateways in it."""

    name: str
    region: str
    gateways: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Layout:
    regions: tuple[str, ...]
    replicas: tuple[ReplicaPlace, ...]
    reals: tuple[RealPlace, ...]
    processes: tuple[HollowPlace, ...]

    @property
    def gateways(self) -> list[str]:
        """Names of all gateways that observe the control plane."""
        return [
            *(real.name for real in self.reals),
            *(name for place in self.processes for name in place.gateways),
        ]

    def gateways_in(self, region: str) -> list[str]:
        """Names of the gateways in one region that observe the control plane."""
        reals = [real.name for real in self.reals if real.region == region]
        return reals + [name for place in self.processes if place.region == region for name in place.gateways]


def lay_out(options: ScaleOptions) -> Layout:
    """Assign replicas, real gateways and hollow processes to regions round-robin. Voting replicas come first,
    so that they are spread over as many regions as possible."""
    regions = tuple(f"region-{i + 1}" for i in range(options.regions))

    def region(number: int) -> str:
        return regions[number % len(regions)]

    process_count = hollow_processes(options)
    names = [f"h{i + 1}" for i in range(options.hollow)]
    return Layout(
        regions,
        tuple(ReplicaPlace(f"c{i + 1}", region(i), i < options.voters) for i in range(options.control)),
        tuple(RealPlace(f"g{i + 1}", region(i)) for i in range(options.real)),
        tuple(
            HollowPlace(f"p{i + 1}", region(i), tuple(names[i::process_count])) for i in range(process_count)
        ),
    )
