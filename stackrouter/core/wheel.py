"""A hashed timer wheel with coarse ticks: adding and cancelling a timer take constant time."""

from __future__ import annotations

from collections.abc import Callable

SLOTS = 512  # with 2 ms ticks one revolution takes about a second


class Timer:
    """A scheduled callback."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancels the timer. Its entry stays until its slot is visited, but keeps no callback alive."""
        self.call = None


class Wheel:
    """Timers in SLOTS slots by tick. Times are microseconds of the caller's clock; not thread-safe."""

    def __init__(self, tick_us: int, now_us: int) -> None:
        self.tick_us = max(1, tick_us)
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._last_tick = now_us // self.tick_us  # the last tick whose timers have run
        self._count = 0

    def add(self, due_us: int, call: Callable[[], None]) -> Timer:
        """Schedules `call` for the first tick at or after `due_us`, but never for the current tick."""
        timer = Timer(max(self._last_tick + 1, -(-due_us // self.tick_us)), call)
        self._slots[timer.tick % SLOTS].append(timer)
        self._count += 1
        return timer

    def advance(self, now_us: int) -> list[Callable[[], None]]:
        """Removes and returns the callbacks that are due, ordered by tick."""
        tick = now_us // self.tick_us
        if tick <= self._last_tick:
            return []
        due: list[Timer] = []
        # After a long pause one revolution visits every slot; further ones would visit the same slots again.
        for at in range(max(self._last_tick, tick - SLOTS) + 1, tick + 1):
            slot = self._slots[at % SLOTS]
            if not slot:
                continue
            remaining = [t for t in slot if t.tick > tick and t.call is not None]
            due.extend(t for t in slot if t.tick <= tick and t.call is not None)
            self._count -= len(slot) - len(remaining)
            self._slots[at % SLOTS] = remaining
        self._last_tick = tick
        due.sort(key=lambda t: t.tick)
        return [t.call for t in due if t.call is not None]

    def wait_us(self, now_us: int) -> int | None:
        """Microseconds until the next tick that may have a timer; None if there is none."""
        if not self._count:
            return None
        for at in range(self._last_tick + 1, self._last_tick + SLOTS + 1):
            slot = self._slots[at % SLOTS]
            if slot and any(t.call is not None for t in slot):
                return max(0, at * self.tick_us - now_us)
        return None
