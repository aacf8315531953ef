"""What one run of the fault harness is made of. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HarnessOptions:
    """`kinds`: of faults (`schedule.KINDS`), none: no faults; `seconds`: how long faults and changes come;
    `work_ms`: between a member's look at its lease and its action; `every_ms`: from one action of a member
    to its next; `policy`: keep a policy, change it, and note who serves under which version; `touch_ms`: how
    long an answered heartbeat is valid; `after_ms`: from a version's commit to its activation; `load`:
    clients that ask for this part of what the stand-in nodes bear; `fenced`: False plants a fault, the
    receiver takes whatever comes."""

    members: int = 5
    seed: int = 1
    seconds: float = 6.0
    kinds: Sequence[str] = ()
    ttl_ms: int = 800
    drift_ms: int = 80
    election_ms: int = 400
    work_ms: int = 8
    policy: bool = False
    touch_ms: int = 1000
    after_ms: int = 1500
    every_ms: int = 40
    load: float = 0.0
    fenced: bool = True
