"""A connection to a replica that sends Hello and heartbeats like a gateway, but never reads the answers."""

from __future__ import annotations

import contextlib
import time

import gevent
from gevent import socket

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import Frame, Heartbeat, Hello
from stackrouter.controlplane.replica import PROTOCOL

RECEIVE_BYTES = 4096  # small receive buffer, so that it fills quickly
HEARTBEAT_INTERVAL_S = 0.02  # much shorter than a gateway's, so that unread answers pile up quickly
GATEWAY, INCARNATION = "slow-reader", "1"


def hold_unread_connection(address: tuple[str, int], duration_s: float) -> None:
    """Hold such a connection for this long, or until the replica closes it."""
    deadline = time.monotonic() + duration_s
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.settimeout(duration_s)
        sock.connect(address)
        sock.sendall(encode(Frame(hello=Hello(protocol=PROTOCOL, gateway=GATEWAY, life=INCARNATION))))
        sequence = 0
        while time.monotonic() < deadline:
            sequence += 1
            sock.sendall(encode(Frame(heartbeat=Heartbeat(sequence=sequence))))
            gevent.sleep(HEARTBEAT_INTERVAL_S)
