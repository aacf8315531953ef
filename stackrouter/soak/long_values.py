"""Draws long values with which nodes answer some reads, and the pieces in which they write them. No I/O."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

SHARE: Final = 0.06  # of reads that are answered with a long value
SIZE_BYTES: Final = (100_000, 3_000_000)
DURATION_S: Final = (0.3, 1.8)  # for which a node writes one
STEP_S: Final = 0.05  # between the pieces of a value that is written evenly
LUMPS: Final = 3


class Shape(enum.Enum):
    """How a node writes a value."""

    STEADY = "steady"
    LUMPS = "lumps"
    LATE_BODY = "late_body"
    BIG = "big"


@dataclass(frozen=True, slots=True)
class LongValue:
    """A value of `size` bytes that its node needs `duration_s` to write."""

    shape: Shape
    size: int
    duration_s: float

    def pieces(self) -> Iterator[tuple[float, int]]:
        """The pieces after the head: the pause in seconds before each, and its length in bytes."""
        match self.shape:
            case Shape.STEADY:
                count, pauses = max(1, round(self.duration_s / STEP_S)), STEP_S
            case Shape.LUMPS:
                count, pauses = LUMPS, self.duration_s / LUMPS
            case Shape.LATE_BODY:
                count, pauses = 1, self.duration_s
            case Shape.BIG:
                count, pauses = 1, 0.0
        size = -(-self.size // count)
        left = self.size
        while left:
            yield pauses, min(size, left)
            left -= min(size, left)


def draw(seed: int, request_id: str) -> LongValue | None:
    """The long value for a read, the same at all nodes; None: its value is short."""
    rng = random.Random(f"{seed} long {request_id}")
    if rng.random() >= SHARE:
        return None
    return LongValue(rng.choice(list(Shape)), rng.randint(*SIZE_BYTES), rng.uniform(*DURATION_S))
