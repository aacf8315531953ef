"""Parser and encoder for the subset of RESP2 that the platform uses."""

from __future__ import annotations

from dataclasses import dataclass

from stackrouter.core.model import Inbox

MAX_VALUE_BYTES = 64 * 1024  # a client's value, as the protocol specifies
MAX_ANSWER_BYTES = 512 * 1024 * 1024  # a node's value: the longest bulk string of RESP2
MAX_ARRAY_PARTS = 32
MAX_LINE_BYTES = 1024  # a header or an error line
HEAD_BYTES = 2048  # peeked at once


class ProtocolError(Exception):
    """The received bytes are not RESP2, or exceed a size limit."""


@dataclass(frozen=True, slots=True)
class ErrorLine:
    """An error answer, without its leading `-`."""

    text: str


class ShortError(Exception):
    """The value is incomplete; `need`: bytes that the inbox must hold at least."""

    def __init__(self, need: int) -> None:
        super().__init__(need)
        self.need = need


Value = bytes | int | ErrorLine | None | list["Value"]


class _InboxView:
    """Access to the received bytes; caches the first ones, since most commands and answers are short."""

    __slots__ = ("head", "inbox", "max_bulk_bytes", "size")

    def __init__(self, inbox: Inbox, max_bulk_bytes: int) -> None:
        self.inbox, self.max_bulk_bytes = inbox, max_bulk_bytes
        self.head, self.size = inbox.peek(0, HEAD_BYTES), len(inbox)

    def part(self, at: int, length: int) -> bytes:
        end = at + length
        return self.head[at:end] if end <= len(self.head) else self.inbox.peek(at, length)

    def line(self, at: int) -> tuple[bytes, int]:
        end = self.head.find(b"\r\n", at, at + MAX_LINE_BYTES)
        if end >= 0:
            return self.head[at:end], end + 2
        text = self.inbox.peek(at, MAX_LINE_BYTES)
        if (end := text.find(b"\r\n")) >= 0:
            return text[:end], at + end + 2
        if len(text) == MAX_LINE_BYTES:
            raise ProtocolError("line too long")
        raise ShortError(self.size + 1)


def parse(inbox: Inbox, max_bulk_bytes: int = MAX_VALUE_BYTES) -> Value:
    """Remove the first complete value from the inbox and return it; ShortError while it is incomplete.

    `max_bulk_bytes`: longest bulk string accepted, in bytes; a longer one raises ProtocolError.
    """
    value, end = _value(_InboxView(inbox, max_bulk_bytes), 0, 0)
    inbox.skip(end)
    return value


@dataclass(frozen=True, slots=True)
class ValueHead:
    """The beginning of an array whose first part is a bulk string. `head_bytes`: before the string's bytes;
    `value_bytes`: of the string; `parts_after`: parts of the array that follow it."""

    head_bytes: int
    value_bytes: int
    parts_after: int


def value_head(inbox: Inbox, max_bulk_bytes: int) -> ValueHead | None:
    """The head of an array whose first part is a bulk string; None if the inbox does not begin with one."""
    view = _InboxView(inbox, max_bulk_bytes)
    try:
        array, at = view.line(0)
        bulk_line, at = view.line(at)
        if array[:1] != b"*" or bulk_line[:1] != b"$":
            return None
        count, length = _number(array[1:]), _number(bulk_line[1:])
    except (ShortError, ProtocolError):
        return None
    if not 1 <= count <= MAX_ARRAY_PARTS or not 0 <= length <= max_bulk_bytes:
        return None
    return ValueHead(at, length, count - 1)


def parse_rest(inbox: Inbox, length: int, parts_after: int) -> list[Value]:
    """Remove the rest of an array from the inbox: the last `length` bytes of its first part, a bulk string,
    and `parts_after` more parts. ShortError while it is incomplete; ProtocolError: it is not sound."""
    view = _InboxView(inbox, MAX_VALUE_BYTES)
    last, at = _bulk(view, length, 0)
    parts: list[Value] = [last]
    for _ in range(parts_after):
        part, at = _value(view, at, 1)
        parts.append(part)
    inbox.skip(at)
    return parts


def _value(view: _InboxView, at: int, depth: int) -> tuple[Value, int]:
    line, at = view.line(at)
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        return _bulk(view, _number(rest), at)
    if kind == b"*" and depth < 2:
        return _array(view, _number(rest), at, depth)
    if kind == b"-":
        return ErrorLine(rest.decode("ascii", "replace")), at
    if kind == b"+":
        return rest, at
    if kind == b":":
        return _number(rest), at
    raise ProtocolError(f"unexpected byte {kind!r}")


def _bulk(view: _InboxView, length: int, at: int) -> tuple[Value, int]:
    if length == -1:
        return None, at
    if not 0 <= length <= view.max_bulk_bytes:
        raise ProtocolError("invalid bulk length")
    end = at + length + 2
    if view.size < end:
        raise ShortError(end)
    if view.part(end - 2, 2) != b"\r\n":
        raise ProtocolError("bulk string without its end")
    return view.part(at, length), end


def _array(view: _InboxView, count: int, at: int, depth: int) -> tuple[Value, int]:
    if count == -1:
        return None, at
    if not 0 <= count <= MAX_ARRAY_PARTS:
        raise ProtocolError("invalid multibulk length")
    parts: list[Value] = []
    for _ in range(count):
        part, at = _value(view, at, depth + 1)
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
