"""The file format of traces: independent blocks, each compressed with a checksum, and an index at the end.

    file   = block* index?
    block  = mark zframe
    mark   = skippable("SRTB" u32 length of zframe, u64 facts before it, u32 CRC-32 of these)
    index  = skippable("SRTI" (u64 offset of a mark, u64 facts before it)* u32 length of this frame "SRTX")
    zframe = one Zstandard frame (RFC 8878) of a Block record, with content size and content checksum

`skippable` is a Zstandard skippable frame (RFC 8878, section 3.1.2), so any Zstandard tool can decompress the
whole file. A file that has no index, or is truncated anywhere, is read from mark to mark; a block that is
incomplete or fails its checksum is skipped up to the next mark.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import zstandard
from google.protobuf.message import DecodeError

from stackrouter.trace import facts_pb2 as pb

SKIPPABLE_MAGIC = 0x184D2A50
BLOCK_TAG, INDEX_TAG, END_TAG = b"SRTB", b"SRTI", b"SRTX"
FRAME_HEADER = struct.Struct("<II")
MARK_BODY = struct.Struct("<4sIQI")
INDEX_ENTRY = struct.Struct("<QQ")
INDEX_TAIL = struct.Struct("<I4s")
MARK_BYTES = FRAME_HEADER.size + MARK_BODY.size
MARK_START = FRAME_HEADER.pack(SKIPPABLE_MAGIC, MARK_BODY.size) + BLOCK_TAG
MAX_BLOCK_BYTES = 64 << 20  # decompressed bytes; a larger size means damage
ZSTD_LEVEL = 3


@dataclass(frozen=True, slots=True)
class BlockPosition:
    """The file offset of a block, and the number of facts before it."""

    offset: int
    first: int


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes `begin` to `end` of the file are unreadable. `cut`: only because the file is truncated there."""

    begin: int
    end: int
    why: str
    cut: bool = False


def _mark(length: int, first: int) -> bytes:
    body = MARK_BODY.pack(BLOCK_TAG, length, first, 0)[:-4]
    return FRAME_HEADER.pack(SKIPPABLE_MAGIC, MARK_BODY.size) + body + struct.pack("<I", zlib.crc32(body))


def pack(block: bytes, first: int) -> bytes:
    """Compress a block and put its mark before it, as stored in the file."""
    compressor = zstandard.ZstdCompressor(level=ZSTD_LEVEL, write_checksum=True, write_content_size=True)
    frame = compressor.compress(block)
    return _mark(len(frame), first) + frame


def pack_index(places: list[BlockPosition]) -> bytes:
    """Serialize the index of a file, which follows its last block."""
    body = INDEX_TAG + b"".join(INDEX_ENTRY.pack(p.offset, p.first) for p in places)
    length = FRAME_HEADER.size + len(body) + INDEX_TAIL.size
    return (
        FRAME_HEADER.pack(SKIPPABLE_MAGIC, len(body) + INDEX_TAIL.size)
        + body
        + INDEX_TAIL.pack(length, END_TAG)
    )


def read_index(data: bytes | memoryview) -> list[BlockPosition] | None:
    """The index of a complete file, or None if it is missing or damaged."""
    if len(data) < INDEX_TAIL.size:
        return None
    length, end = INDEX_TAIL.unpack(data[-INDEX_TAIL.size :])
    if end != END_TAG or not FRAME_HEADER.size + len(INDEX_TAG) + INDEX_TAIL.size <= length <= len(data):
        return None
    frame = bytes(data[-length:])
    body = frame[FRAME_HEADER.size : -INDEX_TAIL.size]
    if not body.startswith(INDEX_TAG) or (len(body) - len(INDEX_TAG)) % INDEX_ENTRY.size:
        return None
    return [
        BlockPosition(*INDEX_ENTRY.unpack_from(body, at))
        for at in range(len(INDEX_TAG), len(body), INDEX_ENTRY.size)
    ]


def blocks(data: bytes | memoryview) -> Iterator[tuple[BlockPosition, pb.Block] | Damage]:
    """Yield each intact block with its place, in file order, and a `Damage` for each unreadable range."""
    unpack = zstandard.ZstdDecompressor()
    view, at, end = memoryview(data), 0, len(data)
    while at < end:
        if bytes(view[at : at + len(MARK_START)]) != MARK_START:
            if _index_starts(view, at):
                return
            following = _next_mark(view, at + 1)
            cut = following == end and MARK_START.startswith(bytes(view[at : at + len(MARK_START)]))
            yield Damage(at, following, "the file ends within a mark" if cut else "no block mark found", cut)
            at = following
            continue
        if at + MARK_BYTES > end:
            yield Damage(at, end, "the file ends within a mark", True)
            return
        _, length, first, _ = MARK_BODY.unpack_from(view, at + FRAME_HEADER.size)
        if bytes(view[at : at + MARK_BYTES]) != _mark(length, first):
            following = _next_mark(view, at + 1)
            yield Damage(at, following, "the checksum of a mark does not match")
            at = following
            continue
        begin, block_end = at + MARK_BYTES, at + MARK_BYTES + length
        if block_end > end:
            following = _next_mark(view, begin)
            truncated = following == end
            why = "the file ends within a block" if truncated else "a block overlaps the next mark"
            yield Damage(at, following, why, truncated)
            at = following
            continue
        try:
            if not 0 <= zstandard.frame_content_size(view[begin:block_end]) <= MAX_BLOCK_BYTES:
                raise ValueError("the content size is missing or exceeds the limit")
            block = pb.Block.FromString(
                unpack.decompress(view[begin:block_end], max_output_size=MAX_BLOCK_BYTES)
            )
            yield BlockPosition(at, block.first), block
            at = block_end
        except (zstandard.ZstdError, DecodeError, ValueError) as error:
            # The length itself may be damaged, so search for the next mark from the start of the frame.
            following = _next_mark(view, begin)
            yield Damage(at, following, f"a damaged block: {error}")
            at = following


def _index_starts(view: memoryview, at: int) -> bool:
    """Whether the index of the file starts here; a damaged block mark may look like one."""
    tail = bytes(view[-INDEX_TAIL.size :])
    return read_index(view[at:]) is not None and INDEX_TAIL.unpack(tail)[0] == len(view) - at


def block_at(data: memoryview, place: BlockPosition) -> pb.Block:
    """Read a block that `blocks` reported as intact."""
    _, length, _, _ = MARK_BODY.unpack_from(data, place.offset + FRAME_HEADER.size)
    begin = place.offset + MARK_BYTES
    frame = data[begin : begin + length]
    return pb.Block.FromString(
        zstandard.ZstdDecompressor().decompress(frame, max_output_size=MAX_BLOCK_BYTES)
    )


def _next_mark(view: memoryview, start: int) -> int:
    """The offset of the next mark, or the end of the file if there is none."""
    chunk_bytes = 1 << 20
    for begin in range(start, len(view), chunk_bytes):
        chunk = bytes(view[begin : begin + chunk_bytes + len(MARK_START)])
        if (found := chunk.find(MARK_START)) >= 0:
            return begin + found
    return len(view)
