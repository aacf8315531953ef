"""Clients on loopback: each gateway is asked at a steady rate; some clients leave early or stop half way."""

from __future__ import annotations

import contextlib
import random
import time
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket

from stackrouter.fronts.platform import resp
from stackrouter.soak.records import Ending, Records, RequestRecord

ANSWER_SLACK_S: Final = 0.5
RESTING_MOST: Final = 12  # connections that a gateway's clients keep
HALF_S: Final = 3.2  # a client with half a request hears of it within 3 s
STOP_CONNECTS_S: Final = 0.3  # so long after SIGTERM new connections still come
KILL_SLACK_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class RequestClass:
    """As the settings name it."""

    name: str
    deadline_s: float
    keyed: bool
    share: float


CLASSES: Final = (
    RequestClass("match-read", 1.0, False, 0.5),
    RequestClass("turn-write", 1.5, True, 0.3),
    RequestClass("turn-add", 1.5, False, 0.2),
)


@dataclass(slots=True)
class GatewayState:
    """What clients know of a gateway."""

    address: tuple[str, int]
    ready: bool = False
    terminated_at: float | None = None
    killed_at: float | None = None

    def takes_connections(self, now: float) -> bool:
        return self.ready and (self.terminated_at is None or now - self.terminated_at < STOP_CONNECTS_S)


class GatewayClients:
    """All clients of one gateway."""

    def __init__(self, number: int, state: GatewayState, records: Records, seed: int, rate: float,
                 shards: int, halves: bool) -> None:  # fmt: skip
        self.number, self.state, self.records, self.rate, self.shards = number, state, records, rate, shards
        self._rng = random.Random(f"{seed} clients {number}")
        self._resting: list[socket.socket] = []
        self._made = 0
        self._leave_share = 0.0
        self._leave_until = 0.0
        self._greenlets = [gevent.spawn(self._ask_on)]
        if halves:
            self._greenlets.append(gevent.spawn(self._halves_on))

    def leave(self, share: float, length_s: float = 2.0) -> None:
        """For a while this part of the clients leaves early."""
        self._leave_share, self._leave_until = share, time.monotonic() + length_s

    def stop(self) -> None:
        """No more requests; those under way go on."""
        gevent.killall(self._greenlets)

    def forget_connections(self) -> None:
        """The gateway's process has ended."""
        for sock in self._resting:
            sock.close()
        self._resting.clear()

    def _ask_on(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(self.rate))
            now = time.monotonic()
            if self._resting or self.state.takes_connections(now):
                gevent.spawn(self._ask)

    def _ask(self) -> None:
        self._made += 1
        chosen = self._rng.choices(CLASSES, [c.share for c in CLASSES])[0]
        id_ = f"{self.number:04x}{self._made:012x}"
        command = _command(id_, chosen, self._rng.randrange(self.shards), self._rng.getrandbits(64))
        record = RequestRecord(id_, self.number, chosen.name, time.monotonic(), chosen.deadline_s)
        leaves_s = None
        if record.sent_at < self._leave_until and self._rng.random() < self._leave_share:
            leaves_s = self._rng.choice((0.01, 0.4)) * self._rng.random() + 0.001
        self.records.requests[id_] = record
        record.ending = self._exchange(record, command, leaves_s)
        record.ended_at = time.monotonic()

    def _exchange(self, record: RequestRecord, command: bytes, leaves_s: float | None) -> Ending:
        ending = Ending.BROKEN
        if self._resting:
            ending = self._try(self._resting.pop(), record, command, leaves_s)
        if ending is Ending.BROKEN and not record.arrivals:
            # Closed between two requests: the request goes once more, on a new connection.
            if not self.state.takes_connections(time.monotonic()):
                return Ending.KILLED
            try:
                sock = self._connect()
            except OSError:
                return Ending.KILLED  # nobody listens there any more
            ending = self._try(sock, record, command, leaves_s)
        if ending in (Ending.BROKEN, Ending.SILENT) and self._excused(record):
            return Ending.KILLED
        return ending

    def _excused(self, record: RequestRecord) -> bool:
        """A SIGKILL without a SIGTERM, or of what came within 0.7 s of it."""
        killed, told = self.state.killed_at, self.state.terminated_at
        if killed is None or killed < record.sent_at - KILL_SLACK_S:
            return False
        return told is None or record.sent_at <= told + 0.7

    def _connect(self) -> socket.socket:
        return socket.create_connection(self.state.address, 1.0)

    def _try(
        self, sock: socket.socket, record: RequestRecord, command: bytes, leaves_s: float | None
    ) -> Ending:
        whole = False
        until = record.sent_at + record.deadline_s + ANSWER_SLACK_S
        if leaves_s is not None:
            until = record.sent_at + leaves_s
        got = b""
        try:
            sock.settimeout(max(0.001, until - time.monotonic()))
            sock.sendall(command)
            while not _whole(got):
                sock.settimeout(max(0.001, until - time.monotonic()))
                piece = sock.recv(4096)
                if not piece:
                    return Ending.BROKEN
                got += piece
            whole = True
            if got.startswith(b"-BUSY"):
                return Ending.REFUSED
            return Ending.SERVED if got.startswith(b"$") and got != b"$-1\r\n" else Ending.FAILED
        except TimeoutError:
            return Ending.LEFT if leaves_s is not None else Ending.SILENT
        except OSError:
            return Ending.BROKEN
        finally:
            if whole and len(self._resting) < RESTING_MOST:
                self._resting.append(sock)
            else:
                sock.close()

    def _halves_on(self) -> None:
        """Clients that stop in the middle of a request and stay: they are to hear of it."""
        while True:
            gevent.sleep(self._rng.expovariate(0.5))
            if self.state.takes_connections(time.monotonic()) and self.state.terminated_at is None:
                self._half()

    def _half(self) -> None:
        command = _command("f" * 16, CLASSES[0], 0, 0)
        began = time.monotonic()
        with contextlib.suppress(ConnectionError):
            try:
                with self._connect() as sock:
                    sock.sendall(command[: self._rng.randrange(1, len(command))])
                    sock.settimeout(HALF_S + self.records.lateness.around(began))
                    sock.recv(4096)
            except TimeoutError:
                ended = self.state.killed_at is not None and self.state.killed_at > began
                self.records.half_clients_unheard += not ended


def _whole(got: bytes) -> bool:
    """An answer: a line, or a bulk string."""
    head, found, rest = got.partition(b"\r\n")
    if not found:
        return False
    if not head.startswith(b"$") or head == b"$-1":
        return True
    return len(rest) >= int(head[1:]) + 2


def _command(id_: str, chosen: RequestClass, shard: int, key: int) -> bytes:
    fields = f"c={chosen.name},t=priority,d={round(chosen.deadline_s * 1000)}"
    if chosen.keyed:
        fields += f",k={key:016x}"
    fields += f",volume={shard:016x},units=1,shard={shard},hosts=1"
    write = chosen.name != "match-read"
    words = [b"BLK.WRITE" if write else b"BLK.READ", b"%016x" % key, id_.encode(), fields.encode()]
    return resp.command(*words, *([b"body"] if write else []))
