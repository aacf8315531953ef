"""Log lines by structlog: records of the standard library in, one JSON object or aligned line each out."""

from __future__ import annotations

import logging
from collections.abc import MutableMapping
from typing import Any

import structlog

FIELDS = (
    "request",
    "node",
    "volume",
    "left_out",
    "term",
    "leader",
    "duty",
    "token",
    "why",
    "version",
    "digest",
    "by",
    "code",
    "at_file",
    "at_line",
    "at_key",
    "at_address",
)  # what a record may carry beside its text


def formatter(form: str, gateway: str) -> logging.Formatter:
    def name_it(_logger: Any, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event["gateway"] = gateway
        return event

    before: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(FIELDS),
        name_it,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    last: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if form == "json":
        last += [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    else:
        plain = structlog.dev.plain_traceback
        last.append(structlog.dev.ConsoleRenderer(colors=False, pad_event_to=40, exception_formatter=plain))
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=before, processors=last)
