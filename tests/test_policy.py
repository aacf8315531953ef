"""A change of policy everywhere or nowhere: the switch without I/O, and processes of the program with
faults."""

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
from stackrouter.coord.policy import OWN, PolicyStateMachine, Rules, Version
from stackrouter.coord.port import Activate, ActiveSeen, PolicySeen, Present, Propose
from stackrouter.fleet.check import Served, check_policy
from stackrouter.fleet.harness import Harness
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.policy_changes import PolicyChanges
from tests.test_cli import run as command
from tests.test_fleet import POLICY_KEYS, RUN_KEYS

MS = 1000
RULES = Rules(validity_us=1000 * MS, max_drift_us=100 * MS)
AFTER = 1500 * MS
END_MS = 9000


class Fleet:
    """Switches on one ledger; each member reads it up to where it has got, and hears nothing while it is
    cut off."""

    def __init__(self, members: int, seed: int, cuts: list[tuple[int, int, int]], changes: list[int]) -> None:
        self.rng, self.cuts, self.changes = Random(seed), cuts, changes
        self.ledger, self.log = Ledger(), list[PolicySeen | ActiveSeen]()
        self.switches = [PolicyStateMachine(RULES) for _ in range(members)]
        self.read = [0] * members
        self.mail: list[tuple[int, int, int, int]] = []  # when, member, number of its ask, log as of then
        self.samples: list[Served] = []

    def commit(self, command: Propose | Activate | Present) -> None:
        _, events = self.ledger.apply(command)
        self.log += [e for e in events if isinstance(e, PolicySeen | ActiveSeen)]

    def hear(self, i: int, upto: int, now: int) -> None:
        for event in self.log[self.read[i] : upto]:
            if isinstance(event, PolicySeen):
                self.switches[i].version_committed(event.version, now)
            else:
                self.switches[i].version_activated(event.number)
        self.read[i] = max(self.read[i], upto)

    def run(self) -> list[Served]:
        for ms in range(0, END_MS, 5):
            now = ms * MS
            if ms in self.changes:
                base = self.ledger.version()
                self.commit(Propose("op", base, f"d{base + 1}", "{}", AFTER))
            for i, switch in enumerate(self.switches):
                if any(i == member and at <= ms < end for member, at, end in self.cuts):
                    self.mail = [m for m in self.mail if m[1] != i]
                    switch.heartbeat_due(now)
                else:
                    if switch.heartbeat_due(now):
                        number = self.rng.getrandbits(40)
                        switch.heartbeat_sent(number, now)
                        self.mail.append((ms + self.rng.randint(5, 150), i, number, len(self.log)))
                    for _, _, number, upto in [m for m in self.mail if m[1] == i and m[0] <= ms]:
                        self.hear(i, upto, now)
                        switch.heartbeat_answered(number, True, now)
                    self.mail = [m for m in self.mail if m[1] != i or m[0] > ms]
                    if (ripe := switch.activation_due(now)) is not None:
                        self.commit(Activate(f"m{i}", ripe))
                if (version := switch.next_version()) is not None:
                    switch.version_taken(version, now, True)
                if switch.serves(now):
                    at = ms * 1_000_000
                    self.samples.append(Served(at, switch.serving.number, switch.serving.digest, f"m{i}#1"))
        return self.samples


Cuts = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 6000), st.integers(100, 5000)), max_size=4)


class SwitchTest(unittest.TestCase):
    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 1 << 30), Cuts, st.lists(st.integers(0, 1000).map(lambda n: 5 * n), max_size=3))
    def test_two_versions_are_served_under_for_touch_at_most(
        self, seed: int, spans: list[tuple[int, int, int]], changes: list[int]
    ) -> None:
        fleet = Fleet(3, seed, [(m, at, at + long) for m, at, long in spans], changes)
        samples = fleet.run()
        committed = [(v.number, v.digest) for v in fleet.ledger.policies]
        found = check_policy(samples, [committed])
        self.assertEqual((found.uncommitted_served, found.twins), (0, 0))
        self.assertLessEqual(max(found.splits_ms, default=0.0), RULES.validity_us / MS)

    def test_out_of_touch_nothing_is_taken_and_an_hour_later_it_catches_up_before_it_says_yes(self) -> None:
        switch, hour = PolicyStateMachine(RULES), 3_600_000_000
        self.assertFalse(switch.ready(0) or switch.serves(0))  # it starts, and knows nothing yet
        switch.heartbeat_sent(1, 0)
        switch.heartbeat_answered(1, True, 10)
        self.assertTrue(switch.ready(20) and switch.serves(20))
        self.assertFalse(switch.serves(900 * MS))
        self.assertTrue(PolicyStateMachine(Rules(1000 * MS, 0, refuse=False), _valid_until=0).serves(hour))
        # While it was away two versions were committed and one activated.
        switch.version_committed(Version(1, "a", "{}", AFTER), hour)
        switch.version_activated(1)
        switch.version_committed(Version(2, "b", "{}", AFTER), hour)
        self.assertFalse(switch.ready(hour))
        taken = switch.next_version()
        assert taken is not None and taken.number == 1
        switch.version_taken(taken, hour, True)
        switch.heartbeat_sent(2, hour)
        switch.heartbeat_answered(2, True, hour + 5)
        self.assertTrue(switch.ready(hour + 10))
        self.assertEqual((switch.activation_due(hour + 10), switch.activation_due(hour + AFTER)), (None, 2))

    def test_a_version_that_cannot_be_taken_here_is_not_served_under(self) -> None:
        switch = PolicyStateMachine(RULES, _valid_until=1 << 60)
        switch.version_taken(Version(1, "a", "{}", AFTER), 0, False)
        self.assertEqual((switch.serving.number, switch.ready(1), switch.serves(1)), (OWN, False, False))

    def test_changes_cannot_interleave_and_the_check_finds_what_was_never_committed(self) -> None:
        ledger = Ledger()
        self.assertEqual(ledger.apply(Propose("a", 0, "x", "{}", AFTER))[0], "")
        self.assertEqual(ledger.apply(Propose("b", 0, "y", "{}", AFTER))[0], "base")
        self.assertEqual(ledger.apply(Activate("b", 2))[0], "active")  # not committed yet
        bad = check_policy([Served(1, 1, "y", "m#1")], [[(1, "x")], [(1, "x")]])
        self.assertEqual((bad.uncommitted_served, bad.twins), (1, 0))
        self.assertEqual(check_policy([], [[(1, "x")], [(1, "y")]]).twins, 1)


def change(changes: PolicyChanges, i: int, call: str, makes: int) -> None:
    """Until it is committed: a change of leader leaves a call without an answer that says so."""
    until = time.monotonic() + 20
    while f"SUCCESS version={makes}" not in (said := changes.call(i, call)):
        told = changes.status(i)
        if told is not None and told["version"] == makes:
            return
        assert time.monotonic() < until, said
        gevent.sleep(0.1)


class PolicyRun(unittest.TestCase):
    def test_changes_under_faults_hold_everywhere_or_nowhere(self) -> None:
        done = command("fleet", "run", "--members", "5", "--nemesis", "partition,kill,stall", "--seed", "4",
                       "--seconds", "6", "--check", "policy", "--json")  # fmt: skip
        told = json.loads(done.stdout.splitlines()[-1])
        self.assertEqual([told[k] for k in ("uncommitted_served", "twins", "disagreed")], [0, 0, 0], told)
        self.assertGreater(told["committed"], 0)
        self.assertLessEqual(told["split_ms_max"] or 0, told["split_bound_ms"])
        keys = {*RUN_KEYS.split(), *POLICY_KEYS.split(), "split_bound_ms", "handoff_bound_ms", "ok"}
        self.assertEqual(set(told), keys)

    def test_a_broken_change_is_refused_and_a_draining_or_restarted_member_comes_along(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            Harness(HarnessOptions(members=3, policy=True), Path(folder)) as harness,
        ):
            changes = harness.policy_changes
            broken = Path(folder, "broken.json")
            broken.write_text(
                changes.write_variant().read_text().replace('"MaxAttempts": 2', '"MaxAttempts": 0')
            )
            said = changes.call(0, f"policy propose 0 {broken}")
            self.assertIn("FAILURE SR-RELOAD-VALUE: policy: line", said)
            self.assertIn("Caps.MaxAttempts: must be a number over 0", said)
            self.assertEqual(
                changes.call(0, "policy rollback 0"),
                "FAILURE SR-POLICY-VERSION: version 0 is not known here\n",
            )
            self.assertIn("SUCCESS", changes.call(1, "standby"))  # a change while a member drains
            harness.processes.kill(2)
            change(changes, 0, f"policy propose 0 {changes.write_variant()}", 1)
            self.assertIn(
                "another change came first", changes.call(1, f"policy propose 0 {changes.write_variant()}")
            )
            harness.processes.start(2)
            self.assertTrue(harness.wait_until(changes.agreed, 20.0, "", fatal=False))
            change(changes, 2, f"policy propose 1 {changes.write_variant()}", 2)
            change(changes, 0, "policy rollback 2", 3)
            self.assertTrue(harness.wait_until(changes.agreed, 20.0, "", fatal=False))
            told = changes.status(1)
            assert told is not None
            self.assertEqual((told["version"], told["versions"][2][1]), (3, told["versions"][0][1]))
            found = harness.check_policy()
            self.assertEqual((found.uncommitted_served, found.twins), (0, 0))
