"""What a front provides for each client connection, and what the connection tells it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stackrouter.core.model import Inbox

INBOX_BYTES = 160 * 1024  # a value of 64 KiB in a command with its other parts


class MalformedError(Exception):
    """The stream cannot be parsed any further: `final_reply` is sent and the connection closed."""

    def __init__(self, final_reply: bytes = b"") -> None:
        super().__init__(final_reply)
        self.final_reply = final_reply


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Time limits for a client; its connection is closed when one is exceeded.

    `request_s`: from connecting to the first complete request, and from the first byte of a later request to
    its last, unless bytes of it are still arriving; `idle_s`: between requests.
    """

    request_s: float
    idle_s: float


class Session(Protocol):
    """A front's side of one client connection."""

    # Set by the connection: whether the client has closed, even if not yet read.
    client_hung_up: Callable[[], bool]
    # Set by the connection: whether a request that is read now is refused at once, because answers before it
    # have not reached the client and the connection is to be closed.
    refuses_pipelined: Callable[[], bool]
    # Minimum size in bytes of the request that `received` found incomplete; not more than the inbox holds:
    # unknown.
    min_inbox_bytes: int
    # Whether the answer that is being written cannot be completed: its connection has to be ended, by which
    # the client can tell.
    answer_broken: bool

    def received(self, inbox: Inbox) -> None:
        """Take complete requests out of the inbox. MalformedError: the stream cannot be parsed."""

    def output(self) -> bytes | None:
        """The next part of the answers, which may be empty; None: there is none now."""

    def pending(self) -> int:
        """The number of requests taken whose answers `output` has not returned yet."""

    def full(self) -> bool:
        """Whether reading has to pause until answers have been sent."""

    def on_disconnect(self) -> None:
        """The client has disconnected."""
