"""Turns node lists into pieces of bounded size that hold only what differs from the list applied. No I/O.

Passing a whole list of many thousand nodes to the engine in one call blocks the event loop for as long as
that takes. `ListChanges` compares each list with what it has given out before and yields only the
differences, at most `MAX_PIECE_ENTRIES` entries at a time, so that the caller can let the event loop run in
between:

- First the nodes that must get no new work (draining or removed), then those that are new or changed; nodes
  that a whole list no longer names come last, after all that it names.
- A list that arrives while an earlier one is in progress is merged into its remainder: of two entries about
  one node only the newer is given out, and a whole list replaces everything left of an earlier one.
- A list of at most `MAX_PIECE_ENTRIES` entries is given out unmodified, if nothing is in progress and a whole
  one replaces at most `MAX_PIECE_ENTRIES` nodes.

`add` itself makes two passes over the names and states of a whole list; all else is done piece by piece.

Memory: one entry a node for the list applied, and one a node for the changes in progress.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NamedTuple

from rackseam.interface import ListKind, NodeEntry, NodeState

MAX_PIECE_ENTRIES: Final = 256  # maximum entries in a piece
MAX_COMPARED_PER_PIECE: Final = 256  # bounds the work for a piece when most entries are unchanged

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class Piece:
    """The arguments for one call of `Engine.listed`."""

    kind: ListKind
    version: int
    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]


class _NodeRecord(NamedTuple):
    """One node of a list: its entry and the address it listens on."""

    entry: NodeEntry
    address: Address


@dataclass(slots=True)
class _FullList:
    """A whole list in progress: its ready entries come first, then the nodes that it does not name."""

    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]
    listed: set[str]
    superseded: set[str] = field(default_factory=set)  # nodes that a later list has entries for
    compared: int = 0  # number of entries compared so far
    unlisted: Iterator[str] | None = None  # set once all entries are compared


class ListChanges:
    """The list applied so far, and what is still to be given out of the lists that arrived."""

    def __init__(self) -> None:
        self._version = 0
        self._applied: dict[str, _NodeRecord] = {}  # as given out
        # What is in progress, in the order in which it is given out.
        self._unmodified: deque[Piece] = deque()  # pieces given out without a comparison
        self._stopping: dict[str, _NodeRecord] = {}  # draining or removed
        self._ready_changes: dict[str, _NodeRecord] = {}  # ready, from lists of changes
        self._full_list: _FullList | None = None

    @property
    def pending(self) -> bool:
        """Whether something is left to compare or give out; it may prove to be unchanged."""
        return bool(self._unmodified or self._stopping or self._ready_changes or self._full_list)

    def add(
        self, kind: ListKind, version: int, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        """Add a list that arrived; `addresses` has the address of each node that `entries` names.

        A cached list is what a gateway starts with: it is given out unmodified, whatever its size.
        """
        self._version = version
        small = len(entries) <= MAX_PIECE_ENTRIES and (
            kind is ListKind.DELTA or len(self._applied) <= MAX_PIECE_ENTRIES
        )
        if kind in (ListKind.FAILED, ListKind.CACHED) or (small and not self.pending):
            self._unmodified.append(Piece(kind, version, entries, addresses))
            if kind is not ListKind.FAILED:
                self._apply_all(kind, entries, addresses)
        elif kind is ListKind.DELTA:
            self._merge(_latest_entries(entries), addresses)
        else:
            self._start_full_list(entries, addresses)

    def next_piece(self) -> Piece | None:
        """The next piece to apply; None: nothing is left.

        A piece is empty if everything compared for it is unchanged.
        """
        if self._unmodified:
            return self._unmodified.popleft()
        if not self.pending:
            return None
        changed: list[_NodeRecord] = []
        compared = 0
        while (
            compared < MAX_COMPARED_PER_PIECE
            and len(changed) < MAX_PIECE_ENTRIES
            and (known := self._next_candidate()) is not None
        ):
            compared += 1
            if self._applied.get(known.entry.node) != known:
                changed.append(known)
                self._apply(known)
        entries = [known.entry for known in changed]
        addresses = {known.entry.node: known.address for known in changed}
        return Piece(ListKind.DELTA, self._version, entries, addresses)

    def _merge(self, newest: dict[str, NodeEntry], addresses: Mapping[str, Address]) -> None:
        for name, entry in newest.items():
            self._stopping.pop(name, None)
            self._ready_changes.pop(name, None)
            if self._full_list is not None:
                self._full_list.superseded.add(name)
            waiting = self._ready_changes if entry.state is NodeState.READY else self._stopping
            waiting[name] = _NodeRecord(entry, addresses[name])

    def _start_full_list(self, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]) -> None:
        listed = {entry.node for entry in entries}
        if len(listed) < len(entries):
            entries = list(_latest_entries(entries).values())
        stopping = [entry for entry in entries if entry.state is not NodeState.READY]
        self._stopping = {e.node: _NodeRecord(e, addresses[e.node]) for e in reversed(stopping)}
        self._ready_changes = {}
        self._full_list = _FullList(entries, addresses, listed)

    def _next_candidate(self) -> _NodeRecord | None:
        """The next node to compare; None: nothing is left."""
        for waiting in (self._stopping, self._ready_changes):
            if waiting:
                return waiting.popitem()[1]
        if self._full_list is None:
            return None
        known = self._next_ready(self._full_list) or self._next_unlisted(self._full_list)
        if known is None:
            self._full_list = None
        return known

    def _next_ready(self, full_list: _FullList) -> _NodeRecord | None:
        while full_list.compared < len(full_list.entries):
            entry = full_list.entries[full_list.compared]
            full_list.compared += 1
            if entry.state is NodeState.READY and entry.node not in full_list.superseded:
                return _NodeRecord(entry, full_list.addresses[entry.node])
        return None

    def _next_unlisted(self, full_list: _FullList) -> _NodeRecord | None:
        if full_list.unlisted is None:
            full_list.unlisted = iter([name for name in self._applied if name not in full_list.listed])
        for name in full_list.unlisted:
            if name not in full_list.superseded and name in self._applied:
                known = self._applied[name]
                return _NodeRecord(replace(known.entry, state=NodeState.GONE), known.address)
        return None

    def _apply_all(
        self, kind: ListKind, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        if kind is not ListKind.DELTA:
            self._applied = {}
        for name, entry in _latest_entries(entries).items():
            self._apply(_NodeRecord(entry, addresses[name]))

    def _apply(self, known: _NodeRecord) -> None:
        if known.entry.state is NodeState.GONE:
            self._applied.pop(known.entry.node, None)
        else:
            self._applied[known.entry.node] = known


def _latest_entries(entries: Sequence[NodeEntry]) -> dict[str, NodeEntry]:
    """The last entry about each node, with the latest start time that any entry about it has."""
    newest = {entry.node: entry for entry in entries}
    if len(newest) == len(entries):
        return newest
    started: dict[str, int] = {}
    for entry in entries:
        started[entry.node] = max(started.get(entry.node, 0), entry.launched_us)
    return {name: replace(entry, launched_us=started[name]) for name, entry in newest.items()}
