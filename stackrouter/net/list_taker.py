"""Hands node lists to the engine piece by piece, with the event loop free between two pieces."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import gevent

from rackseam.interface import ListKind, NodeEntry
from stackrouter.membership.list_changes import Address, ListChanges

# Longer than 0: between greenlets that only step aside gevent looks at neither sockets nor timers.
PAUSE_S: Final = 1e-6

Told = Callable[[ListKind, int, Sequence[NodeEntry], dict[str, Address]], None]


def let_others_run() -> None:
    """One round of the event loop: what is due, has come or can be written gets its turn."""
    gevent.sleep(PAUSE_S)
    gevent.sleep(0)  # the timer may come before the sockets of its round


class ListTaker:
    """The one way by which lists reach the engine, whoever they come from (discovery or the control plane).

    What is in force is known from what went through here, so everything has to.
    """

    def __init__(self, told: Told) -> None:
        """`told` is given each piece (`Engine.listed`); it must not switch to another greenlet."""
        self._told = told
        self._changes = ListChanges()
        self._handing_on = False

    def take(
        self, kind: ListKind, version: int, entries: Sequence[NodeEntry], addresses: Mapping[str, Address]
    ) -> None:
        """Hand on what this list changes; `addresses` has the address of each node that `entries` names.

        A list of at most `PIECE` entries is told before this returns. A longer one is told in pieces, and
        other greenlets run meanwhile. A list that comes while pieces are under way, from whichever greenlet,
        is merged into what is left, and then this returns at once: the first caller hands on that too.
        """
        self._changes.add(kind, version, entries, addresses)
        if self._handing_on:
            return
        self._handing_on = True
        try:
            while (piece := self._changes.next_piece()) is not None:
                self._told(piece.kind, piece.version, piece.entries, dict(piece.addresses))
                if self._changes.pending:
                    let_others_run()
        finally:
            self._handing_on = False
