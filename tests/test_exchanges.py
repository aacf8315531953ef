"""Plays every recorded exchange in tests/exchanges against the real program."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from tests.exchange import Player


class Exchanges(unittest.TestCase):
    pass


def play_test(script: Path) -> Callable[[Exchanges], None]:
    def test(self: Exchanges) -> None:
        with Player(script) as player:
            player.play()

    return test


for path in sorted((Path(__file__).parent / "exchanges").rglob("*.txt")):
    setattr(Exchanges, f"test_{path.parent.name}_{path.stem}", play_test(path))
