"""Proxied links between regions, which can be cut, and byte-counting links of the real gateways.

Within a region, hollow gateways and replicas connect directly, so a partitioned region keeps working
internally. Connections between regions go through links only if faults are enabled; those of real gateways
always do, since the links count their bytes.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from stackrouter.fleet.proxy import Direction, Link
from stackrouter.fleet.scale.layout import Layout, RealPlace, ReplicaPlace


class CountedDirection(Direction):
    """One direction of a link, counting the bytes it forwards."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.bytes = 0

    def forward(self, data: bytes, send: Callable[[bytes], object]) -> None:
        super().forward(data, send)
        self.bytes += len(data)


class CountedLink(Link):
    """A link that counts the bytes it forwards in both directions."""

    def __init__(self, target: tuple[str, int], rng: Random) -> None:
        super().__init__(target, rng)
        self._counted_directions = CountedDirection(rng), CountedDirection(rng)
        self.to_target, self.from_target = self._counted_directions

    @property
    def bytes(self) -> int:
        return sum(direction.bytes for direction in self._counted_directions)


class Network:
    """`observed` and `peers`: by replica name, its listening ports for gateways and for other voters."""

    def __init__(self, layout: Layout, observed: dict[str, int], peers: dict[str, int], rng: Random,
                 cuttable: bool) -> None:  # fmt: skip
        self._layout, self._observed, self._peers = layout, observed, peers
        self._rng, self._cuttable = rng, cuttable
        self._links: list[tuple[str, str, Link]] = []  # the two regions of each link
        self._shared_addresses: dict[tuple[str, str], str] = {}  # by region and replica
        self._counted_links: dict[str, list[CountedLink]] = {}  # by real gateway

    def close(self) -> None:
        """Close all links; no new connections are accepted."""
        for _, _, link in self._links:
            link.close()

    def replica_address(self, region: str, replica: ReplicaPlace) -> str:
        """The address at which hollow gateways and replicas of this region connect to the replica."""
        direct = f"127.0.0.1:{self._observed[replica.name]}"
        if region == replica.region or not self._cuttable:
            return direct
        key = region, replica.name
        if key not in self._shared_addresses:
            self._shared_addresses[key] = self._add_link(
                region, replica.region, self._observed[replica.name]
            ).address
        return self._shared_addresses[key]

    def real_address(self, real: RealPlace, replica: ReplicaPlace) -> str:
        """The address at which a real gateway connects to the replica: its own byte-counting link."""
        link = CountedLink(("127.0.0.1", self._observed[replica.name]), self._rng)
        self._links.append((real.region, replica.region, link))
        self._counted_links.setdefault(real.name, []).append(link)
        return link.address

    def peer_address(self, dialer: ReplicaPlace, listener: ReplicaPlace) -> str:
        """The address at which the voter `dialer` connects to the voter `listener`."""
        if dialer.region == listener.region or not self._cuttable:
            return f"127.0.0.1:{self._peers[listener.name]}"
        return self._add_link(dialer.region, listener.region, self._peers[listener.name]).address

    def real_bytes(self) -> int:
        """Bytes so far between the real gateways and the replicas, in both directions."""
        return sum(link.bytes for links in self._counted_links.values() for link in links)

    def cut(self, region: str, is_cut: bool) -> None:
        """Block or unblock all traffic over links between this region and the others."""
        for one, other, link in self._links:
            if one != other and region in (one, other):
                link.to_target.cut(is_cut)
                link.from_target.cut(is_cut)

    def _add_link(self, one: str, other: str, port: int) -> Link:
        link = Link(("127.0.0.1", port), self._rng)
        self._links.append((one, other, link))
        return link
