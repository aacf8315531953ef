"""The operators' door: one line a connection, one line back, `SUCCESS ...` or `FAILURE ...`.

From the operators' page: every answer is due within 1 s whatever the load; some callers send nothing, or half
a call, and stay for 4 s. Each connection has a greenlet of its own and a bounded wait, so that a silent
caller delays nobody; past `MOST` at once, a new caller is closed at once.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable

import gevent
from gevent import socket

log = logging.getLogger(__name__)

LINE_S = 0.9  # a call that is not whole by then is answered as bad: the answer is due within 1 s
LONGEST = 256  # bytes a call may have
MOST = 16  # callers at once
BACKLOG = 16

Answer = Callable[[str], str]  # a call's word to its answer line, without the end of line


class Admin:
    def __init__(self, address: tuple[str, int], answer: Answer) -> None:
        self._answer, self._open = answer, 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self.address = self._sock.getsockname()
        self._greenlet = gevent.spawn(self._accept)

    def stop(self) -> None:
        self._greenlet.kill()
        self._sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                log.warning("admin: %s", error)
                gevent.sleep(0.05)
                continue
            if self._open >= MOST:
                sock.close()
                continue
            self._open += 1
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            line = _read_line(sock)
            text = "FAILURE bad call" if line is None else self._answer(line)
            with contextlib.suppress(OSError):
                sock.sendall(text.encode() + b"\n")
        finally:
            self._open -= 1
            sock.close()


def _read_line(sock: socket.socket) -> str | None:
    """The call's word, or None if it was not whole within LINE_S or is too long or not ASCII."""
    data = b""
    with contextlib.suppress(gevent.Timeout), gevent.Timeout(LINE_S):
        while b"\n" not in data and len(data) <= LONGEST:
            try:
                chunk = sock.recv(LONGEST)
            except OSError:
                return None
            if not chunk:
                break
            data += chunk
    line, end, _ = data.partition(b"\n")
    if not end and not data:
        return None
    try:
        return line.decode("ascii").strip()
    except UnicodeDecodeError:
        return None
