"""The commands `build` and `run` of the deploy file meet the rules of the mass bench, and the code that runs
on the platform makes no call that the bench refuses.

The rules: `run` ends with `exec` in one process, linked dynamically against the C library; fork, other
programs, io_uring, splice, sendfile and sockets other than TCP or UDP over IPv4 are refused, and a thread
that neither waits nor ends for 20 s counts as a crash. The platform doesn't use the operator's file, whose
features may fork once (`edge.load.load_in_child_process`) and start threads (the trace writer), so these
tests run without it.
"""

from __future__ import annotations

import shlex
import subprocess
import sys
import tomllib
import unittest

from tests.exchange import ROOT, Player

# What happens on the platform: serving, pipelining, loss of a node, reload, refusal by a limit, stop.
SCRIPTS = ("served", "pipelined", "lost_node", "reload", "limit", "client_gone", "stop")
SHELL_OPERATORS = (";", "&&", "||", "|", "&")


class DeployFile(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

    def test_run_is_a_single_exec_of_the_gateway(self) -> None:
        # A SIGHUP before the interpreter runs would kill the process; the file is read after that.
        first, _, run = self.deploy["run"].partition("; ")
        self.assertEqual(first, "trap '' HUP")
        words = shlex.split(run)
        self.assertEqual(words[0], "exec", "run must end with exec of the program")
        self.assertFalse(
            set(words) & set(SHELL_OPERATORS), "no other command may run after or beside the exec"
        )
        self.assertEqual(
            words[2:], ["-m", "stackrouter"], "the entry point that does not import the command line"
        )
        self.assertEqual(words[1], ".venv/bin/python", "the interpreter that build installs")

    def test_build_installs_the_interpreter_that_run_starts(self) -> None:
        build = self.deploy["build"]
        self.assertIn("python3 -m venv .venv", build)
        self.assertIn("pip -q install -r requirements.txt", build, "pinned requirements without extras")


class RefusedCalls(unittest.TestCase):
    def test_platform_scripts_make_no_refused_call(self) -> None:
        for name in SCRIPTS:
            script = ROOT / "tests" / "exchanges" / "platform" / f"{name}.txt"
            with self.subTest(name), Player(script, watched=True) as p:
                p.play()
                refused = [line for line in p.log if line.startswith("REFUSED")]
                self.assertEqual(refused, [], f"{name}: the bench would refuse these calls")

    def test_the_watcher_reports_refused_calls(self) -> None:
        # If the watcher reported nothing, the test above could not fail.
        code = "import tests.refused as r; r.watch(); import os, socket, threading"
        code += "; socket.socket(socket.AF_UNIX); threading.Thread(target=int).start(); os.system('true')"
        command = [sys.executable, "-c", code]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
        events = [line.split()[1] for line in done.stderr.splitlines() if line.startswith("REFUSED")]
        self.assertEqual(events, ["socket.__new__", "thread", "os.system"])


class Upgrade(unittest.TestCase):
    def test_a_start_uses_the_inherited_listening_socket(self) -> None:
        # Guards against a start that binds the address again: at an upgrade the platform keeps the listening
        # socket (GW_LISTEN_FD) and the old process uses it, so binding failed with 'Address already in use'.
        import json
        import os
        import socket
        import tempfile

        from tests.exchange import SETTINGS, Discovery, free_address

        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        discovery = Discovery([], silent=False)
        self.addCleanup(discovery.server_close)
        self.addCleanup(discovery.shutdown)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        config = {
            "listen": "{}:{}".format(*held.getsockname()),
            "discovery": "{}:{}".format(*discovery.server_address),
            "known": {"index": 1, "snapshot": True, "endpoints": []},
            "settings": SETTINGS,
        }
        path = os.path.join(folder.name, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        # The platform passes descriptor 3; the program accepts any inherited number.
        admin = free_address()
        environ |= {"GW_CONFIG": path, "GW_LISTEN_FD": str(held.fileno()), "GW_ADMIN": admin}
        program = subprocess.Popen(
            [sys.executable, "-m", "stackrouter"], cwd=ROOT, env=environ, stderr=subprocess.PIPE, text=True,
            pass_fds=(held.fileno(),),
        )  # fmt: skip
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        assert program.stderr is not None
        self.addCleanup(program.stderr.close)
        line = program.stderr.readline()
        self.assertIn("listening", line)
        with socket.create_connection(held.getsockname(), timeout=10) as client:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            self.assertEqual(client.recv(64), b"+PONG\r\n")
        # The new process answers on the admin port, also while another caller there is silent.
        host, port = admin.split(":")
        silent = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(silent.close)
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            caller.sendall(b"status\n")
            caller.settimeout(1.0)
            self.assertTrue(caller.recv(64).startswith(b"SUCCESS"))


class AdminLines(unittest.TestCase):
    def test_a_call_is_one_line_or_the_text_before_the_close(self) -> None:
        from gevent import socket as gsocket

        from stackrouter.net.admin import MAX_CALL_BYTES, _read_line

        cases = [(b"status\n", False, "status"), (b"status", True, "status"), (b"sta", False, None),
                 (b"x" * (MAX_CALL_BYTES + 1) + b"\n", False, None),
                 (b"st\xffus\n", False, None)]  # fmt: skip
        for sent, close, word in cases:
            ours, theirs = gsocket.socketpair()
            with ours, theirs:
                theirs.sendall(sent)
                if close:
                    theirs.shutdown(gsocket.SHUT_WR)
                self.assertEqual(_read_line(ours), word, sent[:12])
