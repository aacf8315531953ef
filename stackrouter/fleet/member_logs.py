"""What the members' own log lines tell of the group's leader."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True, order=True)
class Leadership:
    """Who leads in a term; empty: nobody was elected yet."""

    term: int = 0
    leader: str = ""


def latest_leadership(logs: Iterable[Path]) -> Leadership:
    """The latest term with a leader that any of these logs tells of."""
    latest = Leadership()
    for log in logs:
        for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
            if "coord.term term=" in line and not line.endswith("leader=nobody"):
                words = dict(word.split("=", 1) for word in line.split() if "=" in word)
                latest = max(latest, Leadership(int(words["term"]), words["leader"]))
    return latest
