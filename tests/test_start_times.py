"""Start times of nodes with a wrong wall clock: no node is taken for warmer than it is."""

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


def whole_list(*endpoints: dict[str, Any]) -> dict[str, Any]:
    return {"index": 1, "snapshot": True, "endpoints": list(endpoints)}


def launch_times(listing: Listing, raw: dict[str, Any], now: int) -> dict[str, int]:
    return {entry.node: entry.launched_us for entry in listing.read(raw, now).entries}


class StartTimes(unittest.TestCase):
    def test_new_node_is_cold_whatever_the_wall_clock_says(self) -> None:
        """Guards against trusting the wall clock: an hour ahead, it made a new node look long warm, an hour
        behind, like one that starts in an hour."""
        for wall_offset in (-HOUR, -5 * S, 0, 5 * S, HOUR):
            with self.subTest(wall_offset=wall_offset):
                listing = Listing([], [], NOW, UNIX + NOW + wall_offset)
                start = launch_times(
                    listing, whole_list(endpoint("old", None), endpoint("new", NOW - S)), NOW
                )
                self.assertEqual(start["old"], 0)
                self.assertLessEqual(NOW - S, start["new"])
                self.assertLessEqual(start["new"], NOW)

    @given(
        st.integers(-HOUR, HOUR),
        st.lists(st.tuples(st.integers(0, 60 * S), st.integers(0, 12 * S)), max_size=8),
        st.lists(st.integers(0, 400 * S), max_size=5),
        st.booleans(),
    )
    def test_no_start_is_too_early_or_in_the_future(
        self, wall_offset: int, joins: list[tuple[int, int]], before: list[int], known: bool
    ) -> None:
        listing = Listing([], [], NOW, UNIX + NOW + wall_offset)
        started = {f"b{n}": start for n, start in enumerate(before)}
        if known:  # the startup list may be old
            older = [endpoint(name, start) for name, start in started.items() if start < 200 * S]
            listing.read(whole_list(*older), NOW)
        now = NOW
        for number, (gap, delay) in enumerate([(0, 0), *joins]):
            now += gap
            if number:
                started[f"n{number}"] = max(now - gap - delay, 0)
            found = launch_times(
                listing, whole_list(*(endpoint(name, start) for name, start in started.items())), now
            )
            for name, start in started.items():
                self.assertLessEqual(start - start % 1000, found[name], "older than it is")
                self.assertLessEqual(found[name], now)

    def test_ages_are_exact_up_to_the_shortest_reporting_delay(self) -> None:
        for wall_offset in (-HOUR, -S, 0, S, HOUR):
            with self.subTest(wall_offset=wall_offset):
                listing = Listing([], [], NOW, UNIX + NOW + wall_offset)
                nodes = [endpoint("old", None)]
                for number, delay in enumerate((3 * S, 333_000, 2 * S)):
                    now = NOW + number * 5 * S
                    nodes.append(endpoint(f"n{number}", now - delay))
                    found = launch_times(listing, whole_list(*nodes), now)
                late = found["n2"] - (NOW + 8 * S)
                # A clock that is behind makes the node look as young as possible, but never older than it is.
                self.assertLessEqual(0, late)
                self.assertLessEqual(late, 333_000 if wall_offset >= 0 else 2 * S)

    def test_mapped_start_does_not_change_with_later_estimates(self) -> None:
        listing = Listing([], [], NOW, UNIX + NOW - HOUR)
        first = launch_times(listing, whole_list(endpoint("a", NOW - S)), NOW)
        both = whole_list(endpoint("a", NOW - S), endpoint("b", NOW + 2 * S))
        self.assertEqual(launch_times(listing, both, NOW + 3 * S)["a"], first["a"])


if __name__ == "__main__":
    unittest.main()
