"""Starts the members, the links between them and the receiver of their actions; does what a schedule says."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
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
from stackrouter.errors import PolicyBaseError, PolicyUnknownError, StartError
from stackrouter.fleet.check import Action, Fault, PolicyVerdict, Served, Verdict, check, check_policy
from stackrouter.fleet.proxy import Link, Way
from stackrouter.fleet.raft_log import last_index
from stackrouter.fleet.schedule import Change, Schedule, Step, draw, draw_changes
from stackrouter.standins.clients import StandinClients
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.fleet import Scene, habits, settings
from stackrouter.standins.node import Nature, StandinNode

START_S = 20.0
START_MEMBER_S = 0.5  # and so much more for each member: all of them start at once
SETTLE_S = 8.0  # for the first holders, and at the end for whoever has to take over
STOP_S = 6.0
CALL_S = 1.5
LONGEST_LINE = 256
NODES = 6
FIRST_PORT, SLOT, SLOTS = 12_000, 200, 100  # 64 members take three ports each


class Ports:
    """Ports below those that the system gives to outgoing connections, for this rig alone: a member that is
    started again finds its own free. A rig holds a run of them by listening on the first."""

    def __init__(self) -> None:
        for nth in range(SLOTS):
            first = FIRST_PORT + (os.getpid() + nth) % SLOTS * SLOT
            self._claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self._claim.bind(("127.0.0.1", first))
                self._claim.listen(1)
            except OSError:
                self._claim.close()
                continue
            self._left = iter(range(first + 1, first + SLOT))
            return
        raise StartError("no ports are left for another rig")

    def take(self) -> int:
        return next(self._left)

    def close(self) -> None:
        self._claim.close()


@dataclass(frozen=True, slots=True)
class Setup:
    members: int = 5
    seed: int = 1
    seconds: float = 6.0
    kinds: Sequence[str] = ()
    ttl_ms: int = 800
    drift_ms: int = 80
    election_ms: int = 400
    work_ms: int = 8  # between a member's look at its lease and its action
    policy: bool = False  # keep a policy, change it, and note who serves under which version
    touch_ms: int = 1000
    after_ms: int = 1500
    every_ms: int = 40  # from one action of a member to its next
    load: float = 0.0  # clients that ask for this part of what the stand-in nodes bear
    fenced: bool = True  # False plants a fault: the receiver takes whatever comes


@dataclass(slots=True)
class Load:
    """What a member cost: CPU ms a second of its life, and of the time that faults and changes came (without
    its start); its memory in MiB at the end."""

    cpu_ms_s: list[float] = field(default_factory=list)
    cpu_steady_ms_s: list[float] = field(default_factory=list)
    rss_mib: list[float] = field(default_factory=list)


class Receiver:
    """The receiving side of the fleet's duties: refuses a token lower than one it has seen, notes every
    action."""

    def __init__(self, fenced: bool) -> None:
        self._fence, self._fenced = Fence(), fenced
        self.actions: list[Action] = []
        self.served: list[Served] = []
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
            if len(words) == 5 and words[0] == "serve" and words[1].isdigit() and words[3].isdigit():
                self.served.append(Served(int(words[3]), int(words[1]), words[4], words[2]))
            elif len(words) == 4 and words[1].isdigit() and words[3].isdigit():
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
        self.ports_left = Ports()
        self.receiver = Receiver(setup.fenced)
        self.scene = Scene(setup.members, NODES, setup.seed, setup.load or 0.1, "none")
        self.usual, self.habits, _ = habits(self.scene)
        sized = {h.volume: self.usual * (2 if h.plan == "priority" else 1) for h in self.habits}
        self.nodes = [StandinNode(f"s-{i + 1}", i, Nature(), setup.seed, sized) for i in range(NODES)]
        self.discovery = StandinDiscovery(
            [entry(n.name, n.address, n.shard, "hall-a", "std") for n in self.nodes]
        )
        self.clients: StandinClients | None = None
        self.rng = Random(setup.seed)
        self.addresses = [f"127.0.0.1:{self.ports_left.take()}" for _ in self.names]
        self.ports = [self.ports_left.take() for _ in self.names]
        self.links: dict[tuple[int, int], Link] = {}
        for i in range(setup.members):
            for j in range(setup.members):
                # The library connects from the higher address, as text, to the lower: one link a pair.
                # Without faults there is nothing to do on a link, and members reach one another directly.
                if setup.kinds and self.addresses[i] > self.addresses[j]:
                    host, _, port = self.addresses[j].rpartition(":")
                    self.links[i, j] = Link((host, int(port)), self.rng)
        self.programs: dict[int, subprocess.Popen[bytes]] = {}
        self.doors = [self.ports_left.take() for _ in self.names]
        self.changes: Counter[str] = Counter()  # by how they ended
        self.disagreed = 0  # rounds at whose end the members did not come to the newest version, all of them
        self.ledgers: list[list[tuple[int, str]]] = []
        self.faults: list[Fault] = []
        self.exits: list[int] = []
        self.load = Load()
        self.log_entries_s: float | None = None  # of the last round; None: its journals could not be read
        self.elections = 0  # terms that began while faults and changes came
        self._born: dict[int, float] = {}
        self._down: set[int] = set()
        self._variants = 0

    def __enter__(self) -> Rig:
        try:
            for i in range(self.setup.members):
                self._write(i)
                if i != self.late:
                    self._start(i)
            self._await(
                lambda: all(self.receiver.holder(duty) for duty in DUTIES),
                START_S + START_MEMBER_S * self.setup.members,
                "no duty was taken",
            )
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        if self.clients is not None:
            self.clients.stop()
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
        self.ports_left.close()
        self.discovery.stop()
        for node in self.nodes:
            node.stop()

    def run(self, rounds: int = 1) -> Verdict:
        """Do what the schedule says and let the fleet settle, then what the next seed's says; check the
        history."""
        began = time.monotonic()
        if self.setup.load:
            if self.setup.policy:
                self._await(self._agreed, SETTLE_S, "the members are not in touch")
            self.clients = StandinClients(
                self.habits, [("127.0.0.1", p) for p in self.ports], self.setup.seed
            )
        for nth in range(rounds):
            if nth:
                self.schedule = self._draw(self.setup.seed + nth)
            self._play(self.setup.seed + nth)
        self.took_s = time.monotonic() - began
        return check(self.receiver.actions, self.faults)

    def _draw(self, seed: int) -> Schedule:
        setup = self.setup
        return draw(seed, setup.members, setup.kinds, setup.seconds, setup.ttl_ms * 1000,
                    setup.drift_ms * 1000, DUTIES)  # fmt: skip

    def _play(self, seed: int) -> None:
        steps: list[gevent.Greenlet[..., None]] = [
            gevent.spawn_later(step.at_us / 1e6, self._do, step) for step in self.schedule.steps
        ]
        if self.setup.policy:
            setup = self.setup
            drawn = draw_changes(seed, setup.members, setup.seconds, setup.ttl_ms * 1000, bool(setup.kinds))
            steps += [gevent.spawn_later(change.at_us / 1e6, self._change, change) for change in drawn]
        began, entries, term = time.monotonic(), self.log_index(), self.term()
        cpu = {program.pid: cpu_ms(program.pid) for program in self.programs.values()}
        gevent.sleep(self.setup.seconds)
        lasted = time.monotonic() - began
        if entries and (now := self.log_index()):
            self.log_entries_s = (now - entries) / lasted
        self.elections += self.term() - term
        for program in self.programs.values():
            spent, before = cpu_ms(program.pid), cpu.get(program.pid)
            if spent is not None and before is not None:
                self.load.cpu_steady_ms_s.append((spent - before) / lasted)
        gevent.joinall(steps, raise_error=True)
        for i, program in self.programs.items():
            self._measure(i, program)
        healed = time.monotonic_ns()

        def settled() -> bool:
            return all(any(a.at > healed and a.accepted and a.duty == duty for a in self.receiver.actions)
                       for duty in DUTIES)  # fmt: skip

        self._await(settled, SETTLE_S, "the duties were not taken up again after the faults", fatal=False)
        if self.setup.policy:
            self.disagreed += not self._await(self._agreed, SETTLE_S, "no agreement", fatal=False)

    # Faults.

    def _do(self, step: Step) -> None:
        i = self._find(step.target)
        if step.kind == "join" and self.late is not None:
            self._start(self.late)
            self.late = None
        if i is None or i not in self.programs or i in self._down:
            return
        for_s, at = step.for_us / 1e6, time.monotonic_ns()
        match step.kind:
            case "stall" | "join":
                self._stop(i, signal.SIGSTOP)
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

    # Changes of policy.

    def _change(self, change: Change) -> None:
        i = change.member
        if i in self._down or i not in self.programs:
            return
        told = self._status(i)
        if told is None:
            self.changes["unasked"] += 1
            return
        base = told["version"]
        call = (
            f"policy rollback {base}"
            if change.kind == "rollback"
            else f"policy propose {base} {self._variant()}"
        )
        match change.kind:
            case "kill":
                ask = gevent.spawn(self._call, i, call)
                gevent.sleep(change.after_us / 1e6)
                self._do(Step(0, "kill", str(i), 500_000))
                self._ended(ask.get())
            case "cut":
                cut = gevent.spawn(self._do, Step(0, "partition", str(i), change.after_us))
                gevent.sleep(0.01)
                self._ended(self._call(i, call))
                cut.join()
            case "race":
                other = gevent.spawn(self._call, change.other, f"policy propose {base} {self._variant()}")
                self._ended(self._call(i, call))
                self._ended(other.get())
            case _:
                self._ended(self._call(i, call))

    def _ended(self, answer: str) -> None:
        kinds = {
            "SUCCESS": "committed",
            f"FAILURE {PolicyBaseError.code}:": "overtaken",
            f"FAILURE {PolicyUnknownError.code}:": "unknown",
        }
        self.changes[
            next((kind for start, kind in kinds.items() if answer.startswith(start)), "refused")
        ] += 1

    def _variant(self) -> Path:
        """A file of settings that differs from all before."""
        self._variants += 1
        told = json.loads((self.folder / f"{self.names[0]}.json").read_text())["settings"]
        told["Caps"]["MaxAttempts"] = 1 + self._variants % 5
        told["Caps"]["MaxOpen"] = 4000 + self._variants
        file = self.folder / f"policy-{self._variants}.json"
        file.write_text(json.dumps({"settings": told}))
        return file

    def _call(self, i: int, line: str) -> str:
        try:
            with socket.create_connection(("127.0.0.1", self.doors[i]), timeout=CALL_S) as sock:
                sock.sendall(line.encode() + b"\n")
                return str(sock.makefile("r", encoding="utf-8").readline())
        except OSError:
            return ""

    def _status(self, i: int) -> dict[str, Any] | None:
        answer = self._call(i, "policy status")
        if not answer.startswith("SUCCESS {"):
            return None
        told: dict[str, Any] = json.loads(answer.partition(" ")[2])
        self.ledgers.append([(number, digest) for number, digest, _ in told["versions"]])
        return told

    def _agreed(self) -> bool:
        told = [self._status(i) for i in self.programs]
        versions = {(t["version"], t["serving"], t["ready"]) for t in told if t is not None}
        return None not in told and len(versions) == 1 and all(v == s and r for v, s, r in versions)

    def policy(self) -> PolicyVerdict:
        return check_policy(self.receiver.served, self.ledgers)

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
        return self._latest()[1] or None

    def term(self) -> int:
        """The latest term in which a leader was elected."""
        return self._latest()[0]

    def log_index(self) -> int:
        """How many entries the group's log has had; 0: no journal could be read."""
        journals = [self.folder / f"{address.replace(':', '_')}.journal" for address in self.addresses]
        return max(last_index(journal) for journal in journals)

    def _latest(self) -> tuple[int, str]:
        best = (0, "")
        for name in self.names:
            log = self.folder / f"{name}.log"
            for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
                if "coord.term term=" in line and not line.endswith("leader=nobody"):
                    words = dict(w.split("=", 1) for w in line.split() if "=" in w)
                    best = max(best, (int(words["term"]), words["leader"]))
        return best

    # Processes.

    def _write(self, i: int) -> None:
        setup, name = self.setup, self.names[i]
        config = {
            "name": name, "listen": f"127.0.0.1:{self.ports[i]}", "discovery": self.discovery.address,
            "seed": f"{setup.seed * 64 + i:x}", "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(), "admin": f"127.0.0.1:{self.doors[i]}",
            "settings": {**settings(self.scene, self.usual), "Position": i},
        }  # fmt: skip
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        peers = "".join(self._peer(i, j) for j in range(setup.members))
        (self.folder / f"{name}.txtpb").write_text(
            f"""coordination {{ enabled: true folder: "{self.folder}" ttl_ms: {setup.ttl_ms}
  max_drift_ms: {setup.drift_ms} election_ms: {setup.election_ms}
  policy {{ enabled: {str(setup.policy).lower()} touch_ms: {setup.touch_ms} after_ms: {setup.after_ms} }}
{peers}  drill {{ receiver: "{self.receiver.address}" every_ms: {setup.every_ms} work_ms: {setup.work_ms}
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

    def _await(self, so: Any, within_s: float, otherwise: str, fatal: bool = True) -> bool:
        """Whether it came so in time; StartError if it is fatal that it did not."""
        until = time.monotonic() + within_s
        while not so():
            for i, program in self.programs.items():
                if fatal and program.poll() is not None:
                    said = (self.folder / f"{self.names[i]}.log").read_text(errors="replace").strip()
                    raise StartError(f"{self.names[i]}: {said.splitlines()[-1] if said else 'ended'}")
            if time.monotonic() > until:
                if fatal:
                    raise StartError(otherwise)
                return False
            gevent.sleep(0.02)
        return True

    def _measure(self, i: int, program: subprocess.Popen[bytes]) -> None:
        try:
            pages = int(Path(f"/proc/{program.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return
        spent = cpu_ms(program.pid)
        if spent is None:
            return
        lived = time.monotonic() - self._born[i]
        self.load.cpu_ms_s.append(spent / max(0.1, lived))
        self.load.rss_mib.append(pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))


def cpu_ms(pid: int) -> float | None:
    """Processor time of a process so far, in milliseconds; None: it is no more."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return 1000 * (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
