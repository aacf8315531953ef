"""Claims on the ids of requests that the processes of a gateway share, in append-only files.

A process appends its claim and then reads all records: an earlier claim of another process wins. Files are
used in turn, one for each period of `PERIOD_US`; the file of the next period is emptied in good time, so that
all files together stay small.
"""

from __future__ import annotations

import enum
import hashlib
import logging
import random
import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from stackrouter.core.counters import Counters
from stackrouter.core.recent_ids import RecentIds
from stackrouter.errors import IdLogError, LimitLogError, log_error
from stackrouter.sharing.log_file import LogFile

log = logging.getLogger(__name__)

PERIOD_US: Final = 20_000_000  # longer than a claim lasts, so that the files of two periods hold all claims
FILES: Final = 3  # of this period, of the one before, and of the next one
_BODY: Final = struct.Struct("<HBxI8sQ")
_CHECKSUM: Final = struct.Struct("<I")
RECORD_BYTES: Final = _BODY.size + _CHECKSUM.size
MAGIC: Final = 0x5349  # must change whenever the layout of the records does


class ClaimKind(enum.IntEnum):
    """Meaning of a record."""

    CLAIM = 1
    RELEASE = 2


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One record. `writer`: a random number that identifies the process; `digest`: of the request's id;
    `until_us`: when the claim ends, on the machine's monotonic clock."""

    kind: ClaimKind
    writer: int
    digest: bytes
    until_us: int = 0

    def encode(self) -> bytes:
        """The bytes of the record."""
        body = _BODY.pack(MAGIC, self.kind, self.writer, self.digest, self.until_us)
        return body + _CHECKSUM.pack(zlib.crc32(body))


def decode(data: bytes) -> Iterator[ClaimRecord]:
    """Yield the records of whole appends. LimitLogError: they are damaged."""
    if len(data) % RECORD_BYTES:
        raise LimitLogError("the log of ids ends within a record")
    for at in range(0, len(data), RECORD_BYTES):
        body, checksum = data[at : at + _BODY.size], data[at + _BODY.size : at + RECORD_BYTES]
        magic, kind, writer, digest, until_us = _BODY.unpack(body)
        if (
            magic != MAGIC
            or _CHECKSUM.unpack(checksum)[0] != zlib.crc32(body)
            or kind not in tuple(ClaimKind)
        ):
            raise LimitLogError("a record of the log of ids is damaged")
        yield ClaimRecord(ClaimKind(kind), writer, digest, until_us)


def digest_of(request_id: str) -> bytes:
    """A short digest of a request's id."""
    return hashlib.blake2b(request_id.encode(), digest_size=8).digest()


class SharedIds:
    """Implements `core.recent_ids.IdClaims` for a process on an inherited listening socket.

    Where the files cannot be used, the claims of this process alone count, and an error is logged.
    """

    def __init__(
        self, new_file: Callable[[int], LogFile], counters: Counters, seed: int | None = None
    ) -> None:
        """`new_file`: the log file with this number, 0 to FILES - 1."""
        self._own, self._others = RecentIds(), RecentIds()
        self._files = [new_file(number) for number in range(FILES)]
        self._counters = counters
        self._writer = random.Random(seed).getrandbits(32)
        self._period = -1
        self._usable = self._try(lambda: [file.open() for file in self._files])

    def claim(self, request_id: str, until_us: int, now_us: int) -> bool:
        """See `IdClaims`."""
        if not self._own.claim(request_id, until_us, now_us):
            return False
        digest = digest_of(request_id)
        record = ClaimRecord(ClaimKind.CLAIM, self._writer, digest, until_us)
        if not self._usable or not self._try(lambda: self._append(record, now_us)):
            return True
        return not self._others.claimed(digest.hex(), now_us)

    def release(self, request_id: str, now_us: int) -> None:
        """See `IdClaims`."""
        self._own.release(request_id, now_us)
        if self._usable:
            record = ClaimRecord(ClaimKind.RELEASE, self._writer, digest_of(request_id))
            self._try(lambda: self._current(now_us).append(record.encode()))

    def _append(self, record: ClaimRecord, now_us: int) -> None:
        """Append a claim and take over the others' claims that precede it."""
        current = self._current(now_us)
        current.append(record.encode())
        self._take_over(self._files[(self._period - 1) % FILES].read_new(), None, now_us)
        self._take_over(current.read_new(), record, now_us)

    def _take_over(self, data: bytes, own: ClaimRecord | None, now_us: int) -> None:
        own_seen = False
        for record in decode(data):
            own_seen = own_seen or record == own
            if record.writer == self._writer:
                continue
            if own_seen and own is not None and record.digest == own.digest:
                continue  # its process sees this one's claim before its own
            if record.kind is ClaimKind.CLAIM:
                self._others.claim(record.digest.hex(), record.until_us, now_us)
            else:
                self._others.release(record.digest.hex(), now_us)

    def _current(self, now_us: int) -> LogFile:
        """The file of the present period; the first call in a period empties the file of the next one."""
        period = now_us // PERIOD_US
        if period != self._period:
            if period == self._period + 1:
                self._files[period % FILES].rewind()
            else:
                for file in self._files:
                    file.rewind()
            self._period = period
            self._files[(period + 1) % FILES].truncate()
        return self._files[period % FILES]

    def _try(self, call: Callable[[], object]) -> bool:
        try:
            call()
        except LimitLogError as error:
            self._usable = False
            self._counters.add("ids.log_failed")
            log_error(log, IdLogError(error.what, file=error.file))
            return False
        return True
