"""Reads the last index of a member's Raft log from the journal that the library keeps on disk.

The journal is a header followed by records of `size, index, term, command, size`; the header holds the offset
of the end. The member writes it through a memory map, so another process on the machine sees its current
content. A compaction rewrites the file; the reader retries until it is complete.
"""

from __future__ import annotations

import struct
import time
from pathlib import Path

HEADER_BYTES = 24 + 8 + 4  # library name, library version, format: the fields before the end offset
EMPTY_END = HEADER_BYTES + 4  # end offset of a journal without records
ATTEMPTS, RETRY_DELAY_S = 20, 0.005


def last_index(journal: Path) -> int:
    """The index of the last entry of this journal; 0 if none could be read."""
    for _ in range(ATTEMPTS):
        try:
            with journal.open("rb") as file:
                index = _last_index(file.read())
        except OSError:
            return 0
        if index:
            return index
        time.sleep(RETRY_DELAY_S)
    return 0


def _last_index(data: bytes) -> int:
    """Parses a journal; 0 if it is empty or in the middle of a rewrite."""
    if len(data) < EMPTY_END:
        return 0
    end = struct.unpack_from("<I", data, HEADER_BYTES)[0]
    if end <= EMPTY_END or end > len(data):
        return 0
    size = struct.unpack_from("<I", data, end - 4)[0]
    begin = end - 8 - size
    if begin < EMPTY_END or size < 16:
        return 0
    if struct.unpack_from("<I", data, begin)[0] != size:
        return 0
    index: int = struct.unpack_from("<Q", data, begin + 4)[0]
    return index
