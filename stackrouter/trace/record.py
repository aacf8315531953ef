"""Records facts: bounded in memory, never in the engine's way; what can't be kept is dropped and counted."""

from __future__ import annotations

import logging
import os
import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

from stackrouter.core import facts
from stackrouter.errors import TraceWriteError, tell
from stackrouter.trace.codec import Header, encode
from stackrouter.trace.format import Place, pack, pack_index

log = logging.getLogger(__name__)

BLOCK_FACTS = 4096


class Sink:
    """Writes blocks to a file; a full one is closed with its index and set aside as `.1`, `.2`, ..."""

    def __init__(self, path: Path, header: Header, most_bytes: int, keep: int) -> None:
        self.path, self.header, self.most_bytes, self.keep = path, header, most_bytes, keep
        self._file: BinaryIO | None = None
        self._places: list[Place] = []
        self._size = self._facts = 0

    def write(self, batch: list[facts.Fact], left_out: int) -> None:
        """OSError: nothing of the batch may be counted as kept."""
        data = pack(encode(self.header, self._facts, left_out, batch), self._facts)
        if self._file is not None and self._size + len(data) > self.most_bytes:
            self.close()
            self._rotate()
        if self._file is None:
            self._file, self._size, self._places = self.path.open("wb"), 0, []
        self._file.write(data)
        self._file.flush()
        self._places.append(Place(self._size, self._facts))
        self._size += len(data)
        self._facts += len(batch)

    def close(self) -> None:
        if self._file is not None:
            file, self._file = self._file, None
            with file:
                file.write(pack_index(self._places))

    def _rotate(self) -> None:
        """The oldest goes; the file in hand becomes `.1`."""
        for i in range(self.keep - 1, 0, -1):
            older = Path(f"{self.path}.{i}")
            if older.exists():
                os.replace(older, f"{self.path}.{i + 1}")
        if self.keep > 0:
            os.replace(self.path, f"{self.path}.1")


class Recorder:
    """A subscriber. `flush` does the work and may block: call it from a thread."""

    def __init__(self, sink: Sink, most_facts: int = 16 * BLOCK_FACTS) -> None:
        self.sink, self.most_facts = sink, most_facts
        self.left_out = 0
        self.on_block: Callable[[], None] = lambda: None  # a block's worth is there
        self._waiting: deque[facts.Fact] = deque()
        self._failed = self._closed = False
        # Guards against an end that comes while a thread still writes: two at once would mix their blocks.
        self._writing = threading.Lock()

    def __call__(self, fact: facts.Fact) -> None:
        if len(self._waiting) >= self.most_facts:
            self.left_out += 1
            return
        self._waiting.append(fact)
        if len(self._waiting) % BLOCK_FACTS == 0:
            self.on_block()

    def flush(self, all_of_it: bool = False) -> None:
        """Write what fills blocks; with `all_of_it` the rest, too."""
        with self._writing:
            if not self._closed:
                self._flush(all_of_it)

    def _flush(self, all_of_it: bool) -> None:
        while len(self._waiting) >= BLOCK_FACTS or (all_of_it and self._waiting):
            batch = [self._waiting.popleft() for _ in range(min(BLOCK_FACTS, len(self._waiting)))]
            try:
                self.sink.write(batch, self.left_out)
                self._failed = False
            except OSError as error:
                # A full disk must not end the gateway, nor fill its log.
                self.left_out += len(batch)
                if not self._failed:
                    what = f"{error.strerror}; what can't be kept is counted"
                    tell(log, TraceWriteError(what, file=self.sink.path.name), "trace")
                self._failed = True

    def close(self) -> None:
        """Waits for a flush that is under way; what comes after it writes nothing more."""
        with self._writing:
            self._flush(all_of_it=True)
            self._closed = True
            try:
                self.sink.close()
            except OSError as error:
                tell(log, TraceWriteError(error.strerror, file=self.sink.path.name), "trace")
