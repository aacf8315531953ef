"""Atomic policy changes across the fleet: the policy state machine without I/O, and gateway processes with
injected faults."""

from __future__ import annotations

import json
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from stackrouter.coord.ledger import Ledger
from stackrouter.coord.policy import OWN, HeartbeatRules, PolicyStateMachine, Version
from stackrouter.coord.port import Activate, ActiveSeen, PolicySeen, Present, Propose
from stackrouter.fleet.check import VersionSample, check_policy
from stackrouter.fleet.harness import Harness
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.policy_changes import PolicyChanges
from tests.test_cli import run_cli as command
from tests.test_fleet import POLICY_KEYS, RUN_KEYS

MS = 1000
RULES = HeartbeatRules(validity_us=1000 * MS, max_drift_us=100 * MS)
AFTER_US = 1500 * MS
END_MS = 9000


class SimulatedFleet:
    """Policy state machines on one ledger; each member reads the ledger up to its own position, and receives
    nothing while it is partitioned."""

    def __init__(
        self, members: int, seed: int, partitions: list[tuple[int, int, int]], changes: list[int]
    ) -> None:
        self.rng, self.partitions, self.changes = Random(seed), partitions, changes
        self.ledger, self.log = Ledger(), list[PolicySeen | ActiveSeen]()
        self.machines = [PolicyStateMachine(RULES) for _ in range(members)]
        self.log_position = [0] * members
        self.in_flight: list[tuple[int, int, int, int]] = []  # arrival, member, heartbeat number, log length
        self.samples: list[VersionSample] = []

    def commit(self, command: Propose | Activate | Present) -> None:
        _, events = self.ledger.apply(command)
        self.log += [e for e in events if isinstance(e, PolicySeen | ActiveSeen)]

    def read_log(self, i: int, log_length: int, now: int) -> None:
        for event in self.log[self.log_position[i] : log_length]:
            if isinstance(event, PolicySeen):
                self.machines[i].version_committed(event.version, now)
            else:
                self.machines[i].version_activated(event.number)
        self.log_position[i] = max(self.log_position[i], log_length)

    def run(self) -> list[VersionSample]:
        for ms in range(0, END_MS, 5):
            now = ms * MS
            if ms in self.changes:
                base = self.ledger.version()
                self.commit(Propose("op", base, f"d{base + 1}", "{}", AFTER_US))
            for i, machine in enumerate(self.machines):
                if any(i == member and at <= ms < end for member, at, end in self.partitions):
                    self.in_flight = [m for m in self.in_flight if m[1] != i]
                    machine.heartbeat_due(now)
                else:
                    if machine.heartbeat_due(now):
                        number = self.rng.getrandbits(40)
                        machine.heartbeat_sent(number, now)
                        self.in_flight.append((ms + self.rng.randint(5, 150), i, number, len(self.log)))
                    for _, _, number, log_length in [m for m in self.in_flight if m[1] == i and m[0] <= ms]:
                        self.read_log(i, log_length, now)
                        machine.heartbeat_answered(number, True, now)
                    self.in_flight = [m for m in self.in_flight if m[1] != i or m[0] > ms]
                    if (due := machine.activation_due(now)) is not None:
                        self.commit(Activate(f"m{i}", due))
                if (version := machine.next_version()) is not None:
                    machine.version_applied(version, now, True)
                if machine.serves(now):
                    at = ms * 1_000_000
                    self.samples.append(
                        VersionSample(at, machine.serving.number, machine.serving.digest, f"m{i}#1")
                    )
        return self.samples


Partitions = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 6000), st.integers(100, 5000)), max_size=4)


class PolicyStateMachineTest(unittest.TestCase):
    @settings(max_examples=30, deadline=None)
    @given(
        st.integers(0, 1 << 30), Partitions, st.lists(st.integers(0, 1000).map(lambda n: 5 * n), max_size=3)
    )
    def test_two_versions_are_served_at_once_for_the_heartbeat_validity_at_most(
        self, seed: int, spans: list[tuple[int, int, int]], changes: list[int]
    ) -> None:
        """A partitioned member keeps serving the older version until its last heartbeat's validity ends."""
        fleet = SimulatedFleet(3, seed, [(m, at, at + long) for m, at, long in spans], changes)
        samples = fleet.run()
        committed = [(v.number, v.digest) for v in fleet.ledger.policies]
        verdict = check_policy(samples, [committed])
        self.assertEqual((verdict.uncommitted_served, verdict.twins), (0, 0))
        self.assertLessEqual(max(verdict.splits_ms, default=0.0), RULES.validity_us / MS)

    def test_a_member_without_a_valid_heartbeat_accepts_nothing_and_catches_up_before_it_is_ready(
        self,
    ) -> None:
        machine, hour = PolicyStateMachine(RULES), 3_600_000_000
        self.assertFalse(machine.ready(0) or machine.serves(0))  # started, and no heartbeat answered yet
        machine.heartbeat_sent(1, 0)
        machine.heartbeat_answered(1, True, 10)
        self.assertTrue(machine.ready(20) and machine.serves(20))
        self.assertFalse(machine.serves(900 * MS))
        self.assertTrue(
            PolicyStateMachine(HeartbeatRules(1000 * MS, 0, refuse=False), _valid_until=0).serves(hour)
        )
        # While it was partitioned, two versions were committed and one was activated.
        machine.version_committed(Version(1, "a", "{}", AFTER_US), hour)
        machine.version_activated(1)
        machine.version_committed(Version(2, "b", "{}", AFTER_US), hour)
        self.assertFalse(machine.ready(hour))
        taken = machine.next_version()
        assert taken is not None and taken.number == 1
        machine.version_applied(taken, hour, True)
        machine.heartbeat_sent(2, hour)
        machine.heartbeat_answered(2, True, hour + 5)
        self.assertTrue(machine.ready(hour + 10))
        self.assertEqual(
            (machine.activation_due(hour + 10), machine.activation_due(hour + AFTER_US)), (None, 2)
        )

    def test_a_member_that_cannot_apply_the_active_version_does_not_serve(self) -> None:
        machine = PolicyStateMachine(RULES, _valid_until=1 << 60)
        machine.version_applied(Version(1, "a", "{}", AFTER_US), 0, False)
        self.assertEqual((machine.serving.number, machine.ready(1), machine.serves(1)), (OWN, False, False))

    def test_concurrent_changes_are_refused_and_the_check_finds_uncommitted_versions(self) -> None:
        ledger = Ledger()
        self.assertEqual(ledger.apply(Propose("a", 0, "x", "{}", AFTER_US))[0], "")
        self.assertEqual(ledger.apply(Propose("b", 0, "y", "{}", AFTER_US))[0], "base")
        self.assertEqual(ledger.apply(Activate("b", 2))[0], "active")  # not committed yet
        bad = check_policy([VersionSample(1, 1, "y", "m#1")], [[(1, "x")], [(1, "x")]])
        self.assertEqual((bad.uncommitted_served, bad.twins), (1, 0))
        self.assertEqual(check_policy([], [[(1, "x")], [(1, "y")]]).twins, 1)


def commit_change(changes: PolicyChanges, i: int, call: str, new_version: int) -> None:
    """Repeat a call until its change is committed: the answer may be lost when the leader changes."""
    until = time.monotonic() + 20
    while f"SUCCESS version={new_version}" not in (answer := changes.call(i, call)):
        status = changes.status(i)
        if status is not None and status["version"] == new_version:
            return
        assert time.monotonic() < until, answer
        gevent.sleep(0.1)


class PolicyProcessTest(unittest.TestCase):
    def test_changes_under_faults_are_in_force_on_all_members_or_none(self) -> None:
        done = command("fleet", "run", "--members", "5", "--nemesis", "partition,kill,stall", "--seed", "4",
                       "--seconds", "6", "--check", "policy", "--json")  # fmt: skip
        result = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual([result[k] for k in ("uncommitted_served", "twins", "disagreed")], [0, 0, 0], result)
        self.assertGreater(result["committed"], 0)
        self.assertLessEqual(result["split_ms_max"] or 0, result["split_bound_ms"])
        keys = {*RUN_KEYS.split(), *POLICY_KEYS.split(), "split_bound_ms", "handoff_bound_ms", "ok"}
        self.assertEqual(set(result), keys)

    def test_an_invalid_change_is_refused_and_a_draining_or_restarted_member_follows_changes(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            Harness(HarnessOptions(members=3, policy=True), Path(folder)) as harness,
        ):
            changes = harness.policy_changes
            broken = Path(folder, "broken.json")
            broken.write_text(
                changes.write_variant().read_text().replace('"MaxAttempts": 2', '"MaxAttempts": 0')
            )
            answer = changes.call(0, f"policy propose 0 {broken}")
            self.assertIn("FAILURE SR-RELOAD-VALUE: policy: line", answer)
            self.assertIn("Caps.MaxAttempts: must be a number over 0", answer)
            self.assertEqual(
                changes.call(0, "policy rollback 0"),
                "FAILURE SR-POLICY-VERSION: version 0 is not known here\n",
            )
            self.assertIn("SUCCESS", changes.call(1, "standby"))  # member 1 drains during the next change
            harness.processes.kill(2)
            commit_change(changes, 0, f"policy propose 0 {changes.write_variant()}", 1)
            self.assertIn(
                "another change came first", changes.call(1, f"policy propose 0 {changes.write_variant()}")
            )
            harness.processes.start(2)
            self.assertTrue(harness.wait_until(changes.agreed, 20.0, "", fatal=False))
            commit_change(changes, 2, f"policy propose 1 {changes.write_variant()}", 2)
            commit_change(changes, 0, "policy rollback 2", 3)
            self.assertTrue(harness.wait_until(changes.agreed, 20.0, "", fatal=False))
            status = changes.status(1)
            assert status is not None
            self.assertEqual((status["version"], status["versions"][2][1]), (3, status["versions"][0][1]))
            verdict = harness.check_policy()
            self.assertEqual((verdict.uncommitted_served, verdict.twins), (0, 0))
