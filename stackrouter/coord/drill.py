"""For drills: while this member holds a duty it sends an action with its token to a receiver, again and
again.

Between looking whether it may act and acting lies some work, as in life: a member that is stopped just then
acts late, and the receiver has to refuse it by its token. A line is `duty token life looked_at`, the last in
nanoseconds of the machine's own monotonic clock, whatever the member's lease clock shows. Where a policy is
kept, it also says under which version a request that came now would be served: `serve version life
looked_at digest`.
"""

from __future__ import annotations

import contextlib
import time

import gevent
from gevent import socket

from stackrouter.coord.member import DUTIES, Member

RETRY_S = 0.1


class Drill:
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
                    self._serve(sock)
                    for duty in DUTIES:
                        self._act(sock, duty)
                    gevent.sleep(self._every_s)
            gevent.sleep(RETRY_S)

    def _act(self, sock: socket.socket, duty: str) -> None:
        token = self._member.acting(duty)
        if token is None:
            return
        looked_at = time.monotonic_ns()
        gevent.sleep(self._work_s)
        sock.sendall(f"{duty} {token} {self._member.life} {looked_at}\n".encode())

    def _serve(self, sock: socket.socket) -> None:
        policy_state = self._member.policy_state
        if policy_state is None or self._member.holds_back():
            return
        looked_at, version = time.monotonic_ns(), policy_state.serving
        digest = version.digest[:12] or "own"
        sock.sendall(f"serve {version.number} {self._member.life} {looked_at} {digest}\n".encode())
