"""What an error of a system call on a socket ends, by errno: the one table for all loops that meet errors."""

from __future__ import annotations

import enum
import errno
from collections.abc import Callable
from typing import Final, TypeVar

import gevent

IO_TRIES: Final = 20  # reads and writes that fail in passing are made again so often
IO_REST_S: Final = 0.002  # ... with this rest in between


class AcceptError(enum.Enum):
    """What `accept` failing means for whoever waits in the backlog."""

    EMPTY = "empty"  # nobody waits
    EXHAUSTED = "exhausted"  # this machine lacks means for now: make room, then again
    PASSING = "passing"  # this connection or this moment: the next call may succeed
    BROKEN = "broken"  # the listening socket is of no more use


# This machine lacks descriptors or memory.
EXHAUSTED: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# accept(2): errors of the new connection or the network are to be taken like EAGAIN, by trying again.
_ACCEPT_PASSING: Final = frozenset({
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.ENOSR, errno.ESOCKTNOSUPPORT, errno.EPROTONOSUPPORT, errno.ECONNRESET,
})  # fmt: skip
_EMPTY: Final = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
# A connect that failed for want of this machine's own means says nothing of the node.
_CONNECT_LOCAL: Final = EXHAUSTED | {
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES,
}  # fmt: skip
# A read or write that may succeed when it is made again; nothing was transferred.
_IO_PASSING: Final = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

Count = TypeVar("Count")


def accept_error(error: OSError) -> AcceptError:
    """What a failed `accept` means."""
    if error.errno in _EMPTY:
        return AcceptError.EMPTY
    if error.errno in EXHAUSTED:
        return AcceptError.EXHAUSTED
    return AcceptError.PASSING if error.errno in _ACCEPT_PASSING else AcceptError.BROKEN


def connect_failed_locally(error: OSError) -> bool:
    """Whether a failed connect says something of this machine only."""
    return error.errno in _CONNECT_LOCAL


def repeat_passing(call: Callable[[], Count]) -> Count:
    """Make a read or write; again, after a rest, where it failed in passing. Other errors raise OSError, as
    does one that does not pass."""
    for _ in range(IO_TRIES):
        try:
            return call()
        except OSError as error:
            if error.errno not in _IO_PASSING:
                raise
        gevent.sleep(IO_REST_S)
    return call()
