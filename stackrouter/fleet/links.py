"""Links between each pair of members, with a fault-injecting proxy on each."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from stackrouter.fleet.proxy import Direction, Link

DELAY_S = 0.08  # each chunk is delayed by 0.5 to 1.5 times this
LOSS_RATIO = 0.2  # of the chunks


class LinkMesh:
    """One link per pair: the Raft library connects from the address that sorts higher as text to the lower
    one. With `proxied` False, members connect directly and no link faults can be injected."""

    def __init__(self, addresses: Sequence[str], proxied: bool, rng: Random) -> None:
        self._links: dict[tuple[int, int], Link] = {}
        for i, source in enumerate(addresses):
            for j, target in enumerate(addresses):
                if proxied and source > target:
                    host, _, port = target.rpartition(":")
                    self._links[i, j] = Link((host, int(port)), rng)

    def dial(self, i: int, j: int) -> str | None:
        """The proxy address that member i dials to reach member j; None if it dials the member itself."""
        link = self._links.get((i, j))
        return None if link is None else link.address

    def impair(self, i: int, kind: str, on: bool) -> None:
        """Starts or ends a fault (`schedule.SPANS`) on all links of member i."""
        for (a, b), link in self._links.items():
            if i not in (a, b):
                continue
            outbound, inbound = (
                (link.to_target, link.from_target) if i == a else (link.from_target, link.to_target)
            )
            for direction in [outbound] if kind == "oneway" else [outbound, inbound]:
                _impair(direction, kind, on)

    def close(self) -> None:
        """Stops listening on all links."""
        for link in self._links.values():
            link.close()


def _impair(direction: Direction, kind: str, on: bool) -> None:
    if kind in ("partition", "oneway"):
        direction.cut(on)
    elif kind == "delay":
        direction.delay_s = DELAY_S if on else 0.0
    else:
        direction.loss = LOSS_RATIO if on else 0.0
