"""Stand-in discovery agents on loopback, one per gateway, that deliver lists late or not at all."""

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
AFTER_HUP_S: Final = 4.0  # notices count this much later at an agent that a SIGHUP has just moved
SLOW_NOTICE_S: Final = 6.0  # notices of a slow agent count this much later, delivered or not
SLOW_RESPONSE_S: Final = (0.1, 1.5)  # response time range of a slow agent
FOREVER: Final = float("inf")


class Agent:
    """The discovery agent on one gateway's machine, with the part of the list that has reached it."""

    def __init__(self, gateway: int, entries: dict[str, Entry], records: Records, seed: int) -> None:
        self.gateway, self.records = gateway, records
        self._rng = random.Random(f"{seed} agent {gateway}")
        self._entries = dict(entries)
        self._version = 1
        self._changed: dict[str, int] = {}
        self._silent_until = self._slow_until = 0.0
        self._deferred: list[tuple[str, Entry]] = []  # changes deferred until a silence ends
        self._changed_event = Event()
        self._watch_lost = False  # an open watch went unanswered, and no call has come since
        self._notified_from = (
            0.0  # notices count from this time at the earliest, set by a new process or SIGHUP
        )
        self._servers = [self._listen()]

    @property
    def address(self) -> str:
        """The current address, as host:port."""
        return f"127.0.0.1:{self._servers[-1].server_port}"

    def _listen(self) -> StreamServer:
        server = StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        return server

    def listing(self) -> dict[str, Any]:
        """The whole list as the agent currently holds it."""
        up = [entry for entry in self._entries.values() if entry["status"] != "removed"]
        return {"index": self._version, "snapshot": True, "endpoints": up}

    # --- changes and faults

    def push(self, name: str, entry: Entry) -> None:
        """Delivers a change to the agent; during a silence it is deferred until the silence ends."""
        if time.monotonic() < self._silent_until:
            self._deferred.append((name, entry))
            return
        self._entries[name] = entry
        self._version += 1
        self._changed[name] = self._version
        self._note(name, entry)
        self._changed_event.set()
        self._changed_event = Event()

    def _note(self, name: str, entry: Entry) -> None:
        notices = self.records.notices.setdefault(self.gateway, [])
        now = time.monotonic()
        if entry["status"] == "up":
            notices[:] = [
                replace(n, until=min(n.until, now)) if n.node == name and n.address == entry["address"] else n
                for n in notices
            ]
            return
        # The last slow response may still be in flight, and the gateway detects a silent watch only later.
        late_by_s = SLOW_NOTICE_S if now < self._slow_until + SLOW_RESPONSE_S[1] or self._watch_lost else 0.0
        notified_at = max(now, self._notified_from)
        notices.append(Notice(name, entry["address"], notified_at, FOREVER, late_by_s))

    def silence(self, duration_s: float) -> None:
        """Stops answering for a while; calls made in that time are never answered."""
        was_silent = time.monotonic() < self._silent_until
        self._silent_until = max(self._silent_until, time.monotonic() + duration_s)
        if not was_silent:
            gevent.spawn(self._end_silence)

    def _end_silence(self) -> None:
        while (left_s := self._silent_until - time.monotonic()) > 0:
            gevent.sleep(left_s)
        deferred, self._deferred = self._deferred, []
        for name, entry in deferred:
            self.push(name, entry)

    def slow(self, duration_s: float) -> None:
        """Delays each response for a while. Notices from the last 6 s, and new ones, count 6 s later."""
        now = time.monotonic()
        self._slow_until = max(self._slow_until, now + duration_s)
        notices = self.records.notices.setdefault(self.gateway, [])
        notices[:] = [
            replace(n, late_by_s=SLOW_NOTICE_S) if now - n.notified_at < SLOW_NOTICE_S else n for n in notices
        ]

    def renumber(self) -> None:
        """Another discovery replica takes over, with an unrelated version number."""
        self._version = self._rng.choice((1, 3, self._version + 1000))
        self._changed = {}
        self._changed_event.set()
        self._changed_event = Event()

    def process_started(self) -> None:
        """The gateway's process was restarted: the agent's notices count from its start."""
        self._count_from(time.monotonic())

    def move(self) -> None:
        """Listens on a new address and closes the old one. The caller then notifies the gateway."""
        for server in self._servers:
            server.stop(timeout=0)
        self._servers = [self._listen()]
        self._count_from(time.monotonic() + AFTER_HUP_S)

    def _count_from(self, at: float) -> None:
        """Notices that still apply count from this time at the earliest."""
        self._notified_from = at
        notices = self.records.notices.setdefault(self.gateway, [])
        now = time.monotonic()
        notices[:] = [replace(n, notified_at=max(n.notified_at, at)) if n.until > now else n for n in notices]

    def stop(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.stop(timeout=0)

    # --- calls

    def _serve(self, sock: socket.socket, _: object) -> None:
        try:
            data = b""
            while chunk := sock.recv(65536):
                data += chunk
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
        began_at = time.monotonic()
        if began_at < self._silent_until:
            return False
        self._watch_lost = False
        index = int(query["index"][0]) if "index" in query else None
        deadline = began_at + int(query.get("wait", ["0"])[0]) / 1000
        while index == self._version and (left_s := deadline - time.monotonic()) > 0:
            self._changed_event.wait(left_s)
        if time.monotonic() < self._slow_until:
            gevent.sleep(self._rng.uniform(*SLOW_RESPONSE_S))
        if time.monotonic() < self._silent_until:
            self._watch_lost = True
            return False
        body = json.dumps(self._since(index)).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        return True

    def _since(self, index: int | None) -> dict[str, Any]:
        oldest = min(self._changed.values(), default=self._version)
        if index is None or not oldest - 1 <= index <= self._version:
            return self.listing()  # the changes since that version are not known here
        changed = [self._entries[name] for name, at in self._changed.items() if at > index]
        return {"index": self._version, "snapshot": False, "endpoints": changed}
