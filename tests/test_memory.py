"""What clients and nodes send is bounded by the gateway's memory, whatever the number of connections."""

from __future__ import annotations

import contextlib
import unittest
from collections import Counter
from collections.abc import Callable

import gevent
from gevent import socket

from rackseam.interface import Plan, RequestClass, Settings
from stackrouter.core import counters
from stackrouter.core.engine import Engine
from stackrouter.core.memory import AnswerMemory, MemoryAccount
from stackrouter.core.model import Request, Result, Verdict
from stackrouter.fronts.platform.node import Command
from tests.loopback_rig import PATIENCE_S, POLL_S, GatewayProcess, command, read_answers

MEMORY_MB = 64
VALUE = bytes(64 * 1024)
CLASSES = (RequestClass(100_000, 500_000),)


class MemoryOfProcess(unittest.TestCase):
    def crowd(self, clients: int, play: Callable[[int], None]) -> None:
        """Run `play` for so many clients at a time."""
        greenlets = [gevent.spawn(play, number) for number in range(clients)]
        gevent.joinall(greenlets, timeout=PATIENCE_S, raise_error=True)
        self.assertTrue(all(greenlet.successful() for greenlet in greenlets))

    def assert_serves(self, gateway: GatewayProcess) -> None:
        """Assert that it serves usual clients again; right after a crowd it may ask them to come again."""
        answers = Counter[bytes]()
        with gevent.Timeout(PATIENCE_S):
            while not answers[b"$"]:
                with gateway.connect() as sock:
                    sock.sendall(command(b"BLK.READ", (1 << 40) + answers.total()))
                    read_answers(sock, answers, enough=answers.total() + 1)
                gevent.sleep(POLL_S)
        self.assertLessEqual(set(answers), {b"$", b"-BUSY"})

    def test_large_commands_sent_at_once_stay_within_the_memory(self) -> None:
        """Guards against a gateway killed because commands are held before the bound on open requests."""
        gateway, commands = GatewayProcess(self, memory_mb=MEMORY_MB), 100

        def flood(number: int) -> None:
            with gateway.connect() as sock:
                answers = Counter[bytes]()
                reader = gevent.spawn(read_answers, sock, answers, commands)
                with contextlib.suppress(OSError):  # refused and closed while it still sends
                    for nth in range(commands):
                        sock.sendall(command(b"BLK.WRITE", number * commands + nth, VALUE))
                reader.join(PATIENCE_S)
                self.assertLessEqual(set(answers), {b"$", b"-BUSY", b"-ERR"})
                self.assertTrue(answers)

        self.crowd(60, flood)
        self.assert_serves(gateway)
        counts = gateway.stop()
        self.assertLess(gateway.peak_mb, MEMORY_MB)
        self.assertGreater(counts.get("requests.over_memory", 0) + counts.get("requests.over_max_open", 0), 0)

    def test_large_commands_that_are_never_completed_stay_within_the_memory(self) -> None:
        """Guards against a gateway killed because each connection may hold most of a large command."""
        gateway = GatewayProcess(self, memory_mb=MEMORY_MB)

        def send_most(number: int) -> None:
            with gateway.connect() as sock:
                with contextlib.suppress(OSError):  # refused and closed while it still sends
                    sock.sendall(command(b"BLK.WRITE", number, VALUE)[:-100])
                answers = Counter[bytes]()
                read_answers(sock, answers)  # until the gateway ends the connection
                self.assertLessEqual(set(answers), {b"-BUSY"})

        self.crowd(400, send_most)
        self.assert_serves(gateway)
        self.assertLess(gateway.peak_mb, MEMORY_MB)

    def test_answers_that_are_not_read_stay_within_the_memory(self) -> None:
        """Guards against a gateway killed because answers of usual size wait uncounted for slow clients."""
        gateway, reads = (
            GatewayProcess(self, value_bytes=150_000, memory_mb=MEMORY_MB),
            70,
        )  # the system holds 4 MiB

        def read_late(number: int) -> None:
            with gateway.connect(receive_buffer_bytes=4096) as sock:
                for nth in range(reads):
                    sock.sendall(command(b"BLK.READ", number * reads + nth))
                    gevent.sleep(0.05)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                answers = Counter[bytes]()
                read_answers(sock, answers, enough=reads)
                self.assertEqual(answers.total(), reads)

        self.crowd(20, read_late)
        self.assert_serves(gateway)
        self.assertLess(gateway.peak_mb, MEMORY_MB)


class MemoryOfEngine(unittest.TestCase):
    def setUp(self) -> None:
        self.results: list[Result] = []

    def engine(self, max_open: int, memory: MemoryAccount | None = None) -> Engine:
        settings = Settings(classes=CLASSES, plans=(Plan(),), step_us=2000, retry_after_most_us=1_000_000)
        return Engine(settings, max_open, counters.Counters(), clock=lambda: 1_000_000, request_memory=memory)

    def request(self, body: bytes) -> Request:
        exchange = Command(b"BLK.WRITE", b"", b"", (), (body,)).exchange
        return Request(0, 0, "v", 1.0, 0, 1, "k", 1_500_000, exchange, self.results.append, "platform",
                       body_bytes=len(body))  # fmt: skip

    def test_requests_in_the_queue_count_as_open(self) -> None:
        """Guards against requests that are queued without bound before the loop applies the bound."""
        engine = self.engine(max_open=3)
        for _ in range(10):
            engine.submit(self.request(VALUE))
        self.assertEqual([result.verdict for result in self.results], [Verdict.REFUSED] * 7)
        engine.process_events()
        self.assertEqual((len(self.results), len(engine.requests)), (7, 3))
        engine.submit(self.request(VALUE))
        self.assertEqual(len(self.results), 8)
        self.assertEqual(engine.counters["requests.over_max_open"], 8)
        self.assertEqual(engine.counters["requests.taken"], 11)

    def test_large_bodies_are_refused_over_the_memory_and_small_ones_are_not(self) -> None:
        """Guards against large requests that crowd out small ones, and leases that are not returned."""
        memory = MemoryAccount(4 * len(VALUE))
        engine = self.engine(max_open=100, memory=memory)
        for _ in range(5):
            engine.submit(self.request(VALUE))
        self.assertEqual(len(self.results), 3)
        self.assertEqual(self.results[0].pause_us, CLASSES[0].aim_us)
        engine.submit(self.request(b"small"))
        self.assertEqual(len(self.results), 3)
        self.assertEqual(engine.counters["requests.over_memory"], 3)
        for request in list(engine.requests.values()):
            engine.withdraw(request)
        engine.process_events()
        for request in list(engine.requests.values()):
            engine.withdraw(request)
        del request
        engine.process_events()
        self.assertFalse(engine.requests)
        self.assertEqual(memory.used_bytes, 0)


class AnswerMemoryTest(unittest.TestCase):
    def test_usual_answers_do_not_wait_behind_large_ones(self) -> None:
        """Guards against one account for all answers, in which a few large ones delay all others."""
        memory = AnswerMemory(usual_bytes=100_000, large_bytes=1_000_000)
        large = memory.lease(900_000)
        usual = memory.lease(90_000)
        self.assertIsNotNone(large)
        self.assertIsNotNone(usual)
        waiting = gevent.spawn(memory.lease, 50_000)
        gevent.sleep(0)
        self.assertFalse(waiting.ready())
        del usual
        self.assertIsNotNone(waiting.get(timeout=1.0))
        self.assertIsNone(memory.lease(1_000_001))
