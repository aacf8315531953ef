"""Client side of the SFTP front: converts packets to core requests, and results to one packet per request id.

Handles exist in the gateway only (a path and flags, or a listing); nodes keep nothing open for a client.
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
from stackrouter.core.model import Inbox, Request, Result, Verdict, assume_connected, take_pipelined
from stackrouter.fronts.sftp import packets
from stackrouter.fronts.sftp.config import SftpConfig, Volume
from stackrouter.fronts.sftp.keys import ATTRIBUTES, EXISTENCE, WHOLE, Extent, Keys, overlap
from stackrouter.fronts.sftp.node import Operation
from stackrouter.fronts.sftp.packets import Fields, Flag, Packet, Status, Type, string, u32, u64
from stackrouter.net.session import ClientTimeouts, MalformedError

WIRE = "sftp"
# Closing a connection loses the session's handles, and people pause between commands.
CLIENT_TIMEOUTS = ClientTimeouts(request_s=10.0, idle_s=600.0)
MAX_PENDING = 32  # requests of one connection that may wait for their answers
MAX_HANDLES = 256
MAX_READDIR_BYTES = 32 * 1024  # of entries in one answer to READDIR
MAX_PATH_BYTES = 4096
TIMEOUT_SLACK_US = 20_000  # a failure this close to the deadline is reported as a timeout
ATTR_SIZE = 1  # flag of file attributes: the size is present
DIRECTORY_ATTRS = u32(4) + u32(0o40555)  # attributes: permissions only
NO_EXTENT: Extent = (-10, -9)  # overlaps no other extent: the operation waits for no change

AnswerConverter = Callable[[Packet], tuple[Type, bytes]]  # converts a node's answer to the client's


@dataclass(slots=True, eq=False)
class Handle:
    """An open file or, if `names` is set, an open directory."""

    path: str
    flags: int = 0
    names: deque[bytes] | None = None  # encoded entries of a listing that READDIR has not returned yet
    truncate: bool = False  # CLOSE truncates the file to `end`
    end: int = 0  # end of the farthest write


@dataclass(slots=True, eq=False)
class Job:
    """A request to nodes with the paths and extent that it touches; overlapping changes keep their order."""

    id: int
    paths: tuple[str, ...]
    extent: Extent
    is_change: bool
    request: Request
    convert_answer: AnswerConverter
    started: bool = False

    def must_follow(self, other: Job) -> bool:
        """Whether this job must wait for the earlier `other` one."""
        touches = any(path in other.paths for path in self.paths)
        return touches and (self.is_change or other.is_change) and overlap(self.extent, other.extent)


@dataclass(frozen=True, slots=True)
class _Answer:
    """An encoded packet for the client. `lease`: on its memory, kept until the packet has been written."""

    data: bytes
    lease: object = None


class RequestError(Exception):
    """The request is answered with a STATUS packet; the connection stays open."""

    def __init__(self, code: Status, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


@dataclass(slots=True)
class SftpContext:
    """State shared by all sessions of the front."""

    config: SftpConfig
    engine: Engine
    counters: Counters
    keys: Keys = field(init=False)

    def __post_init__(self) -> None:
        self.keys = Keys(self.config.window_us)


class SftpSession:
    """The SFTP session of one client connection (see `net.session.Session`)."""

    def __init__(self, shared: SftpContext, wake: Callable[[], None]) -> None:
        self._shared, self._wake = shared, wake
        self.client_hung_up = assume_connected
        self.refuses_pipelined = take_pipelined
        self.min_inbox_bytes = 0  # packets are bounded: no larger inbox is needed
        self.answer_broken = False  # data is answered in whole packets
        self._ready: deque[_Answer] = deque()
        self._written: _Answer | None = None  # the packet that the connection is writing
        self._jobs: list[Job] = []
        self._handles: dict[bytes, Handle] = {}
        self._last_handle = 0
        self._is_initialized = False

    # --- the Session protocol

    def received(self, inbox: Inbox) -> None:
        while not self.full():
            try:
                packet = packets.take(inbox)
                if packet is None:
                    return
                self._handle_packet(packet)
            except (packets.PacketError, struct.error):
                raise MalformedError from None
            self._wake()

    def output(self) -> bytes | None:
        self._written = self._ready.popleft() if self._ready else None
        return None if self._written is None else self._written.data

    def pending(self) -> int:
        return len(self._jobs) + len(self._ready)

    def full(self) -> bool:
        return self.pending() >= MAX_PENDING

    def on_disconnect(self) -> None:
        for job in self._jobs:
            if job.started:
                self._shared.engine.withdraw(job.request)
        self._jobs.clear()

    # --- received packets

    def _handle_packet(self, packet: Packet) -> None:
        if not self._is_initialized:
            if packet.type != Type.INIT or Fields(packet.body).u32() < packets.VERSION:
                raise packets.PacketError("the first packet must be INIT")
            self._is_initialized = True
            self._ready.append(_Answer(Packet(Type.VERSION, u32(packets.VERSION)).encode()))
            return
        if packet.type == Type.INIT:
            raise packets.PacketError("INIT is repeated")
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

    def _answer(self, request_id: int, done: tuple[Type, bytes], lease: object = None) -> None:
        self._ready.append(_Answer(Packet(done[0], done[1], request_id).encode(), lease))

    # --- requests to nodes

    def _submit(
        self,
        request_id: int,
        operation: Operation,
        extent: Extent,
        convert_answer: AnswerConverter,
        change: bytes | None = None,
        size: int = 0,
        other: str | None = None,
    ) -> None:
        """Submit an operation to the core.

        `change`: content that the idempotency key of a change is derived from, None for a read; `size`: bytes
        of data; `other`: a second path that the operation touches. RequestError: the connection is to be
        closed as soon as the requests before this one have been answered.
        """
        if self.refuses_pipelined():
            self._shared.counters.add("sftp.refused_at_close")
            raise RequestError(Status.FAILURE, "busy: come again on another connection")
        config, now = self._shared.config, clock_us()
        path = operation.path.decode()
        volume = self._volume(path)
        paths = (path,) if other is None else (path, other)
        if change is not None:
            keys = [self._shared.keys.key(each.encode(), change, extent, now) for each in paths]
            operation = Operation(
                operation.type, operation.path, operation.rest, operation.open_flags, keys[0]
            )
        settings = self._shared.engine.settings
        units = min(settings.max_units, max(1.0, float(-(-size // config.unit_bytes))))
        wait_us = config.read_wait_us if change is None else config.write_wait_us
        job = Job(
            id=request_id,
            paths=paths,
            extent=extent,
            is_change=change is not None,
            convert_answer=convert_answer,
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
                answer=lambda result: self._finish(job, result),
                wire=WIRE,
                write=change is not None,
                port=config.node_port,
                client_hung_up=self.client_hung_up,
                body_bytes=len(operation.rest),
            ),
        )
        self._jobs.append(job)
        self._start(job)

    def _start(self, job: Job) -> None:
        """Submit the job unless it must follow an earlier one; overlapping changes run in order."""
        before = self._jobs[: self._jobs.index(job)]
        if not job.started and not any(job.must_follow(other) for other in before):
            job.started = True
            self._shared.engine.submit(job.request)

    def _finish(self, job: Job, result: Result) -> None:
        if job not in self._jobs:
            return
        self._jobs.remove(job)
        self._answer(job.id, self._result_answer(job, result), result.lease)
        for other in list(self._jobs):
            if other in self._jobs:  # else it was refused at once, when one before it was started
                self._start(other)
        self._wake()

    def _result_answer(self, job: Job, result: Result) -> tuple[Type, bytes]:
        if result.verdict is Verdict.SERVED:
            return job.convert_answer(result.value)
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
        if "\0" in text or len(raw) > MAX_PATH_BYTES:
            raise RequestError(Status.NO_SUCH_FILE, "bad path")
        return posixpath.normpath("/" + text.lstrip("/"))

    def _volume(self, path: str) -> Volume:
        volume = self._shared.config.volume_of(path)
        if volume is None:
            raise RequestError(Status.NO_SUCH_FILE, "bad path: it lies in no volume")
        return volume

    def _find_handle(self, fields: Fields, need: int = 0) -> Handle:
        handle = self._handles.get(fields.string())
        if handle is None or handle.flags & need != need:
            raise RequestError(Status.FAILURE, "bad handle")
        return handle

    def _add_handle(self, handle: Handle) -> tuple[Type, bytes]:
        if len(self._handles) >= MAX_HANDLES:
            return packets.status(Status.FAILURE, "too many handles")
        self._last_handle += 1
        name = u64(self._last_handle)
        self._handles[name] = handle
        return Type.HANDLE, string(name)

    # --- the operations

    def _open(self, request_id: int, fields: Fields) -> None:
        path, flags, attrs = self._path(fields.string()), fields.u32(), fields.attrs()
        if flags & Flag.APPEND or not flags & (Flag.READ | Flag.WRITE):
            raise RequestError(Status.OP_UNSUPPORTED, "these flags are not supported")
        # Truncating at OPEN would be a further change that a resent upload must not repeat. The file is
        # truncated at CLOSE instead, to the end of the writes.
        handle = Handle(path, flags, truncate=bool(flags & Flag.TRUNC and flags & Flag.WRITE))
        node_flags = flags & ~Flag.TRUNC
        create_content = b"open %d " % node_flags + attrs if flags & Flag.CREAT else None
        operation = Operation(Type.OPEN, path.encode(), attrs, open_flags=node_flags)
        self._submit(request_id, operation, EXISTENCE, partial(self._open_done, handle), create_content)

    def _open_done(self, handle: Handle, answer: Packet) -> tuple[Type, bytes]:
        return self._add_handle(handle) if answer.type == Type.HANDLE else forward_answer(answer)

    def _close(self, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        name = fields.string()
        handle = self._handles.pop(name, None)
        if handle is None:
            raise RequestError(Status.FAILURE, "bad handle")
        if not handle.truncate:
            return packets.status(Status.OK)
        attrs = u32(ATTR_SIZE) + u64(handle.end)
        self._submit_setstat(request_id, handle.path, attrs)
        return None

    def _read(self, request_id: int, fields: Fields) -> None:
        handle, offset = self._find_handle(fields, Flag.READ), fields.u64()
        length = min(fields.u32(), packets.MAX_DATA_BYTES)
        operation = Operation(Type.READ, handle.path.encode(), b"", Flag.READ, read_from=(offset, length))
        self._submit(request_id, operation, (offset, offset + length), forward_answer, size=length)

    def _write(self, request_id: int, fields: Fields) -> None:
        handle, offset, data = self._find_handle(fields, Flag.WRITE), fields.u64(), fields.string()
        if len(data) > packets.MAX_DATA_BYTES:
            raise RequestError(Status.FAILURE, "too much data at once")
        end = offset + len(data)
        handle.end = max(handle.end, end)
        rest = u64(offset) + string(data)
        operation = Operation(Type.WRITE, handle.path.encode(), rest, Flag.WRITE)
        self._submit(request_id, operation, (offset, end), forward_answer, b"write " + rest, len(data))

    def _stat(self, kind: Type, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        path = self._path(fields.string())
        if self._is_above_volumes(path):
            return Type.ATTRS, DIRECTORY_ATTRS
        self._submit_stat(kind, request_id, path)
        return None

    def _submit_stat(self, kind: Type, request_id: int, path: str) -> None:
        self._submit(request_id, Operation(kind, path.encode()), WHOLE, forward_answer)

    def _fstat(self, request_id: int, fields: Fields) -> None:
        self._submit_stat(Type.STAT, request_id, self._find_handle(fields).path)

    def _setstat(self, request_id: int, fields: Fields) -> None:
        self._submit_setstat(request_id, self._path(fields.string()), fields.attrs())

    def _fsetstat(self, request_id: int, fields: Fields) -> None:
        self._submit_setstat(request_id, self._find_handle(fields).path, fields.attrs())

    def _submit_setstat(self, request_id: int, path: str, attrs: bytes) -> None:
        sets_size = Fields(attrs).u32() & ATTR_SIZE
        extent = (float(int.from_bytes(attrs[4:12], "big")), WHOLE[1]) if sets_size else ATTRIBUTES
        operation = Operation(Type.SETSTAT, path.encode(), attrs)
        self._submit(request_id, operation, extent, forward_answer, b"set " + attrs)

    def _opendir(self, request_id: int, fields: Fields) -> tuple[Type, bytes] | None:
        path = self._path(fields.string())
        if self._is_above_volumes(path):
            names = self._shared.config.names_below(path)
            return self._add_handle(Handle(path, names=deque(name_entry(name) for name in names)))
        self._submit(
            request_id, Operation(Type.OPENDIR, path.encode()), NO_EXTENT, partial(self._listed, path)
        )
        return None

    def _listed(self, path: str, answer: Packet) -> tuple[Type, bytes]:
        if answer.type != Type.NAME:
            return forward_answer(answer)
        fields, names = Fields(answer.body), deque[bytes]()
        for _ in range(fields.u32()):
            names.append(string(fields.string()) + string(fields.string()) + fields.attrs())
        return self._add_handle(Handle(path, names=names))

    def _readdir(self, request_id: int, fields: Fields) -> tuple[Type, bytes]:
        names = self._find_handle(fields).names
        if names is None:
            raise RequestError(Status.FAILURE, "bad handle")
        if not names:
            return packets.status(Status.EOF)
        part = [names.popleft()]
        while names and sum(map(len, part)) + len(names[0]) <= MAX_READDIR_BYTES:
            part.append(names.popleft())
        return Type.NAME, u32(len(part)) + b"".join(part)

    def _change_path(self, kind: Type, extent: Extent, request_id: int, fields: Fields) -> None:
        """Handles REMOVE, RMDIR and MKDIR."""
        path = self._path(fields.string())
        attrs = fields.attrs() if kind == Type.MKDIR else b""
        operation = Operation(kind, path.encode(), attrs)
        self._submit(request_id, operation, extent, forward_answer, b"%d " % kind + attrs)

    def _rename(self, request_id: int, fields: Fields) -> None:
        old, new = self._path(fields.string()), self._path(fields.string())
        if self._volume(old) != self._volume(new):
            raise RequestError(Status.OP_UNSUPPORTED, "the paths lie in different volumes")
        operation = Operation(Type.RENAME, old.encode(), string(new.encode()))
        self._submit(request_id, operation, WHOLE, forward_answer,
                     b"rename " + string(old.encode()) + new.encode(), other=new)  # fmt: skip

    def _realpath(self, request_id: int, fields: Fields) -> tuple[Type, bytes]:
        return Type.NAME, u32(1) + name_entry(self._path(fields.string()))

    def _is_above_volumes(self, path: str) -> bool:
        """Whether the path is a directory above the volumes, which only the gateway knows."""
        config = self._shared.config
        return config.volume_of(path) is None and bool(config.names_below(path))


def name_entry(name: str) -> bytes:
    return string(name.encode()) * 2 + DIRECTORY_ATTRS


def forward_answer(answer: Packet) -> tuple[Type, bytes]:
    """Forward a node's answer unchanged, under the client's request id."""
    return Type(answer.type), answer.body


Handler = Callable[[SftpSession, int, Fields], tuple[Type, bytes] | None]


def _bind(method: Callable[..., tuple[Type, bytes] | None], *first: object) -> Handler:
    return lambda session, request_id, fields: method(session, *first, request_id, fields)


HANDLERS: dict[int, Handler] = {
    Type.OPEN: SftpSession._open,
    Type.CLOSE: SftpSession._close,
    Type.READ: SftpSession._read,
    Type.WRITE: SftpSession._write,
    Type.STAT: _bind(SftpSession._stat, Type.STAT),
    Type.LSTAT: _bind(SftpSession._stat, Type.LSTAT),
    Type.FSTAT: SftpSession._fstat,
    Type.SETSTAT: SftpSession._setstat,
    Type.FSETSTAT: SftpSession._fsetstat,
    Type.OPENDIR: SftpSession._opendir,
    Type.READDIR: SftpSession._readdir,
    Type.REMOVE: _bind(SftpSession._change_path, Type.REMOVE, WHOLE),
    Type.RMDIR: _bind(SftpSession._change_path, Type.RMDIR, WHOLE),
    Type.MKDIR: _bind(SftpSession._change_path, Type.MKDIR, EXISTENCE),
    Type.RENAME: SftpSession._rename,
    Type.REALPATH: SftpSession._realpath,
}
