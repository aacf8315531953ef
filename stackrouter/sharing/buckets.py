"""Token buckets for a gateway whose limits are shared by several of its processes.

A process that is alone spends from local buckets. Beside other processes that use the same log it spends by
claims: it appends a claim, reads the log up to that claim, and spends only what the records before the claim
leave. If one of the processes cannot use the log, each is limited to an even part. Every decision is based on
a scan for the other processes that is at most SCAN_MAX_AGE_US old, and a process that has just joined spends
nothing for JOIN_DELAY_US. Therefore no process spends according to the state before another joined, however
long it is suspended in between.
"""

from __future__ import annotations

import hashlib
import logging
import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from rackseam.buckets import EPSILON, LimitBuckets, LimitPart, limit_part
from rackseam.interface import Event, LimitsChanged, ProcessesChanged, Settings
from stackrouter.core.counters import Counters
from stackrouter.errors import LimitLogError, ProcessesUncountedError, log_error
from stackrouter.sharing.log_file import LogFile
from stackrouter.sharing.mode import (
    CHARGE_MAX_AGE_US,
    JOIN_DELAY_US,
    SCAN_MAX_AGE_US,
    Mode,
    ProcessView,
    mode_for,
)
from stackrouter.sharing.presence import Presence
from stackrouter.sharing.records import Record, RecordKind, RecordReader
from stackrouter.sharing.replay import ReplayedBuckets

log = logging.getLogger(__name__)

EXCHANGE_INTERVAL_US: Final = 5_000  # minimum time between two claim exchanges through the log, at any load
GRANT_MAX_AGE_US: Final = 20_000  # granted units are spent within this time or returned
MAX_CACHED_PARTS: Final = 4096  # limits whose volume id is cached
_HEX: Final = re.compile(r"[0-9a-f]{16}")
_ID_BYTES: Final = 8


class VolumeIds:
    """Maps volume names to ids of 16 hex digits, as stored in records.

    A name that already has this form is its own id; any other name is hashed.
    """

    def __init__(self) -> None:
        self._parts: dict[LimitPart, LimitPart] = {}
        self._volume_names: dict[str, str] = {}

    def with_id(self, part: LimitPart) -> LimitPart:
        """The same limit under the volume's id."""
        if (known := self._parts.get(part)) is not None:
            return known
        if len(self._parts) >= MAX_CACHED_PARTS:
            self._parts.clear()
            self._volume_names.clear()
        volume_id = part.volume
        if not _HEX.fullmatch(volume_id):
            volume_id = hashlib.blake2b(volume_id.encode(), digest_size=_ID_BYTES).hexdigest()
        identified = self._parts[part] = replace(part, volume=volume_id)
        self._volume_names[volume_id] = part.volume
        return identified

    def volume_name(self, part: LimitPart) -> str:
        """The volume's name, or an empty string if it is no longer cached."""
        return self._volume_names.get(part.volume, "")


@dataclass(slots=True)
class Grant:
    """Units that this process claimed at `at` and may spend."""

    part: LimitPart
    units: float
    at: int


@dataclass(frozen=True, slots=True)
class Charge:
    """When a request's units were spent, and in which period; each mode switch begins a new period."""

    at: int
    period: int


class SharedBuckets:
    """Implements `rackseam.buckets.Buckets` for a process on an inherited listening socket.

    Called only from the engine's loop: `scan_processes` before a batch of events, `exchange_claims` after it,
    and `events` for the changes to report to the decision module. Times are microseconds of the machine's
    monotonic clock.
    """

    tracks_writes = True

    def __init__(self, settings: Settings, presence: Presence, log_file: LogFile, counters: Counters,
                 clock: Callable[[], int], seed: int | None = None) -> None:  # fmt: skip
        """Join the processes of the gateway; when this returns, the others can see this process."""
        self.settings = settings
        self.mode: Mode | None = None  # None: before the first scan
        self.period = self._period_began_at = 0
        self._presence, self._log_file, self._counters, self._clock = presence, log_file, counters, clock
        self._random = random.Random(seed)
        self._local = LimitBuckets(settings.max_units, track_writes=True)
        self._replayed = ReplayedBuckets(self._part_of, settings.max_units)
        self._reader = RecordReader()
        self._writer = self._sequence = 0
        self._wanted_claims: dict[tuple[str, int], tuple[LimitPart, float]] = {}
        self._grants: dict[tuple[str, int], Grant] = {}
        self._volume_ids = VolumeIds()
        self._events: list[Event] = []
        self._exchanged_at = 0
        self._last_alone_at = 0  # time of the last scan that found no other process
        self._view = ProcessView(0)
        self._report_claim: Callable[[LimitPart, float, int], None] = lambda part, units, at: None
        self._log_id = self._open_log()
        self._countable = self._join_processes()
        self._joined_at = clock()
        self._scanned_at = self._joined_at - SCAN_MAX_AGE_US

    # --- called by the decision module (see rackseam.buckets.Buckets)

    def begin(self, now: int) -> None:
        if self.mode is not Mode.SPLIT:
            self._local.refill_start = now

    def wait_us(self, part: LimitPart, units: float, now: int) -> float:
        part = self._volume_ids.with_id(part)
        if self.mode is not Mode.SHARED:
            return self._local.wait_us(part, units, now)
        grant = self._grants.get(part.key)
        if grant is not None and grant.units >= units - EPSILON and now - grant.at <= GRANT_MAX_AGE_US:
            return 0.0
        wait = self._replayed.buckets.wait_us(part, units, now)
        if wait > 0:
            return wait
        wanted = self._wanted_claims.get(part.key)
        if wanted is None or wanted[1] < units:
            self._wanted_claims[part.key] = part, units
        return EXCHANGE_INTERVAL_US

    def spend(self, part: LimitPart, units: float, now: int) -> None:
        part = self._volume_ids.with_id(part)
        if self.mode is not Mode.SHARED:
            self._local.spend(part, units, now)
            return
        grant = self._grants.get(part.key)
        if grant is None:
            # Spent without a grant: claimed afterwards, so that the others take it into account.
            self._append([self._new_record(RecordKind.CLAIM, now, part, units)], now)
            return
        grant.units -= units
        if grant.units <= EPSILON:
            del self._grants[part.key]

    def written(self, part: LimitPart, units: float, now: int) -> None:
        if self.mode is not Mode.SHARED:
            self._local.written(self._volume_ids.with_id(part), units, now)

    def release(self, part: LimitPart, units: float, spent_at: int, now: int) -> None:
        part = self._volume_ids.with_id(part)
        if self.mode is Mode.SHARED:
            self._append([self._new_record(RecordKind.RETURN, spent_at, part, units)], now)
        elif spent_at >= self._period_began_at:
            self._local.release(part, units, spent_at, now)
        else:
            self._local.written(part, units, now)  # not credited: these are not the buckets that were charged

    def forget_full(self, part: LimitPart, now: int) -> bool:
        part = self._volume_ids.with_id(part)
        if self.mode is Mode.SHARED:
            return part.key not in self._grants
        return self._local.forget_full(part, now)

    # --- called by the engine

    def set_claim_callback(self, callback: Callable[[LimitPart, float, int], None]) -> None:
        """Set the callback for claims of other processes: limit, units (negative: returned), time."""
        self._report_claim = callback

    def reservation(self, now: int) -> Charge:
        """The charge of a request whose units have just been spent."""
        return Charge(now, self.period)

    def may_spend(self, charge: object, now: int) -> bool:
        """Whether the request may still be written to a node. To be called right before each write.

        A process that is alone keeps units set aside for any time. Otherwise the other processes regard the
        units as taken from the time of the claim: a request that reached its node later would take them from
        a store that has been refilled since.
        """
        if self.mode is Mode.ALONE and now - self._scanned_at > SCAN_MAX_AGE_US:
            self.scan_processes(now)  # this process may have been stopped while another joined
        if not isinstance(charge, Charge):
            return False
        if self.mode is Mode.ALONE and charge.period == self.period:
            return True
        return now - charge.at <= CHARGE_MAX_AGE_US

    def scan_processes(self, now: int) -> None:
        """Scan for other processes if the last scan is too old to decide on."""
        if now - self._scanned_at < SCAN_MAX_AGE_US:
            return
        self._scanned_at = now
        self._apply_view(self._scan(), now)
        if self.mode is Mode.ALONE:
            self._last_alone_at = now
        if self.mode is Mode.SHARED and self._replayed.epoch is None:
            # Another process spent without the log and has invalidated it.
            self._begin_epoch(now + JOIN_DELAY_US)
        if self.mode is Mode.SHARED:
            self._read_log(now, {})

    def exchange_claims(self, now: int) -> bool:
        """Claim the requested units if the interval has passed. Returns whether there are new events."""
        if (
            self.mode is not Mode.SHARED
            or not self._wanted_claims
            or now - self._exchanged_at < EXCHANGE_INTERVAL_US
        ):
            return False
        self._exchanged_at = now
        claims: dict[int, tuple[LimitPart, float]] = {}
        records: list[Record] = []
        for part, units in self._wanted_claims.values():
            claim = self._new_record(RecordKind.CLAIM, now, part, units, len(records))
            claims[claim.sequence] = part, units
            records.append(claim)
        self._wanted_claims.clear()
        self._counters.add("limits.claims", len(records))
        if self._append(records, now):
            self._read_log(now, claims)
        return bool(self._events)

    def events(self) -> Sequence[Event]:
        """Changes for the decision module since the last call."""
        events, self._events = self._events, []
        return events

    def _part_of(self, volume: int, plan: int, gateways: int) -> LimitPart | None:
        if not 0 <= plan < len(self.settings.plans) or gateways < 1:
            return None
        return limit_part(self.settings.plans[plan], f"{volume:016x}", plan, gateways)

    # --- the modes

    def _scan(self) -> ProcessView:
        if self._countable:
            try:
                return self._presence.scan()
            except OSError as error:
                self._counting_failed(error)
        return ProcessView(0, countable=False)

    def _apply_view(self, view: ProcessView, now: int) -> None:
        mode = mode_for(view, self._log_id is not None)
        resplit = mode is Mode.SPLIT and view.process_count != self._view.process_count
        if mode is not self.mode or resplit:
            self._switch_mode(mode, view, now)
        self._update_process_count(view)

    def _switch_mode(self, mode: Mode, view: ProcessView, now: int) -> None:
        previous, self.mode = self.mode, mode
        if mode is Mode.ALONE:
            self._enter_alone(previous, now)
        elif mode is Mode.SPLIT:
            self._enter_split(previous, view.process_count, now)
        else:
            self._enter_shared(previous, now)
        if self.mode is not mode:
            return  # the log failed meanwhile: the switch to SPLIT is already done and reported
        self.period += 1
        self._period_began_at = now
        self._wanted_claims.clear()
        self._grants.clear()
        self._events.append(LimitsChanged())
        self._counters.add(f"limits.{mode.value}")
        log.info(
            "limits: %s, was %s: %d processes of this gateway, this one in slot %d, others in slots %s",
            mode.value, previous.value if previous else "starting", view.process_count, view.slot,
            list(view.others),
        )  # fmt: skip

    def _update_process_count(self, view: ProcessView) -> None:
        if (view.process_count, view.rank) != (self._view.process_count, self._view.rank):
            self._events.append(ProcessesChanged(view.process_count, view.rank))
        self._view = view

    def _enter_alone(self, previous: Mode | None, now: int) -> None:
        if previous is Mode.SHARED:
            # All that the others have sent is in the log: the remaining units belong to this process now.
            self._apply_records(self._read_records(now), {})
            self._adopt_replayed_buckets(now)
        elif previous is Mode.SPLIT:
            self._local.split_among(1, now)
        if self._log_id is None and self._countable:
            self._log_id = self._open_log()
            self._presence.use_log(self._log_id)
        if self._log_id is not None:
            # The records are no longer valid once this process spends without the log.
            self._try_log(self._log_file.truncate, now)

    def _adopt_replayed_buckets(self, now: int) -> None:
        if self._log_id is None or self._replayed.epoch is None:
            # The log was invalid or could not be read to its end: what others have sent is unknown.
            self._local.buckets = {}
            self._local.split_among(1, now, from_empty_at=now)
            return
        self._local.buckets = self._replayed.buckets.buckets
        self._local.refill_start, self._local.starts_with_tolerance = (
            self._replayed.buckets.refill_start,
            False,
        )
        self._local.process_count = 1
        for grant in self._grants.values():
            if now - grant.at <= GRANT_MAX_AGE_US:
                self._local.add(grant.part, grant.units, now)

    def _enter_split(self, previous: Mode | None, process_count: int, now: int) -> None:
        if previous is Mode.ALONE or previous is Mode.SPLIT:
            self._local.split_among(process_count, now)
        else:
            # The units left in the log are given up: processes that have not scanned yet may spend them.
            self._local.buckets = {}
            self._local.split_among(
                process_count, now, from_empty_at=max(now, self._joined_at) + JOIN_DELAY_US
            )
        if self._log_id is not None and previous is not Mode.SPLIT:
            self._become_new_writer()
            self._append([self._new_record(RecordKind.VOID, now)], now)

    def _enter_shared(self, previous: Mode | None, now: int) -> None:
        self._become_new_writer()
        self._reader = RecordReader()
        self._replayed = ReplayedBuckets(self._part_of, self.settings.max_units)
        self._try_log(self._log_file.rewind, now)
        self._apply_records(self._read_records(now), {})
        if previous is None:
            # An epoch in the log may be of processes that have ended while another has been alone since.
            self._begin_epoch(max(now, self._joined_at + JOIN_DELAY_US))
        elif previous is Mode.SPLIT:
            # Processes that have not scanned yet still spend their even part.
            self._begin_epoch(now + JOIN_DELAY_US)
        else:
            # An epoch is of the present processes if it began after this one was last alone; else it is old.
            if (
                self._replayed.epoch is None
                or self._replayed.epoch_at < self._last_alone_at + SCAN_MAX_AGE_US
            ):
                self._begin_epoch(now)
            self._append(self._level_records(min(now, self._replayed.epoch_at)), now)
            self._apply_records(self._read_records(now), {})

    def _begin_epoch(self, at: int) -> None:
        if self._append([self._new_record(RecordKind.EPOCH, at)], at):
            self._apply_records(self._read_records(at), {})

    def _level_records(self, at: int) -> list[Record]:
        """Records of the units left of each volume by this process, which has been alone until now."""
        buckets = list(self._local.buckets.values())
        records = [
            self._new_record(RecordKind.LEVEL, at, b.part, self._local.level(b.part, at), number)
            for number, b in enumerate(buckets)
        ]
        records.append(self._new_record(RecordKind.SINCE, self._local.refill_start, number=len(buckets)))
        self._local.buckets = {}
        return records

    # --- the log

    def _open_log(self) -> int | None:
        try:
            return self._log_file.open()
        except LimitLogError as error:
            self._counters.add("limits.log_failed")
            log_error(log, error)
            return None

    def _join_processes(self) -> bool:
        """Join the other processes. Returns whether they can be counted."""
        try:
            self._presence.join(self._log_id)
        except OSError as error:
            self._counting_failed(error)
            return False
        return True

    def _counting_failed(self, error: OSError) -> None:
        self._countable = False
        self._counters.add("limits.uncounted")
        log_error(log, ProcessesUncountedError(error.strerror or error))

    def _become_new_writer(self) -> None:
        """Become a new writer, since a writer's records in one log are numbered from 0."""
        self._writer, self._sequence = self._random.getrandbits(32), 0

    def _new_record(
        self, kind: RecordKind, at: int, part: LimitPart | None = None, units: float = 0.0, number: int = 0
    ) -> Record:
        """A record of this process. `number`: how many records precede it in the same append."""
        sequence = self._sequence + number
        if part is None:
            return Record(kind, self._writer, sequence, at)
        volume = int(part.volume, 16)
        return Record(kind, self._writer, sequence, at, part.plan, part.gateways, volume, units)

    def _try_log(self, call: Callable[[], None], now: int) -> bool:
        try:
            call()
        except LimitLogError as error:
            self._log_failed(error, now)
            return False
        return True

    def _append(self, records: Sequence[Record], now: int) -> bool:
        if self._log_id is None:
            return False
        data = b"".join(record.encode() for record in records)
        if not self._try_log(lambda: self._log_file.append(data), now):
            return False
        self._sequence += len(records)
        return True

    def _read_records(self, now: int) -> list[Record]:
        """New records; empty if the log cannot be read."""
        try:
            return self._reader.feed(self._log_file.read_new())
        except LimitLogError as error:
            self._log_failed(error, now)
            return []

    def _log_failed(self, error: LimitLogError, now: int) -> None:
        """Stop using the log. The other processes detect that, and all are limited to even parts."""
        if self._log_id is None:
            return
        self._log_id = None
        self._counters.add("limits.log_failed")
        log_error(log, error)
        try:
            self._presence.use_log(None)
        except OSError as lock_error:
            self._counting_failed(lock_error)
        if self.mode is Mode.SHARED:
            self._apply_view(self._scan(), now)

    def _read_log(self, now: int, claims: dict[int, tuple[LimitPart, float]]) -> None:
        """Read and apply new records, which include these claims of this process; return unused units."""
        records = self._read_records(now)
        if self.mode is not Mode.SHARED:
            return
        refused = self._apply_records(records, claims)
        unused = [Grant(part, units, now) for part, units in refused]
        for key, grant in list(self._grants.items()):
            if now - grant.at > GRANT_MAX_AGE_US:
                unused.append(grant)
                del self._grants[key]
        if claims and not any(r.writer == self._writer and r.sequence in claims for r in records):
            self._log_failed(LimitLogError("appended claims cannot be read back"), now)
            return
        if unused:
            self._counters.add("limits.claims_returned", len(unused))
            returns = [
                self._new_record(RecordKind.RETURN, grant.at, grant.part, grant.units, number)
                for number, grant in enumerate(unused)
            ]
            self._append(returns, now)

    def _apply_records(
        self, records: Sequence[Record], claims: dict[int, tuple[LimitPart, float]]
    ) -> list[tuple[LimitPart, float]]:
        """Apply records. Claims for which the records before them leave enough units become grants; the other
        claims are returned."""
        refused: list[tuple[LimitPart, float]] = []
        granted: list[Grant] = []
        for record in records:
            level = self._replayed.apply(record)
            if record.kind is RecordKind.EPOCH:
                # An epoch discards earlier claims together with all other state.
                refused.clear()
                granted.clear()
                self._grants.clear()
            if record.writer != self._writer:
                self._report_foreign_claim(record)
            if record.writer != self._writer or record.sequence not in claims:
                continue
            part, units = claims[record.sequence]
            enough = level >= self._replayed.buckets.required_tokens(part, units) - EPSILON
            if enough and self._replayed.epoch is not None:
                granted.append(Grant(part, units, record.at_us))
            else:
                refused.append((part, units))
        for grant in granted:
            self._grants[grant.part.key] = grant
            self._events.append(LimitsChanged(self._volume_ids.volume_name(grant.part), grant.part.plan))
        return refused

    def _report_foreign_claim(self, record: Record) -> None:
        """Report a claim of another process to the check of limits."""
        if record.kind not in (RecordKind.CLAIM, RecordKind.RETURN):
            return
        part = self._part_of(record.volume, record.plan, record.gateways)
        if part is not None:
            units = record.units if record.kind is RecordKind.CLAIM else -record.units
            self._report_claim(part, units, record.at_us)
