"""Commands whose caller waits for the answer: those that come through the admin socket."""

from __future__ import annotations

import gevent
from gevent.event import AsyncResult

from stackrouter.coord.port import Answered, Command, Coordination


class WaitingCommands:
    """Each entry is gone once its caller has the answer or has waited long enough."""

    def __init__(self, store: Coordination) -> None:
        self._store = store
        self._waiting: dict[int, AsyncResult[str]] = {}  # by the command's number

    def ask_and_wait(self, command: Command, within_s: float) -> str | None:
        """Why a command was refused; empty: it took hold; None: not known within this time."""
        waiting: AsyncResult[str] = AsyncResult()
        number = self._store.ask(command)
        self._waiting[number] = waiting
        try:
            return waiting.get(timeout=within_s)
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[number]

    def answered(self, event: Answered) -> None:
        """The store answered a command, of this part or of another."""
        if (waiting := self._waiting.get(event.number)) is not None:
            waiting.set(event.why)
