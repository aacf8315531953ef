"""Node side of the SFTP front: each attempt is an exchange of its own that leaves nothing open at the node.

Every exchange begins with an extended request, `attempt@stackrouter`, with the idempotency key (empty for
reads) and the time that the gateway will wait. A node that supports it drops repeats of a key and may answer
`busy` before anything has run; others answer OP_UNSUPPORTED, and the exchange continues without it.
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
MAX_LISTING_BYTES = 256 * 1024  # of the entries of one directory

ExchangeSteps = Generator[Step, Packet, Reply]


@dataclass(frozen=True, slots=True)
class Operation:
    """What an attempt asks of a node. `open_flags`: set if it must open a handle at the node."""

    type: Type
    path: bytes
    rest: bytes = b""  # fields after the path, or after the handle with `open_flags`
    open_flags: int = 0
    key: str = ""
    read_from: tuple[int, int] | None = None  # of a READ: offset and length

    def exchange(self) -> SftpExchange:
        return SftpExchange(self)


class SftpExchange:
    """One attempt's exchange with a node (see `core.model.Exchange`)."""

    def __init__(self, operation: Operation) -> None:
        self._operation, self._id = operation, 0
        self.min_inbox_bytes = 0  # packets are bounded: no larger inbox is needed
        self.value_bytes: int | None = None  # data comes in whole packets, which are short
        self._steps: ExchangeSteps | None = None

    def start(self, wait_us: int, fresh: bool) -> Step:
        self._steps = self._run(wait_us, fresh)
        return next(self._steps)

    def pass_on(self, inbox: Inbox) -> None:
        """Never called, as `value_bytes` stays unknown."""

    def next_part(self, inbox: Inbox, max_bytes: int) -> bytes:
        """Never called, as `value_bytes` stays unknown."""
        return b""

    def received(self, inbox: Inbox) -> Step | Reply | None:
        assert self._steps is not None
        try:
            packet = packets.take(inbox)
            if packet is None:
                return None
            if packet.type != Type.VERSION and packet.id != self._id:
                raise packets.PacketError(f"answer has id {packet.id}, expected {self._id}")
            return self._steps.send(packet)
        except StopIteration as end:
            reply: Reply = end.value
            return reply
        except packets.PacketError:
            return Reply(Outcome.ERROR)  # malformed answer: the node is alive, and may have run the operation

    def _step(self, kind: Type, body: bytes, may_run: bool = True) -> Step:
        self._id += 1
        return Step(Packet(kind, body, self._id).encode(), may_run)

    def _run(self, wait_us: int, fresh: bool) -> ExchangeSteps:
        operation = self._operation
        if fresh:
            greeting = yield Step(Packet(Type.INIT, u32(packets.VERSION)).encode(), may_run=False)
            if greeting.type != Type.VERSION:
                raise packets.PacketError("INIT was not answered with VERSION")
        attempt_info = string(ATTEMPT) + string(operation.key.encode()) + u32(max(1, -(-wait_us // 1000)))
        accepted = yield self._step(Type.EXTENDED, attempt_info, may_run=False)
        figures = []
        if accepted.type == Type.EXTENDED_REPLY:
            figures = [Fields(accepted.body).string()]
        elif status_of(accepted) is None:
            raise packets.PacketError("EXTENDED was answered with neither EXTENDED_REPLY nor STATUS")
        elif is_busy(accepted):
            return Reply(Outcome.FULL, exact=True)
        if operation.type == Type.OPENDIR:
            answer = yield from self._list()
        elif operation.open_flags:
            answer = yield from self._with_handle()
        else:
            answer = yield self._step(operation.type, string(operation.path) + operation.rest)
        # FAILURE does not tell what was done; all other statuses are results.
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
        # A write has succeeded only when its handle is closed without an error.
        return closed if operation.type == Type.WRITE and succeeded(answer) else answer

    def _list(self) -> Generator[Step, Packet, Packet]:
        """Fetch the whole directory in one attempt, so that READDIR needs no further request to a node."""
        opened = yield self._step(Type.OPENDIR, string(self._operation.path))
        if opened.type != Type.HANDLE:
            return opened
        handle = string(Fields(opened.body).string())
        count, names = 0, bytearray()
        while True:
            part = yield self._step(Type.READDIR, handle)
            if part.type != Type.NAME or len(names) > MAX_LISTING_BYTES:
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
