"""Idempotency keys that come from what is written, so that a resent upload carries the same ones."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from dataclasses import dataclass, field

MOST_CHANGES = 4096  # remembered at once, over all paths

Reach = tuple[float, float]  # the part of a file that a change concerns: bytes from, up to
EXISTENCE: Reach = (-1, 0)  # that the path is there
ATTRIBUTES: Reach = (-2, -1)
WHOLE: Reach = (-2, math.inf)


def overlap(a: Reach, b: Reach) -> bool:
    return a[0] < b[1] and b[0] < a[1]


@dataclass(slots=True)
class _Change:
    seq: int
    salt: int
    reach: Reach
    at_us: int


@dataclass(slots=True)
class _Path:
    changes: dict[bytes, _Change] = field(default_factory=dict)


class Keys:
    """A key is a digest of path and change, and of a count that tells a change made anew from a resent one.

    Guards against losing a change: writing A, then B, then A again at one place, or uploading a file again
    after removing it, is no repeat of the first A. Where another change overlapped in between, the count
    grows. A resent upload, with nothing in between, keeps its keys.
    """

    def __init__(self, window_us: int) -> None:
        self._window_us = window_us
        self._paths: OrderedDict[bytes, _Path] = OrderedDict()
        self._seq = self._held = 0

    def key(self, path: bytes, change: bytes, reach: Reach, now_us: int) -> str:
        known = self._paths.setdefault(path, _Path())
        self._paths.move_to_end(path)
        self._prune(known, now_us)
        what = hashlib.sha256(change).digest()
        made = known.changes.get(what)
        if made is None or self._overtaken(known, made):
            self._seq += 1
            self._held += made is None
            made = known.changes[what] = _Change(self._seq, made.salt + 1 if made else 0, reach, now_us)
        made.at_us = now_us
        return hashlib.sha256(path + b"\0" + what + b"%d" % made.salt).hexdigest()[:16]

    @staticmethod
    def _overtaken(known: _Path, made: _Change) -> bool:
        return any(c.seq > made.seq and overlap(c.reach, made.reach) for c in known.changes.values())

    def _prune(self, known: _Path, now_us: int) -> None:
        """Nodes forget what is past the window too; beyond the bound the longest unused path goes."""
        for what in [w for w, c in known.changes.items() if c.at_us < now_us - self._window_us]:
            del known.changes[what]
            self._held -= 1
        while self._held > MOST_CHANGES and len(self._paths) > 1:
            self._held -= len(self._paths.popitem(last=False)[1].changes)
