"""Connects a gateway's engine to the control plane, through an `ObserverClient`.

Policies are applied as with coordination. The list of storage nodes comes from the control plane while it is
up to date; a gateway that received none for `stale_ms`, or missed a change, queries discovery itself.
"""

from __future__ import annotations

import json
import os
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict
from random import Random
from typing import Any

import gevent
from gevent import Greenlet

from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.conversion import item_from
from stackrouter.controlplane.observer import GatewayIdentity, TakeNodes
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.status import GatewayStatus
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.watch import Follower, Role, Verdict
from stackrouter.core.counters import Counters
from stackrouter.edge.config import Control
from stackrouter.net.discovery import Discovery

PUBLISHER_TOKEN = 0  # identifies the publisher to a follower; here there is only one stream
MAX_WAIT_S = 0.2
MIN_WAIT_S = 0.01
MAX_QUEUED_LISTINGS = 1024  # to deliver to the engine; above it discovery is queried for the whole list


class GatewayControl:
    """The control plane's client in a gateway. `take_policy` applies the settings of a version, or raises
    ConfigError or ValueError."""

    def __init__(self, name: str, control: Control, discovery: Discovery, counters: Counters,
                 take_policy: Callable[[str], None]) -> None:  # fmt: skip
        self.name, self._counters = name, counters
        self._discovery, self._apply_policy = discovery, take_policy
        self._follower = Follower(control.stale_ms * 1000)
        self._missed_change = False  # a change was missed: query discovery now
        self._stream_index = -1  # discovery's version in the last change from the control plane
        self._partial_items: list[dict[str, Any]] = []  # of the change being received in pieces
        self._listings: deque[dict[str, Any]] = deque()  # to deliver to the engine, in order
        self._worker: Greenlet[..., None] | None = None
        self.client = ObserverClient(
            GatewayIdentity(name, f"{name}#{os.getpid():x}.{time.time_ns() & 0xFFFFFFFF:x}", control.region),
            [ReplicaAddress(r.name, r.address, r.region) for r in control.replica],
            HeartbeatRules(control.touch_ms * 1000, control.max_drift_ms * 1000, control.on_loss == "refuse"),
            self, Random(),
        )  # fmt: skip
        self.policy = self.client.policy

    def start(self) -> None:
        """Connect, and take the list of nodes from the control plane."""
        self._discovery.fleet = self
        self.client.start()

    def close(self) -> None:
        """Close the connection."""
        self.client.stop()
        if self._worker is not None:
            self._worker.kill(block=False)

    def refuses_requests(self) -> bool:
        """Whether new requests must be refused: this gateway cannot know which policy is in force."""
        return not self.policy.serves(self.client.clock())

    def not_ready(self) -> str:
        """The reason why the admin socket must not report this gateway as serving; empty: it may."""
        if self.policy.ready(self.client.clock()):
            return ""
        failed = self.policy.failed
        return (
            f"policy {failed} cannot be applied here" if failed else "no valid heartbeat to the control plane"
        )

    def status(self) -> str:
        """The answer to `control status`."""
        figures, now = self.client.figures(), self.client.clock()
        report = GatewayStatus(
            gateway=self.name, role="gateway", replica=figures.replica, history=figures.position.history,
            position=figures.position.number, serving=figures.serving,
            since_s=round((now - figures.serving_since_us) / 1e6, 1), heartbeat_valid=figures.heartbeat_valid,
            nodes_index=self._follower.index, follows=self._follows(now), bytes_in=figures.bytes_in,
            bytes_out=figures.bytes_out, frames_in=figures.frames_in, frames_out=figures.frames_out,
            connections=figures.connections, hangups=figures.hangups,
        )  # fmt: skip
        return f"SUCCESS {json.dumps(asdict(report), separators=(',', ':'))}"

    @property
    def lists_pending(self) -> bool:
        """Whether a received list is not fully delivered to the engine yet."""
        return bool(self._listings) or (self._worker is not None and not self._worker.dead)

    # Methods for the client (client.Sink).

    def take_policy(self, body: str) -> None:
        self._apply_policy(body)
        self._counters.add("policy.taken")

    def take_nodes(self, piece: TakeNodes) -> None:
        if piece.first:
            self._partial_items = []
        self._partial_items += [item_from(node) for node in piece.nodes]
        if piece.last:
            items, self._partial_items = self._partial_items, []
            self._follow(piece.index, piece.whole, items)

    # Methods for discovery (net.discovery.Fleet).

    def wait_s(self) -> float:
        """How long this gateway need not query discovery; 0: query it now."""
        now = self.client.clock()
        if not self._follows(now):
            return 0.0
        stale_at = self._follower.stale_at()
        assert stale_at is not None
        return min(MAX_WAIT_S, max(MIN_WAIT_S, (stale_at - now) / 1e6))

    def listing_received(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered a query of this gateway."""
        index = int(listing["index"])
        self._follower.queried(index)
        self._missed_change = index < self._stream_index  # older than the control plane's list: query again

    def _follows(self, now: int) -> bool:
        return not self._missed_change and self._follower.role(now, acting=False) is Role.FOLLOW

    def _follow(self, index: int, whole: bool, items: list[dict[str, Any]]) -> None:
        base = None if whole else self._stream_index
        self._stream_index = index
        verdict = self._follower.verdict_on(self.client.clock(), PUBLISHER_TOKEN, base, index)
        self._missed_change = self._missed_change or verdict is Verdict.GAP
        if verdict is Verdict.APPLY:
            self._counters.add("control.listings")
            self._queue_listing({"index": index, "snapshot": whole, "endpoints": items})

    def _queue_listing(self, listing: dict[str, Any]) -> None:
        """Queue a list for the engine. A long list is applied in pieces that yield to the event loop, so a
        separate greenlet applies the lists, in order."""
        if len(self._listings) >= MAX_QUEUED_LISTINGS:
            self._listings.clear()
            self._missed_change = True
            return
        self._listings.append(listing)
        if self._worker is None or self._worker.dead:
            self._worker = gevent.spawn(self._deliver_listings)

    def _deliver_listings(self) -> None:
        while self._listings:
            self._discovery.apply_relayed(self._listings.popleft())
