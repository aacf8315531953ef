"""Records facts to files with bounded memory and without blocking the engine; facts that do not fit or cannot
be written are dropped and counted."""

from __future__ import annotations

import logging
import os
import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from stackrouter.core import facts
from stackrouter.errors import TraceWriteError, log_error
from stackrouter.trace.codec import Header, encode
from stackrouter.trace.format import BlockPosition, pack, pack_index

log = logging.getLogger(__name__)

BLOCK_FACTS = 4096


class Sink:
    """Writes blocks to a file. A full file is closed with its index and rotated to `.1`, `.2`, ..."""

    def __init__(self, path: Path, header: Header, max_bytes: int, keep: int) -> None:
        self.path, self.header, self.max_bytes, self.keep = path, header, max_bytes, keep
        self._file: BinaryIO | None = None
        self._places: list[BlockPosition] = []
        self._size = self._facts = 0

    def write(self, batch: list[facts.Fact], left_out: int) -> None:
        """Write a batch as one block. On OSError the whole batch counts as dropped."""
        data = pack(encode(self.header, self._facts, left_out, batch), self._facts)
        if self._file is not None and self._size + len(data) > self.max_bytes:
            self.close()
            self._rotate()
        if self._file is None:
            self._file, self._size, self._places = self.path.open("wb"), 0, []
        self._file.write(data)
        self._file.flush()
        self._places.append(BlockPosition(self._size, self._facts))
        self._size += len(data)
        self._facts += len(batch)

    def close(self) -> None:
        """Write the index and close the file."""
        if self._file is not None:
            file, self._file = self._file, None
            with file:
                file.write(pack_index(self._places))

    def _rotate(self) -> None:
        """Rename the current file to `.1` and shift the older ones, dropping the oldest."""
        for i in range(self.keep - 1, 0, -1):
            older = Path(f"{self.path}.{i}")
            if older.exists():
                os.replace(older, f"{self.path}.{i + 1}")
        if self.keep > 0:
            os.replace(self.path, f"{self.path}.1")


class Recorder:
    """A subscriber that buffers facts. `flush` writes them and may block: call it from a thread."""

    def __init__(self, sink: Sink, max_facts: int = 16 * BLOCK_FACTS) -> None:
        self.sink, self.max_facts = sink, max_facts
        self.left_out = 0
        self.on_block_full: Callable[[], None] = lambda: None  # called when a block is full
        self._pending: deque[facts.Fact] = deque()
        self._failed = self._closed = False
        # Serializes `close` with a flush in another thread: concurrent writes would interleave their blocks.
        self._write_lock = threading.Lock()

    def __call__(self, fact: facts.Fact) -> None:
        if len(self._pending) >= self.max_facts:
            self.left_out += 1
            return
        self._pending.append(fact)
        if len(self._pending) % BLOCK_FACTS == 0:
            self.on_block_full()

    def flush(self, include_partial: bool = False) -> None:
        """Write the full blocks; with `include_partial` also the last, partial one."""
        with self._write_lock:
            if not self._closed:
                self._flush(include_partial)

    def _flush(self, include_partial: bool) -> None:
        while len(self._pending) >= BLOCK_FACTS or (include_partial and self._pending):
            batch = [self._pending.popleft() for _ in range(min(BLOCK_FACTS, len(self._pending)))]
            try:
                self.sink.write(batch, self.left_out)
                self._failed = False
            except OSError as error:
                # A full disk must neither stop the gateway nor flood its log.
                self.left_out += len(batch)
                if not self._failed:
                    what = f"{error.strerror}; dropped facts are counted"
                    log_error(log, TraceWriteError(what, file=self.sink.path.name), "trace")
                self._failed = True

    def close(self) -> None:
        """Write everything and close the file, after any flush in progress. Later flushes write nothing."""
        with self._write_lock:
            self._flush(include_partial=True)
            self._closed = True
            try:
                self.sink.close()
            except OSError as error:
                log_error(log, TraceWriteError(error.strerror, file=self.sink.path.name), "trace")
