"""Who takes part in a scale run, and in which region. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.fleet.scale.options import ScaleOptions, hollow_processes

BASELINE = "baseline"  # the gateway without a control plane that the real ones are compared with


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
        return [*(real.name for real in self.reals), *(g for place in self.processes for g in place.gateways)]

    def gateways_in(self, region: str) -> list[str]:
        """Names of those in one region."""
        reals = [real.name for real in self.reals if real.region == region]
        return reals + [g for place in self.processes if place.region == region for g in place.gateways]


def lay_out(options: ScaleOptions) -> Layout:
    """Replicas, real gateways and hollow gateways, each dealt out to the regions in turn. The replicas that
    vote come first, so that they are spread over as many regions as there are."""
    regions = tuple(f"region-{i + 1}" for i in range(options.regions))

    def region(number: int) -> str:
        return regions[number % len(regions)]

    count = hollow_processes(options)
    names = [f"h{i + 1}" for i in range(options.hollow)]
    return Layout(
        regions,
        tuple(ReplicaPlace(f"c{i + 1}", region(i), i < options.voters) for i in range(options.control)),
        tuple(RealPlace(f"g{i + 1}", region(i)) for i in range(options.real)),
        tuple(HollowPlace(f"p{i + 1}", region(i), tuple(names[i::count])) for i in range(count)),
    )
