"""A bounded ring buffer, used for each direction of a connection."""

from __future__ import annotations

from gevent.socket import socket

INITIAL_BYTES = 4096  # most connections never hold more; a ring grows by doubling, up to its bound


class Ring:
    """A byte queue of at most `bound` bytes."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._buffer = bytearray()  # allocated on first use: many connections never send anything
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return self.bound - self._size

    def put(self, data: bytes | memoryview) -> int:
        """Append as much of `data` as the bound allows; return the byte count."""
        count = min(len(data), self.room)
        if not count:
            return 0
        while self._size + count > len(self._buffer):
            self._grow()
        at = (self._head + self._size) % len(self._buffer)
        first = min(count, len(self._buffer) - at)
        self._buffer[at : at + first] = data[:first]
        self._buffer[: count - first] = data[first:count]
        self._size += count
        return count

    def peek(self, start: int, length: int) -> bytes:
        """Up to `length` bytes from offset `start`; they stay in the ring."""
        length = max(0, min(length, self._size - start))
        if not length:
            return b""
        at = (self._head + start) % len(self._buffer)
        first = min(length, len(self._buffer) - at)
        with memoryview(self._buffer) as held:
            head = bytes(held[at : at + first])
            return head if first == length else head + bytes(held[: length - first])

    def skip(self, length: int) -> None:
        self._size -= length
        self._head += length
        if self._head >= len(self._buffer):
            self._head -= len(self._buffer)
        if not self._size:
            self._head = 0
            if len(self._buffer) > INITIAL_BYTES:
                self._buffer = bytearray(INITIAL_BYTES)  # release the memory of a large value

    def reserve(self, bound: int) -> None:
        """Set the bound and allocate memory for that many bytes at once."""
        self.bound = bound
        if len(self._buffer) < bound:
            self._resize(bound)

    def release(self) -> None:
        """Go back to the initial bound; the ring must be empty."""
        if self._size:
            raise BufferError("ring buffer is not empty")
        self.bound = INITIAL_BYTES
        if len(self._buffer) > INITIAL_BYTES:
            self._buffer = bytearray(INITIAL_BYTES)

    def receive(self, sock: socket) -> int:
        """Read once into the free space; return the byte count, 0 at the end of the stream.

        The ring must not be full.
        """
        if self._size == len(self._buffer):
            self._grow()
        at = (self._head + self._size) % len(self._buffer)
        end = self._head if at < self._head else len(self._buffer)
        buffer = self._buffer
        with memoryview(buffer)[at:end] as free:
            count = int(sock.recv_into(free))
        self._size += count
        return count

    def send(self, sock: socket) -> int:
        """Write once from the ring; return the byte count that the socket took."""
        with memoryview(self._buffer)[self._head : min(self._head + self._size, len(self._buffer))] as held:
            count = int(sock.send(held))
        self.skip(count)
        return count

    def _grow(self) -> None:
        if len(self._buffer) >= self.bound:
            raise BufferError("ring buffer is full")
        self._resize(min(self.bound, max(INITIAL_BYTES, 2 * len(self._buffer))))

    def _resize(self, size: int) -> None:
        held = self.peek(0, self._size)
        self._buffer = bytearray(size)
        self._buffer[: len(held)] = held
        self._head = 0
