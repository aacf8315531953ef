"""Numbered changes, barriers and replaced states through the Raft adapter, over loopback."""

from __future__ import annotations

import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest.mock import patch

from stackrouter.coord.port import (
    Activate,
    ActiveSeen,
    Answered,
    Barrier,
    BeginHistory,
    Command,
    HistoryBegun,
    ListingSeen,
    LogPosition,
    PolicySeen,
    Propose,
    ServingReport,
    StateReplaced,
)
from stackrouter.coord.raft import Peer, Raft
from tests.exchange import free_address

H = "history"
WITHIN_S = 20.0
COMPACT = 40  # entries of the library's log


class Member:
    """A member of a group with what it told: a state in place of changes, or changes one by one."""

    def __init__(self, me: Peer, peers: list[Peer], folder: Path) -> None:
        self.store = Raft(me, peers, 150_000, folder)
        self.position = LogPosition()
        self.replaced: list[LogPosition] = []
        self.answers: dict[int, Answered] = {}
        self.gaps: list[tuple[LogPosition, int]] = []
        self.store.start(lambda: None)

    def hear(self) -> None:
        for event in self.store.events():
            match event:
                case StateReplaced():
                    self.position = event.state.position
                    self.replaced.append(self.position)
                case HistoryBegun():
                    self.position = LogPosition(event.identity, 0)
                case PolicySeen() | ActiveSeen():
                    self.change(event.change)
                case ListingSeen():
                    self.change(event.number)
                case Answered():
                    self.answers[event.number] = event

    def change(self, number: int) -> None:
        if not number or number <= self.position.number:
            return  # told again around a replaced state
        if number != self.position.number + 1:
            self.gaps.append((self.position, number))
        self.position = LogPosition(self.position.history, number)

    def until(self, so: Callable[[], bool]) -> None:
        until = time.monotonic() + WITHIN_S
        while not so():
            assert time.monotonic() < until, (self.position, self.replaced, self.gaps)
            time.sleep(0.002)
            self.hear()

    def ask(self, command: Command) -> Answered:
        """The answer to a command that is handed in until it is known to have been applied."""
        while True:
            number = self.store.ask(command)
            self.until(lambda number=number: number in self.answers)  # type: ignore[misc]
            if self.answers[number].accepted or self.answers[number].why in ("base", "active", "history"):
                return self.answers[number]

    def change_policy(self, times: int) -> None:
        for _ in range(times):
            base = self.store.policies()[-1].number if self.store.policies() else 0
            self.ask(Propose("op", base, f"d{base}", "{}", 5))
            self.ask(Activate("op", base + 1))


class ControlRaft(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        compaction = patch("stackrouter.coord.raft.COMPACT_ENTRIES", COMPACT)
        compaction.start()
        self.addCleanup(compaction.stop)

    def start(self, me: Peer, peers: list[Peer]) -> Member:
        member = Member(me, peers, self.folder / me.name)
        self.addCleanup(member.store.close)
        return member

    def test_a_restarted_member_tells_its_state_and_then_what_came_after(self) -> None:
        me = Peer("a", free_address())
        member = self.start(me, [me])
        self.assertTrue(member.ask(BeginHistory("a", H)).accepted)
        self.assertEqual(member.ask(BeginHistory("a", "other")).why, "history")
        member.change_policy(COMPACT)
        report = ServingReport(3, ((1, 3),), ("g",))
        answer = member.ask(Barrier("a", report))
        self.assertEqual(answer.position, LogPosition(H, 2 * COMPACT))
        self.assertEqual((member.position, member.gaps), (answer.position, []))
        self.assertEqual(member.store.reports(), {"a": report})
        member.store.close()

        again = self.start(me, [me])
        answer = again.ask(Barrier("a"))
        self.assertEqual(answer.position, LogPosition(H, 2 * COMPACT))
        self.assertEqual((again.position, again.gaps), (answer.position, []))
        self.assertTrue(again.replaced)  # most of it came as a dump of the library
        again.change_policy(1)
        known = len(again.replaced)
        again.store.request_state()
        again.until(lambda: len(again.replaced) > known)
        self.assertEqual(again.replaced[-1], LogPosition(H, 2 * COMPACT + 2))

    def test_a_member_from_an_empty_disk_has_all_up_to_a_barrier_of_its_own(self) -> None:
        peers = [Peer(name, free_address()) for name in "abc"]
        first, _ = [self.start(peer, peers) for peer in peers[:2]]
        first.ask(BeginHistory("a", H))
        first.change_policy(COMPACT)
        last = self.start(peers[2], peers)
        answer = last.ask(Barrier("c"))
        self.assertEqual(answer.position, LogPosition(H, 2 * COMPACT))
        self.assertEqual((last.position, last.gaps), (answer.position, []))
        self.assertTrue(last.replaced)
        first.change_policy(1)
        last.until(lambda: last.position == LogPosition(H, 2 * COMPACT + 2))
        self.assertEqual(last.gaps, [])
