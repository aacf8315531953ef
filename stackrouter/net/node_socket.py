"""A connection to a storage node; its socket is private, and the gate is asked before each write."""

from __future__ import annotations

import contextlib
import select
from collections.abc import Callable

from gevent import socket
from gevent.socket import wait_write

from stackrouter.core.gate import Denial, Gate
from stackrouter.core.model import Attempt
from stackrouter.net.ring import Ring
from stackrouter.net.socket_errors import retry_transient


class DeniedError(Exception):
    """The gate denied writing the attempt's next byte; `begun`: earlier bytes have been sent."""

    def __init__(self, denial: Denial, begun: bool) -> None:
        super().__init__(denial.value)
        self.denial, self.begun = denial, begun


class NodeSocket:
    """One TCP connection. OSError from any method: the connection is broken."""

    def __init__(self, gate: Gate, clock: Callable[[], int]) -> None:
        """`clock`: monotonic microseconds. OSError: no socket can be created."""
        self._gate, self._clock = gate, clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.address: tuple[str, int] = ("", 0)

    def connect(self, address: tuple[str, int], timeout_s: float) -> None:
        """OSError: the connect failed; `TimeoutError`: it was not established in time."""
        self.address = address
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(timeout_s)
        self._sock.connect(address)
        self._sock.settimeout(None)

    def write(self, attempt: Attempt, data: bytes, began: Callable[[int], None] | None = None) -> None:
        """Write all of `data`, asking the gate before each system call.

        `began` is called with the time at which the first byte had been sent. DeniedError: the gate
        denied the write.
        """
        view = memoryview(data)
        begun = attempt.may_have_run  # a later step of an exchange
        while view:
            left = attempt.request.client_hung_up()
            denial = self._gate.may_write(attempt, self.address, begun, left, self._clock())
            if denial is not None:
                raise DeniedError(denial, begun)
            count = self._send_some(view)
            if count and not begun:
                begun = True
                if began is not None:
                    began(self._clock())
            view = view[count:]

    def _send_some(self, view: memoryview) -> int:
        """Write once and return the byte count; 0 after waiting for a full send buffer."""
        self._sock.settimeout(0.0)
        try:
            return int(retry_transient(lambda: self._sock.send(view)))
        except BlockingIOError:
            wait_write(self._sock.fileno())
            return 0
        finally:
            self._sock.settimeout(None)

    def read(self, inbox: Ring) -> int:
        """Receive once into the ring and return the byte count; 0: the node has closed the connection."""
        return retry_transient(lambda: inbox.receive(self._sock))

    def read_within(self, inbox: Ring, timeout_s: float) -> int | None:
        """Like `read`; None if nothing has come within this time."""
        self._sock.settimeout(max(0.0, timeout_s))
        try:
            return self.read(inbox)
        except (TimeoutError, BlockingIOError):
            return None
        finally:
            self._sock.settimeout(None)

    def nothing_to_read(self) -> bool:
        """Whether nothing is there to be read: no bytes, no end of the stream, no error."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def end(self) -> None:
        """Shut down at once: closing alone takes effect only in a later iteration of the event loop."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
