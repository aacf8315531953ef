"""The replicated state, and its snapshots: compressed parts, encoded once for all readers.

No I/O. A part is encoded when the first reader needs it, so that creating a snapshot of a long list does not
block. A gateway keeps the parts compressed until all are received, and decodes them one by one.
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
from stackrouter.coord.ledger import MAX_NODES, MAX_VERSIONS, retained_versions
from stackrouter.coord.policy import Version
from stackrouter.coord.port import LedgerState, LogPosition
from stackrouter.errors import SnapshotRefusedError

NODES_IN_CHUNK = 128
MAX_CHUNK_BYTES = 1024 * 1024  # uncompressed: a policy of 256 KiB, or 128 nodes
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024  # compressed, all parts
MAX_PARTS = 1 + MAX_VERSIONS + MAX_NODES // NODES_IN_CHUNK + 1
COMPRESSION_LEVEL = 3
NO_LIST = -1


@dataclass(slots=True)
class ReplicatedState:
    """The state replicated to gateways, as of `position`. `nodes`: by name, without removed nodes;
    `nodes_index`: discovery's version of the list, -1: no list."""

    position: LogPosition
    policies: list[Version]
    active: int
    nodes_index: int
    nodes: dict[str, Node]

    @classmethod
    def of(cls, state: LedgerState) -> ReplicatedState:
        """Convert the state of a voter's ledger."""
        nodes = {item["name"]: node_message(item) for item in state.nodes if item["status"] != REMOVED}
        return cls(state.position, list(state.policies), state.active, state.nodes_index, nodes)

    def apply(self, delta: Delta) -> None:
        """Apply the next change."""
        match delta.WhichOneof("change"):
            case "committed":
                self.policies = retained_versions(
                    [*self.policies, version_from(delta.committed)], self.active
                )
            case "activated":
                self.active = delta.activated
            case "nodes":
                self._apply_nodes(delta.nodes)
        self.position = LogPosition(self.position.history, delta.number)

    def narrowed(self, delta: Delta) -> Delta:
        """The same change, reduced to the nodes that differ. A whole list whose index is lower than before
        (discovery has started again) stays whole."""
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
    """The state as of one position, in encoded SnapshotPart frames."""

    def __init__(self, state: ReplicatedState) -> None:
        self.position = state.position
        self._policies = tuple(state.policies)
        self._active, self._index = state.active, state.nodes_index
        self._nodes = tuple(state.nodes.values())  # changes replace entries and never modify them
        self._node_chunk_count = -(-len(self._nodes) // NODES_IN_CHUNK)
        self._encoded: dict[int, bytes] = {}
        self._compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)

    @property
    def parts(self) -> int:
        """The number of parts: the head, one per policy version, and one per 128 nodes."""
        return 1 + len(self._policies) + self._node_chunk_count

    def frame(self, part: int) -> bytes:
        """One part as an encoded frame, cached."""
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
    """A completely received snapshot. The nodes stay compressed, in chunks, until they are read."""

    position: LogPosition
    policies: tuple[Version, ...]
    active: int
    nodes_index: int
    node_chunks: tuple[bytes, ...]

    def nodes(self, chunk: int) -> list[Node]:
        """The nodes of one chunk."""
        return list(_read_chunk(self.node_chunks[chunk]).nodes)

    def state(self) -> ReplicatedState:
        """The whole state, for an observing replica."""
        chunks = range(len(self.node_chunks))
        nodes = {node.name: node for chunk in chunks for node in self.nodes(chunk)}
        return ReplicatedState(self.position, list(self.policies), self.active, self.nodes_index, nodes)


class SnapshotAssembler:
    """Assembles a snapshot from its parts. Part 0 starts a new one; others must follow the previous part."""

    def __init__(self, max_bytes: int = MAX_SNAPSHOT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._reset(LogPosition(), 0)

    @property
    def in_progress(self) -> bool:
        """Whether some, but not all, parts have been received."""
        return self._next > 0

    def add(self, part: SnapshotPart) -> ReceivedSnapshot | None:
        """Add the next part; returns the snapshot once it is complete. Raises SnapshotRefusedError."""
        position = position_from(part.position)
        if part.part == 0:
            if not 0 < part.parts <= MAX_PARTS:
                raise SnapshotRefusedError(
                    f"a snapshot of {part.parts} parts, at most {MAX_PARTS} are allowed"
                )
            self._reset(position, part.parts)
        elif (position, part.part, part.parts) != (self._position, self._next, self._parts):
            expected = f"part {self._next} of {self._parts} of {self._position.number}"
            raise SnapshotRefusedError(
                f"part {part.part} of {part.parts} of {position.number} was received instead of {expected}"
            )
        self._add_chunk(part.part, part.data)
        self._next += 1
        return self._complete() if self._next == self._parts else None

    def _reset(self, position: LogPosition, parts: int) -> None:
        self._position, self._parts, self._next = position, parts, 0
        self._active, self._index = 0, NO_LIST
        self._policies: list[Version] = []
        self._node_chunks: list[bytes] = []
        self._bytes = self._nodes = 0

    def _add_chunk(self, part: int, data: bytes) -> None:
        """Validate a part by decoding it; its nodes are kept compressed."""
        self._bytes += len(data)
        if self._bytes > self._max_bytes:
            raise SnapshotRefusedError(f"a snapshot of more than {self._max_bytes} compressed bytes")
        chunk = _read_chunk(data)
        if part == 0:
            self._active, self._index = chunk.active, chunk.nodes_index
        self._policies += [version_from(policy) for policy in chunk.policies]
        self._nodes += len(chunk.nodes)
        if chunk.nodes:
            self._node_chunks.append(data)
        if len(chunk.nodes) > NODES_IN_CHUNK:
            raise SnapshotRefusedError(f"a part with {len(chunk.nodes)} nodes, at most {NODES_IN_CHUNK}")
        if self._nodes > MAX_NODES or len(self._policies) > MAX_VERSIONS:
            raise SnapshotRefusedError(
                f"{self._nodes} nodes and {len(self._policies)} policies, at most {MAX_NODES} and"
                f" {MAX_VERSIONS} are allowed"
            )

    def _complete(self) -> ReceivedSnapshot:
        policies, chunks = tuple(self._policies), tuple(self._node_chunks)
        received = ReceivedSnapshot(self._position, policies, self._active, self._index, chunks)
        self._reset(LogPosition(), 0)
        return received


def _read_chunk(data: bytes) -> SnapshotChunk:
    """Decompress and parse a chunk. Its size is checked before it is decompressed."""
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_CHUNK_BYTES:
            raise SnapshotRefusedError(f"a part of {size} bytes, at most {MAX_CHUNK_BYTES} are allowed")
        decompressor = zstandard.ZstdDecompressor(max_window_size=8 * MAX_CHUNK_BYTES)
        decompressed = decompressor.decompress(data, max_output_size=MAX_CHUNK_BYTES, allow_extra_data=False)
        return SnapshotChunk.FromString(decompressed)
    except (zstandard.ZstdError, DecodeError) as error:
        raise SnapshotRefusedError(f"a part that cannot be decoded ({error})") from error
