"""Discovery's JSON in the decision module's words. No I/O; times are arguments."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from rackseam.interface import ListKind, NodeEntry, NodeState
from stackrouter.membership.list_changes import Address
from stackrouter.membership.start_times import StartTimes

READ_AT_ONCE = 256  # entries of an answer that are read before other greenlets may run
STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


@dataclass(frozen=True, slots=True)
class NodeList:
    """A list as discovery gave it: all nodes (`whole`) or those that changed, and where each listens."""

    version: int
    whole: bool
    entries: Sequence[NodeEntry]
    addresses: Mapping[str, Address]

    @property
    def kind(self) -> ListKind:
        return ListKind.FULL if self.whole else ListKind.DELTA

    def changed_by(self, changes: NodeList) -> NodeList:
        """The whole list that results from this whole one and changes to it."""
        entries = {entry.node: entry for entry in self.entries}
        for entry in changes.entries:
            entries[entry.node] = entry
        left = [entry for entry in entries.values() if entry.state is not NodeState.GONE]
        addresses = {**self.addresses, **changes.addresses}
        return NodeList(changes.version, True, left, {e.node: addresses[e.node] for e in left})


class Listing:
    """Reads lists of one discovery; keeps when each node started."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], now_us: int, unix_us: int = 0) -> None:
        """`now_us`: monotonic time; `unix_us`: what the machine's wall clock says then, right or wrong; 0:
        there is none."""
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._starts = StartTimes(now_us - unix_us)

    def read(self, raw: Any, now_us: int, pause: Callable[[], None] | None = None) -> NodeList:
        """The list that came at `now_us`; what is malformed raises KeyError, TypeError, ValueError or
        AttributeError. `pause` is called after each `READ_AT_ONCE` entries."""
        items = raw.get("endpoints") or ()
        version, whole = int(raw["index"]), bool(raw.get("snapshot"))
        self._starts.narrow((int(since) for item in items if (since := item.get("since_ms"))), now_us)
        entries: list[NodeEntry] = []
        addresses: dict[str, Address] = {}
        for number, item in enumerate(items):
            if pause is not None and number and not number % READ_AT_ONCE:
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
