"""What a soak plays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

KINDS: Final = (
    "syscalls",  # system calls on sockets fail in passing, reads and writes are short
    "holds",  # a gateway is stopped for up to 140 ms (SIGSTOP, SIGCONT)
    "clock",  # a gateway starts with its wall clock up to an hour off
    "drains",  # nodes drain, are removed and come back cold under their name elsewhere
    "hangs",  # nodes swallow what they get for a while
    "resets",  # nodes reset or forget connections
    "silence",  # an agent of discovery answers nothing for a while
    "slowness",  # an agent takes 0.1 to 1.5 s for each answer
    "history",  # another copy of discovery takes over and numbers its lists anew
    "term",  # SIGTERM, the earliest SIGKILL, a new process
    "kill",  # SIGKILL, a new process
    "hup",  # SIGHUPs in a row; discovery moves with each
    "leavers",  # clients leave early, also in a burst
    "halves",  # clients stop in the middle of a request and stay
)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """`seconds`: how long faults and requests come. `planted`: a rule whose guard is out, for tests."""

    gateways: int = 24
    nodes: int = 60
    seed: int = 1
    seconds: float = 20.0
    faults: tuple[str, ...] = KINDS
    requests_per_s: float = 20.0  # at each gateway
    planted: str = ""
