"""The platform's client side: RESP2 commands to core requests, results to RESP2 answers, in order."""

from __future__ import annotations

import logging
import re
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from rackseam.interface import Effect, Settings
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.model import Inbox, Request, Result, Verdict, client_stays
from stackrouter.errors import ClientCommandError, tell
from stackrouter.fronts.platform import resp
from stackrouter.fronts.platform.node import Command
from stackrouter.net.listener import INBOX, MalformedError, Patience
from stackrouter.ops.drain import Drain

WIRE = "platform"
PATIENCE = Patience(
    request_s=2.2, idle_s=2.2
)  # bad clients must hear within 3 s; good ones open what they need
MOST_PIPELINED = 32  # commands of one connection that may wait for their answers
READ, WRITE = b"BLK.READ", b"BLK.WRITE"
BUSY = resp.error("BUSY")
DRAINING = resp.error("ERR draining")  # PING's no: the front sends no new connection 0.2 s later
LONGEST_WAIT_MS = 3_600_000
LOGGED_BAD = 8  # bad commands told in the log, the first ones; the counter counts them all

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Names:
    """The settings' names of classes and plans, by index, the bounds of requests, the open ids, and the
    drain that PING tells the front of. `classes` and `settings` change at SIGHUP (see ops.retune)."""

    classes: dict[str, int]  # changed in place at SIGHUP
    plans: Mapping[str, int]
    settings: Settings
    shards: int  # 0: not stated
    open: set[bytes] = field(default_factory=set)
    drain: Drain = field(default_factory=Drain)
    unchecked: set[int] = field(default_factory=set)  # classes whose write flag no file stated


PIECE = re.compile(rb"[0-9a-fA-F]{16}")  # of data, and volumes
TOKEN = re.compile(rb"[!-+\--~]{1,64}")  # ids and keys: no space, comma or control byte
WHOLE = re.compile(r"-?[0-9]{1,9}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadCommandError(Exception):
    """The command cannot be carried out; the connection goes on."""


def request_of(parts: list[bytes], names: Names, answer: Callable[[Result], None]) -> Request:
    """A BLK command in the core's terms; raises BadCommandError for what no node could use."""
    name = parts[0].upper()
    if len(parts) != (5 if name == WRITE else 4):
        raise BadCommandError("wrong number of arguments")
    _, piece, request_id, raw, *body = parts
    try:
        pairs = [field.partition("=") for field in raw.decode("ascii").split(",")]
    except UnicodeDecodeError:
        raise BadCommandError("bad fields") from None
    fields = {key: value for key, _, value in pairs}
    if len(fields) != len(pairs) or not all(equals for _, equals, _ in pairs):
        raise BadCommandError("a field is given twice or has no value")
    now = clock_us()
    try:
        units, gateways = float(number(AMOUNT, fields["units"])), int(number(WHOLE, fields.get("hosts", "1")))
        shard, wait_ms = int(number(WHOLE, fields.get("shard", "-1"))), int(number(WHOLE, fields["d"]))
        request_class, plan = names.classes.get(fields["c"]), names.plans.get(fields["t"])
        volume = fields["volume"]
    except KeyError as error:
        raise BadCommandError(f"field {error.args[0]} is missing") from None
    if request_class is None or plan is None:
        raise BadCommandError("unknown class or plan")
    settings, cls = names.settings, names.settings.classes[request_class]
    checked = request_class not in names.unchecked and any(c.writes for c in settings.classes)
    if checked and cls.writes != (name == WRITE):
        raise BadCommandError("the class is not for this command")
    key = fields.get("k", "")
    if not PIECE.fullmatch(piece) or not PIECE.fullmatch(volume.encode()) or not TOKEN.fullmatch(request_id):
        raise BadCommandError("bad piece, volume or id")
    if (cls.effect is Effect.KEYED or key) and not TOKEN.fullmatch(key.encode()):
        raise BadCommandError("bad key")
    # Guards the volume: a false size or number of gateways would hold up all its requests.
    sizes = 0 < units <= settings.max_units and 1 <= gateways <= settings.gateways
    if not sizes or shard < -1 or shard >= (names.shards or shard + 1) or not 0 < wait_ms <= LONGEST_WAIT_MS:
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
    )


def number(form: re.Pattern[str], text: str) -> str:
    """Guards against what Python takes for a number and nobody else does, such as 1_0."""
    if not form.fullmatch(text):
        raise BadCommandError("a field is not a number")
    return text


def answer_of(result: Result) -> bytes | tuple[bytes, ...]:
    if result.verdict is Verdict.SERVED:
        # In parts: a large value is not copied once more.
        return b"$%d\r\n" % len(result.value), result.value, b"\r\n"
    if result.verdict is Verdict.REFUSED:
        return resp.error(f"BUSY {-(-result.pause_us // 1000)}" if result.pause_us else "BUSY")
    return resp.error("ERR failed")


class _Slot:
    """A command's place in the order of answers."""

    __slots__ = ("id", "lease", "parts", "request")

    def __init__(self, data: bytes | None = None) -> None:
        self.id = b""
        self.parts: deque[bytes] | None = None if data is None else deque((data,))
        self.request: Request | None = None
        self.lease: object = None  # held until the answer has left


class PlatformSession:
    def __init__(self, engine: Engine, names: Names, counters: Counters, wake: Callable[[], None]) -> None:
        self._engine, self._names, self._counters, self._wake = engine, names, counters, wake
        self.client_left = client_stays
        self._slots: deque[_Slot] = deque()

    def received(self, inbox: Inbox) -> None:
        while not self.full():
            try:
                found = resp.parse(inbox)
            except resp.ShortError as short:
                if short.need > INBOX:
                    raise MalformedError(resp.error("ERR Protocol error: command too long")) from None
                return
            except resp.ProtocolError as error:
                raise MalformedError(resp.error(f"ERR Protocol error: {error}")) from None
            match found:
                case [bytes(), *_] as parts if all(isinstance(part, bytes) for part in parts):
                    self._command([part for part in parts if isinstance(part, bytes)])
                case _:
                    raise MalformedError(resp.error("ERR Protocol error: expected an array of bulk strings"))

    def _command(self, parts: list[bytes]) -> None:
        name = parts[0].upper()
        if name in (READ, WRITE):
            slot = _Slot()
            try:
                request = request_of(parts, self._names, lambda result: self._answered(slot, result))
                request.client_left = self.client_left
                # Guards the other request: nodes would take the second for another attempt of the first.
                if parts[2] in self._names.open:
                    raise BadCommandError("a request with this id is open")
            except BadCommandError as error:
                self._counters.add("clients.bad_command")
                if self._counters["clients.bad_command"] <= LOGGED_BAD:  # a bad client cannot fill the log
                    fields = parts[3][:120] if len(parts) > 3 else b""
                    tell(log, ClientCommandError(error), f"bad command {fields!r}")
                slot.parts = deque((resp.error(f"ERR {error}"),))
            else:
                slot.request, slot.id = request, parts[2]
                self._names.open.add(slot.id)
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

    def _answered(self, slot: _Slot, result: Result) -> None:
        parts = answer_of(result)
        slot.parts = deque(parts if isinstance(parts, tuple) else (parts,))
        slot.request, slot.lease = None, result.lease
        self._names.open.discard(slot.id)
        if self._slots and self._slots[0] is slot:
            self._wake()

    def output(self) -> bytes:
        parts = self._slots[0].parts if self._slots else None
        if parts is None:
            return b""
        part = parts.popleft()
        if not parts:
            self._slots.popleft()
        return part

    def pending(self) -> int:
        return len(self._slots)

    def full(self) -> bool:
        return len(self._slots) >= MOST_PIPELINED

    def gone(self) -> None:
        for slot in self._slots:
            if slot.request is not None:
                self._engine.withdraw(slot.request)
                self._names.open.discard(slot.id)
        self._slots.clear()
