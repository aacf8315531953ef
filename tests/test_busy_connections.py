"""Connections on which an answer is always owed: they are closed at a drain, a stop and an upgrade, and every
request that was read on them has its one answer."""

from __future__ import annotations

import signal
import time
import unittest
from collections import deque

import gevent
from gevent import socket

from stackrouter.net.client_connection import OUTBOX_BYTES
from stackrouter.ops.drain import PIPELINED_GRACE_S, refuses_pipelined
from tests.loopback_rig import PATIENCE_S, GatewayProcess, command
from tests.shaped_nodes import Shape, ShapedNode, Value, read_values

BATCH, EVERY_S = 3, 0.03
WORK_S = 0.05  # of a node: longer than the pause between batches, so that an answer is always owed
ANSWERED_WITHIN_S = 3.5  # the longest wait of a client, 3 s, and half a second
DRAINED_WITHIN_S = 4.0  # as the operators' page says


class BusyClient:
    """A client that sends several reads at once, and the next ones before they are answered, until its
    connection ends. `waiting`: ids without an answer; `ended_at`: when the gateway ended the connection."""

    def __init__(self, gateway: GatewayProcess) -> None:
        self.waiting: deque[bytes] = deque()
        self.sent, self.answers = 0, list[bytes]()
        self.ended_at: float | None = None
        self._sock = gateway.connect()
        self._reader, self._sender = gevent.spawn(self._read), gevent.spawn(self._send)

    def _send(self) -> None:
        try:
            while not self._reader.ready():
                for _ in range(BATCH):
                    self.sent += 1
                    self.waiting.append(b"%016x" % self.sent)
                    self._sock.sendall(command(b"BLK.READ", self.sent))
                gevent.sleep(EVERY_S)
        except OSError:
            pass  # the connection has ended

    def _read(self) -> None:
        stream = self._sock.makefile("rb")
        try:
            while line := stream.readline():
                if line.startswith(b"$"):
                    stream.read(int(line[1:]) + 2)
                self.waiting.popleft()
                self.answers.append(line)
        except OSError:
            pass  # reset
        finally:
            stream.close()
        self.ended_at = time.monotonic()

    def wait_for_end(self) -> None:
        gevent.joinall([self._reader, self._sender], timeout=PATIENCE_S)
        self._sock.close()

    def lost(self, gateway: GatewayProcess) -> list[bytes]:
        """Requests that a node got from the gateway, and that have no answer."""
        return sorted(set(self.waiting) & set(gateway.received()))


class BusyConnections(unittest.TestCase):
    def assert_closed_without_loss(self, client: BusyClient, gateway: GatewayProcess) -> None:
        client.wait_for_end()
        self.assertEqual(client.lost(gateway), [])
        self.assertLessEqual({line[:1] for line in client.answers}, {b"$", b"-"})
        self.assertIn(b"$2\r\n", client.answers)

    def test_a_planned_stop_loses_no_request_of_a_busy_connection(self) -> None:
        """Guards against a stop that reads such a connection until its exit and cuts off what came last."""
        gateway = GatewayProcess(self, work_s=WORK_S)
        client = BusyClient(gateway)
        gevent.sleep(0.5)
        gateway.program.send_signal(signal.SIGTERM)
        self.assert_closed_without_loss(client, gateway)
        self.assertEqual(gateway.wait(), 0)

    def test_a_drain_closes_a_busy_connection(self) -> None:
        """Guards against a drain that such a connection outlasts, with requests taken on it all the time."""
        gateway = GatewayProcess(self, work_s=WORK_S)
        client = BusyClient(gateway)
        gevent.sleep(0.5)
        began = time.monotonic()
        self.assertTrue(gateway.call(b"standby").startswith(b"SUCCESS"))
        self.assert_closed_without_loss(client, gateway)
        assert client.ended_at is not None
        self.assertLess(client.ended_at - began, DRAINED_WITHIN_S)

    def test_the_old_process_of_an_upgrade_loses_no_request_of_a_busy_connection(self) -> None:
        """Guards against an old process that cuts off what it took last, beside the new one."""
        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        old = GatewayProcess(self, work_s=WORK_S, held=held)
        client = BusyClient(old)
        gevent.sleep(0.5)
        GatewayProcess(self, work_s=WORK_S, held=held)
        old.program.send_signal(signal.SIGTERM)
        self.assert_closed_without_loss(client, old)
        self.assertEqual(old.wait(), 0)

    def test_a_stop_answers_a_busy_connection_whose_nodes_hang(self) -> None:
        """Guards against an exit before the last answers: its commands may wait longer than their class."""
        gateway = GatewayProcess(self, work_s=60.0)
        client = BusyClient(gateway)
        gevent.sleep(0.5)
        gateway.program.send_signal(signal.SIGTERM)
        client.wait_for_end()
        self.assertEqual(client.lost(gateway), [])
        self.assertEqual(gateway.wait(), 0)


class PipelinedAnswers(unittest.TestCase):
    def test_an_empty_value_among_answers_that_are_ready_at_once(self) -> None:
        """Guards against an empty value whose head just fills the outbox: its client waited for ever."""
        read_bytes, reads = (OUTBOX_BYTES - len(b"$0\r\n")) // 4 - len(b"$1014\r\n\r\n"), 4
        values = [Value(read_bytes, Shape.LATE_BODY, 0.2)] + [Value(read_bytes, Shape.BIG)] * (reads - 1)
        values += [Value(0, Shape.BIG), Value(read_bytes, Shape.BIG)]
        gateway = GatewayProcess(self, new_node=lambda: ShapedNode(lambda each: values[int(each, 16)]))
        with gateway.connect() as sock:
            sock.settimeout(ANSWERED_WITHIN_S)
            sock.sendall(b"".join(command(b"BLK.READ", number) for number in range(len(values))))
            request_ids = [b"%016x" % number for number in range(len(values))]
            answers = read_values(sock, request_ids, time.monotonic())
        self.assertEqual([answer.intact for answer in answers], [True] * len(values), answers)


class RefusalTest(unittest.TestCase):
    def test_pipelined_requests_are_refused_after_the_grace_only(self) -> None:
        self.assertFalse(refuses_pipelined(10.0, None))
        self.assertFalse(refuses_pipelined(10.0 + PIPELINED_GRACE_S, 10.0))
        self.assertTrue(refuses_pipelined(10.1 + PIPELINED_GRACE_S, 10.0))
