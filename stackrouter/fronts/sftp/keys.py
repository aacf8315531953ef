"""Idempotency keys derived from the written content, so that a resent upload carries the same keys."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_CHANGES = 4096  # remembered at once, over all paths

Extent = tuple[float, float]  # part of a file that an operation touches: first byte, end; negative: metadata
EXISTENCE: Extent = (-1, 0)  # whether the path exists
ATTRIBUTES: Extent = (-2, -1)
WHOLE: Extent = (-2, math.inf)


def overlap(a: Extent, b: Extent) -> bool:
    return a[0] < b[1] and b[0] < a[1]


@dataclass(slots=True)
class _Change:
    sequence: int
    generation: int
    extent: Extent
    used_us: int


@dataclass(slots=True)
class _PathHistory:
    changes: dict[bytes, _Change] = field(default_factory=dict)


class Keys:
    """A key is a digest of path, change and a generation, which tells a new change from a resent one.

    Prevents the loss of a change that nodes would drop as a repeat: writing A, then B, then A again at one
    offset, or uploading a file again after its removal, does not repeat the first A. The generation grows if
    another change overlapped in between. A resent upload, with no change in between, keeps its keys.
    """

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._paths: OrderedDict[bytes, _PathHistory] = OrderedDict()
        self._last_sequence = self._change_count = 0

    def key(self, path: bytes, change: bytes, extent: Extent, now_us: int) -> str:
        """The key of a change with this content, in 16 hex digits."""
        history = self._paths.setdefault(path, _PathHistory())
        self._paths.move_to_end(path)
        self._prune(history, now_us)
        digest = hashlib.sha256(change).digest()
        entry = history.changes.get(digest)
        if entry is None or self._is_superseded(history, entry):
            self._last_sequence += 1
            self._change_count += entry is None
            entry = history.changes[digest] = _Change(
                self._last_sequence, entry.generation + 1 if entry else 0, extent, now_us
            )
        entry.used_us = now_us
        return hashlib.sha256(path + b"\0" + digest + b"%d" % entry.generation).hexdigest()[:16]

    @staticmethod
    def _is_superseded(history: _PathHistory, entry: _Change) -> bool:
        return any(
            other.sequence > entry.sequence and overlap(other.extent, entry.extent)
            for other in history.changes.values()
        )

    def _prune(self, history: _PathHistory, now_us: int) -> None:
        """Forget changes older than the window, as nodes do; over the limit, least recently used paths."""
        for digest in [
            each for each, old in history.changes.items() if old.used_us < now_us - self._window_us
        ]:
            del history.changes[digest]
            self._change_count -= 1
        while self._change_count > MAX_CHANGES and len(self._paths) > 1:
            self._change_count -= len(self._paths.popitem(last=False)[1].changes)
