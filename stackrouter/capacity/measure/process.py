"""A real gateway process on loopback, with its CPU and memory figures from /proc (Linux)."""

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

START_S = 30.0  # a gateway that does not answer within this time counts as not started
STOP_S = 8.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
RESERVED_SOCKETS = 32  # descriptors that a gateway reserves (stackrouter/config.py)
EARLY_CLOSE_CLIENT_SHARE = 0.6 * 0.45  # part of the rest up to which idle client connections are not closed


def cpu_ms(pid: int) -> float:
    """Milliseconds of CPU that the process's first thread has used; a gateway has one thread."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


def rss_mib(pid: int) -> float:
    """Resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


def sockets_for(clients: int) -> int:
    """The limit `sockets` with which a gateway keeps so many idle client connections."""
    return RESERVED_SOCKETS + int(clients / EARLY_CLOSE_CLIENT_SHARE) + 64


class GatewayProcess:
    """A context manager: a `python -m stackrouter` process with its own configuration, stopped on exit."""

    def __init__(self, discovery: str, *, gateways: int, nodes: int = 3, clients: int = 100,
                 memory_mb: int = 2048, aim_ms: int = 400, deadline_ms: int = 2000,
                 keepalive_us: int = 15_000_000) -> None:  # fmt: skip
        self.port = free_port()
        gateway_settings = settings(Scene(gateways=gateways, nodes=max(1, nodes)), 100.0)
        for profile in gateway_settings["Profiles"]:
            profile |= {"AimUs": aim_ms * 1000, "HardLimitUs": deadline_ms * 1000}
        gateway_settings["Caps"] |= {"MaxOpen": 100_000, "KeepaliveUs": keepalive_us}
        # Buckets start nearly empty, as after a restart of all gateways, so the measured plan has no limit.
        gateway_settings["Grades"] = [{"Name": "basic", "Shares": 1.0, "UsualRate": 100.0, "Price": 1.0}]
        self._config = {
            "name": "measured",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "7",
            "limits": {"memory_mb": memory_mb, "sockets": sockets_for(clients)},
            "settings": {**gateway_settings, "Position": 0},
        }
        self._folder = tempfile.TemporaryDirectory(prefix="stackrouter-capacity-")
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def __enter__(self) -> GatewayProcess:
        folder = Path(self._folder.name)
        file = folder / "config.json"
        file.write_text(json.dumps(self._config), encoding="utf-8")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        with (folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
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
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def connect(self) -> socket.socket:
        """Open a client connection."""
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
        deadline = time.monotonic() + START_S
        while not self._answers_ping():
            assert self._process is not None
            if self._process.poll() is not None or time.monotonic() > deadline:
                raise MeasureError(self.log().strip().splitlines()[-1:] or "the gateway did not start")
            gevent.sleep(0.02)

    def _answers_ping(self) -> bool:
        try:
            with self.connect() as sock:
                return ping(sock)
        except OSError:
            return False


def ping(sock: socket.socket) -> bool:
    """Send PING; whether the answer is PONG."""
    sock.sendall(PING)
    return bool(sock.recv(16) == PONG)
