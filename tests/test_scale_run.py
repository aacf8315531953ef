"""The scale run with real processes: a small valid run, two runs with a planted fault, and a comparison of a
hollow gateway with a real one."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
import unittest
from collections import defaultdict
from collections.abc import Callable
from typing import Any, cast

import gevent

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import Delta, Frame, Node, NodeChanges, PolicyVersion
from stackrouter.controlplane.gateway import GatewayControl
from stackrouter.controlplane.replica import ReplicaAction, ReplicaLimits, ReplicaStateMachine
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.coord.member import boottime_us
from stackrouter.coord.policy import Version
from stackrouter.coord.port import LogPosition, ServingReport
from stackrouter.core.counters import Counters
from stackrouter.edge.config import Control, Replica
from stackrouter.fleet.scale.files import Reach
from stackrouter.fleet.scale.hollow import HollowGateway, HollowSetup
from stackrouter.fleet.scale.options import ScaleOptions
from stackrouter.fleet.scale.plan import PolicyChange, draw_plan
from stackrouter.net.discovery import Discovery

WAIT_S = 10.0
RUN_S = 45.0
TOUCH_MS, AFTER_MS = 800, 1000


def wait_for(condition: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(what)
        gevent.sleep(0.01)


class Run:
    """The command `fleet scale` in a child process."""

    def __init__(self, *options: str) -> None:
        common = ["--hollow", "20", "--real", "1", "--control", "3", "--regions", "3", "--nodes", "200",
                  "--touch-ms", str(TOUCH_MS), "--after-ms", str(AFTER_MS), "--json"]  # fmt: skip
        command = [sys.executable, "-m", "stackrouter.cli.main", "fleet", "scale", *common, *options]
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, env=dict(os.environ)
        )

    def close(self) -> None:
        """Terminate the command gracefully, so that it stops its own children."""
        if self._process.poll() is None:
            self._process.terminate()
        self._process.communicate(timeout=RUN_S)

    def result(self) -> tuple[int, dict[str, Any]]:
        """Wait for the exit; return the exit code and the figures."""
        stdout, stderr = self._process.communicate(timeout=RUN_S)
        if not stdout.strip():
            raise AssertionError(stderr)
        figures: dict[str, Any] = json.loads(stdout.splitlines()[-1])
        return self._process.returncode, figures


def seed_with_two_policy_changes() -> int:
    """The seed of a run of one second with two policy changes: the version whose activation the planted
    replica drops is then the last one."""
    options = ScaleOptions(hollow=20, real=1, seconds=1.0)
    seeds = (seed for seed in range(100) if len(draw_plan(_with_seed(options, seed)).of(PolicyChange)) == 2)
    return next(seeds)


def _with_seed(options: ScaleOptions, seed: int) -> ScaleOptions:
    return ScaleOptions(hollow=options.hollow, real=options.real, seconds=options.seconds, seed=seed)


class ScaleRuns(unittest.TestCase):
    """The three runs execute concurrently; each test checks one of them."""

    runs: dict[str, Run]

    @classmethod
    def setUpClass(cls) -> None:
        seed = str(seed_with_two_policy_changes())
        cls.runs = {
            "valid": Run("--seconds", "4"),
            "dropped": Run("--seconds", "1", "--seed", seed, "--planted", "dropped-delta"),
            "early": Run("--seconds", "1", "--seed", seed, "--planted", "early-version"),
        }
        for run in cls.runs.values():
            cls.addClassCleanup(run.close)

    def test_a_small_run_is_ok_and_reports_all_figures(self) -> None:
        code, figures = self.runs["valid"].result()
        self.assertEqual((code, figures["broken"], figures["ok"]), (0, [], True), figures)
        self.assertEqual((figures["hollow"], figures["real"], figures["control"]), (20, 1, 3))
        self.assertEqual(
            (figures["left_behind"], figures["uncommitted_served"], figures["faults"]), (0, 0, 0)
        )
        self.assertGreaterEqual(figures["changes"], 3)
        self.assertGreaterEqual(figures["in_force_ms_p50"], AFTER_MS * 0.9)
        self.assertLess(figures["in_force_ms_p99"], 7000)
        for name in ("gateway_rss_mib_whole", "gateway_bytes_s", "control_cpu_ms_s", "control_rss_mib",
                     "control_bytes_s", "log_entries_s", "late_ms_p99"):  # fmt: skip
            self.assertGreaterEqual(figures[name], 0, name)
        self.assertGreater(figures["control_bytes_s"], 0)
        self.assertGreater(figures["log_entries_s"], 0)

    def test_a_replica_that_drops_a_delta_is_detected(self) -> None:
        code, figures = self.runs["dropped"].result()
        self.assertEqual(code, 1, figures)
        self.assertIn("left_behind", figures["broken"])
        self.assertGreater(figures["left_behind"], 0)
        self.assertLess(figures["left_behind"], 21, "must affect the gateways of one replica only")

    def test_a_gateway_that_serves_a_version_before_its_activation_is_detected(self) -> None:
        code, figures = self.runs["early"].result()
        self.assertEqual(code, 1, figures)
        self.assertIn("uncommitted_served", figures["broken"])


class RecordingReplica(ReplicaStateMachine):
    """Records each received frame by gateway."""

    def __init__(self) -> None:
        super().__init__("c1", ReplicaLimits(barrier_interval_us=10_000))
        self.frames: dict[str, list[Frame]] = defaultdict(list)
        self._names: dict[int, str] = {}

    def received(self, reader: int, frame: Frame, now: int) -> list[ReplicaAction]:
        if frame.HasField("hello"):
            self._names[reader] = frame.hello.gateway
        self.frames[self._names[reader]].append(frame)
        return super().received(reader, frame, now)

    def heartbeats(self, gateway: str) -> list[Frame]:
        return [frame for frame in self.frames[gateway] if frame.HasField("heartbeat")]


class FollowedDiscovery:
    """A substitute for the discovery of a real gateway."""

    def __init__(self) -> None:
        self.fleet: object = None
        self.index = -1

    def apply_relayed(self, listing: dict[str, Any]) -> None:
        self.index = listing["index"]


class HollowBesideReal(unittest.TestCase):
    """Guards against a hollow gateway that costs a replica less than a real one, which would make the figures
    of scale runs too low: both must exchange the same frames."""

    def setUp(self) -> None:
        self.machine = RecordingReplica()
        self.server = ControlServer(
            self.machine, ("127.0.0.1", 0), boottime_us, Counters(), self._confirm, lambda: None
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        nodes = {f"s-{i}": Node(name=f"s-{i}", address=f"127.0.0.1:{i + 1}", status="up") for i in range(700)}
        version = Version(1, "d" * 64, "settings " * 100, 0, "c1")
        self.position = LogPosition("h" * 32, 5)
        state = ReplicatedState(self.position, [version], 1, 3, nodes)
        self.server.call(self.machine.loaded, state)
        address = "{}:{}".format(*self.server.address)
        reach = Reach("c1", address, "region-1")
        setup = HollowSetup(["gw-hollow"], "region-1", [reach], TOUCH_MS, TOUCH_MS // 10, seed=1)
        self.hollow = HollowGateway("gw-hollow", setup, lambda report: None)
        control = Control(enabled=True, region="region-1", replica=(Replica("c1", address, "region-1"),),
                          touch_ms=TOUCH_MS, max_drift_ms=TOUCH_MS // 10)  # fmt: skip
        self.discovery = FollowedDiscovery()
        self.real = GatewayControl(
            "gw-actual", control, cast(Discovery, self.discovery), Counters(), lambda body: None
        )
        self.addCleanup(self.real.close)
        self.addCleanup(self.hollow.stop)

    def _confirm(self, barrier: int, report: ServingReport) -> None:
        gevent.spawn(lambda: self.server.call(self.machine.barrier_confirmed, barrier, self.position))

    def _commit(self, delta: Delta) -> None:
        self.position = LogPosition(self.position.history, delta.number)
        self.server.call(self.machine.committed, delta.number, delta)

    def _wait_for_heartbeats(self, count: int) -> None:
        """Wait until both gateways have sent `count` more heartbeats."""
        names = ("gw-hollow", "gw-actual")
        due = {name: len(self.machine.heartbeats(name)) + count for name in names}
        wait_for(lambda: all(len(self.machine.heartbeats(n)) >= due[n] for n in names), "heartbeats missing")

    def test_hollow_and_real_gateways_exchange_the_same_frames(self) -> None:
        wait_for(lambda: self.machine.report(boottime_us()).ready, "the replica is not ready")
        # A gateway asks discovery first, then follows the replica.
        self.real.listing_received(None, {"index": 2})
        self.hollow.start()
        self.real.start()
        wait_for(lambda: self.hollow.nodes_index == 3 == self.discovery.index, "list not received")
        self._wait_for_heartbeats(3)
        change = NodeChanges(index=4, nodes=[Node(name="s-7", address="127.0.0.1:8", status="draining")])
        self._commit(Delta(number=6, nodes=change))
        proposed = PolicyVersion(number=2, digest="e" * 64, body="settings " * 90, proposed_by="c1")
        self._commit(Delta(number=7, committed=proposed))
        self._commit(Delta(number=8, activated=2))
        wait_for(lambda: self.hollow.version == 2 == self.real.policy.serving.number, "policy not in force")
        wait_for(lambda: self.hollow.nodes_index == 4 == self.discovery.index, "list change not received")
        self._wait_for_heartbeats(3)
        self._compare_sent()
        self._compare_received()

    def _compare_sent(self) -> None:
        hollow, real = self.machine.frames["gw-hollow"], self.machine.frames["gw-actual"]
        kinds = [[frame.WhichOneof("body") for frame in frames] for frames in (hollow, real)]
        shorter = min(map(len, kinds))
        self.assertEqual(kinds[0][:shorter], kinds[1][:shorter])
        self.assertEqual(kinds[0].count("hello"), 1, "a gateway connected more than once")
        for frames in (hollow, real):
            frames[0].hello.life = frames[0].hello.life.partition(".")[0]  # the rest is the start time
        self.assertEqual(len(encode(hollow[0])), len(encode(real[0])))
        sizes = [{len(encode(frame)) for frame in frames[1:]} for frames in (hollow, real)]
        self.assertEqual(*sizes)
        serving = [{frame.heartbeat.serving for frame in frames[1:]} for frames in (hollow, real)]
        self.assertEqual(*serving)
        rules = [self.hollow.client.policy.rules, self.real.policy.rules]
        self.assertEqual(rules[0], rules[1], "heartbeat intervals differ")

    def _compare_received(self) -> None:
        """Both received the same, except for one answer for each heartbeat that one of them sent more."""
        hollow, real = self.hollow.client.figures(), self.real.client.figures()
        answers = hollow.frames_in - real.frames_in
        self.assertLessEqual(abs(answers), 3)
        frame = Frame()
        frame.heartbeat_answer.sequence = 1
        frame.heartbeat_answer.position.history = self.position.history
        frame.heartbeat_answer.position.number = self.position.number
        self.assertEqual(hollow.bytes_in - real.bytes_in, answers * len(encode(frame)))
        self.assertGreater(real.bytes_in, 1000)
