"""RESP2, as far as the platform speaks it."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.core.model import Inbox

MOST_BYTES = 64 * 1024  # a value
MOST_PARTS = 32  # an array
MOST_LINE = 1024  # a header or an error line


class ProtocolError(Exception):
    """What came is not RESP2, or larger than agreed."""


@dataclass(frozen=True, slots=True)
class ErrorLine:
    text: str


Value = bytes | int | ErrorLine | None | list["Value"]


def parse(inbox: Inbox) -> tuple[Value] | None:
    """The first whole value, taken out of the inbox; None while it has not all come."""
    found = _value(inbox, 0, 0)
    if found is None:
        return None
    inbox.skip(found[1])
    return (found[0],)


def _value(inbox: Inbox, at: int, depth: int) -> tuple[Value, int] | None:
    line = _line(inbox, at)
    if line is None:
        return None
    text, at = line
    kind, rest = text[:1], text[1:]
    if kind == b"$":
        return _bulk(inbox, _number(rest), at)
    if kind == b"*" and depth < 2:
        return _array(inbox, _number(rest), at, depth)
    if kind == b"-":
        return ErrorLine(rest.decode("ascii", "replace")), at
    if kind == b"+":
        return rest, at
    if kind == b":":
        return _number(rest), at
    raise ProtocolError(f"unexpected byte {kind!r}")


def _bulk(inbox: Inbox, length: int, at: int) -> tuple[Value, int] | None:
    if length == -1:
        return None, at
    if not 0 <= length <= MOST_BYTES:
        raise ProtocolError("invalid bulk length")
    if len(inbox) < at + length + 2:
        return None
    if inbox.peek(at + length, 2) != b"\r\n":
        raise ProtocolError("bulk string without its end")
    return inbox.peek(at, length), at + length + 2


def _array(inbox: Inbox, count: int, at: int, depth: int) -> tuple[Value, int] | None:
    if count == -1:
        return None, at
    if not 0 <= count <= MOST_PARTS:
        raise ProtocolError("invalid multibulk length")
    parts: list[Value] = []
    for _ in range(count):
        found = _value(inbox, at, depth + 1)
        if found is None:
            return None
        part, at = found
        parts.append(part)
    return parts, at


def _line(inbox: Inbox, at: int) -> tuple[bytes, int] | None:
    for window in (64, MOST_LINE):
        text = inbox.peek(at, window)
        if (end := text.find(b"\r\n")) >= 0:
            return text[:end], at + end + 2
    if len(text) == MOST_LINE:
        raise ProtocolError("line too long")
    return None


def _number(text: bytes) -> int:
    if not 0 < len(text) <= 20 or not text.removeprefix(b"-").isdigit():
        raise ProtocolError("invalid number")
    return int(text)


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    return b"-%b\r\n" % text.encode("ascii", "replace")
