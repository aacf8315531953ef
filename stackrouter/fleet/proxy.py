"""Fault-injecting TCP proxy: a link between two members that can be cut, delayed or made lossy."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from random import Random

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

CHUNK_BYTES = 16_384
RESEND_DELAY_S = (0.05, 0.25)  # range of the delay of a lost chunk, which stands for a retransmission
RESET_RATIO = 0.1  # of the lost chunks: the connection is reset instead


class Direction:
    """One direction of a link, with the faults that apply to it: `delay_s` and `loss`, a ratio of chunks."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._open = Event()
        self._open.set()
        self.delay_s = self.loss = 0.0

    def cut(self, is_cut: bool) -> None:
        """Stops or resumes the transfer of data."""
        if is_cut:
            self._open.clear()
        else:
            self._open.set()

    def wait(self) -> None:
        """Blocks while this direction is cut."""
        self._open.wait()

    def forward(self, data: bytes, send: Callable[[bytes], object]) -> None:
        """Sends the data, subject to the faults. Raises ConnectionResetError if one resets the connection."""
        if self.loss and self._rng.random() < self.loss:
            if self._rng.random() < RESET_RATIO:
                raise ConnectionResetError
            gevent.sleep(self._rng.uniform(*RESEND_DELAY_S))
        if self.delay_s:
            gevent.sleep(self._rng.uniform(0.5, 1.5) * self.delay_s)
        self.wait()  # delivery is in order: data behind a cut waits for the cut to end
        send(data)


class Link:
    """Forwards connections from one member, which dials `address`, to another, which listens on `target`."""

    def __init__(self, target: tuple[str, int], rng: Random) -> None:
        self._target = target
        self.to_target, self.from_target = Direction(rng), Direction(rng)
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, near: socket.socket, _: object) -> None:
        self.to_target.wait()  # no connection is established over a cut link
        self.from_target.wait()
        with contextlib.suppress(OSError), socket.create_connection(self._target, timeout=1.0) as far:
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pumps = [gevent.spawn(self._pump, near, far, self.to_target),
                     gevent.spawn(self._pump, far, near, self.from_target)]  # fmt: skip
            gevent.joinall(pumps, count=1)  # a close by either end closes both connections
            gevent.killall(pumps)

    def _pump(self, source: socket.socket, sink: socket.socket, direction: Direction) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                direction.forward(data, sink.sendall)
