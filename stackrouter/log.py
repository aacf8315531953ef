"""The log on standard error, rate limited so that a repeated fault cannot fill the disk.

By default it is plain text, written with the standard library, as on the platform. If the operator's file or
the environment asks for it, structlog writes one JSON object per line, or aligned text.
"""

from __future__ import annotations

import logging
import time

from stackrouter.errors import MissingExtraError, VariableError

MAX_LINES = 50  # in each window
WINDOW_S = 10.0


class RateLimitFilter(logging.Filter):
    """Drops lines over MAX_LINES in WINDOW_S; the next line that passes states how many were dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._window_start, self._lines = 0.0, 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now - self._window_start > WINDOW_S:
            self._window_start, self._lines = now, 0
        self._lines += 1
        if self._lines > MAX_LINES:
            self.dropped += 1
            return False
        if self.dropped:
            record.left_out = self.dropped
            record.msg, record.args = f"({self.dropped} lines dropped) {record.getMessage()}", ()
            self.dropped = 0
        return True


def start(form: str = "plain", gateway: str = "") -> None:
    """Configures the log. `form`: plain (standard library), text or json (structlog). Raises ConfigError if
    the form is unknown or its library is missing."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    if form == "plain":
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    elif form not in ("text", "json"):
        raise VariableError(f"must be plain, text or json, not {form!r}", key="GW_LOG_FORMAT")
    else:
        try:
            from stackrouter.logfmt import formatter
        except ImportError as error:
            what = f"log format {form} needs {error.name}: install stackrouter[edge]"
            raise MissingExtraError(what) from None

        handler.setFormatter(formatter(form, gateway))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
