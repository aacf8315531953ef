"""The time bounds of an attempt's phases, and the buffer through which a value passes on."""

from __future__ import annotations

import gc
import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from rackseam.interface import ListKind, NodeEntry, Outcome, Plan, RequestClass, Settings
from stackrouter.core.answer_stream import MAX_BUFFERED_BYTES, AnswerStream, StreamState
from stackrouter.core.attempt_progress import (
    MAX_LONG_VALUE_PAUSE_US,
    MAX_PASSED_ON_PAUSE_US,
    MAX_USUAL_VALUE_PAUSE_US,
    USUAL_VALUE_BYTES,
    AttemptProgress,
    Expiry,
    Phase,
)
from stackrouter.core.counters import Counters
from stackrouter.core.engine import PASS_ON_MARGIN_US, Engine
from stackrouter.core.memory import MemoryAccount
from stackrouter.core.model import Attempt, Reply, Request, Result, Verdict
from stackrouter.fronts.platform import resp
from stackrouter.fronts.platform.client import PlatformSession, RequestContext
from stackrouter.fronts.platform.node import LAST_BYTES, Command
from stackrouter.net.ring import Ring
from tests.loopback_rig import command

NOW = 10_000_000
LONG, USUAL = USUAL_VALUE_BYTES + 1, USUAL_VALUE_BYTES


def begun(value_bytes: int, at_us: int = NOW) -> AttemptProgress:
    """The progress of an attempt whose answer has begun at this time."""
    progress = AttemptProgress(phase=Phase.WRITTEN)
    progress.record_received(100, value_bytes, at_us)
    return progress


class Progress(unittest.TestCase):
    def test_an_attempt_without_the_beginning_of_an_answer_is_given_up(self) -> None:
        for phase in (Phase.WAITING, Phase.CONNECTING, Phase.WRITING, Phase.WRITTEN):
            self.assertIs(AttemptProgress(phase=phase).expired(NOW), Expiry.GIVE_UP)
        noise = AttemptProgress(phase=Phase.WRITTEN)
        noise.record_received(100, None, NOW)
        self.assertIs(noise.expired(NOW), Expiry.GIVE_UP)

    def test_an_answer_that_arrives_is_passed_on_and_one_that_pauses_too_long_is_given_up(self) -> None:
        for value_bytes, pause_us in ((LONG, MAX_LONG_VALUE_PAUSE_US), (USUAL, MAX_USUAL_VALUE_PAUSE_US)):
            progress = begun(value_bytes)
            self.assertIs(progress.expired(NOW + pause_us - 1), Expiry.PASS_ON)
            self.assertIs(progress.expired(NOW + pause_us), Expiry.GIVE_UP)

    def test_what_is_passed_on_ends_by_a_pause_and_not_by_its_age(self) -> None:
        for value_bytes, pause_us in ((LONG, MAX_LONG_VALUE_PAUSE_US), (USUAL, MAX_PASSED_ON_PAUSE_US)):
            progress = begun(value_bytes)
            progress.phase = Phase.PASSING_ON
            for step in range(1000):
                now = NOW + step * (pause_us - 1)
                self.assertIs(progress.expired(now), Expiry.WAIT)
                progress.record_received(100 + step, value_bytes, now)
            self.assertIs(progress.expired(now + pause_us), Expiry.GIVE_UP)

    def test_a_pause_of_this_gateway_does_not_count(self) -> None:
        progress = begun(LONG)
        progress.phase, progress.paused_here = Phase.PASSING_ON, True
        later = NOW + 100 * MAX_LONG_VALUE_PAUSE_US
        self.assertIs(progress.expired(later), Expiry.WAIT)
        progress.resume(later)
        self.assertIs(progress.expired(later + MAX_LONG_VALUE_PAUSE_US - 1), Expiry.WAIT)
        self.assertIs(progress.expired(later + MAX_LONG_VALUE_PAUSE_US), Expiry.GIVE_UP)


class Stream(unittest.TestCase):
    def test_the_node_waits_while_the_buffer_is_full(self) -> None:
        stream = AnswerStream(10 * MAX_BUFFERED_BYTES)
        stream.put(bytes(MAX_BUFFERED_BYTES))
        waiting = gevent.spawn(stream.wait_for_room)
        gevent.sleep(0)
        self.assertEqual((stream.room, waiting.ready()), (0, False))
        self.assertEqual(len(stream.take()), MAX_BUFFERED_BYTES)
        waiting.get(timeout=1.0)
        self.assertEqual((stream.room, stream.take()), (MAX_BUFFERED_BYTES, b""))
        stream.finish(b"end")
        self.assertEqual((stream.take(), stream.state), (b"end", StreamState.COMPLETE))


class SessionStream(unittest.TestCase):
    """A value that is passed on, on the client's side."""

    def setUp(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        settings = Settings(classes=(RequestClass(100_000, 500_000),), plans=(Plan(),))
        names = RequestContext({"match-read": 0}, {"priority": 0}, settings, 0)
        self.engine = Engine(settings, 100, Counters())
        self.session = PlatformSession(self.engine, names, self.engine.counters, lambda: None)
        inbox = Ring(4096)
        inbox.put(command(b"BLK.READ", 1))
        self.session.received(inbox)
        self.engine.process_events()

    def begin(self) -> AnswerStream:
        """Begin the answer to the open request, with the lease that it holds from then on."""
        (request,) = self.engine.requests.values()
        assert request.begin_answer is not None
        stream = AnswerStream(8)
        self.memory = MemoryAccount(100)
        stream.lease = self.memory.try_lease(100)
        request.begin_answer(stream)
        return stream

    def output(self) -> bytes:
        return b"".join(iter(self.session.output, None))

    def test_the_memory_of_a_value_is_free_once_it_is_passed_on(self) -> None:
        """Guards against leases that wait for the garbage collector."""
        stream = self.begin()
        stream.put(b"1234")
        self.assertEqual(self.output(), b"$8\r\n1234")
        stream.finish(b"5678")
        self.assertEqual(self.output(), b"5678\r\n")
        del stream
        self.assertEqual((self.memory.used_bytes, self.session.pending()), (0, 0))

    def test_the_memory_of_a_value_is_free_once_its_client_has_left(self) -> None:
        stream = self.begin()
        self.session.on_disconnect()
        del stream
        self.assertEqual(self.memory.used_bytes, 0)

    def test_a_value_that_breaks_off_before_its_client_has_anything_is_answered_as_failed(self) -> None:
        stream = self.begin()
        stream.break_off()
        self.assertEqual((self.output(), self.session.answer_broken), (b"-ERR failed\r\n", False))

    def test_a_value_that_breaks_off_within_is_not_completed(self) -> None:
        stream = self.begin()
        stream.put(b"1234")
        self.assertEqual(self.output(), b"$8\r\n1234")
        stream.break_off()
        self.assertEqual((self.output(), self.session.answer_broken), (b"", True))


class RecordingTransport:
    """Keeps the attempts that the engine starts and aborts."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.aborted: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        attempt.progress.phase = Phase.WRITTEN
        attempt.may_have_run = True
        self.started.append(attempt)

    def abort(self, attempt: Attempt) -> None:
        self.aborted.append(attempt)

    def close_idle(self, node: str) -> None:
        pass


class EngineStreams(unittest.TestCase):
    """Requests whose answers are passed on, on a clock of the test."""

    def setUp(self) -> None:
        self.now = NOW
        settings = Settings(classes=(RequestClass(100_000, 500_000),), plans=(Plan(),), max_attempts=3,
                            step_us=2000)  # fmt: skip
        self.engine = Engine(settings, 1, Counters(), clock=lambda: self.now)
        self.engine.transport = self.transport = RecordingTransport()
        self.engine.update_nodes(ListKind.CACHED, 1, [NodeEntry("n", 0)], {"n": ("127.0.0.1", 1)})
        self.results: list[Result] = []
        self.streams: list[AnswerStream] = []

    def submit(self) -> Request:
        exchange = Command(b"BLK.READ", b"", b"", (), ()).exchange
        request = Request(0, 0, "v", 1.0, 0, 1, "k", self.now + 500_000, exchange, self.results.append,
                          "platform", begin_answer=self.streams.append)  # fmt: skip
        self.engine.submit(request)
        self.engine.process_events()
        return request

    def advance(self, us: int) -> None:
        self.now += us
        self.engine.process_events()

    def test_a_value_that_is_passed_on_takes_no_room_of_open_requests(self) -> None:
        """Guards against requests refused because other clients read long values slowly."""
        for number in (1, 2):
            self.submit()
            self.transport.started[-1].progress.record_received(100, LONG, self.now)
            self.assertIsNotNone(self.engine.pass_on(self.transport.started[-1]))
            self.engine.process_events()
            self.assertEqual((len(self.streams), self.results), (number, []))
        for attempt in self.transport.started:
            self.engine.attempt_ended(attempt, Reply(Outcome.DONE, b"end"))
        self.advance(1000)
        self.assertEqual((self.engine.counters["requests.served"], self.engine.idle()), (2, True))
        self.submit()
        self.submit()  # one is open, so this one is over the bound
        self.assertEqual([result.verdict for result in self.results], [Verdict.REFUSED])

    def test_a_value_begun_has_no_deadline_and_one_verdict(self) -> None:
        """Guards against a second final answer by the decisions when the request's time is over."""
        self.submit()
        attempt = self.transport.started[-1]
        for step in range(200):
            attempt.progress.record_received(100 + step, LONG, self.now)
            self.advance(10_000)
        self.assertEqual((len(self.streams), self.results, self.transport.aborted), (1, [], []))
        self.advance(MAX_LONG_VALUE_PAUSE_US)
        self.assertEqual((self.transport.aborted, self.streams[0].state), ([attempt], StreamState.BROKEN))
        self.assertEqual((self.engine.counters["requests.failed"], self.results), (1, []))
        self.assertTrue(self.engine.idle())

    def test_a_value_before_other_requests_is_begun_just_before_its_clients_time_is_over(self) -> None:
        """Guards against requests behind a value that are lost when it breaks off early, and against a value
        that the decisions give up while it arrives."""
        request = self.submit()
        request.has_requests_behind = lambda: True
        attempt = self.transport.started[-1]
        while self.now < request.deadline_us - PASS_ON_MARGIN_US:
            self.assertEqual((self.streams, self.results), ([], []))
            attempt.progress.record_received(100, LONG, self.now)
            self.advance(5_000)
        self.advance(5_000)
        self.assertEqual((len(self.streams), self.results, self.transport.aborted), (1, [], []))

    def test_a_client_that_leaves_ends_the_attempt(self) -> None:
        request = self.submit()
        attempt = self.transport.started[-1]
        attempt.progress.record_received(100, LONG, self.now)
        self.engine.pass_on(attempt)
        self.engine.withdraw(request)
        self.engine.process_events()
        self.assertEqual((self.transport.aborted, self.engine.counters["requests.withdrawn"]), ([attempt], 1))
        self.assertTrue(self.engine.idle())


class Parts(unittest.TestCase):
    @given(
        st.binary(max_size=300),
        st.sampled_from([b"$-1\r\n$-1\r\n", b"$7\r\nused=37\r\n$10\r\ninflight=7\r\n"]),
        st.lists(st.integers(1, 50), min_size=1, max_size=60),
        st.integers(1, 40),
    )
    def test_a_value_in_parts_is_the_value_that_came(
        self, value: bytes, figures: bytes, sizes: list[int], room: int
    ) -> None:
        """Guards against bytes lost, doubled or given out before the answer is found whole and sound."""
        data = b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, figures)
        exchange, inbox = Command(b"BLK.READ", b"", b"", (), ()).exchange(), Ring(4096)
        received, passed_on, reply = b"", False, None
        while data:
            size = sizes.pop(0) if len(sizes) > 1 else sizes[0]
            inbox.put(data[:size])
            data = data[size:]
            if passed_on:
                while part := exchange.next_part(inbox, room):
                    received += part
            reply = exchange.received(inbox)
            if reply is None and exchange.value_bytes is not None and not passed_on:
                self.assertEqual(exchange.value_bytes, len(value))
                exchange.pass_on(inbox)
                passed_on = True
            if data:
                self.assertIsNone(reply)
                self.assertLessEqual(len(received), max(0, len(value) - min(LAST_BYTES, len(value))))
        if passed_on:  # bytes that were in the inbox before it was passed on
            while part := exchange.next_part(inbox, room):
                received += part
            reply = reply or exchange.received(inbox)
        assert reply is not None
        self.assertEqual(received + reply.value, value)
        self.assertTrue(reply.exact)

    def test_a_length_beyond_the_longest_string_does_not_begin_a_value(self) -> None:
        inbox = Ring(4096)
        inbox.put(b"*3\r\n$3000000000\r\nabc")
        self.assertIsNone(resp.value_head(inbox, resp.MAX_ANSWER_BYTES))


if __name__ == "__main__":
    unittest.main()
