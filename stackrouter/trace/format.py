"""How a trace lies in a file: independent blocks, each compressed with a checksum, and an index at the end.

    file   = block* index?
    block  = mark zframe
    mark   = skippable("SRTB" u32 length of zframe, u64 facts before it, u32 CRC-32 of these)
    index  = skippable("SRTI" (u64 offset of a mark, u64 facts before it)* u32 length of this frame "SRTX")
    zframe = one Zstandard frame (RFC 8878) of a Block record, with content size and content checksum

`skippable` is a skippable frame of Zstandard (RFC 8878, section 3.1.2), so that any of its tools unpacks the
file as a whole. A file without an index, or cut off anywhere, is read from mark to mark; what is not whole
or fails its checksum is passed over up to the next mark.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import zstandard
from google.protobuf.message import DecodeError

from stackrouter.trace import facts_pb2 as pb

SKIPPABLE = 0x184D2A50
BLOCK, INDEX, END = b"SRTB", b"SRTI", b"SRTX"
HEAD = struct.Struct("<II")
MARK = struct.Struct("<4sIQI")
PLACE = struct.Struct("<QQ")
TAIL = struct.Struct("<I4s")
MARK_BYTES = HEAD.size + MARK.size
MARK_START = HEAD.pack(SKIPPABLE, MARK.size) + BLOCK
MOST_BLOCK = 64 << 20  # no block of ours unpacks to more: a length beyond it is damage
LEVEL = 3


@dataclass(frozen=True, slots=True)
class Place:
    """Where a block begins in the file, and how many facts stand before it."""

    offset: int
    first: int


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes `begin` to `end` of the file could not be read. `cut`: the file just ends there."""

    begin: int
    end: int
    why: str
    cut: bool = False


def _mark(length: int, first: int) -> bytes:
    body = MARK.pack(BLOCK, length, first, 0)[:-4]
    return HEAD.pack(SKIPPABLE, MARK.size) + body + struct.pack("<I", zlib.crc32(body))


def pack(block: bytes, first: int) -> bytes:
    """A block as it lies in the file."""
    compressor = zstandard.ZstdCompressor(level=LEVEL, write_checksum=True, write_content_size=True)
    frame = compressor.compress(block)
    return _mark(len(frame), first) + frame


def pack_index(places: list[Place]) -> bytes:
    body = INDEX + b"".join(PLACE.pack(p.offset, p.first) for p in places)
    length = HEAD.size + len(body) + TAIL.size
    return HEAD.pack(SKIPPABLE, len(body) + TAIL.size) + body + TAIL.pack(length, END)


def read_index(data: bytes | memoryview) -> list[Place] | None:
    """The index of a whole file; None where it has none, or a broken one."""
    if len(data) < TAIL.size:
        return None
    length, end = TAIL.unpack(data[-TAIL.size :])
    if end != END or not HEAD.size + len(INDEX) + TAIL.size <= length <= len(data):
        return None
    frame = bytes(data[-length:])
    body = frame[HEAD.size : -TAIL.size]
    if not body.startswith(INDEX) or (len(body) - len(INDEX)) % PLACE.size:
        return None
    return [Place(*PLACE.unpack_from(body, at)) for at in range(len(INDEX), len(body), PLACE.size)]


def blocks(data: bytes | memoryview) -> Iterator[tuple[Place, pb.Block] | Damage]:
    """Every whole block and where it lies, in order, and a `Damage` for every stretch that is none."""
    unpack = zstandard.ZstdDecompressor()
    view, at, end = memoryview(data), 0, len(data)
    while at < end:
        if bytes(view[at : at + len(MARK_START)]) != MARK_START:
            if _index_starts(view, at):
                return
            following = _next_mark(view, at + 1)
            cut = following == end and MARK_START.startswith(bytes(view[at : at + len(MARK_START)]))
            yield Damage(at, following, "the file ends within a mark" if cut else "no mark of a block", cut)
            at = following
            continue
        if at + MARK_BYTES > end:
            yield Damage(at, end, "the file ends within a mark", True)
            return
        _, length, first, _ = MARK.unpack_from(view, at + HEAD.size)
        if bytes(view[at : at + MARK_BYTES]) != _mark(length, first):
            following = _next_mark(view, at + 1)
            yield Damage(at, following, "a mark that fails its checksum")
            at = following
            continue
        begin, behind = at + MARK_BYTES, at + MARK_BYTES + length
        if behind > end:
            following = _next_mark(view, begin)
            whole = following == end
            why = "the file ends within a block" if whole else "a block runs into the next"
            yield Damage(at, following, why, whole)
            at = following
            continue
        try:
            if not 0 <= zstandard.frame_content_size(view[begin:behind]) <= MOST_BLOCK:
                raise ValueError("states no size that a block may have")
            block = pb.Block.FromString(unpack.decompress(view[begin:behind], max_output_size=MOST_BLOCK))
            yield Place(at, block.first), block
            at = behind
        except (zstandard.ZstdError, DecodeError, ValueError) as error:
            # The length itself may be what is damaged: look for a mark from the start of the frame on.
            following = _next_mark(view, begin)
            yield Damage(at, following, f"a block that is not whole: {error}")
            at = following


def _index_starts(view: memoryview, at: int) -> bool:
    """Whether the file's index begins here; a damaged mark of a block may look like one."""
    tail = bytes(view[-TAIL.size :])
    return read_index(view[at:]) is not None and TAIL.unpack(tail)[0] == len(view) - at


def block_at(data: memoryview, place: Place) -> pb.Block:
    """A block that `blocks` has found whole."""
    _, length, _, _ = MARK.unpack_from(data, place.offset + HEAD.size)
    begin = place.offset + MARK_BYTES
    frame = data[begin : begin + length]
    return pb.Block.FromString(zstandard.ZstdDecompressor().decompress(frame, max_output_size=MOST_BLOCK))


def _next_mark(view: memoryview, start: int) -> int:
    """Where the next mark begins, or the end of the file."""
    step = 1 << 20
    for begin in range(start, len(view), step):
        chunk = bytes(view[begin : begin + step + len(MARK_START)])
        if (found := chunk.find(MARK_START)) >= 0:
            return begin + found
    return len(view)
