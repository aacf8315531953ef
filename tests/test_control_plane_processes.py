"""The control plane in processes on loopback: three voters, a non-voting replica and two gateways."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

from stackrouter.controlplane.codec import MAX_TO_REPLICA_BYTES, encode
from stackrouter.controlplane.frames_pb2 import (
    BAD_FRAME,
    FRAME_TOO_LARGE,
    Frame,
    Heartbeat,
    Reject,
    RejectReason,
)
from stackrouter.errors import FrameTooLargeError, FrameUnreadableError, NotReadyError
from tests.control_group import READ_S, VALID_S, ControlGroup, RawConnection

IN_FORCE_S = 7.0  # the bound promised to operators; includes the delay, an election and a change of replica


def is_answer(frame: Frame) -> bool:
    return bool(frame.HasField("heartbeat_answer"))


class ControlPlaneProcesses(unittest.TestCase):
    """All tests share one group; each restores it."""

    group: ControlGroup

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        group = ControlGroup(Path(folder.name), 3, 2, observer=True, on_loss={"g2": "serve"})
        cls.group = cls.enterClassContext(group)

    def replica_of(self, gateway: str) -> str:
        return str(self.group.control(gateway)["replica"])

    def await_version(self, version: int) -> None:
        group = self.group

        def in_force() -> bool:
            return all(group.control(g).get("serving") == version and group.ready(g) for g in group.gateways)

        group.wait_for(in_force, f"version {version} is not in force", IN_FORCE_S)

    def await_failed_barriers(self, voter: str, more: int) -> None:
        before = self.group.control(voter)["barriers_failed"]
        self.group.wait_for(
            lambda: self.group.control(voter)["barriers_failed"] >= before + more, "barriers do not fail"
        )

    def test_a_policy_and_a_list_change_reach_all_processes(self) -> None:
        group = self.group
        version = group.propose("c1")
        self.await_version(version)
        group.wait_for(
            lambda: all(group.control(r).get("active") == version for r in group.replicas),
            "a replica is behind",
        )

        def reported() -> dict[int, int]:
            """Gateways by version from the reports of all replicas, voting or not."""
            counts: dict[int, int] = {}
            for report in group.json("c2", "policy status")["replicas"].values():
                for number, count in report["by_version"]:
                    counts[number] = counts.get(number, 0) + count
            return counts

        group.wait_for(lambda: reported() == {version: 2}, "the replicas' reports lack gateways")
        group.follow()
        calls = group.discovery.calls
        group.discovery.change("s-4", status="draining")
        group.wait_for(
            lambda: all(group.control(g)["nodes_index"] == group.discovery.index for g in group.gateways),
            "the change of the list has not come",
        )
        self.assertLessEqual(group.discovery.calls - calls, 2 * len(group.voters))  # no gateway asked
        self.assertIn("replica c1 (voter), ready", group.command("control", "status", "c1"))
        self.assertIn("gateway g1, replica ", group.command("control", "status", "g1"))

    def test_a_version_is_activated_after_the_leader_is_killed(self) -> None:
        group = self.group
        leader = group.leader()
        proposer = next(name for name in group.voters if name != leader)
        version = group.propose(proposer)
        group.kill(leader)
        before = [group.control(g)["serving"] for g in group.gateways]
        self.assertEqual([v for v in before if v >= version], [], "served under before its activation")
        self.await_version(version)
        group.start(leader)
        group.settle()
        self.assertEqual(group.control(leader)["active"], version)

    def test_a_replica_without_a_quorum_answers_no_heartbeat_and_loses_its_gateways(self) -> None:
        group = self.group
        cut = self.replica_of("g1")
        voter = cut if cut in group.voters else "c1"
        raw = group.connect_raw(voter)
        raw.heartbeat(1)
        self.assertTrue(raw.read(is_answer, 2.0))
        group.cut_off(voter, True)
        try:
            self.await_failed_barriers(voter, 1)  # so that no barrier from before the cut is in flight
            raw.heartbeat(2)
            self.await_failed_barriers(voter, 2)
            raw.read(is_answer, READ_S)
            self.assertEqual([f.heartbeat_answer.sequence for f in raw.frames if is_answer(f)], [1])
            group.wait_for(
                lambda: self.replica_of("g1") not in ("", voter), "g1 stays with a replica cut off"
            )
            group.wait_for(lambda: all(group.ready(g) for g in group.gateways), "a gateway is not ready")
        finally:
            group.cut_off(voter, False)
            raw.close()
        group.settle()

    def test_a_gateway_whose_replica_is_killed_moves_to_another_and_keeps_its_position(self) -> None:
        group = self.group
        replica = self.replica_of("g1")
        before = group.control("g1")["position"]
        group.kill(replica)
        seen: list[int] = []

        def moved() -> bool:
            status = group.control("g1")
            seen.append(status["position"])
            return bool(status["replica"] not in ("", replica) and status["heartbeat_valid"])

        elapsed_s = group.wait_for(moved, "g1 has no other replica")
        self.assertLess(elapsed_s, VALID_S + 4.0)
        self.assertEqual(seen, sorted(seen))
        self.assertGreaterEqual(seen[0], before)
        group.start(replica)
        group.settle()

    def test_foreign_bytes_on_the_port_get_one_error_and_affect_nothing_else(self) -> None:
        group = self.group
        before = {g: group.control(g)["hangups"] for g in group.gateways}
        too_large = (MAX_TO_REPLICA_BYTES + 1).to_bytes(4, "big")
        unreadable = (5).to_bytes(4, "big") + b"\xff" * 5
        early = encode(Frame(heartbeat=Heartbeat(sequence=1)))
        from_replica = encode(Frame(reject=Reject()))
        for data, reason in (
            (b"GET / HTTP/1.1\r\n\r\n", FRAME_TOO_LARGE),
            (too_large, FRAME_TOO_LARGE),
            (unreadable, BAD_FRAME),
            (early, BAD_FRAME),
            (from_replica, BAD_FRAME),
        ):
            raw = RawConnection(group.listens["c2"])
            raw.send(data)
            self.assertTrue(raw.read(lambda frame: False, 2.0), "the connection was not closed")
            self.assertEqual(
                [RejectReason.Name(f.reject.reason) for f in raw.frames], [RejectReason.Name(reason)]
            )
            raw.close()
        log = group.log("c2").read_text()
        for error in (FrameTooLargeError, FrameUnreadableError):
            self.assertIn(f"{error.code}: control plane: 127.0.0.1:", log)
        self.assertNotIn("Traceback", log)
        self.assertEqual(before, {g: group.control(g)["hangups"] for g in group.gateways})
        self.assertTrue(all(group.ready(g) for g in group.gateways))

    def test_without_the_control_plane_a_gateway_refuses_or_serves_as_configured(self) -> None:
        group = self.group
        for gateway in group.gateways:
            self.assertEqual(group.request(gateway)[:1], b"$")
        for replica in group.replicas:
            group.freeze(replica, True)
        group.wait_for(lambda: not any(group.ready(g) for g in group.gateways), "a gateway says ready")
        self.assertIn(NotReadyError.code, group.call("g1", "status"))
        self.assertEqual(group.request("g1")[:5], b"-BUSY")
        self.assertEqual(group.request("g2")[:1], b"$")
        for replica in group.replicas:
            group.freeze(replica, False)
        group.settle()
        self.assertEqual(group.request("g1")[:1], b"$")

    def test_a_stopped_replica_rejects_its_readers_and_exits_with_0(self) -> None:
        group = self.group
        raw = group.connect_raw("c3")
        started_at = time.monotonic()
        group.programs["c3"].terminate()
        self.assertTrue(raw.read(lambda frame: frame.WhichOneof("body") == "reject", 2.0))
        self.assertEqual(raw.frames[-1].reject.detail, "this replica is stopping")
        raw.close()
        group.wait_for(lambda: group.programs["c3"].poll() is not None, "c3 does not exit")
        self.assertEqual(group.programs["c3"].returncode, 0)
        self.assertLess(time.monotonic() - started_at, 3.0)
        group.start("c3")
        group.settle()
