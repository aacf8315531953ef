"""A storage node on loopback: platform protocol, cores, FIFO, pauses, deferred writes, delayed reports."""

from __future__ import annotations

import contextlib
import random
from collections import Counter, deque
from dataclasses import dataclass, field

import gevent
from gevent import Greenlet, socket
from gevent.event import Event

MAX_QUEUED = 200


@dataclass(frozen=True, slots=True)
class NodeBehavior:
    """Parameters of a node's behaviour. Times in seconds; a pair is a range to draw from."""

    cores: int = 2
    unit_s: float = 0.008  # core time per unit of size
    spread: float = 0.4  # of the work: sigma of a lognormal distribution
    deferred_share: float = 0.35  # part of a write's work that is deferred to the next flush
    flush_every_s: tuple[float, float] = (1.1, 4.0)
    pause_every_s: tuple[float, float] | None = (2.4, 6.3)
    pause_s: tuple[float, float] = (0.074, 0.23)
    report_every_s: float = 0.3


@dataclass(slots=True, eq=False)
class Job:
    """A request in progress and the connection that awaits its answer."""

    sock: socket.socket
    volume: str
    units: float
    write: bool
    value: bytes
    ended: bool = False


@dataclass(slots=True)
class NodeStats:
    """Counts of requests. `busy`: rejected; `client_closed`: the connection was closed before the answer."""

    served: int = 0
    busy: int = 0
    client_closed: int = 0
    units: Counter[str] = field(default_factory=Counter)


class StandinNode:
    """A node that listens on `address` until `stop`."""

    def __init__(
        self, name: str, shard: int, behavior: NodeBehavior, seed: int, usual: dict[str, float]
    ) -> None:
        """`usual`: each volume's usual rate in units/s, on which its reported use in percent is based."""
        self.name, self.shard, self.behavior, self.usual = name, shard, behavior, usual
        self.stats = NodeStats()
        self.inflight = self._reported_inflight = 0
        self._rng = random.Random(f"{name} {seed}")
        self._queue: deque[Job] = deque()
        self._work_available, self._not_stalled = Event(), Event()
        self._not_stalled.set()
        self._deferred_s = 0.0
        self._used: Counter[str] = Counter()
        self._reported_used: Counter[str] = Counter()
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(256)
        self.address = "{}:{}".format(*self._sock.getsockname())
        self._greenlets: list[Greenlet[..., None]] = [
            gevent.spawn(self._accept),
            gevent.spawn(self._flush),
            gevent.spawn(self._report),
            gevent.spawn(self._meter),
        ]
        self._greenlets += [gevent.spawn(self._run_core) for _ in range(behavior.cores)]
        if behavior.pause_every_s is not None:
            self._greenlets.append(gevent.spawn(self._pauses, behavior.pause_every_s))

    def stop(self) -> None:
        self._sock.close()
        gevent.killall(self._greenlets)

    # --- protocol

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._greenlets.append(gevent.spawn(self._serve, sock))
            self._greenlets = [each for each in self._greenlets if not each.dead]

    def _serve(self, sock: socket.socket) -> None:
        jobs: list[Job] = []
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, ValueError), sock.makefile("rb") as file:
            while words := read_command(file):
                jobs = [job for job in jobs if not job.ended]
                jobs += self._take(sock, words)
        for job in jobs:
            if not job.ended:
                job.ended = True
                self.stats.client_closed += 1
        sock.close()

    def _take(self, sock: socket.socket, words: list[bytes]) -> list[Job]:
        fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        if int(fields["shard"]) != self.shard or self.inflight >= MAX_QUEUED:
            self.stats.busy += 1
            sock.sendall(b"-BUSY\r\n")
            return []
        value = words[4] if len(words) > 4 else b"value of " + words[1]
        job = Job(sock, fields["volume"], float(fields["units"]), words[0] == b"BLK.WRITE", value)
        self._queue.append(job)
        self.inflight += 1
        self._work_available.set()
        return [job]

    # --- work

    def _run_core(self) -> None:
        behavior = self.behavior
        while True:
            while not self._queue:
                self._work_available.clear()
                self._work_available.wait()
            job = self._queue.popleft()
            if not job.ended:
                work = (
                    behavior.unit_s
                    * job.units
                    * self._rng.lognormvariate(-(behavior.spread**2) / 2, behavior.spread)
                )
                deferred = work * behavior.deferred_share if job.write else 0.0
                self._not_stalled.wait()
                gevent.sleep(work - deferred)
                self._not_stalled.wait()
                self._deferred_s += deferred
            self.inflight -= 1
            if not job.ended:
                self._answer(job)

    def _answer(self, job: Job) -> None:
        job.ended = True
        self.stats.served += 1
        self.stats.units[job.volume] += round(job.units)
        self._used[job.volume] += round(job.units)
        used = round(100 * self._reported_used[job.volume] / self.usual.get(job.volume, 1.0))
        figures, report = b"used=%d" % used, b"inflight=%d" % self._reported_inflight
        parts = (b"$%d\r\n%s\r\n" % (len(part), part) for part in (job.value, figures, report))
        with contextlib.suppress(OSError):
            job.sock.sendall(b"*3\r\n" + b"".join(parts))

    def _stall(self, length_s: float) -> None:
        self._not_stalled.clear()
        gevent.sleep(length_s)
        self._not_stalled.set()

    def _pauses(self, every_s: tuple[float, float]) -> None:
        while True:
            gevent.sleep(self._rng.uniform(*every_s))
            self._stall(self._rng.uniform(*self.behavior.pause_s))

    def _flush(self) -> None:
        while True:
            gevent.sleep(self._rng.uniform(*self.behavior.flush_every_s))
            deferred_s, self._deferred_s = self._deferred_s, 0.0
            self._stall(deferred_s / self.behavior.cores)

    def _report(self) -> None:
        while True:
            self._reported_inflight = self.inflight
            gevent.sleep(self.behavior.report_every_s)

    def _meter(self) -> None:
        """Update the reported use to that of the last finished second."""
        while True:
            gevent.sleep(1.0)
            self._reported_used, self._used = self._used, Counter()


def read_command(file: object) -> list[bytes]:
    """Read an array of bulk strings; empty at the end of the stream. Raises ValueError for other input."""
    readline, read = file.readline, file.read  # type: ignore[attr-defined]
    head = readline()
    if not head:
        return []
    words = []
    for _ in range(int(head[1:])):
        words.append(read(int(readline()[1:])))
        read(2)
    return words
