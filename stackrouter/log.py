"""The log on standard error, bounded: a fault that repeats must not fill what holds it.

The platform's start writes plain text by the standard library. Where the operator's file or the command line
asks for it, structlog writes one JSON object a line, or aligned text.
"""

from __future__ import annotations

import logging
import time

from stackrouter.errors import MissingExtraError, VariableError

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
            record.left_out = self.dropped
            record.msg, record.args = f"({self.dropped} lines left out) {record.getMessage()}", ()
            self.dropped = 0
        return True


def start(form: str = "plain", gateway: str = "") -> None:
    """`form`: plain (standard library), text or json (by structlog). A ConfigError: not to be had."""
    handler = logging.StreamHandler()
    handler.addFilter(Bound())
    if form == "plain":
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    elif form not in ("text", "json"):
        raise VariableError(f"must be plain, text or json, not {form!r}", key="GW_LOG_FORMAT")
    else:
        try:
            from stackrouter.logfmt import formatter
        except ImportError as error:
            what = f"log lines as {form} need {error.name}: install stackrouter[edge]"
            raise MissingExtraError(what) from None

        handler.setFormatter(formatter(form, gateway))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
