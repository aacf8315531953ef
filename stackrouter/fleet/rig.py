"""Starts the members, the links between them and the receiver of their actions; does what a schedule says."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from stackrouter.coord.fence import Fence
from stackrouter.coord.member import DUTIES
from stackrouter.fleet.check import Action, Fault, Verdict, check
from stackrouter.fleet.proxy import Link, Way
from stackrouter.fleet.schedule import Schedule, Step, draw
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.fleet import Scene, StartError, free_port, settings

START_S = 20.0
SETTLE_S = 8.0  # for the first holders, and at the end for whoever has to take over
STOP_S = 6.0
LONGEST_LINE = 256
NODES = 6


@dataclass(frozen=True, slots=True)
class Setup:
    members: int = 5
    seed: int = 1
    seconds: float = 6.0
    kinds: Sequence[str] = ()
    ttl_ms: int = 1000
    drift_ms: int = 100
    election_ms: int = 600
    work_ms: int = 8  # between a member's look at its lease and its action
    fenced: bool = True  # False plants a fault: the receiver takes whatever comes


@dataclass(slots=True)
class Load:
    """What a member cost: CPU ms a second of its life, its memory in MiB at the end."""

    cpu_ms_s: list[float] = field(default_factory=list)
    rss_mib: list[float] = field(default_factory=list)


class Receiver:
    """The receiving side of the fleet's duties: refuses a token lower than one it has seen, notes every
    action."""

    def __init__(self, fenced: bool) -> None:
        self._fence, self._fenced = Fence(), fenced
        self.actions: list[Action] = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        self._server.stop(timeout=0)

    def holder(self, duty: str) -> str | None:
        """The member whose action was the last to be taken."""
        return next((a.member for a in reversed(self.actions) if a.duty == duty and a.accepted), None)

    def _serve(self, sock: socket.socket, _: object) -> None:
        for line in sock.makefile("r", encoding="ascii", errors="replace"):
            words = line[:LONGEST_LINE].split()
            if len(words) == 4 and words[1].isdigit() and words[3].isdigit():
                duty, token = words[0], int(words[1])
                accepted = self._fence.admit(duty, token) or not self._fenced
                self.actions.append(
                    Action(time.monotonic_ns(), duty, token, words[2], int(words[3]), accepted)
                )


class Rig:
    """Use as a context: on the way out everything that was started ends."""

    def __init__(self, setup: Setup, folder: Path) -> None:
        self.setup, self.folder = setup, folder
        self.names = [f"g{i + 1}" for i in range(setup.members)]
        self.schedule = self._draw(setup.seed)
        self.clock_ppm, self.late = self.schedule.clock_ppm, self.schedule.late
        self.receiver = Receiver(setup.fenced)
        nodes = [entry(f"s-{i + 1}", f"127.0.0.1:{9 + i}", i, "hall-a", "std") for i in range(NODES)]
        self.discovery = StandinDiscovery(nodes)
        self.rng = Random(setup.seed)
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in self.names]
        self.ports = [free_port() for _ in self.names]
        self.links: dict[tuple[int, int], Link] = {}
        for i in range(setup.members):
            for j in range(setup.members):
                # The library connects from the higher address, as text, to the lower: one link a pair.
                if self.addresses[i] > self.addresses[j]:
                    host, _, port = self.addresses[j].rpartition(":")
                    self.links[i, j] = Link((host, int(port)), self.rng)
        self.programs: dict[int, subprocess.Popen[bytes]] = {}
        self.faults: list[Fault] = []
        self.exits: list[int] = []
        self.load = Load()
        self._born: dict[int, float] = {}
        self._down: set[int] = set()

    def __enter__(self) -> Rig:
        try:
            for i in range(self.setup.members):
                self._write(i)
                if i != self.late:
                    self._start(i)
            self._await(
                lambda: all(self.receiver.holder(duty) for duty in DUTIES), START_S, "no duty was taken"
            )
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGTERM)
        until = time.monotonic() + STOP_S
        while any(p.poll() is None for p in self.programs.values()) and time.monotonic() < until:
            gevent.sleep(0.02)
        for program in self.programs.values():
            if program.poll() is None:
                program.kill()
            self.exits.append(program.wait())
        for link in self.links.values():
            link.close()
        self.receiver.close()
        self.discovery.stop()

    def run(self, rounds: int = 1) -> Verdict:
        """Do what the schedule says and let the fleet settle, then what the next seed's says; check the
        history."""
        began = time.monotonic()
        for nth in range(rounds):
            if nth:
                self.schedule = self._draw(self.setup.seed + nth)
            self._play()
        self.took_s = time.monotonic() - began
        return check(self.receiver.actions, self.faults)

    def _draw(self, seed: int) -> Schedule:
        setup = self.setup
        return draw(seed, setup.members, setup.kinds, setup.seconds, setup.ttl_ms * 1000,
                    setup.drift_ms * 1000, DUTIES)  # fmt: skip

    def _play(self) -> None:
        steps = [gevent.spawn_later(step.at_us / 1e6, self._do, step) for step in self.schedule.steps]
        gevent.sleep(self.setup.seconds)
        gevent.joinall(steps, raise_error=True)
        for i, program in self.programs.items():
            self._measure(i, program)
        healed = time.monotonic_ns()

        def settled() -> bool:
            return all(any(a.at > healed and a.accepted and a.duty == duty for a in self.receiver.actions)
                       for duty in DUTIES)  # fmt: skip

        self._await(settled, SETTLE_S, "the duties were not taken up again after the faults", fatal=False)

    # Faults.

    def _do(self, step: Step) -> None:
        i = self._find(step.target)
        if i is None or i not in self.programs or i in self._down:
            return
        for_s, at = step.for_us / 1e6, time.monotonic_ns()
        match step.kind:
            case "stall" | "join":
                self._stop(i, signal.SIGSTOP)
                if step.kind == "join" and self.late is not None:
                    self._start(self.late)
                    self.late = None
                gevent.sleep(for_s)
                self._stop(i, signal.SIGCONT)
            case "kill":
                self._measure(i, self.programs[i])
                self._down.add(i)  # killed once more before it is back, it would be started twice
                self.programs[i].kill()
                self.programs[i].wait()
                gevent.sleep(for_s)
                self._start(i)
                self._down.discard(i)
            case _:
                self._bend(i, step.kind, True)
                gevent.sleep(for_s)
                self._bend(i, step.kind, False)
        kind = "stall" if step.kind == "join" else step.kind
        self.faults.append(Fault(at, time.monotonic_ns(), kind, self.names[i]))

    def _stop(self, i: int, number: signal.Signals) -> None:
        if self.programs[i].poll() is None:
            self.programs[i].send_signal(number)

    def _bend(self, i: int, kind: str, on: bool) -> None:
        for (a, b), link in self.links.items():
            if i not in (a, b):
                continue
            out, back = (link.there, link.back) if i == a else (link.back, link.there)
            ways: list[Way] = [out] if kind == "oneway" else [out, back]
            for way in ways:
                if kind in ("partition", "oneway"):
                    way.cut(on)
                elif kind == "delay":
                    way.delay_s = 0.08 if on else 0.0
                else:
                    way.loss = 0.2 if on else 0.0

    def _find(self, target: str) -> int | None:
        if target.isdigit():
            return int(target)
        name = self.leader() if target == "leader" else self.receiver.holder(target.partition(":")[2])
        return self.names.index(name) if name in self.names else None

    def leader(self) -> str | None:
        """Who leads in the latest term that any member's log tells of."""
        best = (0, "")
        for name in self.names:
            log = self.folder / f"{name}.log"
            for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
                if "coord.term term=" in line and not line.endswith("leader=nobody"):
                    words = dict(w.split("=", 1) for w in line.split() if "=" in w)
                    best = max(best, (int(words["term"]), words["leader"]))
        return best[1] or None

    # Processes.

    def _write(self, i: int) -> None:
        setup, name = self.setup, self.names[i]
        config = {
            "name": name, "listen": f"127.0.0.1:{self.ports[i]}", "discovery": self.discovery.address,
            "seed": f"{setup.seed * 64 + i:x}", "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(),
            "settings": {**settings(Scene(setup.members, NODES), 50.0), "Position": i},
        }  # fmt: skip
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        peers = "".join(self._peer(i, j) for j in range(setup.members))
        (self.folder / f"{name}.txtpb").write_text(
            f"""coordination {{ enabled: true folder: "{self.folder}" ttl_ms: {setup.ttl_ms}
  max_drift_ms: {setup.drift_ms} election_ms: {setup.election_ms}
{peers}  drill {{ receiver: "{self.receiver.address}" work_ms: {setup.work_ms}
    clock_ppm: {self.clock_ppm[i]} }} }}
"""
        )

    def _peer(self, i: int, j: int) -> str:
        link = self.links.get((i, j))
        dial = f' dial: "{link.address}"' if link is not None else ""
        return f'  peer {{ name: "{self.names[j]}" address: "{self.addresses[j]}"{dial} }}\n'

    def _start(self, i: int) -> None:
        name = self.names[i]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ |= {
            "GW_CONFIG": str(self.folder / f"{name}.json"),
            "GW_EDGE": str(self.folder / f"{name}.txtpb"),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            command = [sys.executable, "-m", "stackrouter"]
            self.programs[i] = subprocess.Popen(command, env=environ, stdout=log, stderr=log,
                                                start_new_session=True)  # fmt: skip
        self._born[i] = time.monotonic()

    def _await(self, so: Any, within_s: float, otherwise: str, fatal: bool = True) -> None:
        until = time.monotonic() + within_s
        while not so():
            for i, program in self.programs.items():
                if fatal and program.poll() is not None:
                    said = (self.folder / f"{self.names[i]}.log").read_text(errors="replace").strip()
                    raise StartError(f"{self.names[i]}: {said.splitlines()[-1] if said else 'ended'}")
            if time.monotonic() > until:
                if fatal:
                    raise StartError(otherwise)
                return
            gevent.sleep(0.02)

    def _measure(self, i: int, program: subprocess.Popen[bytes]) -> None:
        try:
            stat = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{program.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return
        ticks = int(stat[11]) + int(stat[12])
        lived = time.monotonic() - self._born[i]
        self.load.cpu_ms_s.append(1000 * ticks / os.sysconf("SC_CLK_TCK") / max(0.1, lived))
        self.load.rss_mib.append(pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))
