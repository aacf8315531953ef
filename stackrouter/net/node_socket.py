"""A connection to a storage node. Its socket is private: bytes of attempts leave by the gate's word."""

from __future__ import annotations

import contextlib
import select
from collections.abc import Callable

from gevent import socket
from gevent.socket import wait_write

from stackrouter.core.gate import Denial, Gate
from stackrouter.core.model import Attempt
from stackrouter.net.ring import Ring
from stackrouter.net.socket_errors import repeat_passing


class DeniedError(Exception):
    """The gate does not let the attempt's next byte out; `begun`: others of it have left."""

    def __init__(self, denial: Denial, begun: bool) -> None:
        super().__init__(denial.value)
        self.denial, self.begun = denial, begun


class NodeSocket:
    """One TCP connection. OSError: it is broken."""

    def __init__(self, gate: Gate, clock: Callable[[], int]) -> None:
        """OSError: the system gives no socket. `clock`: monotonic microseconds."""
        self._gate, self._clock = gate, clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.address: tuple[str, int] = ("", 0)

    def connect(self, address: tuple[str, int], timeout_s: float) -> None:
        """OSError, with `TimeoutError` for a connection that does not come up in time."""
        self.address = address
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(timeout_s)
        self._sock.connect(address)
        self._sock.settimeout(None)

    def write(self, attempt: Attempt, data: bytes, began: Callable[[int], None] | None = None) -> None:
        """All of it. The gate is asked before each system call. `began` is told the time at which the first
        byte had left. DeniedError: the gate said no."""
        view = memoryview(data)
        begun = attempt.may_have_run  # a later step of an exchange
        while view:
            left = attempt.request.client_left()
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
        """One write; 0 after a wait for a full send buffer."""
        self._sock.settimeout(0.0)
        try:
            return int(repeat_passing(lambda: self._sock.send(view)))
        except BlockingIOError:
            wait_write(self._sock.fileno())
            return 0
        finally:
            self._sock.settimeout(None)

    def read(self, inbox: Ring) -> int:
        """What has come; 0: the node has ended the connection."""
        return repeat_passing(lambda: inbox.receive(self._sock))

    def quiet(self) -> bool:
        """Nothing waits to be read: no bytes, no end, no error."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def end(self) -> None:
        """Shut down at once: closing alone waits for a turn of the event loop."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
