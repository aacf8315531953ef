"""A client's socket, private to its connection; transient errors are retried as in net.socket_errors."""

from __future__ import annotations

import array
import contextlib
import fcntl
import select
import termios

from gevent import socket

from stackrouter.net.ring import Ring
from stackrouter.net.socket_errors import retry_transient

SIOCOUTQNSD = 0x894B  # Linux: the part of the send queue that has not been sent


class ClientSocket:
    """One accepted TCP connection. OSError from any method: the connection is broken."""

    def __init__(self, sock: socket.socket) -> None:
        """OSError: the client has disconnected already."""
        self._sock = sock
        self._end_bytes = 0  # of the send queue: the end of sending counts as one byte
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait_readable(self) -> None:
        """Wait until `read` need not wait."""
        socket.wait_read(self._sock.fileno())

    def read(self, inbox: Ring) -> int:
        """Receive once into the ring and return the byte count; 0: the client ended sending."""
        return retry_transient(lambda: inbox.receive(self._sock))

    def write(self, outbox: Ring) -> int:
        """Send as much of the ring as the socket takes, at least one byte; return the count."""
        return retry_transient(lambda: outbox.send(self._sock))

    def write_part(self, data: memoryview) -> int:
        """Send as much of `data` as the socket takes, at least one byte; return the count."""
        return retry_transient(lambda: int(self._sock.send(data)))

    def write_all(self, data: bytes) -> None:
        """Send all of `data`; blocks while the client does not read."""
        view = memoryview(data)
        while view:
            view = view[self.write_part(view) :]

    def readable(self) -> bool:
        """Whether bytes, the end of the stream or an error are there to be read."""
        return self._poll(select.POLLIN)

    def hung_up(self) -> bool:
        """Whether the client has closed, detected even behind unread bytes, or this side has."""
        return self._sock.fileno() < 0 or self._poll(select.POLLRDHUP)

    def unread_bytes(self) -> int:
        """Bytes that were written and that the client's system has not taken yet; 0 if that is unknown."""
        return max(0, self._queued_bytes(termios.TIOCOUTQ) - self._end_bytes)

    def unsent_bytes(self) -> int:
        """Bytes that were written and that this system has not sent yet, because the client has no room for
        them; 0 if that is unknown."""
        return self._queued_bytes(SIOCOUTQNSD)

    def end_sending(self) -> None:
        """Shut down sending: the client sees the end after all written data; reading still works."""
        self._sock.shutdown(socket.SHUT_WR)
        self._end_bytes = 1

    def close(self) -> None:
        """Close both directions at once."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _queued_bytes(self, request: int) -> int:
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), request, count)
        except OSError:
            return 0
        return count[0]

    def _poll(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self._sock.fileno(), events)
        return bool(poll.poll(0))
