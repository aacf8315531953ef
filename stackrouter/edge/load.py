"""Reads the operator's file: protobuf text format, then the bounds. Every error names the file and the place.

`load_apart` does it in a child process that ends at once, so that the gateway never holds the parsers;
where fork is refused, it reads the file in place.
"""

from __future__ import annotations

import os
import pickle
import re
from pathlib import Path

from stackrouter.edge.config import NEEDS, Edge
from stackrouter.errors import (
    EdgeFileError,
    EdgeReaderError,
    EdgeTextError,
    EdgeValueError,
    MissingExtraError,
    StackrouterError,
)


def parse(text: str, name: str) -> Edge:
    """An EdgeError: not protobuf text of the schema, or a value out of bounds."""
    from google.protobuf import json_format, text_format
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.edge import edge_pb2

    try:
        message = text_format.Parse(text, edge_pb2.Edge())
    except text_format.ParseError as error:
        line, what = _line(str(error))
        raise EdgeTextError(what, file=name, line=line) from None
    values = json_format.MessageToDict(message, preserving_proto_field_name=True)
    try:
        edge: Edge = TypeAdapter(Edge).validate_python(values)
    except ValidationError as error:
        wrong = "; ".join(_say(e["loc"], e["msg"], e["input"]) for e in error.errors())
        raise EdgeValueError(wrong, file=name) from None
    for part, fields in NEEDS.items():
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


def _line(said: str) -> tuple[int, str]:
    """protobuf's "LINE:COLUMN : what is wrong" apart; 0 where it names no line."""
    found = re.fullmatch(r"(\d+):(\d+) ?: ?(.*)", said, re.DOTALL)
    return (int(found[1]), f"column {found[2]}: {found[3]}") if found else (0, said)


def _say(place: tuple[int | str, ...], message: str, value: object) -> str:
    path = ""
    for part in place:
        path += f"[{part}]" if isinstance(part, int) else f".{part}" if path else part
    shown = "" if isinstance(value, dict) else f", not {value!r}"
    return f"{path}: {message[0].lower()}{message[1:]}{shown}"


def load(path: Path) -> Edge:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise EdgeFileError(error.strerror, file=path) from None
    except UnicodeDecodeError as error:
        raise EdgeFileError(f"not UTF-8 at byte {error.start}", file=path) from None
    return parse(text, str(path))


def load_apart(path: Path) -> Edge:
    """As `load`, at no lasting cost of memory: the parsers live and end in a child."""
    read, write = os.pipe()
    try:
        child = os.fork()
    except OSError:
        # Refused where processes may not fork (the mass bench says ENOSYS): read here, keep the parsers.
        os.close(read)
        os.close(write)
        return load(path)
    if child == 0:
        code = 1
        try:
            os.close(read)
            try:
                answer: Edge | StackrouterError = load(path)
            except StackrouterError as error:
                answer = error
            except ImportError as error:
                answer = MissingExtraError(f"needs {error.name}: install stackrouter[edge]", file=path)
            with os.fdopen(write, "wb") as pipe:
                pickle.dump(answer, pipe)
            code = 0
        finally:
            os._exit(code)
    os.close(write)
    with os.fdopen(read, "rb") as pipe:
        data = pipe.read()
    os.waitpid(child, 0)
    if not data:
        raise EdgeReaderError("the reader of it failed", file=path)
    loaded = pickle.loads(data)  # from our own child alone
    if isinstance(loaded, StackrouterError):
        raise loaded
    assert isinstance(loaded, Edge)
    return loaded
