"""What a connection still owes when the gateway is about to end it: a request that is half read, and answers
that have not reached the client. Real processes on loopback."""

from __future__ import annotations

import signal
import time
import unittest
from collections.abc import Callable

import gevent
from gevent import socket

from tests.loopback_rig import GatewayProcess, command
from tests.shaped_nodes import Shape, ShapedNode, Value, read_values

WRITE_EVERY_S = 0.12  # between two pieces of a request that is written slowly
PIECES = 12
EARLIEST_KILL_S = 2.7  # after SIGTERM: the longest deadline of a class and 0.7 s more
LONG_BYTES = 1_800_000
READ_BYTES_PER_S = 1_000_000.0
RECEIVE_BUFFER_BYTES = 256 * 1024
SHORT_READS = 8  # behind the long one
CLOSED_WITHIN_S = 4.0  # after a drain began, as the operators' page says
STOPPED_CLIENT_S = 3.0  # within which a client that stops in the middle of a request hears of its end


def write_slowly(sock: socket.socket, data: bytes, seconds: float) -> None:
    """Write `data` in even pieces over this time."""
    count = round(seconds / WRITE_EVERY_S)
    size = -(-len(data) // count)
    for at in range(0, len(data), size):
        sock.sendall(data[at : at + size])
        gevent.sleep(WRITE_EVERY_S)


class HalfReadRequests(unittest.TestCase):
    """A planned stop while clients are in the middle of a request."""

    def test_a_stop_answers_a_request_that_is_still_being_written(self) -> None:
        """Guards against a stop that ends a connection within a request, and throws the rest of it away."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                gateway = GatewayProcess(self)
                with gateway.connect() as sock:
                    writer = gevent.spawn(write_slowly, sock, command(b"BLK.READ", 1), PIECES * WRITE_EVERY_S)
                    gevent.sleep(0.6)
                    gateway.program.send_signal(number)
                    self.assertEqual(sock.recv(100)[:4], b"$2\r\n")
                    self.assertEqual(sock.recv(100), b"", "must end behind its answer")
                    writer.join()
                self.assertEqual(gateway.wait(), 0)

    def test_the_old_process_of_an_upgrade_answers_a_request_that_is_still_being_written(self) -> None:
        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        old = GatewayProcess(self, held=held)
        with old.connect() as sock:
            sock.sendall(command(b"BLK.READ", 1)[:20])
            gevent.sleep(0.1)
            GatewayProcess(self, held=held, beside=old)
            old.program.send_signal(signal.SIGTERM)
            gevent.sleep(1.0)
            sock.sendall(command(b"BLK.READ", 1)[20:])
            self.assertEqual(sock.recv(100)[:4], b"$2\r\n")
        self.assertEqual(old.wait(), 0)

    def test_a_request_that_is_still_being_written_at_the_exit_is_refused(self) -> None:
        """Guards against a client that completes its request and gets the end of the stream for it."""
        gateway = GatewayProcess(self)
        with gateway.connect() as sock:
            writer = gevent.spawn(write_slowly, sock, command(b"BLK.READ", 1, wait_ms=9000), 4.8)
            gevent.sleep(0.1)
            began_at = time.monotonic()
            gateway.program.send_signal(signal.SIGTERM)
            self.assertEqual(sock.recv(100), b"-BUSY\r\n")
            self.assertEqual(sock.recv(100), b"")
            writer.kill()
        self.assertEqual(gateway.wait(), 0)
        self.assertLess(time.monotonic() - began_at, EARLIEST_KILL_S)
        self.assertEqual(gateway.received(), [])

    def test_a_client_that_stops_within_its_request_delays_a_stop_only_until_its_own_end(self) -> None:
        gateway = GatewayProcess(self)
        with gateway.connect() as sock:
            began_at = time.monotonic()
            sock.sendall(command(b"BLK.READ", 1)[:20])
            gevent.sleep(0.1)
            gateway.program.send_signal(signal.SIGTERM)
            self.assertIn(sock.recv(100), (b"", b"-BUSY\r\n"))
            self.assertLess(time.monotonic() - began_at, STOPPED_CLIENT_S)
            self.assertEqual(gateway.wait(), 0)


class UnsentAnswers(unittest.TestCase):
    """A client reads a long value steadily, and sends more commands meanwhile, when its connection is to be
    ended: the system has taken the value, and holds what the client has no room for."""

    def check_nothing_is_cut_off(self, gateway: GatewayProcess, end: Callable[[], object]) -> None:
        """`end` begins to end the connection, half a second after the long read was sent."""
        with gateway.connect(RECEIVE_BUFFER_BYTES) as sock:
            began_at = time.monotonic()
            sock.sendall(command(b"BLK.READ", 0))
            sender = gevent.spawn(self.send_short_reads, sock)
            gevent.spawn_later(0.5, end)
            request_ids = [b"%016x" % number for number in range(SHORT_READS + 1)]
            answers = read_values(sock, request_ids, began_at, READ_BYTES_PER_S)
            self.assertLess(time.monotonic() - began_at, CLOSED_WITHIN_S)
            sender.join()
            self.assertEqual(sock.recv(1), b"", "must be ended")
        self.assertTrue(answers[0].intact, answers[0])
        unanswered = {each for each, answer in zip(request_ids, answers, strict=True) if not answer.head}
        self.assertEqual(unanswered & set(gateway.received()), set(), "these have run")
        self.assertLessEqual({answer.head[:1] for answer in answers}, {b"$", b"-", b""})

    def send_short_reads(self, sock: socket.socket) -> None:
        for number in range(1, SHORT_READS + 1):
            gevent.sleep(0.2)
            try:
                sock.sendall(command(b"BLK.READ", number))
            except OSError:
                return

    def gateway(self, held: socket.socket | None = None) -> GatewayProcess:
        return GatewayProcess(
            self,
            held=held,
            new_node=lambda: ShapedNode(
                lambda request_id: Value(2 if int(request_id, 16) else LONG_BYTES, Shape.BIG)
            ),
        )

    def test_a_drain_cuts_off_no_answer_that_the_client_is_still_reading(self) -> None:
        """Guards against an answer that counts as written, and its connection as free to be closed, once
        the system has taken the bytes."""
        gateway = self.gateway()
        self.check_nothing_is_cut_off(gateway, lambda: gateway.call(b"standby"))

    def test_a_stop_cuts_off_no_answer_that_the_client_is_still_reading(self) -> None:
        gateway = self.gateway()
        self.check_nothing_is_cut_off(gateway, lambda: gateway.program.send_signal(signal.SIGTERM))
        self.assertEqual(gateway.wait(), 0)

    def test_the_old_process_of_an_upgrade_cuts_off_no_answer_that_the_client_is_still_reading(self) -> None:
        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        gateway = self.gateway(held)
        self.check_nothing_is_cut_off(gateway, lambda: gateway.program.send_signal(signal.SIGTERM))
        self.assertEqual(gateway.wait(), 0)


if __name__ == "__main__":
    unittest.main()
