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
        self.needs = 0

    def start(self, wait_us: int, fresh: bool) -> Step:
        return Step(self._command.wire(max(1, -(-wait_us // 1000))), effective=True)

    def received(self, inbox: Inbox) -> Reply | None:
        try:
            return reply_of(resp.parse(inbox, resp.MOST_ANSWER))
        except resp.ShortError as short:
            self.needs = short.need
            return None
        except resp.ProtocolError:
            return Reply(Outcome.ERROR)  # spoilt on its way: the node is there, and has run it


def reply_of(value: resp.Value) -> Reply:
    match value:
        case [bytes(data), *figures]:
            texts = [f for f in figures if isinstance(f, bytes)]
            exact = len(figures) == 2 and all(f is None or isinstance(f, bytes) for f in figures)
            return reply_with(Outcome.DONE, data, texts, exact)
        case resp.ErrorLine(text):
            match text.encode().split(b" "):
                case [b"BUSY", *rest]:
                    return reply_with(Outcome.FULL, None, rest, True)
                case [b"ERR", b"failed", *rest]:
                    return reply_with(Outcome.ERROR, None, rest, True)
    return Reply(Outcome.ERROR)
