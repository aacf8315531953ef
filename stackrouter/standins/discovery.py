"""Discovery on loopback: serves the list of nodes over HTTP, with watches, to any number of gateways."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from gevent.event import Event
from gevent.pywsgi import WSGIServer

Entry = dict[str, Any]


def entry(
    name: str, address: str, shard: int, zone: str, kind: str, status: str = "up", since_ms: int = 0
) -> Entry:
    return {"name": name, "address": address, "zone": zone, "type": kind, "group": shard, "status": status,
            "weight": 1.0, "since_ms": since_ms}  # fmt: skip


class StandinDiscovery:
    """A discovery agent; `address` is where it listens."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.entries = {each["name"]: each for each in entries}
        self.index = 1
        self.calls = 0
        self._changed_at: dict[str, int] = {}
        self._changed_event = Event()
        self._server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0.1)

    def change(self, name: str, **fields: Any) -> None:
        """Change fields of a node's entry, such as `status="draining"`, and wake all watchers."""
        self.entries[name] = {**self.entries[name], **fields}
        self.index += 1
        self._changed_at[name] = self.index
        self._changed_event.set()
        self._changed_event = Event()

    def listing(self) -> dict[str, Any]:
        endpoints = [each for each in self.entries.values() if each["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": endpoints}

    def _answer(self, environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        self.calls += 1
        query = parse_qs(environ.get("QUERY_STRING", ""))
        if environ.get("PATH_INFO") != "/v1/endpoints":
            start("404 Not Found", [("Content-Length", "0")])
            return []
        body = self.listing()
        if "index" in query:
            known, wait_s = int(query["index"][0]), int(query.get("wait", ["0"])[0]) / 1000
            if known >= self.index:
                self._changed_event.wait(wait_s)
            changed = [self.entries[n] for n, at in self._changed_at.items() if at > known]
            body = {"index": self.index, "snapshot": False, "endpoints": changed}
        data = json.dumps(body).encode()
        start("200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]
