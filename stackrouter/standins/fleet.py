"""A whole installation on loopback: gateways in separate processes, everything else in this one."""

from __future__ import annotations

import json
import os
import signal
import socket as plain
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent

from stackrouter.errors import StartError
from stackrouter.standins.clients import StandinClients, VolumeLoad
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.node import NodeBehavior, StandinNode

ZONES = ("hall-a", "hall-b", "hall-c")
START_S = 15.0
STOP_S = 8.0
NODE_UNITS_PER_S = 250.0  # approximate capacity of a node with the default NodeBehavior


@dataclass(frozen=True, slots=True)
class Scene:
    """The installation and its load.

    `noisy`: basic, priority, writes or none; `burst`: its begin and end in seconds from the start.
    """

    gateways: int = 2
    nodes: int = 3
    seed: int = 1
    load: float = 0.3
    noisy: str = "basic"
    burst: tuple[float, float] = (4.0, 12.0)
    edge: str = ""  # text of the operator's file; {gateway} is replaced by the gateway's name


def settings(scene: Scene, usual: float) -> dict[str, Any]:
    """The platform's settings as in its configuration file. `usual`: the basic plan's rate in units/s."""
    profile = {"AimUs": 400_000, "KeyTtlUs": 3_000_000, "Group": "cell"}
    return {
        "Balancers": scene.gateways,
        "Caps": {
            "Cancel": True,
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 15_000_000,
            "MaxAttempts": 3,
            "MaxOpen": 4000,
            "MaxRetryAfterUs": 2_000_000,
        },
        "FamilyInfo": {
            "ClassWrites": [False, True],
            "ColdBears": 60.0,
            "MaxUnits": 8,
            "MeanUnits": 2.0,
            "MeterUs": 1_000_000,
            "Shards": scene.nodes,
        },
        "Feedback": {"Names": ["inflight"], "Source": "piggyback"},
        "Grades": [
            {
                "Name": "basic",
                "Shares": 1.0,
                "FloorRate": usual / 2,
                "CeilingRate": 6 * usual,
                "CapDepth": 8 * usual,
                "Tolerance": 8.0,
                "UsualRate": usual,
                "Price": 1.0,
            },
            {
                "Name": "priority",
                "Shares": 3.0,
                "FloorRate": 1.6 * usual,
                "UsualRate": 2 * usual,
                "Price": 1.0,
            },
        ],
        "Kinds": ["std"],
        "Obligations": {"AnswerSlackUs": 8000, "DrainGraceUs": 250_000},
        "Profiles": [
            {**profile, "Name": "match-read", "Effect": "safe", "HardLimitUs": 2_000_000, "Gain": 3.0},
            {**profile, "Name": "turn-write", "Effect": "keyed", "HardLimitUs": 3_000_000, "Gain": 2.0},
        ],
        "StepUs": 2000,
        "Zones": list(ZONES),
    }


def volume_loads(scene: Scene) -> tuple[float, list[VolumeLoad], str | None]:
    """The basic plan's usual rate in units/s, every volume's load, and the noisy volume or None."""
    count = 3 * scene.nodes
    # One in three volumes has twice the usual rate.
    usual = NODE_UNITS_PER_S * scene.load * scene.nodes / (count * 4 / 3)
    volumes: list[VolumeLoad] = []
    for i in range(count):
        plan = "priority" if i % 3 == 2 else "basic"
        shards = tuple((i + j) % scene.nodes for j in range(1 if plan == "basic" else min(2, scene.nodes)))
        hosts = tuple(range(scene.gateways)) if i % 2 else (i % scene.gateways,)
        rate = usual * (2 if plan == "priority" else 1)
        volumes.append(VolumeLoad(f"{0xb0000000 + i:016x}", plan, rate, hosts, shards))
    if scene.noisy == "none":
        return usual, volumes, None
    plan = "basic" if scene.noisy == "basic" else "priority"
    noisy_index = next(
        i for i, each in enumerate(volumes) if each.plan == plan and (plan == "basic" or i > 2)
    )
    chosen = volumes[noisy_index]
    times = 9.0 if plan == "basic" else 8.0
    share = 1.0 if scene.noisy == "writes" else chosen.write_share
    hosts = tuple(range(scene.gateways))
    volumes[noisy_index] = VolumeLoad(
        chosen.volume, chosen.plan, chosen.units_per_s, hosts, chosen.shards, share, (times, *scene.burst)
    )
    return usual, volumes, chosen.volume


def free_port() -> int:
    with plain.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class StandinFleet:
    """The running installation; a context manager that stops everything on exit."""

    def __init__(self, scene: Scene, folder: Path, behavior: NodeBehavior | None = None) -> None:
        self.scene, self.folder = scene, folder
        usual, self.volume_loads, self.noisy = volume_loads(scene)
        usual_units_per_s = {
            each.volume: usual * (2 if each.plan == "priority" else 1) for each in self.volume_loads
        }
        behavior = behavior or NodeBehavior()
        self.nodes = [
            StandinNode(f"s-{i + 1}", i, behavior, scene.seed, usual_units_per_s) for i in range(scene.nodes)
        ]
        entries = [entry(n.name, n.address, n.shard, ZONES[i % 3], "std") for i, n in enumerate(self.nodes)]
        self.discovery = StandinDiscovery(entries)
        self.ports = [free_port() for _ in range(scene.gateways)]
        self.settings = settings(scene, usual)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.clients: StandinClients | None = None

    def __enter__(self) -> StandinFleet:
        try:
            self.processes = [self._start(i) for i in range(self.scene.gateways)]
            self._wait_until_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        if self.clients is not None:
            self.clients.stop()
        for program in self.processes:
            if program.poll() is None:
                program.send_signal(signal.SIGTERM)
        give_up_at = time.monotonic() + STOP_S
        while any(p.poll() is None for p in self.processes) and time.monotonic() < give_up_at:
            gevent.sleep(0.02)
        for program in self.processes:
            if program.poll() is None:
                program.kill()
                program.wait()
        for node in self.nodes:
            node.stop()
        self.discovery.stop()

    def start_clients(self) -> StandinClients:
        """Start the clients' load."""
        addresses = [("127.0.0.1", port) for port in self.ports]
        self.clients = StandinClients(self.volume_loads, addresses, self.scene.seed)
        return self.clients

    def log_of(self, gateway: int) -> Path:
        return self.folder / f"g{gateway + 1}.log"

    def _start(self, i: int) -> subprocess.Popen[bytes]:
        name = f"g{i + 1}"
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.ports[i]}",
            "discovery": self.discovery.address,
            "seed": f"{self.scene.seed * 64 + i:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(),
            "settings": {**self.settings, "Position": i},
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(config), encoding="utf-8")
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ["GW_CONFIG"] = str(file)
        if self.scene.edge:
            edge = self.folder / f"{name}.txtpb"
            edge.write_text(self.scene.edge.replace("{gateway}", name), encoding="utf-8")
            environ["GW_EDGE"] = str(edge)
        # A separate session: Ctrl-C in the terminal reaches only this process, which then stops the gateways.
        with self.log_of(i).open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "stackrouter"],
                env=environ,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def _wait_until_ready(self) -> None:
        give_up_at = time.monotonic() + START_S
        for i, port in enumerate(self.ports):
            while not _answers_ping(port):
                if self.processes[i].poll() is not None or time.monotonic() > give_up_at:
                    raise StartError(f"g{i + 1}: {self.log_of(i).read_text().strip() or 'did not start'}")
                gevent.sleep(0.02)


def _answers_ping(port: int) -> bool:
    from gevent import socket

    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return bool(sock.recv(16) == b"+PONG\r\n")
    except OSError:
        return False
