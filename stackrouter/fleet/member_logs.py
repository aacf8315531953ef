"""Reads the group's current leader from the members' log files."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, order=True)
class Leadership:
    """The leader of a Raft term; an empty name means that none has been elected yet."""

    term: int = 0
    leader: str = ""


def latest_leadership(logs: Iterable[Path]) -> Leadership:
    """The latest term with a leader that any of these logs reports."""
    latest = Leadership()
    for log in logs:
        for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
            if "coord.term term=" in line and not line.endswith("leader=nobody"):
                pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
                latest = max(latest, Leadership(int(pairs["term"]), pairs["leader"]))
    return latest
