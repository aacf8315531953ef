"""Options of a soak and the kinds of faults. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

KINDS: Final = (
    "syscalls",  # socket system calls fail transiently, reads and writes are short
    "holds",  # a gateway is stopped for up to 140 ms (SIGSTOP, SIGCONT)
    "clock",  # a gateway starts with its wall clock off by up to an hour
    "drains",  # nodes drain, are removed and return cold, with the same name and a new address
    "hangs",  # nodes accept requests without answering for a while
    "resets",  # nodes reset their connections
    "silence",  # a discovery agent does not respond for a while
    "slowness",  # a discovery agent takes 0.1 to 1.5 s for each response
    "history",  # another discovery replica takes over, with unrelated list versions
    "term",  # SIGTERM, SIGKILL at the earliest permitted time, then a restart
    "kill",  # SIGKILL, then a restart
    "hup",  # consecutive SIGHUPs; the discovery address changes with each
    "leavers",  # clients disconnect early, also in bursts
    "halves",  # clients stall in the middle of a request and stay connected
    "long",  # nodes answer some reads with long values, written evenly, in lumps, late or at once
    "readers",  # some clients read their answers slowly
    "again",  # clients that disconnected early send their request again with the same id
)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """`seconds`: duration of faults and requests. `planted`: a rule whose enforcement a test disables."""

    gateways: int = 24
    nodes: int = 60
    seed: int = 1
    seconds: float = 20.0
    faults: tuple[str, ...] = KINDS
    requests_per_s: float = 20.0  # at each gateway
    planted: str = ""
