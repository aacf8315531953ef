"""One HTTP call to discovery over a connection of its own or a kept one."""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from functools import partial
from typing import Final

import httptools
from gevent import socket

from stackrouter.errors import NoListError, TurnedAwayError, UnreachableError
from stackrouter.net.socket_errors import connect_failed_locally, repeat_passing

REFUSALS = frozenset({429, 503})
CONNECT_TRIES: Final = 3  # of a connect that fails for want of this machine's own means
LARGEST_ANSWER_BYTES = 4 << 20  # a whole list of about 30,000 nodes (2.35 MB at 17,000)

Address = tuple[str, int]


class _Response:
    def __init__(self) -> None:
        self.body, self.whole = bytearray(), False
        self.headed = self.framed = False  # all headers are there; they say where the body ends

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > LARGEST_ANSWER_BYTES:
            raise NoListError("the answer is too long")

    def on_message_complete(self) -> None:
        self.whole = True


class ListConnection:
    """A connection to discovery; carries one call at a time."""

    def __init__(self, address: Address, until_us: int) -> None:
        """Connects. OSError, TimeoutError: there is none by `until_us` (monotonic)."""
        self.address = address
        for left in reversed(range(CONNECT_TRIES)):
            try:
                self._sock = _connected(address, until_us)
                return
            except OSError as error:
                if not left or not connect_failed_locally(error):
                    raise

    def close(self) -> None:
        self._sock.close()

    def quiet(self) -> bool:
        """Nothing has come since the last call. Its end, or bytes that belong to no call, make it useless:
        each answer would be taken for the call's after it."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def get(self, path: str, until_us: int, heard: Callable[[], None]) -> tuple[bytes, bool]:
        """The answer's body, and whether the connection can carry another call. `heard` is called once, when
        the answer begins. OSError, TimeoutError, DiscoveryError: there is no whole answer by `until_us`."""
        host = "{}:{}".format(*self.address)
        self._sock.settimeout(left_s(until_us))
        self._send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        begun = False
        while not response.whole:
            self._sock.settimeout(left_s(until_us))
            data = repeat_passing(lambda: self._sock.recv(65536))
            if not data:
                if response.headed and not response.framed:
                    break  # the end of the stream is the body's end; a reset is none
                raise UnreachableError("the connection ended", address=host)
            if not begun:
                begun = True
                heard()
            parser.feed_data(data)
        status = parser.get_status_code()
        if status in REFUSALS:
            raise TurnedAwayError(f"turned away with {status}", address=host)
        if status != 200:
            raise NoListError(f"answered {status}", address=host)
        return bytes(response.body), response.whole and parser.should_keep_alive()

    def _send(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[repeat_passing(partial(self._sock.send, rest)) :]


def _connected(address: Address, until_us: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(left_s(until_us))
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


def left_s(until_us: int) -> float:
    """What is left of a call's time; TimeoutError: nothing."""
    if (left_us := until_us - monotonic_us()) <= 0:
        raise TimeoutError
    return left_us / 1e6
