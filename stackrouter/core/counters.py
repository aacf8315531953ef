"""Counters of what the gateway receives, sends and answers."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Counters named `component.event`; a name exists from its first count on."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        self._counts[name] += by

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def line(self) -> str:
        """All counters as one line of JSON, sorted by name."""
        return json.dumps(dict(sorted(self._counts.items())), separators=(",", ":"))
