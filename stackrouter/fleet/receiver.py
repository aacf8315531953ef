"""The receiving side of the fleet's duties, where the history of a run is noted."""

from __future__ import annotations

import time

from gevent import socket
from gevent.server import StreamServer

from stackrouter.coord.fence import Fence
from stackrouter.fleet.check import Action, Served

LONGEST_LINE = 256


class Receiver:
    """Refuses a token lower than one it has seen, and notes every action (`coord/drill.py` sends them).
    `fenced`: False plants a fault, it takes whatever comes."""

    def __init__(self, fenced: bool) -> None:
        self._fence, self._fenced = Fence(), fenced
        self.actions: list[Action] = []
        self.served: list[Served] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)

    def holder(self, duty: str) -> str | None:
        """The member whose action was the last to be taken."""
        return next((a.member for a in reversed(self.actions) if a.duty == duty and a.accepted), None)

    def acted_since(self, duty: str, at: int) -> bool:
        """Whether an action of this duty was taken after `at`, in nanoseconds of the monotonic clock."""
        return any(a.at > at and a.accepted and a.duty == duty for a in self.actions)

    def _serve(self, sock: socket.socket, _: object) -> None:
        for line in sock.makefile("r", encoding="ascii", errors="replace"):
            words = line[:LONGEST_LINE].split()
            if len(words) == 5 and words[0] == "serve" and words[1].isdigit() and words[3].isdigit():
                self.served.append(Served(int(words[3]), int(words[1]), words[4], words[2]))
            elif len(words) == 4 and words[1].isdigit() and words[3].isdigit():
                self._note_action(words[0], int(words[1]), words[2], int(words[3]))

    def _note_action(self, duty: str, token: int, life: str, looked_at: int) -> None:
        accepted = self._fence.admit(duty, token) or not self._fenced
        self.actions.append(Action(time.monotonic_ns(), duty, token, life, looked_at, accepted))
