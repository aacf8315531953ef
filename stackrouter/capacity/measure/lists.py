"""Measures how a gateway applies the whole list of storage nodes or one changed entry, by number of nodes."""

from __future__ import annotations

import json
import random
import time
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from stackrouter.capacity import targets
from stackrouter.capacity.measure.process import GatewayProcess, ping
from stackrouter.errors import MeasureError

READ_TIMEOUT_S = 20.0  # a list that is not read within this time is an error
SETTLE_S = 0.4
APPLY_S = 1.0  # after the list was read: the gateway may still be applying it
PING_EVERY_S = 0.002
CHANGES = 60
MIN_NODE_AGE_MS = 86_400_000  # nodes started at least a day ago, so none is cold

Item = dict[str, Any]


def endpoints(nodes: int) -> list[Item]:
    """Discovery entries of so many warm nodes, one shard a node, with random names and addresses."""
    rng, now_ms = random.Random(7), time.time_ns() // 1_000_000
    return [
        {"name": f"s-{rng.getrandbits(32):08x}",
         "address": f"10.{rng.randrange(256)}.{rng.randrange(256)}.{i % 256}:{rng.randrange(7000, 8000)}",
         "zone": f"hall-{'abc'[i % 3]}", "type": "std", "group": i, "status": "up", "weight": 1.0,
         "since_ms": now_ms - rng.randrange(MIN_NODE_AGE_MS, 30 * MIN_NODE_AGE_MS)}
        for i in range(nodes)
    ]  # fmt: skip


def body(index: int, snapshot: bool, items: list[Item]) -> bytes:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": items}).encode()


class ListServer:
    """A discovery server: answers with an empty list, then with the whole list once `release` is set."""

    def __init__(self, list_body: bytes) -> None:
        self.release, self.list_read = Event(), Event()
        self._answers = [body(1, True, []), list_body]
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0.1)

    def _serve(self, sock: socket.socket, _: object) -> None:
        while sock.recv(4096):
            if len(self._answers) == 1:
                self.release.wait()
            if not self._answers:
                self.list_read.set()  # the watch that follows the whole list shows that the list was read
                Event().wait()
            answer = self._answers.pop(0)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)


class PingProbe:
    """Sends PING on one connection every `PING_EVERY_S`; `longest_ms`: the longest response time."""

    def __init__(self, sock: socket.socket) -> None:
        self.longest_ms, self._sock = 0.0, sock
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            began = time.perf_counter()
            if not ping(self._sock):
                raise MeasureError("the gateway stopped answering PING")
            self.longest_ms = max(self.longest_ms, 1000 * (time.perf_counter() - began))
            gevent.sleep(PING_EVERY_S)


def whole_list(nodes: int) -> dict[str, float]:
    """Send a whole list to a real gateway process while a client sends PING."""
    list_body = body(2, True, endpoints(nodes))
    server = ListServer(list_body)
    with GatewayProcess(server.address, gateways=targets.GATEWAYS, nodes=nodes) as gateway:
        empty_mib = gateway.rss_mib()
        probe = PingProbe(gateway.connect())
        gevent.sleep(SETTLE_S)
        idle_began, idle_ms = time.perf_counter(), gateway.cpu_ms()
        gevent.sleep(SETTLE_S)
        probe.longest_ms = 0.0
        began, before_ms = time.perf_counter(), gateway.cpu_ms()
        idle_ms_s = (before_ms - idle_ms) / (began - idle_began)
        server.release.set()
        if not server.list_read.wait(READ_TIMEOUT_S):
            raise MeasureError(f"the gateway did not read the list: {gateway.log()[-200:]}")
        gevent.sleep(APPLY_S)
        used_ms = gateway.cpu_ms() - before_ms - idle_ms_s * (time.perf_counter() - began)
        probe.stop()
        mib = gateway.rss_mib()
    server.stop()
    return {
        "gateway.list.bytes": len(list_body) / 1024,
        "gateway.list.whole_cpu": used_ms,
        "gateway.list.longest_hold": probe.longest_ms,
        "gateway.memory.nodes": mib,
        "gateway.memory.list": mib - empty_mib,
    }


def changed_entry(nodes: int) -> dict[str, float]:
    """Measure list reading, engine and decision module without sockets; `CHANGES` times one entry changes."""
    from rackseam.interface import Plan, RequestClass, Settings
    from stackrouter.core.counters import Counters
    from stackrouter.core.engine import Engine, clock_us
    from stackrouter.membership.listing import Listing
    from stackrouter.net.discovery import Discovery

    settings = Settings(
        classes=(RequestClass(aim_us=400_000, deadline_us=2_000_000),), plans=(Plan(),),
        gateways=targets.GATEWAYS, cold_share=0.17, cold_us=16_000_000, cold_bears_units=14.0,
        fall_us=3_000_000, tip_multiple=3.0,
    )  # fmt: skip
    engine = Engine(settings, 1000, Counters())
    listing = Listing(["hall-a", "hall-b", "hall-c"], ["std"], clock_us())
    discovery = Discovery(("127.0.0.1", 1), listing, Counters(), engine.update_nodes, known=0, pushed=True)

    def settled() -> None:
        while not engine.idle():
            engine.process_events()

    items = endpoints(nodes)
    discovery.apply_relayed({"index": 1, "snapshot": True, "endpoints": items})
    settled()
    longest, began = 0.0, time.process_time()
    for n in range(CHANGES):
        item = items[n * nodes // CHANGES]
        item["status"] = "up" if item["status"] == "draining" else "draining"
        answer = json.loads(body(n + 2, False, [item]))
        started = time.perf_counter()
        discovery.apply_relayed(answer)
        settled()
        longest = max(longest, time.perf_counter() - started)
    cpu_s = time.process_time() - began
    if len(engine.nodes) != nodes:
        raise MeasureError(f"{len(engine.nodes)} nodes are known instead of {nodes}")
    return {"gateway.list.change_cpu": 1000 * cpu_s / CHANGES, "gateway.list.change_hold": 1000 * longest}
