"""The platform's node side: an attempt to a RESP2 command, and what comes back to an outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass

from rackseam.interface import Outcome
from stackrouter.core.model import Inbox, Reply, Step
from stackrouter.fronts.platform import resp

USED, COST = "used", "cost"


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
            return _with_figures(Outcome.DONE, data, [f for f in figures if isinstance(f, bytes)])
        case resp.ErrorLine(text):
            word, *rest = text.encode().split(b" ")
            return _with_figures(Outcome.FULL if word == b"BUSY" else Outcome.ERROR, None, rest)
    return Reply(Outcome.ERROR)


def _with_figures(outcome: Outcome, value: bytes | None, texts: list[bytes]) -> Reply:
    """Figures on use and the load report come as `name=number,...` texts; what is unknown is skipped."""
    figures: dict[str, float] = {}
    for text in texts:
        for pair in text.decode("ascii", "replace").split(","):
            name, _, number = pair.partition("=")
            try:
                amount = float(number)
            except ValueError:
                continue
            if math.isfinite(amount):
                figures[name] = amount
    used, cost = figures.pop(USED, None), figures.pop(COST, 0.0)
    return Reply(outcome, value, None if used is None else round(used), max(0.0, cost), figures)
