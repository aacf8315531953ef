"""Replays the shared log into token buckets. No I/O: equal records give equal levels in every process."""

from __future__ import annotations

from collections.abc import Callable

from rackseam.buckets import LimitBuckets, LimitPart
from stackrouter.sharing.mode import CHARGE_MAX_AGE_US
from stackrouter.sharing.records import Record, RecordKind

MAX_VOLUMES = 4096  # above this many buckets, each record drops the oldest bucket if it is full

PartLookup = Callable[[int, int, int], LimitPart | None]  # by hash of the volume, plan, number of gateways


class ReplayedBuckets:
    """Token buckets as of the applied records. `part_of`: limit by this process's settings, or None."""

    def __init__(self, part_of: PartLookup, largest_units: float) -> None:
        self._part_of = part_of
        self._largest_units = largest_units
        self.epoch: tuple[int, int] | None = None  # writer and sequence number of the current EPOCH
        self.epoch_at = 0  # when the current epoch begins
        self.refilled_since = 0  # start of the refill of volumes without a bucket
        self._now = 0
        self._with_level: set[tuple[str, int]] = set()  # limits with a LEVEL record in this epoch
        self.buckets = self._empty_buckets(0)

    def _empty_buckets(self, since: int) -> LimitBuckets:
        buckets = LimitBuckets(self._largest_units)
        buckets.refill_start, buckets.starts_with_tolerance = since, False
        return buckets

    def apply(self, record: Record) -> float:
        """Apply a record. Returns the volume's level just before it, or 0 where the record has no volume."""
        match record.kind:
            case RecordKind.EPOCH:
                # An epoch may begin in the future: nothing is refilled before its begin.
                self.epoch = record.writer, record.sequence
                self.epoch_at = self.refilled_since = record.at_us
                self._with_level = set()
                self.buckets = self._empty_buckets(record.at_us)
                return 0.0
            case RecordKind.VOID:
                self.epoch = None
                return 0.0
            case RecordKind.SINCE:
                self._credit_refill(record.at_us)
                return 0.0
        part = self._part_of(record.volume, record.plan, record.gateways)
        if part is None:
            return 0.0
        # A suspended writer may append a time older than the previous record's: never go back in time.
        self._now = max(self._now, record.at_us)
        level = self.buckets.level(part, self._now)
        match record.kind:
            case RecordKind.CLAIM:
                self.buckets.spend(part, record.units, self._now)
            case RecordKind.RETURN:
                # Units claimed longer ago are not credited: the store may be full again and has lost them.
                if self._now - record.at_us <= CHARGE_MAX_AGE_US:
                    self.buckets.add(part, record.units, self._now)
            case RecordKind.LEVEL:
                self.buckets.add(part, record.units, self._now)
                self._with_level.add(part.key)
        self._drop_oldest_if_full()
        return level

    def _credit_refill(self, since: int) -> None:
        """Credit the refill from `since` to the epoch's begin to volumes without a LEVEL: none was spent."""
        earlier_us = max(0, self.refilled_since - since)
        for key, bucket in self.buckets.buckets.items():
            if key not in self._with_level:
                self.buckets.add(bucket.part, earlier_us * bucket.part.units_per_us, self._now)
        self.buckets.refill_start -= earlier_us
        self.refilled_since -= earlier_us

    def _drop_oldest_if_full(self) -> None:
        if len(self.buckets.buckets) > MAX_VOLUMES:
            oldest = next(iter(self.buckets.buckets.values()))
            self.buckets.forget_full(oldest.part, self._now)
