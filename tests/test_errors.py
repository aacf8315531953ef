"""Every error that an operator may see has a type in the table of errors; the page is generated from it."""

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
# Not shown to operators: errors of peers and control flow, which are caught where they are answered.
INTERNAL_ERRORS = {
    "ShortError", "ProtocolError", "MalformedError", "BadCommandError", "PacketError", "RequestError",
    "CallCutShortError", "DeniedError", "ConnectionResetError", "BufferError", "OSError", "TimeoutError",
    "GreenletExit", "Exit",
}  # fmt: skip
# Modules whose ValueError reports invalid bytes or arguments to another module, which catches it.
VALUE_ERRORS = {"accounts/sketch.py", "trace/codec.py", "trace/format.py"}
MODEL_ERRORS = {("model/fleet.py", "RuntimeError")}  # a stub of the model that is never called


def sources() -> Iterator[tuple[str, ast.AST]]:
    for path in sorted((ROOT / "stackrouter").rglob("*.py")):
        if not path.name.endswith("_pb2.py"):
            yield str(path.relative_to(ROOT / "stackrouter")), ast.parse(path.read_text(encoding="utf-8"))


def violations(name: str, tree: ast.AST) -> Iterator[str]:
    """Raises and log lines that don't use the table."""
    coded = {cls.__name__ for cls in TABLE.values()}
    for node in ast.walk(tree):
        called = node.exc if isinstance(node, ast.Raise) else None
        called = called.func if isinstance(called, ast.Call) else called
        if isinstance(called, ast.Attribute) or (isinstance(called, ast.Name) and called.id[0].isupper()):
            kind = called.attr if isinstance(called, ast.Attribute) else getattr(called, "id", "?")
            known = (
                kind in coded or kind in INTERNAL_ERRORS or kind == "in_file" or (name, kind) in MODEL_ERRORS
            )
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
        # Failures on the admin port carry a code: FAILURE is followed by a replacement field.
        if isinstance(node, ast.Constant) and re.match(r"FAILURE [^{` ]", str(node.value)):
            yield f"{name}:{node.lineno}: {node.value!r}"


class Errors(unittest.TestCase):
    def test_all_raises_and_log_lines_use_the_table(self) -> None:
        self.assertEqual([violation for name, tree in sources() for violation in violations(name, tree)], [])

    def test_the_search_finds_each_kind_of_violation(self) -> None:
        text = "raise ValueError('x')\nlog.warning('x')\nx = 'FAILURE no'\nraise RefusedError(1)"
        self.assertEqual(len(list(violations("net/x.py", ast.parse(text)))), 4)

    def test_every_code_has_a_meaning_and_a_remedy(self) -> None:
        self.assertGreater(len(TABLE), 40)
        for code, cls in TABLE.items():
            with self.subTest(code):
                self.assertRegex(code, r"^SR(-[A-Z0-9]+)+$")
                self.assertTrue(cls.means().endswith(".") and cls.do.endswith("."))
                self.assertNotIn("|", cls.means() + cls.do)
        families = {
            c for c in vars(errors).values() if isinstance(c, type) and issubclass(c, StackrouterError)
        }
        self.assertEqual({c for c in families if c.code}, set(TABLE.values()), "two types have the same code")

    def test_the_page_is_the_table(self) -> None:
        self.assertEqual((ROOT / "docs/operators/errors.md").read_text(encoding="utf-8"), page())

    def test_an_error_has_its_location_on_one_line_and_can_be_pickled(self) -> None:
        error = errors.EdgeTextError("no such\n  field", file="a.txtpb", line=7, key="log", address="h:1")
        self.assertEqual(str(error), "a.txtpb: line 7: log: h:1: no such field")
        self.assertEqual(error.one_line(), f"SR-EDGE-TEXT: {error}. {errors.EdgeTextError.do}")
        again = pickle.loads(pickle.dumps(error))
        self.assertEqual((type(again), again.fields()), (type(error), error.fields()))

    def test_a_log_line_begins_with_its_code_and_has_the_location(self) -> None:
        log = logging.getLogger("stackrouter.test")
        with self.assertLogs(log) as caught:
            errors.log_error(log, errors.SilentError("discovery is silent", address="h:1"), "watch")
        self.assertEqual(
            caught.records[0].getMessage(), "SR-DISCOVERY-SILENT: watch: h:1: discovery is silent"
        )
        self.assertEqual(getattr(caught.records[0], "at_address", ""), "h:1")
        self.assertLessEqual({"code", "at_file", "at_line", "at_key", "at_address"}, set(FIELDS))


if __name__ == "__main__":
    unittest.main()
