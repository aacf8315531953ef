"""Test rig of a control plane on loopback: replicas, gateways, links between voters, raw connections."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import socket

from stackrouter.controlplane.codec import MAX_TO_GATEWAY_BYTES, FrameDecoder, encode
from stackrouter.controlplane.frames_pb2 import Frame, Heartbeat, Hello
from stackrouter.fleet.ports import Ports
from stackrouter.fleet.proxy import Link
from stackrouter.fronts.platform import resp
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.fleet import Scene, settings, volume_loads
from stackrouter.standins.node import NodeBehavior, StandinNode

NODES = 4
TOUCH_MS, DRIFT_MS, AFTER_MS, ELECTION_MS = 1000, 100, 1500, 400
VALID_S = (TOUCH_MS - DRIFT_MS) / 1000
WAIT_S = 20.0
STOP_S = 5.0
CALL_S = 2.0
READ_S = 0.3


class ControlGroup:
    """Context manager that stops all processes on exit. Voters are c1, c2, ...; `l1` observes them; gateways
    are g1, g2, ... with `on_loss` by name, "refuse" by default."""

    def __init__(self, folder: Path, voters: int, gateways: int, observer: bool = False,
                 on_loss: dict[str, str] | None = None) -> None:  # fmt: skip
        self.folder, self._on_loss = folder, on_loss or {}
        self.voters = [f"c{i + 1}" for i in range(voters)]
        self.replicas = [*self.voters, *(["l1"] if observer else [])]
        self.gateways = [f"g{i + 1}" for i in range(gateways)]
        self._ports = Ports()
        names = [*self.replicas, *self.gateways]
        self.listens = {name: self._ports.allocate() for name in names}
        self.admins = {name: self._ports.allocate() for name in names}
        self._peers = {name: f"127.0.0.1:{self._ports.allocate()}" for name in self.voters}
        self.scene = Scene(gateways, NODES, 1, 0.1, "none")
        self.usual, volumes, _ = volume_loads(self.scene)
        sized = {h.volume: self.usual * 2 for h in volumes}
        self.nodes = [StandinNode(f"s-{i + 1}", i, NodeBehavior(), 1, sized) for i in range(NODES)]
        self.discovery = StandinDiscovery([entry(n.name, n.address, n.shard, "a", "std") for n in self.nodes])
        self._links: dict[tuple[str, str], Link] = {}
        for here, address in self._peers.items():
            for there, other in self._peers.items():
                if address > other:  # the library connects from the higher address (as text) to the lower
                    host, _, port = other.rpartition(":")
                    self._links[here, there] = Link((host, int(port)), Random(1))
        self.programs: dict[str, subprocess.Popen[bytes]] = {}
        self._counter = 0

    def __enter__(self) -> ControlGroup:
        for name in [*self.replicas, *self.gateways]:
            self.start(name)
        try:
            self.settle()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.terminate()
        until = time.monotonic() + STOP_S
        while any(p.poll() is None for p in self.programs.values()) and time.monotonic() < until:
            gevent.sleep(0.02)
        for program in self.programs.values():
            if program.poll() is None:
                program.kill()
            program.wait()
        for link in self._links.values():
            link.close()
        self._ports.close()
        self.discovery.stop()
        for node in self.nodes:
            node.stop()

    # Processes.

    def start(self, name: str) -> None:
        """Start or restart a replica or a gateway."""
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        file = self.folder / f"{name}.txtpb"
        file.write_text(self._gateway_file(name) if name in self.gateways else self._replica_file(name))
        command = [sys.executable, "-m", "stackrouter.controlplane.process", str(file)]
        if name in self.gateways:
            config = self.folder / f"{name}.json"
            config.write_text(json.dumps(self._config(name)))
            environ |= {"GW_CONFIG": str(config), "GW_EDGE": str(file)}
            command = [sys.executable, "-m", "stackrouter"]
        with self.log(name).open("ab") as log:
            self.programs[name] = subprocess.Popen(command, env=environ, stdout=log, stderr=log)

    def kill(self, name: str) -> None:
        """Kill a process, as with `kill -9`."""
        self.programs[name].kill()
        self.programs[name].wait()

    def freeze(self, name: str, is_frozen: bool) -> None:
        """Pause a process with SIGSTOP, or resume it."""
        self.programs[name].send_signal(signal.SIGSTOP if is_frozen else signal.SIGCONT)

    def log(self, name: str) -> Path:
        """The log file of a process."""
        return self.folder / f"{name}.log"

    def cut_off(self, voter: str, is_cut: bool) -> None:
        """Cut a voter off from the other voters only, or reconnect it."""
        for pair, link in self._links.items():
            if voter in pair:
                link.to_target.cut(is_cut)
                link.from_target.cut(is_cut)

    # Calls to the processes.

    def call(self, name: str, line: str) -> str:
        """Call the admin socket; empty: no answer."""
        try:
            with socket.create_connection(("127.0.0.1", self.admins[name]), timeout=CALL_S) as sock:
                sock.sendall(line.encode() + b"\n")
                return str(sock.makefile("r", encoding="utf-8").readline()).strip()
        except OSError:
            return ""

    def json(self, name: str, line: str) -> dict[str, Any]:
        """Call the admin socket and parse the JSON answer; empty: no answer or a failure."""
        kind, _, answer = self.call(name, line).partition(" ")
        parsed: dict[str, Any] = json.loads(answer) if kind == "SUCCESS" else {}
        return parsed

    def control(self, name: str) -> dict[str, Any]:
        """Call `control status` of a replica or a gateway."""
        return self.json(name, "control status")

    def command(self, part: str, what: str, name: str) -> str:
        """Output of a CLI command on this process. The command runs asynchronously, because the links run in
        the test's own process."""
        door = f"127.0.0.1:{self.admins[name]}"
        line = [sys.executable, "-m", "stackrouter.cli.main", part, what, "--door", door]
        with subprocess.Popen(line, stdout=subprocess.PIPE, text=True) as program:
            self.wait_for(lambda: program.poll() is not None, "the command does not end")
            assert program.stdout is not None
            return program.stdout.read()

    def leader(self) -> str:
        """The leader of the newest term reported by a running voter; empty: none reported."""
        statuses = [self.control(name) for name in self.voters if self.programs[name].poll() is None]
        return max(((s["term"], s["leader"]) for s in statuses if s), default=(0, ""))[1]

    def ready(self, name: str) -> bool:
        return self.call(name, "status").startswith("SUCCESS")

    def settle(self) -> None:
        """Wait until all running processes are ready."""
        for name in self.programs:
            self.wait_for(partial(self.ready, name), f"{name} is not ready")

    def follow(self) -> None:
        """Wait until all gateways follow the list of the control plane."""
        self.wait_for(lambda: all(self.control(g)["follows"] for g in self.gateways), "a gateway asks itself")

    def wait_for(self, condition: Callable[[], Any], failure: str, within_s: float = WAIT_S) -> float:
        """Wait for a condition; returns the time taken in seconds. Raises AssertionError after `within_s`."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > within_s:
                raise AssertionError(f"{failure} within {within_s:g} s")
            gevent.sleep(0.02)
        return time.monotonic() - started_at

    # Operations on the group.

    def propose(self, voter: str) -> int:
        """Commit another version of the policy, and return its number."""
        self._counter += 1
        changed = {**settings(self.scene, self.usual)}
        changed["Caps"] = {**changed["Caps"], "MaxOpen": 4000 + self._counter}
        file = self.folder / f"policy-{self._counter}.json"
        file.write_text(json.dumps({"settings": changed}))
        base = self.json(voter, "policy status")["version"]
        answer = self.call(voter, f"policy propose {base} {file}")
        assert answer.startswith("SUCCESS"), answer
        return int(base) + 1

    def request(self, gateway: str) -> bytes:
        """Send a client's request to a gateway and return the answer, whose first byte tells whether it was
        served."""
        fields = "c=match-read,t=basic,d=1500,volume=00000000b0000000,units=1,shard=0,hosts=1"
        with socket.create_connection(("127.0.0.1", self.listens[gateway]), timeout=CALL_S) as sock:
            sock.sendall(
                resp.command(b"BLK.READ", b"%016x" % self._next_request(), b"%016x" % 1, fields.encode())
            )
            return bytes(sock.recv(4096))

    def _next_request(self) -> int:
        self._counter += 1
        return self._counter

    def connect_raw(self, replica: str) -> RawConnection:
        """Open a raw connection and receive its snapshot. Retries while the replica is not ready."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            raw = RawConnection(self.listens[replica])
            raw.hello("raw")
            raw.read(is_last_part, CALL_S)
            if any(is_last_part(frame) for frame in raw.frames):
                return raw
            raw.close()
            gevent.sleep(0.05)
        raise AssertionError(f"{replica} takes no connection within {WAIT_S:g} s")

    # Configuration files.

    def _replica_list(self, names: list[str]) -> str:
        one = 'replica {{ name: "{0}" address: "127.0.0.1:{1}" region: "r{0}" }}'
        return "\n".join(one.format(name, self.listens[name]) for name in names)

    def _times(self) -> str:
        return f"touch_ms: {TOUCH_MS} max_drift_ms: {DRIFT_MS} stale_ms: 5000"

    def _gateway_file(self, name: str) -> str:
        on_loss = self._on_loss.get(name, "refuse")
        return (
            f'control {{ enabled: true region: "r{name}" on_loss: "{on_loss}" {self._times()}\n'
            f"{self._replica_list(self.replicas)} }}\n"
        )

    def _replica_file(self, name: str) -> str:
        own = (
            f'listen: "127.0.0.1:{self.listens[name]}" admin: "127.0.0.1:{self.admins[name]}" '
            f'region: "r{name}" {self._times()}'
        )
        if name not in self.voters:
            return f'control {{ name: "{name}" {own}\n{self._replica_list(self.voters)} }}\n'
        peers = "\n".join(self._peer(name, other) for other in self.voters)
        return (
            f'coordination {{ enabled: true member: "{name}" folder: "{self.folder}" ttl_ms: 800 '
            f"max_drift_ms: 80 election_ms: {ELECTION_MS}\n"
            f"policy {{ enabled: true touch_ms: {TOUCH_MS} after_ms: {AFTER_MS} }}\n{peers} }}\n"
            f'control {{ {own} discovery: "{self.discovery.address}" }}\n'
        )

    def _peer(self, here: str, there: str) -> str:
        link = self._links.get((here, there))
        dial = f' dial: "{link.address}"' if link is not None else ""
        return f'peer {{ name: "{there}" address: "{self._peers[there]}"{dial} }}'

    def _config(self, name: str) -> dict[str, Any]:
        return {
            "name": name, "listen": f"127.0.0.1:{self.listens[name]}", "discovery": self.discovery.address,
            "seed": f"{self.gateways.index(name) + 1:x}", "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(), "admin": f"127.0.0.1:{self.admins[name]}",
            "settings": {**settings(self.scene, self.usual), "Position": self.gateways.index(name)},
        }  # fmt: skip


def is_last_part(frame: Frame) -> bool:
    """Whether this is the last part of a snapshot, after which changes follow."""
    part = frame.snapshot_part
    return bool(frame.HasField("snapshot_part") and part.part + 1 == part.parts)


class RawConnection:
    """A raw connection to a replica: sends bytes and receives frames."""

    def __init__(self, port: int) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port), timeout=CALL_S)
        self._decoder = FrameDecoder(MAX_TO_GATEWAY_BYTES)
        self.frames: list[Frame] = []
        self.ended = False

    def send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def hello(self, gateway: str) -> None:
        self.send(encode(Frame(hello=Hello(protocol=1, gateway=gateway, life="1"))))

    def heartbeat(self, sequence: int) -> None:
        self.send(encode(Frame(heartbeat=Heartbeat(sequence=sequence))))

    def read(self, until: Callable[[Frame], bool], within_s: float) -> bool:
        """Receive until a frame matches or the connection ends; False after `within_s`."""
        deadline = time.monotonic() + within_s
        while not self.ended and (left_s := deadline - time.monotonic()) > 0:
            self._sock.settimeout(left_s)
            try:
                data = self._sock.recv(65536)
            except TimeoutError:
                return False
            except OSError:
                data = b""
            self.ended = not data
            frames = self._decoder.feed(data)
            self.frames += frames
            if any(until(frame) for frame in frames):
                return True
        return self.ended

    def close(self) -> None:
        self._sock.close()
