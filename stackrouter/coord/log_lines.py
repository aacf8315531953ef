"""The log lines of coordination: uniform as text, with separate fields as JSON."""

from __future__ import annotations

import logging

log = logging.getLogger("stackrouter.coord.member")  # a fixed logger name, independent of the calling module


def log_event(event: str, **fields: object) -> None:
    """Log the event and `name=value` for each field (`logfmt.FIELDS` lists those included in JSON)."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    log.info("%s %s", event, text, extra=fields)
