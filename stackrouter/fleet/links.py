"""The links between every two members, with a fault proxy on each."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from stackrouter.fleet.proxy import Link, Way

DELAY_S = 0.08  # a piece is held back for half to one and a half times this
LOSS = 0.2  # of the pieces


class LinkMesh:
    """One link a pair: the library connects from the higher address, as text, to the lower. `proxied`:
    False: members reach one another directly, and no fault can be put on a link."""

    def __init__(self, addresses: Sequence[str], proxied: bool, rng: Random) -> None:
        self._links: dict[tuple[int, int], Link] = {}
        for i, source in enumerate(addresses):
            for j, target in enumerate(addresses):
                if proxied and source > target:
                    host, _, port = target.rpartition(":")
                    self._links[i, j] = Link((host, int(port)), rng)

    def dial(self, i: int, j: int) -> str | None:
        """Where member i connects to reach member j, if not at its address."""
        link = self._links.get((i, j))
        return None if link is None else link.address

    def impair(self, i: int, kind: str, on: bool) -> None:
        """Begin or end a fault (`schedule.SPANS`) on all links of member i."""
        for (a, b), link in self._links.items():
            if i not in (a, b):
                continue
            out, back = (link.there, link.back) if i == a else (link.back, link.there)
            for way in [out] if kind == "oneway" else [out, back]:
                _impair(way, kind, on)

    def close(self) -> None:
        """Listen no more on any link."""
        for link in self._links.values():
            link.close()


def _impair(way: Way, kind: str, on: bool) -> None:
    if kind in ("partition", "oneway"):
        way.cut(on)
    elif kind == "delay":
        way.delay_s = DELAY_S if on else 0.0
    else:
        way.loss = LOSS if on else 0.0
