"""KNOWN-RED.txt lets just the tests that it names fail, and no others pass unseen."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.exchange import ROOT

TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "tests/test_some.py::test_red | pytest, seed 1 | it is red | issue 35\n"


class KnownRed(unittest.TestCase):
    def run_with(self, text: str, tests: str = TESTS) -> tuple[int, str]:
        """A tree of its own with this list; the exit code of its run and what it printed."""
        with tempfile.TemporaryDirectory() as folder:
            (top := Path(folder) / "tests").mkdir()
            for name in ("__init__.py", "conftest.py", "known_red.py"):
                shutil.copy(ROOT / "tests" / name, top / name)
            (top / "test_some.py").write_text(tests)
            (Path(folder) / "pytest.ini").write_text("[pytest]\n")
            (Path(folder) / "KNOWN-RED.txt").write_text(text)
            command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
            done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
            return done.returncode, done.stdout + done.stderr

    def test_just_what_is_named_may_fail_and_is_printed(self) -> None:
        code, said = self.run_with(RED)
        self.assertEqual(code, 0, said)
        self.assertIn("1 passed, 1 xfailed", said)
        self.assertIn(RED.strip(), said)
        code, said = self.run_with(RED, TESTS + "\n\ndef test_other():\n    assert False\n")
        self.assertEqual(code, 1, said)

    def test_one_that_passes_fails_the_run_until_its_line_goes(self) -> None:
        code, said = self.run_with(RED.replace("test_red", "test_green"), TESTS.replace("False", "True"))
        self.assertEqual(code, 1, said)
        self.assertIn("XPASS(strict)", said)

    def test_a_fourth_line_an_unknown_test_and_a_line_without_one_of_its_parts_are_refused(self) -> None:
        for text, why in (
            (RED * 4, "3 at most"),
            (RED.replace("test_red", "test_none"), "no such test"),
            (RED.replace("it is red ", ""), "must be"),
            (RED.replace("| pytest, seed 1 ", ""), "must be"),
            (RED.replace("pytest, seed 1", ""), "must be"),
            (RED.replace(" | issue 35", ""), "must be"),
        ):
            code, said = self.run_with(text)
            self.assertNotEqual(code, 0)
            self.assertIn(why, said)


if __name__ == "__main__":
    unittest.main()
