"""Log format with structlog: turns each record of the standard library into one JSON object or line."""

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
)  # extra fields of a record that are written out


def formatter(form: str, gateway: str) -> logging.Formatter:
    """`form`: json or text; `gateway`: the name that is added to each line."""

    def add_gateway(_logger: Any, _method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        event["gateway"] = gateway
        return event

    pre_chain: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.stdlib.ExtraAdder(FIELDS),
        add_gateway,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    processors: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if form == "json":
        processors += [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
    else:
        plain = structlog.dev.plain_traceback
        processors.append(
            structlog.dev.ConsoleRenderer(colors=False, pad_event_to=40, exception_formatter=plain)
        )
    return structlog.stdlib.ProcessorFormatter(foreign_pre_chain=pre_chain, processors=processors)
