"""Test rig for a gateway on an inherited listening socket that is started, replaced, stopped and killed.

Runs real processes on loopback, a storage node that records the requests it receives, and clients that
request more of limited volumes than the limits allow. Whether limits held is determined from the node's
records.
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
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from io import BufferedIOBase
from pathlib import Path
from random import Random
from socketserver import StreamRequestHandler, ThreadingTCPServer
from types import TracebackType
from typing import IO

from tests.exchange import PATIENCE_S, ROOT, SETTINGS, Discovery, free_address

RATE_UNITS_S = 40.0
BURST_UNITS = 20.0
TOLERANCE_UNITS = 8.0
# By the protocol, the slack on sockets is the tolerance plus what the limit allows in 150 ms.
SLACK_UNITS = TOLERANCE_UNITS + 0.15 * RATE_UNITS_S
VOLUMES = ("00000000000000f1", "00000000000000f2")
CLIENTS = 32
CLIENT_PAUSE_S = 0.02
MAX_UNITS = 7
DEADLINE_MS = 2000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request whose last byte has arrived at a node. `at`: monotonic time in seconds."""

    at: float
    volume: str
    units: float


def lowest_level(arrivals: Iterable[Arrival], volume: str) -> float:
    """The lowest level of the volume's store, full at first and refilled to the burst at the limit's rate."""
    level = lowest = BURST_UNITS
    since = -math.inf
    for arrival in sorted((a for a in arrivals if a.volume == volume), key=lambda a: a.at):
        filled = level + (arrival.at - since) * RATE_UNITS_S
        level, since = min(BURST_UNITS, filled) - arrival.units, arrival.at
        lowest = min(lowest, level)
    return lowest


def read_words(stream: BufferedIOBase) -> list[bytes]:
    """Read one RESP array of bulk strings; empty at the end of the stream."""
    head = stream.readline()
    words = []
    for _ in range(int(head[1:]) if head else 0):
        size = int(stream.readline()[1:])
        words.append(stream.read(size + 2)[:-2])
    return words


class _NodeConnection(StreamRequestHandler):
    server: RecordingNode

    def handle(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            while words := read_words(self.rfile):
                self.server.record(dict(pair.split("=", 1) for pair in words[3].decode().split(",")))
                self.wfile.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")


class RecordingNode(ThreadingTCPServer):
    """A storage node that answers immediately and records each request's volume and units."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _NodeConnection)
        self.arrivals: list[Arrival] = []
        self._changed = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def record(self, fields: dict[str, str]) -> None:
        with self._changed:
            self.arrivals.append(Arrival(time.monotonic(), fields["volume"], float(fields["units"])))
            self._changed.notify_all()

    def units(self) -> float:
        return sum(arrival.units for arrival in self.arrivals)

    def wait_for_units(self, more: float, patience_s: float = PATIENCE_S) -> bool:
        """Wait until so many more units have arrived; False if they have not within `patience_s`."""
        with self._changed:
            until = self.units() + more
            return self._changed.wait_for(lambda: self.units() >= until, patience_s)


class GreedyClients:
    """Clients that request limited volumes continuously, each over a connection kept until it is closed."""

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self._address, self._seed, self._stopped = address, seed, threading.Event()
        self.answers: Counter[bytes] = Counter()
        self._threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(PATIENCE_S)

    def _run(self, number: int) -> None:
        random, requests_sent = Random(f"{self._seed} {number}"), 0
        while not self._stopped.wait(CLIENT_PAUSE_S):
            with contextlib.suppress(OSError), socket.create_connection(self._address, PATIENCE_S) as sock:
                stream = sock.makefile("rb")
                while not self._stopped.wait(CLIENT_PAUSE_S):
                    requests_sent += 1
                    volume = random.choice(VOLUMES)
                    units = random.randint(1, MAX_UNITS)
                    sock.sendall(read_command(number * 1_000_000 + requests_sent, volume, units))
                    if not (line := stream.readline()):
                        break  # closed without an answer: the next request uses a new connection
                    if line.startswith(b"$"):
                        stream.read(int(line[1:]) + 2)
                    self.answers[line[:1]] += 1


def read_command(number: int, volume: str, units: int) -> bytes:
    fields = f"c=match-read,t=basic,d={DEADLINE_MS},volume={volume},units={units},shard=1,hosts=1"
    words = [b"BLK.READ", f"{number:016x}".encode(), f"{number:016x}".encode(), fields.encode()]
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class GatewayProcess:
    """One process of the gateway. `lines`: lines logged so far."""

    def __init__(self, command: Sequence[str], environ: dict[str, str], descriptor: int) -> None:
        self.program = subprocess.Popen(command, cwd=ROOT, env=environ, text=True, stderr=subprocess.PIPE,
                                        pass_fds=(descriptor,))  # fmt: skip
        assert self.program.stderr is not None
        self.lines: list[str] = []
        self._changed = threading.Condition()
        self._reader = threading.Thread(target=self._read, args=(self.program.stderr,), daemon=True)
        self._reader.start()

    def _read(self, stream: IO[str]) -> None:
        for line in stream:
            with self._changed:
                self.lines.append(line)
                self._changed.notify_all()

    def wait_for_line(self, text: str, patience_s: float = PATIENCE_S) -> None:
        with self._changed:
            found = self._changed.wait_for(lambda: any(text in line for line in self.lines), patience_s)
        assert found, f"{text!r} was not logged: {''.join(self.lines)}"

    def signal(self, number: signal.Signals) -> None:
        self.program.send_signal(number)

    def end(self) -> int:
        """Send SIGTERM as at an upgrade; returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.program.wait(PATIENCE_S)

    def close(self) -> None:
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()
        self._reader.join(PATIENCE_S)
        assert self.program.stderr is not None
        self.program.stderr.close()

    def counters(self) -> dict[str, int]:
        """The counters printed at its exit; empty if there are none."""
        self._reader.join(PATIENCE_S)
        for line in reversed(self.lines):
            if line.startswith("{"):
                return dict(json.loads(line))
        return {}


class UpgradeRig:
    """Context manager for one gateway's listening socket, log folder, storage node and clients."""

    def __init__(self, seed: int = 1) -> None:
        self.node = RecordingNode()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: tuple[str, int] = self._listener.getsockname()
        node = {"name": "s1", "address": "{}:{}".format(*self.node.server_address), "group": 1}
        node |= {"status": "up", "zone": "hall-a", "type": "m", "weight": 1.0}
        self._discovery = Discovery([node], silent=False)
        self._scratch = tempfile.TemporaryDirectory(prefix="stackrouter-upgrade-")
        self.folder = Path(self._scratch.name) / "tmp"
        self.folder.mkdir()
        self.config = Path(self._scratch.name) / "config.json"
        self.config.write_text(json.dumps(self._config()))
        self.processes: list[GatewayProcess] = []
        self.clients = GreedyClients(self.address, seed)

    def _config(self) -> dict[str, object]:
        plan = {"Name": "basic", "CeilingRate": RATE_UNITS_S, "CapDepth": BURST_UNITS,
                "Tolerance": TOLERANCE_UNITS, "UsualRate": RATE_UNITS_S}  # fmt: skip
        caps = {**SETTINGS["Caps"], "MaxOpen": 400}
        return {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self._discovery.server_address),
            "seed": "7",
            "known": {"index": 1, "snapshot": True, "endpoints": self._discovery.entries},
            "settings": {**SETTINGS, "Caps": caps, "Grades": [plan, SETTINGS["Grades"][1]]},
            "limits": {"memory_mb": 192, "sockets": 1024},
        }

    def __enter__(self) -> UpgradeRig:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.clients.stop()
        for process in self.processes:
            process.close()
        self._discovery.shutdown()
        self._discovery.server_close()
        self.node.shutdown()
        self.node.server_close()
        self._listener.close()
        self._scratch.cleanup()

    def start(
        self, folder: Path | None = None, module: str = "stackrouter", extra: dict[str, str] | None = None
    ) -> GatewayProcess:
        """Start another process without waiting until it is ready."""
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "SOAK_"))}
        environ |= {"GW_CONFIG": str(self.config), "GW_LISTEN_FD": str(self._listener.fileno()),
                    "GW_ADMIN": free_address(), "TMPDIR": str(folder or self.folder)}  # fmt: skip
        environ |= extra or {}
        process = GatewayProcess([sys.executable, "-m", module], environ, self._listener.fileno())
        self.processes.append(process)
        return process

    def start_ready(self, folder: Path | None = None) -> GatewayProcess:
        """Start another process and wait until it listens."""
        process = self.start(folder)
        process.wait_for_line("listening on")
        return process

    def lowest_level(self) -> float:
        """The lowest level of the protocol's store over all volumes, in units; 0 is the limit."""
        arrivals = list(self.node.arrivals)
        return min(lowest_level(arrivals, volume) for volume in VOLUMES)

    def served_share(self, began: float, ended: float) -> float:
        """Units that arrived in the interval, as a share of what the limits allow."""
        units = sum(a.units for a in list(self.node.arrivals) if began <= a.at < ended)
        return units / (RATE_UNITS_S * len(VOLUMES) * (ended - began))
