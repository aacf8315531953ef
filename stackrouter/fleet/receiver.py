"""Receives the actions of the members' duties and records them as the history of a run."""

from __future__ import annotations

import time

from gevent import socket
from gevent.server import StreamServer

from stackrouter.coord.fence import Fence
from stackrouter.fleet.check import Action, VersionSample

MAX_LINE_CHARACTERS = 256


class Receiver:
    """Rejects tokens lower than one it has seen and records every action and policy sample that
    `coord/drill.py` sends. `fenced`: False accepts any token, a deliberate fault to test the checker."""

    def __init__(self, fenced: bool) -> None:
        self._fence, self._fenced = Fence(), fenced
        self.actions: list[Action] = []
        self.served: list[VersionSample] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=0)

    def holder(self, duty: str) -> str | None:
        """The member whose action was accepted last for this duty."""
        return next((a.member for a in reversed(self.actions) if a.duty == duty and a.accepted), None)

    def acted_since(self, duty: str, since_ns: int) -> bool:
        """Whether an action of this duty was accepted after `since_ns`, a time of the monotonic clock."""
        return any(a.received_ns > since_ns and a.accepted and a.duty == duty for a in self.actions)

    def _serve(self, sock: socket.socket, _: object) -> None:
        for line in sock.makefile("r", encoding="ascii", errors="replace"):
            words = line[:MAX_LINE_CHARACTERS].split()
            if len(words) == 5 and words[0] == "serve" and words[1].isdigit() and words[3].isdigit():
                self.served.append(VersionSample(int(words[3]), int(words[1]), words[4], words[2]))
            elif len(words) == 4 and words[1].isdigit() and words[3].isdigit():
                self._record_action(words[0], int(words[1]), words[2], int(words[3]))

    def _record_action(self, duty: str, token: int, incarnation: str, checked_ns: int) -> None:
        accepted = self._fence.admit(duty, token) or not self._fenced
        self.actions.append(Action(time.monotonic_ns(), duty, token, incarnation, checked_ns, accepted))
