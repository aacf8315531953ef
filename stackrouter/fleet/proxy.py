"""The fault proxy: a link between two members on loopback that can be cut, slowed or made to lose pieces."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from random import Random

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

PIECE = 16_384
RESEND_S = (0.05, 0.25)  # how late a lost piece arrives, as after a resend
RESET_PART = 0.1  # of the lost pieces end the connection instead


class Way:
    """One direction of a link."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._open = Event()
        self._open.set()
        self.delay_s = self.loss = 0.0

    def cut(self, is_cut: bool) -> None:
        if is_cut:
            self._open.clear()
        else:
            self._open.set()

    def wait(self) -> None:
        self._open.wait()

    def pass_on(self, data: bytes, send: Callable[[bytes], object]) -> None:
        """ConnectionResetError: the link lost the connection."""
        if self.loss and self._rng.random() < self.loss:
            if self._rng.random() < RESET_PART:
                raise ConnectionResetError
            gevent.sleep(self._rng.uniform(*RESEND_S))
        if self.delay_s:
            gevent.sleep(self._rng.uniform(0.5, 1.5) * self.delay_s)
        self.wait()  # bytes come in order: what is behind a cut waits for its end
        send(data)


class Link:
    """From one member, which connects to `address`, to another, which listens on `target`."""

    def __init__(self, target: tuple[str, int], rng: Random) -> None:
        self._target = target
        self.there, self.back = Way(rng), Way(rng)
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        self._server.stop(timeout=0)

    def _serve(self, near: socket.socket, _: object) -> None:
        self.there.wait()  # over a cut link no connection comes about
        self.back.wait()
        with contextlib.suppress(OSError), socket.create_connection(self._target, timeout=1.0) as far:
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pumps = [gevent.spawn(self._pump, near, far, self.there),
                     gevent.spawn(self._pump, far, near, self.back)]  # fmt: skip
            gevent.joinall(pumps, count=1)  # either end's close ends both
            gevent.killall(pumps)

    def _pump(self, source: socket.socket, sink: socket.socket, way: Way) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(PIECE):
                way.pass_on(data, sink.sendall)
