"""RESP2, as far as the platform speaks it."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.core.model import Inbox

MOST_BYTES = 64 * 1024  # a value, as agreed
MOST_ANSWER = 2 * 1024 * 1024  # a node's value: nodes give more than was agreed, and clients take it
MOST_PARTS = 32  # an array
MOST_LINE = 1024  # a header or an error line
HEAD = 2048  # bytes looked at in one go


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


class _Text:
    """Received bytes with their beginning at hand: most commands and answers are short."""

    __slots__ = ("head", "inbox", "most", "size")

    def __init__(self, inbox: Inbox, most: int) -> None:
        self.inbox, self.most = inbox, most
        self.head, self.size = inbox.peek(0, HEAD), len(inbox)

    def part(self, at: int, length: int) -> bytes:
        end = at + length
        return self.head[at:end] if end <= len(self.head) else self.inbox.peek(at, length)

    def line(self, at: int) -> tuple[bytes, int]:
        end = self.head.find(b"\r\n", at, at + MOST_LINE)
        if end >= 0:
            return self.head[at:end], end + 2
        text = self.inbox.peek(at, MOST_LINE)
        if (end := text.find(b"\r\n")) >= 0:
            return text[:end], at + end + 2
        if len(text) == MOST_LINE:
            raise ProtocolError("line too long")
        raise ShortError


def parse(inbox: Inbox, most: int = MOST_BYTES) -> Value:
    """The first whole value, taken out of the inbox; raises ShortError while it has not all come."""
    value, end = _value(_Text(inbox, most), 0, 0)
    inbox.skip(end)
    return value


def _value(text: _Text, at: int, depth: int) -> tuple[Value, int]:
    line, at = text.line(at)
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        return _bulk(text, _number(rest), at)
    if kind == b"*" and depth < 2:
        return _array(text, _number(rest), at, depth)
    if kind == b"-":
        return ErrorLine(rest.decode("ascii", "replace")), at
    if kind == b"+":
        return rest, at
    if kind == b":":
        return _number(rest), at
    raise ProtocolError(f"unexpected byte {kind!r}")


def _bulk(text: _Text, length: int, at: int) -> tuple[Value, int]:
    if length == -1:
        return None, at
    if not 0 <= length <= text.most:
        raise ProtocolError("invalid bulk length")
    end = at + length + 2
    if text.size < end:
        raise ShortError(end)
    if text.part(end - 2, 2) != b"\r\n":
        raise ProtocolError("bulk string without its end")
    return text.part(at, length), end


def _array(text: _Text, count: int, at: int, depth: int) -> tuple[Value, int]:
    if count == -1:
        return None, at
    if not 0 <= count <= MOST_PARTS:
        raise ProtocolError("invalid multibulk length")
    parts: list[Value] = []
    for _ in range(count):
        part, at = _value(text, at, depth + 1)
        parts.append(part)
    return parts, at


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
