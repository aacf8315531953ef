"""Stateful property tests of replicas and observers under faults, on control_plane_world.py."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import Delta, Frame, HeartbeatAnswer, NodeChanges, Position
from stackrouter.controlplane.replica import ReplicaAction, ReplicaStateMachine, Write
from stackrouter.errors import StreamGapError
from tests.control_plane_world import AFTER_US, DRIFT, LIMITS, MS, STEP_US, VALIDITY_US, World

REPLICAS = st.sampled_from(["r0", "r1", "r2"])
GATEWAYS = st.integers(0, 2)
SHORT_MS = st.integers(0, 250)
BRIEF_MS = st.integers(0, 75)
RATES = st.tuples(*[st.sampled_from([1 - DRIFT, 1.0, 1 + DRIFT])] * 3)
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class ControlPlane(RuleBasedStateMachine):
    """Faults and changes in any order. Invariants are checked whenever time advances."""

    replica_class: type[ReplicaStateMachine] = ReplicaStateMachine
    world: World

    @initialize(seed=st.integers(0, 1 << 32), rates=RATES)
    def begin(self, seed: int, rates: tuple[float, ...]) -> None:
        self.world = World(seed, rates, self.replica_class)
        self.world.publish(True, 3)
        self.world.run(500 * MS)
        self.world.propose()
        self.world.run(AFTER_US + 100 * MS)
        self.world.activate()
        self.world.run(100 * MS)

    @rule(ms=st.integers(1, 900))
    def pass_time(self, ms: int) -> None:
        self.world.run(ms * MS)

    @rule()
    def propose(self) -> None:
        self.world.propose()

    @rule()
    def propose_and_activate(self) -> None:
        self.world.propose()
        self.world.run(AFTER_US)
        self.world.activate()

    @rule(number=GATEWAYS, before=SHORT_MS, between=SHORT_MS, first=st.booleans(), policy=st.booleans())
    def isolate_around_a_change(
        self, number: int, before: int, between: int, first: bool, policy: bool
    ) -> None:
        """Isolate a gateway whose last heartbeat was answered shortly before or after a change."""
        gateway = self.world.gateways[number]
        if policy:
            self.world.propose()
            self.world.run(AFTER_US)
        self.world.run(before * MS)
        gateway.isolated = first
        if policy:
            self.world.activate()
        else:
            self.world.publish(False, 1)
        self.world.run(between * MS)
        gateway.isolated = True
        self.world.run(VALIDITY_US + 200 * MS)
        gateway.isolated = False

    @rule(number=GATEWAYS, before=SHORT_MS, in_flight=BRIEF_MS, between=BRIEF_MS)
    def answer_a_barrier_after_a_change(self, number: int, before: int, in_flight: int, between: int) -> None:
        """A lagging replica applies a barrier that was committed before a change, but not the change."""
        self.world.run(before * MS)
        gateway = self.world.gateways[number]
        if gateway.connection is None or gateway.connection.replica.has_old_history():
            return
        if gateway.connection.replica is self.world.relay:
            return
        replica = gateway.connection.replica
        replica.lagging = True
        self.world.run(in_flight * MS)
        entry = len(replica.history.log)
        self.world.publish(False, 1)
        self.world.run(between * MS)
        replica.apply_to(entry)
        self.world.run(STEP_US)
        gateway.isolated = True
        self.world.run(VALIDITY_US + 200 * MS)
        gateway.isolated = replica.lagging = False

    @rule(isolated=st.booleans(), slow=st.booleans())
    def disturb_relay_uplink(self, isolated: bool, slow: bool) -> None:
        uplink = self.world.relay.uplink
        uplink.isolated, uplink.slow = isolated, slow

    @rule()
    def restart_relay(self) -> None:
        self.world.restart_replica(self.world.relay)

    @rule(number=GATEWAYS, slow=st.booleans())
    def slow_gateway(self, number: int, slow: bool) -> None:
        self.world.gateways[number].slow = slow

    @rule(name=REPLICAS, slow=st.booleans())
    def slow_replica(self, name: str, slow: bool) -> None:
        self.world.replicas[name].slow = slow

    @rule(whole=st.booleans(), count=st.sampled_from([1, 1, 2, 5, 140]))
    def publish(self, whole: bool, count: int) -> None:
        self.world.publish(whole, count)

    @rule(name=REPLICAS, cut=st.booleans())
    def cut_replica_from_the_quorum(self, name: str, cut: bool) -> None:
        self.world.replicas[name].cut = cut

    @rule(name=REPLICAS, lagging=st.booleans())
    def make_replica_lag(self, name: str, lagging: bool) -> None:
        self.world.replicas[name].lagging = lagging

    @rule(name=REPLICAS)
    def install_library_snapshot(self, name: str) -> None:
        self.world.replicas[name].install_library_snapshot()

    @rule(name=REPLICAS)
    def restart_replica(self, name: str) -> None:
        self.world.restart_replica(self.world.replicas[name])

    @rule(number=GATEWAYS)
    def restart_gateway(self, number: int) -> None:
        self.world.restart_gateway(self.world.gateways[number])

    @rule(number=GATEWAYS, notify_gateway=st.booleans(), notify_replica=st.booleans())
    def lose_connection(self, number: int, notify_gateway: bool, notify_replica: bool) -> None:
        self.world.cut(self.world.gateways[number], notify_gateway, notify_replica)

    @rule(number=GATEWAYS, stalled=st.booleans())
    def stall_connection(self, number: int, stalled: bool) -> None:
        connection = self.world.gateways[number].connection
        if connection is not None and connection.number in self.world.connections:
            connection.stalled = stalled

    @precondition(lambda self: len(self.world.histories) < 4)
    @rule(left_behind=st.lists(REPLICAS, max_size=2, unique=True), moved_after=SHORT_MS)
    def restart_history(self, left_behind: list[str], moved_after: int) -> None:
        """Start a new history unknown to some replicas, to which gateways then reconnect from others."""
        self.world.restart_history([self.world.replicas[name] for name in left_behind])
        self.world.publish(True, 2)
        self.world.run((100 + moved_after) * MS)
        for gateway in self.world.gateways:
            self.world.cut(gateway, True, True)
        self.world.run(200 * MS)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.settle()
            assert self.world.served


class AnswersWithoutABarrier(ReplicaStateMachine):
    """Injected fault: heartbeats are answered without a barrier, at the replica's own position."""

    def received(self, reader: int, frame: Frame, now: int) -> list[ReplicaAction]:
        actions = super().received(reader, frame, now)
        session = self._readers.get(reader)
        if frame.WhichOneof("body") == "heartbeat" and session is not None and self._state is not None:
            if session.phase.value != "live":
                return actions
            self._barriers.forget(reader)
            own_position = self._state.position
            position = Position(history=own_position.history, number=own_position.number)
            answer = HeartbeatAnswer(sequence=frame.heartbeat.sequence, position=position)
            actions.append(Write(reader, encode(Frame(heartbeat_answer=answer))))
        return actions


class EmptiesOneChange(ReplicaStateMachine):
    """Injected fault: every fifth change of nodes is sent without its nodes."""

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        if number % 5 == 0 and delta.WhichOneof("change") == "nodes":
            delta = Delta(number=number, nodes=NodeChanges(index=delta.nodes.index))
        return super().committed(number, delta, now)


class LosesOneChange(ReplicaStateMachine):
    """Injected fault: every fifth change is not written to connected readers."""

    lost = 0

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        actions = super().committed(number, delta, now)
        if number % 5 or not actions:
            return actions
        LosesOneChange.lost += 1
        return [action for action in actions if not isinstance(action, Write)]


def machine_for(replica: type[ReplicaStateMachine]) -> type[RuleBasedStateMachine]:
    """The rule-based state machine with replicas of this class."""
    return type(f"ControlPlaneOf{replica.__name__}", (ControlPlane,), {"replica_class": replica})


def run_rules(rules: type[RuleBasedStateMachine]) -> None:
    """Run the rules. Raises AssertionError if an invariant is violated."""
    run_state_machine_as_test(rules, settings=SETTINGS)  # type: ignore[no-untyped-call]


class ControlPlaneMachine(unittest.TestCase):
    def test_invariants_hold_under_faults(self) -> None:
        run_rules(ControlPlane)

    def test_detects_a_replica_that_answers_without_a_barrier(self) -> None:
        self.assert_detected(AnswersWithoutABarrier, "valid|active since|ended")

    def test_detects_a_replica_that_empties_a_change(self) -> None:
        self.assert_detected(EmptiesOneChange, "nodes differ")

    def assert_detected(self, replica: type[ReplicaStateMachine], message: str) -> None:
        with self.assertRaisesRegex(AssertionError, message):
            run_rules(machine_for(replica))

    def test_gateways_detect_and_refetch_a_change_that_was_not_written(self) -> None:
        world = World(1, (1.0, 1.0, 1.0), LosesOneChange)
        world.publish(True, 3)
        world.run(500 * MS)
        for _ in range(12):
            world.publish(False, 1)
            world.run(100 * MS)
        world.settle()
        errors: list[Any] = [hangup.error for gateway in world.gateways for hangup in gateway.hangups]
        self.assertTrue(LosesOneChange.lost)
        self.assertTrue(any(isinstance(error, StreamGapError) for error in errors), errors)
        self.assertEqual(LIMITS.max_log_entries, 4)
