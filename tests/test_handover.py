"""Two processes of one gateway share its limits: at an upgrade, and where a process dies and another starts.

The platform counts both as one gateway, so the sum of what they send has to keep the rate, the burst and the
tolerance of each limited volume.
"""

from __future__ import annotations

import contextlib
import json
import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections import Counter
from dataclasses import replace
from io import BufferedIOBase
from pathlib import Path
from random import Random
from socketserver import StreamRequestHandler, ThreadingTCPServer

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rackseam.interface import Action, Refuse, Send, ShareBegins, ShareEnds
from tests.exchange import PATIENCE_S, ROOT, Discovery, free_address
from tests.exchange import SETTINGS as WIRE_SETTINGS
from tests.gateway import LIMITED, LIMITED_PLAN, MS, SETTINGS, Gateway, S

QUICK = replace(
    SETTINGS, classes=tuple(replace(c, aim_us=250 * MS, deadline_us=2 * S) for c in SETTINGS.classes)
)
EPSILON = 1e-3


class Upgrade:
    """One gateway's processes under random traffic of one limited volume; every send is noted."""

    def __init__(self, seed: int, demand_units_s: float) -> None:
        self.random = Random(seed)
        self.demand_units_s = demand_units_s
        self.now = 50 * S
        self.processes: list[Gateway] = []
        self.sizes: dict[str, float] = {}
        self.sends: list[tuple[int, float]] = []
        self.refused = 0

    def start(self, inherits: bool) -> Gateway:
        """`inherits`: the clients' socket is shared, and the process waits for its turn to accept."""
        process = Gateway(QUICK, now=self.now)
        if not inherits:
            process.do(ShareBegins())
        self.processes.append(process)
        return process

    def run(self, us: int, to: list[Gateway]) -> None:
        """Traffic to these processes; every other one only finishes what it has."""
        end = self.now + us
        while self.now < end:
            self.now += max(1, int(self.random.expovariate(self.demand_units_s / 4.0) * S))
            for process in self.processes:
                process.wait(self.now - process.now)
            target = self.random.choice(to)
            units = float(self.random.randrange(1, 8))
            name = f"q{len(self.sizes)}"
            self.sizes[name] = units
            target.ask(plan=LIMITED_PLAN, units=units, name=name, grace_us=2 * S)
            self._answer_all()

    def end(self, process: Gateway) -> None:
        self._collect(process)
        self.processes.remove(process)

    def _answer_all(self) -> None:
        for process in self.processes:
            for request in list(process.attempts):
                process.answer(request)
                del process.attempts[request]

    def _collect(self, process: Gateway) -> None:
        for at, action in process.log:
            self._note(at, action)
        process.log.clear()

    def _note(self, at: int, action: Action) -> None:
        if isinstance(action, Send):
            self.sends.append((at, self.sizes[action.request]))
        elif isinstance(action, Refuse):
            self.refused += 1

    def over_by(self) -> float:
        """The most by which the sum passed rate, burst and tolerance, in units; 0 or less: the rule holds."""
        for process in self.processes:
            self._collect(process)
        level, since, worst = LIMITED.burst_units, 50 * S, -LIMITED.tolerance_units
        for at, units in sorted(self.sends):
            filled = level + (at - since) * LIMITED.limit_units_per_s / S
            level, since = min(LIMITED.burst_units, filled) - units, at
            worst = max(worst, -level - LIMITED.tolerance_units)
        return worst


SEEDS = st.integers(0, 2**31)
DEMAND_UNITS_S = st.sampled_from((15.0, 40.0, 120.0))
SECONDS = st.floats(0.1, 8.0)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(SEEDS, DEMAND_UNITS_S, SECONDS, SECONDS)
def test_old_and_new_process_together_keep_the_limit(
    seed: int, demand_units_s: float, before_s: float, overlap_s: float
) -> None:
    fleet = Upgrade(seed, demand_units_s)
    old = fleet.start(inherits=False)
    fleet.run(int(before_s * S), [old])
    new = fleet.start(inherits=True)
    fleet.run(int(overlap_s * S), [old])  # the old process still accepts: the new one waits for its turn
    old.do(ShareEnds())
    new.do(ShareBegins())
    fleet.run(2 * S, [old, new])  # some clients still have connections to the old process
    fleet.end(old)
    fleet.run(4 * S, [new])
    assert fleet.sends
    assert fleet.over_by() <= EPSILON


@settings(derandomize=True, max_examples=40, deadline=None)
@given(SEEDS, DEMAND_UNITS_S, SECONDS, st.booleans())
def test_a_process_that_follows_a_killed_one_keeps_the_limit(
    seed: int, demand_units_s: float, before_s: float, inherits: bool
) -> None:
    fleet = Upgrade(seed, demand_units_s)
    old = fleet.start(inherits=False)
    fleet.run(int(before_s * S), [old])
    fleet.end(old)
    new = fleet.start(inherits)
    if inherits:
        new.do(ShareBegins())
    fleet.run(5 * S, [new])
    assert fleet.over_by() <= EPSILON


@pytest.mark.parametrize("seed", range(5))
def test_a_whole_share_in_both_processes_passes_the_limit(seed: int) -> None:
    """What the platform saw before shares were handed over: the check above can fail."""
    fleet = Upgrade(seed, 120.0)
    old = fleet.start(inherits=False)
    fleet.run(5 * S, [old])
    new = fleet.start(inherits=False)
    fleet.run(5 * S, [old, new])
    assert fleet.over_by() > 10.0


def test_what_a_share_that_has_ended_cannot_pay_is_refused_at_once() -> None:
    process = Gateway(QUICK)
    process.do(ShareBegins())
    for number in range(30):
        process.ask(plan=LIMITED_PLAN, units=8.0, name=f"q{number}", grace_us=2 * S)
    sent = {a.request for a in process.sends()}
    before = process.now
    process.do(ShareEnds())
    refused = {a.request for at, a in process.log if isinstance(a, Refuse) and at == before}
    assert sent | refused == {f"q{number}" for number in range(30)}
    assert refused


def test_volumes_without_a_limit_are_served_to_the_end() -> None:
    process = Gateway(QUICK)
    process.do(ShareEnds())
    process.wait(5 * S)
    process.ask(units=8.0, name="free")
    assert [a.request for a in process.sends()] == ["free"]


class LimitedNode(ThreadingTCPServer):
    """A storage node that serves at once and notes when each request's last byte came, and its units."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), NodeConnection)
        self.came: list[tuple[float, float]] = []
        self.news = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def note(self, units: float) -> None:
        with self.news:
            self.came.append((time.monotonic(), units))
            self.news.notify_all()

    def wait_for_units(self, more: float) -> None:
        """Return once so many more units have come."""
        with self.news:
            until = sum(units for _, units in self.came) + more
            done = self.news.wait_for(lambda: sum(units for _, units in self.came) >= until, PATIENCE_S)
        assert done, "no traffic reached the node"

    def over_by(self) -> float:
        """The most by which what came passed rate, burst and tolerance, in units."""
        level, since, worst = BURST_UNITS, self.came[0][0], -math.inf
        for at, units in sorted(self.came):
            level, since = min(BURST_UNITS, level + (at - since) * RATE_UNITS_S) - units, at
            worst = max(worst, -level - TOLERANCE_UNITS)
        return worst


class NodeConnection(StreamRequestHandler):
    server: LimitedNode

    def handle(self) -> None:
        while words := read_words(self.rfile):
            fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
            self.server.note(float(fields["units"]))
            self.wfile.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")


def read_words(stream: BufferedIOBase) -> list[bytes]:
    """One RESP array of bulk strings; empty at the end of the stream."""
    head = stream.readline()
    words = []
    for _ in range(int(head[1:]) if head else 0):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


class Clients:
    """Clients that ask for one limited volume without a pause, over connections that they keep."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address, self.stopped = address, threading.Event()
        self.answers: Counter[bytes] = Counter()
        self.threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(PATIENCE_S)

    def _run(self, number: int) -> None:
        random, asked = Random(number), 0
        while not self.stopped.is_set():
            with contextlib.suppress(OSError), socket.create_connection(self.address, PATIENCE_S) as sock:
                stream = sock.makefile("rb")
                while not self.stopped.is_set():
                    asked += 1
                    sock.sendall(request(number * 1_000_000 + asked, random.randrange(1, 8)))
                    if not (line := stream.readline()):
                        break  # closed with no answer: the request is sent anew
                    if line.startswith(b"$"):
                        stream.read(int(line[1:]) + 2)
                    self.answers[line[:1]] += 1


def request(number: int, units: int) -> bytes:
    fields = f"c=match-read,t=basic,d=2000,volume=00000000000000f1,units={units},shard=1,hosts=1"
    words = [b"BLK.READ", f"{number:016x}".encode(), f"{number:016x}".encode(), fields.encode()]
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


RATE_UNITS_S, BURST_UNITS = 40.0, 48.0
TOLERANCE_UNITS = (
    8.0 + 0.15 * RATE_UNITS_S
)  # the protocol: the slack grows by what the limit allows in 150 ms


class UpgradeOnLoopback(unittest.TestCase):
    def test_a_real_upgrade_under_load_keeps_the_limit(self) -> None:
        node, held = LimitedNode(), socket.create_server(("127.0.0.1", 0))
        entry = {"name": "s1", "address": "{}:{}".format(*node.server_address), "group": 1, "status": "up"}
        discovery = Discovery([{**entry, "zone": "hall-a", "type": "m", "weight": 1.0}], silent=False)
        for clean in (node.server_close, node.shutdown, held.close, discovery.server_close):
            self.addCleanup(clean)
        self.addCleanup(discovery.shutdown)
        plan = {"Name": "basic", "CeilingRate": RATE_UNITS_S, "CapDepth": BURST_UNITS, "Tolerance": 8.0}
        caps = {**WIRE_SETTINGS["Caps"], "MaxOpen": 100}
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "config.json"
        path.write_text(json.dumps({
            "listen": "{}:{}".format(*held.getsockname()),
            "discovery": "{}:{}".format(*discovery.server_address), "seed": "7",
            "known": {"index": 1, "snapshot": True, "endpoints": discovery.entries},
            "settings": {**WIRE_SETTINGS, "Caps": caps, "Grades": [plan, WIRE_SETTINGS["Grades"][1]]},
            "limits": {"memory_mb": 192, "sockets": 1024},
        }))  # fmt: skip
        old = self.start(path, held)
        clients = Clients(held.getsockname(), 8)
        self.addCleanup(clients.stop)
        node.wait_for_units(BURST_UNITS + RATE_UNITS_S)  # the burst is used up, and a second's worth
        new = self.start(path, held)
        node.wait_for_units(RATE_UNITS_S)
        old.send_signal(signal.SIGTERM)
        self.assertEqual(old.wait(PATIENCE_S), 0)
        node.wait_for_units(BURST_UNITS + RATE_UNITS_S)
        self.assertIsNone(new.poll())
        clients.stop()
        self.assertLessEqual(node.over_by(), 0.0)
        self.assertEqual(set(clients.answers) - {b"$", b"-"}, set())

    def start(self, path: Path, held: socket.socket) -> subprocess.Popen[str]:
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ |= {"GW_CONFIG": str(path), "GW_LISTEN_FD": str(held.fileno()), "GW_ADMIN": free_address()}
        program = subprocess.Popen([sys.executable, "-m", "stackrouter"], cwd=ROOT, env=environ, text=True,
                                   stderr=subprocess.PIPE, pass_fds=(held.fileno(),))  # fmt: skip
        assert program.stderr is not None
        for clean in (program.stderr.close, program.wait, program.kill):
            self.addCleanup(clean)
        self.assertIn("listening", program.stderr.readline())
        return program
