"""New configurations by SIGHUP, on the real program: by which rules writes are sent again."""

from __future__ import annotations

import copy
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import gevent

from stackrouter.ops.retune import BIND_DELAY_S
from tests.exchange import ROOT
from tests.loopback_rig import PATIENCE_S, POLL_S, GatewayProcess, command, read_line

SETTLE_S = 0.3  # from the time at which new rules are in force to the first request that must meet them


def with_effect(config: dict[str, Any], effect: str | None) -> dict[str, Any]:
    """The configuration with another effect of the writing class; None: without that key."""
    changed = copy.deepcopy(config)
    profile = changed["settings"]["Profiles"][1]
    if effect is None:
        del profile["Effect"]
    else:
        profile["Effect"] = effect
    return changed


class Reload(unittest.TestCase):
    def reload(self, gateway: GatewayProcess, config: dict[str, Any]) -> None:
        """Reload, and wait until the gateway has taken or rejected the file."""

        def reloads() -> int:
            counters = gateway.counters()
            return counters.get("reloads.done", 0) + counters.get("reloads.failed", 0)

        before = reloads()
        gateway.reload(config)
        with gevent.Timeout(PATIENCE_S):
            while reloads() == before:
                gevent.sleep(POLL_S)

    def runs_of_a_lost_write(self, gateway: GatewayProcess, number: int) -> int:
        """How often nodes ran a write whose first run was answered by a reset."""
        request_id = b"%016x" % number
        for node in gateway.nodes:
            node.reset_once.add(request_id)
        with gateway.connect() as sock:
            sock.sendall(command(b"BLK.WRITE", number, b"turn"))
            self.assertTrue(read_line(sock))
        return gateway.received().count(request_id)

    def test_a_file_without_a_class_s_effect_changes_nothing(self) -> None:
        """Guards against writes that run twice, as a class without its effect counted as safe."""
        gateway = GatewayProcess(self, writes="unsafe")
        self.assertEqual(self.runs_of_a_lost_write(gateway, 1), 1)
        self.reload(gateway, with_effect(gateway.config, None))
        gevent.sleep(BIND_DELAY_S + SETTLE_S)
        self.assertEqual([self.runs_of_a_lost_write(gateway, number) for number in range(2, 8)], [1] * 6)
        self.assertEqual(gateway.counters()["reloads.failed"], 1)

    def test_a_start_without_a_class_s_effect_is_refused(self) -> None:
        """Guards against the same default at the start: one line that names the key, exit code 2."""
        whole = GatewayProcess(self, writes="unsafe").config
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(GatewayProcess.encode(with_effect(whole, None)))
            environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
            done = subprocess.run(
                [sys.executable, "-m", "stackrouter"], cwd=ROOT, env=environ | {"GW_CONFIG": str(path)},
                capture_output=True, text=True, timeout=PATIENCE_S, check=False,
            )  # fmt: skip
        self.assertEqual(done.returncode, 2)
        self.assertEqual(len(done.stderr.splitlines()), 1)
        self.assertIn("SR-CONFIG-KEY", done.stderr)
        self.assertIn("Effect", done.stderr)
