"""Replays the recorded byte exchanges in tests/exchanges against the real program.

A line of a script is `WHO DOES WHAT`. WHO is a client (a, b, ...; f1, ... connect to the SFTP front), a node
(s1, s2) or `gateway`. DOES is one of:

- `>`: sends WHAT; `<`: must receive exactly WHAT;
- `close`: closes its connection; `eof`: the other side must have closed it;
- `next`: the node closes its connection and takes the next one; `refuse`: the node stops listening;
  `none`: no connection to the node may have been made;
- `is STATE`: discovery reports this state of the node, and the gateway has received it;
- `counts TEXT`, `logs TEXT`: the text must appear in the counters or the log;
- `term`: SIGTERM; `exit CODE`: the program must exit with this code;
- `reload`: discovery gets a new address, which is written to the configuration, then SIGHUP; returns once
  the gateway calls the new address; `reload bad`: SIGHUP with an invalid configuration;
- `door CALL`: a call to the admin port, whose answer must begin with SUCCESS.

The first line, a comment, may set `sockets=N` and `discovery=silent`.

WHAT is `resp WORDS`, an array of bulk strings; `pkt TOKENS`, a length-prefixed packet; or tokens. A token is
"text", u8:N, u32:N, u64:N, s:TEXT (a string with its length), fill:N (N bytes), ~N (any N bytes) or ?NAME:N
(any N bytes, the same each time the name occurs). In words and texts `~` stands for any byte.
"""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).parent.parent
PATIENCE_S = 10.0
NO_CONNECTION_WAIT_S = 0.05
WATCH_S = 1.0  # how long the fake discovery holds a watch: less than the wait that the gateway asks for
PROFILE = {"AimUs": 400_000, "HardLimitUs": 2_000_000, "Gain": 3.0, "Group": "cell", "KeyTtlUs": 3_000_000}
SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Caps": {"Cancel": True, "ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 3,
             "MaxOpen": 4, "MaxRetryAfterUs": 2_000_000},
    "FamilyInfo": {"ClassWrites": [False, True], "MaxUnits": 8, "MeanUnits": 2.0, "MeterUs": 1_000_000},
    "Grades": [{"Name": "basic", "CeilingRate": 1.0, "CapDepth": 8.0, "Tolerance": 0.8, "UsualRate": 1.0},
               {"Name": "priority", "Shares": 3.0, "UsualRate": 9.0}],
    "Kinds": ["m"],
    "Obligations": {"AnswerSlackUs": 8000, "DrainGraceUs": 250_000},
    "Profiles": [{**PROFILE, "Name": "match-read", "Effect": "safe"},
                 {**PROFILE, "Name": "turn-write", "Effect": "keyed"}],
    "StepUs": 2000,
    "Zones": ["hall-a"],
}  # fmt: skip
EDGE = """accounts {{ enabled: true }}
trace {{ enabled: true file: "{trace}" }}
sftp {{
  enabled: true
  listen: "{listen}"
  read_class: "match-read"
  write_class: "turn-write"
  read_wait_ms: 300
  write_wait_ms: 1500
  volume {{ prefix: "/replays" volume: "v1" plan: "priority" shard: 1 }}
  volume {{ prefix: "/turns" volume: "v2" plan: "priority" shard: 2 }}
}}
"""


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(PATIENCE_S)
    return sock


def address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


def free_address() -> str:
    with listener() as sock:
        return address(sock)


class Discovery(ThreadingHTTPServer):
    """A fake discovery service; `silent`: it never answers; `heard`: the last version it was asked about."""

    daemon_threads = True

    def __init__(self, entries: list[dict[str, Any]], silent: bool) -> None:
        super().__init__(("127.0.0.1", 0), DiscoveryHandler)
        self.entries, self.changed, self.version, self.heard = entries, [""], 1, 0
        self.news, self.silent = threading.Condition(), silent
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def answer(self, after: int | None) -> dict[str, Any]:
        with self.news:
            self.heard = after or 0
            self.news.notify_all()
            if after is not None:
                self.news.wait_for(lambda: self.version > after, WATCH_S)
            name = self.changed[-1] if after != self.version else ""
            entries = [e for e in self.entries if after is None or e["name"] == name]
            return {"index": self.version, "snapshot": after is None, "endpoints": entries}

    def say(self, name: str, state: str) -> None:
        """Report a state of a node; returns once the gateway has asked for the changes after it."""
        with self.news:
            for e in self.entries:
                e["status"] = state if e["name"] == name else e["status"]
            self.changed.append(name)
            self.version += 1
            self.news.notify_all()
            assert self.news.wait_for(
                lambda: self.heard == self.version, PATIENCE_S
            ), "the change was not received"


class DiscoveryHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Discovery

    def do_GET(self) -> None:  # noqa: N802
        if self.server.silent:
            return
        index = parse_qs(urlparse(self.path).query).get("index")
        body = json.dumps(self.server.answer(int(index[0]) if index else None)).encode()
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        pass


Part = bytes | tuple[str, int]  # literal bytes, or a name ("" for none) and a length


def parts_of(what: str) -> list[Part]:
    form, _, rest = what.partition(" ")
    if form == "resp":
        words = [word.encode() for word in shlex.split(rest)]
        text = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)
        return with_wildcards(text)
    tokens = shlex.split(rest if form == "pkt" else what)
    parts = [part for token in tokens for part in token_parts(token)]
    if form == "pkt":
        length = sum(len(part) if isinstance(part, bytes) else part[1] for part in parts)
        parts.insert(0, length.to_bytes(4, "big"))
    return parts


def token_parts(token: str) -> list[Part]:
    kind, _, value = token.partition(":")
    if kind in ("u8", "u32", "u64"):
        return [int(value).to_bytes(int(kind[1:]) // 8, "big")]
    if kind == "s":
        return [len(value).to_bytes(4, "big"), *with_wildcards(value.encode())]
    if kind == "fill":
        return [b"x" * int(value)]
    if kind.startswith("~") and kind[1:].isdigit():
        return [("", int(kind[1:]))]
    if kind.startswith("?"):
        return [(kind[1:], int(value))]
    return with_wildcards(token.encode().decode("unicode_escape").encode("latin-1"))


def with_wildcards(text: bytes) -> list[Part]:
    parts: list[Part] = []
    for i, piece in enumerate(text.split(b"~")):
        parts += [("", 1), piece] if i else [piece]
    return parts


class Player:
    """Runs the program and plays one script against it."""

    def __init__(self, script: Path, watched: bool = False) -> None:
        """`watched`: start the program as the platform does, without the operator's file, through
        tests.refused, which logs every system call that was refused."""
        self.script, self.watched = script, watched
        self.listening = {name: listener() for name in ("s1", "s2")}
        self.sockets: dict[str, socket.socket] = {}
        self.names: dict[str, bytes] = {}
        entries = [
            {"name": name, "address": address(sock), "zone": "hall-a", "type": "m", "group": int(name[1:]),
             "status": "up", "weight": 1.0, "since_ms": 0}
            for name, sock in self.listening.items()
        ]  # fmt: skip
        first = script.read_text().splitlines()[0]
        self.head = dict(pair.split("=") for pair in first.split() if "=" in pair)
        self.discovery = Discovery(entries, silent="discovery" in self.head)
        self.old_discoveries: list[Discovery] = []
        self.listen, self.sftp, self.door = free_address(), free_address(), free_address()

    def __enter__(self) -> Player:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        self.config = {
            "listen": self.listen,
            "discovery": "{}:{}".format(*self.discovery.server_address),
            "seed": "7",
            "limits": {"memory_mb": 192, "sockets": int(self.head.get("sockets", "1024"))},
            "known": {"index": 1, "snapshot": True, "endpoints": self.discovery.entries},
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(self.config))
        self.trace = folder / "gateway.trace"
        (folder / "edge.txtpb").write_text(EDGE.format(listen=self.sftp, trace=self.trace))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ["GW_CONFIG"] = str(folder / "config.json")
        environ["GW_ADMIN"] = self.door
        if not self.watched:
            environ["GW_EDGE"] = str(folder / "edge.txtpb")
        module = "tests.refused" if self.watched else "stackrouter"
        self.program = subprocess.Popen(
            [sys.executable, "-m", module], cwd=ROOT, env=environ, stderr=subprocess.PIPE, text=True
        )
        assert self.program.stderr is not None
        while "listening" not in (line := self.program.stderr.readline()):
            assert line, "the program ended at its start"
        self.log: list[str] = []
        self.reader = threading.Thread(target=self.log.extend, args=(self.program.stderr,), daemon=True)
        self.reader.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.program.kill()
        self.program.wait()
        self.reader.join()
        if self.program.stderr is not None:
            self.program.stderr.close()
        for sock in (*self.sockets.values(), *self.listening.values()):
            sock.close()
        for discovery in (self.discovery, *self.old_discoveries):
            discovery.shutdown()
            discovery.server_close()
        self.folder.cleanup()

    def play(self) -> None:
        for number, line in enumerate(self.script.read_text().splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            who, does, what = (*line.split(maxsplit=2), "")[:3]
            try:
                self.act(who, does, what)
            except (AssertionError, OSError) as error:
                raise AssertionError(
                    f"{self.script.name}:{number}: {line}\n{error!r}\n{''.join(self.log)}"
                ) from error
        errors = [line for line in self.log if "Traceback" in line]
        assert not errors, "".join(self.log)

    def act(self, who: str, does: str, what: str) -> None:
        if does == "is":
            self.discovery.say(who, what)
        elif does == "term":
            self.program.send_signal(signal.SIGTERM)
        elif does == "reload":
            self.reload(what)
        elif does == "door":
            host, port = self.door.split(":")
            with socket.create_connection((host, int(port)), PATIENCE_S) as door:
                door.sendall(what.encode() + b"\n")
                answer = door.makefile("rb").readline()
            assert answer.startswith(b"SUCCESS"), answer
        elif does in ("counts", "logs"):
            if does == "counts":
                self.program.send_signal(signal.SIGUSR1)
            until = time.monotonic() + PATIENCE_S
            while not any(what in line for line in self.log):
                assert time.monotonic() < until, "the text did not appear"
                time.sleep(0.01)
        elif does == "exit":
            assert self.program.wait(PATIENCE_S) == int(what), self.program.returncode
        elif does == "refuse":
            self.listening[who].close()
        elif does == "none":
            self.listening[who].settimeout(NO_CONNECTION_WAIT_S)
            with contextlib.suppress(TimeoutError):
                self.sockets[who] = self.listening[who].accept()[0]
                raise AssertionError("a connection was made")
            self.listening[who].settimeout(PATIENCE_S)
        elif does in ("close", "next"):
            self.sockets.pop(who).close()
        elif does == "eof":
            assert (rest := self.receive(who, 1)) == b"", rest
        elif does == ">":
            self.socket_of(who).sendall(b"".join(self.bytes_to_send(part) for part in parts_of(what)))
        elif does == "<":
            self.expect(who, parts_of(what))
        else:
            raise AssertionError(f"unknown action: {does}")

    def reload(self, what: str) -> None:
        file = Path(self.folder.name) / "config.json"
        if what == "bad":
            file.write_text('{"settings"')
        else:
            self.old_discoveries.append(self.discovery)
            self.discovery = Discovery(self.discovery.entries, silent=False)
            file.write_text(
                json.dumps(self.config | {"discovery": "{}:{}".format(*self.discovery.server_address)})
            )
        self.program.send_signal(signal.SIGHUP)
        with self.discovery.news:
            if what != "bad":
                heard = self.discovery.news.wait_for(lambda: self.discovery.heard, PATIENCE_S)
                assert heard, "no call at the new address"

    def socket_of(self, who: str) -> socket.socket:
        if who not in self.sockets:
            if who in self.listening:
                self.sockets[who] = self.listening[who].accept()[0]
            else:
                host, port = (self.sftp if who.startswith("f") else self.listen).split(":")
                self.sockets[who] = socket.create_connection((host, int(port)))
            self.sockets[who].settimeout(PATIENCE_S)
            # Two sends in a row must both have been sent before the next line.
            self.sockets[who].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self.sockets[who]

    def bytes_to_send(self, part: Part) -> bytes:
        return part if isinstance(part, bytes) else self.names.get(part[0], b"~" * part[1])

    def receive(self, who: str, count: int) -> bytes:
        data = b""
        with contextlib.suppress(ConnectionResetError):
            while len(data) < count and (more := self.socket_of(who).recv(count - len(data))):
                data += more
        return data

    def expect(self, who: str, parts: list[Part]) -> None:
        for part in parts:
            data = self.receive(who, len(part) if isinstance(part, bytes) else part[1])
            if isinstance(part, tuple) and part[0]:
                part = self.names.setdefault(part[0], data)
            wanted = part if isinstance(part, bytes) else data
            assert (data == wanted and data) or not part, f"got {data!r}, not {wanted!r}"
