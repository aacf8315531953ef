"""Stand-ins on loopback for the cases of the review: storage nodes, the discovery agent, clients, the platform.

One asyncio program plays all of them; the gateway is a process of its own, started with `run` of
deploy/balancer.toml. Whatever the pages leave open, the stand-ins do as a sound server, client or platform
would. All times in the record are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")

    def close(self) -> None:
        self._file.close()


# ---------------------------------------------------------------- messages


def array(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def request(
    number: int,
    *,
    volume: int = 1,
    shard: int = 0,
    wait_ms: int = 2000,
    key: str = "",
    plan: str = "priority",
    kind: str = "match-read",
    write: bool = False,
    units: int = 1,
    piece: int | None = None,
    body: bytes = b"body",
    hosts: int = 1,
) -> tuple[str, bytes]:
    """The id and the bytes of a client's command; `number` makes its id, and its piece if none is given."""
    request_id = f"{0xC0DE0000_00000000 + number:016x}"
    fields = f"c={kind},t={plan},d={wait_ms},"
    if key:
        fields += f"k={key},"
    fields += f"volume={0xF0000000 + volume:016x},units={units},shard={shard},hosts={hosts}"
    words = [
        b"BLK.WRITE" if write else b"BLK.READ",
        f"{number if piece is None else piece:016x}".encode(),
        request_id.encode(),
        fields.encode(),
    ]
    return request_id, array(*words, body) if write else array(*words)


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """One array of bulk strings; empty at the end of the stream."""
    head = await reader.readline()
    if not head.endswith(b"\n"):
        return []
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """A gateway's answer: ("served", value), ("refused" or "failed", line), ("pong", line); ("end", what had
    come) if the connection ended before the answer was whole."""
    try:
        line = await reader.readline()
    except OSError:
        return "end", b""
    if not line.endswith(b"\n"):
        return "end", line
    if line[:1] == b"$" and line[1:2] != b"-":
        try:
            return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
        except asyncio.IncompleteReadError as error:
            return "end", line + error.partial
        except OSError:
            return "end", line
    if line.startswith(b"-BUSY"):
        return "refused", line.strip()
    return ("pong" if line.startswith(b"+") else "failed"), line.strip()


def answer_of(value: bytes) -> bytes:
    """A node's whole answer: the value, the figures on use, the load report."""
    return b"*3\r\n$%d\r\n%b\r\n$7\r\nused=10\r\n$10\r\ninflight=1\r\n" % (len(value), value)


# ---------------------------------------------------------------- stand-ins

Serve = Callable[["Node", "Command", asyncio.StreamWriter], Awaitable[None]]


class Command:
    """A command whose last byte has come to a node."""

    def __init__(self, words: list[bytes]) -> None:
        self.at = time.monotonic()
        self.words, self.id = words, words[2].decode()
        self.fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Node:
    """A storage node. It begins each command at its last byte and answers in the order of a connection's
    commands; `serve` does the work and writes the answer."""

    def __init__(self, name: str, shard: int, record: Record, serve: Serve) -> None:
        self.name, self.shard, self.record, self.serve = name, shard, record, serve
        self.commands: list[Command] = []
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:{}".format(self._server.sockets[0].getsockname()[1])

    def entry(self, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "hall-a",
            "type": "m",
            "group": self.shard,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def close(self) -> None:
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while words := await read_words(reader):
                command = Command(words)
                self.commands.append(command)
                self.record.add(f"node {self.name} got {words[0].decode()} {command.id} {words[3].decode()}")
                await self.serve(self, command, writer)
        self.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()


class Agent:
    """The discovery agent on the gateway's machine: it answers at once, or when there is something newer."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record, self.index = record, 1
        self.entries = {entry["name"]: entry for entry in entries}
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Condition()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:{}".format(self._server.sockets[0].getsockname()[1])

    def listing(self) -> dict[str, Any]:
        listed = [entry for entry in self.entries.values() if entry["status"] != "removed"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def change(self, name: str, **fields: Any) -> None:
        async with self._news:
            self.entries[name] = {**self.entries[name], **fields}
            self.index += 1
            self._changed_at[name] = self.index
            self.record.add(f"discovery has version {self.index}: {name} {fields}")
            self._news.notify_all()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await reader.readline():
                path = head.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                data = json.dumps(await self._answer(parse_qs(urlparse(path).query))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "index" not in query:
            return self.listing()
        known, wait_s = int(query["index"][0]), min(60.0, int(query.get("wait", ["0"])[0]) / 1000)
        async with self._news:
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._news.wait_for(lambda: self.index > known), wait_s)
        changed = [self.entries[name] for name, at in self._changed_at.items() if at > known]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    def close(self) -> None:
        self._server.close()


# ---------------------------------------------------------------- the platform

AIM_US, DEADLINE_US, WINDOW_US = 400_000, 2_000_000, 3_000_000


def settings() -> dict[str, Any]:
    """The settings of a small deployment: three gateways, two classes, two plans, lists pushed."""
    profile = {"AimUs": AIM_US, "Gain": 3.0, "KeyTtlUs": WINDOW_US, "LateShare": 0.2, "Streaming": False}
    basic = {"Name": "basic", "CeilingRate": 20.0, "CapDepth": 48.0, "Tolerance": 4.8, "UsualRate": 3.4,
             "FloorRate": 1.7, "Shares": 1.0, "Price": 1.0}  # fmt: skip
    priority = {"Name": "priority", "CeilingRate": 0.0, "CapDepth": 0.0, "Tolerance": 0.0, "UsualRate": 6.9,
                "FloorRate": 5.5, "Shares": 3.0, "Price": 1.0}  # fmt: skip
    return {
        "Balancers": 3,
        "Caps": {"Cancel": True, "ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 3,
                 "MaxOpen": 33_333, "MaxRetryAfterUs": 2_000_000, "MayDuplicate": False,
                 "PeerMessages": False, "Probes": False, "RetryAfter": False},
        "Clients": {"MarksRetry": False},
        "FamilyInfo": {"ClassWrites": [False, True], "ColdBears": 42.0, "MaxUnits": 8, "MeanUnits": 2.0,
                       "MeterUs": 1_000_000, "SaysOthers": False, "Shards": 4},
        "Feedback": {"Names": ["inflight"], "Source": "piggyback"},
        "Grades": [basic, priority],
        "Kinds": ["m"],
        "Locality": 0,
        "Obligations": {"AnswerSlackUs": 8000, "AskEveryUs": 10_000_000, "ColdShare": 0.17,
                        "ColdUs": 16_000_000, "DrainGraceUs": 250_000, "FallUs": 3_000_000,
                        "TipMultiple": 3.0},
        "Position": 0,
        "Profiles": [
            {**profile, "Name": "match-read", "Effect": "safe", "Group": "all", "HardLimitUs": DEADLINE_US},
            {**profile, "Name": "turn-write", "Effect": "keyed", "Group": "cell", "HardLimitUs": 3_000_000},
        ],
        "RegistryMode": "push",
        "StepUs": 2000,
        "Zones": ["hall-a"],
    }  # fmt: skip


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Platform:
    """Starts gateways as the platform does, and ends all of them in the end."""

    def __init__(self, record: Record, agent: Agent, conf: dict[str, Any], held_socket: bool = False) -> None:
        """`held_socket`: the platform holds the clients' listening socket, as at an upgrade."""
        self.record, self._agent = record, agent
        self._folder = tempfile.TemporaryDirectory(prefix="stackrouter-review-")
        self.listener: socket.socket | None = None
        if held_socket:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            self.listener.set_inheritable(True)
            self.port = int(self.listener.getsockname()[1])
        else:
            self.port = free_port()
        self.config = Path(self._folder.name) / "config.json"
        self.write_config(conf)
        self.tmp = Path(self._folder.name) / "tmp"
        self.tmp.mkdir()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run = str(tomllib.load(file)["run"])
        self.processes: list[asyncio.subprocess.Process] = []
        self.doors: dict[int, int] = {}  # by process id: the port of the operators' address

    def write_config(self, conf: dict[str, Any]) -> None:
        told = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self._agent.address,
            "seed": f"{os.getpid():016x}",
            "known": self._agent.listing(),
            "settings": conf,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }
        self._conf = conf
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(told), encoding="utf-8")
        temporary.replace(self.config)

    async def start(self) -> asyncio.subprocess.Process:
        """Start `run` of the deploy file; returns once the new process answers `status` with SUCCESS. A port
        that another program has taken meanwhile is chosen anew."""
        for _ in range(3):
            process = await self._start_once(20.0)
            if process is not None:
                return process
            if self.listener is None:
                self.port = free_port()
                self.write_config(self._conf)
        raise CannotRun(f"the gateway did not become ready: {self.logs()[-400:]}")

    async def _start_once(self, ready_s: float) -> asyncio.subprocess.Process | None:
        admin = free_port()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environ |= {
            "GW_CONFIG": str(self.config),
            "GW_NAME": "n1",
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_ADMIN": f"127.0.0.1:{admin}",
            "TMPDIR": str(self.tmp),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        inherited: tuple[int, ...] = ()
        if self.listener is not None:
            # The page's number is 3; the gateway goes by the variable.
            environ["GW_LISTEN_FD"] = str(self.listener.fileno())
            inherited = (self.listener.fileno(),)
        log = (Path(self._folder.name) / f"log-{len(self.processes)}.txt").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self._run, cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, pass_fds=inherited, start_new_session=True,
        )  # fmt: skip
        log.close()
        self.processes.append(process)
        self.doors[process.pid] = admin
        self.record.add(f"platform starts process {process.pid}")
        until = time.monotonic() + ready_s
        while time.monotonic() < until and process.returncode is None:
            if (await call_door(admin, "status")).startswith("SUCCESS"):
                await self._wait_for_pong(until)
                self.record.add(f"process {process.pid} is ready")
                return process
            await asyncio.sleep(0.05)
        if process.returncode is None:
            raise CannotRun(f"the gateway did not become ready: {self.logs()[-400:]}")
        return None

    async def _wait_for_pong(self, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await self.connect()
                writer.write(array(b"PING"))
                answer = await read_answer(reader)
                writer.close()
                if answer[0] == "pong":
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("no +PONG")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return reader, writer

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        self.record.add(f"platform sends {number.name} to process {process.pid}")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    def logs(self) -> str:
        texts = [path.read_text(errors="replace") for path in sorted(Path(self._folder.name).glob("log-*"))]
        return "".join(texts)

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        if self.listener is not None:
            self.listener.close()
        self._folder.cleanup()


async def call_door(port: int, call: str) -> str:
    """A call at the operators' address; empty: no answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(call.encode() + b"\n")
        line = await asyncio.wait_for(reader.readline(), 2.0)
        writer.close()
        return line.decode().strip()
    except (OSError, TimeoutError, asyncio.TimeoutError):
        return ""


# ---------------------------------------------------------------- a case


def play(folder: Path, case: Callable[[Record], Awaitable[list[str]]], limit_s: float = 100.0) -> None:
    """Play the case and exit: 1 if it returns breaks of the rule, 0 if it returns none, 2 if it can't run."""
    record = Record(folder)
    sys.unraisablehook = lambda _: None  # connections that are open when the loop ends

    async def main() -> list[str]:
        task = asyncio.ensure_future(asyncio.wait_for(case(record), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT):  # the case ends its processes then, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        breaks = asyncio.run(main())
    except (CannotRun, TimeoutError, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    else:
        for line in breaks:
            record.add(f"BROKEN {line}")
        print(f"trouble {'on' if TROUBLE else 'off'}: " + (f"{len(breaks)} breaks, first: {breaks[0]}" if breaks
                                                           else "the rule held"))  # fmt: skip
        status = BROKEN if breaks else HELD
    record.close()
    sys.exit(status)
