"""A set that can be sampled: adding, removing and looking up by index each cost the same at any size."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar, overload

Item = TypeVar("Item")


class IndexedSet(Sequence[Item], Generic[Item]):
    """Items without repetition, each at an index. Removing an item moves the last one to its index."""

    def __init__(self, items: Iterable[Item] = ()) -> None:
        self._items: list[Item] = []
        self._index: dict[Item, int] = {}
        for item in items:
            self.add(item)

    def __len__(self) -> int:
        return len(self._items)

    @overload
    def __getitem__(self, index: int) -> Item: ...
    @overload
    def __getitem__(self, index: slice) -> list[Item]: ...
    def __getitem__(self, index: int | slice) -> Item | list[Item]:
        return self._items[index]

    def __contains__(self, item: object) -> bool:
        return item in self._index

    def add(self, item: Item) -> None:
        """Add an item, at the end; one that is there stays where it is."""
        if item not in self._index:
            self._index[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: Item) -> None:
        """Remove an item, if it is there."""
        index = self._index.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if index < len(self._items):
            self._items[index] = last
            self._index[last] = index
