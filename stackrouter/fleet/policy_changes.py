"""Changes of policy through the members' admin sockets, and what the members say of them."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from stackrouter.errors import PolicyBaseError, PolicyUnknownError
from stackrouter.fleet.faults import FaultInjector
from stackrouter.fleet.processes import MemberProcesses
from stackrouter.fleet.schedule import Change, Step

CALL_S = 1.5
RESTART_US = 500_000  # from the kill of a member that was asked to propose to its start
CUT_LEAD_S = 0.01  # a cut begins so much before the call
OUTCOMES = {
    "SUCCESS": "committed",
    f"FAILURE {PolicyBaseError.code}:": "overtaken",
    f"FAILURE {PolicyUnknownError.code}:": "unknown",
}


class PolicyChanges:
    """`outcomes`: how many changes ended in which way; `ledgers`: committed versions and digests, as each
    member told them whenever it was asked; `disagreed`: rounds at whose end not all members had come to the
    newest version."""

    def __init__(self, processes: MemberProcesses, injector: FaultInjector, folder: Path) -> None:
        self.outcomes: Counter[str] = Counter()
        self.ledgers: list[list[tuple[int, str]]] = []
        self.disagreed = 0
        self._processes, self._injector, self._folder = processes, injector, folder
        self._variants = 0

    def make(self, change: Change) -> None:
        """One change as drawn, with the fault that goes with it; returns when its outcome is noted."""
        i = change.member
        if not self._processes.is_up(i):
            return
        told = self.status(i)
        if told is None:
            self.outcomes["unasked"] += 1
            return
        base = told["version"]
        propose = f"policy propose {base}"
        call = f"policy rollback {base}" if change.kind == "rollback" else f"{propose} {self.write_variant()}"
        match change.kind:
            case "kill":
                asked = gevent.spawn(self.call, i, call)
                gevent.sleep(change.after_us / 1e6)
                self._injector.apply(Step(0, "kill", str(i), RESTART_US))
                self._note(asked.get())
            case "cut":
                cut = gevent.spawn(self._injector.apply, Step(0, "partition", str(i), change.after_us))
                gevent.sleep(CUT_LEAD_S)
                self._note(self.call(i, call))
                cut.join()
            case "race":
                other = gevent.spawn(self.call, change.other, f"{propose} {self.write_variant()}")
                self._note(self.call(i, call))
                self._note(other.get())
            case _:
                self._note(self.call(i, call))

    def call(self, i: int, line: str) -> str:
        """The answer of member i's admin socket to one line; empty: there was none in time."""
        address = "127.0.0.1", self._processes.places[i].admin_port
        try:
            with socket.create_connection(address, timeout=CALL_S) as sock:
                sock.sendall(line.encode() + b"\n")
                return str(sock.makefile("r", encoding="utf-8").readline())
        except OSError:
            return ""

    def status(self, i: int) -> dict[str, Any] | None:
        """What member i answers to `policy status` (`coord.calls.PolicyStatus`); None: no answer."""
        answer = self.call(i, "policy status")
        if not answer.startswith("SUCCESS {"):
            return None
        told: dict[str, Any] = json.loads(answer.partition(" ")[2])
        self.ledgers.append([(number, digest) for number, digest, _ in told["versions"]])
        return told

    def agreed(self) -> bool:
        """Whether all members are ready and serve under the newest version."""
        told = [self.status(i) for i in self._processes.programs]
        versions = {(t["version"], t["serving"], t["ready"]) for t in told if t is not None}
        return None not in told and len(versions) == 1 and all(v == s and r for v, s, r in versions)

    def write_variant(self) -> Path:
        """A file of settings that differs from all before."""
        self._variants += 1
        told = json.loads(self._processes.places[0].config.read_text())["settings"]
        told["Caps"]["MaxAttempts"] = 1 + self._variants % 5
        told["Caps"]["MaxOpen"] = 4000 + self._variants
        file = self._folder / f"policy-{self._variants}.json"
        file.write_text(json.dumps({"settings": told}))
        return file

    def _note(self, answer: str) -> None:
        kinds = (kind for start, kind in OUTCOMES.items() if answer.startswith(start))
        self.outcomes[next(kinds, "refused")] += 1
