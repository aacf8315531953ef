"""What a node list changes of the one that is in force, in pieces of bounded size. No I/O.

A whole list of many thousand nodes that is handed to the engine at once holds the event loop for as long as
all of it takes. `ListChanges` compares each list with what it has handed on and gives out only what differs,
at most `PIECE` entries at a time, so that the caller can let the event loop run in between:

- first the nodes that must get nothing new (draining or removed), then those that are new or changed, and
  those that a whole list no longer names only once all that it names have gone out;
- a list that comes while an earlier one is under way is merged into what is left of it: of two entries about
  one node only the newer goes out, and a whole list replaces everything that an earlier one had left;
- a list of at most `PIECE` entries goes out as it came, if nothing is under way and a whole one replaces at
  most `PIECE` nodes.

What `add` itself does with a whole list is two passes over names and states; all else is done piece by piece.

Memory: the nodes in force and the changes that are under way, one entry a node each.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NamedTuple

from rackseam.interface import ListKind, NodeEntry, NodeState

PIECE: Final = 256  # entries handed on at once
COMPARED: Final = 256  # entries compared for one piece at most, where most are as they were

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class Piece:
    """What one call of `Engine.listed` is to be given."""

    kind: ListKind
    version: int
    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]


class _Known(NamedTuple):
    """One node as it was told: its entry and where it listens."""

    entry: NodeEntry
    address: Address


@dataclass(slots=True)
class _Whole:
    """A whole list under way: those of its entries that are ready, then the nodes that it does not name."""

    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]
    named: set[str]
    newer: set[str] = field(default_factory=set)  # nodes that a list after this one has told of
    compared: int = 0  # how many of the entries
    unnamed: Iterator[str] | None = None  # once all entries are compared


class ListChanges:
    """The list in force, and what is still to be handed on of those that came."""

    def __init__(self) -> None:
        self._version = 0
        self._in_force: dict[str, _Known] = {}  # as handed on
        # What is under way, in the order in which it goes out.
        self._as_it_came: deque[Piece] = deque()  # without a comparison
        self._stopping: dict[str, _Known] = {}  # draining or removed
        self._changing: dict[str, _Known] = {}  # ready, from lists of changes
        self._whole: _Whole | None = None

    @property
    def pending(self) -> bool:
        """Something is still to be handed on; it may turn out to be as it was."""
        return bool(self._as_it_came or self._stopping or self._changing or self._whole)

    def add(
        self, kind: ListKind, version: int, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        """A list that came: `addresses` has the address of each node that `entries` names.

        A cached list is what a starting gateway begins with: handed on as it came, whatever its size.
        """
        self._version = version
        small = len(entries) <= PIECE and (kind is ListKind.DELTA or len(self._in_force) <= PIECE)
        if kind in (ListKind.FAILED, ListKind.CACHED) or (small and not self.pending):
            self._as_it_came.append(Piece(kind, version, entries, addresses))
            if kind is not ListKind.FAILED:
                self._put_in_force(kind, entries, addresses)
        elif kind is ListKind.DELTA:
            self._merge(_newest(entries), addresses)
        else:
            self._replace(entries, addresses)

    def next_piece(self) -> Piece | None:
        """What is to be handed on next; None: nothing is left.

        A piece may be empty, where all that was compared for it is as it was.
        """
        if self._as_it_came:
            return self._as_it_came.popleft()
        if not self.pending:
            return None
        changed: list[_Known] = []
        compared = 0
        while compared < COMPARED and len(changed) < PIECE and (known := self._take_one()) is not None:
            compared += 1
            if self._in_force.get(known.entry.node) != known:
                changed.append(known)
                self._keep(known)
        entries = [known.entry for known in changed]
        addresses = {known.entry.node: known.address for known in changed}
        return Piece(ListKind.DELTA, self._version, entries, addresses)

    def _merge(self, newest: dict[str, NodeEntry], addresses: Mapping[str, Address]) -> None:
        for name, entry in newest.items():
            self._stopping.pop(name, None)
            self._changing.pop(name, None)
            if self._whole is not None:
                self._whole.newer.add(name)
            waiting = self._changing if entry.state is NodeState.READY else self._stopping
            waiting[name] = _Known(entry, addresses[name])

    def _replace(self, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]) -> None:
        named = {entry.node for entry in entries}
        if len(named) < len(entries):
            entries = list(_newest(entries).values())
        stopping = [entry for entry in entries if entry.state is not NodeState.READY]
        self._stopping = {e.node: _Known(e, addresses[e.node]) for e in reversed(stopping)}
        self._changing = {}
        self._whole = _Whole(entries, addresses, named)

    def _take_one(self) -> _Known | None:
        """What is to be compared next, if anything is left."""
        for waiting in (self._stopping, self._changing):
            if waiting:
                return waiting.popitem()[1]
        if self._whole is None:
            return None
        known = self._next_ready(self._whole) or self._next_unnamed(self._whole)
        if known is None:
            self._whole = None
        return known

    def _next_ready(self, whole: _Whole) -> _Known | None:
        while whole.compared < len(whole.entries):
            entry = whole.entries[whole.compared]
            whole.compared += 1
            if entry.state is NodeState.READY and entry.node not in whole.newer:
                return _Known(entry, whole.addresses[entry.node])
        return None

    def _next_unnamed(self, whole: _Whole) -> _Known | None:
        if whole.unnamed is None:
            whole.unnamed = iter([name for name in self._in_force if name not in whole.named])
        for name in whole.unnamed:
            if name not in whole.newer and name in self._in_force:
                known = self._in_force[name]
                return _Known(replace(known.entry, state=NodeState.GONE), known.address)
        return None

    def _put_in_force(
        self, kind: ListKind, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        if kind is not ListKind.DELTA:
            self._in_force = {}
        for name, entry in _newest(entries).items():
            self._keep(_Known(entry, addresses[name]))

    def _keep(self, known: _Known) -> None:
        if known.entry.state is NodeState.GONE:
            self._in_force.pop(known.entry.node, None)
        else:
            self._in_force[known.entry.node] = known


def _newest(entries: Sequence[NodeEntry]) -> dict[str, NodeEntry]:
    """The last entry about each node; the latest start that any of them states."""
    newest = {entry.node: entry for entry in entries}
    if len(newest) == len(entries):
        return newest
    started: dict[str, int] = {}
    for entry in entries:
        started[entry.node] = max(started.get(entry.node, 0), entry.launched_us)
    return {name: replace(entry, launched_us=started[name]) for name, entry in newest.items()}
