"""Counts of what the gateway takes in, sends and answers."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Names are `part.what`; a name appears with its first count."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        self._counts[name] += by

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def line(self) -> str:
        return json.dumps(dict(sorted(self._counts.items())), separators=(",", ":"))
