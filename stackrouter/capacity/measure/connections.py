"""Measures a real gateway process from outside: with idle or busy client connections, and under load."""

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
from stackrouter.standins.node import NodeBehavior, StandinNode

FAST_NODE = NodeBehavior(cores=4, unit_s=0.0005, deferred_share=0.0, pause_every_s=None)
NODES = 3
CLIENT_CONNECTIONS = 64  # where the request rate is varied
PING_GREENLETS = 8  # greenlets that send PING
PING_EVERY_S = 1.8  # an idle platform connection is closed after 2.2 s (fronts/platform/client.py)
MEASURED_S = 3.0
SETTLE_S = 0.5
RATE_S = 100.0  # requests a second where the number of connections is varied
BUSY_MS = 20_000  # the deadline of requests that find no node
# Keep-alive of the nodes: connections are kept, or each attempt opens a new one.
KEEPALIVE_KEPT_US, KEEPALIVE_NEW_US = 15_000_000, 1


class Deployment:
    """A gateway, fast nodes and discovery on loopback, as a context manager."""

    def __init__(self, clients: int, nodes: int = NODES, keepalive_us: int = KEEPALIVE_KEPT_US,
                 aim_ms: int = 400, deadline_ms: int = 2000) -> None:  # fmt: skip
        self.nodes = [StandinNode(f"s-{i}", i, FAST_NODE, 7, {}) for i in range(nodes)]
        entries = [entry(n.name, n.address, n.shard, "hall-a", "std") for n in self.nodes]
        self.discovery = StandinDiscovery(entries)
        self.gateway = GatewayProcess(
            self.discovery.address, gateways=targets.GATEWAYS, nodes=nodes, clients=clients,
            aim_ms=aim_ms, deadline_ms=deadline_ms, keepalive_us=keepalive_us,
        )  # fmt: skip

    def __enter__(self) -> Deployment:
        self.gateway.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.gateway.__exit__()
        self.discovery.stop()
        for node in self.nodes:
            node.stop()


class ClientConnections:
    """Connections to one gateway: idle ones send PING regularly, `load` adds requests at a steady rate."""

    def __init__(self, gateway: GatewayProcess, count: int) -> None:
        self.sent = self.served = self.lost = 0
        self._numbers = itertools.count(1)
        # With the time of the last answer, oldest first.
        self._idle: deque[tuple[float, socket.socket]] = deque()
        self._greenlets: list[Greenlet[..., None]] = [
            gevent.spawn(self._ping_idle) for _ in range(PING_GREENLETS)
        ]
        for _ in range(count):
            sock = gateway.connect()
            if not ping(sock):
                raise MeasureError("PING on a new connection was not answered")
            self._idle.append((time.monotonic(), sock))

    def stop(self) -> None:
        gevent.killall(self._greenlets)
        for _, sock in self._idle:
            sock.close()

    def load(self, rate_s: float) -> None:
        """Start sending so many requests a second."""
        greenlet = gevent.spawn(self._send_load, rate_s)
        self._greenlets.append(greenlet)

    def _ping_idle(self) -> None:
        """Send PING on connections that were idle for `PING_EVERY_S`, the longest idle first."""
        while True:
            while self._idle and self._idle[0][0] <= time.monotonic() - PING_EVERY_S:
                _, sock = self._idle.popleft()
                try:
                    answered = ping(sock)
                except OSError:
                    answered = False
                if answered:
                    self._idle.append((time.monotonic(), sock))
                else:
                    self.lost += 1
            gevent.sleep(0.002)

    def _send_load(self, rate_s: float) -> None:
        due_s = time.monotonic()
        while True:
            due_s += 1 / rate_s
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            if self._idle:
                _, sock = self._idle.popleft()
                gevent.spawn(self._send_read, sock)

    def _send_read(self, sock: socket.socket) -> None:
        number = next(self._numbers)
        self.sent += 1
        try:
            sock.sendall(read_command(number, number % NODES, 2000))
            answer = sock.recv(4096)
        except OSError:
            self.lost += 1
            return
        self.served += answer.startswith(b"$")
        self._idle.append((time.monotonic(), sock))


def read_command(number: int, shard: int, deadline_ms: int) -> bytes:
    """A read command of two units in the platform's protocol; each 20th number has the same volume."""
    fields = (
        f"c=match-read,t=basic,d={deadline_ms},volume={0xB0000000 + number % 20:016x},units=2,"
        f"shard={shard},hosts={targets.GATEWAYS}"
    )
    return resp.command(b"BLK.READ", b"%016x" % number, b"%016x" % number, fields.encode())


def _cpu_ms_s(gateway: GatewayProcess) -> tuple[float, float]:
    """Milliseconds of CPU a second over `MEASURED_S`, and the actual duration in seconds."""
    began, before_ms = time.monotonic(), gateway.cpu_ms()
    gevent.sleep(MEASURED_S)
    elapsed_s = time.monotonic() - began
    return (gateway.cpu_ms() - before_ms) / elapsed_s, elapsed_s


def idle(count: int) -> dict[str, float]:
    """Measure connections that only send PING, then the same with a steady load as well."""
    with Deployment(count) as deployment:
        gateway = deployment.gateway
        before_mib = gateway.rss_mib()
        clients = ClientConnections(gateway, count)
        connected_mib = gateway.rss_mib()
        ping_ms_s, _ = _cpu_ms_s(gateway)
        clients.load(RATE_S)
        gevent.sleep(SETTLE_S)
        sent = clients.sent
        loaded_ms_s, elapsed_s = _cpu_ms_s(gateway)
        requests_s = (clients.sent - sent) / elapsed_s
        clients.stop()
    if clients.lost or clients.served < 0.95 * clients.sent - 10:
        raise MeasureError(
            f"{clients.lost} connections lost, {clients.served} of {clients.sent} requests served"
        )
    return {
        "gateway.memory.clients_idle": connected_mib - before_mib,
        "gateway.clients.keep_cpu": ping_ms_s,
        "gateway.request.cpu_clients": 1000 * (loaded_ms_s - ping_ms_s) / requests_s,
    }


def busy(count: int) -> dict[str, float]:
    """Measure connections with one open request each; without a node, requests wait until the deadline."""
    with Deployment(count, nodes=0, aim_ms=BUSY_MS, deadline_ms=BUSY_MS) as deployment:
        gateway = deployment.gateway
        before_mib = gateway.rss_mib()
        socks = [gateway.connect() for _ in range(count)]
        for number, sock in enumerate(socks, 1):
            sock.sendall(PING + read_command(number, 0, BUSY_MS))
        for sock in socks:  # the request was sent right after the PING and is read together with it
            if sock.recv(len(PONG)) != PONG:
                raise MeasureError("a PING was not answered")
        connected_mib = gateway.rss_mib()
        for sock in socks:
            sock.settimeout(0.0)
            try:
                answer = sock.recv(64)
            except OSError:
                continue  # no answer yet, as expected
            raise MeasureError(f"a request that should still be open was answered: {answer!r}")
        for sock in socks:
            sock.close()
    return {"gateway.memory.clients_busy": connected_mib - before_mib}


def _cpu_at_rate(rate_s: int, keepalive_us: int) -> float:
    """CPU ms a second of a gateway at a steady request rate, with `CLIENT_CONNECTIONS` connections."""
    with Deployment(CLIENT_CONNECTIONS, keepalive_us=keepalive_us) as deployment:
        gateway = deployment.gateway
        clients = ClientConnections(gateway, CLIENT_CONNECTIONS)
        clients.load(rate_s)
        gevent.sleep(SETTLE_S)
        sent, served = clients.sent, clients.served
        cpu_ms_s, elapsed_s = _cpu_ms_s(gateway)
        sent, served = clients.sent - sent, clients.served - served
        clients.stop()
    if not 0.9 * rate_s * elapsed_s < sent or served < 0.95 * sent - 10:
        raise MeasureError(f"{sent} requests in {elapsed_s:.1f} s at {rate_s} a second, {served} served")
    return cpu_ms_s


def rate_kept(rate_s: int) -> dict[str, float]:
    return {"gateway.request.cpu_rate_kept": _cpu_at_rate(rate_s, KEEPALIVE_KEPT_US)}


def rate_new(rate_s: int) -> dict[str, float]:
    return {"gateway.request.cpu_rate_new": _cpu_at_rate(rate_s, KEEPALIVE_NEW_US)}
