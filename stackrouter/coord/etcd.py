"""The second adapter: an existing etcd cluster, used through etcd v3's public lease and transaction API (its
JSON gateway).

How the API is used (etcd's API reference, v3):

- A duty is a key that is attached to an etcd lease; etcd deletes the key when the lease is not kept alive.
  The key's `create_revision` grows with every revision of the store: it is the fencing token.
- Each change is one transaction that compares the state it depends on: a duty is acquired only if its key is
  absent (create_revision 0), a listing is put only while the duty's key has the publisher's token.
- The state is read again every POLL_S; after a failed call the next address is used.

The calls block, so they are made in a thread of their own, through the client library.
"""

from __future__ import annotations

import json
import logging
import queue
import threading
import time
from base64 import b64encode
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from etcd3gw.client import Etcd3Client
from etcd3gw.exceptions import Etcd3Exception
from etcd3gw.lease import Lease as StoreLease

from stackrouter.coord.ledger import MAX_VERSIONS, Listings
from stackrouter.coord.policy import Version
from stackrouter.coord.port import (
    UNKNOWN,
    Acquire,
    Activate,
    ActiveSeen,
    Answered,
    Append,
    Barrier,
    BeginHistory,
    Command,
    EntrySeen,
    Event,
    Lease,
    LeaseSeen,
    ListingSeen,
    MemberView,
    PolicySeen,
    Present,
    Propose,
    Publish,
    Release,
    Renew,
)
from stackrouter.errors import StoreError, log_error

log = logging.getLogger(__name__)

POLL_S = 0.2
CALL_TIMEOUT_S = 1.0
MAX_QUEUED_COMMANDS = 1000
MAX_EVENTS = 10_000
MAX_APPEND_ATTEMPTS = 3  # concurrent appends by other members make an attempt fail


class Etcd:
    """The coordination port on etcd. etcd's ttl is in whole seconds: `ttl_us` is rounded up."""

    store_expires = True

    def __init__(self, addresses: Sequence[tuple[str, int]], prefix: str, ttl_us: int) -> None:
        self._clients = deque(Etcd3Client(host, port, timeout=CALL_TIMEOUT_S) for host, port in addresses)
        self._prefix, self._ttl_s = prefix, -(-ttl_us // 1_000_000)
        self._commands: queue.Queue[tuple[int, Command]] = queue.Queue(MAX_QUEUED_COMMANDS)
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._held: dict[str, StoreLease] = {}
        self._leases: dict[str, Lease] = {}
        self._listings = Listings()
        self._listing_revision = 0
        self._last_entry = 0
        self._policies: list[Version] = []
        self._members_serving: dict[str, tuple[int, int]] = {}
        self._active, self._active_revision = 0, 0
        self._last_number = 0
        self._reachable = False
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="coord-etcd", daemon=True)
        self._wake: Callable[[], None] = lambda: None

    def start(self, wake: Callable[[], None]) -> None:
        self._wake = wake
        self._thread.start()

    def submit(self, command: Command) -> int:
        self._last_number += 1
        try:
            self._commands.put_nowait((self._last_number, command))
        except queue.Full:
            self._emit(Answered(self._last_number, False, None, "queue full"))
        return self._last_number

    def events(self) -> list[Event]:
        return [self._events.popleft() for _ in range(len(self._events))]

    def listing(self) -> tuple[int, dict[str, Any]] | None:
        whole = self._listings.whole()
        return None if whole is None else (self._listings.token, whole)

    def policies(self) -> list[Version]:
        return list(self._policies)

    def present(self) -> dict[str, tuple[int, int]]:
        return dict(self._members_serving)

    def members(self) -> list[MemberView]:
        return [MemberView(c.host, f"{c.host}:{c.port}", self._reachable and i == 0)
                for i, c in enumerate(self._clients)]  # fmt: skip

    def close(self) -> None:
        self._closing.set()
        if self._thread.ident is not None:
            self._thread.join(timeout=CALL_TIMEOUT_S)

    def _emit(self, event: Event) -> None:
        self._events.append(event)
        self._wake()

    def _run(self) -> None:
        polled_at = 0.0
        while not self._closing.is_set() or not self._commands.empty():
            number = None
            try:
                if time.monotonic() - polled_at >= POLL_S:
                    polled_at = time.monotonic()
                    self._poll()
                number, command = self._commands.get(timeout=POLL_S)
                why = self._carry_out(command)
                lease = self._leases.get(getattr(command, "duty", ""))
                self._emit(Answered(number, not why, lease, why))
            except queue.Empty:
                continue
            except (Etcd3Exception, ValueError, KeyError, OSError) as error:
                self._reachable = False
                self._clients.rotate(-1)
                log_error(log, StoreError(error), "coordination")
                if number is not None:
                    self._emit(Answered(number, False, None, UNKNOWN))
                else:
                    self._closing.wait(POLL_S)

    def _carry_out(self, command: Command) -> str:
        """Why the command was refused; empty: it was applied."""
        match command:
            case Acquire():
                return self._acquire(command)
            case Renew():
                held = self._held.get(command.duty)
                if (
                    held is None
                    or int(held.refresh()) <= 0
                    or self._poll().get(command.duty) != command.token
                ):
                    self._held.pop(command.duty, None)
                    return "token"
                return ""
            case Release():
                key = self._key(f"leases/{command.duty}")
                self._txn([_created(key, command.token)], [{"request_delete_range": {"key": key}}])
                self._held.pop(command.duty, None)
                self._poll()
                return ""
            case Publish():
                return self._publish(command)
            case Propose():
                return self._propose(command)
            case Activate():
                return self._activate(command)
            case Present():
                key, value = (
                    self._key(f"present/{command.member}"),
                    json.dumps([command.serving, command.for_s]),
                )
                self._txn([], [{"request_put": {"key": key, "value": _b64(value)}}])
                self._poll()
                return ""
            case Append():
                return self._append(command)
            case BeginHistory() | Barrier():
                return "store"  # only a control plane's replicas submit these, and they form a Raft group

    def _acquire(self, command: Acquire) -> str:
        key = self._key(f"leases/{command.duty}")
        held = self._clients[0].lease(ttl=self._ttl_s)
        put = {"request_put": {"key": key, "value": _b64(command.member), "lease": held.id}}
        if not self._txn([_created(key, 0)], [put]):
            return "held"
        self._held[command.duty] = held
        self._poll()
        return ""

    def _publish(self, command: Publish) -> str:
        self._poll()
        if why := self._listings.refusal(command):
            return why
        updated = Listings(self._listings.token, self._listings.index, dict(self._listings.items))
        updated.take(command)
        key, lease = self._key("listing"), self._key(f"leases/{command.duty}")
        value = _b64(json.dumps({"token": updated.token, "listing": updated.whole()}))
        compare = [_created(lease, command.token), _modified(key, self._listing_revision)]
        if self._txn(compare, [{"request_put": {"key": key, "value": value}}]):
            return ""
        return "token" if self._poll().get(command.duty) != command.token else "gap"

    def _append(self, command: Append) -> str:
        for _ in range(MAX_APPEND_ATTEMPTS):
            self._poll()
            key = self._key(f"log/{self._last_entry + 1:012d}")
            value = _b64(json.dumps([command.kind, command.member, command.body]))
            if self._txn([_created(key, 0)], [{"request_put": {"key": key, "value": value}}]):
                return ""
        return "busy"

    def _propose(self, command: Propose) -> str:
        self._poll()
        newest = self._policies[-1].number if self._policies else 0
        if command.base != newest:
            return "base"
        key = self._key(f"policy/{newest + 1:012d}")
        value = _b64(json.dumps([command.digest, command.body, command.after_us, command.member]))
        taken = self._txn([_created(key, 0)], [{"request_put": {"key": key, "value": value}}])
        self._poll()
        return "" if taken else "base"

    def _activate(self, command: Activate) -> str:
        self._poll()
        if not self._active < command.number <= (self._policies[-1].number if self._policies else 0):
            return "active"
        key = self._key("active")
        put = {"request_put": {"key": key, "value": _b64(str(command.number))}}
        taken = self._txn([_modified(key, self._active_revision)], [put])
        self._poll()
        return "" if taken else "active"

    def _txn(self, compare: list[dict[str, Any]], success: list[dict[str, Any]]) -> bool:
        client = self._clients[0]
        return bool(
            client.transaction({"compare": compare, "success": success, "failure": []}).get("succeeded")
        )

    def _poll(self) -> dict[str, int]:
        """Read the state and emit events for what changed. Returns the tokens of the held duties."""
        leases: dict[str, Lease] = {}
        active: ActiveSeen | None = None
        for value, metadata in self._clients[0].get_prefix(self._prefix):
            raw = metadata["key"]
            name = (raw.decode() if isinstance(raw, bytes) else raw).removeprefix(self._prefix)
            kind, _, rest = name.partition("/")
            if kind == "leases":
                leases[rest] = Lease(rest, value.decode(), int(metadata["create_revision"]))
            elif kind == "listing" and int(metadata["mod_revision"]) != self._listing_revision:
                self._listing_revision = int(metadata["mod_revision"])
                published = json.loads(value)
                listing = published["listing"]
                items = {item["name"]: item for item in listing["endpoints"]}
                self._listings = Listings(int(published["token"]), int(listing["index"]), items)
                self._emit(ListingSeen(int(published["token"]), None, listing))
            elif kind == "policy" and int(rest) > (self._policies[-1].number if self._policies else 0):
                version = Version(int(rest), *json.loads(value))
                self._policies = [*self._policies[1 - MAX_VERSIONS :], version]
                self._emit(PolicySeen(version))
            elif kind == "active" and int(metadata["mod_revision"]) != self._active_revision:
                self._active_revision, self._active = int(metadata["mod_revision"]), int(value)
                active = ActiveSeen(self._active)
            elif kind == "present":
                self._members_serving[rest] = tuple(json.loads(value))
            elif kind == "log" and int(rest) > self._last_entry:
                self._last_entry = int(rest)
                self._emit(EntrySeen(self._last_entry, *json.loads(value)))
        if active is not None:
            self._emit(active)  # after the version itself, which comes later in key order
        for duty in self._leases.keys() - leases.keys():  # released or expired: free
            leases[duty] = Lease(duty, token=self._leases[duty].token)
        changed = [lease for duty, lease in leases.items() if self._leases.get(duty) != lease]
        self._leases, self._reachable = leases, True
        for lease in changed:
            self._emit(LeaseSeen(lease))
        return {duty: lease.token for duty, lease in leases.items() if lease.holder}

    def _key(self, name: str) -> str:
        return _b64(self._prefix + name)


def _b64(text: str) -> str:
    return b64encode(text.encode()).decode()


def _created(key: str, revision: int) -> dict[str, Any]:
    return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": revision}


def _modified(key: str, revision: int) -> dict[str, Any]:
    return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}
