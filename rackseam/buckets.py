"""Token buckets that enforce one gateway's part of each volume's limit.

Every gateway gets an equal part of a limit. `LimitBuckets` implements this for a single process; a gateway
with several processes uses another implementation of `Buckets` (stackrouter.sharing). No I/O and no clock:
the current time is an argument, in microseconds of any monotonic clock. Tokens are counted in request units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from rackseam.interface import Plan

EPSILON = 1e-6  # units; without it a rounding error could block a request forever


@dataclass(frozen=True, slots=True)
class LimitPart:
    """One gateway's part of one volume's limit.

    `units_per_us`: refill rate; `depth`: capacity of the bucket (the burst) in units; `tolerance`: units by
    which the bucket may be overdrawn; `gateways`: number of gateways that share the limit.
    """

    volume: str
    plan: int
    gateways: int
    units_per_us: float
    depth: float
    tolerance: float

    @property
    def key(self) -> tuple[str, int]:
        return self.volume, self.plan


def limit_part(plan: Plan, volume: str, index: int, gateways: int) -> LimitPart | None:
    """The part of one gateway of `gateways`; None: the plan has no limit. `index`: the plan's index."""
    if not plan.limit_units_per_s:
        return None
    return LimitPart(
        volume,
        index,
        gateways,
        units_per_us=plan.limit_units_per_s / gateways / 1e6,
        depth=plan.burst_units / gateways,
        tolerance=plan.tolerance_units / gateways,
    )


class Buckets(Protocol):
    """Token buckets as the decision module uses them for the first attempt of a limited request."""

    tracks_writes: bool  # whether `written` and `release` have to be called; if not, `spend` is final

    def begin(self, now: int) -> None:
        """Called at the first batch: buckets of volumes not seen yet have been filling since `now`."""

    def wait_us(self, part: LimitPart, units: float, now: int) -> float:
        """Microseconds until the units can be spent; 0: now; infinity: never."""

    def spend(self, part: LimitPart, units: float, now: int) -> None:
        """Spend the units for a request that is sent now."""

    def written(self, part: LimitPart, units: float, now: int) -> None:
        """The request has been written to a node completely, which makes the spending final."""

    def release(self, part: LimitPart, units: float, spent_at: int, now: int) -> None:
        """Return the units that were spent at `spent_at` on a request that reached no node."""

    def forget_full(self, part: LimitPart, now: int) -> bool:
        """Drop the bucket if it is as full as a new one would be. Returns whether it was dropped."""


@dataclass(slots=True)
class Bucket:
    """`tokens` as of the time `at`. `pending`: units spent on requests that no node has received yet."""

    part: LimitPart
    tokens: float
    at: int
    pending: float = 0.0


class LimitBuckets:
    """Buckets that are refilled on access. The caller bounds their number by `forget_full`.

    Units spent on a request count against the depth until the request has been written to a node. A request
    that is written late uses the limit late. If its bucket had refilled to the full depth meanwhile, the same
    capacity would be granted twice. So tokens and pending units together never exceed the depth, however long
    the process is stopped between the decision and the write.
    """

    def __init__(self, largest_units: float, track_writes: bool = False) -> None:
        self._largest_units = largest_units
        self.tracks_writes = track_writes
        self.refill_start = 0  # start of refilling for volumes that have no bucket yet
        self.starts_with_tolerance = True
        self.process_count = 1  # processes that share each part equally
        self.buckets: dict[tuple[str, int], Bucket] = {}

    def begin(self, now: int) -> None:
        self.refill_start = now

    def wait_us(self, part: LimitPart, units: float, now: int) -> float:
        required = self.required_tokens(part, units)
        if math.isinf(required):
            return math.inf
        missing = required - self.level(part, now)
        return 0.0 if missing <= EPSILON else missing * self.process_count / part.units_per_us

    def required_tokens(self, part: LimitPart, units: float) -> float:
        """Tokens required to send the request; infinity: it is too large for the part.

        The bucket can never hold enough tokens for a request larger than its depth. Such a request is sent
        when the bucket is full and overdraws it by at most this process's part of the tolerance.
        """
        required = min(units, part.depth / self.process_count)
        return required if units - required <= part.tolerance / self.process_count else math.inf

    def level(self, part: LimitPart, now: int) -> float:
        """The bucket's tokens; below 0: overdrawn."""
        return self._refilled_bucket(part, now).tokens

    def spend(self, part: LimitPart, units: float, now: int) -> None:
        bucket = self._refilled_bucket(part, now)
        bucket.tokens -= units
        if self.tracks_writes:
            bucket.pending += units

    def written(self, part: LimitPart, units: float, now: int) -> None:
        bucket = self._refilled_bucket(part, now)
        bucket.pending = max(0.0, bucket.pending - units)

    def release(self, part: LimitPart, units: float, spent_at: int, now: int) -> None:
        bucket = self._refilled_bucket(part, now)
        bucket.pending = max(0.0, bucket.pending - units)
        bucket.tokens += units

    def forget_full(self, part: LimitPart, now: int) -> bool:
        bucket = self._refilled_bucket(part, now)
        if bucket.pending or bucket.tokens < part.depth / self.process_count - EPSILON:
            return False
        # A new bucket refills from `refill_start` on. Drop this one only if a new one would be full as well.
        if (now - self.refill_start) * part.units_per_us < part.depth:
            return False
        del self.buckets[part.key]
        return True

    def add(self, part: LimitPart, units: float, now: int) -> None:
        """Add tokens to the bucket."""
        self._refilled_bucket(part, now).tokens += units

    def split_among(self, process_count: int, now: int, from_empty_at: int | None = None) -> None:
        """Split each part equally among `process_count` processes from now on.

        `from_empty_at`: discard the tokens in the buckets, but not their debts, and refill from that time on.
        """
        for bucket in self.buckets.values():
            self._refill(bucket, now)
            if from_empty_at is not None:
                bucket.tokens, bucket.at = min(0.0, bucket.tokens), from_empty_at
        self.process_count = process_count
        for bucket in self.buckets.values():
            bucket.tokens = min(bucket.tokens, bucket.part.depth / process_count)
        # Other processes may have spent tokens of volumes without a bucket here: count those from empty.
        self.refill_start = now if from_empty_at is None else from_empty_at
        self.starts_with_tolerance = False

    def _refilled_bucket(self, part: LimitPart, now: int) -> Bucket:
        bucket = self.buckets.get(part.key)
        if bucket is None:
            bucket = self.buckets[part.key] = Bucket(part, self._initial_tokens(part), self.refill_start)
        elif part is not bucket.part and part != bucket.part:
            self._refill(bucket, now)
            bucket.part = part  # the number of gateways or the settings have changed
        self._refill(bucket, now)
        return bucket

    def _initial_tokens(self, part: LimitPart) -> float:
        """Tokens of a new bucket at the time `refill_start`.

        After a start the gateway does not know whether its predecessor had spent its part of the burst. The
        bucket starts with the part of the tolerance: the limit then holds if every gateway restarts once. A
        full bucket could exceed the limit.
        """
        if not self.starts_with_tolerance or part.depth < self._largest_units:
            return 0.0
        return part.tolerance / self.process_count

    def _refill(self, bucket: Bucket, now: int) -> None:
        refill = max(0, now - bucket.at) * bucket.part.units_per_us / self.process_count
        max_tokens = bucket.part.depth / self.process_count - bucket.pending
        bucket.tokens = min(max_tokens, bucket.tokens + refill)
        bucket.at = max(bucket.at, now)
