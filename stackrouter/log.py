"""The log on standard error, bounded: a fault that repeats must not fill what holds it."""

from __future__ import annotations

import logging
import time

MOST_LINES = 50  # in each span
SPAN_S = 10.0


class Bound(logging.Filter):
    def __init__(self) -> None:
        super().__init__()
        self._since, self._lines = 0.0, 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now - self._since > SPAN_S:
            self._since, self._lines = now, 0
        self._lines += 1
        if self._lines > MOST_LINES:
            self.dropped += 1
            return False
        if self.dropped:
            record.msg, record.args = f"({self.dropped} lines left out) {record.getMessage()}", ()
            self.dropped = 0
        return True


def start() -> None:
    handler = logging.StreamHandler()
    handler.addFilter(Bound())
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
