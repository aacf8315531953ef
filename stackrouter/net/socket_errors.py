"""Classifies errors of socket system calls by errno, for all loops that have to handle them."""

from __future__ import annotations

import enum
import errno
from collections.abc import Callable
from typing import Final, TypeVar

import gevent

IO_MAX_RETRIES: Final = 20  # for reads and writes that fail with a transient error
IO_RETRY_DELAY_S: Final = 0.002  # pause between these attempts


class AcceptError(enum.Enum):
    """What a failed `accept` means for the clients in the backlog."""

    EMPTY = "empty"  # the backlog is empty
    EXHAUSTED = "exhausted"  # out of descriptors or memory for now: make room and retry
    TRANSIENT = "passing"  # concerns this connection or this moment only: the next call may succeed
    BROKEN = "broken"  # the listening socket is unusable


# This machine is out of descriptors or memory.
EXHAUSTED: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# accept(2): errors of the new connection or the network are to be treated like EAGAIN, by retrying.
_ACCEPT_TRANSIENT: Final = frozenset({
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.ENOSR, errno.ESOCKTNOSUPPORT, errno.EPROTONOSUPPORT, errno.ECONNRESET,
})  # fmt: skip
_ACCEPT_EMPTY: Final = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
# A connect that failed for lack of resources of this machine says nothing about the node.
_CONNECT_LOCAL: Final = EXHAUSTED | {
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES,
}  # fmt: skip
# A read or write that may succeed when retried; nothing was transferred.
_IO_TRANSIENT: Final = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

Count = TypeVar("Count")


def accept_error(error: OSError) -> AcceptError:
    """Classify the error of a failed `accept`."""
    if error.errno in _ACCEPT_EMPTY:
        return AcceptError.EMPTY
    if error.errno in EXHAUSTED:
        return AcceptError.EXHAUSTED
    return AcceptError.TRANSIENT if error.errno in _ACCEPT_TRANSIENT else AcceptError.BROKEN


def connect_failed_locally(error: OSError) -> bool:
    """Whether a connect failed because of this machine and says nothing about the node."""
    return error.errno in _CONNECT_LOCAL


def retry_transient(call: Callable[[], Count]) -> Count:
    """Make a read or write, and retry it after a pause while it fails with a transient error.

    OSError: another error, or a transient one that persists.
    """
    for _ in range(IO_MAX_RETRIES):
        try:
            return call()
        except OSError as error:
            if error.errno not in _IO_TRANSIENT:
                raise
        gevent.sleep(IO_RETRY_DELAY_S)
    return call()
