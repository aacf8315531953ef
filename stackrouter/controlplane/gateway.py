"""A gateway's part in the control plane: what an `ObserverClient` brings, put round the engine.

The policy is served under as with coordination. The list of storage nodes is taken from the control plane as
long as it comes; a gateway that has heard none for `stale_ms`, or missed a change, asks discovery itself.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from dataclasses import asdict
from random import Random
from typing import Any

from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.conversion import item_from
from stackrouter.controlplane.observer import GatewayIdentity, TakeNodes
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.status import GatewayStatus
from stackrouter.coord.policy import Rules
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.core.counters import Counters
from stackrouter.edge.config import Control
from stackrouter.net.discovery import Discovery

TOKEN = 0  # a follower tells publishers apart by it; here there is one stream
LONGEST_WAIT_S = 0.2
SHORTEST_WAIT_S = 0.01


class GatewayControl:
    """`take_policy` makes a version's settings hold here, or raises ConfigError or ValueError."""

    def __init__(self, name: str, control: Control, discovery: Discovery, counters: Counters,
                 take_policy: Callable[[str], None]) -> None:  # fmt: skip
        self.name, self._counters = name, counters
        self._discovery, self._set_policy = discovery, take_policy
        self._follower = Follower(control.stale_ms * 1000)
        self._missed = False  # a change that is not known here: discovery is asked at once
        self._stream_index = -1  # discovery's version, by the last change that the control plane told
        self._items: list[dict[str, Any]] = []  # of a change that comes in pieces
        self.client = ObserverClient(
            GatewayIdentity(name, f"{name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}", control.region),
            [ReplicaAddress(r.name, r.address, r.region) for r in control.replica],
            Rules(control.touch_ms * 1000, control.max_drift_ms * 1000, control.on_loss == "refuse"),
            self, Random(),
        )  # fmt: skip
        self.policy = self.client.policy

    def start(self) -> None:
        """Connect, and let the control plane tell the list."""
        self._discovery.fleet = self
        self.client.start()

    def close(self) -> None:
        """End the connection."""
        self.client.stop()

    def holds_back(self) -> bool:
        """Whether no new request may be taken now: this gateway cannot know what policy is in force."""
        return not self.policy.serves(self.client.clock())

    def not_ready(self) -> str:
        """Why the admin socket may not say that this gateway serves; empty: it may."""
        if self.policy.ready(self.client.clock()):
            return ""
        failed = self.policy.failed
        return (
            f"policy {failed} cannot be taken here" if failed else "no valid heartbeat to the control plane"
        )

    def status(self) -> str:
        """The answer to `control status`."""
        figures, now = self.client.figures(), self.client.clock()
        told = GatewayStatus(
            gateway=self.name, role="gateway", replica=figures.replica, history=figures.position.history,
            position=figures.position.number, serving=figures.serving,
            since_s=round((now - figures.serving_since_us) / 1e6, 1), heartbeat_valid=figures.heartbeat_valid,
            nodes_index=self._follower.index, follows=self._follows(now), bytes_in=figures.bytes_in,
            bytes_out=figures.bytes_out, frames_in=figures.frames_in, frames_out=figures.frames_out,
            connections=figures.connections, hangups=figures.hangups,
        )  # fmt: skip
        return f"SUCCESS {json.dumps(asdict(told), separators=(',', ':'))}"

    # What the client brings (client.Sink).

    def take_policy(self, body: str) -> None:
        self._set_policy(body)
        self._counters.add("policy.taken")

    def take_nodes(self, piece: TakeNodes) -> None:
        if piece.first:
            self._items = []
        self._items += [item_from(node) for node in piece.nodes]
        if piece.last:
            items, self._items = self._items, []
            self._follow(piece.index, piece.whole, items)

    # What discovery asks (net.discovery.Fleet).

    def wait_s(self) -> float:
        """How long discovery need not be asked by this gateway; 0: it is to ask now."""
        now = self.client.clock()
        if not self._follows(now):
            return 0.0
        stale_at = self._follower.stale_at()
        assert stale_at is not None
        return min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, (stale_at - now) / 1e6))

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered this gateway's own call."""
        index = int(listing["index"])
        self._follower.asked(index)
        self._missed = index < self._stream_index  # an older list than the control plane's: ask on

    def _follows(self, now: int) -> bool:
        return not self._missed and self._follower.role(now, acting=False) is Role.FOLLOW

    def _follow(self, index: int, whole: bool, items: list[dict[str, Any]]) -> None:
        base = None if whole else self._stream_index
        self._stream_index = index
        verdict = self._follower.takes(self.client.clock(), TOKEN, base, index)
        self._missed = self._missed or verdict is Verdict.GAP
        if verdict is Verdict.TAKE:
            self._counters.add("control.listings")
            self._hand_over({"index": index, "snapshot": whole, "endpoints": items})

    def _hand_over(self, listing: dict[str, Any]) -> None:
        """The one place where a list goes to the engine."""
        self._discovery.follow(listing)
