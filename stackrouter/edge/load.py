"""Parses and validates the operator's settings file. Every error names the file and the line or field.

`load_in_child_process` does it in a child process that exits afterwards, so that the gateway spends no memory
on the parsers. Where fork fails, it parses the file in this process.
"""

from __future__ import annotations

import os
import pickle
import re
from pathlib import Path

from stackrouter.edge.config import REQUIRED_FIELDS, Edge
from stackrouter.errors import (
    EdgeFileError,
    EdgeReaderError,
    EdgeTextError,
    EdgeValueError,
    MissingExtraError,
    StackrouterError,
)


def parse(text: str, name: str) -> Edge:
    """Parse and validate the text of the file called `name`. Raises EdgeError if it is not valid."""
    from google.protobuf import json_format, text_format
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.edge import edge_pb2

    try:
        message = text_format.Parse(text, edge_pb2.Edge())
    except text_format.ParseError as error:
        line, what = _split_message(str(error))
        raise EdgeTextError(what, file=name, line=line) from None
    values = json_format.MessageToDict(message, preserving_proto_field_name=True)
    try:
        edge: Edge = TypeAdapter(Edge).validate_python(values)
    except ValidationError as error:
        problems = "; ".join(_format_error(e["loc"], e["msg"], e["input"]) for e in error.errors())
        raise EdgeValueError(problems, file=name) from None
    for part, fields in REQUIRED_FIELDS.items():
        section = getattr(edge, part)
        missing = [field for field in fields if section.enabled and not getattr(section, field)]
        if missing:
            raise EdgeValueError(
                f"must be set where {part} is enabled", file=name, key=f"{part}.{missing[0]}"
            )
    if edge.coordination.enabled and (problem := edge.coordination.problem()):
        raise EdgeValueError(f"coordination.{problem}", file=name)
    if problem := edge.control.problem(edge.coordination):
        raise EdgeValueError(f"control.{problem}", file=name)
    return edge


def _split_message(error_text: str) -> tuple[int, str]:
    """Split protobuf's "LINE:COLUMN : message" into line and text; line 0 if there is none."""
    match = re.fullmatch(r"(\d+):(\d+) ?: ?(.*)", error_text, re.DOTALL)
    return (int(match[1]), f"column {match[2]}: {match[3]}") if match else (0, error_text)


def _format_error(location: tuple[int | str, ...], message: str, value: object) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}" if path else part
    shown = "" if isinstance(value, dict) else f", not {value!r}"
    return f"{path}: {message[0].lower()}{message[1:]}{shown}"


def load(path: Path) -> Edge:
    """Read, parse and validate a file. Raises EdgeError if it cannot be read or is not valid."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise EdgeFileError(error.strerror, file=path) from None
    except UnicodeDecodeError as error:
        raise EdgeFileError(f"not UTF-8 at byte {error.start}", file=path) from None
    return parse(text, str(path))


def load_in_child_process(path: Path) -> Edge:
    """Like `load`, without lasting memory use: the parsers are imported in a child process only."""
    read, write = os.pipe()
    try:
        child = os.fork()
    except OSError:
        # fork is not allowed everywhere (the mass benchmark returns ENOSYS): parse here and keep the parsers.
        os.close(read)
        os.close(write)
        return load(path)
    if child == 0:
        code = 1
        try:
            os.close(read)
            try:
                result: Edge | StackrouterError = load(path)
            except StackrouterError as error:
                result = error
            except ImportError as error:
                result = MissingExtraError(f"needs {error.name}: install stackrouter[edge]", file=path)
            with os.fdopen(write, "wb") as pipe:
                pickle.dump(result, pipe)
            code = 0
        finally:
            os._exit(code)
    os.close(write)
    with os.fdopen(read, "rb") as pipe:
        data = pipe.read()
    os.waitpid(child, 0)
    if not data:
        raise EdgeReaderError("the process that reads the file failed", file=path)
    loaded = pickle.loads(data)  # written only by our own child process
    if isinstance(loaded, StackrouterError):
        raise loaded
    assert isinstance(loaded, Edge)
    return loaded
