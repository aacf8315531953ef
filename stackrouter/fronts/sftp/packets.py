"""Packets of SFTP version 3 (draft-ietf-secsh-filexfer-02)."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from stackrouter.core.model import Inbox

VERSION = 3
MAX_DATA_BYTES = 64 * 1024  # of one READ or WRITE
MAX_PACKET_BYTES = MAX_DATA_BYTES + 8 * 1024  # data with its path, handle and attributes


class Type(IntEnum):
    INIT = 1
    VERSION = 2
    OPEN = 3
    CLOSE = 4
    READ = 5
    WRITE = 6
    LSTAT = 7
    FSTAT = 8
    SETSTAT = 9
    FSETSTAT = 10
    OPENDIR = 11
    READDIR = 12
    REMOVE = 13
    MKDIR = 14
    RMDIR = 15
    REALPATH = 16
    STAT = 17
    RENAME = 18
    STATUS = 101
    HANDLE = 102
    DATA = 103
    NAME = 104
    ATTRS = 105
    EXTENDED = 200
    EXTENDED_REPLY = 201


class Status(IntEnum):
    OK = 0
    EOF = 1
    NO_SUCH_FILE = 2
    PERMISSION_DENIED = 3
    FAILURE = 4
    BAD_MESSAGE = 5
    OP_UNSUPPORTED = 8


class Flag(IntEnum):
    READ = 1
    WRITE = 2
    APPEND = 4
    CREAT = 8
    TRUNC = 16
    EXCL = 32


class PacketError(Exception):
    """A packet is malformed, or its length is out of bounds."""


@dataclass(frozen=True, slots=True)
class Packet:
    """One SFTP packet without its length. `id`: the request id, 0 for INIT and VERSION."""

    type: int
    body: bytes  # what follows the type and the id; INIT and VERSION have no id
    id: int = 0

    def encode(self) -> bytes:
        has_id = self.type not in (Type.INIT, Type.VERSION)
        header = struct.pack(">BI", self.type, self.id) if has_id else struct.pack(">B", self.type)
        return u32(len(header) + len(self.body)) + header + self.body


def take(inbox: Inbox) -> Packet | None:
    """Remove the first complete packet from the inbox and return it; None while it is incomplete."""
    if len(inbox) < 4:
        return None
    (length,) = struct.unpack(">I", inbox.peek(0, 4))
    if not 1 <= length <= MAX_PACKET_BYTES:
        raise PacketError(f"packet length {length} is out of bounds")
    if len(inbox) < 4 + length:
        return None
    data = inbox.peek(4, length)
    inbox.skip(4 + length)
    if data[0] in (Type.INIT, Type.VERSION):
        return Packet(data[0], data[1:])
    if length < 5:
        raise PacketError("packet has no request id")
    return Packet(data[0], data[5:], struct.unpack(">I", data[1:5])[0])


def u32(value: int) -> bytes:
    return struct.pack(">I", value)


def u64(value: int) -> bytes:
    return struct.pack(">Q", value)


def string(value: bytes) -> bytes:
    return u32(len(value)) + value


def status(code: Status, text: str = "") -> tuple[Type, bytes]:
    """Type and body of a STATUS packet; `text` is its message, in English."""
    return Type.STATUS, u32(code) + string(text.encode()) + string(b"en")


class Fields:
    """Reads a packet's fields in order; raises PacketError if the packet is truncated."""

    def __init__(self, body: bytes) -> None:
        self._body, self._offset = body, 0

    def _take(self, length: int) -> bytes:
        part = self._body[self._offset : self._offset + length]
        if len(part) < length:
            raise PacketError("packet is truncated")
        self._offset += length
        return part

    def u32(self) -> int:
        return int.from_bytes(self._take(4), "big")

    def u64(self) -> int:
        return int.from_bytes(self._take(8), "big")

    def string(self) -> bytes:
        return self._take(self.u32())

    def rest(self) -> bytes:
        part, self._offset = self._body[self._offset :], len(self._body)
        return part

    def attrs(self) -> bytes:
        """File attributes in encoded form, after a check of their length."""
        start = self._offset
        flags = self.u32()
        self._take(8 * bool(flags & 1) + 8 * bool(flags & 2) + 4 * bool(flags & 4) + 8 * bool(flags & 8))
        if flags & 0x80000000:
            for _ in range(self.u32()):
                self.string(), self.string()
        return self._body[start : self._offset]
