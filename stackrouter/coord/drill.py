"""Drill mode for fault-injection runs: while this member holds a duty, it repeatedly sends an action with its
token to a receiver.

Between the check whether it may act and the action it waits for a while, as real work would: a member that is
paused in between acts late, and the receiver has to reject the action by its token. A line is
`duty token incarnation looked_at`; `looked_at` is in nanoseconds of the machine's monotonic clock,
independent of the member's lease clock. If a policy is kept, the member also reports the version under which
a request that arrived now would be served: `serve version incarnation looked_at digest`.
"""

from __future__ import annotations

import contextlib
import time

import gevent
from gevent import socket

from stackrouter.coord.member import DUTIES, Member

RETRY_S = 0.1


class Drill:
    """Sends the drill's lines to `receiver` every `every_s`; `work_s`: time between check and action."""

    def __init__(self, member: Member, receiver: tuple[str, int], every_s: float, work_s: float) -> None:
        self._member, self._receiver = member, receiver
        self._every_s, self._work_s = every_s, work_s

    def start(self) -> None:
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError), socket.create_connection(self._receiver) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while True:
                    self._send_served_version(sock)
                    for duty in DUTIES:
                        self._send_action(sock, duty)
                    gevent.sleep(self._every_s)
            gevent.sleep(RETRY_S)

    def _send_action(self, sock: socket.socket, duty: str) -> None:
        token = self._member.fencing_token(duty)
        if token is None:
            return
        looked_at = time.monotonic_ns()
        gevent.sleep(self._work_s)
        sock.sendall(f"{duty} {token} {self._member.incarnation} {looked_at}\n".encode())

    def _send_served_version(self, sock: socket.socket) -> None:
        policy_state = self._member.policy_state
        if policy_state is None or self._member.refuses_requests():
            return
        looked_at, version = time.monotonic_ns(), policy_state.serving
        digest = version.digest[:12] or "own"
        sock.sendall(f"serve {version.number} {self._member.incarnation} {looked_at} {digest}\n".encode())
