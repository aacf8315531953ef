"""Clients on loopback: a constant mean request rate per gateway; some disconnect or stall early."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket

from stackrouter.fronts.platform import resp
from stackrouter.soak.records import Ending, Records, RequestRecord

ANSWER_SLACK_S: Final = 0.5
MAX_IDLE: Final = 12  # idle connections that the clients of a gateway keep open
HALF_REQUEST_TIMEOUT_S: Final = 3.2  # a client that stalls mid-request gets a response within 3 s
SENT_AGAIN: Final = 0.05  # share of requests whose client leaves at once and sends the request again
LEAVE_WITHIN_WORK_S: Final = (0.001, 0.02)  # while a node works on it
READ_BYTES: Final = 65_536
SLOW_READERS: Final = 0.1  # share of requests whose client reads slowly ...
SLOW_READ_PAUSE_S: Final = 0.05  # ... and pauses this long after each read
MAX_PAUSE_S: Final = 4.0  # a gateway passes on nothing for this long only where its node has stalled
STOP_CONNECTS_S: Final = 0.3  # clients still open new connections this long after SIGTERM
KILL_SLACK_S: Final = 0.05
TERM_SLACK_S: Final = 0.7  # a SIGKILL excuses requests sent up to this long after SIGTERM


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the platform settings. `share`: its fraction of all requests."""

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
    """The state of a gateway as its clients know it. Times are monotonic seconds."""

    address: tuple[str, int]
    ready: bool = False
    terminated_at: float | None = None
    killed_at: float | None = None

    def takes_connections(self, now: float) -> bool:
        """Whether clients may open new connections to it at the time `now`."""
        return self.ready and (self.terminated_at is None or now - self.terminated_at < STOP_CONNECTS_S)


class GatewayClients:
    """All clients of one gateway. `faults`: kinds of faults, some of which are theirs (see soak.options)."""

    def __init__(self, number: int, state: GatewayState, records: Records, seed: int, rate: float,
                 shards: int, faults: Collection[str] = ()) -> None:  # fmt: skip
        self.number, self.state, self.records, self.rate, self.shards = number, state, records, rate, shards
        self._rng = random.Random(f"{seed} clients {number}")
        self._idle: list[socket.socket] = []
        self._sent_count = 0
        self._leave_ratio = 0.0
        self._leave_until = 0.0
        self._greenlets = [gevent.spawn(self._send_requests)]
        self._faults = faults
        if "halves" in faults:
            self._greenlets.append(gevent.spawn(self._send_half_requests))

    def leave(self, share: float, duration_s: float = 2.0) -> None:
        """Makes this fraction of the clients disconnect early for a while."""
        self._leave_ratio, self._leave_until = share, time.monotonic() + duration_s

    def stop(self) -> None:
        """Stops sending new requests; requests in progress continue."""
        gevent.killall(self._greenlets)

    def forget_connections(self) -> None:
        """Closes all idle connections, after the gateway's process has ended."""
        for sock in self._idle:
            sock.close()
        self._idle.clear()

    def _send_requests(self) -> None:
        while True:
            gevent.sleep(self._rng.expovariate(self.rate))
            now = time.monotonic()
            if self._idle or self.state.takes_connections(now):
                gevent.spawn(self._send_request)

    def _send_request(self) -> None:
        self._sent_count += 1
        request_class = self._rng.choices(CLASSES, [c.share for c in CLASSES])[0]
        request_id = f"{self.number:04x}{self._sent_count:012x}"
        command = _command(
            request_id, request_class, self._rng.randrange(self.shards), self._rng.getrandbits(64)
        )
        record = RequestRecord(
            request_id, self.number, request_class.name, time.monotonic(), request_class.deadline_s
        )
        leave_after_s = None
        if record.sent_at < self._leave_until and self._rng.random() < self._leave_ratio:
            leave_after_s = self._rng.choice((0.01, 0.4)) * self._rng.random() + 0.001
        elif "again" in self._faults and self._rng.random() < SENT_AGAIN:
            leave_after_s = self._rng.uniform(*LEAVE_WITHIN_WORK_S)
        self.records.requests[request_id] = record
        ending = self._exchange(record, command, leave_after_s)
        if (
            ending is Ending.LEFT
            and "again" in self._faults
            and self.state.takes_connections(time.monotonic())
        ):
            record.sent_again, record.sent_at = True, time.monotonic()
            ending = self._exchange(record, command, None)
        record.ending = ending
        record.ended_at = time.monotonic()

    def _exchange(self, record: RequestRecord, command: bytes, leave_after_s: float | None) -> Ending:
        ending = Ending.BROKEN
        if self._idle:
            ending = self._send_on(self._idle.pop(), record, command, leave_after_s)
        if ending is Ending.BROKEN and (record.sent_again or not record.arrivals):
            # The idle connection was closed between two requests: resend on a new connection.
            if not self.state.takes_connections(time.monotonic()):
                return Ending.KILLED
            try:
                sock = self._connect()
            except OSError:
                return Ending.KILLED  # the gateway no longer listens
            ending = self._send_on(sock, record, command, leave_after_s)
        if ending in (Ending.BROKEN, Ending.SILENT, Ending.INCOMPLETE) and self._excused(record):
            return Ending.KILLED
        return ending

    def _excused(self, record: RequestRecord) -> bool:
        """Whether a SIGKILL excuses the missing response: one without SIGTERM, or for a request sent no later
        than TERM_SLACK_S after SIGTERM."""
        killed_at, terminated_at = self.state.killed_at, self.state.terminated_at
        if killed_at is None or killed_at < record.sent_at - KILL_SLACK_S:
            return False
        return terminated_at is None or record.sent_at <= terminated_at + TERM_SLACK_S

    def _connect(self) -> socket.socket:
        return socket.create_connection(self.state.address, 1.0)

    def _send_on(
        self, sock: socket.socket, record: RequestRecord, command: bytes, leave_after_s: float | None
    ) -> Ending:
        complete = False
        deadline = record.sent_at + record.deadline_s + ANSWER_SLACK_S
        if leave_after_s is not None:
            deadline = record.sent_at + leave_after_s
        reader = ResponseReader()
        pause_s = (
            SLOW_READ_PAUSE_S if "readers" in self._faults and self._rng.random() < SLOW_READERS else 0.0
        )
        try:
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            sock.sendall(command)
            while not reader.complete:
                stalled_at = time.monotonic() + MAX_PAUSE_S if reader.begun and leave_after_s is None else 0.0
                sock.settimeout(max(0.001, max(deadline, stalled_at) - time.monotonic()))
                chunk = sock.recv(READ_BYTES)
                if not chunk:
                    return Ending.INCOMPLETE if reader.begun else Ending.BROKEN
                reader.feed(chunk)
                if reader.begun:
                    gevent.sleep(pause_s)
            complete = True
            return reader.ending()
        except TimeoutError:
            return Ending.LEFT if leave_after_s is not None else Ending.SILENT
        except OSError:
            return Ending.INCOMPLETE if reader.begun else Ending.BROKEN
        finally:
            if complete and len(self._idle) < MAX_IDLE:
                self._idle.append(sock)
            else:
                sock.close()

    def _send_half_requests(self) -> None:
        """Runs clients that stall in the middle of a request; the gateway has to respond or disconnect."""
        while True:
            gevent.sleep(self._rng.expovariate(0.5))
            if self.state.takes_connections(time.monotonic()) and self.state.terminated_at is None:
                self._send_half_request()

    def _send_half_request(self) -> None:
        command = _command("f" * 16, CLASSES[0], 0, 0)
        began_at = time.monotonic()
        with contextlib.suppress(ConnectionError):
            try:
                with self._connect() as sock:
                    sock.sendall(command[: self._rng.randrange(1, len(command))])
                    sock.settimeout(HALF_REQUEST_TIMEOUT_S + self.records.lateness.around(began_at))
                    sock.recv(4096)
            except TimeoutError:
                excused = self.state.killed_at is not None and self.state.killed_at > began_at
                self.records.half_requests_unanswered += not excused


class ResponseReader:
    """Reads one response, a line or a bulk string, without keeping the string."""

    def __init__(self) -> None:
        self._line = b""
        self._left: int | None = None  # bytes of a bulk string and its end still to come
        self.complete = False

    @property
    def begun(self) -> bool:
        """Whether the response is a bulk string whose bytes are arriving."""
        return self._left is not None

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the response."""
        if self._left is not None:
            self._left -= len(data)
        else:
            self._line, found, rest = (self._line + data).partition(b"\r\n")
            if not found:
                return
            if not self._line.startswith(b"$") or self._line == b"$-1":
                self.complete = True
                return
            self._left = int(self._line[1:]) + 2 - len(rest)
        self.complete = self._left <= 0

    def ending(self) -> Ending:
        """How the request ended; the response must be complete."""
        if self._line.startswith(b"-BUSY"):
            return Ending.REFUSED
        return Ending.SERVED if self.begun else Ending.FAILED


def _command(request_id: str, request_class: RequestClass, shard: int, key: int) -> bytes:
    fields = f"c={request_class.name},t=priority,d={round(request_class.deadline_s * 1000)}"
    if request_class.keyed:
        fields += f",k={key:016x}"
    fields += f",volume={shard:016x},units=1,shard={shard},hosts=1"
    write = request_class.name != "match-read"
    words = [b"BLK.WRITE" if write else b"BLK.READ", b"%016x" % key, request_id.encode(), fields.encode()]
    return resp.command(*words, *([b"body"] if write else []))
