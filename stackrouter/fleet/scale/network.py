"""The links between regions, which can be cut, and the counted links of the real gateways.

Inside a region, hollow gateways and replicas connect directly: a region that is cut off is whole in itself.
Only where faults are asked for do connections between regions go through links; a real gateway's always do,
since its bytes are counted there.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from stackrouter.fleet.proxy import Link, Way
from stackrouter.fleet.scale.layout import Layout, RealPlace, ReplicaPlace


class CountedWay(Way):
    """A direction of a link that counts the bytes that passed."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.bytes = 0

    def pass_on(self, data: bytes, send: Callable[[bytes], object]) -> None:
        super().pass_on(data, send)
        self.bytes += len(data)


class CountedLink(Link):
    """A link that counts the bytes that passed, both ways."""

    def __init__(self, target: tuple[str, int], rng: Random) -> None:
        super().__init__(target, rng)
        self._counted = CountedWay(rng), CountedWay(rng)
        self.there, self.back = self._counted

    @property
    def bytes(self) -> int:
        return sum(way.bytes for way in self._counted)


class Network:
    """`observed` and `peers`: by replica, the ports on which it listens for gateways and for other voters."""

    def __init__(self, layout: Layout, observed: dict[str, int], peers: dict[str, int], rng: Random,
                 cuttable: bool) -> None:  # fmt: skip
        self._layout, self._observed, self._peers = layout, observed, peers
        self._rng, self._cuttable = rng, cuttable
        self._links: list[tuple[str, str, Link]] = []  # two regions, and a link between them
        self._shared: dict[tuple[str, str], str] = {}  # by region and replica
        self._counted: dict[str, list[CountedLink]] = {}  # by real gateway

    def close(self) -> None:
        """No connection comes about any more."""
        for _, _, link in self._links:
            link.close()

    def replica_address(self, region: str, replica: ReplicaPlace) -> str:
        """Where a hollow gateway or a replica of this region reaches the replica."""
        direct = f"127.0.0.1:{self._observed[replica.name]}"
        if region == replica.region or not self._cuttable:
            return direct
        key = region, replica.name
        if key not in self._shared:
            self._shared[key] = self._link(region, replica.region, self._observed[replica.name]).address
        return self._shared[key]

    def real_address(self, real: RealPlace, replica: ReplicaPlace) -> str:
        """Where a real gateway reaches the replica: a link of its own, whose bytes are counted."""
        link = CountedLink(("127.0.0.1", self._observed[replica.name]), self._rng)
        self._links.append((real.region, replica.region, link))
        self._counted.setdefault(real.name, []).append(link)
        return link.address

    def peer_address(self, near: ReplicaPlace, far: ReplicaPlace) -> str:
        """Where a voter reaches another one."""
        if near.region == far.region or not self._cuttable:
            return f"127.0.0.1:{self._peers[far.name]}"
        return self._link(near.region, far.region, self._peers[far.name]).address

    def real_bytes(self) -> int:
        """Bytes between the real gateways and the replicas so far, both ways."""
        return sum(link.bytes for links in self._counted.values() for link in links)

    def cut(self, region: str, is_cut: bool) -> None:
        """Whether no byte passes between this region and the others."""
        for one, other, link in self._links:
            if one != other and region in (one, other):
                link.there.cut(is_cut)
                link.back.cut(is_cut)

    def _link(self, one: str, other: str, port: int) -> Link:
        link = Link(("127.0.0.1", port), self._rng)
        self._links.append((one, other, link))
        return link
