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
        gevent.spawn(self._accept)  # open until the process ends: status says FAILURE once it stops

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
    """The call's word: a line, or what came before the caller closed; None if not whole within LINE_S,
    longer than LONGEST, or not ASCII."""
    data = b""
    with contextlib.suppress(gevent.Timeout), gevent.Timeout(LINE_S):
        while b"\n" not in data and len(data) <= LONGEST:
            try:
                chunk = sock.recv(LONGEST)
            except OSError:
                return None
            if not chunk:
                return _word(data)
            data += chunk
    line, end, _ = data.partition(b"\n")
    return _word(line) if end else None


def _word(line: bytes) -> str | None:
    if not line or len(line) > LONGEST:
        return None
    try:
        return line.decode("ascii").strip()
    except UnicodeDecodeError:
        return None
