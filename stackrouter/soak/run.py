"""Runs one soak: gateways in their own processes, clients, nodes and agents in this one, and the checks."""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import gevent

from stackrouter.soak.agents import Agent, Entry
from stackrouter.soak.clients import ANSWER_SLACK_S, CLASSES, GatewayClients
from stackrouter.soak.judge import judge
from stackrouter.soak.nodes import SoakNode
from stackrouter.soak.options import SoakOptions
from stackrouter.soak.processes import SoakGateway, repeat_windows_s
from stackrouter.soak.records import Ending, Records
from stackrouter.soak.schedule import Fault, draw
from stackrouter.standins.discovery import entry

NODES_PER_SHARD: Final = 3
LATENESS_STEP_S: Final = 0.01  # sampling interval
PUSH_SPREAD_S: Final = 0.3  # a change reaches each agent after a random delay up to this
RETURN_DELAY_S: Final = (0.4, 1.2)  # from a node's removal to its return, beyond PUSH_SPREAD_S
MAX_HUPS: Final = 3
MAX_READ_S: Final = 15.0  # after the last request's time, for clients that read slowly


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak. `ok`: no violation, no unanswered request, no crash."""

    seed: int
    requests: int
    answered: int
    unanswered: int
    violations: dict[str, int]
    counted: dict[str, int]
    faults: dict[str, int]
    restarts: int
    not_ready_10s: int
    crashes: list[str]
    late_ms_p99: float
    why: dict[str, str]

    @property
    def ok(self) -> bool:
        return not self.violations and not self.unanswered and not self.crashes

    def as_json(self) -> dict[str, Any]:
        return asdict(self)


class Soak:
    """A single soak; `run` can be called once. `folder`: where to keep files and logs."""

    def __init__(self, options: SoakOptions, folder: Path | None = None) -> None:
        self.options = options
        self._scratch = tempfile.TemporaryDirectory(prefix="stackrouter-soak-")
        self.folder = folder or Path(self._scratch.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.records = Records(unix_offset_s=time.time() - time.monotonic())
        self._rng = random.Random(f"{options.seed} run")
        shards = max(1, options.nodes // NODES_PER_SHARD)
        self.nodes = [
            SoakNode(f"s-{i}", i % shards, self.records, options.seed, "long" in options.faults)
            for i in range(options.nodes)
        ]
        entries = {node.name: self._entry(node) for node in self.nodes}
        self.gateways = [
            SoakGateway(i, options, Agent(i, entries, self.records, options.seed), self.records, self.folder)
            for i in range(options.gateways)
        ]
        self._shards = shards
        self._draining: set[int] = set()
        self._faults: Counter[str] = Counter()

    @staticmethod
    def _entry(node: SoakNode, status: str = "up") -> Entry:
        return entry(node.name, node.address, node.shard, "hall-a", "std", status, node.since_ms)

    def run(self) -> SoakResult:
        """Runs the soak and returns its result after all processes and servers have stopped."""
        watch = gevent.spawn(self._watch_lateness)
        try:
            for gateway in self.gateways:
                gateway.start()
            ready = [gevent.spawn(gateway.await_ready) for gateway in self.gateways]
            gevent.joinall(ready)
            if all(greenlet.value for greenlet in ready):
                self._play_faults()
        finally:
            for gateway in self.gateways:
                if gateway.clients is not None:
                    gateway.clients.stop()
            gevent.sleep(max(c.deadline_s for c in CLASSES) + ANSWER_SLACK_S + 0.2)
            self._await_answers()
            gevent.joinall([gevent.spawn(gateway.stop) for gateway in self.gateways])
            for gateway in self.gateways:
                gateway.agent.stop()
            for node in self.nodes:
                node.stop()
            watch.kill()
        return self._result()

    def _await_answers(self) -> None:
        """Waits for clients that still read; an answer may be longer than its request's time."""
        until = time.monotonic() + MAX_READ_S
        while time.monotonic() < until and any(
            request.ending is Ending.OPEN for request in self.records.requests.values()
        ):
            gevent.sleep(0.1)

    def _play_faults(self) -> None:
        for gateway in self.gateways:
            gateway.clients = GatewayClients(
                gateway.number, gateway.state, self.records, self.options.seed, self.options.requests_per_s,
                self._shards, self.options.faults,
            )  # fmt: skip
        began_at = time.monotonic()
        for fault in draw(self.options):
            gevent.sleep(max(0.0, began_at + fault.at_s - time.monotonic()))
            self._faults[fault.kind] += 1
            gevent.spawn(self._inject, fault)
        gevent.sleep(max(0.0, began_at + self.options.seconds - time.monotonic()))

    def _inject(self, fault: Fault) -> None:
        match fault.kind:
            case "drains":
                self._drain(fault.target, fault.amount)
            case "hangs":
                self.nodes[fault.target].hang(fault.amount)
            case "resets":
                self.nodes[fault.target].reset()
            case "holds":
                self.gateways[fault.target].pause(fault.amount)
            case "silence":
                self.gateways[fault.target].agent.silence(fault.amount)
            case "slowness":
                self.gateways[fault.target].agent.slow(fault.amount)
            case "history":
                self.gateways[fault.target].agent.renumber()
            case "term" | "kill":
                self.gateways[fault.target].restart(fault.amount, by_term=fault.kind == "term")
            case "hup":
                self.gateways[fault.target].send_hups(1 + round(fault.amount * (MAX_HUPS - 1)))
            case "leavers":
                clients = self.gateways[fault.target].clients
                if clients is not None:
                    clients.leave(fault.amount)

    def _drain(self, number: int, duration_s: float) -> None:
        if number in self._draining:
            return
        self._draining.add(number)
        node = self.nodes[number]
        node.drain()
        self._push(node, "draining")
        gevent.sleep(duration_s)
        self._push(node, "removed")
        gevent.sleep(PUSH_SPREAD_S + random.Random(f"{self.options.seed} {number}").uniform(*RETURN_DELAY_S))
        node.restart_elsewhere()
        self._push(node, "up")
        gevent.sleep(PUSH_SPREAD_S)
        self._draining.discard(number)

    def _push(self, node: SoakNode, status: str) -> None:
        """Sends a node's status to each agent after a random delay."""
        changed = self._entry(node, status)
        for gateway in self.gateways:
            gevent.spawn_later(
                self._rng.uniform(0.0, PUSH_SPREAD_S), gateway.agent.push, node.name, dict(changed)
            )

    def _watch_lateness(self) -> None:
        while True:
            due = time.monotonic() + LATENESS_STEP_S
            gevent.sleep(LATENESS_STEP_S)
            now = time.monotonic()
            self.records.lateness.add(now, max(0.0, now - due))

    def _result(self) -> SoakResult:
        verdict = judge(self.records, repeat_windows_s())
        counted: Counter[str] = Counter()
        for gateway in self.gateways:
            counted.update(gateway.counted())
        return SoakResult(
            seed=self.options.seed, requests=verdict.requests, answered=verdict.answered,
            unanswered=verdict.unanswered, violations=dict(verdict.violations), counted=dict(counted),
            faults=dict(self._faults), restarts=sum(g.restarts for g in self.gateways),
            not_ready_10s=sum(g.not_ready_10s for g in self.gateways),
            crashes=[crash for g in self.gateways for crash in g.crashes],
            late_ms_p99=self.records.lateness.p99_ms(), why=verdict.why,
        )  # fmt: skip
