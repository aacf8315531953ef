"""Records of the log that the processes of a gateway share: fixed size, checksummed, numbered by writer."""

from __future__ import annotations

import enum
import struct
import zlib
from dataclasses import dataclass

from stackrouter.errors import LimitLogError

_BODY = struct.Struct("<HBxIIHHQQd")
_CHECKSUM = struct.Struct("<I")
RECORD_BYTES = _BODY.size + _CHECKSUM.size
MAGIC = 0x5351  # must change whenever the layout of the records does


class RecordKind(enum.IntEnum):
    """Meaning of a record."""

    EPOCH = 1  # all buckets are empty and are refilled from `at_us` on
    LEVEL = 2  # the writer was the only process and had `units` of a volume left at `at_us`
    SINCE = 3  # volumes without a LEVEL record of the writer have been refilled since `at_us`
    CLAIM = 4  # the writer claims `units`
    RETURN = 5  # the writer returns `units` that it claimed at `at_us` and has not sent
    VOID = 6  # the writer spends without the log: its contents are invalid until the next EPOCH


@dataclass(frozen=True, slots=True)
class Record:
    """One record of the log.

    `writer`: a random number that identifies the process; `sequence`: number of the record among
    the writer's, from 0; `volume`: hash of the volume's name; `at_us`: microseconds of the monotonic clock
    of the machine.
    """

    kind: RecordKind
    writer: int
    sequence: int
    at_us: int
    plan: int = 0
    gateways: int = 1
    volume: int = 0
    units: float = 0.0

    def encode(self) -> bytes:
        body = _BODY.pack(
            MAGIC, self.kind, self.writer, self.sequence, self.plan, self.gateways, self.at_us, self.volume,
            self.units,
        )  # fmt: skip
        return body + _CHECKSUM.pack(zlib.crc32(body))


class RecordReader:
    """Decodes the bytes of a log, from its start and in pieces of any size, into records.

    Raises LimitLogError for a damaged record and for a gap in a writer's sequence numbers.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self._next_sequence: dict[int, int] = {}  # by writer: expected sequence number of its next record

    def feed(self, data: bytes) -> list[Record]:
        data = self._incomplete + data
        whole = len(data) - len(data) % RECORD_BYTES
        records = [self._decode(data[at : at + RECORD_BYTES]) for at in range(0, whole, RECORD_BYTES)]
        self._incomplete = data[whole:]
        return records

    def _decode(self, data: bytes) -> Record:
        body, checksum = data[: _BODY.size], data[_BODY.size :]
        magic, kind, writer, sequence, plan, gateways, at_us, volume, units = _BODY.unpack(body)
        if magic != MAGIC or _CHECKSUM.unpack(checksum)[0] != zlib.crc32(body):
            raise LimitLogError("a record has a wrong magic number or checksum")
        expected = self._next_sequence.get(writer, 0)
        if sequence != expected:
            raise LimitLogError(f"record {sequence} of a writer follows its record {expected - 1}")
        self._next_sequence[writer] = sequence + 1
        try:
            return Record(RecordKind(kind), writer, sequence, at_us, plan, gateways, volume, units)
        except ValueError:
            raise LimitLogError(f"record kind {kind} is unknown") from None
