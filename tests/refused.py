"""Starts `python -m stackrouter` and reports every call that the mass bench refuses on standard error.

The bench refuses fork, other programs, io_uring, splice, sendfile and any socket but TCP or UDP over IPv4,
and treats a thread that neither waits nor ends for 20 s as a crash. It allows threads, but the code that runs
on the platform needs none, so a new thread is reported too: without threads none can spin. Python's audit
hooks cover forks, programs and sockets; sendfile and splice have no audit event, nor does a new thread in
Python 3.11, so these functions are wrapped before the program is imported. Each refused call is one line
`REFUSED EVENT DETAIL`; the program continues, so that a test sees every such call, not only the first.
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
ALLOWED_FAMILIES = (socket.AF_INET,)


def report(event: str, detail: object) -> None:
    sys.stderr.write(f"REFUSED {event} {detail!r}\n")
    sys.stderr.flush()


def audit_hook(event: str, args: tuple[Any, ...]) -> None:
    if event in REFUSED_EVENTS:
        report(event, args[:1])
    elif event == "socket.__new__" and args[1] not in ALLOWED_FAMILIES:
        report(event, socket.AddressFamily(args[1]).name)


def reporting_wrapper(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        report(name, "")
        return call(*args, **kwargs)

    return wrapper


def watch() -> None:
    sys.addaudithook(audit_hook)
    _thread.start_new_thread = reporting_wrapper("thread", _thread.start_new_thread)
    for name in ("sendfile", "splice"):
        if hasattr(os, name):
            setattr(os, name, reporting_wrapper(f"os.{name}", getattr(os, name)))
    socket.socket.sendfile = reporting_wrapper("socket.sendfile", socket.socket.sendfile)  # type: ignore[method-assign]


if __name__ == "__main__":
    watch()
    runpy.run_module("stackrouter", run_name="__main__", alter_sys=True)
