"""Order in which a gateway tries replicas, and the delay between attempts. No I/O, no clock; randomness is
passed in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """A control replica and the address for gateways. `address`: HOST:PORT."""

    name: str
    address: str
    region: str


def replica_order(gateway: str, region: str, replicas: Iterable[ReplicaAddress]) -> list[ReplicaAddress]:
    """The replicas in the order in which a gateway tries them: its own region first, then the others,
    each group by rendezvous hashing, so that the gateways of a lost replica spread evenly over the rest."""
    return sorted(replicas, key=lambda replica: (replica.region != region, _score(gateway, replica.name)))


def _score(gateway: str, replica: str) -> bytes:
    return blake2b(f"{len(gateway)}:{gateway}{replica}".encode(), digest_size=16).digest()


class Backoff:
    """Exponential backoff with full jitter: each delay is drawn evenly between 0 and a bound that doubles
    with every failure, up to `max_us`."""

    def __init__(self, base_us: int, max_us: int, rng: Random) -> None:
        self._base_us, self._max_us, self._rng = base_us, max_us, rng
        self._failures = 0

    def next_delay_us(self) -> int:
        """The delay before the next attempt, after one more failure."""
        bound = min(self._max_us, self._base_us << self._failures)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        return int(self._rng.uniform(0, bound))

    def reset(self) -> None:
        """Start again from the base delay, after a connection was stable."""
        self._failures = 0
