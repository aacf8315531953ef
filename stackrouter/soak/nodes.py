"""Stand-in storage nodes on loopback that record arriving attempts, and hang, reset or move on demand."""

from __future__ import annotations

import array
import contextlib
import fcntl
import random
import struct
import termios
import time
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from stackrouter.soak import long_values
from stackrouter.soak.long_values import LongValue
from stackrouter.soak.records import Arrival, Records

SERVICE_S: Final = (0.001, 0.02)
HANG_STEP_S: Final = 0.02
_LINGER_RESET: Final = struct.pack("ii", 1, 0)  # SO_LINGER with a zero timeout: close sends RST


class SoakNode:
    """One storage node. Its address changes when it returns after a removal."""

    def __init__(
        self, name: str, shard: int, records: Records, seed: int, has_long_values: bool = False
    ) -> None:
        """`has_long_values`: some reads are answered with long values (see soak.long_values)."""
        self.name, self.shard, self.records = name, shard, records
        self._seed, self._has_long_values = seed, has_long_values
        self.since_ms = 0
        self._rng = random.Random(f"{seed} {name}")
        self._hang_until = 0.0
        self._busy = False  # answers -BUSY, like a draining node
        self._sockets: dict[socket.socket, Arrival | None] = {}  # with the attempt in progress on it
        self._last_answered: dict[socket.socket, Arrival] = {}  # the attempt answered last on it
        self._former_servers: list[StreamServer] = []
        self._server = self._listen()

    @property
    def address(self) -> str:
        """The current address, as host:port."""
        return f"127.0.0.1:{self._server.server_port}"

    def _listen(self) -> StreamServer:
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        return server

    def drain(self) -> None:
        """Finishes the attempts in progress and rejects new ones."""
        self._busy = True

    def restart_elsewhere(self) -> None:
        """Simulates a new process of the same name at a new address. The old one still records arrivals."""
        self._busy = False
        self._former_servers.append(self._server)
        self._server = self._listen()
        self.since_ms = int(time.time() * 1000)

    def hang(self, duration_s: float) -> None:
        """Accepts requests without answering for a while."""
        self._hang_until = time.monotonic() + duration_s

    def reset(self) -> None:
        """Resets all connections, including those with an attempt in progress."""
        for sock, arrival in list(self._sockets.items()):
            if arrival is not None:
                arrival.ended_at, arrival.spoilt_by_node = time.monotonic(), True
            elif _has_unsent_bytes(sock) and sock in self._last_answered:
                self._last_answered[sock].spoilt_by_node = True  # the reset discards the rest of its answer
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
                sock.close()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        for server in (self._server, *self._former_servers):
            server.stop(timeout=0)
        for sock in list(self._sockets):
            sock.close()

    def _serve(self, sock: socket.socket, _: object) -> None:
        address = "{}:{}".format(*sock.getsockname())
        self._sockets[sock] = None
        arrival: Arrival | None = None
        try:
            data = b""
            first_at = 0.0
            while chunk := sock.recv(65536):
                first_at = first_at if data else time.monotonic()
                data += chunk
                words, rest = split_command(data)
                if words is None:
                    continue
                data = rest
                arrival = self._record_arrival(sock, words, address, first_at)
                self._sockets[sock] = arrival
                if arrival is not None and self._answer(sock, words, arrival):
                    self._last_answered[sock] = arrival
                    arrival = self._sockets[sock] = None
        except OSError:
            pass
        finally:
            if arrival is not None and arrival.ended_at is None:
                arrival.ended_at = time.monotonic()
            self._sockets.pop(sock, None)
            self._last_answered.pop(sock, None)
            sock.close()

    def _record_arrival(
        self, sock: socket.socket, words: list[bytes], address: str, first_at: float
    ) -> Arrival | None:
        request = self.records.requests.get(words[2].decode())
        if request is None:
            return None
        fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        remaining_s = int(fields["d"]) / 1000
        arrival = Arrival(
            self.name, address, first_at, time.monotonic(), remaining_s, lambda: not _peer_closed(sock)
        )
        for earlier in request.arrivals:
            if earlier.ended_at is None and earlier.is_open():
                arrival.concurrent_with = earlier.node
        request.arrivals.append(arrival)
        return arrival

    def _answer(self, sock: socket.socket, words: list[bytes], arrival: Arrival) -> bool:
        """Answers an attempt. Returns whether it has ended, so that its connection can carry another."""
        if self._busy or sock.getsockname()[1] != self._server.server_port:
            sock.sendall(b"-BUSY\r\n")
            arrival.ended_at = time.monotonic()
            return True
        arrival.ran = True
        gevent.sleep(self._rng.uniform(*SERVICE_S))
        while time.monotonic() < self._hang_until:
            gevent.sleep(HANG_STEP_S)
            if _peer_closed(sock):
                arrival.ended_at = time.monotonic()
                return True
        request_id = words[2].decode()
        is_read = words[0] == b"BLK.READ"
        long_value = long_values.draw(self._seed, request_id) if is_read and self._has_long_values else None
        if long_value is not None:
            self._write_long(sock, long_value, arrival)
            return True
        value = b"v" + words[1]
        arrival.ended_at = arrival.ended_at or time.monotonic()
        sock.sendall(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))
        return True

    def _write_long(self, sock: socket.socket, value: LongValue, arrival: Arrival) -> None:
        """Writes a long value in its pieces. OSError: the connection has ended before."""
        try:
            sock.sendall(b"*3\r\n$%d\r\n" % value.size)
            for pause_s, size in value.pieces():
                gevent.sleep(pause_s)
                sock.sendall(bytes(size))
            sock.sendall(b"\r\n$-1\r\n$-1\r\n")
            arrival.ended_at = time.monotonic()
        except OSError:
            if not arrival.spoilt_by_node:
                arrival.cut_off_at = time.monotonic()
            raise


def _has_unsent_bytes(sock: socket.socket) -> bool:
    """Whether the peer's system has not received everything yet."""
    count = array.array("i", [0])
    with contextlib.suppress(OSError, ValueError):
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0] > 0


def _peer_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, as far as a non-blocking read shows."""
    if sock.fileno() < 0:
        return True
    sock.settimeout(0.0)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(None)


def split_command(data: bytes) -> tuple[list[bytes] | None, bytes]:
    """The words of the first command and the bytes after it; None if the command is incomplete."""
    head, found, rest = data.partition(b"\r\n")
    if not found:
        return None, data
    words = []
    for _ in range(int(head[1:])):
        size, found, rest = rest.partition(b"\r\n")
        if not found or len(rest) < int(size[1:]) + 2:
            return None, data
        words.append(rest[: int(size[1:])])
        rest = rest[int(size[1:]) + 2 :]
    return words, rest
