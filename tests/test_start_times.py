"""When nodes started, whatever this machine's wall clock says: none is taken as warmer than it is."""

from __future__ import annotations

import unittest
from typing import Any

from stackrouter.membership.listing import Listing

S = 1_000_000
HOUR = 3600 * S
UNIX = 1_800_000_000 * S  # Unix time at 0 of the monotonic clock
NOW = 500 * S


def endpoint(name: str, started_us: int | None) -> dict[str, Any]:
    """`started_us`: monotonic time of the node's start; None: long ago."""
    since = 0 if started_us is None else (UNIX + started_us) // 1000
    return {"name": name, "address": "127.0.0.1:1", "group": 0, "status": "up", "since_ms": since}


def whole(*endpoints: dict[str, Any]) -> dict[str, Any]:
    return {"index": 1, "snapshot": True, "endpoints": list(endpoints)}


def launched(listing: Listing, raw: dict[str, Any], now: int) -> dict[str, int]:
    return {entry.node: entry.launched_us for entry in listing.read(raw, now).entries}


class StartTimes(unittest.TestCase):
    def test_a_node_that_has_just_started_is_cold_whatever_the_wall_clock_says_at_the_start(self) -> None:
        """An hour ahead it was taken as long warm, an hour behind as starting in an hour."""
        for step in (-HOUR, -5 * S, 0, 5 * S, HOUR):
            with self.subTest(step=step):
                listing = Listing([], [], NOW, UNIX + NOW + step)
                at = launched(listing, whole(endpoint("old", None), endpoint("new", NOW - S)), NOW)
                self.assertEqual(at["old"], 0)
                self.assertLessEqual(NOW - S, at["new"])
                self.assertLessEqual(at["new"], NOW)

    def test_a_start_once_told_does_not_move_with_later_estimates(self) -> None:
        listing = Listing([], [], NOW, UNIX + NOW - HOUR)
        first = launched(listing, whole(endpoint("a", NOW - S)), NOW)
        both = whole(endpoint("a", NOW - S), endpoint("b", NOW + 2 * S))
        self.assertEqual(launched(listing, both, NOW + 3 * S)["a"], first["a"])


if __name__ == "__main__":
    unittest.main()
