"""Fixtures for pushed lists: a real gateway, a scripted discovery agent and storage nodes on loopback."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from types import TracebackType
from typing import Any
from urllib.parse import parse_qs, urlparse

from tests.exchange import PATIENCE_S, ROOT, SETTINGS, free_address

SERVED = b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n"
DEADLINE_MS = 1500


class Node:
    """A node that answers each command at once and records its arrival time."""

    def __init__(self, name: str, shard: int) -> None:
        self.name, self.shard, self.times = name, shard, list[float]()
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "{}:{}".format(*self._sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._sock.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                self.times.append(time.monotonic())
                sock.sendall(SERVED)

    def entry(self, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
        return {"name": self.name, "address": self.address, "zone": "hall-a", "type": "m",
                "group": self.shard, "status": status, "weight": 1.0, "since_ms": since_ms}  # fmt: skip

    def close(self) -> None:
        self._sock.close()


@dataclass(slots=True)
class AgentAnswer:
    """The agent's answer to a call: a list, after a delay; `listing` None: it never answers."""

    listing: dict[str, Any] | None
    delay_s: float = 0.0


@dataclass(slots=True)
class Call:
    """A call to the agent: when it came, the version asked about (None: whole list), and its wait."""

    at: float
    index: int | None
    wait_ms: int


def listing(index: int, entries: list[dict[str, Any]], whole: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": whole, "endpoints": entries}


class Agent(ThreadingHTTPServer):
    """A discovery agent that answers each call with what `script` returns.

    `news` can wake scripts that wait for changes.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, script: Callable[[Agent, Call], AgentAnswer]) -> None:
        super().__init__(("127.0.0.1", 0), _AgentHandler)
        self.script, self.calls, self.news = script, list[Call](), threading.Condition()
        self.address = "{}:{}".format(*self.server_address)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_: Any) -> None:
        """Ignore callers that have disconnected."""


class _AgentHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Agent

    def do_GET(self) -> None:  # noqa: N802
        query = parse_qs(urlparse(self.path).query)
        index = query.get("index")
        call = Call(time.monotonic(), int(index[0]) if index else None, int(query.get("wait", ["0"])[0]))
        self.server.calls.append(call)
        answer_to_send = self.server.script(self.server, call)
        time.sleep(answer_to_send.delay_s)
        if answer_to_send.listing is None:
            time.sleep(PATIENCE_S)
            return
        body = json.dumps(answer_to_send.listing).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        pass


@dataclass(slots=True)
class GatewayAnswer:
    """The first line of a gateway's answer, and when it came."""

    at: float
    line: bytes


@dataclass
class Gateway:
    """A real gateway as a context manager. `stopped_s`: keep the process stopped (SIGSTOP) at its start."""

    agent: Agent
    known: dict[str, Any]
    stopped_s: float = 0.0
    extra_settings: dict[str, Any] = field(default_factory=dict)
    preload: str = ""  # Python code that the process runs before the program

    def __enter__(self) -> Gateway:
        self._folder = tempfile.TemporaryDirectory()
        self.listen = free_address()
        path = Path(self._folder.name) / "config.json"
        path.write_text(json.dumps({
            "listen": self.listen, "discovery": self.agent.address, "seed": "7", "known": self.known,
            "settings": {**SETTINGS, **self.extra_settings}, "limits": {"memory_mb": 192, "sockets": 512},
        }))  # fmt: skip
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        self.log = (Path(self._folder.name) / "log").open("w+")
        start = f"{self.preload}\nimport sys, stackrouter.__main__ as p\nsys.exit(p.main())"
        self.started_at = time.monotonic()
        self.program = subprocess.Popen(
            [sys.executable, "-c", start], cwd=ROOT, env=environ | {"GW_CONFIG": str(path)}, stderr=self.log
        )
        if self.stopped_s:
            self.program.send_signal(signal.SIGSTOP)
            time.sleep(self.stopped_s)
            self.program.send_signal(signal.SIGCONT)
        return self

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.program.kill()
        self.program.wait()
        self.log.close()
        self._folder.cleanup()

    def connect(self) -> socket.socket:
        """Connect as soon as the gateway listens."""
        host, port = self.listen.split(":")
        until = time.monotonic() + PATIENCE_S
        while True:
            try:
                return socket.create_connection((host, int(port)), PATIENCE_S)
            except OSError:
                assert self.program.poll() is None and time.monotonic() < until, "the gateway never listened"
                time.sleep(0.001)

    def counters(self) -> dict[str, int]:
        """End the process with SIGTERM and return the counters it logs."""
        self.program.send_signal(signal.SIGTERM)
        self.program.wait(PATIENCE_S)
        self.log.seek(0)
        lines = [line for line in self.log if line.startswith("{")]
        return dict(json.loads(lines[-1]))

    def log_text(self) -> str:
        self.log.flush()
        return Path(self.log.name).read_text()


def command(number: int, shard: int = 1) -> bytes:
    fields = f"c=match-read,t=priority,d={DEADLINE_MS},volume=00000000000000f1,units=1,shard={shard},hosts=1"
    words = (b"BLK.READ", b"%016x" % number, b"%x" % (number + 1), fields.encode())
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


class Client:
    """One connection to a gateway, for one request at a time."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._requests_sent = sock, 0
        sock.settimeout(PATIENCE_S)
        self._file = sock.makefile("rb")

    def ask(self, shard: int = 1) -> GatewayAnswer:
        """Send one request; return the first line of its final answer, empty if the connection ended."""
        self._requests_sent += 1
        try:
            self._sock.sendall(command(self._requests_sent, shard))
            line = self._file.readline()
            if line.startswith(b"$") and line != b"$-1\r\n":
                self._file.readline()
        except OSError:
            line = b""
        return GatewayAnswer(time.monotonic(), line)


def send_requests(
    gateway: Gateway, until: float, every_s: float = 0.005, shard: int = 1
) -> list[GatewayAnswer]:
    """Send requests one after another until `until`, on one connection or, when it ends, on a new one."""
    answers: list[GatewayAnswer] = []
    while time.monotonic() < until:
        with gateway.connect() as sock:
            client = Client(sock)
            while time.monotonic() < until:
                answers.append(client.ask(shard))
                if not answers[-1].line:
                    break
                time.sleep(every_s)
    return answers
