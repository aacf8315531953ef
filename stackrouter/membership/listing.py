"""Converts discovery's JSON lists into node entries of the decision module. No I/O; times are arguments."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from rackseam.interface import ListKind, NodeEntry, NodeState
from stackrouter.membership.list_changes import Address
from stackrouter.membership.start_times import StartTimes

ENTRIES_PER_PAUSE = 256  # entries parsed before other greenlets may run
STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


@dataclass(frozen=True, slots=True)
class NodeList:
    """A list from discovery: all nodes (`whole`) or the changed ones, and the address of each."""

    version: int
    whole: bool
    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]

    @property
    def kind(self) -> ListKind:
        return ListKind.FULL if self.whole else ListKind.DELTA

    def with_changes(self, changes: NodeList) -> NodeList:
        """The whole list that results from applying `changes` to this whole list."""
        entries = {entry.node: entry for entry in self.entries}
        for entry in changes.entries:
            entries[entry.node] = entry
        left = [entry for entry in entries.values() if entry.state is not NodeState.GONE]
        addresses = {**self.addresses, **changes.addresses}
        return NodeList(changes.version, True, left, {e.node: addresses[e.node] for e in left})


class Listing:
    """Parses the lists of one discovery service and remembers when each node started."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], now_us: int, unix_us: int = 0) -> None:
        """`now_us`: monotonic time; `unix_us`: the machine's wall clock at that time, which may be wrong; 0:
        not known."""
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._starts = StartTimes(now_us - unix_us)

    def read(self, raw: Any, now_us: int, pause: Callable[[], None] | None = None) -> NodeList:
        """Parse a list that arrived at `now_us`. `pause` is called after each `ENTRIES_PER_PAUSE` entries.

        KeyError, TypeError, ValueError, AttributeError: the list is malformed.
        """
        items = raw.get("endpoints") or ()
        version, whole = int(raw["index"]), bool(raw.get("snapshot"))
        self._starts.observe_starts((int(since) for item in items if (since := item.get("since_ms"))), now_us)
        entries: list[NodeEntry] = []
        addresses: dict[str, Address] = {}
        for number, item in enumerate(items):
            if pause is not None and number and not number % ENTRIES_PER_PAUSE:
                pause()
            host, _, port = item["address"].rpartition(":")
            addresses[item["name"]] = (host, int(port))
            entries.append(self._entry(item, now_us))
        if whole:
            self._starts.keep_only(addresses.keys())
        return NodeList(version, whole, entries, addresses)

    def _entry(self, item: Any, now_us: int) -> NodeEntry:
        state = STATES[item["status"]]
        entry = NodeEntry(
            node=item["name"],
            shard=int(item["group"]),
            state=state,
            zone=self._zones.get(item.get("zone"), 0),
            kind=self._kinds.get(item.get("type"), 0),
            rating=float(item.get("weight", 1.0)),
            launched_us=self._starts.launched_us(item["name"], int(item.get("since_ms") or 0), now_us),
        )
        if state is NodeState.GONE:
            self._starts.forget(item["name"])
        return entry
