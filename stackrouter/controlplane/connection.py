"""A TCP connection of the control plane on event loop watchers, without a greenlet.

A replica serves more than a thousand gateways, and a scale run has thousands of hollow gateways in one
process: a callback per readable socket costs less time and memory than a greenlet waiting for it. Data sent
in one iteration of the loop is written with one system call.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections import deque
from collections.abc import Callable

import gevent

from stackrouter.errors import log_unexpected

log = logging.getLogger(__name__)

READ, WRITE = 1, 2  # event masks of libev
READ_BYTES = 64 * 1024
SEND_BYTES = 256 * 1024  # maximum joined for one system call
LINGER_S = 0.5  # time for the peer of a finished connection to read the remaining data
CONNECT_TIMEOUT_S = 2.0
WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK)


class Connection:
    """Calls `received` with received data; `closed` once when the peer or an error ends the connection, but
    not after `close` or `finish`; `progressed` when a slow peer has accepted some of the queued data. The
    callbacks run in the event loop and must not block."""

    def __init__(self, sock: socket.socket, received: Callable[[bytes], None], closed: Callable[[str], None],
                 progressed: Callable[[], None] = lambda: None) -> None:  # fmt: skip
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = gevent.get_hub().loop
        self.bytes_in = self.bytes_out = 0
        self.queued_bytes = 0  # bytes not sent yet
        self._sock, self._received, self._closed, self._progressed = sock, received, closed, progressed
        self._out: deque[bytes] = deque()
        self._readable = loop.io(sock.fileno(), READ)
        self._writable = loop.io(sock.fileno(), WRITE)
        self._timer = loop.timer(CONNECT_TIMEOUT_S)
        self._open = True
        self._finishing = False
        self._watching_writable = False
        self._readable.start(self._read)

    @property
    def open(self) -> bool:
        return self._open

    @classmethod
    def connect(cls, address: tuple[str, int], connected: Callable[[Connection], None],
                received: Callable[[bytes], None], closed: Callable[[str], None]) -> Connection:  # fmt: skip
        """Start connecting; calls `connected` or `closed` within CONNECT_TIMEOUT_S. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            error_number = sock.connect_ex(address)
            if error_number not in (0, errno.EINPROGRESS):
                raise OSError(error_number, errno.errorcode.get(error_number, "?"))
        except OSError:
            sock.close()
            raise
        connection = cls(sock, received, closed)
        connection._readable.stop()
        connection._writable.start(connection._connected, connected)
        connection._timer.start(connection._connect_timed_out)
        return connection

    def send(self, data: bytes) -> None:
        """Queue data for the next `flush`."""
        self._out.append(data)
        self.queued_bytes += len(data)

    def flush(self) -> None:
        """Send as much as the socket accepts now; the rest is sent when it becomes writable."""
        if not self._open:
            return
        while self._out:
            data = self._next_chunk()
            try:
                sent = self._sock.send(data)
            except OSError as error:
                if error.errno not in WOULD_BLOCK:
                    self._close_and_notify(error.strerror or type(error).__name__)
                    return
                sent = 0
            self.bytes_out += sent
            self.queued_bytes -= sent
            if sent < len(data):
                self._out.appendleft(data[sent:])
                self._watch_writable(True)
                return
        self._watch_writable(False)
        if self._finishing:
            self._half_close()

    def hold_reading(self, hold: bool) -> None:
        """Stop or resume reading. Unread data stays in the kernel's buffers, as with a blocked peer."""
        if not self._open:
            return
        if hold:
            self._readable.stop()
        else:
            self._readable.start(self._read)

    def finish(self) -> None:
        """Send the queued data, then close the connection without a reset, within LINGER_S."""
        if not self._open or self._finishing:
            return
        self._finishing = True
        self._timer.stop()
        self._timer = gevent.get_hub().loop.timer(LINGER_S)
        self._timer.start(self.close)
        self.flush()

    def close(self) -> None:
        """Close the connection immediately, discarding queued data."""
        if not self._open:
            return
        self._open = False
        for watcher in (self._readable, self._writable, self._timer):
            watcher.stop()
            watcher.close()
        self._sock.close()
        self._out.clear()
        self.queued_bytes = 0

    def _watch_writable(self, wanted: bool) -> None:
        """Start or stop watching for the socket to become writable."""
        if wanted and not self._watching_writable:
            self._writable.start(self._on_writable)
        elif not wanted and self._watching_writable:
            self._writable.stop()
        self._watching_writable = wanted

    def _on_writable(self) -> None:
        self.flush()
        if self._open and not self._finishing:
            self._progressed()

    def _next_chunk(self) -> bytes:
        """Remove and join the first queued pieces, up to SEND_BYTES, to save system calls."""
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
            if error.errno not in WOULD_BLOCK:
                self._close_and_notify(error.strerror or type(error).__name__)
            return
        if not data:
            self._close_and_notify("closed by the peer")
            return
        if self._finishing:
            return  # data is read and discarded, so that closing does not reset the connection
        self.bytes_in += len(data)
        try:
            self._received(data)
        except Exception:  # a bug in one connection must not end the others
            log_unexpected(log, "control plane")
            self._close_and_notify("internal error")

    def _connected(self, connected: Callable[[Connection], None]) -> None:
        error_number = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._close_and_notify(errno.errorcode.get(error_number, str(error_number)))
            return
        self._timer.stop()
        self._writable.stop()
        self._readable.start(self._read)
        connected(self)
        self.flush()

    def _connect_timed_out(self) -> None:
        self._close_and_notify(f"no connection within {CONNECT_TIMEOUT_S:g} s")

    def _half_close(self) -> None:
        """Shut down sending; the end of stream from the peer or the timer closes the connection."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _close_and_notify(self, why: str) -> None:
        notify = not self._finishing
        self.close()
        if notify:
            self._closed(why)
