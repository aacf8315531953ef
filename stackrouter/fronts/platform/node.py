"""Node side of the platform front: encodes attempts as RESP2 commands and decodes the answers to outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from rackseam.interface import Outcome
from stackrouter.core.model import Inbox, Reply, Step
from stackrouter.fronts.figures import reply_with
from stackrouter.fronts.platform import resp

LAST_BYTES: Final = 16  # of a value that is passed on: held back until the whole answer is found sound


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
        self.value_bytes: int | None = None
        self._head: resp.ValueHead | None = None
        self._left: int | None = None  # bytes of the value still to come, once it is passed on

    def start(self, wait_us: int, fresh: bool) -> Step:
        return Step(self._command.encode(max(1, -(-wait_us // 1000))), may_run=True)

    def received(self, inbox: Inbox) -> Reply | None:
        try:
            if self._left is None:
                return parse_reply(resp.parse(inbox, resp.MAX_ANSWER_BYTES))
            return self._last_reply(inbox, self._left)
        except resp.ShortError as short:
            self.min_inbox_bytes = short.need
            if self._head is None and len(inbox):
                self._head = resp.value_head(inbox, resp.MAX_ANSWER_BYTES)
                self.value_bytes = None if self._head is None else self._head.value_bytes
            return None
        except resp.ProtocolError:
            return Reply(Outcome.ERROR)  # malformed answer: the node is alive, and has run the request

    def _last_reply(self, inbox: Inbox, left: int) -> Reply | None:
        """The reply to a value that is passed on, with the value's last bytes."""
        if left > LAST_BYTES or self._head is None:
            return None
        return parse_reply(resp.parse_rest(inbox, left, self._head.parts_after))

    def pass_on(self, inbox: Inbox) -> None:
        assert self._head is not None
        inbox.skip(self._head.head_bytes)
        self._left, self.min_inbox_bytes = self._head.value_bytes, 0

    def next_part(self, inbox: Inbox, max_bytes: int) -> bytes:
        part = inbox.peek(0, max(0, min(max_bytes, (self._left or 0) - LAST_BYTES)))
        inbox.skip(len(part))
        self._left = (self._left or 0) - len(part)
        return part


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
