"""Whether a kept connection to a node may be used again, from how such connections have fared. No I/O."""

from __future__ import annotations

import math

REUSE_HALF_LIFE_S = 5.0  # the statistics of kept connections are halved after this long
REUSE_MAX_EXTRA_RESETS = 0.1  # share of kept connections that may end by a reset beyond that of new ones ...
REUSE_MIN_USES = 20.0  # ... out of at least this many uses


class Reuse:
    """Statistics of resets on kept connections, by idle time, compared with new connections.

    Protects against nodes that drop connections sooner than announced and without closing them: a request
    written to such a connection ends with a reset and counts as an attempt that may have run.
    """

    def __init__(self) -> None:
        # Uses and resets: of new connections, then of those idle for up to 50, 100, 200 ms and so on.
        self._uses, self._resets = [0.0] * 9, [0.0] * 9
        self._halved_at = 0.0

    @staticmethod
    def _idle_bucket(idle_s: float) -> int:
        return min(8, 1 + max(0, math.ceil(math.log2(max(idle_s, 1e-3) / 0.05))))

    def record_use(self, idle_s: float | None, reset: bool, now: float) -> None:
        """Count a use at monotonic time `now`; `idle_s`: how long the connection was idle, None if new."""
        if now - self._halved_at > REUSE_HALF_LIFE_S:  # old results fade, so that reuse is tried again
            self._halved_at = now
            self._uses, self._resets = [n / 2 for n in self._uses], [n / 2 for n in self._resets]
        i = 0 if idle_s is None else self._idle_bucket(idle_s)
        self._uses[i] += 1
        self._resets[i] += reset

    def trusted(self, idle_s: float) -> bool:
        """Whether a connection that was idle for `idle_s` may be used again."""
        i = self._idle_bucket(idle_s)
        baseline = self._resets[0] / max(1.0, self._uses[0])
        return self._resets[i] <= (baseline + REUSE_MAX_EXTRA_RESETS) * max(REUSE_MIN_USES, self._uses[i])
