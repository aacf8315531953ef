"""The state that a replica passes on, and its snapshots: in parts, compressed, made once for all readers.

No I/O. A part is encoded when the first reader comes to it, so that making a snapshot of a long list holds
nobody up. A gateway keeps the parts compressed until all have come, and reads one after the other.
"""

from __future__ import annotations

from dataclasses import dataclass

import zstandard
from google.protobuf.message import DecodeError

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.conversion import (
    REMOVED,
    node_message,
    policy_message,
    position_from,
    position_message,
    version_from,
)
from stackrouter.controlplane.frames_pb2 import Delta, Frame, Node, NodeChanges, SnapshotChunk, SnapshotPart
from stackrouter.coord.ledger import MOST_NODES, MOST_VERSIONS, retained
from stackrouter.coord.policy import Version
from stackrouter.coord.port import LedgerState, LogPosition
from stackrouter.errors import SnapshotRefusedError

NODES_IN_CHUNK = 128
MOST_CHUNK_BYTES = 1024 * 1024  # uncompressed: a policy of 256 KiB, or 128 nodes
MOST_SNAPSHOT_BYTES = 16 * 1024 * 1024  # compressed, all parts
MOST_PARTS = 1 + MOST_VERSIONS + MOST_NODES // NODES_IN_CHUNK + 1
LEVEL = 3
NO_LIST = -1


@dataclass(slots=True)
class ReplicatedState:
    """What gateways have to know as of `position`. `nodes`: by name, without those that were removed;
    `nodes_index`: discovery's version of the list, -1: there is no list."""

    position: LogPosition
    policies: list[Version]
    active: int
    nodes_index: int
    nodes: dict[str, Node]

    @classmethod
    def of(cls, state: LedgerState) -> ReplicatedState:
        """The state of a voter's ledger."""
        nodes = {item["name"]: node_message(item) for item in state.nodes if item["status"] != REMOVED}
        return cls(state.position, list(state.policies), state.active, state.nodes_index, nodes)

    def apply(self, delta: Delta) -> None:
        """Take the next change."""
        match delta.WhichOneof("change"):
            case "committed":
                self.policies = retained([*self.policies, version_from(delta.committed)], self.active)
            case "activated":
                self.active = delta.activated
            case "nodes":
                self._apply_nodes(delta.nodes)
        self.position = LogPosition(self.position.history, delta.number)

    def narrowed(self, delta: Delta) -> Delta:
        """The same change as one that names only the nodes that it changes. A whole list whose index went
        back (discovery has begun anew) stays whole."""
        changes = delta.nodes
        if delta.WhichOneof("change") != "nodes" or not changes.whole or changes.index < self.nodes_index:
            return delta
        named = {node.name for node in changes.nodes}
        differing = [node for node in changes.nodes if self.nodes.get(node.name) != node]
        gone = [Node(name=name, status=REMOVED) for name in self.nodes if name not in named]
        return Delta(number=delta.number, nodes=NodeChanges(index=changes.index, nodes=differing + gone))

    def _apply_nodes(self, changes: NodeChanges) -> None:
        if changes.whole:
            self.nodes = {}
        for node in changes.nodes:
            if node.status == REMOVED:
                self.nodes.pop(node.name, None)
            else:
                self.nodes[node.name] = node
        self.nodes_index = changes.index


class Snapshot:
    """The state as of one position, as encoded SnapshotPart frames."""

    def __init__(self, state: ReplicatedState) -> None:
        self.position = state.position
        self._policies = tuple(state.policies)
        self._active, self._index = state.active, state.nodes_index
        self._nodes = tuple(state.nodes.values())  # entries are replaced by changes, never written to
        self._chunks_of_nodes = -(-len(self._nodes) // NODES_IN_CHUNK)
        self._encoded: dict[int, bytes] = {}
        self._compressor = zstandard.ZstdCompressor(level=LEVEL)

    @property
    def parts(self) -> int:
        """How many parts there are: the head, one a version of the policy, one for each 128 nodes."""
        return 1 + len(self._policies) + self._chunks_of_nodes

    def frame(self, part: int) -> bytes:
        """One part as an encoded frame; encoded once."""
        if part not in self._encoded:
            data = self._compressor.compress(self._chunk(part).SerializeToString())
            position = position_message(self.position)
            frame = SnapshotPart(position=position, part=part, parts=self.parts, data=data)
            self._encoded[part] = encode(Frame(snapshot_part=frame))
        return self._encoded[part]

    def _chunk(self, part: int) -> SnapshotChunk:
        if part == 0:
            return SnapshotChunk(active=self._active, nodes_index=self._index)
        if part <= len(self._policies):
            return SnapshotChunk(policies=[policy_message(self._policies[part - 1])])
        start = (part - 1 - len(self._policies)) * NODES_IN_CHUNK
        return SnapshotChunk(nodes=self._nodes[start : start + NODES_IN_CHUNK])


@dataclass(frozen=True, slots=True)
class ReceivedSnapshot:
    """A snapshot that came whole. The nodes stay compressed, in pieces, until they are read."""

    position: LogPosition
    policies: tuple[Version, ...]
    active: int
    nodes_index: int
    node_chunks: tuple[bytes, ...]

    def nodes(self, chunk: int) -> list[Node]:
        """The nodes of one piece."""
        return list(_read_chunk(self.node_chunks[chunk]).nodes)

    def state(self) -> ReplicatedState:
        """All of it at once, for a replica that passes it on."""
        pieces = range(len(self.node_chunks))
        nodes = {node.name: node for piece in pieces for node in self.nodes(piece)}
        return ReplicatedState(self.position, list(self.policies), self.active, self.nodes_index, nodes)


class SnapshotAssembler:
    """Puts the parts of one snapshot together. A first part begins anew; any other has to follow the last."""

    def __init__(self, most_bytes: int = MOST_SNAPSHOT_BYTES) -> None:
        self._most_bytes = most_bytes
        self._begin(LogPosition(), 0)

    @property
    def under_way(self) -> bool:
        """Whether some parts have come and not all."""
        return self._next > 0

    def add(self, part: SnapshotPart) -> ReceivedSnapshot | None:
        """Take the next part; the snapshot once it is whole. Raises SnapshotRefusedError."""
        position = position_from(part.position)
        if part.part == 0:
            if not 0 < part.parts <= MOST_PARTS:
                raise SnapshotRefusedError(
                    f"a snapshot of {part.parts} parts, at most {MOST_PARTS} are taken"
                )
            self._begin(position, part.parts)
        elif (position, part.part, part.parts) != (self._position, self._next, self._parts):
            expected = f"part {self._next} of {self._parts} of {self._position.number}"
            raise SnapshotRefusedError(
                f"part {part.part} of {part.parts} of {position.number} came in place of {expected}"
            )
        self._take(part.part, part.data)
        self._next += 1
        return self._finished() if self._next == self._parts else None

    def _begin(self, position: LogPosition, parts: int) -> None:
        self._position, self._parts, self._next = position, parts, 0
        self._active, self._index = 0, NO_LIST
        self._policies: list[Version] = []
        self._node_chunks: list[bytes] = []
        self._bytes = self._nodes = 0

    def _take(self, part: int, data: bytes) -> None:
        """Read a part to see that it can be read; its nodes are kept compressed."""
        self._bytes += len(data)
        if self._bytes > self._most_bytes:
            raise SnapshotRefusedError(f"a snapshot of more than {self._most_bytes} compressed bytes")
        chunk = _read_chunk(data)
        if part == 0:
            self._active, self._index = chunk.active, chunk.nodes_index
        self._policies += [version_from(policy) for policy in chunk.policies]
        self._nodes += len(chunk.nodes)
        if chunk.nodes:
            self._node_chunks.append(data)
        if len(chunk.nodes) > NODES_IN_CHUNK:
            raise SnapshotRefusedError(f"a part with {len(chunk.nodes)} nodes, at most {NODES_IN_CHUNK}")
        if self._nodes > MOST_NODES or len(self._policies) > MOST_VERSIONS:
            raise SnapshotRefusedError(
                f"{self._nodes} nodes and {len(self._policies)} policies, at most {MOST_NODES} and"
                f" {MOST_VERSIONS} are taken"
            )

    def _finished(self) -> ReceivedSnapshot:
        policies, chunks = tuple(self._policies), tuple(self._node_chunks)
        received = ReceivedSnapshot(self._position, policies, self._active, self._index, chunks)
        self._begin(LogPosition(), 0)
        return received


def _read_chunk(data: bytes) -> SnapshotChunk:
    """A chunk out of its compressed form. What it will take is looked at before any of it is unpacked."""
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MOST_CHUNK_BYTES:
            raise SnapshotRefusedError(f"a part of {size} bytes, at most {MOST_CHUNK_BYTES} are taken")
        decompressor = zstandard.ZstdDecompressor(max_window_size=8 * MOST_CHUNK_BYTES)
        plain = decompressor.decompress(data, max_output_size=MOST_CHUNK_BYTES, allow_extra_data=False)
        return SnapshotChunk.FromString(plain)
    except (zstandard.ZstdError, DecodeError) as error:
        raise SnapshotRefusedError(f"a part that cannot be read ({error})") from error
