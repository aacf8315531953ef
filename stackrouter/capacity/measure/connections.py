"""A real gateway process with idle or busy client connections and under load, seen from outside."""

from __future__ import annotations

import itertools
import time
from collections import deque

import gevent
from gevent import Greenlet, socket

from stackrouter.capacity import targets
from stackrouter.capacity.measure.process import PING, PONG, GatewayProcess, ping
from stackrouter.errors import MeasureError
from stackrouter.fronts.platform import resp
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.node import Nature, StandinNode

QUICK = Nature(cores=4, unit_s=0.0005, put_off=0.0, pause_every_s=None)
NODES = 3
CLIENT_CONNECTIONS = 64  # where the rate is varied
KEEPERS = 8  # greenlets that ask PING
PING_EVERY_S = 1.8  # a resting platform connection is closed after 2.2 s (fronts/platform/client.py)
MEASURED_S = 3.0
SETTLE_S = 0.5
RATE_S = 100.0  # requests a second where connections are varied
BUSY_MS = 20_000  # the deadline of requests that find no node
KEPT_US, NEW_US = 15_000_000, 1  # keep-alive of nodes: connections are kept, or none is


class Installation:
    """A gateway, quick nodes and discovery on loopback; use as a context."""

    def __init__(self, clients: int, nodes: int = NODES, keepalive_us: int = KEPT_US, aim_ms: int = 400,
                 deadline_ms: int = 2000) -> None:  # fmt: skip
        self.nodes = [StandinNode(f"s-{i}", i, QUICK, 7, {}) for i in range(nodes)]
        entries = [entry(n.name, n.address, n.shard, "hall-a", "std") for n in self.nodes]
        self.discovery = StandinDiscovery(entries)
        self.gateway = GatewayProcess(
            self.discovery.address, gateways=targets.GATEWAYS, nodes=nodes, clients=clients,
            aim_ms=aim_ms, deadline_ms=deadline_ms, keepalive_us=keepalive_us,
        )  # fmt: skip

    def __enter__(self) -> Installation:
        self.gateway.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.gateway.__exit__()
        self.discovery.stop()
        for node in self.nodes:
            node.stop()


class ClientConnections:
    """So many connections to one gateway: each asks PING now and then, some ask requests at a steady rate."""

    def __init__(self, gateway: GatewayProcess, count: int) -> None:
        self.asked = self.served = self.lost = 0
        self._numbers = itertools.count(1)
        self._resting: deque[tuple[float, socket.socket]] = deque()  # by the time of the last answer
        self._greenlets: list[Greenlet[..., None]] = [gevent.spawn(self._keep) for _ in range(KEEPERS)]
        for _ in range(count):
            sock = gateway.connect()
            if not ping(sock):
                raise MeasureError("a new connection was not answered")
            self._resting.append((time.monotonic(), sock))

    def stop(self) -> None:
        gevent.killall(self._greenlets)
        for _, sock in self._resting:
            sock.close()

    def load(self, rate_s: float) -> None:
        """From now on, so many requests a second."""
        greenlet = gevent.spawn(self._load, rate_s)
        self._greenlets.append(greenlet)

    def _keep(self) -> None:
        """PING on what has rested for `PING_EVERY_S`, the longest first."""
        while True:
            while self._resting and self._resting[0][0] <= time.monotonic() - PING_EVERY_S:
                _, sock = self._resting.popleft()
                try:
                    answered = ping(sock)
                except OSError:
                    answered = False
                if answered:
                    self._resting.append((time.monotonic(), sock))
                else:
                    self.lost += 1
            gevent.sleep(0.002)

    def _load(self, rate_s: float) -> None:
        due = time.monotonic()
        while True:
            due += 1 / rate_s
            gevent.sleep(max(0.0, due - time.monotonic()))
            if self._resting:
                _, sock = self._resting.popleft()
                gevent.spawn(self._ask, sock)

    def _ask(self, sock: socket.socket) -> None:
        number = next(self._numbers)
        self.asked += 1
        try:
            sock.sendall(read_command(number, number % NODES, 2000))
            answer = sock.recv(4096)
        except OSError:
            self.lost += 1
            return
        self.served += answer.startswith(b"$")
        self._resting.append((time.monotonic(), sock))


def read_command(number: int, shard: int, deadline_ms: int) -> bytes:
    """A read of two units in the platform's words; each 20th number has the same volume."""
    fields = (
        f"c=match-read,t=basic,d={deadline_ms},volume={0xB0000000 + number % 20:016x},units=2,"
        f"shard={shard},hosts={targets.GATEWAYS}"
    )
    return resp.command(b"BLK.READ", b"%016x" % number, b"%016x" % number, fields.encode())


def _cpu_ms_s(gateway: GatewayProcess) -> tuple[float, float]:
    """Milliseconds of CPU a second over `MEASURED_S`, and the seconds that it took."""
    began, before_ms = time.monotonic(), gateway.cpu_ms()
    gevent.sleep(MEASURED_S)
    took_s = time.monotonic() - began
    return (gateway.cpu_ms() - before_ms) / took_s, took_s


def idle(count: int) -> dict[str, float]:
    """Connections that only ask PING, then the same with a steady load on top."""
    with Installation(count) as installation:
        gateway = installation.gateway
        before_mib = gateway.rss_mib()
        clients = ClientConnections(gateway, count)
        mib = gateway.rss_mib()
        keep_ms_s, _ = _cpu_ms_s(gateway)
        clients.load(RATE_S)
        gevent.sleep(SETTLE_S)
        asked = clients.asked
        loaded_ms_s, took_s = _cpu_ms_s(gateway)
        requests_s = (clients.asked - asked) / took_s
        clients.stop()
    if clients.lost or clients.served < 0.95 * clients.asked - 10:
        raise MeasureError(
            f"{clients.lost} connections lost, {clients.served} of {clients.asked} requests served"
        )
    return {
        "gateway.memory.clients_idle": mib - before_mib,
        "gateway.clients.keep_cpu": keep_ms_s,
        "gateway.request.cpu_clients": 1000 * (loaded_ms_s - keep_ms_s) / requests_s,
    }


def busy(count: int) -> dict[str, float]:
    """Connections that each have one request open: there is no node, and requests are held for long."""
    with Installation(count, nodes=0, aim_ms=BUSY_MS, deadline_ms=BUSY_MS) as installation:
        gateway = installation.gateway
        before_mib = gateway.rss_mib()
        socks = [gateway.connect() for _ in range(count)]
        for number, sock in enumerate(socks, 1):
            sock.sendall(PING + read_command(number, 0, BUSY_MS))
        for sock in socks:  # the request stood right behind: it is taken with the PING
            if sock.recv(len(PONG)) != PONG:
                raise MeasureError("a PING was not answered")
        mib = gateway.rss_mib()
        for sock in socks:
            sock.settimeout(0.0)
            try:
                answer = sock.recv(64)
            except OSError:
                continue  # no answer yet, as it should be
            raise MeasureError(f"a request that should be open was answered {answer!r}")
        for sock in socks:
            sock.close()
    return {"gateway.memory.clients_busy": mib - before_mib}


def _rate(rate_s: int, keepalive_us: int) -> float:
    """CPU ms a second at a steady rate, less what the connections cost without requests."""
    with Installation(CLIENT_CONNECTIONS, keepalive_us=keepalive_us) as installation:
        gateway = installation.gateway
        clients = ClientConnections(gateway, CLIENT_CONNECTIONS)
        clients.load(rate_s)
        gevent.sleep(SETTLE_S)
        asked, served = clients.asked, clients.served
        spent_ms_s, took_s = _cpu_ms_s(gateway)
        asked, served = clients.asked - asked, clients.served - served
        clients.stop()
    if not 0.9 * rate_s * took_s < asked or served < 0.95 * asked - 10:
        raise MeasureError(f"{asked} requests in {took_s:.1f} s at {rate_s} a second, {served} served")
    return spent_ms_s


def rate_kept(rate_s: int) -> dict[str, float]:
    return {"gateway.request.cpu_rate_kept": _rate(rate_s, KEPT_US)}


def rate_new(rate_s: int) -> dict[str, float]:
    return {"gateway.request.cpu_rate_new": _rate(rate_s, NEW_US)}
