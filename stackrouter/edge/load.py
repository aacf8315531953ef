"""Reads the operator's file: protobuf text format, then the bounds. Every error names the file and the place.

`load_apart` does it in a child process that ends at once, so that the gateway never holds the parsers;
where fork is refused, it reads the file in place.
"""

from __future__ import annotations

import os
import pickle
from pathlib import Path

from stackrouter.edge.config import NEEDS, Edge


class EdgeError(Exception):
    """The operator's file cannot be used; the text is one line that says where and what is allowed."""


def parse(text: str, name: str) -> Edge:
    """EdgeError: not protobuf text of the schema, or a value out of bounds."""
    from google.protobuf import json_format, text_format
    from pydantic import TypeAdapter, ValidationError

    from stackrouter.edge import edge_pb2

    try:
        message = text_format.Parse(text, edge_pb2.Edge())
    except text_format.ParseError as error:
        raise EdgeError(f"{name}: line {' '.join(str(error).split())}") from None
    values = json_format.MessageToDict(message, preserving_proto_field_name=True)
    try:
        edge: Edge = TypeAdapter(Edge).validate_python(values)
    except ValidationError as error:
        wrong = "; ".join(_say(e["loc"], e["msg"], e["input"]) for e in error.errors())
        raise EdgeError(f"{name}: {wrong}") from None
    for part, fields in NEEDS.items():
        section = getattr(edge, part)
        missing = [field for field in fields if section.enabled and not getattr(section, field)]
        if missing:
            raise EdgeError(f"{name}: {part}.{missing[0]}: must be set where {part} is enabled")
    if edge.coordination.enabled and (problem := edge.coordination.problem()):
        raise EdgeError(f"{name}: coordination.{problem}")
    return edge


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
        raise EdgeError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise EdgeError(f"{path}: not UTF-8 at byte {error.start}") from None
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
                answer: Edge | str = load(path)
            except EdgeError as error:
                answer = str(error)
            except ImportError as error:
                answer = f"{path}: needs {error.name}: install stackrouter[edge]"
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
        raise EdgeError(f"{path}: the reader of it failed")
    loaded = pickle.loads(data)  # from our own child alone
    if isinstance(loaded, str):
        raise EdgeError(loaded)
    assert isinstance(loaded, Edge)
    return loaded
