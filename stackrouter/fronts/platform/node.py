"""Node side of the platform front: encodes attempts as RESP2 commands and decodes the answers to outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from rackseam.interface import Outcome
from stackrouter.core.model import Inbox, Reply, Step
from stackrouter.fronts.figures import reply_with
from stackrouter.fronts.platform import resp


@dataclass(frozen=True, slots=True)
class Command:
    """A client's command as forwarded to nodes; only `d` (the wait in ms) in its fields is changed."""

    name: bytes
    piece: bytes
    id: bytes
    fields: tuple[tuple[str, str], ...]
    body: tuple[bytes, ...]

    def exchange(self) -> PlatformExchange:
        return PlatformExchange(self)

    def encode(self, wait_ms: int) -> bytes:
        fields = ",".join(f"{name}={wait_ms if name == 'd' else value}" for name, value in self.fields)
        return resp.command(self.name, self.piece, self.id, fields.encode(), *self.body)


class PlatformExchange:
    """One attempt's exchange with a node (see `core.model.Exchange`)."""

    def __init__(self, command: Command) -> None:
        self._command = command
        self.min_inbox_bytes = 0

    def start(self, wait_us: int, fresh: bool) -> Step:
        return Step(self._command.encode(max(1, -(-wait_us // 1000))), may_run=True)

    def received(self, inbox: Inbox) -> Reply | None:
        try:
            return parse_reply(resp.parse(inbox, resp.MAX_ANSWER_BYTES))
        except resp.ShortError as short:
            self.min_inbox_bytes = short.need
            return None
        except resp.ProtocolError:
            return Reply(Outcome.ERROR)  # malformed answer: the node is alive, and has run the request


def parse_reply(value: resp.Value) -> Reply:
    match value:
        case [bytes(data), *figures]:
            texts = [figure for figure in figures if isinstance(figure, bytes)]
            exact = len(figures) == 2 and all(
                figure is None or isinstance(figure, bytes) for figure in figures
            )
            return reply_with(Outcome.DONE, data, texts, exact)
        case resp.ErrorLine(text):
            match text.encode().split(b" "):
                case [b"BUSY", *rest]:
                    return reply_with(Outcome.FULL, None, rest, True)
                case [b"ERR", b"failed", *rest]:
                    return reply_with(Outcome.ERROR, None, rest, True)
    return Reply(Outcome.ERROR)
