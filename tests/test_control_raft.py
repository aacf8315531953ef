"""Numbered changes, read barriers and replaced states through the Raft adapter, over loopback."""

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

HISTORY = "history"
TIMEOUT_S = 20.0
COMPACT_ENTRIES = 40  # of the library's log


class Member:
    """A member of a group that records its events: replaced states, numbered changes and gaps in them."""

    def __init__(self, me: Peer, peers: list[Peer], folder: Path) -> None:
        self.store = Raft(me, peers, 150_000, folder)
        self.position = LogPosition()
        self.replaced: list[LogPosition] = []
        self.answers: dict[int, Answered] = {}
        self.gaps: list[tuple[LogPosition, int]] = []
        self.store.start(lambda: None)

    def process_events(self) -> None:
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
            return  # repeated around a replaced state
        if number != self.position.number + 1:
            self.gaps.append((self.position, number))
        self.position = LogPosition(self.position.history, number)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Process events until the condition holds; fails after `TIMEOUT_S`."""
        until = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < until, (self.position, self.replaced, self.gaps)
            time.sleep(0.002)
            self.process_events()

    def ask(self, command: Command) -> Answered:
        """Submit a command repeatedly until it is applied or refused by the ledger; return the answer."""
        while True:
            number = self.store.submit(command)
            self.wait_until(lambda number=number: number in self.answers)  # type: ignore[misc]
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
        compaction = patch("stackrouter.coord.raft.COMPACT_ENTRIES", COMPACT_ENTRIES)
        compaction.start()
        self.addCleanup(compaction.stop)

    def start(self, me: Peer, peers: list[Peer]) -> Member:
        member = Member(me, peers, self.folder / me.name)
        self.addCleanup(member.store.close)
        return member

    def test_a_restarted_member_reports_its_state_and_then_the_later_changes(self) -> None:
        """Most of the log is in the library's dump: after a restart it is not reported change by change."""
        me = Peer("a", free_address())
        member = self.start(me, [me])
        self.assertTrue(member.ask(BeginHistory("a", HISTORY)).accepted)
        self.assertEqual(member.ask(BeginHistory("a", "other")).why, "history")
        member.change_policy(COMPACT_ENTRIES)
        report = ServingReport(3, ((1, 3),), ("g",))
        answer = member.ask(Barrier("a", report))
        self.assertEqual(answer.position, LogPosition(HISTORY, 2 * COMPACT_ENTRIES))
        self.assertEqual((member.position, member.gaps), (answer.position, []))
        self.assertEqual(member.store.reports(), {"a": report})
        member.store.close()

        restarted = self.start(me, [me])
        answer = restarted.ask(Barrier("a"))
        self.assertEqual(answer.position, LogPosition(HISTORY, 2 * COMPACT_ENTRIES))
        self.assertEqual((restarted.position, restarted.gaps), (answer.position, []))
        self.assertTrue(restarted.replaced)  # most of it was loaded from the library's dump
        restarted.change_policy(1)
        known = len(restarted.replaced)
        restarted.store.request_state()
        restarted.wait_until(lambda: len(restarted.replaced) > known)
        self.assertEqual(restarted.replaced[-1], LogPosition(HISTORY, 2 * COMPACT_ENTRIES + 2))

    def test_a_member_with_an_empty_disk_has_all_changes_up_to_its_own_barrier(self) -> None:
        """Most of the log reaches it as a snapshot of the library; the barrier's answer has to include it."""
        peers = [Peer(name, free_address()) for name in "abc"]
        first, _ = [self.start(peer, peers) for peer in peers[:2]]
        first.ask(BeginHistory("a", HISTORY))
        first.change_policy(COMPACT_ENTRIES)
        last = self.start(peers[2], peers)
        answer = last.ask(Barrier("c"))
        self.assertEqual(answer.position, LogPosition(HISTORY, 2 * COMPACT_ENTRIES))
        self.assertEqual((last.position, last.gaps), (answer.position, []))
        self.assertTrue(last.replaced)
        first.change_policy(1)
        last.wait_until(lambda: last.position == LogPosition(HISTORY, 2 * COMPACT_ENTRIES + 2))
        self.assertEqual(last.gaps, [])
