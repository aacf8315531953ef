"""The log lines of coordination: alike as text, with their fields apart as JSON."""

from __future__ import annotations

import logging

log = logging.getLogger("stackrouter.coord.member")  # the name that these lines have always had


def log_event(event: str, **fields: object) -> None:
    """One line: the event, then `name=value` for each field (`logfmt.FIELDS` names those that JSON keeps)."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    log.info("%s %s", event, text, extra=fields)
