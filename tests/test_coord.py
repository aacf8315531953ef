"""Coordination's decision logic without I/O (leases under clock drift and message loss, the ledger, fencing,
the follower), the Raft adapter's journal, and the etcd adapter against its stand-in."""

from __future__ import annotations

import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from stackrouter.coord.fence import Fence
from stackrouter.coord.lease import Begin, End, LeaseClient, Submit, Timing, within_drift_bound
from stackrouter.coord.ledger import Ledger
from stackrouter.coord.port import (
    UNKNOWN,
    Acquire,
    Activate,
    ActiveSeen,
    Answered,
    Append,
    Command,
    EntrySeen,
    Lease,
    LeaseSeen,
    ListingSeen,
    Propose,
    Publish,
    Release,
    Renew,
)
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.fleet.check import Action, Fault, check
from stackrouter.fleet.schedule import DEFAULT_KINDS, draw

MS = 1000
TIMING = Timing(ttl_us=800 * MS, max_drift_us=80 * MS, renew_us=180 * MS, answer_timeout_us=180 * MS)
END_MS = 8000


class LeaseSimulation:
    """Lease clients on one ledger in simulated true time, each with its own clock rate; messages are delayed
    or lost, and members are partitioned for a while. `run` returns when each saw its lease in force."""

    def __init__(
        self, rates: list[float], seed: int, loss: float, partitions: list[tuple[int, int, int]]
    ) -> None:
        self.rng, self.loss, self.partitions = Random(seed), loss, partitions
        self.rates, self.ledger = rates, Ledger()
        self.clients = [LeaseClient("d", f"m{i}", TIMING, self.clock(i, 0)) for i in range(len(rates))]
        self.in_flight: list[tuple[int, int, Callable[[], object]]] = []
        self.observations: list[tuple[int, int, int]] = []  # true ms, token, member
        self.begin_count = 0

    def clock(self, i: int, ms: int) -> int:
        return int(ms * MS * self.rates[i])

    def is_partitioned(self, i: int, ms: int) -> bool:
        return any(i == member and begin <= ms < end for member, begin, end in self.partitions)

    def send(self, ms: int, i: int, deliver_message: Callable[[], object]) -> None:
        if not self.is_partitioned(i, ms) and self.rng.random() >= self.loss:
            self.in_flight.append((ms + self.rng.randint(1, 120), i, deliver_message))

    def carry_out(self, ms: int, i: int, actions: list[Submit | Begin | End]) -> None:
        for action in actions:
            self.begin_count += isinstance(action, Begin)
            if isinstance(action, Submit):
                number = self.rng.getrandbits(48)
                if not isinstance(action.command, Release):
                    self.clients[i].command_sent(number, self.clock(i, ms))
                self.send(ms, i, lambda c=action.command, n=number: self.commit(i, c, n))  # type: ignore[misc]

    def commit(self, i: int, command: Acquire | Renew | Release, number: int) -> None:
        why, events = self.ledger.apply(command)
        answer = Answered(number, not why, self.ledger.lease("d"), why)
        self.send(
            self.now,
            i,
            lambda: self.carry_out(self.now, i, self.clients[i].answered(answer, self.clock(i, self.now))),
        )
        for event in events:
            if isinstance(event, LeaseSeen):
                for j in range(len(self.clients)):
                    self.send(self.now, j, lambda j=j, e=event: self.deliver(j, e.lease))  # type: ignore[misc]

    def deliver(self, j: int, lease: Lease) -> None:
        if lease.mark >= self.clients[j].seen.mark:  # records are delivered in order; some may be lost
            self.carry_out(self.now, j, self.clients[j].lease_seen(lease, self.clock(j, self.now)))

    def run(self) -> list[tuple[int, int, int]]:
        for self.now in range(END_MS):
            due = [m for m in self.in_flight if m[0] <= self.now]
            self.in_flight = [m for m in self.in_flight if m[0] > self.now]
            for _, i, deliver_message in due:
                if not self.is_partitioned(i, self.now):
                    deliver_message()
            for i, client in enumerate(self.clients):
                self.carry_out(self.now, i, client.tick(self.clock(i, self.now)))
                if (token := client.fencing_token(self.clock(i, self.now))) is not None:
                    self.observations.append((self.now, token, i))
        return self.observations


def overlaps(observations: list[tuple[int, int, int]]) -> int:
    highest, count = 0, 0
    for _, token, _ in observations:
        count += token < highest
        highest = max(highest, token)
    return count


Partitions = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5000), st.integers(100, 3000)), max_size=4)


class LeaseTest(unittest.TestCase):
    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 1 << 30), st.sampled_from([0.0, 0.1, 0.3]), Partitions,
           st.lists(st.floats(0.953, 1.047), min_size=3, max_size=3))  # fmt: skip
    def test_no_two_members_believe_they_hold_a_duty_within_the_drift_bound(
        self, seed: int, loss: float, spans: list[tuple[int, int, int]], rates: list[float]
    ) -> None:
        """Guards against overlapping holders when messages are delayed or lost, or members partitioned."""
        self.assertTrue(within_drift_bound(TIMING, min(rates), max(rates)))
        simulation = LeaseSimulation(rates, seed, loss, [(m, at, at + long) for m, at, long in spans])
        self.assertEqual(overlaps(simulation.run()), 0)

    def test_holders_overlap_only_beyond_the_drift_bound_and_the_fence_rejects_the_older(self) -> None:
        # Member 0 holds the duty and is partitioned; its clock runs slower than member 1's.
        for ratio, held in ((0.91, True), (0.50, False)):
            self.assertEqual(within_drift_bound(TIMING, ratio, 1.0), held)
            observations = LeaseSimulation([ratio, 1.0], 1, 0.0, [(1, 0, 300), (0, 1500, 4000)]).run()
            self.assertIn(1, {member for _, _, member in observations})  # member 1 did take over
            self.assertEqual(overlaps(observations) == 0, held, ratio)
            fence = Fence()  # beyond the bound, the receiver still rejects every action of the older holder
            self.assertEqual(overlaps([x for x in observations if fence.admit("d", x[1])]), 0)

    def test_a_holder_paused_past_its_lease_does_not_act_and_a_late_answer_begins_no_lease(self) -> None:
        client = LeaseClient("d", "a", TIMING, 0)
        self.assertEqual(client.tick(0), [Submit(Acquire("d", "a", (0, 0)))])
        client.command_sent(1, 0)
        # The answer arrives after the lease has ended.
        self.assertEqual(client.answered(Answered(1, True, Lease("d", "a", 1)), 720 * MS), [])
        self.assertIsNone(client.fencing_token(720 * MS))
        client = LeaseClient("d", "a", TIMING, 0)
        client.tick(0)
        client.command_sent(1, 0)
        self.assertEqual(client.answered(Answered(1, True, Lease("d", "a", 1)), 10 * MS), [Begin("d", 1)])
        self.assertEqual(client.fencing_token(719 * MS), 1)
        self.assertIsNone(client.fencing_token(720 * MS))
        self.assertEqual(client.tick(5000 * MS), [End("d", 1, "lapsed")])

    def test_after_a_lost_answer_the_ledgers_record_begins_a_lease_measured_from_the_first_acquire(
        self,
    ) -> None:
        for asks, begins in ((1, True), (5, False)):  # the fifth Acquire is sent 720 ms after the first
            client = LeaseClient("d", "a", TIMING, 0)
            for n in range(asks):
                client.tick(n * 180 * MS)
            now = (asks - 1) * 180 * MS + 100 * MS
            actions = client.lease_seen(Lease("d", "a", 1), now)
            self.assertEqual(Begin("d", 1) in actions, begins)
            self.assertEqual(client.fencing_token(719 * MS), 1 if begins else None)
            self.assertIsNone(client.fencing_token(720 * MS))
        client = LeaseClient("d", "a", TIMING, 0)
        client.tick(0)
        client.lease_seen(Lease("d", "b", 3), 10 * MS)
        # No Acquire of this client named the previous mark.
        self.assertNotIn(Begin("d", 4), client.lease_seen(Lease("d", "a", 4), 20 * MS))

    def test_a_repeated_record_does_not_begin_a_new_lease(self) -> None:
        """A snapshot repeats the record of a lapsed lease: acting under it would outlive the lease."""
        client = LeaseClient("d", "a", TIMING, 0)
        client.tick(0)
        self.assertIn(Begin("d", 1), client.lease_seen(Lease("d", "a", 1), 10 * MS))
        self.assertIn(End("d", 1, "lapsed"), client.tick(900 * MS))
        self.assertIn(Submit(Acquire("d", "a", (1, 0))), client.tick(1700 * MS))
        self.assertNotIn(Begin("d", 1), client.lease_seen(Lease("d", "a", 1), 1710 * MS))  # from a snapshot

    def test_a_restarted_member_does_not_act_under_the_lease_of_its_previous_process(self) -> None:
        client = LeaseClient("d", "a#2", TIMING, 0)
        self.assertEqual(client.lease_seen(Lease("d", "a#1", 4, 2), 0), [])
        self.assertIsNone(client.fencing_token(1))
        self.assertEqual(client.tick(799 * MS), [])
        self.assertEqual(client.tick(800 * MS), [Submit(Acquire("d", "a#2", (4, 2)))])


class LedgerTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.sampled_from("arlp"), st.sampled_from("xyz"), st.integers(0, 4)), max_size=60)
    )
    def test_tokens_only_grow_and_only_the_holders_commands_are_accepted(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        ledger = Ledger()
        for index, (kind, member, token) in enumerate(steps):
            before = ledger.lease("d")
            commands: dict[str, Command] = {
                "a": Acquire("d", member, (token, before.seq)),
                "r": Renew("d", member, token),
                "l": Release("d", member, token),
                "p": Publish("d", member, token, None, {"index": index, "endpoints": []}),
            }
            why, _ = ledger.apply(commands[kind])
            after = ledger.lease("d")
            self.assertGreaterEqual(after.mark, before.mark)
            if kind == "a":
                self.assertEqual(not why, before.mark == (token, before.seq))
                self.assertEqual(after.token, before.token + (not why))
            else:
                self.assertEqual(not why, (before.holder, before.token) == (member, token))

    def test_changes_apply_to_a_known_list_and_a_gap_is_refused(self) -> None:
        ledger = Ledger()
        ledger.apply(Acquire("watch", "a", (0, 0)))
        up, drains = {"name": "n", "status": "up"}, {"name": "n", "status": "draining"}

        def publish(base: int | None, index: int, *items: dict[str, str]) -> str:
            body = {"index": index, "endpoints": list(items)}
            return ledger.apply(Publish("watch", "a", 1, base, body))[0]

        self.assertEqual(publish(3, 4, up), "gap")  # there is no list to apply the changes to
        self.assertEqual(publish(None, 5, up), "")
        self.assertEqual(publish(7, 8, drains), "gap")
        self.assertEqual(publish(5, 6, drains), "")
        self.assertEqual(publish(3, 4, up), "older")
        self.assertEqual(ledger.listings.whole(), {"index": 6, "snapshot": True, "endpoints": [drains]})


class FollowerTest(unittest.TestCase):
    def test_applies_listings_it_has_the_base_of_and_queries_discovery_once_the_watcher_is_silent(
        self,
    ) -> None:
        f = Follower(stale_us=100)
        # An old list replayed from the journal, before this member's first call to discovery.
        self.assertEqual(f.verdict_on(0, 1, None, 9), Verdict.IGNORE)
        self.assertEqual(f.role(0, False), Role.ALONE)
        f.queried(5)
        self.assertEqual(f.verdict_on(10, 2, 5, 6), Verdict.APPLY)
        self.assertEqual((f.role(20, False), f.role(20, True)), (Role.FOLLOW, Role.WATCH))
        self.assertEqual(f.verdict_on(30, 1, 6, 7), Verdict.IGNORE)  # from a superseded watcher
        self.assertEqual(f.verdict_on(40, 2, 7, 8), Verdict.GAP)
        self.assertEqual(f.verdict_on(50, 2, None, 5), Verdict.IGNORE)  # older than the member's list
        self.assertEqual(f.role(109, False), Role.FOLLOW)
        self.assertEqual(f.role(110, False), Role.ALONE)


class CheckTest(unittest.TestCase):
    def test_the_check_finds_overlaps_and_measures_handoffs(self) -> None:
        ms = 1_000_000
        good = [Action(at * ms, "d", t, f"{m}#1", at * ms, True)
                for at, t, m in ((0, 1, "a"), (10, 1, "a"), (900, 2, "b"))]  # fmt: skip
        found = check(good, [Fault(20 * ms, 800 * ms, "stall", "a")])
        self.assertEqual((found.overlaps, found.belief_overlaps, found.unfinished), (0, 0, 0))
        self.assertEqual([(h.ms, h.clean) for h in found.handoffs], [(880.0, True)])
        late = Action(910 * ms, "d", 1, "a#1", 15 * ms, True)
        self.assertEqual(check([*good, late], []).overlaps, 1)
        self.assertEqual(check([*good, late], []).belief_overlaps, 0)  # its sender checked its lease in time
        twin = Action(910 * ms, "d", 2, "c#1", 910 * ms, True)
        self.assertEqual(check([*good, twin], []).overlaps, 1)
        self.assertEqual(check(good[:2], [Fault(20 * ms, 800 * ms, "kill", "a")]).unfinished, 1)

    def test_a_seed_draws_the_same_schedule_with_clock_rates_within_the_drift_bound(self) -> None:
        for seed in range(200):
            drawn = draw(seed, 5, DEFAULT_KINDS, 6.0, 800 * MS, 80 * MS, ("d",))
            self.assertEqual(drawn, draw(seed, 5, DEFAULT_KINDS, 6.0, 800 * MS, 80 * MS, ("d",)))
            rates = [1 + ppm / 1e6 for ppm in drawn.clock_ppm]
            self.assertTrue(within_drift_bound(TIMING, min(rates), max(rates)))


class RaftTest(unittest.TestCase):
    def test_the_journal_is_compacted_and_the_ledger_survives_a_restart(self) -> None:
        """Guards against a journal that grows without bound, and against entries lost at a restart."""
        from stackrouter.coord.raft import COMPACT_ENTRIES, Peer, Raft
        from tests.exchange import free_address

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        me = Peer("a", free_address())
        for life in range(2):
            store = Raft(me, [me], 100_000, Path(folder.name))
            store.start(lambda: None)
            try:
                asked = answered = 0
                until = time.monotonic() + 60
                while answered < 3 * COMPACT_ENTRIES:
                    self.assertLess(time.monotonic(), until, (asked, answered))
                    if asked - answered < 500:
                        store.submit(Append("note", "a", "x" * 100))
                        asked += 1
                        continue
                    received = [e for e in store.events() if isinstance(e, Answered)]
                    answered += sum(e.accepted for e in received)
                    asked -= sum(not e.accepted for e in received)
                    time.sleep(0.002)
                group = store._group
                assert group is not None
                self.assertLess(group._getRaftLogSize(), 2 * COMPACT_ENTRIES)
                self.assertLessEqual(len(group.ledger.entries), 1024)
                self.assertGreaterEqual(group.ledger.index, (life + 1) * 3 * COMPACT_ENTRIES)
            finally:
                store.close()


class EtcdTest(unittest.TestCase):
    def setUp(self) -> None:
        from stackrouter.coord.etcd import Etcd
        from tests.standins.etcd import StandinEtcd

        self.server = StandinEtcd()
        self.addCleanup(self.server.stop)
        self.stores = [Etcd([self.server.server_address[:2]], "t/", 2_000_000) for _ in range(2)]  # type: ignore[list-item]
        self.received: list[list[object]] = [[], []]
        for store in self.stores:
            store.start(lambda: None)
            self.addCleanup(store.close)

    def wait_for_event(self, i: int, condition: Callable[[object], bool]) -> object:
        """The last event of store `i` that satisfies the condition; fails after 10 s."""
        until = time.monotonic() + 10
        while not (found := [e for e in self.received[i] if condition(e)]):
            self.assertLess(time.monotonic(), until, self.received[i])
            self.received[i] += self.stores[i].events()
            time.sleep(0.01)
        return found[-1]

    def ask(self, i: int, command: Command) -> Answered:
        number = self.stores[i].submit(command)
        answer = self.wait_for_event(i, lambda e: isinstance(e, Answered) and e.number == number)
        assert isinstance(answer, Answered)
        return answer

    def test_leases_tokens_listing_and_log_through_etcds_api(self) -> None:
        first = self.ask(0, Acquire("watch", "a", (0, 0)))
        assert first.accepted and first.lease is not None
        token = first.lease.token
        self.assertEqual(self.ask(1, Acquire("watch", "b", (0, 0))).why, "held")
        self.assertTrue(self.ask(0, Renew("watch", "a", token)).accepted)
        listing = {"index": 4, "endpoints": [{"name": "n", "status": "up"}]}
        self.assertTrue(self.ask(0, Publish("watch", "a", token, None, listing)).accepted)
        self.wait_for_event(1, lambda e: isinstance(e, ListingSeen) and e.listing["index"] == 4)
        self.assertTrue(self.ask(1, Append("note", "b", "x")).accepted)
        self.wait_for_event(0, lambda e: e == EntrySeen(1, "note", "b", "x"))
        self.assertEqual(self.ask(0, Propose("a", 1, "d", "{}", 5)).why, "base")
        self.assertTrue(self.ask(0, Propose("a", 0, "d", "{}", 5)).accepted)
        self.assertEqual(self.ask(1, Propose("b", 0, "e", "{}", 5)).why, "base")
        self.assertTrue(self.ask(1, Activate("b", 1)).accepted)
        self.wait_for_event(0, lambda e: e == ActiveSeen(1))
        self.assertEqual([v.digest for v in self.stores[1].policies()], ["d"])
        # Without keepalive the key is deleted: the duty is free, its next token higher, the old one refused.
        self.wait_for_event(1, lambda e: isinstance(e, LeaseSeen) and not e.lease.holder)
        second = self.ask(1, Acquire("watch", "b", (0, 0)))
        assert second.accepted and second.lease is not None
        self.assertGreater(second.lease.token, token)
        self.assertEqual(self.ask(0, Renew("watch", "a", token)).why, "token")
        self.assertFalse(self.ask(0, Publish("watch", "a", token, None, listing | {"index": 5})).accepted)
        # While the store fails, every command is answered as refused, and nothing hangs.
        self.server.failing = True
        self.assertEqual(self.ask(1, Renew("watch", "b", second.lease.token)).why, UNKNOWN)
