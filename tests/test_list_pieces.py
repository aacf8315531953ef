"""Lists applied in pieces end in the same state as lists applied at once."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from dataclasses import dataclass
from unittest import mock

import gevent
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from rackseam.interface import ListKind, NodeEntry, NodeState
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine
from stackrouter.membership import list_changes
from stackrouter.membership.list_changes import MAX_PIECE_ENTRIES, Address, ListChanges, Piece
from stackrouter.net.list_applier import ListApplier
from tests.gateway import SETTINGS

PORT = 6379
READY, DRAINING, GONE = NodeState.READY, NodeState.DRAINING, NodeState.GONE


@dataclass(frozen=True)
class ArrivedList:
    """A list, and how many pieces are applied before the next one arrives."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]
    pieces: int


def address_of(entry: NodeEntry) -> Address:
    return f"10.0.{entry.zone}.{entry.shard}", PORT


def addresses_of(entries: Sequence[NodeEntry]) -> dict[str, Address]:
    return {entry.node: address_of(entry) for entry in entries}


def arrived_lists() -> st.SearchStrategy[ArrivedList]:
    def entries(states: Sequence[NodeState]) -> st.SearchStrategy[tuple[NodeEntry, ...]]:
        entry = st.builds(
            NodeEntry,
            node=st.sampled_from([f"n{i}" for i in range(12)]),
            shard=st.integers(0, 3),
            state=st.sampled_from(states),
            zone=st.integers(0, 1),
        )
        return st.lists(entry, max_size=12).map(tuple)

    whole = st.builds(ArrivedList, st.just(ListKind.FULL), entries((READY, DRAINING)), st.integers(0, 4))
    delta = st.builds(
        ArrivedList, st.just(ListKind.DELTA), entries((READY, DRAINING, GONE)), st.integers(0, 4)
    )
    return st.one_of(whole, delta)


def new_engine() -> Engine:
    return Engine(SETTINGS, 100, Counters())


def apply_piece(engine: Engine, piece: Piece) -> None:
    engine.update_nodes(piece.kind, piece.version, piece.entries, dict(piece.addresses))
    engine.process_events()


def node_state(engine: Engine) -> tuple[object, ...]:
    """All that the engine and the decision module know of the nodes; checks the module's indices as well."""
    controller = engine.controller
    for place, ready in enumerate(controller.ready_nodes):
        assert ready.ready_index == place
        assert ready.ready
    assert {n.id for n in controller.ready_nodes} == {n.id for n in controller.nodes.values() if n.ready}
    assert set(controller.leaving) == {n.id for n in controller.nodes.values() if not n.ready}
    return (
        {n.name: (n.address, n.shard, n.state) for n in engine.nodes.values()},
        {n.id: (n.shard, n.zone, n.ready, n.history.launched_us) for n in controller.nodes.values()},
        {number: {n.id for n in s.nodes} for number, s in controller.shards.items() if s.nodes},
    )


def ready_nodes(count: int, state: NodeState = READY) -> list[NodeEntry]:
    return [NodeEntry(f"n{i}", i, state) for i in range(count)]


class Pieces(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(arrived_lists(), max_size=8), st.integers(1, 3), st.integers(1, 4))
    def test_lists_in_pieces_end_in_the_same_state_as_lists_applied_at_once(
        self, lists: list[ArrivedList], piece: int, compared: int
    ) -> None:
        at_once, in_pieces, changes = new_engine(), new_engine(), ListChanges()
        with mock.patch.object(list_changes, "MAX_PIECE_ENTRIES", piece), mock.patch.object(
            list_changes, "MAX_COMPARED_PER_PIECE", compared
        ):  # fmt: skip
            for version, arrived in enumerate(lists, 1):
                addresses = addresses_of(arrived.entries)
                at_once.update_nodes(arrived.kind, version, arrived.entries, addresses)
                at_once.process_events()
                changes.add(arrived.kind, version, arrived.entries, addresses)
                for _ in range(arrived.pieces):
                    if (taken := changes.next_piece()) is not None:
                        self.assertLessEqual(len(taken.entries), max(piece, 0))
                        apply_piece(in_pieces, taken)
            while (taken := changes.next_piece()) is not None:
                apply_piece(in_pieces, taken)
        self.assertEqual(node_state(in_pieces), node_state(at_once))
        self.assertFalse(changes.pending)

    def take_all(self, changes: ListChanges) -> list[Piece]:
        pieces: list[Piece] = []
        while (piece := changes.next_piece()) is not None:
            pieces.append(piece)
        return pieces

    def test_short_list_is_given_out_unmodified(self) -> None:
        changes, entries = ListChanges(), ready_nodes(MAX_PIECE_ENTRIES)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        changes.add(ListKind.DELTA, 2, entries[:1], addresses_of(entries[:1]))
        first, second = self.take_all(changes)[:2]
        self.assertEqual((first.kind, first.version, first.entries), (ListKind.FULL, 1, entries))
        self.assertEqual(second.kind, ListKind.DELTA)

    def test_draining_nodes_come_first_and_unlisted_nodes_last(self) -> None:
        count = 4 * MAX_PIECE_ENTRIES
        changes, entries = ListChanges(), ready_nodes(count)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.take_all(changes)
        newer = [NodeEntry(f"m{i}", i) for i in range(count)] + [NodeEntry("n7", 7, DRAINING)]
        changes.add(ListKind.FULL, 2, newer, addresses_of(newer))
        applied = [entry for piece in self.take_all(changes) for entry in piece.entries]
        self.assertEqual((applied[0].node, applied[0].state), ("n7", DRAINING))
        states = [entry.state for entry in applied[1:]]
        self.assertEqual(states, [READY] * count + [GONE] * (count - 1))

    def test_only_changed_nodes_are_given_out(self) -> None:
        changes, entries = ListChanges(), ready_nodes(8 * MAX_PIECE_ENTRIES)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.take_all(changes)
        entries[5] = NodeEntry("n5", 5, zone=1)
        moved = {**addresses_of(entries), "n9": ("10.9.9.9", PORT)}
        changes.add(ListKind.FULL, 2, entries, moved)
        pieces = self.take_all(changes)
        self.assertEqual(sorted(e.node for piece in pieces for e in piece.entries), ["n5", "n9"])
        self.assertTrue(all(piece.version == 2 for piece in pieces))

    def test_whole_list_without_changes_is_still_reported(self) -> None:
        """The decision module requests a list again if no answer is reported to it."""
        changes, entries = ListChanges(), ready_nodes(2 * MAX_PIECE_ENTRIES)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.take_all(changes)
        changes.add(ListKind.FULL, 2, entries, addresses_of(entries))
        applied = {(p.kind, p.version, len(p.entries)) for p in self.take_all(changes)}
        self.assertEqual(applied, {(ListKind.DELTA, 2, 0)})

    def test_newer_list_from_another_greenlet_overrides_pieces_in_progress(self) -> None:
        applied: list[tuple[int, Sequence[NodeEntry]]] = []
        applier = ListApplier(lambda kind, version, entries, addresses: applied.append((version, entries)))
        entries = ready_nodes(6 * MAX_PIECE_ENTRIES)
        first = gevent.spawn(applier.apply, ListKind.FULL, 1, entries, addresses_of(entries))
        with gevent.Timeout(10):
            while len(applied) < 2:
                gevent.sleep(0)
            # A node of the last piece drains before that piece is applied; one of the first is removed.
            newer = [NodeEntry(entries[-1].node, 0, DRAINING), NodeEntry("n0", 0, GONE)]
            applier.apply(ListKind.DELTA, 2, newer, addresses_of(newer))
            first.join()
        self.assertEqual([e.state for _, p in applied for e in p if e.node == entries[-1].node], [DRAINING])
        self.assertEqual([e.state for _, p in applied for e in p if e.node == "n0"], [READY, GONE])
        self.assertEqual(applied[2][0], 2, "the draining node must be in the next piece")
        self.assertIn(newer[0], applied[2][1])

    def test_sockets_are_served_between_two_pieces(self) -> None:
        """A greenlet that only yields lets other runnable greenlets run, but sockets are not polled."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        read, reads_before_piece = [0], list[int]()

        def reader() -> None:
            while theirs.recv(1):
                read[0] += 1

        def applied(kind: ListKind, version: int, entries: object, addresses: object) -> None:
            reads_before_piece.append(read[0])
            ours.sendall(b"x")

        greenlet = gevent.spawn(reader)
        self.addCleanup(greenlet.kill)
        gevent.sleep(0)
        entries = ready_nodes(6 * MAX_PIECE_ENTRIES)
        ListApplier(applied).apply(ListKind.FULL, 1, entries, addresses_of(entries))
        self.assertEqual(reads_before_piece[:6], list(range(6)))

    def test_error_while_a_piece_is_applied_does_not_stop_later_lists(self) -> None:
        applied: list[int] = []

        def broken_once(kind: ListKind, version: int, entries: object, addresses: object) -> None:
            if version == 1:
                raise RuntimeError("planted")
            applied.append(version)

        applier = ListApplier(broken_once)
        with self.assertRaisesRegex(RuntimeError, "planted"):
            applier.apply(ListKind.FULL, 1, ready_nodes(3), addresses_of(ready_nodes(3)))
        applier.apply(ListKind.DELTA, 2, ready_nodes(1), addresses_of(ready_nodes(1)))
        self.assertEqual(applied, [2])


if __name__ == "__main__":
    unittest.main()
