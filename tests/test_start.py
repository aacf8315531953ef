"""Signals at each step of a start, and exhausted descriptors while discovery is down."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.exchange import PATIENCE_S, ROOT, SETTINGS, Player, free_address

REQUEST_START, REQUEST_END = (
    "BLK.READ 0000000000000001 2 c=match-read,t=priority,d=",
    ",volume=00000000000000f1,units=2,shard=1,hosts=1",
)

# A program that sends itself the given signals just before or just after the given step of its start.
SELF_SIGNALLING_PROGRAM = """
import os, signal, sys
import stackrouter.__main__ as program
step, when, names = sys.argv[1:4]
def send_signals():
    for name in names.split("+"):
        os.kill(os.getpid(), getattr(signal, name))
real = getattr(program, step)
def wrapped(*args, **kwargs):
    if when == "before":
        send_signals()
    done = real(*args, **kwargs)
    if when == "after":
        if "SIGHUP" in names:  # the file has changed by now
            path = os.environ["GW_CONFIG"]
            text = open(path).read().replace(os.environ["OLD"], os.environ["NEW"])
            open(path, "w").write(text)
        send_signals()
    return done
setattr(program, step, wrapped)
sys.exit(program.main())
"""


class Start(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "config.json"
        self.listen, self.old, self.new = free_address(), free_address(), free_address()
        self.path.write_text(json.dumps({
            "listen": self.listen, "discovery": self.old, "seed": "7", "settings": SETTINGS,
            "limits": {"memory_mb": 192, "sockets": 1024},
        }))  # fmt: skip
        self.environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        self.environ |= {"GW_CONFIG": str(self.path), "OLD": self.old, "NEW": self.new}

    def start(self, *words: str) -> subprocess.Popen[str]:
        program = subprocess.Popen(
            [sys.executable, *words], cwd=ROOT, env=self.environ, stderr=subprocess.PIPE, text=True
        )
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        return program

    def wait_for_pong(self) -> None:
        host, port = self.listen.split(":")
        until = time.monotonic() + PATIENCE_S
        while True:
            try:
                with socket.create_connection((host, int(port)), 1.0) as sock:
                    sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                    self.assertEqual(sock.recv(100), b"+PONG\r\n")
                    return
            except OSError:
                self.assertLess(time.monotonic(), until, "never ready")
                time.sleep(0.01)

    def test_a_stop_signal_during_the_start_is_handled_after_it(self) -> None:
        """Guards against the signal killing the process, and with it the client connections made so far."""
        for step, when in (("load", "before"), ("load", "after"), ("Gateway", "after")):
            for names in ("SIGTERM", "SIGTERM+SIGTERM", "SIGHUP+SIGTERM", "SIGINT"):
                with self.subTest(step=step, when=when, names=names):
                    program = self.start("-c", SELF_SIGNALLING_PROGRAM, step, when, names)
                    _, stderr = program.communicate(timeout=PATIENCE_S)
                    self.assertEqual(program.returncode, 0, stderr)
                    self.assertIn("listening on", stderr)
                    self.assertNotIn("Traceback", stderr)

    def test_a_file_that_changes_during_the_start_is_reloaded(self) -> None:
        """Guards against a lost SIGHUP: it was ignored until the event loop ran, and the gateway kept calling
        discovery at the old address."""
        for step in ("load", "Gateway"):
            with self.subTest(step):
                program = self.start("-c", SELF_SIGNALLING_PROGRAM, step, "after", "SIGHUP")
                self.wait_for_pong()
                program.send_signal(signal.SIGTERM)
                _, stderr = program.communicate(timeout=PATIENCE_S)
                self.assertEqual(program.returncode, 0, stderr)
                self.assertIn(f"configuration reloaded: discovery at {self.new}", stderr)
                self.path.write_text(self.path.read_text().replace(self.new, self.old))

    def test_combined_and_repeated_signals_while_serving(self) -> None:
        for numbers in ((signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)):
            program = self.start("-m", "stackrouter")
            self.wait_for_pong()
            for number in numbers:
                program.send_signal(number)
            _, stderr = program.communicate(timeout=PATIENCE_S)
            self.assertEqual(program.returncode, 0, stderr)
            self.assertNotIn("Traceback", stderr)

    def test_sighup_before_the_interpreter_runs_is_harmless(self) -> None:
        """Started as `run` does it: SIGHUP is ignored until the program handles signals, and the file is read
        after that."""
        program = subprocess.Popen(
            ["sh", "-c", f"trap '' HUP; exec {sys.executable} -m stackrouter"],
            cwd=ROOT, env=self.environ, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        time.sleep(0.02)
        for _ in range(20):
            program.send_signal(signal.SIGHUP)
            time.sleep(0.005)
        self.wait_for_pong()
        program.send_signal(signal.SIGTERM)
        _, stderr = program.communicate(timeout=PATIENCE_S)
        self.assertEqual(program.returncode, 0, stderr)


class DescriptorExhaustion(unittest.TestCase):
    def test_idle_clients_on_all_descriptors_block_neither_discovery_nor_nodes(self) -> None:
        """Guards against idle clients that leave no descriptors for discovery and nodes: as soon as discovery
        is back, its list is read and a request is served."""
        with tempfile.TemporaryDirectory() as folder:
            script = Path(folder) / "script.txt"
            script.write_text("# sockets=64 discovery=silent\n")
            with Player(script) as p:
                resource.prlimit(p.program.pid, resource.RLIMIT_NOFILE, (64, 64))
                host, port = p.listen.split(":")
                idle = [socket.create_connection((host, int(port))) for _ in range(150)]
                time.sleep(1.0)  # about 5 calls to discovery while all descriptors are in use
                p.discovery.silent = False
                back = time.monotonic()
                with p.discovery.news:
                    self.assertTrue(p.discovery.news.wait_for(lambda: p.discovery.heard == 1, PATIENCE_S))
                self.assertLess(time.monotonic() - back, 1.0)
                p.act("a", ">", f"resp {REQUEST_START}1900{REQUEST_END}")
                p.act("s1", "<", f"resp {REQUEST_START}~~~{REQUEST_END}")
                p.act("s1", ">", r'"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n"')
                p.act("a", "<", r'"$2\r\nhi\r\n"')
                for sock in idle:
                    sock.close()
                self.assertNotIn("Traceback", "".join(p.log))


if __name__ == "__main__":
    unittest.main()
