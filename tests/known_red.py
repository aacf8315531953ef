"""KNOWN-RED.txt: tests that fail for a real fault which could not be mended yet, a line each:

    TEST-ID | COMMAND AND SEED | WHAT WAS SEEN | issue N

At most three. Just these are expected to fail: one that passes fails the run until its line goes, and so do a
fourth line, an unknown test, or a line without command, observation or issue.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

MOST = 3
FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
LINE = re.compile(
    r"(?P<test>\S+::\S+) \| (?P<command>\S[^|]*?) \| (?P<seen>\S[^|]*?) \| issue (?P<issue>\d+)"
)


@dataclass(frozen=True)
class Red:
    """One entry. `command`: what shows the failure, with its seed; `seen`: what was observed."""

    test: str
    command: str
    seen: str
    issue: int


class KnownRedError(Exception):
    """KNOWN-RED.txt cannot be used."""


def read(text: str) -> list[Red]:
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise KnownRedError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most: mend the others first")
    found = []
    for number, line in enumerate(lines, 1):
        if (match := LINE.fullmatch(line.strip())) is None:
            form = "test id | command and seed | what was seen | issue N"
            raise KnownRedError(f"KNOWN-RED.txt:{number}: must be '{form}': {line!r}")
        found.append(Red(match["test"], match["command"], match["seen"], int(match["issue"])))
    return found


def check_known(reds: Sequence[Red], tests: Sequence[str]) -> None:
    for red in reds:
        if red.test not in tests:
            raise KnownRedError(f"KNOWN-RED.txt: no such test: {red.test}")
