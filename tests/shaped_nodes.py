"""Storage nodes that write values in a given shape, and a client that checks a value byte for byte."""

from __future__ import annotations

import contextlib
import enum
import random
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from tests.loopback_rig import Node, reset_on_close

STEP_S = 0.02  # between two pieces of a value that is written steadily
SLOW_READ_STEP_S = 0.1  # between two reads of a client that reads slowly
SLOW_READ_BYTES = 2048  # at a time, by a node that reads slowly
LUMPS = 3
PATTERN_BYTES = 8192
READ_BYTES = 65536


class Shape(enum.Enum):
    """How a node writes a value."""

    STEADY = "steady"  # evenly over the whole time
    LUMPS = "lumps"  # in three lumps, evenly apart
    LATE_BODY = "late-body"  # its head at once, its bytes at the end of the time
    BIG = "big"  # as fast as the connection takes it
    STEADY_STALL = "steady-stall"  # half of it evenly over the whole time, then nothing
    STALL = "stall"  # half of it, then nothing
    BREAK = "break"  # half of it, then a reset
    SPOILT_END = "spoilt-end"  # the whole value, then bytes that are no sound end


@dataclass(frozen=True)
class Value:
    """A value of `size` bytes that a node needs `duration_s` to write."""

    size: int
    shape: Shape
    duration_s: float = 0.0


def content(request_id: bytes, size: int) -> bytes:
    """The bytes of the value for a request; those of two requests differ."""
    pattern = random.Random(request_id).randbytes(PATTERN_BYTES)
    return (pattern * (size // PATTERN_BYTES + 1))[:size]


def pieces(value: Value, data: bytes) -> Iterator[tuple[float, bytes]]:
    """The pieces in which the value is written, each with the pause before it in seconds."""
    match value.shape:
        case Shape.STEADY | Shape.STEADY_STALL:
            data = data if value.shape is Shape.STEADY else data[: len(data) // 2]
            count = max(1, round(value.duration_s / STEP_S))
            pause_s = value.duration_s / count
        case Shape.LUMPS:
            count, pause_s = LUMPS, value.duration_s / (LUMPS - 1)
        case Shape.LATE_BODY:
            count, pause_s = 1, 0.0
            gevent.sleep(value.duration_s)
        case Shape.STALL | Shape.BREAK:
            count, pause_s, data = 1, 0.0, data[: len(data) // 2]
        case _:
            count, pause_s = 1, 0.0
    size = -(-len(data) // count)
    for nth in range(count):
        yield (pause_s if nth else 0.0), data[nth * size : (nth + 1) * size]


class ShapedNode(Node):
    """A node whose values depend on the request. `cut_off`: ids of values whose connection the gateway ended
    before they were written whole."""

    def __init__(self, value_of: Callable[[bytes], Value]) -> None:
        """`value_of`: the value for a request's id."""
        self._value_of = value_of
        self.cut_off: list[bytes] = []
        super().__init__(value_bytes=0, work_s=0.0)

    def respond(self, sock: socket.socket, words: list[bytes]) -> bool:
        value = self._value_of(words[2])
        data = content(words[2], value.size)
        try:
            sock.sendall(b"*3\r\n$%d\r\n" % value.size)
            for pause_s, piece in pieces(value, data):
                gevent.sleep(pause_s)
                sock.sendall(piece)
            match value.shape:
                case Shape.STALL | Shape.STEADY_STALL:
                    sock.recv(1)  # until the gateway gives up
                    return False
                case Shape.BREAK:
                    reset_on_close(sock)
                    return False
                case Shape.SPOILT_END:
                    sock.sendall(b"!!no end" * 10)
                    return True
            sock.sendall(b"\r\n$-1\r\n$-1\r\n")
        except OSError:
            self.cut_off.append(words[2])
            raise
        return True


class SlowReadingNode(Node):
    """A node that takes `duration_s` to read a command with a body of 64 KiB, and then answers it."""

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        super().__init__(value_bytes=2, work_s=0.0)
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)

    def _serve(self, sock: socket.socket, _: object) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while (chunk := sock.recv(SLOW_READ_BYTES)) and not data.endswith(b"end\r\n"):
                data = (data + chunk)[-SLOW_READ_BYTES:]
                if data.endswith(b"end\r\n"):
                    self.received.append(b"read whole")
                    self.respond(sock, [b"", b"", b""])
                gevent.sleep(self._duration_s * SLOW_READ_BYTES / 65536)
        sock.close()


@dataclass
class ReadValue:
    """What a client got for a request. `head`: the first line; `intact`: the value came whole and as the node
    wrote it; times are seconds from the request."""

    head: bytes
    received: int
    intact: bool
    first_byte_s: float
    last_byte_s: float


def read_values(sock: socket.socket, request_ids: Sequence[bytes], began_at: float,
                bytes_per_s: float | None = None) -> list[ReadValue]:  # fmt: skip
    """Read the answers to requests that were sent at the monotonic time `began_at`, `bytes_per_s` at most."""
    with sock.makefile("rb", buffering=0 if bytes_per_s else -1) as stream:
        return [_read_one(stream, request_id, began_at, bytes_per_s) for request_id in request_ids]


def read_value(sock: socket.socket, request_id: bytes, began_at: float,
               bytes_per_s: float | None = None) -> ReadValue:  # fmt: skip
    """Read one answer, as `read_values` does."""
    return read_values(sock, [request_id], began_at, bytes_per_s)[0]


def _read_one(stream: Any, request_id: bytes, began_at: float, bytes_per_s: float | None) -> ReadValue:
    head = stream.readline()
    first_byte_s = time.monotonic() - began_at
    if not head.startswith(b"$"):
        return ReadValue(head, 0, False, first_byte_s, first_byte_s)
    size, data = int(head[1:]), bytearray()
    with contextlib.suppress(OSError):  # a reset: the value is not whole
        while len(data) < size + 2:
            wanted = min(READ_BYTES, size + 2 - len(data))
            if bytes_per_s:
                wanted = min(wanted, int(bytes_per_s * SLOW_READ_STEP_S))
                gevent.sleep(SLOW_READ_STEP_S)
            if not (chunk := stream.read(wanted)):
                break
            data += chunk
    intact = bytes(data) == content(request_id, size) + b"\r\n"
    return ReadValue(head, len(data), intact, first_byte_s, time.monotonic() - began_at)
