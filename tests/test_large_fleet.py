"""What is harmless from one gateway and hurts from forty."""

from __future__ import annotations

import json
import random
import struct
import time
import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlparse

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from rackseam.interface import NodeEntry, NodeState, Outcome, Send
from stackrouter.core.counters import Counters
from stackrouter.membership.asking import CallScheduler
from stackrouter.membership.listing import Listing
from stackrouter.net.discovery import Discovery, call_timing
from tests.gateway import MS, SETTINGS, Gateway, S

Call = tuple[float, str | None]  # when, and the version that was asked for


class Overbooked:
    """A discovery that turns away all calls but every `takes`th; `calls` is what it was asked."""

    def __init__(self, takes: int) -> None:
        self.calls: list[Call] = []
        self._takes = takes
        self._server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self._server.start()
        self.address = ("127.0.0.1", int(self._server.server_port or 0))

    def stop(self) -> None:
        self._server.stop()

    def _answer(self, environ, start):  # type: ignore[no-untyped-def]
        query = parse_qs(urlparse("?" + environ["QUERY_STRING"]).query)
        self.calls.append((time.monotonic(), query.get("index", [None])[0]))
        if len(self.calls) % self._takes:
            start("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        body = json.dumps({"index": 7, "snapshot": False, "endpoints": []}).encode()
        start("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class Scripted:
    """A discovery that gives these bodies in turn, b"" for a broken connection, and then only waits."""

    def __init__(self, *bodies: bytes) -> None:
        self.left, self.last = list(bodies), Event()
        self._server = StreamServer(("127.0.0.1", 0), self._answer)
        self._server.start()
        self.address = ("127.0.0.1", int(self._server.server_port or 0))

    def stop(self) -> None:
        self._server.stop()

    def _answer(self, sock: socket.socket, _: object) -> None:
        while sock.recv(4096):
            if not self.left:
                self.last.set()
                continue
            if not (body := self.left.pop(0)):
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def whole_list(version: int, *names: str) -> bytes:
    nodes = [{"name": n, "address": "127.0.0.1:1", "group": 0, "status": "up"} for n in names]
    return json.dumps({"index": version, "snapshot": True, "endpoints": nodes}).encode()


class LargeFleet(unittest.TestCase):
    def test_odd_and_garbled_lists_are_counted_said_once_each_and_the_last_good_one_stays(self) -> None:
        server = Scripted(
            whole_list(1, "a", "b", "c", "a"), b"", b'{"index": 2, "endp', b"[7]", whole_list(3, "a")
        )
        self.addCleanup(server.stop)
        counters, told = Counters(), list[tuple[int, int]]()

        def tell(kind: object, version: int, entries: Sequence[NodeEntry], _: object) -> None:
            told.append((version, len({e.node for e in entries})))

        discovery = Discovery(server.address, Listing([], [], 0), counters, tell, seed=1)
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        with self.assertLogs("stackrouter.net.discovery", "WARNING") as logs:
            self.assertTrue(server.last.wait(10))
        self.assertEqual(told, [(1, 3), (3, 1)])
        for name, times in (("named_twice", 1), ("shrunk", 1), ("failed", 3), ("answers", 2)):
            self.assertEqual(counters[f"discovery.{name}"], times, name)
        self.assertEqual(len(logs.output), 4)  # the third failure in a row is counted, not said

    def test_a_long_list_reaches_the_engine_in_pieces_and_the_next_one_as_what_it_changes(self) -> None:
        names = [f"s{i}" for i in range(1_000)]
        server = Scripted(whole_list(1, *names), whole_list(2, *names[1:], "new"))
        self.addCleanup(server.stop)
        told: list[tuple[int, list[tuple[str, NodeState]]]] = []

        def tell(kind: object, version: int, entries: Sequence[NodeEntry], _: object) -> None:
            told.append((version, [(e.node, e.state) for e in entries]))

        discovery = Discovery(server.address, Listing([], [], 0), Counters(), tell, seed=1)
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        self.assertTrue(server.last.wait(10))
        self.assertLessEqual(max(len(entries) for _, entries in told), 256)
        first = [entry for version, entries in told if version == 1 for entry in entries]
        self.assertEqual(first, [(name, NodeState.READY) for name in names])
        second = [entry for version, entries in told if version == 2 for entry in entries]
        self.assertEqual(second, [("new", NodeState.READY), ("s0", NodeState.GONE)])

    def test_forty_gateways_try_a_node_that_refuses_connections_rarely_and_never_together(self) -> None:
        tries: list[int] = []
        gateways = [Gateway(replace(SETTINGS, gateways=40, position=i, seed=i)) for i in range(40)]
        for _ in range(100):
            for g in gateways:
                g.wait(100 * MS)
                g.ask(grace_us=S)
                while out := [(t, a) for t, a in g.log if isinstance(a, Send)]:
                    g.log.clear()
                    for t, a in out:
                        tries.append(t)
                        g.answer(a.request, Outcome.CONNECT_FAILED)
                # None is left without its answer.
                self.assertLess(len(g.controller.requests), 15)
        late = [t for t in tries if t > 55 * S]
        # 40 requests each come every 100 ms; a gateway tries once in 1.2 to 2 s.
        self.assertLess(len(late), 40 * 5 / 1.0)
        self.assertLess(max(sum(t <= x < t + 100 * MS for x in late) for t in late), 20)

    def test_a_gateway_that_discovery_turns_away_asks_for_changes_only_and_ever_rarer(self) -> None:
        server = Overbooked(takes=4)
        self.addCleanup(server.stop)
        counters = Counters()
        discovery = Discovery(
            server.address, Listing([], [], 0), counters, lambda *_: None, known=5, seed=1, gateways=2
        )
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        with gevent.Timeout(10):
            while len(server.calls) < 5:
                gevent.sleep(0.01)
        # Turned away, it never asked for the whole list, which costs discovery the most.
        self.assertEqual([index for _, index in server.calls[:5]], ["5", "5", "5", "5", "7"])
        waits = [b[0] - a[0] for a, b in zip(server.calls, server.calls[1:4], strict=False)]
        self.assertGreater(waits[2], waits[0])
        self.assertGreaterEqual(counters["discovery.refused"], 3)

    def told_of(self, *answers: bytes | None) -> list[int]:
        """The versions told by a discovery that writes these in turn, None: a reset, and then waits."""
        left, done, told = list(answers), Event(), list[int]()

        def serve(sock: socket.socket, _: object) -> None:
            while sock.recv(4096):
                if not left:
                    done.set()
                    continue
                answer = left.pop(0)
                sock.sendall(answer or b"")
                if left and left[0] is None:
                    left.pop(0)
                    gevent.sleep(0.005)  # what was written is read first
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if answer and b"Content-Length" not in answer:
                    return

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        discovery = Discovery(("127.0.0.1", int(server.server_port or 0)), Listing([], [], 0), Counters(),
                              lambda kind, version, entries, addresses: told.append(version))  # fmt: skip
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        self.assertTrue(done.wait(10))
        return told

    def test_an_answer_without_a_length_ends_with_the_stream_and_not_with_a_reset(self) -> None:
        """It was never taken: every one of its calls counted as broken off."""
        bare = b"HTTP/1.1 200 OK\r\n\r\n"
        indented = json.dumps(json.loads(whole_list(4, "a")), indent=2).encode()
        told = self.told_of(bare + whole_list(3, "a"), bare + indented, bare + whole_list(5, "a"), None)
        self.assertEqual(told, [3, 4])

    def test_bytes_that_belong_to_no_call_are_not_taken_for_the_next_ones_answer(self) -> None:
        """A second answer some ms late was, and each answer then for the call after its own."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        calls: list[bytes] = []
        done, told, counters = Event(), list[tuple[int, int]](), Counters()

        def serve(sock: socket.socket, _: object) -> None:
            while data := sock.recv(4096):
                calls.append(data)
                if len(calls) > 2:
                    done.set()
                    continue
                body = whole_list(len(calls) + 2, "a")
                sock.sendall(head % len(body) + body)
                if len(calls) == 1:
                    stale = whole_list(1, "gone")
                    discovery_at_rest.wait()
                    sock.sendall(head % len(stale) + stale)
                    gevent.sleep(0.02)
                    go_on.set()

        discovery_at_rest, go_on = Event(), Event()
        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        discovery = Discovery(("127.0.0.1", int(server.server_port or 0)), Listing([], [], 0), counters,
                              lambda kind, version, entries, addresses: told.append(
                                  (version, counters["discovery.answers"])))  # fmt: skip
        make = discovery._request

        def gated(call: Any) -> Any:
            if told:
                discovery_at_rest.set()
                go_on.wait()
            return make(call)

        with mock.patch.object(discovery, "_request", gated):
            greenlet = gevent.spawn(discovery.run)
            self.addCleanup(greenlet.kill)
            self.assertTrue(done.wait(10))
        self.assertEqual(told, [(3, 0), (4, 1)], "and none was counted between them")

    def test_the_first_call_goes_at_once_however_many_gateways_start_together(self) -> None:
        # A change that discovery has counts as told to a gateway that has not asked yet: one that waited to
        # spread its first call sent work to nodes that were draining meanwhile (herd+mass, 370 times).
        for seed in range(5):
            server = Overbooked(takes=1)
            self.addCleanup(server.stop)
            listing, told = Listing([], [], 0), lambda *_: None
            discovery = Discovery(server.address, listing, Counters(), told, known=5, seed=seed, gateways=200)
            started = time.monotonic()
            greenlet = gevent.spawn(discovery.run)
            self.addCleanup(greenlet.kill)
            with gevent.Timeout(10):
                while not server.calls:
                    gevent.sleep(0.005)
            self.assertLess(server.calls[0][0] - started, 0.2, f"seed {seed}")
            self.assertEqual(server.calls[0][1], "5", "changes since the known list only")

    def test_forty_gateways_turned_away_at_once_come_back_apart_and_within_the_clock(self) -> None:
        """What discovery has counts as told 6 s later, also to one that it turned away: waits of up to 5.2 s,
        one behind the other, passed that. Within it they come apart, each several times."""
        gateways, took_s = 40, 0.13  # a call's turn at discovery
        asking = [CallScheduler(call_timing(gateways), random.Random(seed), 5) for seed in range(gateways)]

        def refused(one: CallScheduler, now: int) -> float:
            one.refused(one.begin(now), now)
            assert one.due_us is not None
            return (one.due_us - now) / 1e6

        back = sorted(refused(one, 0) for one in asking)
        self.assertLess(max(sum(t <= x < t + 0.5 for x in back) for t in back), gateways / 2)
        # The first time round they ask for no more than three times what discovery can answer ...
        self.assertLess(gateways / (sum(back) / gateways), 3 / took_s)
        # ... and each comes four times before what it misses counts as told.
        for one in asking:
            for _ in range(3):
                refused(one, one.due_us or 0)
            assert one.due_us is not None
            self.assertLess(one.due_us, 5_500_000)


if __name__ == "__main__":
    unittest.main()
