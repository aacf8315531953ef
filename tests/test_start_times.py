"""When nodes started, whatever this machine's wall clock says: none is taken as warmer than it is."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

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

    @given(
        st.integers(-HOUR, HOUR),
        st.lists(st.tuples(st.integers(0, 60 * S), st.integers(0, 12 * S)), max_size=8),
        st.lists(st.integers(0, 400 * S), max_size=5),
        st.booleans(),
    )
    def test_no_node_is_ever_taken_as_older_than_it_is_nor_as_of_the_future(
        self, step: int, joins: list[tuple[int, int]], before: list[int], known: bool
    ) -> None:
        listing = Listing([], [], NOW, UNIX + NOW + step)
        started = {f"b{n}": at for n, at in enumerate(before)}
        if known:  # the list of the start may be from long ago
            older = [endpoint(name, at) for name, at in started.items() if at < 200 * S]
            listing.read(whole(*older), NOW)
        now = NOW
        for number, (gap, notice) in enumerate([(0, 0), *joins]):
            now += gap
            if number:
                started[f"n{number}"] = max(now - gap - notice, 0)
            found = launched(listing, whole(*(endpoint(name, at) for name, at in started.items())), now)
            for name, at in started.items():
                self.assertLessEqual(at - at % 1000, found[name], "older than it is")
                self.assertLessEqual(found[name], now)

    def test_ages_are_right_but_for_the_shortest_time_that_a_start_took_to_be_told(self) -> None:
        for step in (-HOUR, -S, 0, S, HOUR):
            with self.subTest(step=step):
                listing = Listing([], [], NOW, UNIX + NOW + step)
                nodes = [endpoint("old", None)]
                for number, notice in enumerate((3 * S, 333_000, 2 * S)):
                    now = NOW + number * 5 * S
                    nodes.append(endpoint(f"n{number}", now - notice))
                    found = launched(listing, whole(*nodes), now)
                late = found["n2"] - (NOW + 8 * S)
                # A clock that is behind makes the node look as young as can be; never older than it is.
                self.assertLessEqual(0, late)
                self.assertLessEqual(late, 333_000 if step >= 0 else 2 * S)

    def test_a_start_once_told_does_not_move_with_later_estimates(self) -> None:
        listing = Listing([], [], NOW, UNIX + NOW - HOUR)
        first = launched(listing, whole(endpoint("a", NOW - S)), NOW)
        both = whole(endpoint("a", NOW - S), endpoint("b", NOW + 2 * S))
        self.assertEqual(launched(listing, both, NOW + 3 * S)["a"], first["a"])


if __name__ == "__main__":
    unittest.main()
