"""Frames as bytes: a length of 4 bytes (big-endian), then a serialized `Frame`. No I/O.

Both ends bound what they take: a length over the bound ends the connection before anything is kept for it,
which is also what a stranger's first bytes meet.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from stackrouter.controlplane.frames_pb2 import Frame
from stackrouter.errors import FrameEmptyError, FrameError, FrameTooLargeError, FrameUnreadableError

PREFIX_BYTES = 4
MOST_TO_REPLICA = 16 * 1024  # bytes of a Hello or a Heartbeat, of a replica that observes with 16 names
MOST_TO_GATEWAY = 8 * 1024 * 1024  # a change that names all of 20,000 nodes, or a policy of 256 KiB


def encode(frame: Frame) -> bytes:
    """The frame with its length before it."""
    body = frame.SerializeToString()
    return len(body).to_bytes(PREFIX_BYTES, "big") + body


class FrameDecoder:
    """Frames out of a stream's bytes, fed in any pieces. Keeps at most one unfinished frame.

    A FrameError is final: the stream cannot be read on, and each later `feed` raises it again.
    """

    def __init__(self, most_bytes: int) -> None:
        self._most_bytes = most_bytes  # of one serialized Frame
        self._unfinished = bytearray()
        self._failed: FrameError | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that these bytes complete, in order."""
        failed = self._failed
        if failed is not None:
            raise failed
        try:
            return self._frames(data)
        except FrameError as error:
            self._failed = error
            self._unfinished.clear()
            raise

    def _frames(self, data: bytes) -> list[Frame]:
        if self._unfinished:
            self._unfinished += data
            frames, used = self._complete(self._unfinished)
            del self._unfinished[:used]
        else:
            frames, used = self._complete(data)
            self._unfinished += data[used:]
        return frames

    def _complete(self, data: bytes | bytearray) -> tuple[list[Frame], int]:
        """All whole frames at the beginning, and how many bytes they take."""
        frames: list[Frame] = []
        start, length = 0, len(data)
        while length - start >= PREFIX_BYTES:
            body = start + PREFIX_BYTES
            size = int.from_bytes(data[start:body], "big")
            if size > self._most_bytes:
                raise FrameTooLargeError(f"a frame of {size} bytes, at most {self._most_bytes} are taken")
            if length - body < size:
                break
            frames.append(_parsed(bytes(data[body : body + size])))
            start = body + size
        return frames, start


def _parsed(body: bytes) -> Frame:
    try:
        frame = Frame.FromString(body)
    except DecodeError as error:
        raise FrameUnreadableError(f"{len(body)} bytes that are no frame ({error})") from error
    if frame.WhichOneof("body") is None:
        raise FrameEmptyError(f"a frame of {len(body)} bytes without a known body")
    return frame
