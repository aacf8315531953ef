"""Policy changes through the members' admin sockets, and the status that the members report."""

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

CALL_TIMEOUT_S = 1.5
RESTART_US = 500_000  # downtime of a member that is killed after it was asked to propose
CUT_LEAD_S = 0.01  # a network cut begins this long before the call
OUTCOME_BY_ANSWER = {  # by the first words of an answer
    "SUCCESS": "committed",
    f"FAILURE {PolicyBaseError.code}:": "overtaken",
    f"FAILURE {PolicyUnknownError.code}:": "unknown",
}


class PolicyChanges:
    """`outcomes`: number of changes by outcome; `ledgers`: the committed versions and digests of each status
    answer; `disagreed`: rounds after which not all members served under the newest version."""

    def __init__(self, processes: MemberProcesses, injector: FaultInjector, folder: Path) -> None:
        self.outcomes: Counter[str] = Counter()
        self.ledgers: list[list[tuple[int, str]]] = []
        self.disagreed = 0
        self._processes, self._injector, self._folder = processes, injector, folder
        self._variants = 0

    def make(self, change: Change) -> None:
        """Makes a scheduled change, along with its fault, and returns once the outcome is recorded."""
        i = change.member
        if not self._processes.is_up(i):
            return
        status = self.status(i)
        if status is None:
            self.outcomes["unasked"] += 1
            return
        base = status["version"]
        propose = f"policy propose {base}"
        line = f"policy rollback {base}" if change.kind == "rollback" else f"{propose} {self.write_variant()}"
        match change.kind:
            case "kill":
                call_task = gevent.spawn(self.call, i, line)
                gevent.sleep(change.after_us / 1e6)
                self._injector.apply(Step(0, "kill", str(i), RESTART_US))
                self._record_outcome(call_task.get())
            case "cut":
                cut_task = gevent.spawn(self._injector.apply, Step(0, "partition", str(i), change.after_us))
                gevent.sleep(CUT_LEAD_S)
                self._record_outcome(self.call(i, line))
                cut_task.join()
            case "race":
                other_task = gevent.spawn(self.call, change.other, f"{propose} {self.write_variant()}")
                self._record_outcome(self.call(i, line))
                self._record_outcome(other_task.get())
            case _:
                self._record_outcome(self.call(i, line))

    def call(self, i: int, line: str) -> str:
        """The answer of member i's admin socket to one line; empty on a timeout or connection error."""
        address = "127.0.0.1", self._processes.places[i].admin_port
        try:
            with socket.create_connection(address, timeout=CALL_TIMEOUT_S) as sock:
                sock.sendall(line.encode() + b"\n")
                return str(sock.makefile("r", encoding="utf-8").readline())
        except OSError:
            return ""

    def status(self, i: int) -> dict[str, Any] | None:
        """Member i's answer to `policy status` (`coord.calls.PolicyStatus`); None if it gave none."""
        answer = self.call(i, "policy status")
        if not answer.startswith("SUCCESS {"):
            return None
        status: dict[str, Any] = json.loads(answer.partition(" ")[2])
        self.ledgers.append([(number, digest) for number, digest, _ in status["versions"]])
        return status

    def agreed(self) -> bool:
        """Whether all members are ready and serve under the same, newest version."""
        statuses = [self.status(i) for i in self._processes.programs]
        versions = {(s["version"], s["serving"], s["ready"]) for s in statuses if s is not None}
        return (
            None not in statuses
            and len(versions) == 1
            and all(newest == serving and ready for newest, serving, ready in versions)
        )

    def write_variant(self) -> Path:
        """Writes a settings file that differs from all previous ones."""
        self._variants += 1
        settings = json.loads(self._processes.places[0].config.read_text())["settings"]
        settings["Caps"]["MaxAttempts"] = 1 + self._variants % 5
        settings["Caps"]["MaxOpen"] = 4000 + self._variants
        file = self._folder / f"policy-{self._variants}.json"
        file.write_text(json.dumps({"settings": settings}))
        return file

    def _record_outcome(self, answer: str) -> None:
        outcomes = (outcome for start, outcome in OUTCOME_BY_ANSWER.items() if answer.startswith(start))
        self.outcomes[next(outcomes, "refused")] += 1
