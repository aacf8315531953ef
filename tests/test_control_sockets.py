"""Sockets of the control plane in one process: a replica's listener, observers, a gateway's node list."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Sequence
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import gevent
from gevent import socket

from rackseam.interface import NodeEntry
from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.codec import encode
from stackrouter.controlplane.frames_pb2 import (
    REPLICA_FULL,
    SHUTTING_DOWN,
    Delta,
    Frame,
    Heartbeat,
    Hello,
    Node,
    NodeChanges,
    PolicyVersion,
)
from stackrouter.controlplane.gateway import GatewayControl
from stackrouter.controlplane.observer import GatewayIdentity, ObserverTimes, TakeNodes
from stackrouter.controlplane.replica import ReplicaLimits, ReplicaStateMachine
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.snapshot import ReplicatedState
from stackrouter.controlplane.source import NoSink, ReplicaSource
from stackrouter.coord.member import boottime_us
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.port import LogPosition, ServingReport
from stackrouter.core.counters import Counters
from stackrouter.edge.config import Control, Replica
from stackrouter.errors import ConfigValueError
from stackrouter.membership.list_changes import MAX_PIECE_ENTRIES
from stackrouter.membership.listing import Listing
from stackrouter.net.discovery import Discovery
from tests.control_group import RawConnection

RULES = HeartbeatRules(validity_us=1_000_000, max_drift_us=100_000)
TIMES = ObserverTimes(silence_timeout_us=300_000, backoff_base_us=5_000, backoff_max_us=20_000)
LIMITS = ReplicaLimits(barrier_interval_us=10_000)
WAIT_S = 5.0
NODES = 3000


def wait_for(condition: Callable[[], object], failure: str) -> None:
    with gevent.Timeout(WAIT_S, AssertionError(failure)):
        while not condition():
            gevent.sleep(0.005)


class ReplicaInProcess:
    """A listener with a quorum that confirms each barrier immediately, or none while `silent`."""

    def __init__(self, name: str, limits: ReplicaLimits = LIMITS, nodes: int = NODES) -> None:
        self.machine, self.silent = ReplicaStateMachine(name, limits), False
        self.reports: list[ServingReport] = []  # received with barriers
        self.server = ControlServer(self.machine, ("127.0.0.1", 0), boottime_us, Counters(),
                                    self.start_barrier, lambda: None)  # fmt: skip
        held = {f"n{i}": Node(name=f"n{i}", address="h:1", status="up") for i in range(nodes)}
        self.position = LogPosition("h", 1)
        self.server.call(self.machine.loaded, ReplicatedState(self.position, [], 0, 7, held))
        self.server.start()
        self.address = ReplicaAddress(name, "{}:{}".format(*self.server.address), "r")

    def start_barrier(self, barrier: int, report: ServingReport) -> None:
        self.reports.append(report)
        if not self.silent:
            gevent.spawn(self.server.call, self.machine.barrier_confirmed, barrier, self.position)

    def commit(self, **change: Any) -> None:
        number = self.position.number + 1
        self.position = LogPosition("h", number)
        self.server.call(self.machine.committed, number, Delta(number=number, **change))

    def commit_policy(self, body: str) -> None:
        number = self.position.number + 1  # also the version's number, which only has to increase
        self.commit(committed=PolicyVersion(number=number, digest="d", body=body, after_us=1))
        self.commit(activated=number)


class Sink:
    """Records what it receives; rejects the policy "bad"."""

    def __init__(self) -> None:
        self.bodies: list[str] = []
        self.nodes: dict[str, str] = {}
        self.index, self.max_in_piece = -1, 0

    def take_policy(self, body: str) -> None:
        if body == "bad":
            raise ConfigValueError("bad", key="body")
        self.bodies.append(body)

    def take_nodes(self, piece: TakeNodes) -> None:
        if piece.first and piece.whole:
            self.nodes = {}
        self.nodes |= {node.name: node.status for node in piece.nodes}
        self.max_in_piece = max(self.max_in_piece, len(piece.nodes))
        if piece.last:
            self.index = piece.index


def observe(name: str, *replicas: ReplicaInProcess) -> tuple[ObserverClient, Sink]:
    sink = Sink()
    identity = GatewayIdentity(name, f"{name}#1", "r")
    client = ObserverClient(identity, [r.address for r in replicas], RULES, sink, Random(1), times=TIMES)
    client.start()
    return client, sink


class Sockets(unittest.TestCase):
    def replica(
        self, name: str = "a", limits: ReplicaLimits = LIMITS, nodes: int = NODES
    ) -> ReplicaInProcess:
        made = ReplicaInProcess(name, limits, nodes)
        self.addCleanup(made.server.stop)
        return made

    def observer(self, name: str, *replicas: ReplicaInProcess) -> tuple[ObserverClient, Sink]:
        client, sink = observe(name, *replicas)
        self.addCleanup(client.stop)
        return client, sink

    def test_delivers_a_list_in_pieces_then_single_changes_and_versions(self) -> None:
        replica = self.replica()
        client, sink = self.observer("g", replica)
        wait_for(lambda: sink.index == 7, "the list has not come")
        self.assertEqual((len(sink.nodes), sink.max_in_piece <= 128), (NODES, True))
        replica.commit(nodes=NodeChanges(index=8, nodes=[Node(name="n1", status="draining")]))
        replica.commit_policy("one")
        replica.commit_policy("bad")
        replica.commit_policy("two")
        wait_for(
            lambda: sink.bodies == ["one", "two"] and client.heartbeat_valid(), "the versions have not come"
        )
        self.assertEqual((sink.index, sink.nodes["n1"]), (8, "draining"))
        figures, served = client.figures(), replica.server.figures()
        self.assertEqual((figures.position, figures.replica), (replica.position, "a"))
        wait_for(
            lambda: replica.machine.serving_report().by_version == ((7, 1),),
            "it has not reported its version",
        )
        self.assertEqual((client.policy.serving.number, served.connections), (7, 1))

    def test_reports_a_rejected_version_and_serves_under_the_older_one(self) -> None:
        replica = self.replica()
        client, _ = self.observer("g", replica)
        replica.commit_policy("bad")

        def reported() -> bool:
            report = replica.machine.report(boottime_us())
            return [reader.failed_version for reader in report.readers] == [2]

        wait_for(reported, "the failure was not reported")
        self.assertFalse(client.policy.ready(client.clock()))

    def test_reports_once_that_the_last_gateway_has_left(self) -> None:
        replica = self.replica()
        client, _ = self.observer("g", replica)
        wait_for(client.heartbeat_valid, "no valid heartbeat")
        client.stop()
        wait_for(lambda: replica.reports[-1].gateways == 0, "its last report counts a gateway that has left")
        barriers = len(replica.reports)
        due = replica.machine.next_at()
        wait_for(lambda: replica.machine.next_at() > due, "no sweep came")
        self.assertEqual(len(replica.reports), barriers)

    def test_an_observer_moves_from_a_replica_without_quorum_and_resumes_at_another(self) -> None:
        first, second = self.replica("a"), self.replica("b")
        client, sink = self.observer("g", first, second)
        wait_for(lambda: sink.index == 7 and client.heartbeat_valid(), "no valid heartbeat")
        near, far = (first, second) if client.figures().replica == "a" else (second, first)
        near.silent = True
        wait_for(lambda: client.figures().replica == far.machine.name, "it has not moved")
        wait_for(lambda: far.machine.counts.answers > 0, "no answered heartbeat at the other replica")
        self.assertTrue(client.heartbeat_valid())
        self.assertEqual((far.machine.counts.resumed, far.machine.counts.snapshots), (1, 0))

    def test_an_observing_replica_confirms_again_after_it_moves_to_another_replica(self) -> None:
        first, second = self.replica("a"), self.replica("b")
        source = ReplicaSource()
        limits = ReplicaLimits(barrier_interval_us=10_000, barrier_timeout_us=10**9)
        machine = ReplicaStateMachine("relay", limits)
        server = ControlServer(machine, ("127.0.0.1", 0), boottime_us, Counters(), source.start_barrier,
                               source.reload_state)  # fmt: skip
        self.addCleanup(server.stop)
        replicas = [first.address, second.address]
        relay = ObserverClient(GatewayIdentity("relay", "relay#1", "r"), replicas, RULES, NoSink(), Random(1),
                               times=TIMES, relay=source)  # fmt: skip
        self.addCleanup(relay.stop)
        source.server, source.client = server, relay
        server.start()
        relay.start()
        wait_for(lambda: machine.ready, "the relay is not ready")
        address = ReplicaAddress("relay", "{}:{}".format(*server.address), "r")
        patient = ObserverTimes(silence_timeout_us=10**9, backoff_base_us=5_000, backoff_max_us=20_000)
        sink = Sink()
        client = ObserverClient(GatewayIdentity("g", "g#1", "r"), [address], RULES, sink, Random(1),
                                times=patient)  # fmt: skip
        self.addCleanup(client.stop)
        client.start()
        wait_for(lambda: sink.index == 7 and client.heartbeat_valid(), "nothing comes through the relay")
        near = first if relay.figures().replica == "a" else second
        near.silent = True
        wait_for(lambda: source._pending_barriers, "no barrier is pending")
        answers = machine.counts.answers
        near.server.stop()
        wait_for(lambda: machine.counts.answers > answers, "the relay confirms nothing any more")
        self.assertEqual(client.figures().connections, 1)

    def test_disconnects_only_the_reader_that_never_drains_its_connection(self) -> None:
        replica = self.replica(limits=ReplicaLimits(barrier_interval_us=10_000, max_queued_bytes=1 << 20))
        client, sink = self.observer("good", replica)
        wait_for(lambda: sink.index == 7, "the list has not come")
        slow = RawConnection(replica.server.address[1])
        slow.hello("slow")
        wait_for(lambda: replica.machine.serving_report().gateways == 2, "it is not served")
        for number in range(200):
            body = f"{number:0100000d}"
            replica.commit(committed=PolicyVersion(number=1000 + number, body=body, after_us=10**12))
            wait_for(lambda: client.figures().position == replica.position, "the good one lacks changes")
        wait_for(
            lambda: replica.machine.serving_report().gateways == 1, "the slow reader is not disconnected"
        )
        disconnects = replica.server.counters["control.rejected_reader_too_slow"]
        self.assertEqual(disconnects, 1)
        self.assertEqual(client.figures().hangups, 0)
        wait_for(lambda: not replica.server._lingering[0].open, "the connection is not closed")

    def test_a_peer_that_keeps_sending_receives_the_reason_of_a_rejection(self) -> None:
        replica = self.replica(limits=ReplicaLimits(most_gateways=1))
        one, two = RawConnection(replica.server.address[1]), RawConnection(replica.server.address[1])
        wait_for(lambda: replica.machine.report(boottime_us()).ready, "the replica is not ready")
        one.hello("one")
        self.assertTrue(one.read(lambda frame: bool(frame.HasField("welcome")), WAIT_S))
        heartbeats = b"".join(encode(Frame(heartbeat=Heartbeat(sequence=n))) for n in range(1, 5000))
        two.send(encode(Frame(hello=hello("two"))) + heartbeats)
        self.assertTrue(two.read(lambda frame: bool(frame.HasField("reject")), WAIT_S))
        self.assertEqual([f.reject.reason for f in two.frames], [REPLICA_FULL])
        replica.server.stop()
        self.assertTrue(one.read(lambda frame: bool(frame.HasField("reject")), WAIT_S))
        self.assertEqual(one.frames[-1].reject.reason, SHUTTING_DOWN)
        one.close()
        two.close()
        wait_for(replica.server.idle, "connections are left")

    def test_closes_connections_over_the_limit_and_accepts_new_ones_later(self) -> None:
        replica = self.replica(
            limits=ReplicaLimits(most_gateways=1, max_unidentified=20, hello_timeout_us=10**9)
        )
        socks = [socket.create_connection(replica.server.address) for _ in range(25)]
        rejected = "control.rejected_replica_full"
        wait_for(lambda: replica.server.counters[rejected] == 5, "more than the bound were taken")
        self.assertEqual(replica.server.figures().connections, 20)
        for sock in socks:
            sock.close()
        wait_for(lambda: replica.server.figures().connections == 0, "connections are left")
        client, _ = self.observer("g", replica)
        wait_for(client.heartbeat_valid, "no gateway gets in")


def hello(name: str) -> Hello:
    return Hello(protocol=1, gateway=name, life="1")


class GatewayList(unittest.TestCase):
    """When a gateway takes the list from the control plane, and when it queries discovery itself."""

    def setUp(self) -> None:
        self.lists: list[dict[str, Any]] = []
        discovery = SimpleNamespace(apply_relayed=self.lists.append, fleet=None)
        replica = Replica("a", "127.0.0.1:1", "r")
        control = Control(enabled=True, region="r", replica=(replica,), stale_ms=1000)
        self.gateway = GatewayControl("g", control, cast(Discovery, discovery), Counters(), lambda text: None)
        self.now = 0
        self.gateway.client.clock = lambda: self.now

    def take(self, index: int, whole: bool, *names: str) -> None:
        nodes = [Node(name=name, status="up") for name in names]
        self.gateway.take_nodes(TakeNodes(index, whole, True, True, nodes))
        self.wait_for_lists()

    def wait_for_lists(self) -> None:
        wait_for(lambda: not self.gateway.lists_pending, "a list has not come to the engine")

    def discovery_answered(self, index: int) -> None:
        self.gateway.listing_received(None, {"index": index, "endpoints": []})

    def queries_discovery(self) -> bool:
        return self.gateway.wait_s() == 0.0

    def test_queries_discovery_before_the_first_list_and_after_a_stale_one(self) -> None:
        self.assertTrue(self.queries_discovery())
        self.discovery_answered(5)
        self.assertTrue(self.queries_discovery())
        self.take(6, True, "a", "b")
        self.assertFalse(self.queries_discovery())
        self.assertEqual([(listing["index"], len(listing["endpoints"])) for listing in self.lists], [(6, 2)])
        self.now = 900_000
        self.take(7, False)
        self.now = 1_800_000
        self.assertFalse(self.queries_discovery())
        self.now = 1_900_000
        self.assertTrue(self.queries_discovery())

    def test_queries_discovery_immediately_after_a_missed_change(self) -> None:
        self.take(6, True, "a")  # it has no list from discovery yet: not applied
        self.discovery_answered(5)  # an older list than the control plane's
        self.assertTrue(self.queries_discovery())
        self.take(7, False, "b")  # builds on 6
        self.assertEqual((self.lists, self.queries_discovery()), ([], True))
        self.discovery_answered(7)
        self.take(8, False, "c")
        self.assertEqual(
            ([listing["index"] for listing in self.lists], self.queries_discovery()), ([8], False)
        )

    def test_joins_pieces_and_discards_an_unfinished_list(self) -> None:
        self.discovery_answered(1)
        for name, first, last in (("old", True, False), ("a", True, False), ("b", False, True)):
            nodes = [Node(name=name, status="up")]
            self.gateway.take_nodes(TakeNodes(2, True, first, last, nodes))
        self.wait_for_lists()
        self.assertEqual([[e["name"] for e in listing["endpoints"]] for listing in self.lists], [["a", "b"]])

    def test_delivers_a_long_list_in_pieces_from_the_event_loop_before_later_changes(self) -> None:
        delivered: list[tuple[int, list[str]]] = []

        def record(kind: object, version: int, entries: Sequence[NodeEntry], _: object) -> None:
            delivered.append((version, [entry.node for entry in entries]))

        discovery = Discovery(("127.0.0.1", 1), Listing([], [], 0), Counters(), record, known=1)
        self.gateway._discovery = discovery
        self.discovery_answered(1)
        names = [f"n{number}" for number in range(1_000)]
        nodes = [Node(name=name, address="127.0.0.1:1", status="up") for name in names]
        change = [Node(name="new", address="127.0.0.1:1", status="up")]

        def deliver() -> None:
            self.gateway.take_nodes(TakeNodes(2, True, True, True, nodes))
            self.gateway.take_nodes(TakeNodes(3, False, True, True, change))

        gevent.get_hub().loop.run_callback(deliver)  # like callbacks of the client's sockets and timers
        wait_for(lambda: bool(delivered) and delivered[-1][1] == ["new"], "the change has not come")
        self.assertLessEqual(max(len(entries) for _, entries in delivered), MAX_PIECE_ENTRIES)
        self.assertEqual([name for _, entries in delivered for name in entries], [*names, "new"])
