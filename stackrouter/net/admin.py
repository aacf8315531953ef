"""The operators' door: one line a connection, one line back, `SUCCESS ...` or `FAILURE ...`.

From the operators' page: every answer is due within 1 s whatever the load; some callers send nothing, or half
a call, and stay for 4 s. Each connection has a greenlet of its own and a bounded wait, so that a silent
caller delays nobody; past `MOST` that are still to say something, `ops.door` says who gives way.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import gevent
from gevent import socket

from stackrouter.errors import DoorAcceptError, DoorCallError, tell
from stackrouter.net.door import listen_at
from stackrouter.ops.door import Crowd

if TYPE_CHECKING:
    Caller = gevent.Greenlet[..., None]

log = logging.getLogger(__name__)

LINE_S = 0.9  # a call that is not whole by then is answered as bad: the answer is due within 1 s
LONGEST = 256  # bytes a call may have
MOST = 16  # callers listened to at once: they share the 32 descriptors that neither clients nor nodes get
CROWDED_S = 0.04  # what a silent caller has while others wait: 200 of them are through within 0.5 s
ROOM_STEP_S = 0.002
BACKLOG = 256  # a crowd that comes at once waits here: past it, a caller would try again only after 1 s

BAD = DoorCallError("bad call").coded()
Answer = Callable[[str], str]  # a call's word to its answer line, without the end of line


class HurriedError(Exception):
    """The caller gives way to those who wait."""


class Admin:
    def __init__(self, address: tuple[str, int], answer: Answer) -> None:
        self._answer = answer
        self._crowd: Crowd[Caller] = Crowd(MOST, CROWDED_S)
        self._sock = listen_at(address, BACKLOG)
        self.address = self._sock.getsockname()
        gevent.spawn(self._accept)  # open until the process ends: status says FAILURE once it stops

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                tell(log, DoorAcceptError(error), "admin")
                gevent.sleep(0.05)
                continue
            while (wait_s := self._crowd.wait_s(time.monotonic())) > 0.0:
                gevent.sleep(min(wait_s, ROOM_STEP_S))
            if (silent := self._crowd.gives_way(time.monotonic())) is not None:
                self._crowd.leave(silent)
                silent.kill(HurriedError, block=False)
            caller = gevent.Greenlet(self._serve, sock)
            self._crowd.enter(caller, time.monotonic())
            caller.start()
            gevent.sleep(0)  # its line is mostly there already: it is read before the next caller is let in

    def _serve(self, sock: socket.socket) -> None:
        line = None
        with sock:
            # Only the wait for the line can be hurried: once out of the crowd, an answer is never cut.
            with contextlib.suppress(HurriedError):
                line = _read_line(sock)
            self._crowd.leave(cast("Caller", gevent.getcurrent()))
            text = f"FAILURE {BAD}" if line is None else self._answer(line)
            with contextlib.suppress(OSError):
                sock.sendall(text.encode() + b"\n")


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
