"""Clients on loopback: an open-loop load, in which each volume sends requests at its own rate."""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from gevent import socket

from stackrouter.fronts.platform import resp

CLASSES = ("match-read", "turn-write")
DEADLINE_MS = (2000, 3000)
MEAN_UNITS = 2.0


@dataclass(frozen=True, slots=True)
class VolumeLoad:
    """Load of one volume.

    `burst`: multiple of the rate, begin and end in seconds from the start; (1, 0, 0): none.
    """

    volume: str
    plan: str
    units_per_s: float
    gateways: tuple[int, ...]
    shards: tuple[int, ...]
    write_share: float = 0.35
    burst: tuple[float, float, float] = (1.0, 0.0, 0.0)


@dataclass(slots=True)
class VolumeResults:
    """Answers to one volume's clients. `recent`: latencies in seconds of the last answers."""

    verdicts: Counter[str] = field(default_factory=Counter)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=500))
    latency_s: float = 0.0


class StandinClients:
    """Sends the load of all volumes to the gateways, in greenlets, until `stop`."""

    def __init__(
        self, volume_loads: Sequence[VolumeLoad], gateways: Sequence[tuple[str, int]], seed: int
    ) -> None:
        self.volume_loads, self.gateways = volume_loads, gateways
        self.results = {each.volume: VolumeResults() for each in volume_loads}
        self._rng = random.Random(f"clients {seed}")
        self._idle: dict[int, list[socket.socket]] = {i: [] for i in range(len(gateways))}
        self._request_count = 0
        self.began = time.monotonic()
        self._greenlets = [
            gevent.spawn(self._run_volume, each, random.Random(f"{each.volume} {seed}"))
            for each in volume_loads
        ]

    def stop(self) -> None:
        gevent.killall(self._greenlets)
        for idle in self._idle.values():
            for sock in idle:
                sock.close()

    def _run_volume(self, load: VolumeLoad, rng: random.Random) -> None:
        due = time.monotonic()
        while True:
            multiple, begin, end = load.burst
            now = time.monotonic() - self.began
            rate = load.units_per_s * (multiple if begin <= now < end else 1.0) / MEAN_UNITS
            due += rng.expovariate(rate)
            gevent.sleep(max(0.0, due - time.monotonic()))
            gevent.spawn(
                self._send_request,
                load,
                rng.choice(load.gateways),
                rng.random() < load.write_share,
                rng.choice((1, 1, 2, 4)),
                rng.choice(load.shards),
            )

    def _send_request(self, load: VolumeLoad, gateway: int, write: bool, units: int, shard: int) -> None:
        self._request_count += 1
        fields = (
            f"c={CLASSES[write]},t={load.plan},d={DEADLINE_MS[write]},volume={load.volume},units={units},"
            f"shard={shard},hosts={len(load.gateways)}"
        )
        words = [
            b"BLK.READ",
            b"%016x" % self._rng.getrandbits(64),
            b"%016x" % self._request_count,
            fields.encode(),
        ]
        if write:
            words[0], words[3] = b"BLK.WRITE", words[3] + b",k=%016x" % self._rng.getrandbits(64)
            words.append(b"turn")
        began = time.monotonic()
        try:
            verdict = self._exchange(gateway, resp.command(*words), DEADLINE_MS[write] / 1000 + 0.5)
        except (OSError, gevent.Timeout):
            verdict = "lost"
        results = self.results[load.volume]
        results.verdicts[verdict] += 1
        results.recent.append(time.monotonic() - began)
        results.latency_s += time.monotonic() - began

    def _exchange(self, gateway: int, command: bytes, wait_s: float) -> str:
        if self._idle[gateway]:
            verdict = self._exchange_over(gateway, self._idle[gateway].pop(), command, wait_s)
            if verdict != "lost":
                return verdict  # otherwise it was closed while idle: retried on a new connection
        return self._exchange_over(gateway, socket.create_connection(self.gateways[gateway]), command, wait_s)

    def _exchange_over(self, gateway: int, sock: socket.socket, command: bytes, wait_s: float) -> str:
        is_complete = False
        try:
            sock.settimeout(wait_s)
            sock.sendall(command)
            answer = sock.recv(4096)
            is_complete = answer.endswith(b"\r\n")
            if answer.startswith(b"-BUSY"):
                return "refused"
            return {b"$": "served", b"": "lost"}.get(answer[:1], "failed")
        except ConnectionError:
            return "lost"
        finally:
            if is_complete:
                self._idle[gateway].append(sock)
            else:
                sock.close()
