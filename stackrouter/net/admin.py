"""The admin port: one line per connection, answered with one line, `SUCCESS ...` or `FAILURE ...`.

The operators' page requires every answer within 1 s whatever the load; some callers send nothing, or half a
call, and stay for 4 s. Each connection has a greenlet of its own and a bounded wait, so that a silent caller
delays no other; when `MAX_CALLERS` have not sent their line yet, `ops.admin_queue` chooses which one is cut
off.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import gevent
from gevent import socket

from stackrouter.errors import DoorAcceptError, DoorCallError, log_error
from stackrouter.net.listen_socket import listen_at
from stackrouter.ops.admin_queue import CallerQueue

if TYPE_CHECKING:
    Caller = gevent.Greenlet[..., None]

log = logging.getLogger(__name__)

LINE_TIMEOUT_S = 0.9  # a call that is incomplete by then is answered as bad: the answer is due within 1 s
MAX_CALL_BYTES = 256  # maximum bytes of a call
MAX_CALLERS = 16  # read from at once; they share the 32 descriptors that neither clients nor nodes get
CROWDED_LINE_TIMEOUT_S = 0.04  # for a silent caller while others wait: 200 of them are done within 0.5 s
ROOM_POLL_S = 0.002
BACKLOG = 256  # holds a burst of callers; one beyond it would retry only after 1 s

BAD_CALL = DoorCallError("bad call").with_code()
Answer = Callable[[str], str]  # maps a call to its answer line, without the end of line


class CallCutShortError(Exception):
    """The wait for a caller's line is cut short in favour of waiting callers."""


class Admin:
    """Listens at `address` and answers each call with the line that `answer` returns."""

    def __init__(self, address: tuple[str, int], answer: Answer) -> None:
        self._answer = answer
        self._callers: CallerQueue[Caller] = CallerQueue(MAX_CALLERS, CROWDED_LINE_TIMEOUT_S)
        self._sock = listen_at(address, BACKLOG)
        self.address = self._sock.getsockname()
        gevent.spawn(self._accept)  # until the process ends: `status` says FAILURE once it is stopping

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                log_error(log, DoorAcceptError(error), "admin")
                gevent.sleep(0.05)
                continue
            while (wait_s := self._callers.wait_s(time.monotonic())) > 0.0:
                gevent.sleep(min(wait_s, ROOM_POLL_S))
            if (silent := self._callers.evictable(time.monotonic())) is not None:
                self._callers.leave(silent)
                silent.kill(CallCutShortError, block=False)
            caller = gevent.Greenlet(self._serve, sock)
            self._callers.enter(caller, time.monotonic())
            caller.start()
            gevent.sleep(0)  # its line has mostly arrived already: read it before the next accept

    def _serve(self, sock: socket.socket) -> None:
        line = None
        with sock:
            # Only the wait for the line can be cut short: after `leave`, an answer is never interrupted.
            with contextlib.suppress(CallCutShortError):
                line = _read_line(sock)
            self._callers.leave(cast("Caller", gevent.getcurrent()))
            text = f"FAILURE {BAD_CALL}" if line is None else self._answer(line)
            with contextlib.suppress(OSError):
                sock.sendall(text.encode() + b"\n")


def _read_line(sock: socket.socket) -> str | None:
    """The call: a line, or what came before the caller closed its sending side.

    None: incomplete within `LINE_TIMEOUT_S`, longer than `MAX_CALL_BYTES`, or not ASCII.
    """
    data = b""
    with contextlib.suppress(gevent.Timeout), gevent.Timeout(LINE_TIMEOUT_S):
        while b"\n" not in data and len(data) <= MAX_CALL_BYTES:
            try:
                chunk = sock.recv(MAX_CALL_BYTES)
            except OSError:
                return None
            if not chunk:
                return _decode_call(data)
            data += chunk
    line, end, _ = data.partition(b"\n")
    return _decode_call(line) if end else None


def _decode_call(line: bytes) -> str | None:
    if not line or len(line) > MAX_CALL_BYTES:
        return None
    try:
        return line.decode("ascii").strip()
    except UnicodeDecodeError:
        return None
