"""A set that can be sampled holds what a plain one holds, each item at one index."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from rackseam.indexed_set import IndexedSet


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 12)), max_size=60))
def test_it_holds_what_a_plain_set_holds(steps: list[tuple[bool, int]]) -> None:
    indexed, plain = IndexedSet[int](), set[int]()
    for added, item in steps:
        if added:
            indexed.add(item)
            plain.add(item)
        else:
            indexed.discard(item)
            plain.discard(item)
        assert len(indexed) == len(plain)
        assert sorted(indexed) == sorted(plain)
        assert [item in indexed for item in range(13)] == [item in plain for item in range(13)]


def test_it_can_be_sampled_and_the_last_item_takes_the_index_that_is_left() -> None:
    indexed = IndexedSet("abcd")
    indexed.discard("b")
    assert list(indexed) == ["a", "d", "c"]
    assert set(random.Random(1).sample(indexed, 3)) == {"a", "c", "d"}
