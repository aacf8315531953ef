"""Packets of SFTP version 3 (draft-ietf-secsh-filexfer-02)."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from stackrouter.core.model import Inbox

VERSION = 3
MOST_DATA = 64 * 1024  # of one READ or WRITE
MOST_PACKET = MOST_DATA + 8 * 1024  # data with its path, handle and attributes


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
    """A length or a packet that cannot be followed."""


@dataclass(frozen=True, slots=True)
class Packet:
    type: int
    body: bytes  # what follows the type and, but for INIT and VERSION, the id
    id: int = 0

    def encode(self) -> bytes:
        numbered = self.type not in (Type.INIT, Type.VERSION)
        head = struct.pack(">BI", self.type, self.id) if numbered else struct.pack(">B", self.type)
        return u32(len(head) + len(self.body)) + head + self.body


def take(inbox: Inbox) -> Packet | None:
    """The first whole packet, taken out of the inbox; None while it has not all come."""
    if len(inbox) < 4:
        return None
    (length,) = struct.unpack(">I", inbox.peek(0, 4))
    if not 1 <= length <= MOST_PACKET:
        raise PacketError(f"length {length}")
    if len(inbox) < 4 + length:
        return None
    data = inbox.peek(4, length)
    inbox.skip(4 + length)
    if data[0] in (Type.INIT, Type.VERSION):
        return Packet(data[0], data[1:])
    if length < 5:
        raise PacketError("no id")
    return Packet(data[0], data[5:], struct.unpack(">I", data[1:5])[0])


def u32(value: int) -> bytes:
    return struct.pack(">I", value)


def u64(value: int) -> bytes:
    return struct.pack(">Q", value)


def string(value: bytes) -> bytes:
    return u32(len(value)) + value


def status(code: Status, text: str = "") -> tuple[Type, bytes]:
    """The body of a STATUS, with its message in English."""
    return Type.STATUS, u32(code) + string(text.encode()) + string(b"en")


class Fields:
    """Reads a packet's fields in order; raises PacketError when they are cut short."""

    def __init__(self, body: bytes) -> None:
        self._body, self._at = body, 0

    def _take(self, length: int) -> bytes:
        part = self._body[self._at : self._at + length]
        if len(part) < length:
            raise PacketError("cut short")
        self._at += length
        return part

    def u32(self) -> int:
        return int.from_bytes(self._take(4), "big")

    def u64(self) -> int:
        return int.from_bytes(self._take(8), "big")

    def string(self) -> bytes:
        return self._take(self.u32())

    def rest(self) -> bytes:
        part, self._at = self._body[self._at :], len(self._body)
        return part

    def attrs(self) -> bytes:
        """File attributes, checked for their form and handed on as they are."""
        start = self._at
        flags = self.u32()
        self._take(8 * bool(flags & 1) + 8 * bool(flags & 2) + 4 * bool(flags & 4) + 8 * bool(flags & 8))
        if flags & 0x80000000:
            for _ in range(self.u32()):
                self.string(), self.string()
        return self._body[start : self._at]
