"""Every error that an operator may see is one of the table; the page is made from it."""

from __future__ import annotations

import ast
import logging
import pickle
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from stackrouter import errors
from stackrouter.errors import TABLE, StackrouterError, page
from stackrouter.logfmt import FIELDS

ROOT = Path(__file__).parent.parent
# What no operator sees. Peers' mistakes and control flow: caught where they are answered on the wire.
WITHIN = {
    "ShortError", "ProtocolError", "MalformedError", "BadCommandError", "PacketError", "RequestError",
    "HurriedError", "DeniedError", "ConnectionResetError", "BufferError", "OSError", "TimeoutError",
    "GreenletExit", "Exit",
}  # fmt: skip
# Where a bare ValueError tells one module of ours that bytes or arguments are no good, and is caught there.
VALUE_ERRORS = {"accounts/sketch.py", "trace/codec.py", "trace/format.py"}
MODEL = {("model/fleet.py", "RuntimeError")}  # a seam of the model that is never called


def sources() -> Iterator[tuple[str, ast.AST]]:
    for path in sorted((ROOT / "stackrouter").rglob("*.py")):
        if not path.name.endswith("_pb2.py"):
            yield str(path.relative_to(ROOT / "stackrouter")), ast.parse(path.read_text(encoding="utf-8"))


def strays(name: str, tree: ast.AST) -> Iterator[str]:
    """Raises and log lines that go past the table."""
    coded = {cls.__name__ for cls in TABLE.values()}
    for node in ast.walk(tree):
        called = node.exc if isinstance(node, ast.Raise) else None
        called = called.func if isinstance(called, ast.Call) else called
        if isinstance(called, ast.Attribute) or (isinstance(called, ast.Name) and called.id[0].isupper()):
            kind = called.attr if isinstance(called, ast.Attribute) else getattr(called, "id", "?")
            known = kind in coded or kind in WITHIN or kind == "within" or (name, kind) in MODEL
            if not known and not (kind == "ValueError" and name in VALUE_ERRORS):
                yield f"{name}:{called.lineno}: raise {kind}"
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in ("warning", "error", "exception", "critical")
            and name != "errors.py"
            and getattr(node.func.value, "id", "") in ("log", "logger")
        ):
            yield f"{name}:{node.lineno}: log.{node.func.attr}"
        # The door says no with a code: FAILURE is followed by a field that is filled in.
        if isinstance(node, ast.Constant) and re.match(r"FAILURE [^{` ]", str(node.value)):
            yield f"{name}:{node.lineno}: {node.value!r}"


class Errors(unittest.TestCase):
    def test_nothing_reaches_an_operator_past_the_table(self) -> None:
        self.assertEqual([stray for name, tree in sources() for stray in strays(name, tree)], [])

    def test_the_search_finds_what_goes_past(self) -> None:
        text = "raise ValueError('x')\nlog.warning('x')\nx = 'FAILURE no'\nraise RefusedError(1)"
        self.assertEqual(len(list(strays("net/x.py", ast.parse(text)))), 4)

    def test_every_code_says_what_it_means_and_what_to_do(self) -> None:
        self.assertGreater(len(TABLE), 40)
        for code, cls in TABLE.items():
            with self.subTest(code):
                self.assertRegex(code, r"^SR(-[A-Z0-9]+)+$")
                self.assertTrue(cls.means().endswith(".") and cls.do.endswith("."))
                self.assertNotIn("|", cls.means() + cls.do)
        families = {
            c for c in vars(errors).values() if isinstance(c, type) and issubclass(c, StackrouterError)
        }
        self.assertEqual({c for c in families if c.code}, set(TABLE.values()), "no two have the same code")

    def test_the_page_is_the_table(self) -> None:
        self.assertEqual((ROOT / "docs/operators/errors.md").read_text(encoding="utf-8"), page())

    def test_an_error_names_its_place_on_one_line_and_survives_a_process(self) -> None:
        error = errors.EdgeTextError("no such\n  field", file="a.txtpb", line=7, key="log", address="h:1")
        self.assertEqual(str(error), "a.txtpb: line 7: log: h:1: no such field")
        self.assertEqual(error.whole(), f"SR-EDGE-TEXT: {error}. {errors.EdgeTextError.do}")
        again = pickle.loads(pickle.dumps(error))
        self.assertEqual((type(again), again.fields()), (type(error), error.fields()))

    def test_a_log_line_begins_with_its_code_and_carries_the_place(self) -> None:
        log = logging.getLogger("stackrouter.test")
        with self.assertLogs(log) as caught:
            errors.tell(log, errors.SilentError("discovery is silent", address="h:1"), "watch")
        self.assertEqual(
            caught.records[0].getMessage(), "SR-DISCOVERY-SILENT: watch: h:1: discovery is silent"
        )
        self.assertEqual(getattr(caught.records[0], "at_address", ""), "h:1")
        self.assertLessEqual({"code", "at_file", "at_line", "at_key", "at_address"}, set(FIELDS))


if __name__ == "__main__":
    unittest.main()
