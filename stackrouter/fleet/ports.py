"""Ports on loopback for the processes of one harness."""

from __future__ import annotations

import os

from gevent import socket

from stackrouter.errors import StartError

FIRST_PORT, SLOT, SLOTS = 12_000, 200, 100  # 64 members take three ports each


class Ports:
    """Ports below those that the system gives to outgoing connections, for this harness alone: a member that
    is started again finds its own free. A harness holds a run of them by listening on the first."""

    def __init__(self) -> None:
        for nth in range(SLOTS):
            first = FIRST_PORT + (os.getpid() + nth) % SLOTS * SLOT
            self._claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self._claim.bind(("127.0.0.1", first))
                self._claim.listen(1)
            except OSError:
                self._claim.close()
                continue
            self._left = iter(range(first + 1, first + SLOT))
            return
        raise StartError("no ports are left for another harness")

    def take(self) -> int:
        """A port that was not given out before."""
        return next(self._left)

    def close(self) -> None:
        """Let another harness have the whole run."""
        self._claim.close()
