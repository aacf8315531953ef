"""Lists that are taken in pieces end in the same state as lists that are taken at once."""

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
from stackrouter.membership.list_changes import PIECE, Address, ListChanges, Piece
from stackrouter.net.list_taker import ListTaker
from tests.gateway import SETTINGS

PORT = 6379
READY, DRAINING, GONE = NodeState.READY, NodeState.DRAINING, NodeState.GONE


@dataclass(frozen=True)
class Came:
    """A list, and how many pieces are handed on before the next one comes."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]
    pieces: int


def address_of(entry: NodeEntry) -> Address:
    return f"10.0.{entry.zone}.{entry.shard}", PORT


def addresses_of(entries: Sequence[NodeEntry]) -> dict[str, Address]:
    return {entry.node: address_of(entry) for entry in entries}


def came() -> st.SearchStrategy[Came]:
    def entries(states: Sequence[NodeState]) -> st.SearchStrategy[tuple[NodeEntry, ...]]:
        entry = st.builds(
            NodeEntry,
            node=st.sampled_from([f"n{i}" for i in range(12)]),
            shard=st.integers(0, 3),
            state=st.sampled_from(states),
            zone=st.integers(0, 1),
        )
        return st.lists(entry, max_size=12).map(tuple)

    whole = st.builds(Came, st.just(ListKind.FULL), entries((READY, DRAINING)), st.integers(0, 4))
    delta = st.builds(Came, st.just(ListKind.DELTA), entries((READY, DRAINING, GONE)), st.integers(0, 4))
    return st.one_of(whole, delta)


def new_engine() -> Engine:
    return Engine(SETTINGS, 100, Counters())


def tell(engine: Engine, piece: Piece) -> None:
    engine.listed(piece.kind, piece.version, piece.entries, dict(piece.addresses))
    engine.turn()


def state_of(engine: Engine) -> tuple[object, ...]:
    """All that the engine and the module know of the nodes, and that the module's indices agree."""
    controller = engine.controller
    for place, ready in enumerate(controller.listed):
        assert ready.place == place
        assert ready.ready
    assert {n.id for n in controller.listed} == {n.id for n in controller.nodes.values() if n.ready}
    assert set(controller.leaving) == {n.id for n in controller.nodes.values() if not n.ready}
    return (
        {n.name: (n.address, n.shard, n.state) for n in engine.nodes.values()},
        {n.id: (n.shard, n.zone, n.ready, n.history.launched) for n in controller.nodes.values()},
        {number: {n.id for n in s.nodes} for number, s in controller.shards.items() if s.nodes},
    )


def whole(count: int, state: NodeState = READY) -> list[NodeEntry]:
    return [NodeEntry(f"n{i}", i, state) for i in range(count)]


class Pieces(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(came(), max_size=8), st.integers(1, 3), st.integers(1, 4))
    def test_any_sequence_ends_in_the_state_that_taking_each_list_at_once_ends_in(
        self, lists: list[Came], piece: int, compared: int
    ) -> None:
        at_once, in_pieces, changes = new_engine(), new_engine(), ListChanges()
        with mock.patch.object(list_changes, "PIECE", piece), mock.patch.object(
            list_changes, "MAX_COMPARED_PER_PIECE", compared
        ):  # fmt: skip
            for version, one in enumerate(lists, 1):
                addresses = addresses_of(one.entries)
                at_once.listed(one.kind, version, one.entries, addresses)
                at_once.turn()
                changes.add(one.kind, version, one.entries, addresses)
                for _ in range(one.pieces):
                    if (handed := changes.next_piece()) is not None:
                        self.assertLessEqual(len(handed.entries), max(piece, 0))
                        tell(in_pieces, handed)
            while (handed := changes.next_piece()) is not None:
                tell(in_pieces, handed)
        self.assertEqual(state_of(in_pieces), state_of(at_once))
        self.assertFalse(changes.pending)

    def handed_on(self, changes: ListChanges) -> list[Piece]:
        pieces: list[Piece] = []
        while (piece := changes.next_piece()) is not None:
            pieces.append(piece)
        return pieces

    def test_a_short_list_goes_out_as_it_came(self) -> None:
        changes, entries = ListChanges(), whole(PIECE)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        changes.add(ListKind.DELTA, 2, entries[:1], addresses_of(entries[:1]))
        first, second = self.handed_on(changes)[:2]
        self.assertEqual((first.kind, first.version, first.entries), (ListKind.FULL, 1, entries))
        self.assertEqual(second.kind, ListKind.DELTA)

    def test_what_drains_is_told_first_and_what_is_no_longer_named_last(self) -> None:
        count = 4 * PIECE
        changes, entries = ListChanges(), whole(count)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.handed_on(changes)
        newer = [NodeEntry(f"m{i}", i) for i in range(count)] + [NodeEntry("n7", 7, DRAINING)]
        changes.add(ListKind.FULL, 2, newer, addresses_of(newer))
        told = [entry for piece in self.handed_on(changes) for entry in piece.entries]
        self.assertEqual((told[0].node, told[0].state), ("n7", DRAINING))
        states = [entry.state for entry in told[1:]]
        self.assertEqual(states, [READY] * count + [GONE] * (count - 1))

    def test_only_what_changed_goes_out(self) -> None:
        changes, entries = ListChanges(), whole(8 * PIECE)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.handed_on(changes)
        entries[5] = NodeEntry("n5", 5, zone=1)
        moved = {**addresses_of(entries), "n9": ("10.9.9.9", PORT)}
        changes.add(ListKind.FULL, 2, entries, moved)
        pieces = self.handed_on(changes)
        self.assertEqual(sorted(e.node for piece in pieces for e in piece.entries), ["n5", "n9"])
        self.assertTrue(all(piece.version == 2 for piece in pieces))

    def test_a_whole_list_that_changes_nothing_is_still_told(self) -> None:
        """The module asks again for a list of which it hears nothing."""
        changes, entries = ListChanges(), whole(2 * PIECE)
        changes.add(ListKind.FULL, 1, entries, addresses_of(entries))
        self.handed_on(changes)
        changes.add(ListKind.FULL, 2, entries, addresses_of(entries))
        told = {(p.kind, p.version, len(p.entries)) for p in self.handed_on(changes)}
        self.assertEqual(told, {(ListKind.DELTA, 2, 0)})

    def test_a_newer_list_from_another_greenlet_wins_over_pieces_under_way(self) -> None:
        told: list[tuple[int, Sequence[NodeEntry]]] = []
        taker = ListTaker(lambda kind, version, entries, addresses: told.append((version, entries)))
        entries = whole(6 * PIECE)
        first = gevent.spawn(taker.take, ListKind.FULL, 1, entries, addresses_of(entries))
        with gevent.Timeout(10):
            while len(told) < 2:
                gevent.sleep(0)
            # The node of the last piece drains before that piece is told, and the one of the first is gone.
            newer = [NodeEntry(entries[-1].node, 0, DRAINING), NodeEntry("n0", 0, GONE)]
            taker.take(ListKind.DELTA, 2, newer, addresses_of(newer))
            first.join()
        self.assertEqual([e.state for _, p in told for e in p if e.node == entries[-1].node], [DRAINING])
        self.assertEqual([e.state for _, p in told for e in p if e.node == "n0"], [READY, GONE])
        self.assertEqual(told[2][0], 2, "and what drains is in the next piece")
        self.assertIn(newer[0], told[2][1])

    def test_what_comes_in_on_a_socket_is_read_between_two_pieces(self) -> None:
        """A greenlet that only steps aside lets others run that do, but no socket is looked at."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        read, read_at = [0], list[int]()

        def reader() -> None:
            while theirs.recv(1):
                read[0] += 1

        def told(kind: ListKind, version: int, entries: object, addresses: object) -> None:
            read_at.append(read[0])
            ours.sendall(b"x")

        greenlet = gevent.spawn(reader)
        self.addCleanup(greenlet.kill)
        gevent.sleep(0)
        entries = whole(6 * PIECE)
        ListTaker(told).take(ListKind.FULL, 1, entries, addresses_of(entries))
        self.assertEqual(read_at[:6], list(range(6)))

    def test_a_fault_while_a_piece_is_told_does_not_stop_later_lists(self) -> None:
        told: list[int] = []

        def broken_once(kind: ListKind, version: int, entries: object, addresses: object) -> None:
            if version == 1:
                raise RuntimeError("planted")
            told.append(version)

        taker = ListTaker(broken_once)
        with self.assertRaisesRegex(RuntimeError, "planted"):
            taker.take(ListKind.FULL, 1, whole(3), addresses_of(whole(3)))
        taker.take(ListKind.DELTA, 2, whole(1), addresses_of(whole(1)))
        self.assertEqual(told, [2])


if __name__ == "__main__":
    unittest.main()
