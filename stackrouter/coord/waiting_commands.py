"""Commands whose caller waits for the answer: those received through the admin socket."""

from __future__ import annotations

import gevent
from gevent.event import AsyncResult

from stackrouter.coord.port import Answered, Command, Coordination


class WaitingCommands:
    """Delivers answers to waiting callers. An entry exists only while its caller waits."""

    def __init__(self, store: Coordination) -> None:
        self._store = store
        self._waiting: dict[int, AsyncResult[str]] = {}  # by command number

    def ask_and_wait(self, command: Command, within_s: float) -> str | None:
        """Submit a command and wait up to `within_s` seconds. Returns why it was refused; empty: it was
        applied; None: no answer within that time."""
        waiting: AsyncResult[str] = AsyncResult()
        number = self._store.submit(command)
        self._waiting[number] = waiting
        try:
            return waiting.get(timeout=within_s)
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[number]

    def answered(self, event: Answered) -> None:
        """Process an answer of the store; the command may be another component's."""
        if (waiting := self._waiting.get(event.number)) is not None:
            waiting.set(event.why)
