"""Agents of discovery on loopback, one for each gateway: lists reach them late and at times not at all."""

from __future__ import annotations

import json
import random
import time
from dataclasses import replace
from typing import Any, Final
from urllib.parse import parse_qs, urlparse

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from stackrouter.soak.records import Notice, Records

Entry = dict[str, Any]
AFTER_HUP_S: Final = 4.0  # what an agent that a SIGHUP names has counts as told so much later
TOLD_S: Final = 6.0  # what a slow agent has counts as told so much later, heard or not
SLOW_S: Final = (0.1, 1.5)  # what a slow agent takes for an answer
FOREVER: Final = float("inf")


class Agent:
    """What one gateway's machine has been sent of the list."""

    def __init__(self, gateway: int, entries: dict[str, Entry], records: Records, seed: int) -> None:
        self.gateway, self.records = gateway, records
        self._rng = random.Random(f"{seed} agent {gateway}")
        self._entries = dict(entries)
        self._version = 1
        self._changed: dict[str, int] = {}
        self._silent_until = self._slow_until = 0.0
        self._late: list[tuple[str, Entry]] = []  # changes that wait for the end of a silence
        self._news = Event()
        self._watch_lost = False  # a watch that was open has fallen silent, and no call has come since
        self._binds_from = 0.0  # notices before this count from then on: a new process, or a SIGHUP
        self._servers = [self._listen()]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._servers[-1].server_port}"

    def _listen(self) -> StreamServer:
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        return server

    def listing(self) -> dict[str, Any]:
        """The whole list as the agent has it."""
        up = [entry for entry in self._entries.values() if entry["status"] != "removed"]
        return {"index": self._version, "snapshot": True, "endpoints": up}

    # --- what happens to it

    def push(self, name: str, entry: Entry) -> None:
        """The agent is sent a change; while it is silent it learns nothing."""
        if time.monotonic() < self._silent_until:
            self._late.append((name, entry))
            return
        self._entries[name] = entry
        self._version += 1
        self._changed[name] = self._version
        self._note(name, entry)
        self._news.set()
        self._news = Event()

    def _note(self, name: str, entry: Entry) -> None:
        notices = self.records.notices.setdefault(self.gateway, [])
        now = time.monotonic()
        if entry["status"] == "up":
            notices[:] = [
                replace(n, until=min(n.until, now)) if n.node == name and n.address == entry["address"] else n
                for n in notices
            ]
            return
        # The last answer of a slow time may be under way; that a watch is silent shows only later.
        late_by_s = TOLD_S if now < self._slow_until + SLOW_S[1] or self._watch_lost else 0.0
        had_at = max(now, self._binds_from)
        notices.append(Notice(name, entry["address"], had_at, FOREVER, late_by_s))

    def silence(self, length_s: float) -> None:
        """Answer nothing; calls made meanwhile are never answered."""
        was_silent = time.monotonic() < self._silent_until
        self._silent_until = max(self._silent_until, time.monotonic() + length_s)
        if not was_silent:
            gevent.spawn(self._return)

    def _return(self) -> None:
        while (left_s := self._silent_until - time.monotonic()) > 0:
            gevent.sleep(left_s)
        late, self._late = self._late, []
        for name, entry in late:
            self.push(name, entry)

    def slow(self, length_s: float) -> None:
        """Take a while for each answer. What is told shortly before and meanwhile counts 6 s later."""
        now = time.monotonic()
        self._slow_until = max(self._slow_until, now + length_s)
        notices = self.records.notices.setdefault(self.gateway, [])
        notices[:] = [replace(n, late_by_s=TOLD_S) if now - n.had_at < TOLD_S else n for n in notices]

    def other_history(self) -> None:
        """Another copy takes over, and counts from elsewhere."""
        self._version = self._rng.choice((1, 3, self._version + 1000))
        self._changed = {}
        self._news.set()
        self._news = Event()

    def process_started(self) -> None:
        """A new process of the gateway: what the agent has counts from its first moment on."""
        self._bind_from(time.monotonic())

    def move(self) -> None:
        """It listens elsewhere; the old place falls silent. Returns before the gateway is told."""
        for server in self._servers:
            server.stop(timeout=0)
        self._servers = [self._listen()]
        self._bind_from(time.monotonic() + AFTER_HUP_S)

    def _bind_from(self, at: float) -> None:
        self._binds_from = at
        notices = self.records.notices.setdefault(self.gateway, [])
        now = time.monotonic()
        notices[:] = [replace(n, had_at=max(n.had_at, at)) if n.until > now else n for n in notices]

    def stop(self) -> None:
        for server in self._servers:
            server.stop(timeout=0)

    # --- calls

    def _serve(self, sock: socket.socket, _: object) -> None:
        try:
            data = b""
            while piece := sock.recv(65536):
                data += piece
                if b"\r\n\r\n" not in data:
                    continue
                path = data.split(b" ", 2)[1].decode()
                data = data.partition(b"\r\n\r\n")[2]
                if not self._answer(sock, path):
                    gevent.sleep(30.0)  # never answered
                    return
        except OSError:
            pass
        finally:
            sock.close()

    def _answer(self, sock: socket.socket, path: str) -> bool:
        query = parse_qs(urlparse(path).query)
        began = time.monotonic()
        if began < self._silent_until:
            return False
        self._watch_lost = False
        index = int(query["index"][0]) if "index" in query else None
        until = began + int(query.get("wait", ["0"])[0]) / 1000
        while index == self._version and (left_s := until - time.monotonic()) > 0:
            self._news.wait(left_s)
        if time.monotonic() < self._slow_until:
            gevent.sleep(self._rng.uniform(*SLOW_S))
        if time.monotonic() < self._silent_until:
            self._watch_lost = True
            return False
        body = json.dumps(self._since(index)).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        return True

    def _since(self, index: int | None) -> dict[str, Any]:
        oldest = min(self._changed.values(), default=self._version)
        if index is None or not oldest - 1 <= index <= self._version:
            return self.listing()  # what has changed since then is not known here
        changed = [self._entries[name] for name, at in self._changed.items() if at > index]
        return {"index": self._version, "snapshot": False, "endpoints": changed}
