"""Starts, stops, kills and restarts the gateway processes of a soak."""

from __future__ import annotations

import json
import os
import random
import signal
import socket as std_socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import socket

from stackrouter.errors import StartError
from stackrouter.soak.agents import Agent
from stackrouter.soak.clients import CLASSES, GatewayClients, GatewayState
from stackrouter.soak.options import SoakOptions
from stackrouter.soak.records import Life, Records
from stackrouter.soak.schedule import process_faults

POLL_S: Final = 0.01
READY_TIMEOUT_S: Final = 30.0
KILL_AFTER_S: Final = max(c.deadline_s for c in CLASSES) + 0.7  # earliest permitted SIGKILL after SIGTERM
PORTS: Final = (12_000, 30_000)  # below the system's ephemeral ports
KEY_WINDOW_S: Final = 0.8  # how long the key of a keyed request is valid


def settings(options: SoakOptions) -> dict[str, Any]:
    """The platform settings of the gateways."""
    effects = {"match-read": "safe", "turn-write": "keyed", "turn-add": "unsafe"}
    profiles = [
        {"Name": c.name, "Effect": effects[c.name], "AimUs": 400_000,
         "HardLimitUs": round(c.deadline_s * 1e6), "Group": "cell", "Gain": 2.0,
         "KeyTtlUs": round(KEY_WINDOW_S * 1e6) if c.keyed else 0}
        for c in CLASSES
    ]  # fmt: skip
    return {
        "Balancers": options.gateways,
        "Caps": {"Cancel": True, "ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 3,
                 "MaxOpen": 4000, "MaxRetryAfterUs": 2_000_000},
        "FamilyInfo": {"ClassWrites": [False, True, True], "MaxUnits": 8, "MeanUnits": 1.0,
                       "MeterUs": 1_000_000},
        "Grades": [{"Name": "basic", "UsualRate": 9.0},
                   {"Name": "priority", "Shares": 3.0, "UsualRate": 9.0}],
        "Kinds": ["std"],
        "Obligations": {"AnswerSlackUs": 8000, "DrainGraceUs": 250_000},
        "Profiles": profiles,
        "StepUs": 2000,
        "Zones": ["hall-a"],
    }  # fmt: skip


def repeat_windows_s() -> dict[str, float | None]:
    """By class, how long a repeat may follow an attempt that may have run; None: without limit."""
    return {"match-read": None, "turn-write": KEY_WINDOW_S, "turn-add": 0.0}


def reserve_address() -> std_socket.socket:
    """Binds a socket that reserves a port while it is open. The port is outside the ephemeral range, and a
    process that sets SO_REUSEADDR can listen on it. Raises StartError if no port is free."""
    for port in random.sample(range(*PORTS), len(range(*PORTS))):
        sock = std_socket.socket()
        try:
            sock.bind(("127.0.0.1", port))  # fails if the port is in use, for example by another soak
        except OSError:
            sock.close()
            continue
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)  # the gateway may now listen
        return sock
    raise StartError("no port is free for a gateway")


class SoakGateway:
    """One gateway with its process, discovery agent and clients."""

    def __init__(
        self, number: int, options: SoakOptions, agent: Agent, records: Records, folder: Path
    ) -> None:
        self.number, self.options, self.agent, self.records = number, options, agent, records
        self.folder = folder
        self._port_reservation = reserve_address()
        self.state = GatewayState(self._port_reservation.getsockname())
        self.clients: GatewayClients | None = None
        self.crashes: list[str] = []
        self.restarts = self.not_ready_10s = 0
        self._program: subprocess.Popen[bytes] | None = None
        self._lives = records.lives.setdefault(number, [])
        self._restarting = False  # a restart is in progress

    @property
    def log(self) -> Path:
        return self.folder / f"g{self.number}.log"

    def start(self) -> None:
        """Starts a new process, configured with the agent's current list; it is not ready on return."""
        self._write_config(known=self.agent.listing())
        faults = process_faults(self.options, self.number, len(self._lives))
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "SOAK_"))}
        environment |= {"GW_CONFIG": str(self.folder / f"g{self.number}.json"),
                    "SOAK_FAULTS": json.dumps(asdict(faults)),
                    "SOAK_PLANTED": self.options.planted}  # fmt: skip
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", "stackrouter.soak.gateway_process"]
            self._program = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log, start_new_session=True
            )
        self.agent.process_started()
        self._lives.append(Life(time.monotonic()))
        self.state.ready, self.state.terminated_at, self.state.killed_at = False, None, None

    def _write_config(self, known: dict[str, Any] | None = None) -> None:
        path = self.folder / f"g{self.number}.json"
        config = json.loads(path.read_text()) if path.exists() else {
            "name": f"g{self.number}", "listen": "{}:{}".format(*self.state.address),
            "seed": f"{self.options.seed * 64 + self.number:x}",
            "limits": {"memory_mb": 96, "sockets": 512},
            "settings": {**settings(self.options), "Position": self.number},
        }  # fmt: skip
        config["discovery"] = self.agent.address
        if known is not None:
            config["known"] = known
        complete = path.with_suffix(".new")
        complete.write_text(json.dumps(config))
        complete.rename(path)

    def await_ready(self) -> bool:
        """Waits until PING is answered. Returns False if the process ended or READY_TIMEOUT_S passed."""
        began = time.monotonic()
        while time.monotonic() - began < READY_TIMEOUT_S:
            if self._answers_ping():
                self._lives[-1] = replace(self._lives[-1], ready_at=time.monotonic())
                self.state.ready = True
                self.not_ready_10s += time.monotonic() - began > 10.0
                return True
            if self._check_for_crash():
                return False
            gevent.sleep(POLL_S)
        self.crashes.append(f"g{self.number}: not ready within {READY_TIMEOUT_S:.0f} s")
        return False

    def _answers_ping(self) -> bool:
        try:
            with socket.create_connection(self.state.address, 1.0) as sock:
                sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                return bool(sock.recv(100) == b"+PONG\r\n")
        except OSError:
            return False

    def _check_for_crash(self) -> bool:
        if self._program is None or self._program.poll() is None:
            return False
        self.crashes.append(
            f"g{self.number}: exited with code {self._program.returncode}: {self._last_line()}"
        )
        return True

    def _last_line(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else ""

    # --- faults

    def pause(self, duration_s: float) -> None:
        """Pauses the process with SIGSTOP and SIGCONT."""
        program = self._program
        if program is None or self._restarting or program.poll() is not None:
            return
        program.send_signal(signal.SIGSTOP)
        gevent.sleep(duration_s)
        program.send_signal(signal.SIGCONT)

    def send_hups(self, times: int) -> None:
        """Sends consecutive SIGHUPs, each with a new discovery address in the configuration."""
        for _ in range(times):
            if self._restarting or self._program is None or not self.state.ready:
                return
            self.agent.move()
            self._write_config()
            self._program.send_signal(signal.SIGHUP)
            gevent.sleep(0.2)

    def restart(self, down_s: float, by_term: bool) -> None:
        """Ends the process, by SIGTERM or SIGKILL, and starts it again after `down_s`."""
        program = self._program
        if self._restarting or program is None or not self.state.ready:
            return
        self._restarting = True
        if by_term:
            self._terminate(program)
        else:
            self._kill(program)
        program.wait()
        self.state.ready = False
        assert self.clients is not None
        self.clients.forget_connections()
        gevent.sleep(down_s)
        self.start()
        self.restarts += 1
        self.await_ready()
        self._restarting = False

    def _kill(self, program: subprocess.Popen[bytes]) -> None:
        self.state.killed_at = time.monotonic()
        self._lives[-1] = replace(self._lives[-1], killed_at=self.state.killed_at)
        program.kill()
        program.wait()

    def _terminate(self, program: subprocess.Popen[bytes]) -> None:
        self.state.terminated_at = time.monotonic()
        self._lives[-1] = replace(self._lives[-1], terminated_at=self.state.terminated_at)
        program.send_signal(signal.SIGTERM)
        while program.poll() is None:
            if time.monotonic() - self.state.terminated_at > KILL_AFTER_S:
                self._kill(program)
                return
            gevent.sleep(POLL_S)
        self._lives[-1] = replace(self._lives[-1], ended_at=time.monotonic())
        if program.returncode != 0:
            self.crashes.append(
                f"g{self.number}: exited with code {program.returncode} after SIGTERM: {self._last_line()}"
            )

    def stop(self) -> None:
        """Ends the process at the end of the run and releases its port."""
        while self._restarting:  # wait for a restart in progress
            gevent.sleep(POLL_S)
        program = self._program
        if program is not None and program.poll() is None:
            program.send_signal(signal.SIGCONT)
            self._terminate(program)
        elif program is not None:
            self._check_for_crash()
        self._port_reservation.close()

    def counted(self) -> Counter[str]:
        """Rule violations that the gateway counted itself, from the counters that its processes printed."""
        found: Counter[str] = Counter()
        for line in self.log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                counts = json.loads(line)
                found.update(
                    {k.partition(".")[2]: v for k, v in counts.items() if k.startswith("violations.")}
                )
        return found
