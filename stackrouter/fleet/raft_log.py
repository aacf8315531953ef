"""How far a member's Raft log has got, read from the journal that the library keeps on disk.

The journal is a header, then records of `size, index, term, command, size`; the header holds the offset of
the end. The member writes it through a memory map, so that another process on the machine reads it as it
stands; a compaction rewrites it, and is waited out.
"""

from __future__ import annotations

import struct
import time
from pathlib import Path

HEADER = 24 + 8 + 4  # the library's name, its version, the format: what stands before the end's offset
EMPTY = HEADER + 4  # the end's offset in a journal without records
TRIES, PAUSE_S = 20, 0.005


def last_index(journal: Path) -> int:
    """The index of the last entry of this journal; 0: none could be read."""
    for _ in range(TRIES):
        try:
            with journal.open("rb") as file:
                index = _last_index(file.read())
        except OSError:
            return 0
        if index:
            return index
        time.sleep(PAUSE_S)
    return 0


def _last_index(data: bytes) -> int:
    """0 where the journal is empty or just being rewritten."""
    if len(data) < EMPTY:
        return 0
    end = struct.unpack_from("<I", data, HEADER)[0]
    if end <= EMPTY or end > len(data):
        return 0
    size = struct.unpack_from("<I", data, end - 4)[0]
    begin = end - 8 - size
    if begin < EMPTY or size < 16:
        return 0
    if struct.unpack_from("<I", data, begin)[0] != size:
        return 0
    index: int = struct.unpack_from("<Q", data, begin + 4)[0]
    return index
