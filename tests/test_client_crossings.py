"""Clients that disconnect or send a request at the moment of a planned close (see tests.races)."""

from __future__ import annotations

import contextlib
import errno
import select
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent
from gevent import socket
from gevent.event import Event

from stackrouter.core.counters import Counters
from stackrouter.core.gate import ClientState, Denial
from stackrouter.core.model import Inbox, assume_connected, take_pipelined
from stackrouter.net import client_connection, delivery
from stackrouter.net import listener as listening
from stackrouter.net.client_connection import (
    NEW_CONNECTION_GRACE_S,
    OUTBOX_BYTES,
    READ_BYTES_PER_TURN,
    Connection,
)
from stackrouter.net.client_socket import ClientSocket
from stackrouter.net.listener import Listener
from stackrouter.net.ring import INITIAL_BYTES
from stackrouter.net.session import INBOX_BYTES, ClientTimeouts, MalformedError
from stackrouter.ops.drain import Drain
from tests.races import PATIENCE_S, REPETITIONS, wait_until


class LineSession:
    """A line-based session: `x` is answered when the test says so, `!` is malformed, any other line is echoed
    at once."""

    def __init__(self, wake: Callable[[], None], most: int) -> None:
        self.wake, self.most, self.left = wake, most, False
        self.client_hung_up = assume_connected
        self.refuses_pipelined = take_pipelined
        self.min_inbox_bytes = 0
        self.answer_broken = False
        self.taken: list[bytes] = []
        self.slots: list[bytes | None] = []

    def received(self, inbox: Inbox) -> None:
        while not self.full() and (end := inbox.peek(0, len(inbox)).find(b"\n")) >= 0:
            line = inbox.peek(0, end)
            inbox.skip(end + 1)
            if line == b"!":
                raise MalformedError(b"bad\n")
            self.taken.append(line)
            self.slots.append(None if line == b"x" else line + b"\n")
            self.wake()

    def answer(self) -> None:
        self.slots = [slot or b"x\n" for slot in self.slots]
        self.wake()

    def output(self) -> bytes | None:
        return self.slots.pop(0) if self.slots and self.slots[0] is not None else None

    def pending(self) -> int:
        return len(self.slots)

    def full(self) -> bool:
        return len(self.slots) >= self.most

    def on_disconnect(self) -> None:
        self.left = True
        self.slots.clear()


class HookedEvent:
    """An event that calls `on_set` right after each `set`."""

    def __init__(self, event: Event, on_set: Callable[[], None]) -> None:
        self._event, self._on_set = event, on_set

    def set(self) -> None:
        self._event.set()
        self._on_set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._event, name)


class FailingListenSocket:
    """A listening socket whose next `failures` calls of accept fail, by default for lack of a descriptor."""

    def __init__(self, sock: socket.socket, failures: int, number: int = errno.EMFILE) -> None:
        self._sock, self._failures_left, self._errno = sock, failures, number

    def accept(self) -> Any:
        if self._failures_left:
            self._failures_left -= 1
            raise OSError(self._errno, errno.errorcode[self._errno])
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class Clients(unittest.TestCase):
    def setUp(self) -> None:
        self.sessions: list[LineSession] = []
        self.counters, self.drain = Counters(), Drain()

    def listener(
        self, max_clients: int = 100, pipelined: int = 4, patience_s: float = 9.0, idle_s: float = 9.0
    ) -> Listener:
        def session(wake: Callable[[], None]) -> LineSession:
            self.sessions.append(LineSession(wake, pipelined))
            return self.sessions[-1]

        listener = Listener(
            ("127.0.0.1", 0),
            max_clients,
            self.counters,
            session,
            ClientTimeouts(patience_s, idle_s),
            b"busy\n",
            drain=self.drain,
        )
        self.addCleanup(listener._sock.close)
        self.addCleanup(gevent.killall, listener._greenlets)
        return listener

    def client(self, listener: Listener, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(listener.address)
        sock.settimeout(PATIENCE_S)
        self.addCleanup(sock.close)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(data)
        return sock

    def served_client(self, listener: Listener, data: bytes = b"a\n") -> tuple[socket.socket, Connection]:
        """A client that has received its first answer, and its connection."""
        sock = self.client(listener, data)
        self.assertEqual(sock.recv(100), data)
        return sock, next(reversed(listener.connections))

    # --- the client disconnects

    def check_hangup_detected(
        self, listener: Listener, leave: Callable[[socket.socket], None], data: bytes
    ) -> None:
        sock = self.client(listener, data)
        wait_until(lambda: bool(self.sessions) and len(self.sessions[-1].slots) > 0, "taken")
        session = self.sessions[-1]
        wait_until(lambda: session.full() or b"!" in data, "full")
        gevent.sleep(0)
        left_at = time.monotonic()
        leave(sock)
        wait_until(lambda: session.left, "the client's end")
        self.assertLess(time.monotonic() - left_at, 0.1)

    def test_hangup_behind_a_full_pipeline_is_detected_within_100_ms(self) -> None:
        """Guards against detecting a hangup only after an answer was sent: reading is paused while the
        pipeline is full, so the end of the stream is not read."""
        listener = self.listener(pipelined=2)
        for i in range(REPETITIONS):
            with self.subTest(i):
                self.check_hangup_detected(listener, lambda sock: sock.close(), b"x\nx\n" + b"x\n" * (i % 3))

    def test_hangup_behind_a_malformed_request_is_detected_within_100_ms(self) -> None:
        listener = self.listener()
        for i in range(REPETITIONS):
            with self.subTest(i):
                self.check_hangup_detected(listener, lambda sock: sock.close(), b"x\n!\n")

    # --- a planned close, and a request at the same moment

    def check_request_crossing_close(
        self, connection: Connection, sock: socket.socket, end: Callable[[], object]
    ) -> None:
        """`end` ends the connection; a request arrives between the gate's decision and the end."""
        gate = connection.listener.gate
        may_close = gate.may_close

        def late(client: ClientState) -> Denial | None:
            denial = may_close(client)
            if denial is None:
                sock.sendall(b"late\n")
                poll = select.poll()
                poll.register(connection._sock._sock.fileno(), select.POLLIN)
                self.assertTrue(poll.poll(1000), "the request did not arrive")
            return denial

        with mock.patch.object(gate, "may_close", late):
            end()
        session = self.sessions[-1]
        self.assertEqual(sock.recv(100), b"", "must end without a reset, which could lose an answer")
        sock.close()
        wait_until(lambda: connection.closed, "freed once the client has closed too")
        self.assertNotIn(b"late", session.taken, "must not be taken: its client sends it again")

    def test_request_crossing_a_planned_close_is_not_taken_and_causes_no_reset(self) -> None:
        for i in range(REPETITIONS):
            listener = self.listener()
            sock, connection = self.served_client(listener)
            with self.subTest("drain", i=i):
                self.drain.standby(time.monotonic())
                self.check_request_crossing_close(connection, sock, listener.close_drained)
                self.drain.active()
            sock, connection = self.served_client(listener)
            with self.subTest("room", i=i):
                gevent.sleep(listening.MIN_INACTIVE_S + 0.002)
                self.check_request_crossing_close(connection, sock, listener._make_room)
            sock, connection = self.served_client(listener)
            with self.subTest("stop", i=i):
                self.check_request_crossing_close(connection, sock, connection.finish)

    def test_answer_written_just_before_a_close_is_delivered(self) -> None:
        """Guards against losing the last answer to a reset: the client's next request is unread when the
        connection is ended after that answer."""
        for i in range(REPETITIONS):
            with self.subTest(i):
                listener = self.listener()
                sock, _ = self.served_client(listener)
                self.drain.standby(time.monotonic())
                session = self.sessions[-1]
                sock.sendall(b"x\n")
                wait_until(lambda s=session: s.slots == [None], "taken")  # type: ignore[misc]
                session.answer()
                sock.sendall(b"late\n" * 3)
                got = b""
                while chunk := sock.recv(100):
                    got += chunk
                self.assertTrue(got.startswith(b"x\n"), got)
                # A request read before the end is served, else not taken; none is taken without an answer.
                self.assertEqual(got.count(b"late\n"), session.taken.count(b"late"))
                self.drain.active()

    def test_client_over_the_cap_gets_the_busy_reply_though_its_request_is_unread(self) -> None:
        for i in range(REPETITIONS):
            with self.subTest(i), mock.patch.object(listening, "MAX_ROOM_WAIT_S", 0.0):
                listener = self.listener(max_clients=1)
                first = self.client(listener, b"x\n")
                wait_until(lambda d=listener: len(d.connections) == 1, "the first is in")  # type: ignore[misc]
                sock = self.client(listener, b"x\n" * 20)
                got = b""
                while chunk := sock.recv(100):
                    got += chunk
                self.assertEqual(got, b"busy\n")
                first.close()

    def test_lingering_clients_over_the_cap_are_bounded(self) -> None:
        with mock.patch.object(listening, "MAX_ROOM_WAIT_S", 0.0):
            listener = self.listener(max_clients=1)
            self.client(listener, b"x\n")
            wait_until(lambda: len(listener.connections) == 1, "the first is in")
            for i in range(40):
                self.client(listener)  # never reads, never closes
                wait_until(lambda i=i: self.counters["clients.over_sockets"] == i + 1, "rejected")  # type: ignore[misc]
                self.assertLessEqual(len(listener.lingering), 1 + listening.MAX_REJECTED_LINGERING)
            wait_until(lambda: not listener.lingering, "lingering ends")

    def test_partial_request_does_not_lose_the_answer_owed_before_it(self) -> None:
        """Guards against closing a connection for its overdue partial request while the answer to an earlier
        request is still owed."""
        listener = self.listener(patience_s=0.3)
        sock = self.client(listener, b"x\nhalf")
        wait_until(lambda: bool(self.sessions) and self.sessions[-1].slots == [None], "taken")
        connection = next(iter(listener.connections))
        gevent.sleep(0.8)
        self.assertFalse(connection.closed)
        self.sessions[-1].answer()
        self.assertEqual(sock.recv(100), b"x\n")
        self.assertEqual(sock.recv(100), b"", "must end then, for the partial request")

    def test_partially_received_request_is_not_closed_at_once_to_make_room(self) -> None:
        listener = self.listener()
        sock, connection = self.served_client(listener)
        sock.sendall(b"half")
        wait_until(lambda: len(connection.inbox) == 4, "partially received")
        gevent.sleep(listening.MIN_INACTIVE_S + 0.002)
        self.assertFalse(listener._make_room())
        sock.sendall(b"\n")
        self.assertEqual(sock.recv(100), b"half\n")

    def test_oversized_command_ends_the_connection_after_earlier_answers(self) -> None:
        listener = self.listener()
        sock = self.client(listener, b"a\n" + b"z" * (INBOX_BYTES + 10))
        got = b""
        while chunk := sock.recv(100):
            got += chunk
        self.assertEqual(got, b"a\n")
        self.assertEqual(self.counters["errors.connection"], 0)

    # --- a stop

    def test_a_long_answer_is_written_in_few_pieces(self) -> None:
        """Guards against long answers that pass through the small outbox, 4 KiB a system call."""
        listener, line = self.listener(), b"a" * 100_000 + b"\n"
        with mock.patch.object(ClientSocket, "write", autospec=True, side_effect=ClientSocket.write) as write:
            client = self.client(listener, line)
            received = b""
            while len(received) < len(line):
                received += client.recv(1 << 20)
        self.assertEqual(received, line)
        self.assertLessEqual(write.call_count, 2)

    def test_an_empty_part_of_an_answer_does_not_hold_back_what_follows(self) -> None:
        """Guards against an empty part, behind an outbox that was just filled, taken for the end of the
        output: the rest waited for an event that never came."""
        for length in (0, 1, OUTBOX_BYTES - 1, OUTBOX_BYTES, OUTBOX_BYTES + 1, 2 * OUTBOX_BYTES):
            with self.subTest(length):
                self.sessions.clear()
                client = self.client(self.listener(), b"x\n")
                wait_until(lambda: bool(self.sessions and self.sessions[0].slots), "taken")
                self.sessions[0].slots = [b"a" * length, b"", b"", b"end\n"]
                self.sessions[0].wake()
                received = b""
                while not received.endswith(b"end\n"):
                    received += client.recv(1 << 20)
                self.assertEqual(received, b"a" * length + b"end\n")

    def test_a_client_that_reads_a_long_answer_slowly_is_not_cut_off(self) -> None:
        """Guards against a client taken for stalled while it reads what the system has buffered for it."""
        client = self.slow_client(self.listener(), 16 << 20)  # more than the system buffers
        with mock.patch.object(delivery, "WRITE_STALL_S", 0.4):
            self.sessions[0].wake()
            self.read_slowly(client, 2.0)
            self.assertEqual(self.counters["clients.stalled"], 0)
            wait_until(lambda: self.counters["clients.stalled"] == 1, "stalled once the client stops reading")

    def test_a_client_that_writes_a_request_slowly_is_not_cut_off(self) -> None:
        """Guards against a time for the whole request that takes a slow client for a stopped one."""
        client = self.client(self.listener(patience_s=0.3))
        for _ in range(30):
            client.sendall(b"a")
            gevent.sleep(0.05)
        client.sendall(b"\n")
        self.assertEqual(client.recv(100), b"a" * 30 + b"\n")
        client.sendall(b"a")
        began_at = time.monotonic()
        self.assertEqual(client.recv(100), b"")
        self.assertLess(time.monotonic() - began_at, 1.5)

    def slow_client(self, listener: Listener, answer_bytes: int) -> socket.socket:
        """A client with a small receive buffer, and an answer for it; its session has yet to be woken."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(listener.address)
        client.sendall(b"x\n")
        wait_until(lambda: bool(self.sessions and self.sessions[0].slots), "taken")
        self.sessions[0].slots = [bytes(answer_bytes)]
        return client

    def read_slowly(self, client: socket.socket, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.assertTrue(client.recv(2048))
            gevent.sleep(0.02)

    def test_an_ended_connection_stays_open_while_its_client_reads(self) -> None:
        """Guards against a close half a second after the end, with bytes unsent: the client's next request
        turns that into a reset, which discards them."""
        for linger_bytes in (client_connection.LINGER_BYTES, 100):
            with (
                self.subTest(linger_bytes),
                mock.patch.object(client_connection, "LINGER_BYTES", linger_bytes),
            ):
                self.sessions.clear()
                listener, answer_bytes = self.listener(), 200_000
                client = self.slow_client(listener, answer_bytes)
                self.sessions[0].wake()
                connection = next(iter(listener.connections))
                wait_until(connection.answered, "written to the system")
                connection.end(planned=False)
                self.assertFalse(listener._make_room(at_once=True), "not for room either")
                received, began_at = 0, time.monotonic()
                while chunk := client.recv(4096):
                    received += len(chunk)
                    gevent.sleep(0.025)
                    client.sendall(b"late\n")
                self.assertEqual(received, answer_bytes)
                self.assertGreater(time.monotonic() - began_at, 2 * delivery.LINGER_S)
                client.close()
                wait_until(lambda c=connection: c.closed, "closed")  # type: ignore[misc]

    def test_an_ended_connection_whose_client_does_not_read_is_closed(self) -> None:
        """Guards against connections that nothing ends."""
        with mock.patch.object(delivery, "WRITE_STALL_S", 0.4):
            listener = self.listener()
            self.slow_client(listener, 200_000)
            self.sessions[0].wake()
            connection = next(iter(listener.connections))
            wait_until(connection.answered, "written to the system")
            connection.end(planned=False)
            wait_until(lambda: connection.closed, "closed")

    def test_a_connection_with_unsent_answers_is_not_closed_for_room_or_a_stop(self) -> None:
        listener = self.listener()
        client = self.slow_client(listener, 200_000)
        self.sessions[0].wake()
        connection = next(iter(listener.connections))
        wait_until(connection.answered, "written to the system")
        gevent.sleep(listening.MIN_INACTIVE_S + 0.002)
        self.assertFalse(listener._make_room(at_once=True))
        connection.finish()
        self.assertFalse(connection.quiescent() or connection.ending or listener.idle())
        while client.recv(1 << 20) and connection._sock.unsent_bytes():
            pass
        self.assertTrue(connection.quiescent())

    def test_a_client_that_reads_its_last_answer_slowly_is_not_idle(self) -> None:
        """Guards against an end, and a reset by the next request, while the client still reads an answer."""
        listener = self.listener(idle_s=0.2)
        client = self.slow_client(listener, 500_000)
        self.sessions[0].wake()
        self.read_slowly(client, 1.0)
        self.assertEqual(self.counters["clients.stalled"], 0)
        client.settimeout(PATIENCE_S)
        client.sendall(b"a\n")
        received = b""
        while not received.endswith(b"a\n"):
            received = received[-1:] + client.recv(1 << 20)
        wait_until(lambda: self.counters["clients.stalled"] == 1, "idle once the client has read all")

    def test_a_client_that_sends_at_full_speed_does_not_hold_up_others(self) -> None:
        """Guards against a reader that goes on as long as its client sends: nodes' answers came late, and
        the decision module took the nodes for slow."""
        listener = self.listener(pipelined=1 << 30)
        greedy, usual = self.client(listener), self.client(listener)
        wait_until(lambda: len(self.sessions) == 2, "connected")
        line = b"a" * 1023 + b"\n"
        read_before: list[int] = []  # bytes of the greedy client, when the other client's request is taken

        def greedy_taken() -> None:
            if len(self.sessions[0].taken) == 1:
                usual.sendall(b"b\n")

        def usual_taken() -> None:
            read_before.append(len(self.sessions[0].taken) * len(line))

        self.sessions[0].wake, self.sessions[1].wake = greedy_taken, usual_taken
        greedy.setblocking(False)
        sent = 0
        with contextlib.suppress(BlockingIOError):
            while sent < 64 * READ_BYTES_PER_TURN:
                sent += greedy.send(line * 64)
        self.assertGreater(sent, 8 * READ_BYTES_PER_TURN)
        # gevent lets up to 50 turns pass before it looks at sockets, so smaller ones show what is read.
        with mock.patch.object(client_connection, "READ_BYTES_PER_TURN", INITIAL_BYTES):
            wait_until(lambda: bool(read_before), "the other client's request")
        self.assertLess(read_before[0], sent // 2)

    def test_stop_is_not_done_before_requests_behind_a_full_pipeline_are_answered(self) -> None:
        """Guards against counting a connection as idle when its first requests are answered but the rest is
        still in the ring buffer."""
        for i in range(REPETITIONS):
            with self.subTest(i):
                listener = self.listener(pipelined=1)
                sock = self.client(listener, b"x\nx\nx\n")
                wait_until(lambda: bool(self.sessions) and self.sessions[-1].slots == [None], "taken")
                session = self.sessions[-1]
                listener.stop()
                for n in range(3):
                    wait_until(lambda s=session: s.slots == [None], "the next is taken")  # type: ignore[misc]
                    # At this point the writer has sent the answer, and the reader has not run yet.
                    connection = next(iter(listener.connections))
                    seen: list[bool] = []
                    with mock.patch.object(
                        connection,
                        "_output_progress",
                        HookedEvent(
                            connection._output_progress,
                            lambda s=seen, d=listener: s.append(d.idle()),  # type: ignore[misc]
                        ),
                    ):
                        session.answer()
                        self.assertEqual(sock.recv(100), b"x\n")
                    self.assertTrue(seen)
                    if n < 2:
                        self.assertNotIn(True, seen)
                self.assertEqual(sock.recv(100), b"")
                sock.close()
                wait_until(lambda d=listener: d.idle() and not d.leave(), "done")  # type: ignore[misc]
                self.sessions.clear()

    def test_request_arriving_as_a_stop_begins_is_served_before_the_end(self) -> None:
        for i in range(REPETITIONS):
            with self.subTest(i):
                listener = self.listener()
                sock, connection = self.served_client(listener)
                sock.sendall(b"last\n")
                poll = select.poll()
                poll.register(connection._sock._sock.fileno(), select.POLLIN)
                self.assertTrue(poll.poll(1000))
                listener.stop()
                self.assertEqual(sock.recv(100), b"last\n")
                self.assertEqual(sock.recv(100), b"")

    def test_new_client_at_a_stop_has_time_to_send_a_request(self) -> None:
        listener = self.listener()
        sock = socket.create_connection(listener.address)
        self.addCleanup(sock.close)
        sock.settimeout(PATIENCE_S)
        listener.stop()
        gevent.sleep(0.02)
        sock.sendall(b"first\n")
        self.assertEqual(sock.recv(100), b"first\n")
        self.assertEqual(sock.recv(100), b"")
        quiet = self.listener()
        sock = socket.create_connection(quiet.address)
        self.addCleanup(sock.close)
        sock.settimeout(0.2)
        quiet.stop()
        self.assertEqual(sock.recv(100), b"", "a silent client must be ended before 0.7 s after SIGTERM")

    def test_stop_without_free_descriptors_accepts_the_backlog(self) -> None:
        listener = self.listener()
        self.served_client(listener)
        listener._greenlets[0].kill()
        sock = self.client(listener, b"x\n")  # in the backlog
        with mock.patch.object(listener, "_sock", FailingListenSocket(listener._sock, failures=3)):
            listener.stop()
        wait_until(lambda: len(self.sessions) == 2 and self.sessions[-1].slots == [None], "taken")
        self.sessions[-1].answer()
        self.assertEqual(sock.recv(100), b"x\n")

    def test_stop_with_transient_accept_errors_accepts_the_backlog(self) -> None:
        """Guards against closing the listening socket with clients in its backlog, which resets them."""
        for number in (errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN,
                       errno.EHOSTUNREACH, errno.ENOBUFS, errno.ENFILE):  # fmt: skip
            with self.subTest(errno.errorcode[number]):
                self.sessions.clear()
                listener = self.listener()
                listener._greenlets[0].kill()
                waiting = [self.client(listener, b"a\n") for _ in range(3)]  # in the backlog
                with mock.patch.object(listener, "_sock", FailingListenSocket(listener._sock, 2, number)):
                    listener.stop()
                for sock in waiting:
                    self.assertEqual(sock.recv(100), b"a\n")

    def test_idle_clients_at_the_cap_are_closed_for_a_client_with_a_request(self) -> None:
        listener = self.listener(max_clients=20)
        for _ in range(60):
            self.client(listener)
        gevent.sleep(NEW_CONNECTION_GRACE_S)
        began = time.monotonic()
        sock = self.client(listener, b"a\n")
        self.assertEqual(sock.recv(100), b"a\n")
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertLessEqual(
            len(listener.connections) + len(listener.lingering), 20 + listening.MAX_REJECTED_LINGERING
        )


if __name__ == "__main__":
    unittest.main()
