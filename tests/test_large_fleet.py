"""What is harmless from one gateway and hurts from forty."""

from __future__ import annotations

import json
import random
import time
import unittest
from urllib.parse import parse_qs, urlparse

import gevent
from gevent.pywsgi import WSGIServer

from stackrouter.core.counters import Counters
from stackrouter.net.backoff import Backoff
from stackrouter.net.discovery import CALLS_S, Discovery, Listing

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


class LargeFleet(unittest.TestCase):
    def test_a_gateway_that_discovery_turns_away_asks_for_changes_only_and_ever_rarer(self) -> None:
        server = Overbooked(takes=4)
        self.addCleanup(server.stop)
        counters = Counters()
        discovery = Discovery(
            server.address, Listing([], [], 0), counters, lambda *_: None, known=5, seed=1, gateways=2
        )
        discovery.first_s = 0.0
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

    def test_forty_gateways_that_start_together_do_not_all_ask_at_once(self) -> None:
        address, listing, counters = ("127.0.0.1", 1), Listing([], [], 0), Counters()
        first = sorted(
            Discovery(address, listing, counters, lambda *_: None, seed=seed, gateways=40).first_s
            for seed in range(40)
        )
        # 0.13 s a call at discovery and 2 s of queue: 7.7 a second are served, 15 may wait.
        self.assertLess(max(sum(t <= x < t + 1 for x in first) for t in first), 7.7 + 15)
        self.assertLess(first[-1], 4.0)
        alone = Discovery(address, listing, counters, lambda *_: None, seed=1, gateways=4)
        self.assertLess(alone.first_s, 0.5)

    def test_forty_gateways_turned_away_at_once_come_back_apart_and_slower(self) -> None:
        gateways, took_s = 40, 0.13  # a call's turn at discovery
        waits = [Backoff(gateways / CALLS_S, 8.0, random.Random(seed)) for seed in range(gateways)]
        back = sorted(w.refused() for w in waits)
        self.assertLess(max(sum(t <= x < t + 0.5 for x in back) for t in back), gateways / 3)
        again = [w.refused() for w in waits]
        self.assertLess(gateways / (sum(again) / gateways), 1.5 / took_s)
        waits[0].answered()
        self.assertLessEqual(waits[0].refused(), 1.5 * gateways / CALLS_S)


if __name__ == "__main__":
    unittest.main()
