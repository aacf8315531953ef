"""A connection to a replica that says Hello and heartbeats as a gateway does, and never reads an answer."""

from __future__ import annotations

import contextlib
import time

import gevent
from gevent import socket

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import Frame, Heartbeat, Hello
from stackrouter.controlplane.replica import PROTOCOL

RECEIVE_BYTES = 4096  # of its receive buffer: it fills soon
BEAT_S = 0.02  # far more often than a gateway: each answer is something that it does not read
NAME, LIFE = "slow-reader", "1"


def read_nothing(address: tuple[str, int], for_s: float) -> None:
    """Hold such a connection for so long, or until the replica ends it."""
    until = time.monotonic() + for_s
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.settimeout(for_s)
        sock.connect(address)
        sock.sendall(encode(Frame(hello=Hello(protocol=PROTOCOL, gateway=NAME, life=LIFE))))
        sequence = 0
        while time.monotonic() < until:
            sequence += 1
            sock.sendall(encode(Frame(heartbeat=Heartbeat(sequence=sequence))))
            gevent.sleep(BEAT_S)
