"""The platform's node side: an attempt to a RESP2 command, and what comes back to an outcome."""

from __future__ import annotations

from dataclasses import dataclass

from rackseam.interface import Outcome
from stackrouter.core.model import Inbox, Reply, Step
from stackrouter.fronts.figures import reply_with
from stackrouter.fronts.platform import resp


@dataclass(frozen=True, slots=True)
class Command:
    """A client's command as it goes on: all unchanged but the `d` in its fields."""

    name: bytes
    piece: bytes
    id: bytes
    fields: tuple[tuple[str, str], ...]
    body: tuple[bytes, ...]

    def exchange(self) -> PlatformExchange:
        return PlatformExchange(self)

    def wire(self, wait_ms: int) -> bytes:
        fields = ",".join(f"{name}={wait_ms if name == 'd' else value}" for name, value in self.fields)
        return resp.command(self.name, self.piece, self.id, fields.encode(), *self.body)


class PlatformExchange:
    def __init__(self, command: Command) -> None:
        self._command = command

    def start(self, wait_us: int, fresh: bool) -> Step:
        return Step(self._command.wire(max(1, -(-wait_us // 1000))), effective=True)

    def received(self, inbox: Inbox) -> Reply | None:
        try:
            found = resp.parse(inbox)
        except resp.ProtocolError:
            raise ConnectionAbortedError("the node broke the protocol") from None
        return None if found is None else reply_of(found[0])


def reply_of(value: resp.Value) -> Reply:
    match value:
        case [bytes(data), *figures]:
            return reply_with(Outcome.DONE, data, [f for f in figures if isinstance(f, bytes)])
        case resp.ErrorLine(text):
            word, *rest = text.encode().split(b" ")
            return reply_with(Outcome.FULL if word == b"BUSY" else Outcome.ERROR, None, rest)
    return Reply(Outcome.ERROR)
