"""Starts `python -m stackrouter` with every call that the mass bench refuses written down on standard error.

The bench's page refuses fork, other programs, io_uring, splice, sendfile and any socket but TCP or UDP over
IPv4, and crashes a thread that neither waits nor ends for 20 s. Threads are allowed there, but the platform's
path needs none, so a new one is written down too: none can spin if none is started. Python's audit hooks see
forks, programs and sockets; sendfile and splice have no audit event, and in Python 3.11 neither has a new
thread, so those are wrapped before the program is imported. Each refused call is one line `REFUSED EVENT
DETAIL`; the program runs on as it would, so that a test sees every such call, not only the first.
"""

from __future__ import annotations

import _thread
import os
import runpy
import socket
import sys
from collections.abc import Callable
from typing import Any

PROGRAMS = ("os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen")
REFUSED_EVENTS = ("os.fork", "os.forkpty", *PROGRAMS)
INET = (socket.AF_INET,)


def say(event: str, detail: object) -> None:
    sys.stderr.write(f"REFUSED {event} {detail!r}\n")
    sys.stderr.flush()


def hook(event: str, args: tuple[Any, ...]) -> None:
    if event in REFUSED_EVENTS:
        say(event, args[:1])
    elif event == "socket.__new__" and args[1] not in INET:
        say(event, socket.AddressFamily(args[1]).name)


def wrapped(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
    def refused(*args: Any, **kwargs: Any) -> Any:
        say(name, "")
        return call(*args, **kwargs)

    return refused


def watch() -> None:
    sys.addaudithook(hook)
    _thread.start_new_thread = wrapped("thread", _thread.start_new_thread)
    for name in ("sendfile", "splice"):
        if hasattr(os, name):
            setattr(os, name, wrapped(f"os.{name}", getattr(os, name)))
    socket.socket.sendfile = wrapped("socket.sendfile", socket.socket.sendfile)  # type: ignore[method-assign]


if __name__ == "__main__":
    watch()
    runpy.run_module("stackrouter", run_name="__main__", alter_sys=True)
