"""A process of hollow gateways: `python -m stackrouter.fleet.scale.hollow SETUP`.

A hollow gateway looks like a real gateway to the control plane: it has its own identity, clock and connection
and uses the same `ObserverClient`. It serves no requests, and its sink discards the policies and nodes that
it receives. The process reads orders from standard input and writes reports to standard output, both as the
lines that reports.py defines, and exits at the end of its input.
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
from stackrouter.coord.policy import HeartbeatRules, PolicyStateMachine, Version
from stackrouter.fleet.scale.files import Reach
from stackrouter.fleet.scale.judge import FinalState, Served, Taken
from stackrouter.fleet.scale.measure import LATENESS_STEP_S, Lateness
from stackrouter.fleet.scale.options import CLOCK_DRIFT_RATIO
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

SAMPLE_S = 0.05  # interval at which the served version of each gateway is sampled
FLUSH_S = 0.1  # interval at which buffered reports are written
STATE_S = 0.25  # interval of HollowState reports
START_BATCH_PAUSE_S, START_BATCH_GATEWAYS = 0.01, 5  # a pause after each batch spreads out the connections
CLOCK_OFFSET_US = 3_600_000_000  # clock offsets are drawn from one hour


@dataclass(frozen=True, slots=True)
class HollowSetup:
    """The configuration of one process. Times in milliseconds. `early`: gateways with a planted fault, which
    serve under a version as soon as it is committed."""

    gateways: list[str]
    region: str
    replicas: list[Reach]
    touch_ms: int
    drift_ms: int
    seed: int
    early: tuple[str, ...] = ()

    @classmethod
    def read(cls, file: Path) -> HollowSetup:
        """Load the setup from a JSON file."""
        raw = json.loads(file.read_text(encoding="utf-8"))
        return cls(**raw | {"replicas": [Reach(**reach) for reach in raw["replicas"]]})

    @property
    def rules(self) -> HeartbeatRules:
        return HeartbeatRules(self.touch_ms * 1000, self.drift_ms * 1000)


class EarlyPolicy(PolicyStateMachine):
    """A planted fault: activates each version on commit instead of waiting for its activation."""

    def version_committed(self, version: Version, now: int) -> None:
        super().version_committed(version, now)
        self.version_activated(version.number)


def gateway_clock(rng: Random) -> Callable[[], int]:
    """A clock for one gateway, in microseconds, with a random offset and a random rate within the allowed
    drift."""
    rate, offset = clock_rate(rng, CLOCK_DRIFT_RATIO), rng.randrange(CLOCK_OFFSET_US)

    def clock() -> int:
        return boottime_us(rate) + offset

    return clock


@dataclass(slots=True)
class _Interval:
    """The version that a gateway serves under, and the first and last time it was observed to."""

    version: int
    digest: str
    since: int
    until: int


class HollowGateway:
    """One hollow gateway, across restarts. It is the sink of its own client."""

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
        """Disconnect without notice and start again with no state."""
        self._stop_client()
        self.nodes_index = -1
        self.client = self._new_client()
        self.client.start()

    def stop(self) -> FinalState:
        """Stop the gateway and return its final state."""
        serving = self.client.policy.serving
        self._stop_client()
        return FinalState(self.name, serving.number, serving.digest, self.nodes_index)

    @property
    def ready(self) -> bool:
        return self.client.policy.ready(self._clock())

    @property
    def version(self) -> int:
        return self.client.policy.serving.number

    def sample(self) -> None:
        """Record whether the gateway serves requests now, and under which version."""
        policy = self.client.policy
        if not policy.serves(self._clock()):
            self._close_interval()
            return
        now, version = time.monotonic_ns(), policy.serving
        if self._interval is None:
            self._interval = _Interval(version.number, version.digest, now, now)
        self._interval.until = now

    def take_policy(self, body: str) -> None:
        """Discard the policy; a real gateway would apply it."""

    def take_nodes(self, piece: TakeNodes) -> None:
        """Record the index of the list and discard its nodes; a real gateway would apply them."""
        if piece.last and piece.index != self.nodes_index:
            self.nodes_index = piece.index
            self._report(Taken(self.name, "list", piece.index, "", time.monotonic_ns()))

    def _new_client(self) -> ObserverClient:
        setup = self._setup
        # As in a real gateway: distinguishes this incarnation from others under the same name.
        life = f"{self.name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}"
        client = ObserverClient(
            GatewayIdentity(self.name, life, setup.region),
            [ReplicaAddress(reach.name, reach.address, reach.region) for reach in setup.replicas],
            setup.rules,
            self,
            self._rng,
            self._clock,
            version_applied=self._version_applied,
        )
        if self.name in setup.early:
            client.policy = client.observer.policy = EarlyPolicy(setup.rules)
        return client

    def _version_applied(self, version: Version, good: bool, now: int) -> None:
        if not good:
            return
        self._report(Taken(self.name, "policy", version.number, version.digest, time.monotonic_ns()))
        self._close_interval()
        self.sample()

    def _close_interval(self) -> None:
        if (interval := self._interval) is not None:
            self._report(Served(self.name, interval.version, interval.digest, interval.since, interval.until))
        self._interval = None

    def _stop_client(self) -> None:
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
        """Run until the input ends or an EndHollow order arrives."""
        for task in (
            self._start,
            self._sample,
            self._flush_periodically,
            self._report_state_periodically,
            self._watch_lateness,
        ):
            gevent.spawn(task)
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
            if number % START_BATCH_GATEWAYS == 0:
                gevent.sleep(START_BATCH_PAUSE_S)

    def _sample(self) -> None:
        while True:
            for gateway in list(self._gateways.values()):
                gateway.sample()
            gevent.sleep(SAMPLE_S)

    def _flush_periodically(self) -> None:
        while True:
            self._flush()
            gevent.sleep(FLUSH_S)

    def _flush(self) -> None:
        lines, self._lines = self._lines, []
        if lines:
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()

    def _report_state_periodically(self) -> None:
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
            due = time.monotonic() + LATENESS_STEP_S
            gevent.sleep(LATENESS_STEP_S)
            self._lateness.note(time.monotonic() - due)

    def _end(self) -> None:
        gateways = list(self._gateways.values())
        for gateway in gateways:
            self._report(gateway.stop())
        late_ms = {str(ms): count for ms, count in self._lateness.by_ms.items()}
        self._report(HollowEnd(late_ms))
        self._flush()


def main() -> None:
    """Run the process that the HollowSetup file named by the only argument describes."""
    HollowProcess(HollowSetup.read(Path(sys.argv[1]))).run()


if __name__ == "__main__":
    main()
