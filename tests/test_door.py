"""The admin port with many callers, and a drain while another process shares the listening socket."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from stackrouter.ops.admin_queue import CallerQueue
from tests.exchange import PATIENCE_S, ROOT, SETTINGS, Discovery, Player, free_address

Steps = st.lists(st.tuples(st.floats(0.0, 0.1), st.booleans()), max_size=60)


class CrowdTest(unittest.TestCase):
    @given(Steps)
    def test_longest_silent_caller_is_evicted_but_not_before_its_time(
        self, steps: list[tuple[float, bool]]
    ) -> None:
        queue: CallerQueue[int] = CallerQueue(4, 0.04)
        now, since = 0.0, dict[int, float]()
        for caller, (pause, leaves) in enumerate(steps):
            now += pause
            if leaves and since:
                queue.leave(first := min(since))
                del since[first]
            now += queue.wait_s(now)
            if (evicted := queue.evictable(now)) is not None:
                self.assertEqual(since[evicted], min(since.values()))
                self.assertGreaterEqual(now - since.pop(evicted) + 1e-9, 0.04)
                queue.leave(evicted)
            queue.enter(caller, now)
            since[caller] = now
            self.assertLessEqual(len(queue), 4)


def connect(address: str, line: bytes) -> socket.socket:
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), PATIENCE_S)
    sock.sendall(line)
    return sock


class AdminPortTest(unittest.TestCase):
    def test_200_callers_are_answered_within_1_s_beside_silent_and_incomplete_calls(self) -> None:
        with Player(ROOT / "tests/exchanges/platform/served.txt") as player:
            silent = [connect(player.door, b"") for _ in range(40)] + [connect(player.door, b"stat")]
            began = time.monotonic()
            callers = [connect(player.door, b"status\n") for _ in range(200)]
            answers = [c.makefile("rb").readline() for c in callers]
            took = time.monotonic() - began
            bad = [c.makefile("rb").readline() for c in silent]
            for sock in callers + silent:
                sock.close()
        self.assertEqual(set(answers), {b"SUCCESS serving\n"})
        self.assertLess(took, 1.0)
        self.assertEqual(set(bad), {b"FAILURE SR-DOOR-CALL: bad call\n"})


class OverlapTest(unittest.TestCase):
    def test_standby_drains_only_one_of_two_processes_that_share_a_socket(self) -> None:
        held = socket.create_server(("127.0.0.1", 0))
        discovery = Discovery([], silent=False)
        folder = tempfile.TemporaryDirectory()
        for cleanup in (held.close, discovery.server_close, discovery.shutdown, folder.cleanup):
            self.addCleanup(cleanup)
        config = {"listen": "127.0.0.1:1", "discovery": "{}:{}".format(*discovery.server_address),
                  "known": {"index": 1, "snapshot": True, "endpoints": []}, "settings": SETTINGS}  # fmt: skip
        path = Path(folder.name, "config.json")
        path.write_text(json.dumps(config))
        admin_addresses = [free_address(), free_address()]
        processes = [self.start(path, held, admin_address) for admin_address in admin_addresses]
        self.assertEqual(self.call_admin(admin_addresses[0], b"standby\n")[:7], b"SUCCESS")
        answers = {self.ping(held) for _ in range(60)}
        self.assertLessEqual(answers, {b"+PONG\r\n", b"-ERR draining\r\n"})
        self.assertEqual(self.call_admin(admin_addresses[1], b"status\n"), b"SUCCESS serving\n")
        # The old process ends while it drains: the new one serves every connection from then on.
        processes[0].send_signal(signal.SIGTERM)
        self.assertEqual(processes[0].wait(PATIENCE_S), 0)
        self.assertEqual({self.ping(held) for _ in range(20)}, {b"+PONG\r\n"})

    def start(self, path: Path, held: socket.socket, admin_address: str) -> subprocess.Popen[str]:
        environ = {"GW_CONFIG": str(path), "GW_LISTEN_FD": str(held.fileno()), "GW_ADMIN": admin_address}
        program = subprocess.Popen([sys.executable, "-m", "stackrouter"], cwd=ROOT, env=environ, text=True,
                                   stderr=subprocess.PIPE, pass_fds=(held.fileno(),))  # fmt: skip
        assert program.stderr is not None
        for cleanup in (program.stderr.close, program.wait, program.kill):
            self.addCleanup(cleanup)
        self.assertIn("listening", program.stderr.readline())
        return program

    def call_admin(self, admin_address: str, line: bytes) -> bytes:
        with connect(admin_address, line) as sock:
            return sock.makefile("rb").readline()

    def ping(self, held: socket.socket) -> bytes:
        with socket.create_connection(held.getsockname(), PATIENCE_S) as client:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            return client.recv(64)
