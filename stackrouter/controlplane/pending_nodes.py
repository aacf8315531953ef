"""Changes of the list of nodes that were received and are handed on in pieces. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from stackrouter.controlplane.frames_pb2 import Node, NodeChanges
from stackrouter.controlplane.snapshot import NODES_IN_CHUNK, ReceivedSnapshot
from stackrouter.errors import StreamGapError

MOST_NODES_PENDING = 60_000
MOST_CHANGES_PENDING = 4096


@dataclass(frozen=True, slots=True)
class TakeNodes:
    """A piece of a change of the list. `index`: discovery's version; `whole`: with `last`, all nodes that no
    piece since `first` named are gone. A piece with `first` begins anew what was not finished."""

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
        """How many there are; of a snapshot, at most."""
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
    """The changes in their order. Each `take` gives one piece of at most 128 nodes."""

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._nodes = 0

    def __bool__(self) -> bool:
        return bool(self._changes)

    def replace(self, snapshot: ReceivedSnapshot) -> None:
        """A whole list came, in place of all that was not handed on yet."""
        self._changes.clear()
        self._nodes = 0
        self._append(_Change(snapshot.nodes_index, True, snapshot))

    def add(self, changes: NodeChanges) -> None:
        """The next change came. Raises StreamGapError where too much waits: nothing of it is kept then."""
        if (
            self._nodes + len(changes.nodes) > MOST_NODES_PENDING
            or len(self._changes) >= MOST_CHANGES_PENDING
        ):
            raise StreamGapError("changes of the list come faster than they can be taken")
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
