"""Runs the gateway program with randomly failing socket calls and a shifted wall clock.

Run as `python -m stackrouter.soak.gateway_process`. SOAK_FAULTS holds `schedule.ProcessFaults` as JSON.
SOAK_PLANTED names a rule whose enforcement is disabled, so that a test can verify that the soak detects the
violations.
"""

from __future__ import annotations

import errno
import json
import os
import random
import sys
import time
from dataclasses import replace
from typing import Any

import gevent
import gevent.socket

from rackseam.interface import Effect, ListKind
from stackrouter import config as configuration

_TRANSIENT_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENFILE, errno.ENOBUFS, errno.ENETDOWN)
_CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENETUNREACH, errno.EINTR, errno.EAGAIN)
_SOCKET = (errno.ENFILE, errno.ENOBUFS)
SHORT_BYTES = 7  # bytes that a short read or write transfers


class _RandomFaults:
    """Decides at random which calls fail or are short; `share` is the ratio of each."""

    rng = random.Random()
    share = 0.0

    @classmethod
    def fail(cls, numbers: tuple[int, ...]) -> None:
        if cls.rng.random() < cls.share:
            number = cls.rng.choice(numbers)
            raise OSError(number, os.strerror(number))

    @classmethod
    def short(cls) -> bool:
        return cls.rng.random() < cls.share


def _wrap_sockets(base: Any) -> None:
    """Patches gevent's socket type so that its calls fail or transfer few bytes at random."""
    accept, connect, send = base.accept, base.connect, base.send
    receive, receive_bytes = base.recv_into, base.recv

    def failing_accept(self: Any) -> Any:
        _RandomFaults.fail(_ACCEPT_ERRORS)
        return accept(self)

    def failing_connect(self: Any, address: Any) -> Any:
        _RandomFaults.fail(_CONNECT_ERRORS)
        return connect(self, address)

    def failing_send(self: Any, data: Any, *rest: Any, **named: Any) -> int:
        _RandomFaults.fail(_TRANSIENT_ERRORS)
        return int(send(self, data[:SHORT_BYTES] if _RandomFaults.short() else data, *rest, **named))

    def failing_receive(self: Any, buffer: Any, *rest: Any) -> int:
        _RandomFaults.fail(_TRANSIENT_ERRORS)
        return int(receive(self, buffer[:SHORT_BYTES] if _RandomFaults.short() else buffer, *rest))

    def failing_receive_bytes(self: Any, size: int, *rest: Any) -> bytes:
        _RandomFaults.fail(_TRANSIENT_ERRORS)
        return bytes(receive_bytes(self, SHORT_BYTES if _RandomFaults.short() else size, *rest))

    base.accept, base.connect, base.send = failing_accept, failing_connect, failing_send
    base.recv_into, base.recv = failing_receive, failing_receive_bytes


def _step_wall_clock(step_s: float) -> None:
    real_ns, real_s = time.time_ns, time.time
    time.time_ns = lambda: real_ns() + round(step_s * 1e9)
    time.time = lambda: real_s() + step_s


def _delay_attempts() -> None:
    """Delays each attempt by 0.25 s, as if its connection were slow to open."""
    from stackrouter.net.pool import Pool

    exchange = Pool._exchange

    def delayed(self: Any, attempt: Any) -> Any:
        gevent.sleep(0.25)
        return exchange(self, attempt)

    Pool._exchange = delayed  # type: ignore[method-assign]


def _plant(rule: str) -> None:
    """Disables the enforcement of a rule."""
    from stackrouter.core.gate import Gate
    from stackrouter.net.discovery import Discovery
    from stackrouter.net.list_applier import ListApplier

    if rule == "drain":
        Discovery.start_with = Discovery._apply_first_list  # type: ignore[method-assign]
        Gate.may_open = lambda *_: None  # type: ignore[method-assign]
        Gate.may_write = lambda *_: None  # type: ignore[method-assign]
        apply = ListApplier.apply
        ListApplier.apply = (  # type: ignore[method-assign]
            lambda self, kind, *rest: apply(self, kind, *rest) if kind is ListKind.CACHED else None
        )
    elif rule == "lost":
        from stackrouter.core.engine import Engine
        from stackrouter.net.client_socket import ClientSocket

        Engine.withdraw = lambda *_: None  # type: ignore[method-assign]
        ClientSocket.hung_up = lambda *_: False  # type: ignore[method-assign]
        _delay_attempts()
    elif rule == "deadline":
        Gate.stated_wait_us = lambda *_: 60_000_000  # type: ignore[method-assign]
    elif rule == "unanswered":
        from stackrouter.core.engine import Engine

        answer = Engine._answer

        def forget_some(self: Any, request: Any, result: Any) -> None:
            """Leaves out the answer of every request whose id ends in 7."""
            request.answered = request.answered or request.id.endswith("7")
            answer(self, request, result)

        Engine._answer = forget_some  # type: ignore[method-assign,assignment]
    elif rule == "second_copy":
        from stackrouter.net.pool import Pool

        Pool.abort = lambda *_: None  # type: ignore[method-assign]
    elif rule == "cut_off":
        from stackrouter.core.engine import Engine

        Engine._begin_passing_on = lambda *_: None  # type: ignore[method-assign]
    elif rule == "id_again":
        from stackrouter.core.engine import Engine

        Engine._claim_id = lambda *_: True  # type: ignore[method-assign]
    elif rule == "duplicate":
        parse_settings = configuration.parse_settings  # type: ignore[attr-defined]

        def all_safe(*args: Any) -> Any:
            """Declares every request class safe to repeat."""
            settings = parse_settings(*args)
            return replace(settings, classes=tuple(replace(c, effect=Effect.SAFE) for c in settings.classes))

        configuration.parse_settings = all_safe  # type: ignore[attr-defined,assignment]


def main() -> int:
    """Runs the program with the faults in SOAK_FAULTS."""
    faults = json.loads(os.environ["SOAK_FAULTS"])
    _RandomFaults.rng, _RandomFaults.share = random.Random(faults["seed"]), faults["failing_share"]
    if faults["failing_share"]:
        _wrap_sockets(gevent.socket.socket)
    if faults["wall_step_s"]:
        _step_wall_clock(faults["wall_step_s"])
    if planted := os.environ.get("SOAK_PLANTED"):
        _plant(planted)
    from stackrouter.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
