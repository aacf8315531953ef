"""New settings at SIGHUP, without sockets: files rejected with key and line, and the merging of classes."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace

from rackseam.interface import Effect, Plan, RequestClass, Settings
from stackrouter.errors import RetuneError
from stackrouter.ops.retune import check, merge

PROFILES = [{"Name": "read", "HardLimitUs": 400000}, {"Name": "write", "HardLimitUs": 900000}]
GOOD = {"settings": {"Caps": {"MaxAttempts": 2}, "Profiles": PROFILES}}
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
            (zero, "line 13: Profiles[1].HardLimitUs: must be a number over 0, not 0"),
            (no_attempts, "line 4: Caps.MaxAttempts: must be a number over 0, not 0"),
        ]
        for raw, message in cases:
            with self.subTest(message), self.assertRaises(RetuneError) as caught:
                check(raw, text_of(raw))
            self.assertIn(message, str(caught.exception))

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
