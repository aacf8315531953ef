"""The list of storage nodes, watched over HTTP."""

from __future__ import annotations

import json
import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from rackseam.interface import ListKind, NodeEntry, NodeState
from stackrouter.core.counters import Counters
from stackrouter.net.backoff import Backoff

log = logging.getLogger(__name__)

WAIT_MS = 2000  # how long a watch may stay silent. Short: what is told is taken as known 2 s after it
# ... and how much longer its answer may take before the connection is given up. Long: a call that waits its
# turn behind those of many gateways and is given up costs discovery as much as one that is answered.
ANSWER_S = 2.5
RETRY_S = 0.1  # rest after a failed call: within the 200 ms in which a watch goes on
# Calls a second that all gateways together make when they come back after being turned away: what is asked
# beyond discovery's pace is turned away late, and delays all others by a turn.
CALLS_S = 10.0
REFUSED_MOST_S = 8.0  # most that calls that are turned away are apart
LOST_MOST_S = (
    1.0  # most that calls are apart that fail otherwise: such a call has already waited, or costs little
)
REFUSALS = frozenset({429, 503})
LARGEST = 4 << 20
STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}

Told = Callable[[ListKind, int, Sequence[NodeEntry], dict[str, tuple[str, int]]], None]


class Fleet(Protocol):
    """Other gateways, one of which asks discovery for all (coord.member); without it each asks for itself."""

    def wait_s(self) -> float:
        """How long this gateway need not ask; 0: it is to ask now."""

    def told(self, base: int | None, listing: dict[str, Any]) -> None:
        """Discovery answered: what changed after version `base`, None: the whole list."""


class Listing:
    """Turns discovery's JSON into the module's words."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str], now_us: int) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        # Mapped once: a wall clock that is set later must not make old nodes look cold.
        self._offset_us = now_us - time.time_ns() // 1000

    def read(self, raw: Any) -> tuple[int, bool, list[NodeEntry], dict[str, tuple[str, int]]]:
        """Version, whether it is the whole list, entries and addresses; what is malformed raises."""
        entries, addresses = [], {}
        for item in raw.get("endpoints") or ():
            host, _, port = item["address"].rpartition(":")
            since = item.get("since_ms") or 0
            addresses[item["name"]] = (host, int(port))
            entries.append(
                NodeEntry(
                    node=item["name"],
                    shard=int(item["group"]),
                    state=STATES[item["status"]],
                    zone=self._zones.get(item.get("zone"), 0),
                    kind=self._kinds.get(item.get("type"), 0),
                    rating=float(item.get("weight", 1.0)),
                    launched_us=max(0, int(since) * 1000 + self._offset_us) if since else 0,
                )
            )
        return int(raw["index"]), bool(raw.get("snapshot")), entries, addresses


class RefusedError(Exception):
    """Discovery is there and turned the call away: it has too many."""


class _Response:
    def __init__(self) -> None:
        self.body, self.whole = bytearray(), False

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > LARGEST:
            raise ValueError("discovery's answer is too long")

    def on_message_complete(self) -> None:
        self.whole = True


class Discovery:
    def __init__(self, address: tuple[str, int], listing: Listing, counters: Counters, told: Told,
                 known: int | None = None, seed: int = 0, gateways: int = 1) -> None:  # fmt: skip
        self.address, self.listing, self.counters, self.told = address, listing, counters, told
        apart_s, rng = min(REFUSED_MOST_S, max(RETRY_S, gateways / CALLS_S)), random.Random(seed)
        self._backoff = Backoff(apart_s, REFUSED_MOST_S, rng)
        self._lost = Backoff(RETRY_S, LOST_MOST_S, rng)
        self._size = 0  # nodes in the last whole list
        self._sock: socket.socket | None = None
        self._index = known  # the version that the gateway has; None: the next call fetches the whole list
        self._moved = Event()
        self.fleet: Fleet | None = None

    def follow(self, raw: dict[str, Any]) -> None:
        """Another gateway hands on what discovery told it. Not taken before this one has a list of its own
        that counts: the answer to its own call is on its way then."""
        if self._index is not None:
            self._take(raw)

    def refetch(self) -> None:
        self._index = None

    def move(self, address: tuple[str, int]) -> None:
        """Ask there from now on: the pending watch is broken off and the whole list fetched at once."""
        self.address = address
        self._index = None
        self._moved.set()
        self._hang_up()

    def run(self) -> None:
        # The first call goes at once, also where many gateways start together: what discovery has counts
        # as told to a gateway that did not ask, and a node drained meanwhile would still be sent work.
        # Only calls that are turned away are spread.
        while True:
            fleet = self.fleet
            if fleet is not None and self._index is not None and (pause_s := fleet.wait_s()) > 0:
                self._moved.wait(pause_s)
                continue
            try:
                self._call()
            except RefusedError as error:
                # No silence: discovery still knows the version, and what is new comes with the next answer.
                # The whole list would cost it more, and every gateway would ask for it at once.
                self.counters.add("discovery.refused")
                log.info("discovery: %s", error)
                self._moved.wait(self._backoff.refused())
            except Exception as error:  # whatever it sends, the gateway goes on with the list it has
                if self._moved.is_set():
                    continue  # its watch was broken off
                self.counters.add("discovery.failed")
                log.warning("discovery: %s", error)
                self._hang_up()
                # After silence nobody knows what was missed.
                self._index = None
                self._moved.wait(self._lost.refused())

    def _call(self) -> None:
        self._moved.clear()
        index = self._index
        query = "" if index is None else f"?index={index}&wait={WAIT_MS}"
        raw = json.loads(self._get(f"/v1/endpoints{query}", ANSWER_S + (WAIT_MS / 1000 if query else 0)))
        if self._moved.is_set():
            return  # the old address's answer: its version means nothing at the new one
        if index is None or self._index is None or int(raw["index"]) >= self._index:
            self._take(raw)  # else: what another gateway handed on meanwhile is newer
        self._backoff.answered()
        self._lost.answered()
        self.counters.add("discovery.answers")
        if self.fleet is not None:
            self.fleet.told(None if raw.get("snapshot") else index, raw)

    def _take(self, raw: dict[str, Any]) -> None:
        version, whole, entries, addresses = self.listing.read(raw)
        self._doubt(version, whole, len(entries), len(addresses))
        if whole or entries:
            self.told(ListKind.FULL if whole else ListKind.DELTA, version, entries, addresses)
        self._index = version

    def _doubt(self, version: int, whole: bool, entries: int, nodes: int) -> None:
        """What is odd is said, counted and believed: a node told to be gone must get nothing new."""
        if nodes < entries:
            self.counters.add("discovery.named_twice")
            log.warning("discovery: version %d names nodes twice, the last entry counts", version)
        if whole and nodes * 2 < self._size:
            self.counters.add("discovery.shrunk")
            log.warning("discovery: version %d names %d nodes, %d before", version, nodes, self._size)
        self._size = nodes if whole else self._size

    def _get(self, path: str, within_s: float) -> bytes:
        with gevent.Timeout(within_s, TimeoutError("discovery is silent")):
            sock = self._sock
            if sock is None:
                sock = self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.connect(self.address)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            host = f"{self.address[0]}:{self.address[1]}"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
            response = _Response()
            parser = httptools.HttpResponseParser(response)
            while not response.whole:
                data = sock.recv(65536)
                if not data:
                    raise ConnectionResetError("discovery ended the connection")
                parser.feed_data(data)
            if not parser.should_keep_alive():
                self._hang_up()
            status = parser.get_status_code()
            if status in REFUSALS:
                raise RefusedError(f"turned away with {status}")
            if status != 200:
                raise ValueError(f"discovery answered {status}")
            return bytes(response.body)

    def _hang_up(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
