"""One TCP connection of the control plane on the event loop's own watchers, without a greenlet.

A replica serves more than a thousand gateways, and a scale run has thousands of hollow gateways in one
process: a callback for each readable socket costs less time and memory than a greenlet that waits for it.
What is sent in one turn of the loop goes out in one system call.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections import deque
from collections.abc import Callable

import gevent

from stackrouter.errors import defect

log = logging.getLogger(__name__)

READ, WRITE = 1, 2  # event masks of libev
READ_BYTES = 64 * 1024
SEND_BYTES = 256 * 1024  # joined for one system call at most
LINGER_S = 0.5  # how long a connection that was ended may take to read what it was still sent
CONNECT_S = 2.0
BUSY = (errno.EAGAIN, errno.EWOULDBLOCK)


class Connection:
    """`received` is called with what came; `closed` once, when the peer or an error has ended it, and not
    after `close` or `finish`; `progressed` when a slow peer has taken some of what was left waiting. They
    run in the event loop and must not wait."""

    def __init__(self, sock: socket.socket, received: Callable[[bytes], None], closed: Callable[[str], None],
                 progressed: Callable[[], None] = lambda: None) -> None:  # fmt: skip
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = gevent.get_hub().loop
        self.bytes_in = self.bytes_out = 0
        self.queued = 0  # bytes that wait to be sent
        self._sock, self._received, self._closed, self._progressed = sock, received, closed, progressed
        self._out: deque[bytes] = deque()
        self._readable = loop.io(sock.fileno(), READ)
        self._writable = loop.io(sock.fileno(), WRITE)
        self._deadline = loop.timer(CONNECT_S)
        self._open = True
        self._finishing = False
        self._writing_later = False
        self._readable.start(self._read)

    @property
    def open(self) -> bool:
        return self._open

    @classmethod
    def connect(cls, address: tuple[str, int], connected: Callable[[Connection], None],
                received: Callable[[bytes], None], closed: Callable[[str], None]) -> Connection:  # fmt: skip
        """Begin to connect: `connected` or `closed` follows, within CONNECT_S. An OSError: not even begun."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            number = sock.connect_ex(address)
            if number not in (0, errno.EINPROGRESS):
                raise OSError(number, errno.errorcode.get(number, "?"))
        except OSError:
            sock.close()
            raise
        connection = cls(sock, received, closed)
        connection._readable.stop()
        connection._writable.start(connection._connected, connected)
        connection._deadline.start(connection._late)
        return connection

    def send(self, data: bytes) -> None:
        """Queue it; it goes out with the next `flush`."""
        self._out.append(data)
        self.queued += len(data)

    def flush(self) -> None:
        """Send as much as the system takes now; the rest follows as it takes more."""
        if not self._open:
            return
        while self._out:
            data = self._joined()
            try:
                sent = self._sock.send(data)
            except OSError as error:
                if error.errno not in BUSY:
                    self._end(error.strerror or type(error).__name__)
                    return
                sent = 0
            self.bytes_out += sent
            self.queued -= sent
            if sent < len(data):
                self._out.appendleft(data[sent:])
                self._write_later(True)
                return
        self._write_later(False)
        if self._finishing:
            self._half_close()

    def hold_reading(self, held: bool) -> None:
        """Whether to leave what comes in the system's buffers, as a peer that is stuck does."""
        if not self._open:
            return
        if held:
            self._readable.stop()
        else:
            self._readable.start(self._read)

    def finish(self) -> None:
        """Send what is queued, then end the connection without a reset, within LINGER_S."""
        if not self._open or self._finishing:
            return
        self._finishing = True
        self._deadline.stop()
        self._deadline = gevent.get_hub().loop.timer(LINGER_S)
        self._deadline.start(self.close)
        self.flush()

    def close(self) -> None:
        """End it at once."""
        if not self._open:
            return
        self._open = False
        for watcher in (self._readable, self._writable, self._deadline):
            watcher.stop()
            watcher.close()
        self._sock.close()
        self._out.clear()
        self.queued = 0

    def _write_later(self, wanted: bool) -> None:
        """Whether to be woken as soon as the system takes more."""
        if wanted and not self._writing_later:
            self._writable.start(self._write_on)
        elif not wanted and self._writing_later:
            self._writable.stop()
        self._writing_later = wanted

    def _write_on(self) -> None:
        self.flush()
        if self._open and not self._finishing:
            self._progressed()

    def _joined(self) -> bytes:
        """What is first in the queue, in pieces large enough that system calls are few."""
        if len(self._out) == 1:
            return self._out.popleft()
        parts = [self._out.popleft()]
        size = len(parts[0])
        while self._out and size + len(self._out[0]) <= SEND_BYTES:
            parts.append(self._out.popleft())
            size += len(parts[-1])
        return b"".join(parts)

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in BUSY:
                self._end(error.strerror or type(error).__name__)
            return
        if not data:
            self._end("closed by the peer")
            return
        if self._finishing:
            return  # what still comes is discarded, so that closing does not reset the connection
        self.bytes_in += len(data)
        try:
            self._received(data)
        except Exception:  # one connection's defect must not end the others
            defect(log, "control plane")
            self._end("internal error")

    def _connected(self, connected: Callable[[Connection], None]) -> None:
        number = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self._end(errno.errorcode.get(number, str(number)))
            return
        self._deadline.stop()
        self._writable.stop()
        self._readable.start(self._read)
        connected(self)
        self.flush()

    def _late(self) -> None:
        self._end(f"no connection within {CONNECT_S:g} s")

    def _half_close(self) -> None:
        """Nothing more is sent; the peer's end or the timer closes it."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _end(self, why: str) -> None:
        told = not self._finishing
        self.close()
        if told:
            self._closed(why)
