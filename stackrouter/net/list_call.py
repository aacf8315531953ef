"""HTTP calls to discovery, over a new connection or a kept one."""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from functools import partial
from typing import Final

import httptools
from gevent import socket

from stackrouter.errors import NoListError, TurnedAwayError, UnreachableError
from stackrouter.net.socket_errors import connect_failed_locally, retry_transient

REFUSAL_STATUSES = frozenset({429, 503})
CONNECT_ATTEMPTS: Final = 3  # when a connect fails for lack of resources of this machine
MAX_ANSWER_BYTES = 4 << 20  # a whole list of about 30,000 nodes (2.35 MB at 17,000)

Address = tuple[str, int]


class _Response:
    def __init__(self) -> None:
        self.body, self.complete = bytearray(), False
        self.headers_complete = self.framed = False  # all headers parsed; they delimit the body

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_ANSWER_BYTES:
            raise NoListError("answer exceeds the size limit")

    def on_message_complete(self) -> None:
        self.complete = True


class ListConnection:
    """A connection to discovery, for one call at a time."""

    def __init__(self, address: Address, until_us: int) -> None:
        """Connect. OSError, TimeoutError: no connection by `until_us` (monotonic)."""
        self.address = address
        for attempts_left in reversed(range(CONNECT_ATTEMPTS)):
            try:
                self._sock = _connect(address, until_us)
                return
            except OSError as error:
                if not attempts_left or not connect_failed_locally(error):
                    raise

    def close(self) -> None:
        self._sock.close()

    def nothing_to_read(self) -> bool:
        """Whether nothing has come since the last call.

        A connection that the server has closed is unusable, and so is one with bytes that belong to no call:
        from then on each call would be given the answer to the one before.
        """
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def get(self, path: str, until_us: int, on_first_byte: Callable[[], None]) -> tuple[bytes, bool]:
        """Return the answer's body and whether the connection can carry another call.

        `on_first_byte` is called once, when the answer begins. OSError, TimeoutError, DiscoveryError: no
        complete answer by `until_us`.
        """
        host = "{}:{}".format(*self.address)
        self._sock.settimeout(remaining_s(until_us))
        self._send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        begun = False
        while not response.complete:
            self._sock.settimeout(remaining_s(until_us))
            data = retry_transient(lambda: self._sock.recv(65536))
            if not data:
                if response.headers_complete and not response.framed:
                    break  # the end of the stream ends the body; a reset does not
                raise UnreachableError("connection closed before the answer was complete", address=host)
            if not begun:
                begun = True
                on_first_byte()
            parser.feed_data(data)
        status = parser.get_status_code()
        if status in REFUSAL_STATUSES:
            raise TurnedAwayError(f"call refused with HTTP status {status}", address=host)
        if status != 200:
            raise NoListError(f"unexpected HTTP status {status}", address=host)
        return bytes(response.body), response.complete and parser.should_keep_alive()

    def _send(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[retry_transient(partial(self._sock.send, rest)) :]


def _connect(address: Address, until_us: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(remaining_s(until_us))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


def remaining_s(until_us: int) -> float:
    """Seconds left until `until_us`; TimeoutError: none."""
    if (remaining_us := until_us - monotonic_us()) <= 0:
        raise TimeoutError
    return remaining_us / 1e6
