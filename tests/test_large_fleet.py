"""Behaviour that is harmless in one gateway and harmful in a fleet of forty."""

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
from stackrouter.membership.call_scheduler import CallScheduler
from stackrouter.membership.listing import Listing
from stackrouter.net.discovery import Discovery, call_timing
from tests.gateway import MS, SETTINGS, Gateway, S

Call = tuple[float, str | None]  # time, and the version that was asked for


class RefusingDiscovery:
    """A discovery that answers every `accept_every`th call and refuses the others; `calls` records them."""

    def __init__(self, accept_every: int) -> None:
        self.calls: list[Call] = []
        self._accept_every = accept_every
        self._server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self._server.start()
        self.address = ("127.0.0.1", int(self._server.server_port or 0))

    def stop(self) -> None:
        self._server.stop()

    def _answer(self, environ, start):  # type: ignore[no-untyped-def]
        query = parse_qs(urlparse("?" + environ["QUERY_STRING"]).query)
        self.calls.append((time.monotonic(), query.get("index", [None])[0]))
        if len(self.calls) % self._accept_every:
            start("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        body = json.dumps({"index": 7, "snapshot": False, "endpoints": []}).encode()
        start("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class ScriptedDiscovery:
    """A discovery that sends these bodies in turn, b"" for a broken connection, and then only waits."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies_left, self.all_sent = list(bodies), Event()
        self._server = StreamServer(("127.0.0.1", 0), self._answer)
        self._server.start()
        self.address = ("127.0.0.1", int(self._server.server_port or 0))

    def stop(self) -> None:
        self._server.stop()

    def _answer(self, sock: socket.socket, _: object) -> None:
        while sock.recv(4096):
            if not self.bodies_left:
                self.all_sent.set()
                continue
            if not (body := self.bodies_left.pop(0)):
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def whole_list(version: int, *names: str) -> bytes:
    nodes = [{"name": n, "address": "127.0.0.1:1", "group": 0, "status": "up"} for n in names]
    return json.dumps({"index": version, "snapshot": True, "endpoints": nodes}).encode()


class LargeFleet(unittest.TestCase):
    def test_anomalous_and_malformed_lists_are_counted_and_logged_and_the_last_good_list_stays(self) -> None:
        server = ScriptedDiscovery(
            whole_list(1, "a", "b", "c", "a"), b"", b'{"index": 2, "endp', b"[7]", whole_list(3, "a")
        )
        self.addCleanup(server.stop)
        counters, applied = Counters(), list[tuple[int, int]]()

        def apply_list(kind: object, version: int, entries: Sequence[NodeEntry], _: object) -> None:
            applied.append((version, len({e.node for e in entries})))

        discovery = Discovery(server.address, Listing([], [], 0), counters, apply_list, seed=1)
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        with self.assertLogs("stackrouter.net.discovery", "WARNING") as logs:
            self.assertTrue(server.all_sent.wait(10))
        self.assertEqual(applied, [(1, 3), (3, 1)])
        for name, times in (("named_twice", 1), ("shrunk", 1), ("failed", 3), ("answers", 2)):
            self.assertEqual(counters[f"discovery.{name}"], times, name)
        self.assertEqual(len(logs.output), 4)  # the third failure in a row is counted, not logged

    def test_long_list_is_applied_in_pieces_and_the_next_one_as_changes(self) -> None:
        names = [f"s{i}" for i in range(1_000)]
        server = ScriptedDiscovery(whole_list(1, *names), whole_list(2, *names[1:], "new"))
        self.addCleanup(server.stop)
        applied: list[tuple[int, list[tuple[str, NodeState]]]] = []

        def apply_list(kind: object, version: int, entries: Sequence[NodeEntry], _: object) -> None:
            applied.append((version, [(e.node, e.state) for e in entries]))

        discovery = Discovery(server.address, Listing([], [], 0), Counters(), apply_list, seed=1)
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        self.assertTrue(server.all_sent.wait(10))
        self.assertLessEqual(max(len(entries) for _, entries in applied), 256)
        first = [entry for version, entries in applied if version == 1 for entry in entries]
        self.assertEqual(first, [(name, NodeState.READY) for name in names])
        second = [entry for version, entries in applied if version == 2 for entry in entries]
        self.assertEqual(second, [("new", NodeState.READY), ("s0", NodeState.GONE)])

    def test_forty_gateways_try_a_node_that_refuses_connections_rarely_and_spread_out(self) -> None:
        attempt_times: list[int] = []
        gateways = [Gateway(replace(SETTINGS, gateways=40, position=i, seed=i)) for i in range(40)]
        for _ in range(100):
            for g in gateways:
                g.wait(100 * MS)
                g.arrive(time_left_us=S)
                while out := [(t, a) for t, a in g.log if isinstance(a, Send)]:
                    g.log.clear()
                    for t, a in out:
                        attempt_times.append(t)
                        g.answer(a.request, Outcome.CONNECT_FAILED)
                # Requests are not left without an answer.
                self.assertLess(len(g.controller.requests), 15)
        late_times = [t for t in attempt_times if t > 55 * S]
        # Each of the 40 gateways gets a request every 100 ms and tries the node once in 1.2 to 2 s.
        self.assertLess(len(late_times), 40 * 5 / 1.0)
        self.assertLess(max(sum(t <= x < t + 100 * MS for x in late_times) for t in late_times), 20)

    def test_refused_gateway_asks_for_changes_only_with_growing_pauses(self) -> None:
        server = RefusingDiscovery(accept_every=4)
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
        # When refused, it never asks for the whole list, which costs discovery the most.
        self.assertEqual([index for _, index in server.calls[:5]], ["5", "5", "5", "5", "7"])
        waits = [b[0] - a[0] for a, b in zip(server.calls, server.calls[1:4], strict=False)]
        self.assertGreater(waits[2], waits[0])
        self.assertGreaterEqual(counters["discovery.refused"], 3)

    def versions_applied(self, *answers: bytes | None) -> list[int]:
        """The versions applied from a discovery that sends these in turn, None: a reset, and then waits."""
        left, done, applied = list(answers), Event(), list[int]()

        def serve(sock: socket.socket, _: object) -> None:
            while sock.recv(4096):
                if not left:
                    done.set()
                    continue
                answer = left.pop(0)
                sock.sendall(answer or b"")
                if left and left[0] is None:
                    left.pop(0)
                    gevent.sleep(0.005)  # let the client read what was sent first
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                if answer and b"Content-Length" not in answer:
                    return

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        discovery = Discovery(("127.0.0.1", int(server.server_port or 0)), Listing([], [], 0), Counters(),
                              lambda kind, version, entries, addresses: applied.append(version))  # fmt: skip
        greenlet = gevent.spawn(discovery.run)
        self.addCleanup(greenlet.kill)
        self.assertTrue(done.wait(10))
        return applied

    def test_answer_without_a_length_ends_with_the_stream_but_not_with_a_reset(self) -> None:
        """Guards against counting every call whose answer has no length as broken off and never using it."""
        headers_without_length = b"HTTP/1.1 200 OK\r\n\r\n"
        indented = json.dumps(json.loads(whole_list(4, "a")), indent=2).encode()
        applied = self.versions_applied(
            headers_without_length + whole_list(3, "a"),
            headers_without_length + indented,
            headers_without_length + whole_list(5, "a"),
            None,
        )
        self.assertEqual(applied, [3, 4])

    def test_stray_bytes_are_not_taken_for_the_next_calls_answer(self) -> None:
        """Guards against a second answer, some ms late, being taken for the answer to the next call, and from
        then on each answer for that of the call after its own."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        calls: list[bytes] = []
        done, applied, counters = Event(), list[tuple[int, int]](), Counters()

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
                    next_call_due.wait()
                    sock.sendall(head % len(stale) + stale)
                    gevent.sleep(0.02)
                    stale_answer_sent.set()

        next_call_due, stale_answer_sent = Event(), Event()
        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        discovery = Discovery(("127.0.0.1", int(server.server_port or 0)), Listing([], [], 0), counters,
                              lambda kind, version, entries, addresses: applied.append(
                                  (version, counters["discovery.answers"])))  # fmt: skip
        make = discovery._request

        def gated_request(call: Any) -> Any:
            if applied:
                next_call_due.set()
                stale_answer_sent.wait()
            return make(call)

        with mock.patch.object(discovery, "_request", gated_request):
            greenlet = gevent.spawn(discovery.run)
            self.addCleanup(greenlet.kill)
            self.assertTrue(done.wait(10))
        self.assertEqual(applied, [(3, 0), (4, 1)], "no answer may be counted between them")

    def test_first_call_starts_at_once_however_many_gateways_start_together(self) -> None:
        # A change that discovery has counts as known to a gateway that has not called yet. One that delayed
        # its first call to spread the load sent work 370 times to nodes that were draining meanwhile.
        for seed in range(5):
            server = RefusingDiscovery(accept_every=1)
            self.addCleanup(server.stop)
            listing, ignore = Listing([], [], 0), lambda *_: None
            discovery = Discovery(
                server.address, listing, Counters(), ignore, known=5, seed=seed, gateways=200
            )
            started = time.monotonic()
            greenlet = gevent.spawn(discovery.run)
            self.addCleanup(greenlet.kill)
            with gevent.Timeout(10):
                while not server.calls:
                    gevent.sleep(0.005)
            self.assertLess(server.calls[0][0] - started, 0.2, f"seed {seed}")
            self.assertEqual(server.calls[0][1], "5", "changes since the known list only")

    def test_forty_refused_gateways_retry_spread_out_and_in_time(self) -> None:
        """A change counts as known 6 s later even to a gateway that was refused. Guards against pauses of up
        to 5.2 s, one after the other, that exceed this time: within it each gateway has to retry several
        times, spread out from the others."""
        gateways, call_time_s = 40, 0.13  # that discovery needs for a call
        schedulers = [
            CallScheduler(call_timing(gateways), random.Random(seed), 5) for seed in range(gateways)
        ]

        def refuse(scheduler: CallScheduler, now: int) -> float:
            scheduler.refused(scheduler.begin(now), now)
            assert scheduler.due_us is not None
            return (scheduler.due_us - now) / 1e6

        retry_delays_s = sorted(refuse(scheduler, 0) for scheduler in schedulers)
        self.assertLess(
            max(sum(t <= x < t + 0.5 for x in retry_delays_s) for t in retry_delays_s), gateways / 2
        )
        # In the first round they make no more than three times the calls that discovery can answer ...
        self.assertLess(gateways / (sum(retry_delays_s) / gateways), 3 / call_time_s)
        # ... and each has retried four times before what it misses counts as known.
        for scheduler in schedulers:
            for _ in range(3):
                refuse(scheduler, scheduler.due_us or 0)
            assert scheduler.due_us is not None
            self.assertLess(scheduler.due_us, 5_500_000)


if __name__ == "__main__":
    unittest.main()
