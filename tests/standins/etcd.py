"""A small stand-in for etcd v3's JSON gateway (the lease and KV parts of its public API). While `failing` is
set, every call is answered with status 503."""

from __future__ import annotations

import json
import threading
import time
from base64 import b64decode, b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class StandinEtcd(ThreadingHTTPServer):
    """Serves on a free port of 127.0.0.1 from a thread of its own."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), RequestHandler)
        self.revision = 1
        self.keys: dict[bytes, dict[str, Any]] = {}
        self.leases: dict[int, tuple[int, float]] = {}  # by id: ttl in seconds, and when it expires
        self.lock, self.failing, self.calls = threading.Lock(), False, 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def stop(self) -> None:
        self.shutdown()
        self.server_close()

    def answer(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        with self.lock:
            self.calls += 1
            self._expire()
            match path.removeprefix("/v3/"):
                case "lease/grant":
                    number, ttl = 7000 + len(self.leases), int(body["TTL"])
                    self.leases[number] = ttl, time.monotonic() + ttl
                    return {"ID": str(number), "TTL": str(ttl)}
                case "lease/keepalive":
                    ttl, until = self.leases.get(int(body["ID"]), (0, 0.0))
                    if until <= time.monotonic():
                        return {"result": {"ID": body["ID"]}}
                    self.leases[int(body["ID"])] = ttl, time.monotonic() + ttl
                    return {"result": {"ID": body["ID"], "TTL": str(ttl)}}
                case "kv/range":
                    return self._range(body)
                case "kv/txn":
                    matched = all(self._compare(c) for c in body.get("compare", ()))
                    for operation in body["success" if matched else "failure"]:
                        self._apply_operation(operation)
                    return {"succeeded": True} if matched else {}
        raise KeyError(path)

    def _expire(self) -> None:
        expired = {i for i, (_, until) in self.leases.items() if until <= time.monotonic()}
        for key in [k for k, kv in self.keys.items() if kv.get("lease") in expired]:
            self.revision += 1
            del self.keys[key]

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        first, last = b64decode(body["key"]), b64decode(body.get("range_end") or "")
        found = [(k, kv) for k, kv in sorted(self.keys.items()) if k == first or (last and first <= k < last)]
        return {"kvs": [{"key": b64encode(k).decode(), "value": kv["value"],
                         "create_revision": str(kv["create"]), "mod_revision": str(kv["mod"])}
                        for k, kv in found]}  # fmt: skip

    def _compare(self, compare: dict[str, Any]) -> bool:
        kv = self.keys.get(b64decode(compare["key"]), {"create": 0, "mod": 0})
        name = compare["target"].lower()
        return bool(kv[name] == int(compare[f"{name}_revision"]))

    def _apply_operation(self, operation: dict[str, Any]) -> None:
        self.revision += 1
        if put := operation.get("request_put"):
            previous = self.keys.get(key := b64decode(put["key"]))
            self.keys[key] = {"value": put["value"], "lease": put.get("lease"), "mod": self.revision,
                              "create": previous["create"] if previous else self.revision}  # fmt: skip
        else:
            self.keys.pop(b64decode(operation["request_delete_range"]["key"]), None)


class RequestHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: StandinEtcd

    def do_GET(self) -> None:  # noqa: N802
        self._send_json({"etcdserver": "3.5.0", "etcdcluster": "3.5.0"})

    def do_POST(self) -> None:  # noqa: N802
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])) or b"{}")
        self._send_json(self.server.answer(self.path, body))

    def _send_json(self, answer: dict[str, Any]) -> None:
        data = json.dumps(answer).encode()
        self.send_response(503 if self.server.failing else 200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: Any) -> None:
        pass
