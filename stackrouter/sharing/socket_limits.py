"""Divides the gateway's socket limits among its processes. No I/O except through `SocketCounts`.

Each process publishes how many sockets it may open before it opens them, and reads the counts of the others
only after that. The sum therefore never exceeds the gateway's limit, even if a process starts or is stopped
in between.
"""

from __future__ import annotations

from typing import Final, Protocol

from stackrouter.sharing.mode import MAX_SHARERS

CLIENTS: Final = 0  # kinds of sockets, by peer
NODES: Final = 1
HEADROOM_DIVISOR: Final = 4  # a process may open total / HEADROOM_DIVISOR more sockets between two checks


class SocketCounts(Protocol):
    """Counts that processes publish to each other. Raises OSError where the system does not support it."""

    def publish(self, kind: int, count: int) -> None:
        """Announce that this process may hold up to `count` sockets of the kind from now on."""

    def published(self, kind: int) -> int:
        """Sum of the counts that all other processes have announced."""


class SharedSocketLimit:
    """One kind of sockets. To be called often: a process grows by at most its headroom between two calls."""

    def __init__(self, counts: SocketCounts, kind: int) -> None:
        self._counts, self._kind = counts, kind
        self._published = -1

    def allowed(self, total: int, held: int) -> int:
        """How many of the gateway's `total` this process may hold now; never fewer than the `held` ones."""
        wanted = min(total, held + total // HEADROOM_DIVISOR)
        self._publish(wanted)
        others = self._counts.published(self._kind)
        if not others:
            return total
        if wanted + others <= total:
            return wanted
        reduced = max(held, total - others)
        self._publish(reduced)
        return reduced

    def _publish(self, count: int) -> None:
        if count != self._published:
            self._counts.publish(self._kind, count)
            self._published = count


class ProcessSocketLimits:
    """Client and node sockets. Where processes cannot publish counts, each is limited to a third."""

    def __init__(self, counts: SocketCounts) -> None:
        self._clients, self._nodes = SharedSocketLimit(counts, CLIENTS), SharedSocketLimit(counts, NODES)

    def allowed(self, clients: tuple[int, int], nodes: tuple[int, int]) -> tuple[int, int]:
        """How many of either kind this process may hold now. Each argument: gateway's limit, number held."""
        try:
            return self._clients.allowed(*clients), self._nodes.allowed(*nodes)
        except OSError:
            return clients[0] // MAX_SHARERS, nodes[0] // MAX_SHARERS
