"""New configurations by SIGHUP, on the real program: by which rules writes are sent again."""

from __future__ import annotations

import copy
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import gevent
from hypothesis import given
from hypothesis import strategies as st

from stackrouter.ops.class_names import BIND_DELAY_S, ClassNames
from tests.exchange import ROOT
from tests.loopback_rig import PATIENCE_S, POLL_S, GatewayProcess, command, read_line

SETTLE_S = 0.3  # from the time at which new rules are in force to the first request that must meet them
ROUNDING_S = 1e-6


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

    def test_files_in_quick_succession_do_not_put_off_the_first_one(self) -> None:
        """Guards against writes that run twice for as long as further signals come."""
        gateway = GatewayProcess(self, writes="keyed")
        self.assertEqual(self.runs_of_a_lost_write(gateway, 1), 2)  # a keyed write may be sent again
        began = time.monotonic()
        unsafe = with_effect(gateway.config, "unsafe")
        for number in range(2, 8):
            self.reload(gateway, unsafe)
            gevent.sleep(0.4)
            if time.monotonic() > began + BIND_DELAY_S + SETTLE_S:
                self.assertEqual(self.runs_of_a_lost_write(gateway, number), 1)
        self.assertGreater(time.monotonic(), began + BIND_DELAY_S + SETTLE_S)

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


class Model:
    """The names in force by the operators' page alone: those of the last file whose delay is over, and names
    that are only in later files."""

    def __init__(self, names: dict[str, int]) -> None:
        self.files: list[tuple[float, dict[str, int]]] = [(0.0, names)]

    def at(self, now: float) -> dict[str, int]:
        due = [names for at, names in self.files if at <= now][-1]
        later = [names for at, names in self.files if at > now]
        expected = dict(due)
        for names in later:
            expected = {**names, **expected}
        return expected


class ClassNamesTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 2.0), st.dictionaries(st.sampled_from("abc"), st.integers(0, 9), min_size=1)
            ),
            max_size=12,
        )
    )
    def test_each_file_comes_into_force_after_its_delay_whatever_follows(
        self, files: list[tuple[float, dict[str, int]]]
    ) -> None:
        names, model, now = ClassNames({"a": 0}), Model({"a": 0}), 1.0
        for pause, file in files:
            names.advance(now)
            names.change(file, now)
            model.files.append((now + BIND_DELAY_S, file))
            self.assertEqual(names.current, model.at(now))
            now += pause
            names.advance(now)
            self.assertEqual(names.current, model.at(now))
            due_in = names.due_in(now)
            self.assertTrue(due_in is None or 0.0 <= due_in < BIND_DELAY_S + ROUNDING_S)

    def test_a_policy_replaces_all_changes_that_wait(self) -> None:
        names = ClassNames({"a": 0})
        names.change({"a": 1, "b": 2}, 1.0)
        names.replace({"a": 3})
        names.advance(10.0)
        self.assertEqual((names.current, names.due_in(10.0)), ({"a": 3}, None))
