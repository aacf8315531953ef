"""A process of hollow gateways: `python -m stackrouter.fleet.scale.hollow SETUP`.

A hollow gateway is a gateway as the control plane sees it: an identity, a clock and a connection of its
own, round the same `ObserverClient` that a real gateway has. Only what it would do with what it is told is
left out: its sink keeps nothing. The process reads orders from its standard input and reports on its
standard output, both as lines of reports.py, and ends when its input ends.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent
from gevent.fileobject import FileObjectPosix

from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.observer import GatewayIdentity, TakeNodes
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.coord.member import boottime_us
from stackrouter.coord.policy import PolicyStateMachine, Rules, Version
from stackrouter.fleet.scale.files import Reach
from stackrouter.fleet.scale.judge import FinalState, Served, Taken
from stackrouter.fleet.scale.measure import LATE_STEP_S, Lateness
from stackrouter.fleet.scale.options import DRIFT_PART
from stackrouter.fleet.scale.plan import clock_rate
from stackrouter.fleet.scale.reports import (
    EndHollow,
    HollowEnd,
    HollowState,
    Report,
    RestartGateway,
    from_line,
    to_line,
)

SAMPLE_S = 0.05  # between two looks at what each gateway serves under
FLUSH_S = 0.1  # between two writes of reports
STATE_S = 0.25
START_PAUSE_S, START_AT_ONCE = 0.01, 5  # gateways of one process start one after the other
CLOCK_OFFSET_US = 3_600_000_000  # clocks start at random within an hour


@dataclass(frozen=True, slots=True)
class HollowSetup:
    """What a process is told at its start. Times in milliseconds. `early`: gateways that serve under a
    version as soon as it is committed, which is a planted fault."""

    gateways: list[str]
    region: str
    replicas: list[Reach]
    touch_ms: int
    drift_ms: int
    seed: int
    early: tuple[str, ...] = ()

    @classmethod
    def read(cls, file: Path) -> HollowSetup:
        raw = json.loads(file.read_text(encoding="utf-8"))
        return cls(**raw | {"replicas": [Reach(**reach) for reach in raw["replicas"]]})

    @property
    def rules(self) -> Rules:
        return Rules(self.touch_ms * 1000, self.drift_ms * 1000)


class EarlyPolicy(PolicyStateMachine):
    """Planted: takes each version at once, as if its commit were its activation."""

    def version_committed(self, version: Version, now: int) -> None:
        super().version_committed(version, now)
        self.version_activated(version.number)


def gateway_clock(rng: Random) -> Callable[[], int]:
    """A clock of a gateway's own, in microseconds: it started at any time and runs at a rate within the
    drift."""
    rate, offset = clock_rate(rng, DRIFT_PART), rng.randrange(CLOCK_OFFSET_US)

    def clock() -> int:
        return boottime_us(rate) + offset

    return clock


@dataclass(slots=True)
class _Interval:
    """What a gateway serves under, from the first time that it was seen to until the last."""

    version: int
    digest: str
    since: int
    until: int


class HollowGateway:
    """One hollow gateway, over all its lives. It is the sink of its own client."""

    def __init__(self, name: str, setup: HollowSetup, report: Callable[[Report], None]) -> None:
        self.name = name
        self.nodes_index = -1
        self._setup, self._report = setup, report
        self._rng = Random(f"{setup.seed}/{name}")
        self._clock = gateway_clock(self._rng)
        self._interval: _Interval | None = None
        self.client = self._new_client()

    def start(self) -> None:
        self.client.start()

    def restart(self) -> None:
        """End without a word, and start anew with nothing."""
        self._end_life()
        self.nodes_index = -1
        self.client = self._new_client()
        self.client.start()

    def stop(self) -> FinalState:
        """End; what it had."""
        serving = self.client.policy.serving
        self._end_life()
        return FinalState(self.name, serving.number, serving.digest, self.nodes_index)

    @property
    def ready(self) -> bool:
        return self.client.policy.ready(self._clock())

    @property
    def version(self) -> int:
        return self.client.policy.serving.number

    def sample(self) -> None:
        """Note whether it takes requests now, and under what."""
        policy = self.client.policy
        if not policy.serves(self._clock()):
            self._close_interval()
            return
        now, version = time.monotonic_ns(), policy.serving
        if self._interval is None:
            self._interval = _Interval(version.number, version.digest, now, now)
        self._interval.until = now

    def take_policy(self, body: str) -> None:
        """A real gateway serves under it from now on. Nothing is kept here."""

    def take_nodes(self, piece: TakeNodes) -> None:
        """A real gateway takes these nodes. Nothing is kept here but the version of the list."""
        if piece.last and piece.index != self.nodes_index:
            self.nodes_index = piece.index
            self._report(Taken(self.name, "list", piece.index, "", time.monotonic_ns()))

    def _new_client(self) -> ObserverClient:
        setup = self._setup
        # As a real gateway makes it: another life under the same name must not pass for this one.
        life = f"{self.name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}"
        client = ObserverClient(
            GatewayIdentity(self.name, life, setup.region),
            [ReplicaAddress(reach.name, reach.address, reach.region) for reach in setup.replicas],
            setup.rules,
            self,
            self._rng,
            self._clock,
            version_taken=self._version_taken,
        )
        if self.name in setup.early:
            client.policy = client.observer.policy = EarlyPolicy(setup.rules)
        return client

    def _version_taken(self, version: Version, good: bool, now: int) -> None:
        if not good:
            return
        self._report(Taken(self.name, "policy", version.number, version.digest, time.monotonic_ns()))
        self._close_interval()
        self.sample()

    def _close_interval(self) -> None:
        if (interval := self._interval) is not None:
            self._report(Served(self.name, interval.version, interval.digest, interval.since, interval.until))
        self._interval = None

    def _end_life(self) -> None:
        self.client.stop()
        self._close_interval()


@dataclass(slots=True)
class HollowProcess:
    """All hollow gateways of this process."""

    setup: HollowSetup
    _lines: list[str] = field(default_factory=list)
    _lateness: Lateness = field(default_factory=Lateness)
    _gateways: dict[str, HollowGateway] = field(default_factory=dict)

    def run(self) -> None:
        """Until the input ends or an order says so."""
        for step in (self._start, self._sample, self._flush_often, self._tell_state, self._watch_lateness):
            gevent.spawn(step)
        for line in FileObjectPosix(sys.stdin.fileno(), "rb", closefd=False):
            match from_line(line.decode(errors="replace")):
                case RestartGateway(gateway) if gateway in self._gateways:
                    self._gateways[gateway].restart()
                case EndHollow():
                    break
        self._end()

    def _report(self, report: Report) -> None:
        self._lines.append(to_line(report))

    def _start(self) -> None:
        for number, name in enumerate(self.setup.gateways):
            self._gateways[name] = HollowGateway(name, self.setup, self._report)
            self._gateways[name].start()
            if number % START_AT_ONCE == 0:
                gevent.sleep(START_PAUSE_S)

    def _sample(self) -> None:
        while True:
            for gateway in list(self._gateways.values()):
                gateway.sample()
            gevent.sleep(SAMPLE_S)

    def _flush_often(self) -> None:
        while True:
            self._flush()
            gevent.sleep(FLUSH_S)

    def _flush(self) -> None:
        lines, self._lines = self._lines, []
        if lines:
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()

    def _tell_state(self) -> None:
        while True:
            gateways = list(self._gateways.values())
            if len(gateways) == len(self.setup.gateways):
                ready = sum(gateway.ready for gateway in gateways)
                version = min((gateway.version for gateway in gateways), default=0)
                nodes_index = min((gateway.nodes_index for gateway in gateways), default=-1)
                self._report(HollowState(len(gateways), ready, version, nodes_index))
            gevent.sleep(STATE_S)

    def _watch_lateness(self) -> None:
        while True:
            due = time.monotonic() + LATE_STEP_S
            gevent.sleep(LATE_STEP_S)
            self._lateness.note(time.monotonic() - due)

    def _end(self) -> None:
        gateways = list(self._gateways.values())
        for gateway in gateways:
            self._report(gateway.stop())
        late_ms = {str(ms): count for ms, count in self._lateness.by_ms.items()}
        self._report(HollowEnd(late_ms))
        self._flush()


def main() -> None:
    """The only argument names the file of a HollowSetup."""
    HollowProcess(HollowSetup.read(Path(sys.argv[1]))).run()


if __name__ == "__main__":
    main()
