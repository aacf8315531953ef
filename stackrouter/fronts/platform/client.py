"""Client side of the platform front: converts RESP2 commands to core requests, and results to RESP2 answers.

Answers are sent in the order of the commands.
"""

from __future__ import annotations

import logging
import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from rackseam.interface import Effect, Settings
from stackrouter.core.answer_stream import AnswerStream, StreamState
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.model import (
    Inbox,
    Request,
    Result,
    Verdict,
    assume_connected,
    take_pipelined,
)
from stackrouter.errors import ClientCommandError, log_error
from stackrouter.fronts.platform import resp
from stackrouter.fronts.platform.node import Command
from stackrouter.net.session import INBOX_BYTES, ClientTimeouts, MalformedError
from stackrouter.ops.drain import Drain

WIRE = "platform"
# Malformed and idle connections must be closed within 3 s; other clients reconnect as needed.
CLIENT_TIMEOUTS = ClientTimeouts(request_s=2.2, idle_s=2.2)
MAX_PIPELINED = 32  # commands of one connection that may wait for their answers
READ, WRITE = b"BLK.READ", b"BLK.WRITE"
BUSY = resp.error("BUSY")
FAILED = resp.error("ERR failed")
DRAINING = resp.error("ERR draining")  # answer to PING; a front sends no new connections from 0.2 s after it
MAX_WAIT_MS = 3_600_000
MAX_LOGGED_BAD_COMMANDS = 8  # only the first ones are logged; the counter includes all of them

log = logging.getLogger(__name__)


@dataclass(slots=True)
class RequestContext:
    """Indexes of classes and plans by name, bounds of requests, ids of open requests, and the drain state
    that PING reports. `classes` and `settings` change at SIGHUP (see ops.retune)."""

    classes: dict[str, int]  # changed in place at SIGHUP
    plans: Mapping[str, int]
    settings: Settings
    shards: int  # 0: not configured
    open_ids: set[bytes] = field(default_factory=set)
    drain: Drain = field(default_factory=Drain)
    classes_without_write_flag: set[int] = field(default_factory=set)  # not configured for these


HEX_ID = re.compile(rb"[0-9a-fA-F]{16}")  # ids of data pieces and volumes
TOKEN = re.compile(rb"[!-+\--~]{1,64}")  # ids and keys: no space, comma or control byte
INTEGER = re.compile(r"-?[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadCommandError(Exception):
    """The command is invalid; it is answered with an error and the connection stays open."""


def parse_request(parts: list[bytes], names: RequestContext, answer: Callable[[Result], None]) -> Request:
    """Convert a BLK command to a core request; raises BadCommandError if no node could use it."""
    name = parts[0].upper()
    if len(parts) != (5 if name == WRITE else 4):
        raise BadCommandError("wrong number of arguments")
    _, piece, request_id, raw_fields, *body = parts
    try:
        pairs = [pair.partition("=") for pair in raw_fields.decode("ascii").split(",")]
    except UnicodeDecodeError:
        raise BadCommandError("bad fields") from None
    fields = {key: value for key, _, value in pairs}
    if len(fields) != len(pairs) or not all(equals for _, equals, _ in pairs):
        raise BadCommandError("a field is given twice or has no value")
    now = clock_us()
    try:
        units, gateways = (
            float(number(DECIMAL, fields["units"])),
            int(number(INTEGER, fields.get("hosts", "1"))),
        )
        shard, wait_ms = int(number(INTEGER, fields.get("shard", "-1"))), int(number(INTEGER, fields["d"]))
        request_class, plan = names.classes.get(fields["c"]), names.plans.get(fields["t"])
        volume = fields["volume"]
    except KeyError as error:
        raise BadCommandError(f"field {error.args[0]} is missing") from None
    if request_class is None or plan is None:
        raise BadCommandError("unknown class or plan")
    settings, profile = names.settings, names.settings.classes[request_class]
    checked = request_class not in names.classes_without_write_flag and any(
        each.writes for each in settings.classes
    )
    if checked and profile.writes != (name == WRITE):
        raise BadCommandError("the class is not for this command")
    key = fields.get("k", "")
    if (
        not HEX_ID.fullmatch(piece)
        or not HEX_ID.fullmatch(volume.encode())
        or not TOKEN.fullmatch(request_id)
    ):
        raise BadCommandError("bad piece, volume or id")
    if (profile.effect is Effect.KEYED or key) and not TOKEN.fullmatch(key.encode()):
        raise BadCommandError("bad key")
    # Protects the volume: a wrong size or gateway count would delay all of its requests.
    is_in_range = 0 < units <= settings.max_units and 1 <= gateways <= settings.gateways
    if (
        not is_in_range
        or shard < -1
        or shard >= (names.shards or shard + 1)
        or not 0 < wait_ms <= MAX_WAIT_MS
    ):
        raise BadCommandError("a field is out of range")
    command = Command(name, piece, request_id, tuple((key, value) for key, _, value in pairs), tuple(body))
    return Request(
        request_class=request_class,
        plan=plan,
        volume=volume,
        units=units,
        shard=shard,
        gateways=gateways,
        key=piece.decode("ascii"),
        deadline_us=now + wait_ms * 1000,
        exchange=command.exchange,
        answer=answer,
        wire=WIRE,
        repeat=fields.get("r") == "1",
        write=name == WRITE,
        trace_id=request_id.decode("ascii", "replace"),
        body_bytes=len(body[0]) if body else 0,
    )


def number(pattern: re.Pattern[str], text: str) -> str:
    """Check a number's form; rejects what only Python parses as a number, such as 1_0."""
    if not pattern.fullmatch(text):
        raise BadCommandError("a field is not a number")
    return text


def encode_result(result: Result) -> bytes | tuple[bytes, ...]:
    if result.verdict is Verdict.SERVED:
        # Sent in parts to avoid another copy of a large value.
        return b"$%d\r\n" % len(result.value), result.value, b"\r\n"
    if result.verdict is Verdict.REFUSED:
        return resp.error(f"BUSY {-(-result.pause_us // 1000)}" if result.pause_us else "BUSY")
    return FAILED


def ignore_change() -> None:
    """Callback of a stream whose client needs nothing more."""


class _Slot:
    """A command's position in the order of answers. `parts`: its answer, None until it is known; `stream`:
    its value, if that is still arriving when the client gets its beginning; `waits_to_be_whole`: the client
    gets nothing of the stream before it is complete."""

    __slots__ = ("id", "lease", "parts", "request", "stream", "waits_to_be_whole")

    def __init__(self, data: bytes | None = None) -> None:
        self.id = b""
        self.parts: list[bytes] | None = None if data is None else [data]
        self.request: Request | None = None
        self.lease: object = None  # kept until the whole answer has been output
        self.stream: AnswerStream | None = None
        self.waits_to_be_whole = False

    def release(self) -> None:
        """Break reference cycles, so that the memory is free without the garbage collector."""
        self.request = None
        if self.stream is not None:
            self.stream.on_change = ignore_change
            self.stream = None


class PlatformSession:
    """The platform's session of one client connection (see `net.session.Session`)."""

    def __init__(
        self, engine: Engine, names: RequestContext, counters: Counters, wake: Callable[[], None]
    ) -> None:
        self._engine, self._names, self._counters, self._wake = engine, names, counters, wake
        self.client_hung_up = assume_connected
        self.refuses_pipelined = take_pipelined
        self._slots: deque[_Slot] = deque()
        self._stream_begun = False  # the client has the beginning of the first slot's stream
        # Slots whose values may still break off within, which ends the connection: nothing is taken behind.
        self._passing_on: set[_Slot] = set()
        self._is_partly_read = False  # the inbox holds more than the commands taken
        self.min_inbox_bytes = 0
        self.answer_broken = False

    def received(self, inbox: Inbox) -> None:
        try:
            self._take_commands(inbox)
        finally:
            self._is_partly_read = len(inbox) > 0

    def _take_commands(self, inbox: Inbox) -> None:
        self.min_inbox_bytes = 0
        while not self.full():
            try:
                value = resp.parse(inbox)
            except resp.ShortError as short:
                if short.need > INBOX_BYTES:
                    raise MalformedError(resp.error("ERR Protocol error: command too long")) from None
                self.min_inbox_bytes = short.need
                return
            except resp.ProtocolError as error:
                raise MalformedError(resp.error(f"ERR Protocol error: {error}")) from None
            match value:
                case [bytes(), *_] as parts if all(isinstance(part, bytes) for part in parts):
                    self._handle_command([part for part in parts if isinstance(part, bytes)])
                case _:
                    raise MalformedError(resp.error("ERR Protocol error: expected an array of bulk strings"))

    def _handle_command(self, parts: list[bytes]) -> None:
        name = parts[0].upper()
        if name in (READ, WRITE):
            slot = _Slot()
            try:
                request = parse_request(parts, self._names, lambda result: self._set_answer(slot, result))
                request.client_hung_up = self.client_hung_up
                request.begin_answer = lambda stream: self._begin_answer(slot, stream)
                request.has_requests_behind = lambda: self._has_commands_behind(slot)
                # Protects the open request: nodes would treat this one as another attempt of it.
                if parts[2] in self._names.open_ids:
                    raise BadCommandError("a request with this id is open")
            except BadCommandError as error:
                self._counters.add("clients.bad_command")
                # Limited so that a faulty client cannot fill the log.
                if self._counters["clients.bad_command"] <= MAX_LOGGED_BAD_COMMANDS:
                    fields = parts[3][:120] if len(parts) > 3 else b""
                    log_error(log, ClientCommandError(error), f"bad command {fields!r}")
                slot.parts = [resp.error(f"ERR {error}")]
            else:
                slot.request, slot.id = request, parts[2]
                self._names.open_ids.add(slot.id)
                if self.refuses_pipelined():
                    self._engine.refuse(request, "requests.refused_at_close", pause_us=0)
                else:
                    self._engine.submit(request)
            self._slots.append(slot)
        elif name == b"PING" and not self._names.drain.serving:
            self._slots.append(_Slot(DRAINING))
        elif name == b"PING" and len(parts) <= 2:
            self._slots.append(_Slot(resp.bulk(parts[1]) if len(parts) == 2 else b"+PONG\r\n"))
        elif name in (b"CLIENT", b"SELECT"):
            self._slots.append(_Slot(b"+OK\r\n"))
        else:
            self._counters.add("clients.bad_command")
            self._slots.append(_Slot(resp.error("ERR unknown command")))
        if self._slots[0].parts is not None:
            self._wake()

    def _set_answer(self, slot: _Slot, result: Result) -> None:
        parts = encode_result(result)
        slot.parts = list(parts) if isinstance(parts, tuple) else [parts]
        slot.request, slot.lease = None, result.lease
        self._names.open_ids.discard(slot.id)
        if self._slots and self._slots[0] is slot:
            self._wake()

    def _has_commands_behind(self, slot: _Slot) -> bool:
        """Whether commands behind this one have been taken, or a part of one has been read."""
        return self._is_partly_read or (bool(self._slots) and self._slots[-1] is not slot)

    def _begin_answer(self, slot: _Slot, stream: AnswerStream) -> None:
        slot.stream = stream
        # Of a value of usual length only the last byte is timed, so it can wait; a long one must be begun.
        slot.waits_to_be_whole = not stream.is_long and self._has_commands_behind(slot)
        if not slot.waits_to_be_whole:
            self._passing_on.add(slot)
        stream.on_change = lambda: self._stream_changed(slot)
        self._stream_changed(slot)

    def _stream_changed(self, slot: _Slot) -> None:
        assert slot.stream is not None
        if slot.stream.state is not StreamState.OPEN:
            slot.request = None
            self._passing_on.discard(slot)
            self._names.open_ids.discard(slot.id)
        if self._slots and self._slots[0] is slot:
            self._wake()

    def _stream_output(self, slot: _Slot, stream: AnswerStream) -> bytes | None:
        """The next bytes of the first slot's value, which may still be arriving."""
        if not self._stream_begun:
            if slot.waits_to_be_whole and stream.state is StreamState.OPEN:
                return None
            if stream.state is StreamState.BROKEN:  # before the client had anything of it
                self._slots.popleft().release()
                return FAILED
            self._stream_begun = True
            return b"$%d\r\n" % stream.length
        if part := stream.take():
            return part
        self.answer_broken = stream.state is StreamState.BROKEN
        if stream.state is not StreamState.COMPLETE:
            return None
        self._slots.popleft().release()
        self._stream_begun = False
        return b"\r\n"

    def output(self) -> bytes | None:
        slot = self._slots[0] if self._slots else None
        if slot is not None and slot.stream is not None:
            return self._stream_output(slot, slot.stream)
        parts = slot.parts if slot is not None else None
        if parts is None:
            return None
        part = parts.pop(0)
        if not parts:
            self._slots.popleft()
        return part

    def pending(self) -> int:
        return len(self._slots)

    def full(self) -> bool:
        return len(self._slots) >= MAX_PIPELINED or bool(self._passing_on)

    def on_disconnect(self) -> None:
        for slot in self._slots:
            if slot.request is not None:
                self._engine.withdraw(slot.request)
                self._names.open_ids.discard(slot.id)
            slot.release()
        self._slots.clear()
        self._passing_on.clear()
