"""A hashed timer wheel with coarse ticks: adding and dropping a timer costs the same however many wait."""

from __future__ import annotations

from collections.abc import Callable

SLOTS = 512  # with ticks of 2 ms one turn is about a second


class Timer:
    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def drop(self) -> None:
        """The entry stays in its slot until that comes round, but holds nothing alive."""
        self.call = None


class Wheel:
    def __init__(self, tick_us: int, now_us: int) -> None:
        self.tick_us = max(1, tick_us)
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._done = now_us // self.tick_us  # the last tick whose timers have run
        self._count = 0

    def add(self, due_us: int, call: Callable[[], None]) -> Timer:
        """Run `call` on the first tick at or after `due_us`, never in the tick in hand."""
        timer = Timer(max(self._done + 1, -(-due_us // self.tick_us)), call)
        self._slots[timer.tick % SLOTS].append(timer)
        self._count += 1
        return timer

    def advance(self, now_us: int) -> list[Callable[[], None]]:
        """What has fallen due, in order of ticks."""
        tick = now_us // self.tick_us
        if tick <= self._done:
            return []
        due: list[Timer] = []
        # After a long pause one turn of the wheel visits every slot: more would visit the same ones again.
        for at in range(max(self._done, tick - SLOTS) + 1, tick + 1):
            slot = self._slots[at % SLOTS]
            if not slot:
                continue
            keep = [t for t in slot if t.tick > tick and t.call is not None]
            due.extend(t for t in slot if t.tick <= tick and t.call is not None)
            self._count -= len(slot) - len(keep)
            self._slots[at % SLOTS] = keep
        self._done = tick
        due.sort(key=lambda t: t.tick)
        return [t.call for t in due if t.call is not None]

    def wait_us(self, now_us: int) -> int | None:
        """Time until the next tick that may hold a timer; None when no timer waits."""
        if not self._count:
            return None
        for at in range(self._done + 1, self._done + SLOTS + 1):
            slot = self._slots[at % SLOTS]
            if slot and any(t.call is not None for t in slot):
                return max(0, at * self.tick_us - now_us)
        return None
