"""Applies node lists to the engine in pieces and lets the event loop run between them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import gevent

from rackseam.interface import ListKind, NodeEntry
from stackrouter.membership.list_changes import Address, ListChanges

# Longer than 0: gevent polls neither sockets nor timers between greenlets that only yield.
PAUSE_S: Final = 1e-6

ListHandler = Callable[[ListKind, int, Sequence[NodeEntry], dict[str, Address]], None]


def yield_to_event_loop() -> None:
    """Run one iteration of the event loop, so that due timers and ready sockets are served."""
    gevent.sleep(PAUSE_S)
    gevent.sleep(0)  # the timer may fire before the sockets of its iteration are served


class ListApplier:
    """The only way by which lists reach the engine, both from discovery and from the control plane.

    The list in force is known from what has passed through here, so every list has to.
    """

    def __init__(self, handler: ListHandler) -> None:
        """`handler` is called with each piece (`Engine.update_nodes`); it must not switch greenlets."""
        self._handler = handler
        self._changes = ListChanges()
        self._applying = False

    def apply(
        self, kind: ListKind, version: int, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        """Apply the changes of this list; `addresses` has the address of each node that `entries` names.

        A list of at most `MAX_PIECE_ENTRIES` entries is applied before this returns. A longer one is applied
        in pieces, between which other greenlets run. A list that arrives meanwhile, from any greenlet, is
        merged into the remainder, and its call returns at once: the first caller applies that too.
        """
        self._changes.add(kind, version, entries, addresses)
        if self._applying:
            return
        self._applying = True
        try:
            while (piece := self._changes.next_piece()) is not None:
                self._handler(piece.kind, piece.version, piece.entries, dict(piece.addresses))
                if self._changes.pending:
                    yield_to_event_loop()
        finally:
            self._applying = False
