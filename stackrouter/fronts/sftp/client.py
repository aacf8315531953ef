"""The SFTP front's client side: packets to core requests, results to packets, one for each request id.

Handles are the gateway's own (a path and flags, or a listing); no node keeps anything open for a client.
"""

from __future__ import annotations

import posixpath
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.model import Inbox, Request, Result, Verdict, client_stays
from stackrouter.fronts.sftp import packets
from stackrouter.fronts.sftp.config import SftpConfig, Volume
from stackrouter.fronts.sftp.keys import ATTRIBUTES, EXISTENCE, WHOLE, Keys, Reach, overlap
from stackrouter.fronts.sftp.node import Operation
from stackrouter.fronts.sftp.packets import Fields, Flag, Packet, Status, Type, string, u32, u64
from stackrouter.net.listener import MalformedError, Patience

WIRE = "sftp"
PATIENCE = Patience(request_s=10.0, idle_s=600.0)  # a session has handles to lose: people use it, with pauses
MOST_PENDING = 32  # requests of one connection that may wait for their answers
MOST_HANDLES = 256
MOST_NAMES = 32 * 1024  # bytes of names in one answer to READDIR
MOST_PATH = 4096
TIMEOUT_SLACK_US = 20_000  # a failure this close to the deadline came of time running out
HAS_SIZE = 1
DIRECTORY = u32(4) + u32(0o40555)  # attributes: permissions only
ANYWHERE: Reach = (-10, -9)  # a read that minds no change

Finish = Callable[[Packet], tuple[Type, bytes]]  # what a node's answer becomes for the client


@dataclass(slots=True, eq=False)
class Handle:
    path: str
    flags: int = 0
    names: deque[bytes] | None = None  # what is left of a listing, an entry each
    truncate: bool = False  # CLOSE cuts the file where the writes ended
    end: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """A request that goes to a node, with what it touches: overlapping ones go in order."""

    id: int
    paths: tuple[str, ...]
    reach: Reach
    change: bool
    request: Request
    finish: Finish
    started: bool = False

    def after(self, other: Job) -> bool:
        touches = any(path in other.paths for path in self.paths)
        return touches and (self.change or other.change) and overlap(self.reach, other.reach)


class RequestError(Exception):
    """Answered with a status; the connection goes on."""

    def __init__(self, code: Status, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


@dataclass(slots=True)
class Shared:
    """What the sessions of one front have in common."""

    config: SftpConfig
    engine: Engine
    counters: Counters
    keys: Keys = field(init=False)

    def __post_init__(self) -> None:
        self.keys = Keys(self.config.window_us)


class SftpSession:
    def __init__(self, shared: Shared, wake: Callable[[], None]) -> None:
        self._shared, self._wake = shared, wake
        self.client_left = client_stays
        self._ready: deque[bytes] = deque()
        self._jobs: list[Job] = []
        self._handles: dict[bytes, Handle] = {}
        self._made = 0
        self._greeted = False

    # --- what the listener asks

    def received(self, inbox: Inbox) -> None:
        while not self.full():
            try:
                packet = packets.take(inbox)
                if packet is None:
                    return
                self._packet(packet)
            except (packets.PacketError, struct.error):
                raise MalformedError from None
            self._wake()

    def output(self) -> bytes:
        return self._ready.popleft() if self._ready else b""

    def pending(self) -> int:
        return len(self._jobs) + len(self._ready)

    def full(self) -> bool:
        return self.pending() >= MOST_PENDING

    def gone(self) -> None:
        for job in self._jobs:
            if job.started:
                self._shared.engine.withdraw(job.request)
        self._jobs.clear()

    # --- packets in

    def _packet(self, packet: Packet) -> None:
        if not self._greeted:
            if packet.type != Type.INIT or Fields(packet.body).u32() < packets.VERSION:
                raise packets.PacketError("the first packet must be INIT")
            self._greeted = True
            self._ready.append(Packet(Type.VERSION, u32(packets.VERSION)).encode())
            return
        if packet.type == Type.INIT:
            raise packets.PacketError("a second INIT")
        answer = HANDLERS.get(packet.type)
        try:
            if answer is None:
                raise RequestError(Status.OP_UNSUPPORTED, "not supported")
            done = answer(self, packet.id, Fields(packet.body))
        except RequestError as error:
            self._shared.counters.add("sftp.bad_request")
            done = packets.status(error.code, error.text)
        if done is not None:
            self._answer(packet.id, done)

    def _answer(self, request_id: int, done: tuple[Type, bytes]) -> None:
        self._ready.append(Packet(done[0], done[1], request_id).encode())

    # --- requests to nodes

    def _submit(
        self,
        request_id: int,
        operation: Operation,
        reach: Reach,
        finish: Finish,
        change: bytes | None = None,
        size: int = 0,
        other: str | None = None,
    ) -> None:
        """Hand an operation to the core; `change` is what the key of a change is made from."""
        config, now = self._shared.config, clock_us()
        path = operation.path.decode()
        volume = self._volume(path)
        paths = (path,) if other is None else (path, other)
        if change is not None:
            keys = [self._shared.keys.key(p.encode(), change, reach, now) for p in paths]
            operation = Operation(
                operation.type, operation.path, operation.rest, operation.open_flags, keys[0]
            )
        settings = self._shared.engine.settings
        units = min(settings.max_units, max(1.0, float(-(-size // config.unit_bytes))))
        wait_us = config.read_wait_us if change is None else config.write_wait_us
        job = Job(
            id=request_id,
            paths=paths,
            reach=reach,
            change=change is not None,
            finish=finish,
            request=Request(
                request_class=config.read_class if change is None else config.write_class,
                plan=volume.plan,
                volume=volume.volume,
                units=units,
                shard=volume.shard,
                gateways=volume.gateways,
                key=path,
                deadline_us=now + wait_us,
                exchange=operation.exchange,
                answer=lambda result: self._done(job, result),
                wire=WIRE,
                write=change is not None,
                port=config.node_port,
                client_left=self.client_left,
            ),
        )
        self._jobs.append(job)
        self._start(job)

    def _start(self, job: Job) -> None:
        """Requests for the same part of a file are carried out in the order in which they came."""
        before = self._jobs[: self._jobs.index(job)]
        if not job.started and not any(job.after(other) for other in before):
            job.started = True
            self._shared.engine.submit(job.request)

    def _done(self, job: Job, result: Result) -> None:
        if job not in self._jobs:
            return
        self._jobs.remove(job)
        self._answer(job.id, self._outcome(job, result))
        for other in list(self._jobs):
            self._start(other)
        self._wake()

    def _outcome(self, job: Job, result: Result) -> tuple[Type, bytes]:
        if result.verdict is Verdict.SERVED:
            return job.finish(result.value)
        if result.verdict is Verdict.REFUSED:
            pause = -(-result.pause_us // 1000)
            return packets.status(
                Status.FAILURE, f"busy: come again in {pause} ms" if pause else "busy: come again"
            )
        if clock_us() >= job.request.deadline_us - TIMEOUT_SLACK_US:
            return packets.status(Status.FAILURE, "out of time: it may have been carried out")
        return packets.status(Status.FAILURE, "failed: it may have been carried out")

    # --- paths and handles

    def _path(self, raw: bytes) -> str:
        try:
            text = raw.decode("utf-8")
        except UnicodeDecodeError:
            raise RequestError(Status.NO_SUCH_FILE, "bad path: not UTF-8") from None
        if "\0" in text or len(raw) > MOST_PATH:
            raise RequestError(Status.NO_SUCH_FILE, "bad path")
        return posixpath.normpath("/" + text.lstrip("/"))

    def _volume(self, path: str) -> Volume:
        volume = self._shared.config.volume_of(path)
        if volume is None:
            raise RequestError(Status.NO_SUCH_FILE, "bad path: it lies in no volume")
        return volume

    def _handle(self, fields: Fields, need: int = 0) -> Handle:
        handle = self._handles.get(fields.string())
        if handle is None or handle.flags & need != need:
            raise RequestError(Status.FAILURE, "bad handle")
        return handle

    def _opened(self, handle: Handle) -> tuple[Type, bytes]:
        if len(self._handles) >= MOST_HANDLES:
            return packets.status(Status.FAILURE, "too many handles")
        self._made += 1
        name = u64(self._made)
        self._handles[name] = handle
        return Type.HANDLE, string(name)

    # --- the operations

    def _open(self, request_id: int, fields: Fields) -> None:
        path, flags, attrs = self._path(fields.string()), fields.u32(), fields.attrs()
        if flags & Flag.APPEND or not flags & (Flag.READ | Flag.WRITE):
            raise RequestError(Status.OP_UNSUPPORTED, "these flags are not supported")
        # Guards a resent upload: cutting the file at its opening would be one more change that a repeat must
        # not make. The file is cut at CLOSE, where the writes ended.
        handle = Handle(path, flags, truncate=bool(flags & Flag.TRUNC and flags & Flag.WRITE))
        at_node = flags & ~Flag.TRUNC
        makes = b"open %d " % at_node + attrs if flags & Flag.CREAT else None
        operation = Operation(Type.OPEN, path.encode(), attrs, open_flags=at_node)
        self._submit(request_id, operation, EXISTENCE, partial(self._open_done, handle), makes)

    def _open_done(self, handle: Handle, answer: Packet) -> tuple[Type, bytes]:
        return self._opened(handle) if answer.type == Type.HANDLE else passed(answer)

    def _close(self, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        name = fields.string()
        handle = self._handles.pop(name, None)
        if handle is None:
            raise RequestError(Status.FAILURE, "bad handle")
        if not handle.truncate:
            return packets.status(Status.OK)
        attrs = u32(HAS_SIZE) + u64(handle.end)
        self._set(request_id, handle.path, attrs)
        return None

    def _read(self, request_id: int, fields: Fields) -> None:
        handle, offset = self._handle(fields, Flag.READ), fields.u64()
        length = min(fields.u32(), packets.MOST_DATA)
        operation = Operation(Type.READ, handle.path.encode(), b"", Flag.READ, read_from=(offset, length))
        self._submit(request_id, operation, (offset, offset + length), passed, size=length)

    def _write(self, request_id: int, fields: Fields) -> None:
        handle, offset, data = self._handle(fields, Flag.WRITE), fields.u64(), fields.string()
        if len(data) > packets.MOST_DATA:
            raise RequestError(Status.FAILURE, "too much data at once")
        end = offset + len(data)
        handle.end = max(handle.end, end)
        rest = u64(offset) + string(data)
        operation = Operation(Type.WRITE, handle.path.encode(), rest, Flag.WRITE)
        self._submit(request_id, operation, (offset, end), passed, b"write " + rest, len(data))

    def _stat(self, kind: Type, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        path = self._path(fields.string())
        if self._above(path):
            return Type.ATTRS, DIRECTORY
        self._stat_path(kind, request_id, path)
        return None

    def _stat_path(self, kind: Type, request_id: int, path: str) -> None:
        self._submit(request_id, Operation(kind, path.encode()), WHOLE, passed)

    def _fstat(self, request_id: int, fields: Fields) -> None:
        self._stat_path(Type.STAT, request_id, self._handle(fields).path)

    def _setstat(self, request_id: int, fields: Fields) -> None:
        self._set(request_id, self._path(fields.string()), fields.attrs())

    def _fsetstat(self, request_id: int, fields: Fields) -> None:
        self._set(request_id, self._handle(fields).path, fields.attrs())

    def _set(self, request_id: int, path: str, attrs: bytes) -> None:
        sized = Fields(attrs).u32() & HAS_SIZE
        reach = (float(int.from_bytes(attrs[4:12], "big")), WHOLE[1]) if sized else ATTRIBUTES
        operation = Operation(Type.SETSTAT, path.encode(), attrs)
        self._submit(request_id, operation, reach, passed, b"set " + attrs)

    def _opendir(self, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        path = self._path(fields.string())
        if self._above(path):
            names = self._shared.config.names_below(path)
            return self._opened(Handle(path, names=deque(entry(name) for name in names)))
        self._submit(
            request_id, Operation(Type.OPENDIR, path.encode()), ANYWHERE, partial(self._listed, path)
        )
        return None

    def _listed(self, path: str, answer: Packet) -> tuple[Type, bytes]:
        if answer.type != Type.NAME:
            return passed(answer)
        fields, names = Fields(answer.body), deque[bytes]()
        for _ in range(fields.u32()):
            names.append(string(fields.string()) + string(fields.string()) + fields.attrs())
        return self._opened(Handle(path, names=names))

    def _readdir(self, request_id: int, fields: Fields) -> tuple[Type, bytes]:
        names = self._handle(fields).names
        if names is None:
            raise RequestError(Status.FAILURE, "bad handle")
        if not names:
            return packets.status(Status.EOF)
        part = [names.popleft()]
        while names and sum(map(len, part)) + len(names[0]) <= MOST_NAMES:
            part.append(names.popleft())
        return Type.NAME, u32(len(part)) + b"".join(part)

    def _change_path(self, kind: Type, reach: Reach, request_id: int, fields: Fields) -> None:
        """REMOVE, RMDIR and MKDIR."""
        path = self._path(fields.string())
        attrs = fields.attrs() if kind == Type.MKDIR else b""
        operation = Operation(kind, path.encode(), attrs)
        self._submit(request_id, operation, reach, passed, b"%d " % kind + attrs)

    def _rename(self, request_id: int, fields: Fields) -> None:
        old, new = self._path(fields.string()), self._path(fields.string())
        if self._volume(old) != self._volume(new):
            raise RequestError(Status.OP_UNSUPPORTED, "the paths lie in different volumes")
        operation = Operation(Type.RENAME, old.encode(), string(new.encode()))
        self._submit(request_id, operation, WHOLE, passed, b"rename " + string(old.encode()) + new.encode(),
                     other=new)  # fmt: skip

    def _realpath(self, request_id: int, fields: Fields) -> tuple[Type, bytes]:
        return Type.NAME, u32(1) + entry(self._path(fields.string()))

    def _above(self, path: str) -> bool:
        """A directory that only the gateway knows: it lies above the volumes."""
        config = self._shared.config
        return config.volume_of(path) is None and bool(config.names_below(path))


def entry(name: str) -> bytes:
    return string(name.encode()) * 2 + DIRECTORY


def passed(answer: Packet) -> tuple[Type, bytes]:
    """A node's answer goes on as it is, under the client's id."""
    return Type(answer.type), answer.body


Handler = Callable[[SftpSession, int, Fields], tuple[Type, bytes] | None]


def _with(method: Callable[..., tuple[Type, bytes] | None], *first: object) -> Handler:
    return lambda session, request_id, fields: method(session, *first, request_id, fields)


HANDLERS: dict[int, Handler] = {
    Type.OPEN: SftpSession._open,
    Type.CLOSE: SftpSession._close,
    Type.READ: SftpSession._read,
    Type.WRITE: SftpSession._write,
    Type.STAT: _with(SftpSession._stat, Type.STAT),
    Type.LSTAT: _with(SftpSession._stat, Type.LSTAT),
    Type.FSTAT: SftpSession._fstat,
    Type.SETSTAT: SftpSession._setstat,
    Type.FSETSTAT: SftpSession._fsetstat,
    Type.OPENDIR: SftpSession._opendir,
    Type.READDIR: SftpSession._readdir,
    Type.REMOVE: _with(SftpSession._change_path, Type.REMOVE, WHOLE),
    Type.RMDIR: _with(SftpSession._change_path, Type.RMDIR, WHOLE),
    Type.MKDIR: _with(SftpSession._change_path, Type.MKDIR, EXISTENCE),
    Type.RENAME: SftpSession._rename,
    Type.REALPATH: SftpSession._realpath,
}
