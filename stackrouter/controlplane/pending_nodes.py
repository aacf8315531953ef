"""Queue of received changes to the list of nodes, delivered in pieces. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from stackrouter.controlplane.frames_pb2 import Node, NodeChanges
from stackrouter.controlplane.snapshot import NODES_IN_CHUNK, ReceivedSnapshot
from stackrouter.errors import StreamGapError

MAX_PENDING_NODES = 60_000
MAX_PENDING_CHANGES = 4096


@dataclass(frozen=True, slots=True)
class TakeNodes:
    """A piece of a change to the list. `index`: discovery's version of the list; `whole`: with the `last`
    piece, all nodes not named since the `first` piece are removed. A `first` piece discards an unfinished
    change."""

    index: int
    whole: bool
    first: bool
    last: bool
    nodes: Sequence[Node]


@dataclass(slots=True)
class _Change:
    index: int
    whole: bool
    source: ReceivedSnapshot | NodeChanges
    next_piece: int = 0

    @property
    def pieces(self) -> int:
        if isinstance(self.source, ReceivedSnapshot):
            return max(1, len(self.source.node_chunks))
        return max(1, -(-len(self.source.nodes) // NODES_IN_CHUNK))

    @property
    def nodes(self) -> int:
        """The number of nodes; an upper bound for a snapshot."""
        if isinstance(self.source, ReceivedSnapshot):
            return len(self.source.node_chunks) * NODES_IN_CHUNK
        return len(self.source.nodes)

    def take(self) -> TakeNodes:
        piece, self.next_piece = self.next_piece, self.next_piece + 1
        return TakeNodes(self.index, self.whole, piece == 0, piece + 1 == self.pieces, self._nodes_of(piece))

    def _nodes_of(self, piece: int) -> Sequence[Node]:
        if isinstance(self.source, NodeChanges):
            return self.source.nodes[piece * NODES_IN_CHUNK : (piece + 1) * NODES_IN_CHUNK]
        return self.source.nodes(piece) if self.source.node_chunks else []


class PendingNodes:
    """The queued changes, in order. Each `take` returns one piece of at most 128 nodes."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._nodes = 0

    def __bool__(self) -> bool:
        return bool(self._changes)

    def replace(self, snapshot: ReceivedSnapshot) -> None:
        """Queue a whole list, instead of everything not delivered yet."""
        self._changes.clear()
        self._nodes = 0
        self._append(_Change(snapshot.nodes_index, True, snapshot))

    def add(self, changes: NodeChanges) -> None:
        """Queue the next change. Raises StreamGapError, and queues nothing, if too much is pending."""
        if self._nodes + len(changes.nodes) > MAX_PENDING_NODES or len(self._changes) >= MAX_PENDING_CHANGES:
            raise StreamGapError("changes to the list arrive faster than they are processed")
        self._append(_Change(changes.index, changes.whole, changes))

    def take(self) -> TakeNodes | None:
        """The next piece, if any."""
        if not self._changes:
            return None
        change = self._changes[0]
        taken = change.take()
        if taken.last:
            self._changes.popleft()
            self._nodes -= change.nodes
        return taken

    def _append(self, change: _Change) -> None:
        self._changes.append(change)
        self._nodes += change.nodes
