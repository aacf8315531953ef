"""A client's socket, private to its connection: reads, writes and ends that meet errors by one table."""

from __future__ import annotations

import contextlib
import select

from gevent import socket

from stackrouter.net.ring import Ring
from stackrouter.net.socket_errors import repeat_passing


class ClientSocket:
    """One accepted TCP connection. OSError: it is broken."""

    def __init__(self, sock: socket.socket) -> None:
        """OSError: the client has gone already."""
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self, inbox: Ring) -> int:
        """What has come; 0: the client has ended its sending."""
        return repeat_passing(lambda: inbox.receive(self._sock))

    def write(self, outbox: Ring) -> int:
        """As much of it as the socket takes, at least a byte."""
        return repeat_passing(lambda: outbox.send(self._sock))

    def write_all(self, data: bytes) -> None:
        """A last word before the end; waits for a client that does not read."""
        view = memoryview(data)
        while view:
            view = view[repeat_passing(lambda rest=view: int(self._sock.send(rest))) :]  # type: ignore[misc]

    def readable(self) -> bool:
        """Bytes, an end or an error wait to be read."""
        return self._poll(select.POLLIN)

    def hung_up(self) -> bool:
        """The client has closed, seen past bytes that are not read now; or we have."""
        return self._sock.fileno() < 0 or self._poll(select.POLLRDHUP)

    def end_sending(self) -> None:
        """The client sees the end behind all that was written; it may still be read from."""
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """At once, both ways."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _poll(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self._sock.fileno(), events)
        return bool(poll.poll(0))
