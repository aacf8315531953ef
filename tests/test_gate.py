"""The send gate: what it denies, that no module bypasses it, and that violations are counted all the same."""

from __future__ import annotations

import ast
import itertools
import unittest
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from unittest import mock

import gevent
from hypothesis import given
from hypothesis import strategies as st

from rackseam.interface import NodeState
from stackrouter.core.counters import Counters
from stackrouter.core.gate import ClientState, Denial, Gate
from stackrouter.core.model import Attempt, Node, Request
from stackrouter.core.violations import ViolationLog
from stackrouter.fronts.platform.node import Command
from tests.races import wait_until
from tests.test_node_crossings import CLASSES, KEYED, SAFE, SERVED, Nodes

ROOT = Path(__file__).parent.parent / "stackrouter"
MS, S = 1_000, 1_000_000
ADDRESS = ("127.0.0.1", 1)
# Modules that may use sockets, with the reason. All others do I/O through these.
SOCKETS = {
    "net/node_socket.py": "attempts at nodes, behind the gate",
    "net/client_socket.py": "clients, behind the gate",
    "net/list_call.py": "calls to discovery",
    "net/admin.py": "the admin port",
    "net/listen_socket.py": "listening sockets",
    "net/listener.py": "accepts, and passes accepted sockets to a ClientSocket",
    "net/ring.py": "reads and writes for the modules above",
}
WRITES = {"net/node_socket.py", "net/client_socket.py", "net/list_call.py", "net/admin.py", "net/ring.py"}


def bypasses(name: str, tree: ast.AST) -> Iterator[str]:
    """Code of a module that bypasses the gate: an import of sockets outside SOCKETS, a write outside WRITES,
    or the use of another object's socket."""
    for node in ast.walk(tree):
        line = getattr(node, "lineno", 0)
        match node:
            case ast.ImportFrom(module="gevent", names=names) if any(n.name == "socket" for n in names):
                finding = "" if name in SOCKETS else "imports a socket"
            case ast.ImportFrom(module="socket" | "gevent.socket"):
                finding = "" if name in SOCKETS else "imports a socket"
            case ast.Import(names=names) if any(n.name.split(".")[0] == "socket" for n in names):
                finding = "" if name in SOCKETS else "imports a socket"
            case ast.Call(func=ast.Attribute(attr="send" | "sendall" | "sendmsg" | "sendto")):
                # In the fronts, which have no socket, `send` is a method of a generator.
                finding = "" if name in WRITES or name.startswith("fronts/") else "writes"
            case ast.Attribute(attr="_sock", value=ast.Name(id="self")):
                finding = ""
            case ast.Attribute(attr="_sock"):
                finding = "takes another object's socket"
            case _:
                finding = ""
        if finding:
            yield f"{name}:{line}: {finding}"


def checked_modules() -> Iterator[tuple[str, ast.AST]]:
    for part in ("core", "net", "fronts", "membership"):
        for path in sorted((ROOT / part).rglob("*.py")):
            yield str(path.relative_to(ROOT)), ast.parse(path.read_text(encoding="utf-8"))
    yield "__main__.py", ast.parse((ROOT / "__main__.py").read_text(encoding="utf-8"))


class GateIsNotBypassed(unittest.TestCase):
    def test_no_module_bypasses_the_gate(self) -> None:
        self.assertEqual([bypass for name, tree in checked_modules() for bypass in bypasses(name, tree)], [])

    def test_the_search_finds_each_kind_of_bypass(self) -> None:
        text = "from gevent import socket\nimport socket\nx.sendall(b'')\nconnection._sock.close()"
        self.assertEqual(len(list(bypasses("net/pool.py", ast.parse(text)))), 4)

    def test_node_socket_and_client_connection_ask_the_gate(self) -> None:
        for name, method in (("net/node_socket.py", "may_write"), ("net/client_connection.py", "may_close")):
            self.assertIn(f".{method}(", (ROOT / name).read_text(encoding="utf-8"))


def make_request(deadline_us: int = 10 * S, repeat_window_us: int | None = None) -> Request:
    command = Command(b"BLK.READ", b"0" * 16, b"r", (("d", "1"),), ())
    return Request(0, 0, "v", 1.0, 0, 1, "k", deadline_us, command.exchange, lambda _: None, "platform",
                   trace_id="abc", repeat_window_us=repeat_window_us)  # fmt: skip


def make_attempt(request: Request, state: NodeState = NodeState.READY, sent_us: int = 0) -> Attempt:
    made = Attempt(request, request.attempts, Node("n", ADDRESS, 0, state), sent_us, request.deadline_us)
    request.in_flight[request.attempts] = made
    request.attempts += 1
    return made


class Decisions(unittest.TestCase):
    """The rules of the gate, without sockets."""

    gate = Gate()

    def denial(self, attempt: Attempt, now: int = S, begun: bool = False) -> Denial | None:
        return self.gate.may_write(attempt, ADDRESS, begun, False, now)

    def test_first_byte_is_denied_for_each_reason(self) -> None:
        self.assertIsNone(self.denial(make_attempt(make_request())))
        for state in (NodeState.DRAINING, NodeState.GONE):
            self.assertIs(self.denial(make_attempt(make_request(), state)), Denial.NODE_NOT_READY)
        self.assertIs(self.denial(make_attempt(make_request()), now=10 * S), Denial.DEADLINE_PASSED)
        gone = make_attempt(make_request())
        gone.request.answered = True
        self.assertIs(self.denial(gone), Denial.CLIENT_GONE)
        self.assertIs(
            self.gate.may_write(make_attempt(make_request()), ADDRESS, False, True, S), Denial.CLIENT_GONE
        )
        self.assertIs(
            self.gate.may_write(make_attempt(make_request()), ADDRESS, True, True, S), Denial.CLIENT_GONE
        )
        over = make_attempt(make_request())
        over.live = False
        self.assertIs(self.denial(over), Denial.ATTEMPT_OVER)
        moved = make_attempt(make_request())
        moved.node.address = ("127.0.0.1", 2)
        self.assertIs(self.denial(moved), Denial.NODE_MOVED)

    def test_later_bytes_are_allowed_to_a_draining_node_but_not_for_a_disconnected_client(self) -> None:
        attempt = make_attempt(make_request())
        attempt.node.update_state(NodeState.DRAINING, S)
        self.assertIsNone(self.denial(attempt, begun=True))
        attempt.request.answered = True
        self.assertIs(self.denial(attempt, begun=True), Denial.CLIENT_GONE)

    @given(st.integers(0, 5 * S), st.integers(0, 5 * S), st.booleans())
    def test_a_repeat_is_allowed_only_within_the_window_after_the_first_attempt_that_may_have_run(
        self, window: int, now: int, ended: bool
    ) -> None:
        request = make_request(repeat_window_us=window)
        first = make_attempt(request)
        self.assertIsNone(self.gate.may_repeat(request, now), "nothing has run")
        if ended:
            request.first_run_us = first.sent_us
            del request.in_flight[0]
        else:
            first.may_have_run = True
        self.assertEqual(self.gate.may_repeat(request, now) is None, now < window)
        self.assertEqual(self.denial(make_attempt(request), now) is None, now < window)

    @given(st.integers(0, 5 * S), st.integers(0, 10 * S), st.integers(0, 10 * S))
    def test_requests_taken_after_the_stop_are_due_before_the_kill(
        self, stop: int, longest: int, left: int
    ) -> None:
        gate = Gate()
        self.assertIsNone(gate.may_take(stop + left + 1, stop))
        gate.stop(stop, longest)
        kill = stop + min(longest, 3 * S) + 700 * MS
        self.assertLessEqual(gate.answer_by_us(stop + left), kill - 150 * MS)
        self.assertIs(gate.may_take(kill + S, kill - 150 * MS), Denial.STOPPING)

    @given(st.integers(0, 5 * S), st.integers(0, 10 * S), st.integers(0, 20 * S))
    def test_the_exit_comes_after_the_last_answer_is_due_and_before_the_kill(
        self, stop: int, longest: int, now: int
    ) -> None:
        """Guards against an exit while requests are still taken, which lost the last ones."""
        gate = Gate()
        self.assertFalse(gate.takes_no_more(now) or gate.must_exit(now))
        gate.stop(stop, longest)
        kill = stop + min(longest, 3 * S) + 700 * MS
        self.assertEqual(gate.takes_no_more(now), now >= gate.answer_by_us(kill))
        self.assertEqual(gate.takes_no_more(now), gate.may_take(kill, now) is Denial.STOPPING)
        self.assertTrue(gate.takes_no_more(now) or not gate.must_exit(now))
        self.assertTrue(gate.must_exit(kill - 1))

    @given(st.integers(-S, 20 * S))
    def test_the_wait_stated_to_a_node_never_exceeds_the_time_left(self, now: int) -> None:
        request = make_request()
        attempt = make_attempt(request)
        stated_us = self.gate.stated_wait_us(replace(attempt, deadline_us=attempt.deadline_us + S), now)
        self.assertLessEqual(stated_us, max(0, request.deadline_us - now))

    def test_a_client_with_an_owed_answer_or_unread_bytes_is_not_closed(self) -> None:
        for owed in (False, True):
            for unread in (False, True):
                for young, unsent in itertools.product((False, True), repeat=2):
                    client = ClientState(owed, unread, young, unsent)
                    may_close = not (owed or unread or young or unsent)
                    self.assertEqual(self.gate.may_close(client) is None, may_close)
                    self.assertEqual(self.gate.may_break(client) is None, not owed)


class Violations(unittest.TestCase):
    """Breaks each rule on purpose: the violation must be counted, and logged with the request's id."""

    def setUp(self) -> None:
        self.counters = Counters()
        self.found = ViolationLog(self.counters, 250 * MS)

    def counted(self, rule: str) -> int:
        return self.counters[f"violations.{rule}"]

    def test_a_first_byte_after_the_drain_grace(self) -> None:
        attempt = make_attempt(make_request())
        attempt.node.update_state(NodeState.DRAINING, S)
        self.found.first_byte(attempt, S + 300 * MS)
        self.assertEqual(self.counted("drain"), 0)
        with self.assertLogs("stackrouter.core.violations") as logs:
            self.found.first_byte(attempt, S + 301 * MS)
        self.assertEqual(self.counted("drain"), 1)
        self.assertIn("SR-RULE-BROKEN", logs.output[0])
        self.assertIn("request abc: n DRAINING, known for 301 ms", logs.output[0])

    def test_a_request_started_for_a_disconnected_client(self) -> None:
        request = make_request()
        attempt = make_attempt(request)
        request.client_gone_us = S
        self.found.written(attempt, 0, S + 100 * MS)
        self.assertEqual(self.counted("lost"), 0)
        self.found.written(attempt, 0, S + 101 * MS)
        self.assertEqual(self.counted("lost"), 1)

    def test_a_stated_wait_longer_than_the_time_left(self) -> None:
        attempt = make_attempt(make_request())
        self.found.written(attempt, S + 150 * MS, 9 * S)
        self.assertEqual(self.counted("deadline"), 0)
        self.found.written(attempt, S + 151 * MS, 9 * S)
        self.assertEqual(self.counted("deadline"), 1)

    def test_a_repeat_after_the_window(self) -> None:
        request = make_request(repeat_window_us=S)
        request.first_run_us = 0
        attempt = make_attempt(request)
        self.found.written(attempt, 0, S + 50 * MS)
        self.assertEqual(self.counted("duplicate"), 0)
        self.found.written(attempt, 0, S + 51 * MS)
        self.assertEqual(self.counted("duplicate"), 1)

    def test_an_answer_after_its_deadline(self) -> None:
        self.found.answered(make_request(), 10 * S + 500 * MS)
        self.assertEqual(self.counted("lost"), 0)
        self.found.answered(make_request(), 10 * S + 501 * MS)
        self.assertEqual(self.counted("lost"), 1)


class GateDisabled(Nodes):
    """With a gate that allows everything the gateway breaks rules, and ViolationLog must count them."""

    def disable_gate(self) -> None:
        self.enterContext(mock.patch.object(Gate, "may_write", lambda *_: None))
        self.enterContext(mock.patch.object(Gate, "may_open", lambda *_: None))

    def test_a_send_to_a_draining_node_is_counted(self) -> None:
        engine = self.start()
        engine.violations = self.pool.violations = ViolationLog(engine.counters, -50 * MS)
        with mock.patch.object(Gate, "may_repeat", lambda *_: None):
            self.disable_gate()
            self.start_held_request(engine, SAFE)
            self.apply_state(engine, "n", NodeState.DRAINING)
            gevent.sleep(0.01)
            self.release(engine)
            wait_until(lambda: engine.counters["violations.drain"] == 1, "counted")

    def test_a_repeat_after_its_key_expired_is_counted(self) -> None:
        engine = self.start()
        self.pool.violations = engine.violations
        self.disable_gate()
        self.replies = [b"", SERVED]
        self.at_gate.clear()
        _, results = self.ask(engine, KEYED)
        self.assertTrue(self.at_gate.wait(5))
        self.at_gate.clear()
        self.connect_gate.clear()
        self.assertTrue(self.at_gate.wait(5), "the repeat connects")
        gevent.sleep(CLASSES[KEYED].key_ttl_us / 1e6 + 0.1)
        self.release(engine)
        wait_until(lambda: bool(results), "answered")
        self.assertEqual(engine.counters["violations.duplicate"], 1)


del Nodes  # keeps pytest from running its tests a second time in this module

if __name__ == "__main__":
    unittest.main()
