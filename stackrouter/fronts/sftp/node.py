"""The SFTP front's node side: each attempt is a talk of its own that leaves nothing open at the node.

Every talk begins with an extended request, `attempt@stackrouter`, with the idempotency key (empty for reads)
and the time that the gateway will wait. A node that knows it drops repeats of a key and may answer `busy`
before anything has run; others answer OP_UNSUPPORTED, and the talk goes on without.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from rackseam.interface import Outcome
from stackrouter.core.model import Inbox, Reply, Step
from stackrouter.fronts.figures import reply_with
from stackrouter.fronts.sftp import packets
from stackrouter.fronts.sftp.packets import Fields, Packet, Status, Type, string, u32, u64

ATTEMPT = b"attempt@stackrouter"
BUSY = b"busy"
MOST_LISTING = 256 * 1024  # names of one directory, in bytes

Talk = Generator[Step, Packet, Reply]


@dataclass(frozen=True, slots=True)
class Operation:
    """What an attempt asks of a node. `open_flags` where it needs a handle of the node's own."""

    type: Type
    path: bytes
    rest: bytes = b""  # what follows the path, or with `open_flags` the handle
    open_flags: int = 0
    key: str = ""
    read_from: tuple[int, int] | None = None  # of a READ: offset and length

    def exchange(self) -> SftpExchange:
        return SftpExchange(self)


class SftpExchange:
    def __init__(self, operation: Operation) -> None:
        self._operation, self._id = operation, 0
        self.needs = 0  # packets are bounded
        self._talk: Talk | None = None

    def start(self, wait_us: int, fresh: bool) -> Step:
        self._talk = self._run(wait_us, fresh)
        return next(self._talk)

    def received(self, inbox: Inbox) -> Step | Reply | None:
        assert self._talk is not None
        try:
            packet = packets.take(inbox)
            if packet is None:
                return None
            if packet.type != Type.VERSION and packet.id != self._id:
                raise packets.PacketError(f"an answer to {packet.id}, not to {self._id}")
            return self._talk.send(packet)
        except StopIteration as end:
            reply: Reply = end.value
            return reply
        except packets.PacketError:
            return Reply(Outcome.ERROR)  # spoilt on its way: the node is there, and may have run it

    def _step(self, kind: Type, body: bytes, effective: bool = True) -> Step:
        self._id += 1
        return Step(Packet(kind, body, self._id).encode(), effective)

    def _run(self, wait_us: int, fresh: bool) -> Talk:
        operation = self._operation
        if fresh:
            hello = yield Step(Packet(Type.INIT, u32(packets.VERSION)).encode(), effective=False)
            if hello.type != Type.VERSION:
                raise packets.PacketError("no VERSION")
        about = string(ATTEMPT) + string(operation.key.encode()) + u32(max(1, -(-wait_us // 1000)))
        taken = yield self._step(Type.EXTENDED, about, effective=False)
        figures = []
        if taken.type == Type.EXTENDED_REPLY:
            figures = [Fields(taken.body).string()]
        elif status_of(taken) is None:
            raise packets.PacketError("neither a reply nor a status")
        elif is_busy(taken):
            return Reply(Outcome.FULL, exact=True)
        if operation.type == Type.OPENDIR:
            answer = yield from self._list()
        elif operation.open_flags:
            answer = yield from self._with_handle()
        else:
            answer = yield self._step(operation.type, string(operation.path) + operation.rest)
        # FAILURE says nothing of what was done; the other statuses are answers.
        failed = status_of(answer) == Status.FAILURE
        return reply_with(Outcome.ERROR if failed else Outcome.DONE, answer, figures, True)

    def _with_handle(self) -> Generator[Step, Packet, Packet]:
        operation = self._operation
        attrs = operation.rest if operation.type == Type.OPEN else u32(0)
        opened = yield self._step(Type.OPEN, string(operation.path) + u32(operation.open_flags) + attrs)
        if opened.type != Type.HANDLE:
            return opened
        handle = string(Fields(opened.body).string())
        answer = opened
        if operation.type == Type.READ and operation.read_from is not None:
            offset, length = operation.read_from
            answer = yield self._step(Type.READ, handle + u64(offset) + u32(length))
        elif operation.type == Type.WRITE:
            answer = yield self._step(Type.WRITE, handle + operation.rest)
        closed = yield self._step(Type.CLOSE, handle)
        # A write is done once its handle is closed without an error.
        return closed if operation.type == Type.WRITE and succeeded(answer) else answer

    def _list(self) -> Generator[Step, Packet, Packet]:
        """The whole directory in one attempt, so that no part of it is asked of a node later."""
        opened = yield self._step(Type.OPENDIR, string(self._operation.path))
        if opened.type != Type.HANDLE:
            return opened
        handle = string(Fields(opened.body).string())
        count, names = 0, bytearray()
        while True:
            part = yield self._step(Type.READDIR, handle)
            if part.type != Type.NAME or len(names) > MOST_LISTING:
                break
            count += Fields(part.body).u32()
            names += part.body[4:]
        yield self._step(Type.CLOSE, handle)
        if status_of(part) != Status.EOF:
            return part if part.type == Type.STATUS else Packet(*packets.status(Status.FAILURE, "too long"))
        return Packet(Type.NAME, u32(count) + bytes(names))


def status_of(packet: Packet) -> int | None:
    return Fields(packet.body).u32() if packet.type == Type.STATUS else None


def succeeded(packet: Packet) -> bool:
    return status_of(packet) == Status.OK


def is_busy(packet: Packet) -> bool:
    fields = Fields(packet.body)
    return fields.u32() == Status.FAILURE and fields.string().startswith(BUSY)
