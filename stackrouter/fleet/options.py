"""Options of one run of the fault harness. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HarnessOptions:
    """`kinds`: kinds of faults to inject (`schedule.KINDS`), empty for none; `seconds`: length of the phase
    of faults and changes; `work_ms`: delay between a member's check of its lease and its action; `every_ms`:
    interval between a member's actions; `policy`: manage a policy, change it, and record which version each
    member serves under; `touch_ms`: how long an answered heartbeat is valid; `after_ms`: delay from a
    version's commit to its activation; `load`: clients request this fraction of the stand-in nodes'
    capacity, 0 for no clients; `fenced`: False makes the receiver accept stale tokens, to test the
    checker."""

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
