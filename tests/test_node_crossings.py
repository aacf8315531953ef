"""Changes of a client, a node or a list while an attempt waits to be written (see tests.races)."""

from __future__ import annotations

import errno
import struct
import time
import unittest
from typing import Any
from unittest import mock

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from rackseam.interface import Effect, ListKind, NodeEntry, NodeState, Plan, RequestClass, Settings
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.memory import AnswerMemory
from stackrouter.core.model import Attempt, Request, Result, Verdict
from stackrouter.fronts.platform.node import Command
from stackrouter.net.pool import Pool
from tests.races import PATIENCE_S, REPETITIONS, wait_until

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SERVED = b"*3\r\n$1\r\n1\r\n$-1\r\n$-1\r\n"
CLASSES = (
    RequestClass(aim_us=2_000_000, deadline_us=4_000_000),
    RequestClass(
        aim_us=2_000_000, deadline_us=4_000_000, effect=Effect.KEYED, group="cell", key_ttl_us=300_000
    ),
    RequestClass(aim_us=2_000_000, deadline_us=4_000_000, effect=Effect.UNSAFE),
)
SAFE, KEYED, UNSAFE = range(3)

LONG_STRAY_BYTES_WAIT_S = 0.1


class Nodes(unittest.TestCase):
    """Engine, pool and a node on loopback; `connect_gate` holds attempts whose connection is newly opened."""

    def setUp(self) -> None:
        self.commands: list[bytes] = []
        self.replies: list[bytes] = []  # sent in turn; b"" resets the connection; no answer when empty
        self.server = StreamServer(("127.0.0.1", 0), self.node)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.address = ("127.0.0.1", int(self.server.server_port or 0))
        self.at_gate, self.connect_gate = Event(), Event()
        self.connect_gate.set()

    def node(self, sock: socket.socket, _: object) -> None:
        while data := sock.recv(65536):
            self.commands.append(data)
            if self.replies:
                if not (reply := self.replies.pop(0)):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    return
                sock.sendall(reply)

    def serve_other(self, sock: socket.socket, _: object) -> None:
        if sock.recv(65536):
            sock.sendall(SERVED)

    def start(self, cancel: bool = True) -> Engine:
        settings = Settings(classes=CLASSES, plans=(Plan(),), max_attempts=3, may_cancel=cancel, step_us=2000)
        engine = Engine(settings, 100, Counters())
        pool = Pool(
            10,
            AnswerMemory(1 << 20, 1 << 20),
            250_000,
            15_000_000,
            engine.counters,
            engine.attempt_ended,
            engine.gate,
        )
        engine.transport = pool
        connect = pool._connect

        def gated_connect(attempt: Attempt) -> Any:
            connection = connect(attempt)
            self.at_gate.set()
            self.connect_gate.wait()
            return connection

        self.enterContext(mock.patch.object(pool, "_connect", gated_connect))
        greenlet = gevent.spawn(engine.run)
        self.addCleanup(greenlet.kill)
        self.apply_state(engine, "n", NodeState.READY, ListKind.CACHED)
        self.pool = pool
        return engine

    def apply_state(self, engine: Engine, name: str, state: NodeState, kind: ListKind = ListKind.DELTA,
                    address: tuple[str, int] | None = None) -> None:  # fmt: skip
        engine.update_nodes(kind, 1, [NodeEntry(name, 0, state)], {name: address or self.address})

    def ask(self, engine: Engine, cls: int = SAFE) -> tuple[Request, list[Result]]:
        results: list[Result] = []
        command = Command(b"BLK.READ", b"0" * 16, b"r", (("d", "4000"),), ())
        request = Request(cls, 0, "v", 1.0, 0, 1, "0" * 16, clock_us() + 4_000_000, command.exchange,
                          results.append, "platform")  # fmt: skip
        engine.submit(request)
        return request, results

    def start_held_request(self, engine: Engine, cls: int = SAFE) -> tuple[Request, list[Result]]:
        self.at_gate.clear()
        self.connect_gate.clear()
        asked = self.ask(engine, cls)
        self.assertTrue(self.at_gate.wait(PATIENCE_S))
        return asked

    def release(self, engine: Engine) -> None:
        gevent.sleep(0.002)
        self.connect_gate.set()
        gevent.sleep(0.01)

    def test_withdrawal_or_drain_during_a_slow_connect_prevents_the_write(self) -> None:
        """Guards against writing the request of a client that has left, which happened where the settings
        allow no cancel."""
        for cancel in (True, False):
            engine = self.start(cancel)
            for i in range(REPETITIONS):
                with self.subTest("the client leaves", cancel=cancel, i=i):
                    request, _ = self.start_held_request(engine)
                    engine.withdraw(request)
                    self.release(engine)
                    self.assertEqual(self.commands, [])
                    self.assertFalse(engine.requests)
                    self.pool.close_all_idle()
            for state in (NodeState.DRAINING, NodeState.GONE):
                with self.subTest("the node", state=state):
                    request, results = self.start_held_request(engine)
                    self.apply_state(engine, "n", state)
                    self.release(engine)
                    self.assertEqual(self.commands, [])
                    engine.withdraw(request)
                    self.apply_state(engine, "n", NodeState.READY, ListKind.FULL)
                    self.pool.close_all_idle()

    def test_unread_client_hangup_is_detected_before_the_write(self) -> None:
        """Guards against a process that is delayed between its decision and its write, and writes the request
        of a client that has left meanwhile."""
        engine = self.start()
        for i in range(REPETITIONS):
            with self.subTest(i):
                request, _ = self.start_held_request(engine)
                request.client_hung_up = lambda: True
                self.release(engine)
                self.assertEqual(self.commands, [])
                self.assertGreater(engine.counters["denied.client_gone"], i)
                engine.withdraw(request)
                wait_until(lambda: not engine.requests, "forgotten")
                self.pool.close_all_idle()

    def test_attempt_is_not_written_to_the_old_address_of_a_moved_node(self) -> None:
        engine = self.start()
        other = StreamServer(("127.0.0.1", 0), self.serve_other)
        other.start()
        self.addCleanup(other.stop)
        _, results = self.start_held_request(engine)
        self.apply_state(engine, "n", NodeState.READY, address=("127.0.0.1", int(other.server_port or 0)))
        self.release(engine)
        wait_until(lambda: bool(results), "answered from the new address")
        self.assertEqual((self.commands, results[0].verdict), ([], Verdict.SERVED))

    def test_repeat_is_not_written_after_its_idempotency_window(self) -> None:
        """Guards against checking the window only when the repeat is decided: its connection may come up
        after the window."""
        engine = self.start()
        self.replies = [b""]
        _, results = self.ask(engine, KEYED)
        self.at_gate.wait(PATIENCE_S)
        began = time.monotonic()
        self.at_gate.clear()
        self.connect_gate.clear()
        self.assertTrue(self.at_gate.wait(PATIENCE_S), "the repeat connects")
        wait_until(lambda: time.monotonic() > began + 0.31, "the window is over")
        self.release(engine)
        wait_until(lambda: bool(results), "answered")
        self.assertEqual((len(self.commands), results[0].verdict), (1, Verdict.FAILED))

    def test_local_connect_failure_does_not_count_against_the_node(
        self,
    ) -> None:
        """Guards against counting the node as silent after two such failures in a row, so that its requests
        waited."""
        connect = socket.socket.connect
        for number in (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EINTR, errno.EAGAIN):
            with self.subTest(errno.errorcode[number]):
                engine = self.start()
                self.replies = [SERVED]
                errors = [OSError(number, "transient")] * 2

                def failing(sock: Any, address: Any, errors: list[OSError] = errors) -> None:
                    if errors:
                        raise errors.pop()
                    connect(sock, address)

                with mock.patch.object(socket.socket, "connect", failing):
                    _, results = self.ask(engine)
                    wait_until(lambda r=results: bool(r), "answered")  # type: ignore[misc]
                self.assertIs(results[0].verdict, Verdict.SERVED)
                self.assertEqual(engine.controller.nodes["n"].broken_connections, 0)
                self.assertEqual(engine.counters["attempts.connect_failed"], 0)

    def test_transient_read_and_write_errors_are_retried(self) -> None:
        """Guards against taking such an error for a reset: the attempt counted as possibly run, and a client
        lost its connection."""
        for name in ("recv_into", "send"):
            for number in (errno.EINTR, errno.ENOBUFS, errno.ENOMEM):
                with self.subTest(name, number=errno.errorcode[number]):
                    engine = self.start()
                    self.replies, errors = [SERVED], [OSError(number, "transient")] * 2
                    real = getattr(socket.socket, name)

                    def failing(
                        sock: Any, *args: Any, errors: list[OSError] = errors, real: Any = real
                    ) -> Any:
                        if errors and sock.getpeername() == self.address:
                            raise errors.pop()
                        return real(sock, *args)

                    with mock.patch.object(socket.socket, name, failing):
                        _, results = self.ask(engine, UNSAFE)
                        wait_until(lambda r=results: bool(r), "answered")  # type: ignore[misc]
                    self.assertIs(results[0].verdict, Verdict.SERVED)
                    self.assertEqual(errors, [])
                    self.pool.close_all_idle()

    def test_repeat_within_the_idempotency_window_is_written(self) -> None:
        engine = self.start()
        self.replies = [b"", SERVED]
        _, results = self.ask(engine, KEYED)
        wait_until(lambda: bool(results), "answered")
        self.assertEqual((len(self.commands), results[0].verdict), (2, Verdict.SERVED))

    def test_unsafe_request_is_sent_again_only_if_it_never_ran(self) -> None:
        engine = self.start()
        for reply, sent, verdict in ((b"", 1, Verdict.FAILED), (b"-BUSY\r\n", 2, Verdict.SERVED)):
            self.commands.clear()
            self.replies = [reply, SERVED]
            _, results = self.ask(engine, UNSAFE)
            wait_until(lambda r=results: bool(r), "answered")  # type: ignore[misc]
            self.assertEqual((len(self.commands), results[0].verdict), (sent, verdict))

    def test_request_withdrawn_while_a_repeat_waits_is_not_sent_again(self) -> None:
        engine = self.start()
        for i in range(REPETITIONS):
            with self.subTest(i):
                self.commands.clear()
                self.replies = [b"-BUSY\r\n"]  # the node is not used for a while, and the request waits
                request, results = self.ask(engine)
                wait_until(lambda r=request: r.attempts == 1 and not r.in_flight, "refused with BUSY")  # type: ignore[misc]
                engine.withdraw(request)
                wait_until(lambda: not engine.requests, "forgotten")
                self.assertEqual((len(self.commands), results), (1, []))
        gevent.sleep(0.3)  # longer than any such wait
        self.assertEqual(len(self.commands), 1)

    def test_attempt_cancelled_while_waiting_for_stray_bytes_is_not_written(self) -> None:
        engine = self.start()
        for i in range(REPETITIONS):
            with self.subTest(i):
                self.replies = [SERVED]
                _, results = self.ask(engine)
                wait_until(lambda r=results: bool(r), "served")  # type: ignore[misc]
                sent = len(self.commands)
                # Right after the answer, the attempt waits before it uses the kept connection, and is
                # cancelled in that wait, which is long enough for a busy machine to withdraw within it.
                with mock.patch("stackrouter.net.pool.STRAY_BYTES_WAIT_S", LONG_STRAY_BYTES_WAIT_S):
                    request, _ = self.ask(engine)
                    wait_until(lambda: bool(self.pool._busy), "taken up")
                    engine.withdraw(request)
                    gevent.sleep(LONG_STRAY_BYTES_WAIT_S + 0.002)
                self.assertEqual(len(self.commands), sent)
                self.assertEqual(engine.counters["errors.attempt"], 0)


if __name__ == "__main__":
    unittest.main()
