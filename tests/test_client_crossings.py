"""Clients that go, close or ask in the very moment of a planned close (see tests.crossing)."""

from __future__ import annotations

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
from stackrouter.core.model import Inbox, client_stays
from stackrouter.net import listener as listening
from stackrouter.net.listener import Connection, Listener, MalformedError, Patience
from stackrouter.ops.drain import Drain
from tests.crossing import PATIENCE_S, TIMES, wait_until


class Lines:
    """A session of lines: `x` is owed an answer until the test gives it, `!` cannot be followed, all else is
    answered at once."""

    def __init__(self, wake: Callable[[], None], most: int) -> None:
        self.wake, self.most, self.left = wake, most, False
        self.client_left = client_stays
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

    def output(self) -> bytes:
        return (self.slots.pop(0) or b"") if self.slots and self.slots[0] is not None else b""

    def pending(self) -> int:
        return len(self.slots)

    def full(self) -> bool:
        return len(self.slots) >= self.most

    def gone(self) -> None:
        self.left = True
        self.slots.clear()


class Gate:
    """An event whose `set` is looked behind."""

    def __init__(self, event: Event, look: Callable[[], None]) -> None:
        self._event, self._look = event, look

    def set(self) -> None:
        self._event.set()
        self._look()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._event, name)


class Backlog:
    """A listening socket whose next few calls of accept fail; by default for want of a descriptor."""

    def __init__(self, sock: socket.socket, fails: int, number: int = errno.EMFILE) -> None:
        self._sock, self._fails, self._number = sock, fails, number

    def accept(self) -> Any:
        if self._fails:
            self._fails -= 1
            raise OSError(self._number, errno.errorcode[self._number])
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class Clients(unittest.TestCase):
    def setUp(self) -> None:
        self.sessions: list[Lines] = []
        self.counters, self.drain = Counters(), Drain()

    def door(self, most: int = 100, pipelined: int = 4, patience_s: float = 9.0) -> Listener:
        def session(wake: Callable[[], None]) -> Lines:
            self.sessions.append(Lines(wake, pipelined))
            return self.sessions[-1]

        door = Listener(
            ("127.0.0.1", 0),
            most,
            self.counters,
            session,
            Patience(patience_s, 9.0),
            b"busy\n",
            drain=self.drain,
        )
        self.addCleanup(door._sock.close)
        self.addCleanup(gevent.killall, door._greenlets)
        return door

    def client(self, door: Listener, said: bytes = b"") -> socket.socket:
        sock = socket.create_connection(door.address)
        sock.settimeout(PATIENCE_S)
        self.addCleanup(sock.close)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(said)
        return sock

    def asked(self, door: Listener, said: bytes = b"a\n") -> tuple[socket.socket, Connection]:
        """A client that has had its first answer."""
        sock = self.client(door, said)
        self.assertEqual(sock.recv(100), said)
        return sock, next(reversed(door.connections))

    # --- the client goes

    def left_within(self, door: Listener, leave: Callable[[socket.socket], None], said: bytes) -> None:
        sock = self.client(door, said)
        wait_until(lambda: bool(self.sessions) and len(self.sessions[-1].slots) > 0, "taken")
        session = self.sessions[-1]
        wait_until(lambda: session.full() or b"!" in said, "full")
        gevent.sleep(0)
        left_at = time.monotonic()
        leave(sock)
        wait_until(lambda: session.left, "the client's end")
        self.assertLess(time.monotonic() - left_at, 0.1)

    def test_a_client_that_pipelines_all_it_may_and_goes_is_gone_within_a_tenth_of_a_second(self) -> None:
        """Not read from while its answers were owed, its end was seen only once one had left."""
        door = self.door(pipelined=2)
        for i in range(TIMES):
            with self.subTest(i):
                self.left_within(door, lambda sock: sock.close(), b"x\nx\n" + b"x\n" * (i % 3))

    def test_a_client_that_sends_what_cannot_be_followed_and_goes_is_gone_as_soon(self) -> None:
        door = self.door()
        for i in range(TIMES):
            with self.subTest(i):
                self.left_within(door, lambda sock: sock.close(), b"x\n!\n")

    # --- a planned close, and a request in its very moment

    def crossed(self, connection: Connection, sock: socket.socket, end: Callable[[], object]) -> None:
        """`end` ends the connection; between the gate's word and the end a request arrives."""
        gate = connection.listener.gate
        may_close = gate.may_close

        def late(client: ClientState) -> Denial | None:
            denial = may_close(client)
            if denial is None:
                sock.sendall(b"late\n")
                poll = select.poll()
                poll.register(connection._sock._sock.fileno(), select.POLLIN)
                self.assertTrue(poll.poll(1000), "arrived")
            return denial

        with mock.patch.object(gate, "may_close", late):
            end()
        session = self.sessions[-1]
        self.assertEqual(sock.recv(100), b"", "an end, and no reset that could take an answer with it")
        sock.close()
        wait_until(lambda: connection.closed, "freed once the client has ended too")
        self.assertNotIn(b"late", session.taken, "its client sends it anew")

    def test_a_request_that_crosses_a_planned_close_is_not_taken_and_resets_nothing(self) -> None:
        for i in range(TIMES):
            door = self.door()
            sock, connection = self.asked(door)
            with self.subTest("drain", i=i):
                self.drain.standby(time.monotonic())
                self.crossed(connection, sock, door.close_drained)
                self.drain.active()
            sock, connection = self.asked(door)
            with self.subTest("room", i=i):
                gevent.sleep(listening.MIN_INACTIVE_S + 0.002)
                self.crossed(connection, sock, door._make_room)
            sock, connection = self.asked(door)
            with self.subTest("stop", i=i):
                self.crossed(connection, sock, connection.finish)

    def test_an_answer_just_written_survives_the_close_behind_it(self) -> None:
        """The client's next request is there unread when the end follows its last answer."""
        for i in range(TIMES):
            with self.subTest(i):
                door = self.door()
                sock, _ = self.asked(door)
                self.drain.standby(time.monotonic())
                session = self.sessions[-1]
                sock.sendall(b"x\n")
                wait_until(lambda s=session: s.slots == [None], "taken")  # type: ignore[misc]
                session.answer()
                sock.sendall(b"late\n" * 3)
                got = b""
                while more := sock.recv(100):
                    got += more
                self.assertTrue(got.startswith(b"x\n"), got)
                # Read before the end it is served, else not taken; never taken and left without an answer.
                self.assertEqual(got.count(b"late\n"), session.taken.count(b"late"))
                self.drain.active()

    def test_a_client_over_the_cap_reads_its_busy_though_its_request_is_unread(self) -> None:
        for i in range(TIMES):
            with self.subTest(i), mock.patch.object(listening, "MAX_ROOM_WAIT_S", 0.0):
                door = self.door(most=1)
                first = self.client(door, b"x\n")
                wait_until(lambda d=door: len(d.connections) == 1, "the first is in")  # type: ignore[misc]
                sock = self.client(door, b"x\n" * 20)
                got = b""
                while more := sock.recv(100):
                    got += more
                self.assertEqual(got, b"busy\n")
                first.close()

    def test_clients_over_the_cap_linger_within_a_bound(self) -> None:
        with mock.patch.object(listening, "MAX_ROOM_WAIT_S", 0.0):
            door = self.door(most=1)
            self.client(door, b"x\n")
            wait_until(lambda: len(door.connections) == 1, "the first is in")
            for i in range(40):
                self.client(door)  # never reads, never ends
                wait_until(lambda i=i: self.counters["clients.over_sockets"] == i + 1, "told")  # type: ignore[misc]
                self.assertLessEqual(len(door.lingering), 1 + listening.MAX_REJECTED_LINGERING)
            wait_until(lambda: not door.lingering, "and for a bounded time")

    def test_half_a_request_behind_an_owed_one_does_not_cost_the_owed_answer(self) -> None:
        """Closed for its half after the time of a request, it lost the one that had been taken before."""
        door = self.door(patience_s=0.3)
        sock = self.client(door, b"x\nhalf")
        wait_until(lambda: bool(self.sessions) and self.sessions[-1].slots == [None], "taken")
        connection = next(iter(door.connections))
        gevent.sleep(0.8)
        self.assertFalse(connection.closed)
        self.sessions[-1].answer()
        self.assertEqual(sock.recv(100), b"x\n")
        self.assertEqual(sock.recv(100), b"", "then the half one ends it")

    def test_a_request_that_is_arriving_is_not_cut_for_anothers_sake_at_once(self) -> None:
        door = self.door()
        sock, connection = self.asked(door)
        sock.sendall(b"half")
        wait_until(lambda: len(connection.inbox) == 4, "half of it")
        gevent.sleep(listening.MIN_INACTIVE_S + 0.002)
        self.assertFalse(door._make_room())
        sock.sendall(b"\n")
        self.assertEqual(sock.recv(100), b"half\n")

    def test_a_command_larger_than_any_is_told_so_after_what_was_taken_before_it(self) -> None:
        door = self.door()
        sock = self.client(door, b"a\n" + b"z" * (listening.INBOX + 10))
        got = b""
        while more := sock.recv(100):
            got += more
        self.assertEqual(got, b"a\n")
        self.assertEqual(self.counters["errors.connection"], 0)

    # --- a stop

    def test_what_stands_behind_a_full_pipeline_is_answered_before_a_stop_counts_as_done(self) -> None:
        """Its first requests answered, it counted as idle before the rest had been taken out of the ring."""
        for i in range(TIMES):
            with self.subTest(i):
                door = self.door(pipelined=1)
                sock = self.client(door, b"x\nx\nx\n")
                wait_until(lambda: bool(self.sessions) and self.sessions[-1].slots == [None], "taken")
                session = self.sessions[-1]
                door.stop()
                for n in range(3):
                    wait_until(lambda s=session: s.slots == [None], "the next is taken")  # type: ignore[misc]
                    # Gate: the writer has let the answer out, the reader has not run yet.
                    connection = next(iter(door.connections))
                    seen: list[bool] = []
                    with mock.patch.object(
                        connection,
                        "_output_progress",
                        Gate(connection._output_progress, lambda s=seen, d=door: s.append(d.idle())),  # type: ignore[misc]
                    ):
                        session.answer()
                        self.assertEqual(sock.recv(100), b"x\n")
                    self.assertTrue(seen)
                    if n < 2:
                        self.assertNotIn(True, seen)
                self.assertEqual(sock.recv(100), b"")
                sock.close()
                wait_until(lambda d=door: d.idle() and not d.leave(), "done")  # type: ignore[misc]
                self.sessions.clear()

    def test_a_request_that_arrives_as_the_stop_begins_is_served_and_then_comes_the_end(self) -> None:
        for i in range(TIMES):
            with self.subTest(i):
                door = self.door()
                sock, connection = self.asked(door)
                sock.sendall(b"last\n")
                poll = select.poll()
                poll.register(connection._sock._sock.fileno(), select.POLLIN)
                self.assertTrue(poll.poll(1000))
                door.stop()
                self.assertEqual(sock.recv(100), b"last\n")
                self.assertEqual(sock.recv(100), b"")

    def test_a_client_that_has_just_come_at_a_stop_has_time_to_ask(self) -> None:
        door = self.door()
        sock = socket.create_connection(door.address)
        self.addCleanup(sock.close)
        sock.settimeout(PATIENCE_S)
        door.stop()
        gevent.sleep(0.02)
        sock.sendall(b"first\n")
        self.assertEqual(sock.recv(100), b"first\n")
        self.assertEqual(sock.recv(100), b"")
        quiet = self.door()
        sock = socket.create_connection(quiet.address)
        self.addCleanup(sock.close)
        sock.settimeout(0.2)
        quiet.stop()
        self.assertEqual(sock.recv(100), b"", "one that asks nothing is ended before 0.7 s after SIGTERM")

    def test_a_stop_that_runs_out_of_descriptors_lets_in_who_waits(self) -> None:
        door = self.door()
        self.asked(door)
        door._greenlets[0].kill()
        sock = self.client(door, b"x\n")  # stands in the backlog
        with mock.patch.object(door, "_sock", Backlog(door._sock, fails=3)):
            door.stop()
        wait_until(lambda: len(self.sessions) == 2 and self.sessions[-1].slots == [None], "taken")
        self.sessions[-1].answer()
        self.assertEqual(sock.recv(100), b"x\n")

    def test_a_stop_at_which_accept_fails_in_passing_lets_in_who_waits(self) -> None:
        """It closed the listening socket over its backlog: whoever the system had let in was reset."""
        for number in (errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN,
                       errno.EHOSTUNREACH, errno.ENOBUFS, errno.ENFILE):  # fmt: skip
            with self.subTest(errno.errorcode[number]):
                self.sessions.clear()
                door = self.door()
                door._greenlets[0].kill()
                waiting = [self.client(door, b"a\n") for _ in range(3)]  # stand in the backlog
                with mock.patch.object(door, "_sock", Backlog(door._sock, 2, number)):
                    door.stop()
                for sock in waiting:
                    self.assertEqual(sock.recv(100), b"a\n")

    def test_idle_clients_that_fill_the_cap_give_way_to_one_that_asks(self) -> None:
        door = self.door(most=20)
        for _ in range(60):
            self.client(door)
        gevent.sleep(listening.NEW_CONNECTION_GRACE_S)
        began = time.monotonic()
        sock = self.client(door, b"a\n")
        self.assertEqual(sock.recv(100), b"a\n")
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertLessEqual(
            len(door.connections) + len(door.lingering), 20 + listening.MAX_REJECTED_LINGERING
        )


if __name__ == "__main__":
    unittest.main()
