"""A value that passes from a node to a client while it is still arriving, through a bounded buffer.

The node's side puts bytes in and waits while the buffer is full; the client's side takes them out. The last
bytes are put in with `finish`, after the node's whole answer has been found sound. So a client that has not
got them can tell that its value is not whole.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from stackrouter.core.attempt_progress import USUAL_VALUE_BYTES

MAX_BUFFERED_BYTES: Final = 32 * 1024  # of a long value; one of usual length fits in whole


class StreamState(enum.Enum):
    """Whether more bytes can come."""

    OPEN = "open"
    COMPLETE = "complete"  # everything has been put in
    BROKEN = "broken"  # the rest will never come


class AnswerStream:
    """A value of `length` bytes on its way. `lease`: the memory that it holds, released with the stream."""

    def __init__(self, length: int) -> None:
        self.length = length
        self.state = StreamState.OPEN
        self.lease: object = None
        self.on_change: Callable[[], None] = lambda: None  # called when there is something new for the client
        self._pieces: deque[bytes] = deque()
        self._buffered = 0
        self._max_buffered = MAX_BUFFERED_BYTES if self.is_long else max(length, MAX_BUFFERED_BYTES)
        self._has_room = Event()

    # --- the node's side

    @property
    def is_long(self) -> bool:
        """Whether the value is longer than the protocol specifies."""
        return self.length > USUAL_VALUE_BYTES

    @property
    def room(self) -> int:
        """Bytes that may be put in now."""
        return max(0, self._max_buffered - self._buffered)

    def wait_for_room(self) -> None:
        """Wait until the client's side has taken something."""
        self._has_room.clear()
        if not self.room:
            self._has_room.wait()

    def put(self, data: bytes) -> None:
        """Append bytes of the value, `room` at most."""
        if data:  # an empty piece would look like the end of what has come
            self._pieces.append(data)
        self._buffered += len(data)
        self.on_change()

    def finish(self, last: bytes) -> None:
        """Append the last bytes: the node's answer is whole and sound."""
        self.state = StreamState.COMPLETE
        self.put(last)

    def break_off(self) -> None:
        """The rest of the value will not come."""
        self.state = StreamState.BROKEN
        self.on_change()

    # --- the client's side

    def take(self) -> bytes:
        """The next bytes for the client; empty if there are none now."""
        if not self._pieces:
            return b""
        data = self._pieces.popleft()
        self._buffered -= len(data)
        self._has_room.set()
        return data
