"""Requests behind a value that its node does not complete, on the same connection.

RESP2 can tell the client that the value has failed only before its beginning, or by the end of the
connection. Real processes on loopback.
"""

from __future__ import annotations

import time
import unittest
from collections.abc import Mapping

import gevent

from tests.loopback_rig import GatewayProcess, command
from tests.shaped_nodes import ReadValue, Shape, ShapedNode, Value, read_value, read_values

WAIT_MS = 800  # of a client
SLACK_S = 0.5  # after its time: up to then an answer only earns nothing
MEMORY_MB = 64
SHORT = Value(2, Shape.BIG)


class RequestsBehind(unittest.TestCase):
    def gateway(self, values: Mapping[int, Value]) -> GatewayProcess:
        """The program before nodes whose values follow from the number of the request; others are short."""
        return GatewayProcess(
            self,
            memory_mb=MEMORY_MB,
            new_node=lambda: ShapedNode(lambda request_id: values.get(int(request_id, 16), SHORT)),
        )

    def read_behind(self, value: Value) -> list[ReadValue]:
        """The answers to a read of `value`, a write and a read, sent at once."""
        gateway = self.gateway({0: value})
        with gateway.connect() as sock:
            began_at = time.monotonic()
            sock.sendall(
                command(b"BLK.READ", 0, wait_ms=WAIT_MS)
                + command(b"BLK.WRITE", 1, b"body", wait_ms=WAIT_MS)
                + command(b"BLK.READ", 2, wait_ms=WAIT_MS)
            )
            return read_values(sock, [b"%016x" % number for number in range(3)], began_at)

    def test_requests_behind_a_value_that_breaks_off_are_answered(self) -> None:
        """Guards against a value begun for its client while requests behind it run: when it broke off, its
        connection was ended, and they were never answered."""
        for value in (
            Value(400_000, Shape.BREAK),
            Value(400_000, Shape.SPOILT_END),
            Value(100_000, Shape.SPOILT_END),
            Value(40_000, Shape.STEADY_STALL, 0.6),  # given up before the client's time is over
            Value(40_000, Shape.STEADY_STALL, 0.7),  # still arriving 50 ms before that
        ):
            with self.subTest(value):
                first, *behind = self.read_behind(value)
                self.assertEqual(first.head[:1], b"-", first)
                self.assertEqual([answer.intact for answer in behind], [True, True], behind)
                self.assertLess(first.last_byte_s, WAIT_MS / 1000 + SLACK_S)

    def test_a_long_value_before_other_requests_is_begun_in_time(self) -> None:
        """Guards against a value held back, to be whole, past its client's time; usual ones come whole."""
        for value in (Value(400_000, Shape.STEADY, 1.6), Value(40_000, Shape.STEADY, 1.2)):
            with self.subTest(value):
                answers = self.read_behind(value)
                self.assertEqual([answer.intact for answer in answers], [True] * 3, answers)
                if value.size > 64 * 1024:
                    self.assertLess(answers[0].first_byte_s, WAIT_MS / 1000)

    def test_a_value_too_long_to_be_stored_is_passed_on_before_other_requests(self) -> None:
        gateway = self.gateway({0: Value(16_000_000, Shape.BIG)})
        with gateway.connect() as sock:
            began_at = time.monotonic()
            sock.sendall(command(b"BLK.READ", 0) + command(b"BLK.READ", 1))
            answers = read_values(sock, [b"%016x" % 0, b"%016x" % 1], began_at)
        self.assertEqual([answer.intact for answer in answers], [True, True], answers)
        self.assertLess(gateway.peak_mb, MEMORY_MB)

    def test_no_request_is_taken_behind_a_value_that_is_being_passed_on(self) -> None:
        """Guards against a request that is read, and run, behind a value that may still break off."""
        values = {0: Value(2_000_000, Shape.STEADY_STALL, 1.0), 1: Value(1_000_000, Shape.STEADY, 0.6)}
        gateway = self.gateway(values)
        for number, whole in ((0, False), (1, True)):
            with self.subTest(whole=whole), gateway.connect() as sock:
                began_at = time.monotonic()
                sock.sendall(command(b"BLK.READ", number))
                reading = gevent.spawn(read_value, sock, b"%016x" % number, began_at)
                gevent.sleep(0.3)
                sock.sendall(command(b"BLK.READ", number + 10))
                self.assertEqual(reading.get().intact, whole)
                if whole:
                    self.assertEqual(sock.recv(100)[:4], b"$2\r\n")
                self.assertEqual(b"%016x" % (number + 10) in gateway.received(), whole)


if __name__ == "__main__":
    unittest.main()
