"""KNOWN-RED.txt: tests that fail for a real fault which could not be mended yet, a line each:

    TEST-ID | CAUSE | issue N

At most three. Just these are expected to fail: one that passes fails the run until its line goes, and so do a
fourth line, an unknown test, or a line without cause or issue.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

MOST = 3
FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
LINE = re.compile(r"(?P<test>\S+::\S+) \| (?P<cause>\S.*?) \| issue (?P<issue>\d+)")


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
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
            raise KnownRedError(f"KNOWN-RED.txt:{number}: must be 'test id | cause | issue N': {line!r}")
        found.append(Red(match["test"], match["cause"], int(match["issue"])))
    return found


def check_known(reds: Sequence[Red], tests: Sequence[str]) -> None:
    for red in reds:
        if red.test not in tests:
            raise KnownRedError(f"KNOWN-RED.txt: no such test: {red.test}")
