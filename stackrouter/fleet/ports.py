"""Ports on loopback for the processes of one harness."""

from __future__ import annotations

import os

from gevent import socket

from stackrouter.errors import StartError

FIRST_PORT, PORTS_PER_RANGE, RANGES = 12_000, 200, 100  # 64 members use three ports each


class Ports:
    """A range of ports below the system's ephemeral ports, reserved for this harness, so that a restarted
    member finds its own ports free. A harness reserves a range by listening on its first port."""

    def __init__(self) -> None:
        for i in range(RANGES):
            first = FIRST_PORT + (os.getpid() + i) % RANGES * PORTS_PER_RANGE
            self._reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self._reservation.bind(("127.0.0.1", first))
                self._reservation.listen(1)
            except OSError:
                self._reservation.close()
                continue
            self._free = iter(range(first + 1, first + PORTS_PER_RANGE))
            return
        raise StartError("no port range is free for another harness")

    def allocate(self) -> int:
        """The next port that has not been handed out."""
        return next(self._free)

    def close(self) -> None:
        """Releases the whole range for another harness."""
        self._reservation.close()
