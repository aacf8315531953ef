"""A real gateway process on loopback to measure from outside, and what the kernel says of it (Linux)."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket

from stackrouter.errors import MeasureError
from stackrouter.standins.fleet import Scene, free_port, settings

START_S = 30.0  # a gateway that does not answer within this has not started
STOP_S = 8.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
SPARE_SOCKETS = 32  # descriptors that a gateway keeps back (stackrouter/config.py)
CLIENT_PART = 0.6 * 0.45  # part of the rest up to which resting client connections are not closed


def cpu_ms(pid: int) -> float:
    """Milliseconds of CPU that the process's first thread has used; a gateway has one thread."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def rss_mib(pid: int) -> float:
    """Resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


def sockets_for(clients: int) -> int:
    """The limit `sockets` of a gateway that keeps so many resting client connections."""
    return SPARE_SOCKETS + int(clients / CLIENT_PART) + 64


class GatewayProcess:
    """Use as a context: `python -m stackrouter` with a configuration of its own; it ends on the way out."""

    def __init__(self, discovery: str, *, gateways: int, nodes: int = 3, clients: int = 100,
                 memory_mb: int = 2048, aim_ms: int = 400, deadline_ms: int = 2000,
                 keepalive_us: int = 15_000_000) -> None:  # fmt: skip
        self.port = free_port()
        told = settings(Scene(gateways=gateways, nodes=max(1, nodes)), 100.0)
        for profile in told["Profiles"]:
            profile |= {"AimUs": aim_ms * 1000, "HardLimitUs": deadline_ms * 1000}
        told["Caps"] |= {"MaxOpen": 100_000, "KeepaliveUs": keepalive_us}
        # Over a restart of all gateways a bucket starts nearly empty; what is measured here has no limits.
        told["Grades"] = [{"Name": "basic", "Shares": 1.0, "UsualRate": 100.0, "Price": 1.0}]
        self._config = {
            "name": "measured",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "7",
            "limits": {"memory_mb": memory_mb, "sockets": sockets_for(clients)},
            "settings": {**told, "Position": 0},
        }
        self._folder = tempfile.TemporaryDirectory(prefix="stackrouter-capacity-")
        self._program: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self._program is not None
        return self._program.pid

    def __enter__(self) -> GatewayProcess:
        folder = Path(self._folder.name)
        file = folder / "config.json"
        file.write_text(json.dumps(self._config), encoding="utf-8")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        with (folder / "log").open("wb") as log:
            self._program = subprocess.Popen(
                [sys.executable, "-m", "stackrouter"], env={**environ, "GW_CONFIG": str(file)},
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        try:
            self._await_start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        program = self._program
        if program is not None and program.poll() is None:
            program.send_signal(signal.SIGTERM)
            try:
                program.wait(STOP_S)
            except subprocess.TimeoutExpired:
                program.kill()
                program.wait()
        self._folder.cleanup()

    def connect(self) -> socket.socket:
        """A client's connection."""
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=START_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def log(self) -> str:
        return (Path(self._folder.name) / "log").read_text(encoding="utf-8", errors="replace")

    def cpu_ms(self) -> float:
        return cpu_ms(self.pid)

    def rss_mib(self) -> float:
        return rss_mib(self.pid)

    def _await_start(self) -> None:
        until = time.monotonic() + START_S
        while not self._answers():
            assert self._program is not None
            if self._program.poll() is not None or time.monotonic() > until:
                raise MeasureError(self.log().strip().splitlines()[-1:] or "the gateway did not start")
            gevent.sleep(0.02)

    def _answers(self) -> bool:
        try:
            with self.connect() as sock:
                return ping(sock)
        except OSError:
            return False


def ping(sock: socket.socket) -> bool:
    """One PING and its answer."""
    sock.sendall(PING)
    return bool(sock.recv(16) == PONG)
