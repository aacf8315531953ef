"""The gate: what it denies, that nothing goes past it, and that what went wrong all the same is counted."""

from __future__ import annotations

import ast
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
from tests.crossing import wait_until
from tests.test_node_crossings import CLASSES, KEYED, SAFE, SERVED, Nodes

ROOT = Path(__file__).parent.parent / "stackrouter"
MS, S = 1_000, 1_000_000
HERE = ("127.0.0.1", 1)
# Who may hold a socket, and why. All else reaches one through these.
SOCKETS = {
    "net/node_socket.py": "attempts at nodes, behind the gate",
    "net/client_socket.py": "clients, behind the gate",
    "net/list_call.py": "calls to discovery",
    "net/admin.py": "the operators' door",
    "net/door.py": "listening sockets",
    "net/listener.py": "accepts, and hands what it accepted to a ClientSocket",
    "net/ring.py": "reads and writes for the modules above",
}
WRITES = {"net/node_socket.py", "net/client_socket.py", "net/list_call.py", "net/admin.py", "net/ring.py"}


def strays(name: str, tree: ast.AST) -> Iterator[str]:
    """Ways past the gate in one module: a socket where none belongs, a write, another object's socket."""
    for node in ast.walk(tree):
        line = getattr(node, "lineno", 0)
        match node:
            case ast.ImportFrom(module="gevent", names=names) if any(n.name == "socket" for n in names):
                what = "" if name in SOCKETS else "imports a socket"
            case ast.ImportFrom(module="socket" | "gevent.socket"):
                what = "" if name in SOCKETS else "imports a socket"
            case ast.Import(names=names) if any(n.name.split(".")[0] == "socket" for n in names):
                what = "" if name in SOCKETS else "imports a socket"
            case ast.Call(func=ast.Attribute(attr="send" | "sendall" | "sendmsg" | "sendto")):
                # Without a socket it is a generator's.
                what = "" if name in WRITES or name.startswith("fronts/") else "writes"
            case ast.Attribute(attr="_sock", value=ast.Name(id="self")):
                what = ""
            case ast.Attribute(attr="_sock"):
                what = "takes another object's socket"
            case _:
                what = ""
        if what:
            yield f"{name}:{line}: {what}"


def platform_modules() -> Iterator[tuple[str, ast.AST]]:
    for part in ("core", "net", "fronts", "membership"):
        for path in sorted((ROOT / part).rglob("*.py")):
            yield str(path.relative_to(ROOT)), ast.parse(path.read_text(encoding="utf-8"))
    yield "__main__.py", ast.parse((ROOT / "__main__.py").read_text(encoding="utf-8"))


class NoOtherWay(unittest.TestCase):
    def test_no_module_writes_to_a_socket_past_the_gate(self) -> None:
        self.assertEqual([stray for name, tree in platform_modules() for stray in strays(name, tree)], [])

    def test_the_search_finds_what_goes_past(self) -> None:
        text = "from gevent import socket\nimport socket\nx.sendall(b'')\nconnection._sock.close()"
        self.assertEqual(len(list(strays("net/pool.py", ast.parse(text)))), 4)

    def test_the_pool_writes_and_the_listener_ends_by_the_gate(self) -> None:
        for name, call in (("net/node_socket.py", "may_write"), ("net/listener.py", "may_close")):
            self.assertIn(f".{call}(", (ROOT / name).read_text(encoding="utf-8"))


def request(deadline_us: int = 10 * S, repeat_us: int | None = None) -> Request:
    command = Command(b"BLK.READ", b"0" * 16, b"r", (("d", "1"),), ())
    return Request(0, 0, "v", 1.0, 0, 1, "k", deadline_us, command.exchange, lambda _: None, "platform",
                   trace_id="abc", repeat_us=repeat_us)  # fmt: skip


def attempt(asked: Request, state: NodeState = NodeState.READY, sent_us: int = 0) -> Attempt:
    made = Attempt(asked, asked.attempts, Node("n", HERE, 0, state), sent_us, asked.deadline_us)
    asked.out[asked.attempts] = made
    asked.attempts += 1
    return made


class Decisions(unittest.TestCase):
    gate = Gate()

    def denial(self, tried: Attempt, now: int = S, begun: bool = False) -> Denial | None:
        return self.gate.may_write(tried, HERE, begun, False, now)

    def test_a_first_byte(self) -> None:
        self.assertIsNone(self.denial(attempt(request())))
        for state in (NodeState.DRAINING, NodeState.GONE):
            self.assertIs(self.denial(attempt(request(), state)), Denial.NODE_NOT_READY)
        self.assertIs(self.denial(attempt(request()), now=10 * S), Denial.DEADLINE_PASSED)
        gone = attempt(request())
        gone.request.answered = True
        self.assertIs(self.denial(gone), Denial.CLIENT_GONE)
        self.assertIs(self.gate.may_write(attempt(request()), HERE, False, True, S), Denial.CLIENT_GONE)
        self.assertIs(self.gate.may_write(attempt(request()), HERE, True, True, S), Denial.CLIENT_GONE)
        over = attempt(request())
        over.live = False
        self.assertIs(self.denial(over), Denial.ATTEMPT_OVER)
        moved = attempt(request())
        moved.node.address = ("127.0.0.1", 2)
        self.assertIs(self.denial(moved), Denial.NODE_MOVED)

    def test_a_later_byte_goes_on_at_a_node_that_drains_but_not_for_a_client_that_has_gone(self) -> None:
        tried = attempt(request())
        tried.node.told(NodeState.DRAINING, S)
        self.assertIsNone(self.denial(tried, begun=True))
        tried.request.answered = True
        self.assertIs(self.denial(tried, begun=True), Denial.CLIENT_GONE)

    @given(st.integers(0, 5 * S), st.integers(0, 5 * S), st.booleans())
    def test_a_repeat_goes_within_the_window_of_the_first_that_may_have_run(
        self, window: int, now: int, ended: bool
    ) -> None:
        asked = request(repeat_us=window)
        first = attempt(asked)
        self.assertIsNone(self.gate.may_repeat(asked, now), "nothing has run")
        if ended:
            asked.ran_us = first.sent_us
            del asked.out[0]
        else:
            first.may_have_run = True
        self.assertEqual(self.gate.may_repeat(asked, now) is None, now < window)
        self.assertEqual(self.denial(attempt(asked), now) is None, now < window)

    @given(st.integers(0, 5 * S), st.integers(0, 10 * S), st.integers(0, 10 * S))
    def test_what_is_taken_after_the_stop_is_answered_before_the_kill(
        self, stop: int, longest: int, left: int
    ) -> None:
        gate = Gate()
        self.assertIsNone(gate.may_take(stop + left + 1, stop))
        gate.stop(stop, longest)
        kill = stop + min(longest, 3 * S) + 700 * MS
        self.assertLessEqual(gate.answer_by_us(stop + left), kill - 150 * MS)
        self.assertIs(gate.may_take(kill + S, kill - 150 * MS), Denial.STOPPING)

    @given(st.integers(-S, 20 * S))
    def test_a_node_is_told_no_more_than_is_left(self, now: int) -> None:
        asked = request()
        tried = attempt(asked)
        told = self.gate.wait_told_us(replace(tried, deadline_us=tried.deadline_us + S), now)
        self.assertLessEqual(told, max(0, asked.deadline_us - now))

    def test_a_client_is_closed_over_nothing_owed_or_unread(self) -> None:
        for owed in (False, True):
            for unread in (False, True):
                for young in (False, True):
                    client = ClientState(owed, unread, young)
                    self.assertEqual(self.gate.may_close(client) is None, not (owed or unread or young))
                    self.assertEqual(self.gate.may_break(client) is None, not owed)


class Violations(unittest.TestCase):
    """Each rule is broken on purpose, and seen to be counted and logged with the request's id."""

    def setUp(self) -> None:
        self.counters = Counters()
        self.found = ViolationLog(self.counters, 250 * MS)

    def counted(self, rule: str) -> int:
        return self.counters[f"violations.{rule}"]

    def test_a_first_byte_past_the_grace(self) -> None:
        tried = attempt(request())
        tried.node.told(NodeState.DRAINING, S)
        self.found.first_byte(tried, S + 300 * MS)
        self.assertEqual(self.counted("drain"), 0)
        with self.assertLogs("stackrouter.core.violations") as logs:
            self.found.first_byte(tried, S + 301 * MS)
        self.assertEqual(self.counted("drain"), 1)
        self.assertIn("SR-RULE-BROKEN", logs.output[0])
        self.assertIn("request abc: n DRAINING, known for 301 ms", logs.output[0])

    def test_a_request_that_is_begun_for_a_client_that_has_gone(self) -> None:
        asked = request()
        tried = attempt(asked)
        asked.gone_us = S
        self.found.written(tried, 0, S + 100 * MS)
        self.assertEqual(self.counted("lost"), 0)
        self.found.written(tried, 0, S + 101 * MS)
        self.assertEqual(self.counted("lost"), 1)

    def test_a_node_that_is_told_more_than_is_left(self) -> None:
        tried = attempt(request())
        self.found.written(tried, S + 150 * MS, 9 * S)
        self.assertEqual(self.counted("deadline"), 0)
        self.found.written(tried, S + 151 * MS, 9 * S)
        self.assertEqual(self.counted("deadline"), 1)

    def test_a_repeat_past_the_window(self) -> None:
        asked = request(repeat_us=S)
        asked.ran_us = 0
        tried = attempt(asked)
        self.found.written(tried, 0, S + 50 * MS)
        self.assertEqual(self.counted("duplicate"), 0)
        self.found.written(tried, 0, S + 51 * MS)
        self.assertEqual(self.counted("duplicate"), 1)

    def test_an_answer_past_its_time(self) -> None:
        self.found.answered(request(), 10 * S + 500 * MS)
        self.assertEqual(self.counted("lost"), 0)
        self.found.answered(request(), 10 * S + 501 * MS)
        self.assertEqual(self.counted("lost"), 1)


class Planted(Nodes):
    """With a gate that denies nothing, the program breaks rules: the check after the fact counts them."""

    def blind(self) -> None:
        self.enterContext(mock.patch.object(Gate, "may_write", lambda *_: None))
        self.enterContext(mock.patch.object(Gate, "may_open", lambda *_: None))

    def test_a_drain_and_a_client_that_has_gone_are_counted_without_the_gate(self) -> None:
        engine = self.start()
        engine.violations = self.pool.violations = ViolationLog(engine.counters, -50 * MS)
        with mock.patch.object(Gate, "may_repeat", lambda *_: None):
            self.blind()
            self.held_at_gate(engine, SAFE)
            self.told(engine, "n", NodeState.DRAINING)
            gevent.sleep(0.01)
            self.let_go(engine)
            wait_until(lambda: engine.counters["violations.drain"] == 1, "counted")

    def test_a_key_that_may_be_forgotten_is_counted_without_the_gate(self) -> None:
        engine = self.start()
        self.pool.violations = engine.violations
        self.blind()
        self.replies = [b"", SERVED]
        self.at_gate.clear()
        _, results = self.ask(engine, KEYED)
        self.assertTrue(self.at_gate.wait(5))
        self.at_gate.clear()
        self.gate.clear()
        self.assertTrue(self.at_gate.wait(5), "the repeat connects")
        gevent.sleep(CLASSES[KEYED].key_ttl_us / 1e6 + 0.1)
        self.let_go(engine)
        wait_until(lambda: bool(results), "answered")
        self.assertEqual(engine.counters["violations.duplicate"], 1)


del Nodes  # its own tests run in their own module

if __name__ == "__main__":
    unittest.main()
