"""RESP2, as far as the platform speaks it."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.core.model import Inbox

MOST_BYTES = 64 * 1024  # a value, as agreed
MOST_ANSWER = 2 * 1024 * 1024  # a node's value: nodes give more than was agreed, and clients take it
MOST_PARTS = 32  # an array
MOST_LINE = 1024  # a header or an error line


class ProtocolError(Exception):
    """What came is not RESP2, or larger than agreed."""


@dataclass(frozen=True, slots=True)
class ErrorLine:
    text: str


class ShortError(Exception):
    """It has not all come; it takes this many bytes at least."""

    def __init__(self, need: int = 0) -> None:
        super().__init__(need)
        self.need = need


Value = bytes | int | ErrorLine | None | list["Value"]


def parse(inbox: Inbox, most: int = MOST_BYTES) -> Value:
    """The first whole value, taken out of the inbox; raises ShortError while it has not all come."""
    value, end = _value(inbox, 0, 0, most)
    inbox.skip(end)
    return value


def _value(inbox: Inbox, at: int, depth: int, most: int) -> tuple[Value, int]:
    text, at = _line(inbox, at)
    kind, rest = text[:1], text[1:]
    if kind == b"$":
        return _bulk(inbox, _number(rest), at, most)
    if kind == b"*" and depth < 2:
        return _array(inbox, _number(rest), at, depth, most)
    if kind == b"-":
        return ErrorLine(rest.decode("ascii", "replace")), at
    if kind == b"+":
        return rest, at
    if kind == b":":
        return _number(rest), at
    raise ProtocolError(f"unexpected byte {kind!r}")


def _bulk(inbox: Inbox, length: int, at: int, most: int) -> tuple[Value, int]:
    if length == -1:
        return None, at
    if not 0 <= length <= most:
        raise ProtocolError("invalid bulk length")
    if len(inbox) < at + length + 2:
        raise ShortError(at + length + 2)
    if inbox.peek(at + length, 2) != b"\r\n":
        raise ProtocolError("bulk string without its end")
    return inbox.peek(at, length), at + length + 2


def _array(inbox: Inbox, count: int, at: int, depth: int, most: int) -> tuple[Value, int]:
    if count == -1:
        return None, at
    if not 0 <= count <= MOST_PARTS:
        raise ProtocolError("invalid multibulk length")
    parts: list[Value] = []
    for _ in range(count):
        part, at = _value(inbox, at, depth + 1, most)
        parts.append(part)
    return parts, at


def _line(inbox: Inbox, at: int) -> tuple[bytes, int]:
    for window in (64, MOST_LINE):
        text = inbox.peek(at, window)
        if (end := text.find(b"\r\n")) >= 0:
            return text[:end], at + end + 2
    if len(text) == MOST_LINE:
        raise ProtocolError("line too long")
    raise ShortError


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
