"""Decides how the processes of a gateway share its limits: one alone, through a log, or evenly. No I/O."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

SCAN_MAX_AGE_US: Final = 20_000  # maximum age of the scan for other processes on which a decision is based
IDLE_SCAN_INTERVAL_US: Final = 50_000  # interval between scans while the process decides nothing
# A process that has just joined spends nothing until all others have scanned again. They decide on scans up
# to SCAN_MAX_AGE_US old; the remaining time covers clocks that were read before the scan.
JOIN_DELAY_US: Final = 60_000
# Maximum time between the claim of units and the write of the attempt to its node. The protocol's slack
# allows for what a limit permits in 150 ms; the rest of it covers a process that is suspended between reading
# its clock and its write.
CHARGE_MAX_AGE_US: Final = 100_000
# Assumed number of processes where they cannot be counted: two upgrades in a row run as many at once.
MAX_SHARERS: Final = 3


class Mode(enum.Enum):
    """How the processes of a gateway share its limits."""

    ALONE = "alone"  # this process is the only one and has all of the gateway's limits
    SHARED = "shared"  # each process spends by claims in a log, which all read in the same order
    SPLIT = "split"  # each process has an even part, since not all of them can use the same log


@dataclass(frozen=True, slots=True)
class ProcessView:
    """Result of a scan for the other processes of this gateway.

    `slot`: this process's slot; `others`: the slots of the other processes; `same_log`: all of them use this
    process's log; `countable`: False where the operating system cannot tell which processes run.
    """

    slot: int
    others: tuple[int, ...] = ()
    same_log: bool = True
    countable: bool = True

    @property
    def process_count(self) -> int:
        """Number of processes of the gateway, including this one."""
        return len(self.others) + 1 if self.countable else MAX_SHARERS

    @property
    def rank(self) -> int:
        """Index of this process among them, in the order of slots, from 0."""
        return sum(other < self.slot for other in self.others)


def mode_for(view: ProcessView, log_usable: bool) -> Mode:
    """The mode that follows from a scan. `log_usable`: this process can use the log and has announced so."""
    if not view.countable:
        return Mode.SPLIT
    if not view.others:
        return Mode.ALONE
    return Mode.SHARED if log_usable and view.same_log else Mode.SPLIT
