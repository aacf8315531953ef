"""New settings at SIGHUP, without sockets: files rejected with key and line, and the merging of classes."""

from __future__ import annotations

import copy
import json
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from rackseam.interface import Effect, Plan, RequestClass, Settings
from stackrouter.errors import RetuneError
from stackrouter.ops.config_shape import shape_of
from stackrouter.ops.retune import check, merge

PROFILES = [
    {"Name": "read", "HardLimitUs": 400000, "Effect": "safe"},
    {"Name": "write", "HardLimitUs": 900000, "Effect": "unsafe"},
]
GOOD = {"settings": {"Caps": {"MaxAttempts": 2}, "Profiles": PROFILES}}
WHOLE: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "limits": {"memory_mb": 64, "sockets": 256},
    "known": {"index": 1, "snapshot": True, "endpoints": [{"name": "s1"}]},
    "settings": {
        "Caps": {"MaxAttempts": 2, "MaxOpen": 10, "Cancel": True},
        "FamilyInfo": {"ClassWrites": [False, True], "MaxUnits": 8},
        "Grades": [{"Name": "basic", "CeilingRate": 20.0, "Tolerance": 8.0}],
        "Obligations": {"DrainGraceUs": 250000, "KeyRestUs": 5},
        "Profiles": [
            {"Name": "read", "AimUs": 100, "HardLimitUs": 400000, "Effect": "safe", "Group": "all",
             "KeyTtlUs": 0, "AimStretch": 2.0},
            {"Name": "write", "AimUs": 100, "HardLimitUs": 900000, "Effect": "keyed", "Group": "cell",
             "KeyTtlUs": 300000, "FifoByKey": True},
        ],
        "StepUs": 2000,
    },
}  # fmt: skip


def paths_of(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """The path of each key below `value`."""
    items: Iterable[tuple[str | int, Any]] = ()
    if isinstance(value, dict):
        items = value.items()
        yield from ((*path, key) for key in value)
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from paths_of(inner, (*path, key))


# Each key whose absence makes a file broken: not those that may be absent, nor what only a start reads.
REQUIRED = [
    path
    for path in paths_of(WHOLE)
    if not {"AimStretch", "FifoByKey", "KeyRestUs"} & set(path) and "known" not in path[:-1]
]


def parent_of(raw: Any, path: tuple[str | int, ...]) -> Any:
    for key in path[:-1]:
        raw = raw[key]
    return raw


READ, WRITE = RequestClass(400_000, 400_000), RequestClass(900_000, 900_000, writes=True)


def text_of(raw: object) -> str:
    return json.dumps(raw, indent=1)


class RetuneTest(unittest.TestCase):
    def test_invalid_files_are_rejected_with_the_key_and_its_line(self) -> None:
        check(GOOD, text_of(GOOD))  # a valid file is accepted
        zero = {
            "settings": {
                "Caps": {"MaxAttempts": 2},
                "Profiles": [PROFILES[0], {"Name": "w", "HardLimitUs": 0}],
            }
        }
        no_attempts = {"settings": {"Caps": {"MaxAttempts": 0}, "Profiles": PROFILES}}
        cases = [
            ({}, "line 1: settings: key is missing"),
            ({"settings": {"Profiles": []}}, "Profiles: key is missing or empty"),
            (zero, "line 14: Profiles[1].HardLimitUs: must be a number over 0, not 0"),
            (no_attempts, "line 4: Caps.MaxAttempts: must be a number over 0, not 0"),
        ]
        for raw, message in cases:
            with self.subTest(message), self.assertRaises(RetuneError) as caught:
                check(raw, text_of(raw))
            self.assertIn(message, str(caught.exception))

    @given(st.sampled_from(REQUIRED))
    def test_a_file_with_any_key_missing_is_rejected(self, path: tuple[str | int, ...]) -> None:
        """Guards against a missing key that takes a default: a class without its effect counted as safe, and
        its writes ran twice."""
        in_force = shape_of(WHOLE)
        check(WHOLE, text_of(WHOLE), in_force)
        for missing in (True, False):
            raw = copy.deepcopy(WHOLE)
            parent = parent_of(raw, path)
            if missing:
                del parent[path[-1]]
            else:
                parent[path[-1]] = None  # on the wire, null stands for what is absent
            with self.assertRaises(RetuneError) as caught:
                check(raw, text_of(raw), in_force)
            self.assertIn(str(path[-1]), str(caught.exception))

    @given(st.sampled_from(REQUIRED))
    def test_a_file_with_a_value_of_another_kind_is_rejected(self, path: tuple[str | int, ...]) -> None:
        raw = copy.deepcopy(WHOLE)
        parent = parent_of(raw, path)
        parent[path[-1]] = 5 if isinstance(parent[path[-1]], str | list | dict | bool) else "five"
        with self.assertRaises(RetuneError):
            check(raw, text_of(raw), shape_of(WHOLE))

    def test_classes_without_what_decides_on_repeats_are_rejected_whatever_was_in_force(self) -> None:
        for key, effect in (("Effect", "safe"), ("Effect", "keyed"), ("Group", "keyed")):
            raw = copy.deepcopy(WHOLE)
            raw["settings"]["Profiles"][1]["Effect"] = effect
            del raw["settings"]["Profiles"][1][key]
            with self.subTest(key, effect=effect), self.assertRaises(RetuneError) as caught:
                check(raw, text_of(raw))
            self.assertIn(f"Profiles[1].{key}: key is missing", str(caught.exception))

    def test_keys_that_may_be_absent_and_other_classes_are_accepted(self) -> None:
        raw = copy.deepcopy(WHOLE)
        settings = raw["settings"]
        del settings["Profiles"][0]["AimStretch"], settings["Obligations"]["KeyRestUs"]
        settings["Profiles"].append(
            {**settings["Profiles"][0], "Name": "third", "Effect": "unsafe", "More": 1}
        )
        raw["known"]["endpoints"] = []
        check(raw, text_of(raw), shape_of(WHOLE))

    def test_the_class_table_only_grows_and_names_move_to_their_new_rules(self) -> None:
        read, write = READ, WRITE
        old = Settings(classes=(read, write), plans=(Plan(),), max_attempts=3)
        keyed = replace(write, effect=Effect.KEYED)
        new = Settings(classes=(keyed, read), plans=(Plan(),), max_attempts=1)
        settings, bound, unknown = merge(
            old.classes, new, {"write": 0, "read": 1}, {"read": 0, "write": 1}, True
        )
        self.assertEqual(settings.classes, (read, write, keyed))  # an open write keeps index 1 and its rules
        self.assertEqual(bound, {"write": 2, "read": 0})
        self.assertEqual((settings.max_attempts, unknown), (1, set()))
        again, _, _ = merge(settings.classes, new, {"write": 0, "read": 1}, bound, True)
        self.assertEqual(again.classes, settings.classes)  # the same file again adds nothing

    def test_write_flags_that_do_not_match_the_classes_are_ignored(self) -> None:
        # Seen in operation: ClassWrites stayed [false, true] while the classes became three in another order.
        read, write = READ, WRITE
        moved = Settings(
            classes=(replace(write, writes=False), replace(read, writes=True), read), plans=(Plan(),)
        )
        names = {"write": 0, "read": 1, "write-2": 2}
        settings, bound, unknown = merge((read, write), moved, names, {"read": 0, "write": 1}, False)
        self.assertTrue(settings.classes[bound["write"]].writes)
        self.assertFalse(settings.classes[bound["read"]].writes)
        self.assertEqual(unknown, {bound["write-2"]})  # a new name: the front accepts either command for it
