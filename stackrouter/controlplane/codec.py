"""Encoding of frames: a length of 4 bytes (big-endian), then a serialized `Frame`. No I/O.

Both ends limit the size of a frame: a length over the limit ends the connection before anything is buffered.
The first bytes of other protocols usually read as such a length too.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from stackrouter.controlplane.frames_pb2 import Frame
from stackrouter.errors import FrameEmptyError, FrameError, FrameTooLargeError, FrameUnreadableError

PREFIX_BYTES = 4
MAX_TO_REPLICA_BYTES = 16 * 1024  # bytes of a Hello, or of a Heartbeat of an observing replica with 16 names
MAX_TO_GATEWAY_BYTES = 8 * 1024 * 1024  # a change that names all of 20,000 nodes, or a policy of 256 KiB


def encode(frame: Frame) -> bytes:
    """Serialize a frame with its length prefix."""
    body = frame.SerializeToString()
    return len(body).to_bytes(PREFIX_BYTES, "big") + body


class FrameDecoder:
    """Decodes frames from a byte stream, fed in arbitrary pieces. Buffers at most one incomplete frame.

    A FrameError is final: the stream cannot be decoded further, and every later `feed` raises it again.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes  # of one serialized Frame
        self._incomplete = bytearray()
        self._failed: FrameError | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Decode more bytes; the frames completed by them, in order."""
        failed = self._failed
        if failed is not None:
            raise failed
        try:
            return self._frames(data)
        except FrameError as error:
            self._failed = error
            self._incomplete.clear()
            raise

    def _frames(self, data: bytes) -> list[Frame]:
        if self._incomplete:
            self._incomplete += data
            frames, used = self._decode_complete(self._incomplete)
            del self._incomplete[:used]
        else:
            frames, used = self._decode_complete(data)
            self._incomplete += data[used:]
        return frames

    def _decode_complete(self, data: bytes | bytearray) -> tuple[list[Frame], int]:
        """All complete frames at the start of the data, and their total size."""
        frames: list[Frame] = []
        start, length = 0, len(data)
        while length - start >= PREFIX_BYTES:
            body = start + PREFIX_BYTES
            size = int.from_bytes(data[start:body], "big")
            if size > self._max_bytes:
                raise FrameTooLargeError(f"a frame of {size} bytes, at most {self._max_bytes} are taken")
            if length - body < size:
                break
            frames.append(_parse(bytes(data[body : body + size])))
            start = body + size
        return frames, start


def _parse(body: bytes) -> Frame:
    try:
        frame = Frame.FromString(body)
    except DecodeError as error:
        raise FrameUnreadableError(f"{len(body)} bytes that are no frame ({error})") from error
    if frame.WhichOneof("body") is None:
        raise FrameEmptyError(f"a frame of {len(body)} bytes without a known body")
    return frame
