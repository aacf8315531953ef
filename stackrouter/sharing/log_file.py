"""The file in $TMPDIR that the processes of a gateway append to and read. No call waits for another process.

O_APPEND gives all readers the appended data in the same order. The file is never synced: it has to outlive
the processes, not a crash of the machine.
"""

from __future__ import annotations

import os
import stat
import zlib
from typing import Final, Protocol

from stackrouter.errors import LimitLogError

MAX_LOG_BYTES: Final = 768 * 1024  # some minutes of two busy processes; above it, limits are split evenly
_PERMISSIONS: Final = 0o600
_OPEN_FLAGS: Final = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
_ID_BITS: Final = 32


class LogFile(Protocol):
    """A shared append-only log. Every call raises LimitLogError if the log cannot be used."""

    def open(self) -> int:
        """Open the file. Returns its id, which is the same in all processes that open the same file."""

    def append(self, data: bytes) -> None:
        """Append all of the data, behind what other processes have appended."""

    def read_new(self) -> bytes:
        """The data that follows what was read before."""

    def rewind(self) -> None:
        """Make the next read begin at the start of the file."""

    def truncate(self) -> None:
        """Truncate the file to zero bytes: its records are no longer valid."""


class SharedFile:
    """The log of one gateway in a directory that its processes share; its name comes from the gateway's."""

    def __init__(self, folder: str, gateway: str, listen_fd: int, purpose: str = "limits") -> None:
        """`gateway`: the gateway's name; `listen_fd`: descriptor of the listening socket that they share;
        `purpose`: part of the file's name."""
        identity = f"{gateway} {os.fstat(listen_fd).st_ino}"
        self._folder, self._name = folder, f"stackrouter-{purpose}-{zlib.crc32(identity.encode()):08x}.log"
        self._descriptor = -1
        self._offset = 0

    def open(self) -> int:
        self.close()
        path = os.path.join(self._folder, self._name)
        try:
            self._descriptor = os.open(path, _OPEN_FLAGS, _PERMISSIONS)
            status = os.fstat(self._descriptor)
        except OSError as error:
            raise LimitLogError(error.strerror, file=path) from None
        if not stat.S_ISREG(status.st_mode):
            raise LimitLogError("not a regular file", file=path)
        self._offset = 0
        return zlib.crc32(f"{status.st_dev} {status.st_ino}".encode()) % (1 << _ID_BITS)

    def append(self, data: bytes) -> None:
        try:
            written = os.write(self._descriptor, data)
        except OSError as error:
            raise LimitLogError(f"write: {error.strerror}", file=self._name) from None
        if written != len(data):
            raise LimitLogError(f"only {written} of {len(data)} bytes were written", file=self._name)

    def read_new(self) -> bytes:
        try:
            status = os.fstat(self._descriptor)
            if not status.st_nlink:
                raise LimitLogError("was removed", file=self._name)
            if status.st_size < self._offset:
                raise LimitLogError("was truncated", file=self._name)
            if status.st_size > MAX_LOG_BYTES:
                raise LimitLogError(f"is larger than {MAX_LOG_BYTES} bytes", file=self._name)
            data = os.pread(self._descriptor, status.st_size - self._offset, self._offset)
        except OSError as error:
            raise LimitLogError(f"read: {error.strerror}", file=self._name) from None
        self._offset += len(data)
        return data

    def rewind(self) -> None:
        self._offset = 0

    def truncate(self) -> None:
        try:
            if os.fstat(self._descriptor).st_size:
                os.ftruncate(self._descriptor, 0)
            if not os.fstat(self._descriptor).st_nlink:
                raise LimitLogError("was removed", file=self._name)
        except OSError as error:
            raise LimitLogError(f"truncate: {error.strerror}", file=self._name) from None
        self._offset = 0

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
