"""The list of storage nodes, watched over HTTP. When what is asked is decided in membership.asking."""

from __future__ import annotations

import json
import logging
import random
import select
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import httptools
from gevent import socket
from gevent.event import Event

from rackseam.interface import ListKind, NodeEntry, NodeState
from stackrouter.core.counters import Counters
from stackrouter.errors import (
    DiscoveryError,
    NamedTwiceError,
    NoListError,
    ShrunkError,
    SilentError,
    TurnedAwayError,
    UnreachableError,
    defect,
    tell,
)
from stackrouter.membership.asking import Asking, Call, Pace, Verdict
from stackrouter.net.list_taker import ListTaker, Told, let_others_run

log = logging.getLogger(__name__)

WAIT_US = 2_000_000  # how long a watch may stay silent. Short: what is told is taken as known 2 s after it
# Where lists are asked for: how long an answer may take before the connection is given up. Long: a call that
# waits its turn behind those of many and is given up costs discovery as much as one that is answered.
ANSWER_US = 2_500_000
WATCH_US = 1_200_000  # ... after a watch's wait: discovery holds it then, and it waits behind none
LEAST_US = 800_000  # ... and at least, where calls before it have used up the time that news may take
LOST_US = 100_000  # rest after a failed call: within the 200 ms in which a watch goes on
LOST_MOST_US = 1_000_000  # ... which has already waited, or costs little
# Where lists are pushed, the agent on this machine answers at once and at no cost. After an outage a drain
# that it has counts as told, and binds within the drain grace (250 ms): a call and a rest take less.
AGENT_US, AGENT_LOST_US = 120_000, 80_000
AGENT_WATCH_US = 500_000  # a watch's answer after its wait: late where this machine is busy
AGENT_BODY_US = 1_000_000  # the rest of an answer: a long list on a busy machine
AGENT_REFUSED_MOST_US = 500_000  # the agent serves this gateway alone: who comes again delays nobody
# Calls a second that all gateways together make when they come back after being turned away: what is asked
# beyond discovery's pace is turned away late, and delays all others by a turn.
CALLS_S = 10.0
REFUSED_MOST_US = 5_200_000  # what discovery has counts as told 6 s later, heard or not
REFUSALS = frozenset({429, 503})
LARGEST_ANSWER_BYTES = 4 << 20  # a whole list of about 30,000 nodes (2.35 MB at 17,000)
READ_AT_ONCE = 256  # entries of an answer that are read before other greenlets may run
STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}

Read = tuple[int, bool, list[NodeEntry], dict[str, tuple[str, int]]]  # as Listing.read has it


def pace(gateways: int, pushed: bool = False) -> Pace:
    """As many gateways as there are come back after being turned away, on the mean, `CALLS_S` calls a second
    together: waits are drawn between half of the longest and the longest."""
    apart_us = round(gateways / CALLS_S * 1e6 * 4 / 3)
    refused_us = min(REFUSED_MOST_US, max(LOST_US, apart_us))
    turned_away = refused_us, REFUSED_MOST_US
    if pushed:
        agent = AGENT_WATCH_US, AGENT_US, AGENT_US, AGENT_BODY_US, AGENT_LOST_US, AGENT_LOST_US
        return Pace(WAIT_US, *agent, AGENT_LOST_US, AGENT_REFUSED_MOST_US, pushed=True)
    return Pace(WAIT_US, WATCH_US, ANSWER_US, LEAST_US, 0, LOST_US, LOST_MOST_US, *turned_away)


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

    def read(self, raw: Any, pause: Callable[[], None] | None = None) -> Read:
        """Version, whether it is the whole list, entries and addresses; what is malformed raises.

        `pause` is called after each `READ_AT_ONCE` entries.
        """
        entries, addresses = [], {}
        for number, item in enumerate(raw.get("endpoints") or ()):
            if pause is not None and number and not number % READ_AT_ONCE:
                pause()
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


class _Response:
    def __init__(self) -> None:
        self.body, self.whole = bytearray(), False
        self.headed = self.framed = False  # all headers are there; they say where the body ends

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > LARGEST_ANSWER_BYTES:
            raise NoListError("the answer is too long")

    def on_message_complete(self) -> None:
        self.whole = True


class Discovery:
    def __init__(self, address: tuple[str, int], listing: Listing, counters: Counters, told: Told,
                 known: int | None = None, seed: int = 0, gateways: int = 1,
                 pushed: bool = False) -> None:  # fmt: skip
        self.address, self.listing, self.counters = address, listing, counters
        self.lists = ListTaker(told)
        self.asking = Asking(pace(gateways, pushed), random.Random(seed), known)
        self._size = 0  # nodes in the last whole list
        self._failures = 0  # in a row
        self._sock: socket.socket | None = None
        self._moved = Event()
        self.fleet: Fleet | None = None

    def follow(self, raw: dict[str, Any]) -> None:
        """Another gateway hands on what discovery told it."""
        read = self.listing.read(raw, let_others_run)
        if self.asking.follows(read[0]):
            self._take(*read)

    def refetch(self) -> None:
        self.asking.refetch()

    def move(self, address: tuple[str, int]) -> None:
        """Ask there from now on: the pending watch is broken off and the whole list fetched at once."""
        self.address = address
        self.asking.moved(_now_us())
        self._moved.set()
        self._hang_up()

    def run(self) -> None:
        while True:
            if (due_us := self.asking.due_us) is not None and (left_us := due_us - _now_us()) > 0:
                self._moved.clear()
                self._moved.wait(left_us / 1e6)
                continue
            fleet = self.fleet
            if fleet is not None and self.asking.index is not None and (pause_s := fleet.wait_s()) > 0:
                self._moved.clear()
                self._moved.wait(pause_s)
                continue
            call = self.asking.begin(_now_us())
            try:
                raw = self._make(call)
                read = self.listing.read(raw, let_others_run)
            except TurnedAwayError as error:
                self.counters.add("discovery.refused")
                tell(log, error, level=logging.INFO)
                self.asking.refused(call, _now_us())
            except Exception as error:  # whatever it sends, the gateway goes on with the list it has
                if not self.asking.failed(call, _now_us()):
                    continue  # its watch was broken off
                self.counters.add("discovery.failed")
                self._failures += 1
                if not self._failures & (self._failures - 1):  # 1, 2, 4, ...: an outage must not fill the log
                    tell(log, _what(error, self.address), f"discovery, {self._failures} in a row")
                self._hang_up()
            else:
                try:
                    self._answered(call, raw, read)
                except Exception:  # no fault of discovery's, and no reason to watch no more
                    self.counters.add("errors.discovery")
                    defect(log, "a list that was told")

    def _make(self, call: Call) -> Any:
        """The answer's JSON."""
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_us // 1000}"
        return json.loads(self._get(f"/v1/endpoints{query}", call))

    def _answered(self, call: Call, raw: dict[str, Any], read: Read) -> None:
        verdict = self.asking.answered(call, _now_us(), read[0])
        if verdict is Verdict.VOID:
            return  # the old address's answer: its version means nothing at the new one
        if verdict is Verdict.TAKE:
            self._take(*read)
        self.counters.add("discovery.answers")
        self._failures = 0
        if self.fleet is not None:
            self.fleet.told(None if read[1] else call.index, raw)

    def _take(self, version: int, whole: bool, entries: list[NodeEntry],
              addresses: dict[str, tuple[str, int]]) -> None:  # fmt: skip
        self._doubt(version, whole, len(entries), len(addresses))
        if whole or entries:
            self.lists.take(ListKind.FULL if whole else ListKind.DELTA, version, entries, addresses)

    def _doubt(self, version: int, whole: bool, entries: int, nodes: int) -> None:
        """What is odd is said, counted and believed: a node told to be gone must get nothing new."""
        if nodes < entries:
            self.counters.add("discovery.named_twice")
            tell(
                log,
                NamedTwiceError(f"version {version} names nodes twice, the last entry counts"),
                "discovery",
            )
        if whole and nodes * 2 < self._size:
            self.counters.add("discovery.shrunk")
            tell(log, ShrunkError(f"version {version} names {nodes} nodes, {self._size} before"), "discovery")
        self._size = nodes if whole else self._size

    def _get(self, path: str, call: Call) -> bytes:
        host, until_us = "{}:{}".format(*self.address), call.until_us
        sock = self._sock
        if sock is not None and not _quiet(sock):
            # Its end, or bytes that belong to no call: each answer would be taken for the call's after it.
            self._hang_up()
            sock = None
        if sock is None:
            sock = self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.settimeout(_left_s(until_us))
            sock.connect(self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(_left_s(until_us))
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode())
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        while not response.whole:
            sock.settimeout(_left_s(until_us))
            data = sock.recv(65536)
            if not data:
                if response.headed and not response.framed:
                    break  # the end of the stream is the body's end; a reset is none
                raise UnreachableError("the connection ended", address=host)
            if until_us == call.until_us:
                until_us = self.asking.heard(call, _now_us())
            parser.feed_data(data)
        if not response.whole or not parser.should_keep_alive():
            self._hang_up()
        status = parser.get_status_code()
        if status in REFUSALS:
            raise TurnedAwayError(f"turned away with {status}", address=host)
        if status != 200:
            raise NoListError(f"answered {status}", address=host)
        return bytes(response.body)

    def _hang_up(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _quiet(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


def _now_us() -> int:
    return time.monotonic_ns() // 1000


def _left_s(until_us: int) -> float:
    """What is left of a call's time; TimeoutError: nothing."""
    if (left_us := until_us - _now_us()) <= 0:
        raise TimeoutError
    return left_us / 1e6


def _what(error: Exception, address: tuple[str, int]) -> DiscoveryError:
    """What went wrong with a call, in the operators' words."""
    place = "{}:{}".format(*address)
    match error:
        case DiscoveryError():
            return error
        case TimeoutError():
            return SilentError("discovery is silent", address=place)
        case OSError():
            return UnreachableError(error, address=place)
        case _:
            return NoListError(f"{type(error).__name__}: {error}", address=place)
